//! In-memory stand-in of the key-value service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cassiafold_platform::{
    Change, Compare, LeaseId, Operation, Record, Revision, Snapshot, Store, StoreError, Watch,
    Write, WriteOutcome,
};
use tokio::sync::watch;
use tokio::time::Instant;

/// In-memory key-value service. Clones share one state.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    revisions: Arc<watch::Sender<Revision>>,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    values: BTreeMap<Arc<str>, Stored>,
    history: Vec<Change>,
    leases: BTreeMap<LeaseId, Lease>,
    next_lease: LeaseId,
}

#[derive(Debug)]
struct Stored {
    value: Bytes,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

impl Default for MemoryStore {
    fn default() -> Self {
        let revisions = Arc::new(watch::Sender::new(0));
        Self { state: Arc::default(), revisions }
    }
}

impl MemoryStore {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire();
        state
    }

    fn publish(&self, revision: Revision) {
        self.revisions.send_replace(revision);
    }
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let bound: Vec<Arc<str>> = self
            .values
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in bound {
            self.apply(&key, Operation::Delete);
        }
    }

    fn apply(&mut self, key: &Arc<str>, operation: Operation) -> Revision {
        self.revision += 1;
        let revision = self.revision;
        let record = match operation {
            Operation::Put { value, lease } => {
                let record = Record { key: key.clone(), value: value.clone(), revision };
                self.values.insert(key.clone(), Stored { value, revision, lease });
                Some(record)
            }
            Operation::Delete => {
                self.values.remove(key);
                None
            }
        };
        self.history.push(Change { key: key.clone(), record, revision });
        revision
    }

    fn record(&self, key: &str) -> Option<Record> {
        let (key, stored) = self.values.get_key_value(key)?;
        Some(Record { key: key.clone(), value: stored.value.clone(), revision: stored.revision })
    }

    fn meets(&self, key: &str, compare: Compare) -> bool {
        let revision = self.values.get(key).map(|stored| stored.revision);
        match compare {
            Compare::Absent => revision.is_none(),
            Compare::Revision(expected) => revision == Some(expected),
        }
    }
}

impl Store for MemoryStore {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        Ok(self.lock().record(key))
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let state = self.lock();
        let keys = state.values.keys().filter(|key| key.starts_with(prefix));
        let records = keys.filter_map(|key| state.record(key)).collect();
        Ok(Snapshot { revision: state.revision, records })
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        let mut state = self.lock();
        if !state.meets(&write.key, write.compare) {
            return Ok(WriteOutcome::Conflict);
        }
        if let Operation::Put { lease: Some(lease), .. } = &write.operation
            && !state.leases.contains_key(lease)
        {
            return Err(StoreError::LeaseExpired);
        }
        let revision = state.apply(&write.key, write.operation);
        drop(state);
        self.publish(revision);
        Ok(WriteOutcome::Written(revision))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, Lease { ttl, expires: Instant::now() + ttl });
        Ok(id)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let mut state = self.lock();
        let lease = state.leases.get_mut(&lease).ok_or(StoreError::LeaseExpired)?;
        lease.expires = Instant::now() + lease.ttl;
        Ok(lease.ttl)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let mut state = self.lock();
        state.end_lease(lease);
        let revision = state.revision;
        drop(state);
        self.publish(revision);
        Ok(())
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<MemoryWatch, StoreError> {
        let revisions = self.revisions.subscribe();
        Ok(MemoryWatch { store: self.clone(), prefix: prefix.into(), after, revisions })
    }
}

/// Watch on a [`MemoryStore`].
#[derive(Debug)]
pub struct MemoryWatch {
    store: MemoryStore,
    prefix: Arc<str>,
    after: Revision,
    revisions: watch::Receiver<Revision>,
}

/// How often a waiting watch looks for expired leases.
const EXPIRY_POLL: Duration = Duration::from_millis(100);

impl MemoryWatch {
    fn changes(&mut self) -> Vec<Change> {
        let state = self.store.lock();
        let unseen = state.history.iter().filter(|change| change.revision > self.after);
        let changes: Vec<Change> =
            unseen.filter(|change| change.key.starts_with(&*self.prefix)).cloned().collect();
        self.after = state.revision;
        changes
    }
}

impl Watch for MemoryWatch {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        loop {
            let changes = self.changes();
            if !changes.is_empty() {
                return Ok(changes);
            }
            let _ = tokio::time::timeout(EXPIRY_POLL, self.revisions.changed()).await;
        }
    }

    fn close(self) {}
}

#[cfg(test)]
mod tests;
