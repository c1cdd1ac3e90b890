//! Stored values with the ids of their last writes.

use std::collections::VecDeque;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use cassiafold_config::InstanceId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Identifier of one write of one instance.
pub type WriteId = Arc<str>;

/// Number of last write ids that a document keeps.
pub const WRITE_IDS_MAX: usize = 32;

/// A validated value that is stored as JSON.
///
/// A type that needs no validation can be its own wire type.
pub trait Document: TryFrom<Self::Wire, Error: Display> + Clone + Send + Sync {
    /// Stored form of the value.
    type Wire: From<Self> + Serialize + DeserializeOwned + Send;
}

/// Generates the write ids of one process.
#[derive(Debug)]
pub struct Writer {
    instance: InstanceId,
    incarnation: u64,
    writes: AtomicU64,
}

impl Writer {
    /// Creates a writer with a random incarnation, so that ids do not repeat after a restart.
    pub fn new(instance: impl Into<InstanceId>) -> Self {
        Self { instance: instance.into(), incarnation: rand::random(), writes: AtomicU64::new(0) }
    }

    /// Returns a new write id.
    pub fn next_id(&self) -> WriteId {
        let number = self.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}/{:016x}/{number}", self.instance, self.incarnation).into()
    }
}

/// Ids of the last writes of a document, at most [`WRITE_IDS_MAX`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteLog {
    count: u64,
    recent: VecDeque<WriteId>,
}

impl WriteLog {
    /// Returns the number of writes of the document since its creation.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the id of the last write.
    pub fn last(&self) -> Option<&WriteId> {
        self.recent.back()
    }

    /// Returns whether `id` is among the last writes.
    pub fn contains(&self, id: &str) -> bool {
        self.recent.iter().any(|recent| &**recent == id)
    }

    /// Returns whether the id of the write with this number, counted from 1, is still kept.
    pub fn covers(&self, number: u64) -> bool {
        let kept = u64::try_from(self.recent.len()).unwrap_or(u64::MAX);
        number <= self.count && number > self.count.saturating_sub(kept)
    }

    /// Returns the log after one more write.
    pub fn followed_by(&self, id: WriteId) -> Self {
        let mut next = self.clone();
        next.count = next.count.saturating_add(1);
        next.recent.push_back(id);
        while next.recent.len() > WRITE_IDS_MAX {
            next.recent.pop_front();
        }
        next
    }
}

/// A document with the log of its writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope<T> {
    /// The document.
    pub value: T,
    /// Log of its last writes.
    pub writes: WriteLog,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EnvelopeWire<W> {
    writes: WriteLog,
    value: W,
}

/// Failure to decode or encode a document.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The value is not JSON or does not match the schema.
    #[error("malformed document: {0}")]
    Malformed(Arc<str>),
    /// The value failed the validation of its type.
    #[error("invalid document: {0}")]
    Invalid(Arc<str>),
}

impl<T: Document> Envelope<T> {
    /// Decodes and validates a stored value.
    pub fn decode(value: &[u8]) -> Result<Self, DocumentError> {
        let wire: EnvelopeWire<T::Wire> = serde_json::from_slice(value).map_err(malformed)?;
        let value = T::try_from(wire.value)
            .map_err(|error| DocumentError::Invalid(error.to_string().into()))?;
        Ok(Self { value, writes: wire.writes })
    }

    /// Returns the value to store.
    pub fn encode(&self) -> Result<Bytes, DocumentError> {
        let value = T::Wire::from(self.value.clone());
        let wire = EnvelopeWire { writes: self.writes.clone(), value };
        serde_json::to_vec(&wire).map(Bytes::from).map_err(malformed)
    }
}

fn malformed(error: serde_json::Error) -> DocumentError {
    DocumentError::Malformed(error.to_string().into())
}

#[cfg(test)]
mod tests;
