//! Interface of the platform's key-value service: compare-and-swap, leases and watches.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

/// Number that the key-value service increases with each write.
pub type Revision = u64;
/// Identifier of a lease granted by the key-value service.
pub type LeaseId = i64;

/// Maximum size of a value in the key-value service, in bytes.
pub const VALUE_BYTES_MAX: usize = 1_000_000;

/// A stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key of the value.
    pub key: Arc<str>,
    /// The value, of at most [`VALUE_BYTES_MAX`].
    pub value: Bytes,
    /// Revision of the last write of this key.
    pub revision: Revision,
}

/// All values with a common key prefix at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision at which the values were read.
    pub revision: Revision,
    /// The values, ordered by key.
    pub records: Vec<Record>,
}

/// A part of a [`Snapshot`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Revision at which the part was read. That of the first part is the one of the whole.
    pub revision: Revision,
    /// The values, ordered by key.
    pub records: Vec<Record>,
    /// Key after which the next part begins; `None` after the last part.
    pub next_after: Option<Arc<str>>,
}

/// Condition on a key under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    Revision(Revision),
}

/// Effect of a write whose condition is met.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Stores a value, which is removed when `lease` ends, if one is given.
    Put {
        /// The value to store.
        value: Bytes,
        /// Lease to which the key is bound.
        lease: Option<LeaseId>,
    },
    /// Removes the key.
    Delete,
}

/// A compare-and-swap of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key to write.
    pub key: Arc<str>,
    /// Condition of the write.
    pub compare: Compare,
    /// Effect of the write.
    pub operation: Operation,
}

impl Write {
    /// Creates a write that stores `value` without a lease.
    pub fn put(key: impl Into<Arc<str>>, compare: Compare, value: impl Into<Bytes>) -> Self {
        let operation = Operation::Put { value: value.into(), lease: None };
        Self { key: key.into(), compare, operation }
    }
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect at this revision.
    Written(Revision),
    /// The condition was not met and nothing changed.
    Conflict,
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key that changed.
    pub key: Arc<str>,
    /// The new value; `None` when the key was removed.
    pub record: Option<Record>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Failure of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call had no effect: the service was unreachable or refused it.
    #[error("key-value service unavailable: {0}")]
    Unavailable(Arc<str>),
    /// The response was lost; a write may have taken effect.
    #[error("outcome of the call to the key-value service is unknown: {0}")]
    OutcomeUnknown(Arc<str>),
    /// The lease does not exist or has expired.
    #[error("lease expired")]
    LeaseExpired,
    /// The service cannot start a watch at this revision, because it has compacted that part of its
    /// history or was restored to an older state. Restart from a snapshot.
    #[error("watch position was compacted")]
    Compacted,
    /// The response is larger than what is read of one.
    #[error("response of the key-value service exceeds {max_bytes} bytes")]
    TooLarge {
        /// Size of the largest response that is read, in bytes.
        max_bytes: usize,
    },
    /// The response of the service cannot be decoded.
    #[error("malformed answer of the key-value service: {0}")]
    Malformed(Arc<str>),
}

impl StoreError {
    /// Error of a call that got no response in time.
    pub fn no_response() -> Self {
        Self::OutcomeUnknown("no response before the timeout".into())
    }

    /// Whether the same call may succeed if it is made again.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::OutcomeUnknown(_))
    }
}

/// Client of the key-value service. Every call has a deadline.
pub trait Store: Clone + Send + Sync + 'static {
    /// Stream of changes.
    type Watch: Watch;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Record>, StoreError>> + Send;

    /// Reads all keys that start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Reads the keys that start with `prefix` in parts, from the first one after the key `after`,
    /// for callers that cannot hold all of them.
    ///
    /// A service that has no parts returns all.
    fn list_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send {
        async move {
            let Snapshot { revision, mut records } = self.list(prefix).await?;
            records.retain(|record| after.is_none_or(|after| &*record.key > after));
            Ok(Page { revision, records, next_after: None })
        }
    }

    /// Writes one key if its condition is met.
    fn write(&self, write: Write) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;

    /// Requests a lease that expires after `ttl` without renewal.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease and returns its time to live.
    fn keep_alive(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<Duration, StoreError>> + Send;

    /// Revokes a lease, which removes the keys bound to it.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Watches all keys that start with `prefix` for changes after revision `after`, which must not
    /// exceed the current revision of the service. [`StoreError::Compacted`] is returned here or by
    /// the first [`Watch::next`].
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;
}

/// Condition on one key of a [`Transaction`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    /// Key to compare.
    pub key: Arc<str>,
    /// Required state of the key.
    pub compare: Compare,
}

/// Change of one key by a [`Transaction`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// Key to change.
    pub key: Arc<str>,
    /// Change of the key.
    pub operation: Operation,
}

/// An atomic change of several keys that takes effect if all conditions are met.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions.
    pub expectations: Vec<Expectation>,
    /// Effects.
    pub effects: Vec<Effect>,
}

impl Transaction {
    /// Adds a condition.
    pub fn expect(mut self, key: impl Into<Arc<str>>, compare: Compare) -> Self {
        self.expectations.push(Expectation { key: key.into(), compare });
        self
    }

    /// Adds a value to store, bound to `lease` if one is given.
    pub fn put(
        mut self,
        key: impl Into<Arc<str>>,
        value: impl Into<Bytes>,
        lease: Option<LeaseId>,
    ) -> Self {
        let operation = Operation::Put { value: value.into(), lease };
        self.effects.push(Effect { key: key.into(), operation });
        self
    }

    /// Adds a key to remove.
    pub fn delete(mut self, key: impl Into<Arc<str>>) -> Self {
        self.effects.push(Effect { key: key.into(), operation: Operation::Delete });
        self
    }

    /// Returns the number of conditions and effects.
    pub fn entries(&self) -> usize {
        self.expectations.len() + self.effects.len()
    }
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction took effect at this revision.
    Written(Revision),
    /// A condition was not met and nothing changed. Contains the existing keys of the conditions.
    Conflict(Vec<Record>),
}

/// A store that supports transactions.
pub trait TransactionalStore: Store {
    /// Applies a transaction if its conditions are met.
    fn commit(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome, StoreError>> + Send;
}

/// Stream of changes of the keys with a common prefix.
pub trait Watch: Send + 'static {
    /// Waits for the next changes, in order of revision.
    fn next(&mut self) -> impl Future<Output = Result<Vec<Change>, StoreError>> + Send;

    /// Ends the watch.
    fn close(self);
}
