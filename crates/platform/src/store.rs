//! The platform's key-value service: compare-and-swap, leases and watches.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

/// Number that the key-value service raises with each write.
pub type Revision = u64;
/// Identifies a lease granted by the key-value service.
pub type LeaseId = i64;

/// Size of the largest value that the key-value service holds, in bytes.
pub const VALUE_BYTES_MAX: usize = 1_000_000;

/// A stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key of the value.
    pub key: Arc<str>,
    /// The value, at most one megabyte.
    pub value: Bytes,
    /// Revision of the last write of this key.
    pub revision: Revision,
}

/// All values below a prefix at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision at which the values were read.
    pub revision: Revision,
    /// The values in order of key.
    pub records: Vec<Record>,
}

/// Condition that a key must meet for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    Revision(Revision),
}

/// What a write does when its condition is met.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Stores a value, which disappears with `lease` where one is given.
    Put {
        /// The value to store.
        value: Bytes,
        /// Lease that bounds the life of the value.
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
    /// A write that stores `value` without a lease.
    pub fn put(key: impl Into<Arc<str>>, compare: Compare, value: impl Into<Bytes>) -> Self {
        let operation = Operation::Put { value: value.into(), lease: None };
        Self { key: key.into(), compare, operation }
    }
}

/// Answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect at this revision.
    Written(Revision),
    /// The condition was not met and nothing changed.
    Conflict,
}

/// A change seen by a watch.
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
    /// The call had no effect: the service could not be reached or refused it.
    #[error("key-value service unavailable: {0}")]
    Unavailable(Arc<str>),
    /// The answer was lost; a write may have taken effect.
    #[error("outcome of the call to the key-value service is unknown: {0}")]
    OutcomeUnknown(Arc<str>),
    /// The lease does not exist or has expired.
    #[error("lease expired")]
    LeaseExpired,
    /// The service cannot resume a watch at this position, because its history no longer reaches
    /// back or because it was restored to an older state. Start again from a snapshot.
    #[error("watch position was compacted")]
    Compacted,
    /// The service sent an answer that cannot be understood.
    #[error("malformed answer of the key-value service: {0}")]
    Malformed(Arc<str>),
}

/// Client of the key-value service. Every call has a deadline.
pub trait Store: Clone + Send + Sync + 'static {
    /// Stream of changes.
    type Watch: Watch;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Record>, StoreError>> + Send;

    /// Reads every key that starts with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Writes one key if its condition is met.
    fn write(&self, write: Write) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;

    /// Grants a lease that expires after `ttl` without renewal.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease and returns its time to live.
    fn keep_alive(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<Duration, StoreError>> + Send;

    /// Ends a lease and removes the keys bound to it.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Watches every key that starts with `prefix` for changes after revision `after`, which may
    /// not lie in the future of the service. A position that the service cannot resume is reported
    /// here or by the first [`Watch::next`].
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;
}

/// Condition on one key of a [`Transaction`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    /// Key that the condition is about.
    pub key: Arc<str>,
    /// State that the key must have.
    pub compare: Compare,
}

/// Change of one key by a [`Transaction`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// Key to change.
    pub key: Arc<str>,
    /// What happens to the key.
    pub operation: Operation,
}

/// A change of several keys that takes effect as a whole, if all conditions are met.
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

    /// Adds a value to store, bound to `lease` where one is given.
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

    /// Number of conditions and effects.
    pub fn entries(&self) -> usize {
        self.expectations.len() + self.effects.len()
    }
}

/// Answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction took effect at this revision.
    Written(Revision),
    /// A condition was not met and nothing changed; the keys of the conditions that exist.
    Conflict(Vec<Record>),
}

/// A store that changes several keys at once.
pub trait TransactionalStore: Store {
    /// Applies a transaction if its conditions are met.
    fn commit(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome, StoreError>> + Send;
}

/// Stream of changes below a prefix.
pub trait Watch: Send + 'static {
    /// Waits for the next changes, in order of revision.
    fn next(&mut self) -> impl Future<Output = Result<Vec<Change>, StoreError>> + Send;

    /// Ends the watch.
    fn close(self);
}
