//! API keys of teams, stored only as hashes.

use std::fmt;

/// Hash of a team's key. Comparison takes constant time.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct KeyHash(blake3::Hash);

/// Length in bytes of the hash prefix that selects candidates before the full comparison.
pub const PREFIX_BYTES: usize = 8;

/// Leading bytes of a key's hash.
pub type KeyPrefix = [u8; PREFIX_BYTES];

/// Length in bytes of a generated key.
pub const KEY_BYTES: usize = 32;

/// Generates a random key of [`KEY_BYTES`] bytes, written as hexadecimal digits.
pub fn new_key() -> String {
    hex(&rand::random::<[u8; KEY_BYTES]>())
}

/// Length in bytes of a write id.
const WRITE_ID_BYTES: usize = 16;

/// Generates a random id that identifies one write to the store.
pub fn new_write_id() -> String {
    hex(&rand::random::<[u8; WRITE_ID_BYTES]>())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl KeyHash {
    /// Hashes a key presented by a caller.
    pub fn of(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()))
    }

    /// Parses the hexadecimal form used in configuration documents.
    pub fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text).ok().map(Self)
    }

    /// Returns the hexadecimal form used in configuration documents.
    pub fn to_hex(self) -> String {
        self.0.to_hex().to_string()
    }

    /// Returns the leading bytes of the hash, which are safe to use as a lookup key.
    pub fn prefix(self) -> KeyPrefix {
        let mut prefix = [0; PREFIX_BYTES];
        prefix.copy_from_slice(&self.0.as_bytes()[..PREFIX_BYTES]);
        prefix
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

#[cfg(test)]
mod tests;
