//! Values in the store that record who wrote them.

use std::collections::VecDeque;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use cassiafold_config::InstanceId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Identifies one write of one instance.
pub type WriteId = Arc<str>;

/// Number of write ids that a document keeps.
pub const WRITE_IDS_MAX: usize = 32;

/// A checked value that is kept in the store as JSON.
///
/// A type that needs no check is its own wire type.
pub trait Document: TryFrom<Self::Wire, Error: Display> + Clone + Send + Sync {
    /// Form of the value in the store.
    type Wire: From<Self> + Serialize + DeserializeOwned + Send;
}

/// Numbers the writes of one process.
#[derive(Debug)]
pub struct Writer {
    instance: InstanceId,
    incarnation: u64,
    writes: AtomicU64,
}

impl Writer {
    /// A writer with a random incarnation, so that ids never repeat after a restart.
    pub fn new(instance: impl Into<InstanceId>) -> Self {
        Self { instance: instance.into(), incarnation: rand::random(), writes: AtomicU64::new(0) }
    }

    /// A write id that was never used before.
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
    /// Number of writes of the document so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Id of the last write.
    pub fn last(&self) -> Option<&WriteId> {
        self.recent.back()
    }

    /// Whether `id` is among the last writes.
    pub fn contains(&self, id: &str) -> bool {
        self.recent.iter().any(|recent| &**recent == id)
    }

    /// Whether the id of the write with this number, counted from 1, is still kept.
    pub fn covers(&self, number: u64) -> bool {
        let kept = u64::try_from(self.recent.len()).unwrap_or(u64::MAX);
        number <= self.count && number > self.count.saturating_sub(kept)
    }

    /// The log after one more write.
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
    /// Its last writes.
    pub writes: WriteLog,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EnvelopeWire<W> {
    writes: WriteLog,
    value: W,
}

/// A stored document that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The value is not JSON of the expected shape.
    #[error("malformed document: {0}")]
    Malformed(Arc<str>),
    /// The value breaks a rule of its type.
    #[error("invalid document: {0}")]
    Invalid(Arc<str>),
}

impl<T: Document> Envelope<T> {
    /// Reads a stored value.
    pub fn decode(value: &[u8]) -> Result<Self, DocumentError> {
        let wire: EnvelopeWire<T::Wire> = serde_json::from_slice(value).map_err(malformed)?;
        let value = T::try_from(wire.value)
            .map_err(|error| DocumentError::Invalid(error.to_string().into()))?;
        Ok(Self { value, writes: wire.writes })
    }

    /// The value to store.
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
