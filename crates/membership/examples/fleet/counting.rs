//! Store client that counts the bytes of keys and values.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cassiafold_platform::{
    Change, LeaseId, Operation, Record, Revision, Snapshot, Store, StoreError, Watch, Write,
    WriteOutcome,
};

/// Counter of the bytes of keys and values between a client and the store.
#[derive(Debug, Clone, Default)]
pub struct StoreBytes(Arc<AtomicU64>);

impl StoreBytes {
    /// Returns the bytes counted so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn add_record(&self, record: Option<&Record>) {
        self.add(record.map_or(0, |record| record.key.len() + record.value.len()));
    }
}

/// A store client that counts bytes.
#[derive(Debug, Clone)]
pub struct CountingStore<S> {
    inner: S,
    bytes: StoreBytes,
}

impl<S> CountingStore<S> {
    /// Creates a client that counts the bytes of `inner`.
    pub fn new(inner: S, bytes: StoreBytes) -> Self {
        Self { inner, bytes }
    }
}

impl<S: Store> Store for CountingStore<S> {
    type Watch = CountingWatch<S::Watch>;

    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        let record = self.inner.get(key).await?;
        self.bytes.add(key.len());
        self.bytes.add_record(record.as_ref());
        Ok(record)
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let snapshot = self.inner.list(prefix).await?;
        self.bytes.add(prefix.len());
        snapshot.records.iter().for_each(|record| self.bytes.add_record(Some(record)));
        Ok(snapshot)
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        self.bytes.add(write.key.len());
        if let Operation::Put { value, .. } = &write.operation {
            self.bytes.add(value.len());
        }
        self.inner.write(write).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.inner.grant_lease(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.inner.keep_alive(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.inner.revoke_lease(lease).await
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<Self::Watch, StoreError> {
        let inner = self.inner.watch(prefix, after).await?;
        self.bytes.add(prefix.len());
        Ok(CountingWatch { inner, bytes: self.bytes.clone() })
    }
}

/// A watch that counts bytes.
#[derive(Debug)]
pub struct CountingWatch<W> {
    inner: W,
    bytes: StoreBytes,
}

impl<W: Watch> Watch for CountingWatch<W> {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        let changes = self.inner.next().await?;
        changes.iter().for_each(|change| self.bytes.add_record(change.record.as_ref()));
        Ok(changes)
    }

    fn close(self) {
        self.inner.close();
    }
}
