//! Compare-and-swap updates that resolve unknown outcomes by reading the document back.
//!
//! Each write has a new write id, and each document keeps the ids of its last writes. When a
//! response is lost, the document is read back:
//!
//! - it contains the write id: the write took effect;
//! - others have written it and its log still covers the number of this write: the write had no
//!   effect and never will, since its condition can no longer be met;
//! - it is unchanged: the write was lost or is still in flight. The same write, with the same id and
//!   condition, is sent again; the condition lets at most one of the two take effect;
//! - its log no longer covers the number of this write: the outcome stays unknown.
//!
//! Keys that are updated this way must not be removed, because a removed key meets the condition of
//! its creation a second time.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until, timeout_at};

use crate::backoff::Backoff;
use crate::document::{Document, Envelope, WriteId, Writer};
use crate::store::{
    Compare, Record, Revision, Store, StoreError, VALUE_BYTES_MAX, Write, WriteOutcome,
};

const RETRY_DELAY_MIN: Duration = Duration::from_millis(10);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);

/// Outcome of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateOutcome<T, R> {
    /// The update took effect exactly once.
    Applied {
        /// The value that was written.
        value: T,
        /// Revision of the document when the write was confirmed.
        revision: Revision,
    },
    /// The update had no effect and never will.
    NotApplied(NotApplied<R>),
    /// The update may have taken effect, at most once.
    StillUnknown {
        /// Id of the write with the unknown outcome.
        write_id: WriteId,
    },
}

/// Reason why an update had no effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NotApplied<R> {
    /// The caller's function refused to change the value.
    #[error("refused")]
    Refused(R),
    /// The store could not be reached before the deadline.
    #[error("{0}")]
    Unavailable(StoreError),
    /// Every attempt until the deadline conflicted with another writer.
    #[error("other writers won until the deadline")]
    Contended,
    /// The stored value cannot be decoded, or the new one cannot be encoded.
    #[error("{0}")]
    Malformed(Arc<str>),
    /// The new value exceeds [`VALUE_BYTES_MAX`].
    #[error("new value of {size_bytes} bytes exceeds the largest value of the store")]
    TooLarge {
        /// Size of the new value, in bytes.
        size_bytes: usize,
    },
}

/// Updates the document at `key`, with retries until `deadline`.
///
/// `change` receives the current value, or `None` if the key does not exist, and returns the new
/// value or a refusal. It is called again after each conflict with another writer.
pub async fn update<S: Store, T: Document, R: Send>(
    store: &S,
    writer: &Writer,
    key: &str,
    deadline: Instant,
    mut change: impl FnMut(Option<&T>) -> Result<T, R> + Send,
) -> UpdateOutcome<T, R> {
    let call = UpdateCall { store, key, deadline };
    let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
    loop {
        let prepared = match call.prepare_write(writer, &mut change).await {
            Ok(prepared) => prepared,
            Err(reason) => return UpdateOutcome::NotApplied(reason),
        };
        let reason = match call.resolve(&prepared).await {
            Resolved::Applied(revision) => {
                return UpdateOutcome::Applied { value: prepared.value, revision };
            }
            Resolved::Unknown => return UpdateOutcome::StillUnknown { write_id: prepared.id },
            Resolved::Conflict => NotApplied::Contended,
            Resolved::NoEffect(error) => NotApplied::Unavailable(error),
        };
        if !call.wait_before_retry(&mut backoff).await {
            return UpdateOutcome::NotApplied(reason);
        }
    }
}

/// A write, with the id and the number by which a read-back finds it in the log.
struct PreparedWrite<T> {
    write: Write,
    id: WriteId,
    number: u64,
    value: T,
}

/// Resolved outcome of one prepared write.
enum Resolved {
    Applied(Revision),
    Conflict,
    NoEffect(StoreError),
    Unknown,
}

/// Result of reading the document back after a write.
enum ReadBack {
    Applied(Revision),
    Conflict,
    Unchanged,
    NotInLog,
}

/// Target and deadline of one update.
struct UpdateCall<'a, S> {
    store: &'a S,
    key: &'a str,
    deadline: Instant,
}

