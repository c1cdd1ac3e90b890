//! Limits on messages from peers.

use capnp::message::ReaderOptions;

/// Version of the protocol that this build uses.
pub const PROTOCOL_VERSION: u16 = 1;
/// Longest configuration document; the key-value service limits its length too.
pub const CONFIG_BYTES_MAX: usize = 1 << 20;
/// Longest identifier or name.
pub const ID_BYTES_MAX: usize = 256;
/// Most names in the table of one connection, as positions are 16 bits wide.
pub const NAMES_MAX: usize = 1 << 16;
/// Longest message: a configuration document and space for the other fields.
const MESSAGE_BYTES_MAX: usize = 2 << 20;
/// Deepest nesting of a message; the schema needs less than half of this depth.
const NESTING_MAX: i32 = 16;
const WORD_BYTES: usize = 8;

/// Returns the limits for the reader of every message.
pub fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_BYTES_MAX / WORD_BYTES),
        nesting_limit: NESTING_MAX,
    }
}
