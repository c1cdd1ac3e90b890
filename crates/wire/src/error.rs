//! Errors of rejected messages.

/// Reason why a message was rejected.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The message is not valid Cap'n Proto or exceeds a limit of the reader.
    #[error("malformed message: {0}")]
    Malformed(#[from] capnp::Error),
    /// A text field is not valid UTF-8.
    #[error("text is not valid UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// An address is not an IP address with a port.
    #[error("{0}")]
    Address(#[from] std::net::AddrParseError),
    /// An identifier or name is empty or too long.
    #[error("{field} has {bytes} bytes")]
    IdLength {
        /// Field of the message.
        field: &'static str,
        /// Length in bytes.
        bytes: usize,
    },
    /// A configuration document is too long.
    #[error("configuration document has {0} bytes")]
    DocumentLength(usize),
    /// A table of names would exceed its size limit.
    #[error("table of names would have {0} names")]
    Names(usize),
    /// A position is outside the table of names.
    #[error("position {0} is outside the table of names")]
    Position(u16),
    /// The peer uses an unsupported version of the protocol.
    #[error("protocol version {0} is not supported")]
    ProtocolVersion(u16),
}
