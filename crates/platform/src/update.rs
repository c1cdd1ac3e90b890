//! Compare-and-swap updates whose unknown outcomes are settled by reading back.
//!
//! Each write carries a fresh write id, and each document keeps the ids of its last writes. When
//! an answer is lost, the document is read back:
//!
//! - it holds the write id: the write took effect;
//! - it was written since by others and its log covers the place of this write: the write had no
//!   effect and, since its condition can no longer be met, never will;
//! - it is unchanged: the write was lost or is still under way. The same write, with the same id
//!   and the same condition, is sent again; the condition lets at most one of the two take effect;
//! - its log no longer covers the place of this write: the outcome stays unknown.
//!
//! Keys that are updated this way must not be removed, because a key that is absent again meets
//! the condition of its creation a second time.

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
        /// Revision at which the store was seen to hold the write.
        revision: Revision,
    },
    /// The update had no effect and will have none.
    NotApplied(NotApplied<R>),
    /// The update may have taken effect, once at most.
    StillUnknown {
        /// Id of the write in question.
        write_id: WriteId,
    },
}

/// Why an update had no effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NotApplied<R> {
    /// The caller's function refused to change the value.
    #[error("refused")]
    Refused(R),
    /// The store could not be reached before the deadline.
    #[error("{0}")]
    Unavailable(StoreError),
    /// Other writers won every time before the deadline.
    #[error("other writers won until the deadline")]
    Contended,
    /// The stored value or the new one cannot be understood.
    #[error("{0}")]
    Malformed(Arc<str>),
    /// The new value exceeds what the store holds.
    #[error("new value of {size_bytes} bytes exceeds the largest value of the store")]
    TooLarge {
        /// Size of the new value.
        size_bytes: usize,
    },
}

/// Updates the document at `key` until it is applied, refused or the deadline has come.
///
/// `change` gets the value now, or `None` where the key does not exist, and returns the new value
/// or a refusal. It is called again after each lost race.
pub async fn update<S: Store, T: Document, R: Send>(
    store: &S,
    writer: &Writer,
    key: &str,
    deadline: Instant,
    mut change: impl FnMut(Option<&T>) -> Result<T, R> + Send,
) -> UpdateOutcome<T, R> {
    let call = Call { store, key, deadline };
    let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
    loop {
        let prepared = match call.prepare(writer, &mut change).await {
            Ok(prepared) => prepared,
            Err(reason) => return UpdateOutcome::NotApplied(reason),
        };
        let reason = match call.settle(&prepared).await {
            Settled::Applied(revision) => {
                return UpdateOutcome::Applied { value: prepared.value, revision };
            }
            Settled::Unknown => return UpdateOutcome::StillUnknown { write_id: prepared.id },
            Settled::Lost => NotApplied::Contended,
            Settled::Unsent(error) => NotApplied::Unavailable(error),
        };
        if !call.pause(&mut backoff).await {
            return UpdateOutcome::NotApplied(reason);
        }
    }
}

/// A write with what is needed to find it again.
struct Prepared<T> {
    write: Write,
    id: WriteId,
    number: u64,
    value: T,
}

/// Outcome of one prepared write.
enum Settled {
    Applied(Revision),
    Lost,
    Unsent(StoreError),
    Unknown,
}

/// What a read-back says about a write.
enum Trace {
    Applied(Revision),
    Lost,
    Unchanged,
    Forgotten,
}

struct Call<'a, S> {
    store: &'a S,
    key: &'a str,
    deadline: Instant,
}

impl<S: Store> Call<'_, S> {
    async fn prepare<T: Document, R>(
        &self,
        writer: &Writer,
        change: &mut impl FnMut(Option<&T>) -> Result<T, R>,
    ) -> Result<Prepared<T>, NotApplied<R>> {
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
        Ok(Prepared { write: Write::put(self.key, compare, bytes), id, number, value })
    }

    /// Sends the write and, where the outcome is unknown, finds out what became of it.
    async fn settle<T: Document>(&self, prepared: &Prepared<T>) -> Settled {
        match self.write(prepared.write.clone()).await {
            Ok(WriteOutcome::Written(revision)) => return Settled::Applied(revision),
            Ok(WriteOutcome::Conflict) => return Settled::Lost,
            Err(error) if had_no_effect(&error) => return Settled::Unsent(error),
            Err(_) => {}
        }
        let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        while self.pause(&mut backoff).await {
            let Ok(record) = self.read().await else { continue };
            match trace(record.as_ref(), prepared) {
                Trace::Applied(revision) => return Settled::Applied(revision),
                Trace::Lost => return Settled::Lost,
                Trace::Forgotten => return Settled::Unknown,
                Trace::Unchanged => {}
            }
            if let Ok(WriteOutcome::Written(revision)) = self.write(prepared.write.clone()).await {
                return Settled::Applied(revision);
            }
        }
        Settled::Unknown
    }

    async fn read_until_deadline(&self) -> Result<Option<Record>, StoreError> {
        let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        loop {
            let error = match self.read().await {
                Ok(record) => return Ok(record),
                Err(error) => error,
            };
            if !self.pause(&mut backoff).await {
                return Err(error);
            }
        }
    }

    async fn read(&self) -> Result<Option<Record>, StoreError> {
        let unanswered = StoreError::Unavailable("no answer before the deadline".into());
        self.bounded(self.store.get(self.key), unanswered).await
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        let unanswered = StoreError::OutcomeUnknown("no answer before the deadline".into());
        self.bounded(self.store.write(write), unanswered).await
    }

    async fn bounded<O>(
        &self,
        call: impl Future<Output = Result<O, StoreError>>,
        unanswered: StoreError,
    ) -> Result<O, StoreError> {
        timeout_at(self.deadline, call).await.unwrap_or(Err(unanswered))
    }

    /// Waits before a retry. Returns false where the deadline comes first.
    async fn pause(&self, backoff: &mut Backoff) -> bool {
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

/// Whether a failed write certainly had no effect.
fn had_no_effect(error: &StoreError) -> bool {
    matches!(error, StoreError::Unavailable(_) | StoreError::LeaseExpired)
}

/// Looks for the trace of a write in what was read back.
fn trace<T: Document>(record: Option<&Record>, prepared: &Prepared<T>) -> Trace {
    let Some(record) = record else { return Trace::Unchanged };
    if let Compare::Revision(expected) = prepared.write.compare
        && record.revision <= expected
    {
        return Trace::Unchanged;
    }
    let Ok(envelope) = Envelope::<T>::decode(&record.value) else { return Trace::Forgotten };
    if envelope.writes.contains(&prepared.id) {
        return Trace::Applied(record.revision);
    }
    match envelope.writes.covers(prepared.number) {
        true => Trace::Lost,
        false => Trace::Forgotten,
    }
}
