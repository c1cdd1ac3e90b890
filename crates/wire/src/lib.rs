//! The protocol between entry instances.
//!
//! - [`message`]: typed messages, validated when read.
//! - [`limits`]: limits on messages from peers.
//! - [`peer_capnp`]: generated from `schema/peer.capnp` by `scripts/generate-wire.sh`.

pub mod error;
pub mod limits;
pub mod message;
#[allow(clippy::all, clippy::unimplemented, clippy::unwrap_used, missing_docs)]
#[rustfmt::skip]
pub mod peer_capnp;

pub use error::WireError;
pub use limits::{CONFIG_BYTES_MAX, ID_BYTES_MAX, NAMES_MAX, PROTOCOL_VERSION, reader_options};
pub use message::{
    ConfigDocument, EntryReport, Hello, InstanceSymptom, InstanceUsage, Leave, QueueUsage, Report,
    Symptom,
};