impl<S: Store> UpdateCall<'_, S> {
    async fn prepare_write<T: Document, R>(
        &self,
        writer: &Writer,
        change: &mut impl FnMut(Option<&T>) -> Result<T, R>,
    ) -> Result<PreparedWrite<T>, NotApplied<R>> {
        let record = self.read_until_deadline().await.map_err(NotApplied::Unavailable)?;
        let current = record.as_ref().map(|record| Envelope::<T>::decode(&record.value));
        let current = current.transpose().map_err(malformed)?;
        let value = change(current.as_ref().map(|envelope| &envelope.value));
        let value = value.map_err(NotApplied::Refused)?;
        let id = writer.next_id();
        let writes = current.map(|envelope| envelope.writes).unwrap_or_default();
        let writes = writes.followed_by(id.clone());
        let number = writes.count();
        let bytes = Envelope { value: value.clone(), writes }.encode().map_err(malformed)?;
        if bytes.len() > VALUE_BYTES_MAX {
            return Err(NotApplied::TooLarge { size_bytes: bytes.len() });
        }
        let compare = record.map_or(Compare::Absent, |record| Compare::Revision(record.revision));
        Ok(PreparedWrite { write: Write::put(self.key, compare, bytes), id, number, value })
    }

    /// Sends the write and, if the response is lost, resolves the outcome by reading back.
    async fn resolve<T: Document>(&self, prepared: &PreparedWrite<T>) -> Resolved {
        match self.write(prepared.write.clone()).await {
            Ok(WriteOutcome::Written(revision)) => return Resolved::Applied(revision),
            Ok(WriteOutcome::Conflict) => return Resolved::Conflict,
            Err(error) if had_no_effect(&error) => return Resolved::NoEffect(error),
            Err(_) => {}
        }
        let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        while self.wait_before_retry(&mut backoff).await {
            let Ok(record) = self.read().await else { continue };
            match check_read_back(record.as_ref(), prepared) {
                ReadBack::Applied(revision) => return Resolved::Applied(revision),
                ReadBack::Conflict => return Resolved::Conflict,
                ReadBack::NotInLog => return Resolved::Unknown,
                ReadBack::Unchanged => {}
            }
            if let Ok(WriteOutcome::Written(revision)) = self.write(prepared.write.clone()).await {
                return Resolved::Applied(revision);
            }
        }
        Resolved::Unknown
    }

    async fn read_until_deadline(&self) -> Result<Option<Record>, StoreError> {
        let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        loop {
            let error = match self.read().await {
                Ok(record) => return Ok(record),
                Err(error) => error,
            };
            if !self.wait_before_retry(&mut backoff).await {
                return Err(error);
            }
        }
    }

    async fn read(&self) -> Result<Option<Record>, StoreError> {
        let timeout_error = StoreError::Unavailable("no answer before the deadline".into());
        self.until_deadline(self.store.get(self.key), timeout_error).await
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        let timeout_error = StoreError::OutcomeUnknown("no answer before the deadline".into());
        self.until_deadline(self.store.write(write), timeout_error).await
    }

    async fn until_deadline<O>(
        &self,
        call: impl Future<Output = Result<O, StoreError>>,
        timeout_error: StoreError,
    ) -> Result<O, StoreError> {
        timeout_at(self.deadline, call).await.unwrap_or(Err(timeout_error))
    }

    /// Waits before a retry. Returns false if the deadline would pass first.
    async fn wait_before_retry(&self, backoff: &mut Backoff) -> bool {
        let wake = Instant::now() + backoff.next_delay();
        if wake >= self.deadline {
            return false;
        }
        sleep_until(wake).await;
        true
    }
}

fn malformed<R>(error: impl std::fmt::Display) -> NotApplied<R> {
    NotApplied::Malformed(error.to_string().into())
}

/// Returns whether a failed write certainly had no effect.
fn had_no_effect(error: &StoreError) -> bool {
    matches!(error, StoreError::Unavailable(_) | StoreError::LeaseExpired)
}

/// Looks for a write in the log of the document that was read back.
fn check_read_back<T: Document>(record: Option<&Record>, prepared: &PreparedWrite<T>) -> ReadBack {
    let Some(record) = record else { return ReadBack::Unchanged };
    if let Compare::Revision(expected) = prepared.write.compare
        && record.revision <= expected
    {
        return ReadBack::Unchanged;
    }
    let Ok(envelope) = Envelope::<T>::decode(&record.value) else { return ReadBack::NotInLog };
    if envelope.writes.contains(&prepared.id) {
        return ReadBack::Applied(record.revision);
    }
    match envelope.writes.covers(prepared.number) {
        true => ReadBack::Conflict,
        false => ReadBack::NotInLog,
    }
}
