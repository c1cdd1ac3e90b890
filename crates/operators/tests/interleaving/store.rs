//! Store in which each call waits until the test decides its outcome.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use cassiafold_platform::{
    Change, Compare, LeaseId, Operation, Record, Revision, Snapshot, Store, StoreError, Watch,
    Write, WriteOutcome,
};
use tokio::sync::oneshot;

/// Outcome of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call takes effect and the caller receives the response.
    Completed,
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The request is lost, and the caller does not know whether the call took effect.
    RequestLost,
    /// The call is refused without effect, and the caller receives the refusal.
    Refused,
    /// The response is lost, and the call takes effect later.
    Delayed,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    values: BTreeMap<Arc<str>, (Bytes, Revision)>,
    history: Vec<BTreeMap<Arc<str>, (Bytes, Revision)>>,
    waiting: Vec<WaitingCall>,
    writes: Vec<(Arc<str>, Bytes)>,
    delayed_writes: Vec<Write>,
}

#[derive(Debug)]
struct WaitingCall {
    client: usize,
    is_write: bool,
    sender: oneshot::Sender<CallOutcome>,
}

/// A store under the control of a test, as seen by one client.
#[derive(Debug, Clone, Default)]
pub struct SteppedStore {
    state: Arc<Mutex<State>>,
    client: usize,
}

impl SteppedStore {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test thread panicked")
    }

    /// Returns a handle to the same store for another client.
    pub fn client(&self, client: usize) -> Self {
        Self { client, ..self.clone() }
    }

    /// Returns the number of waiting calls. They are in order of client, regardless of when they
    /// were made.
    pub fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Returns whether the waiting call at `index` is a write.
    pub fn is_write(&self, index: usize) -> bool {
        self.lock().waiting[index].is_write
    }

    /// Ends the waiting call at `index` with the given outcome.
    pub fn release(&self, index: usize, outcome: CallOutcome) {
        let waiting = self.lock().waiting.remove(index);
        let _ = waiting.sender.send(outcome);
    }

    /// Returns the number of delayed writes that are not yet applied.
    pub fn delayed_writes(&self) -> usize {
        self.lock().delayed_writes.len()
    }

    /// Applies the oldest delayed write.
    pub fn apply_delayed_write(&self) {
        let mut state = self.lock();
        let write = state.delayed_writes.remove(0);
        state.apply(&write);
    }

    /// Returns every value written, with its key, in order.
    pub fn writes(&self) -> Vec<(Arc<str>, Bytes)> {
        self.lock().writes.clone()
    }

    /// Restores the state before the last `writes` writes.
    pub fn roll_back(&self, writes: usize) {
        let mut state = self.lock();
        for _ in 0..writes {
            state.values = state.history.pop().unwrap_or_default();
        }
    }

    /// Stores a value without waiting for the test.
    pub fn put_now(&self, key: &str, value: Bytes) {
        let write = Write::put(key, Compare::Absent, value);
        self.lock().apply(&write);
    }

    /// Waits until the test releases this call.
    async fn wait(&self, is_write: bool) -> CallOutcome {
        let (sender, receiver) = oneshot::channel();
        let waiting = WaitingCall { client: self.client, is_write, sender };
        {
            let mut state = self.lock();
            state.waiting.push(waiting);
            state.waiting.sort_by_key(|waiting| waiting.client);
        }
        receiver.await.unwrap_or(CallOutcome::Refused)
    }

    async fn read<T>(&self, read: impl FnOnce(&State) -> T) -> Result<T, StoreError> {
        match self.wait(false).await {
            CallOutcome::Completed => Ok(read(&self.lock())),
            _ => Err(StoreError::Unavailable("refused".into())),
        }
    }
}

impl State {
    fn apply(&mut self, write: &Write) -> WriteOutcome {
        let revision = self.values.get(&write.key).map(|(_, revision)| *revision);
        let condition_holds = match write.compare {
            Compare::Absent => revision.is_none(),
            Compare::Revision(expected) => revision == Some(expected),
        };
        if !condition_holds {
            return WriteOutcome::Conflict;
        }
        self.history.push(self.values.clone());
        self.revision += 1;
        match &write.operation {
            Operation::Put { value, .. } => {
                self.values.insert(write.key.clone(), (value.clone(), self.revision));
                self.writes.push((write.key.clone(), value.clone()));
            }
            Operation::Delete => drop(self.values.remove(&write.key)),
        }
        WriteOutcome::Written(self.revision)
    }

    fn record(&self, key: &str) -> Option<Record> {
        let (value, revision) = self.values.get(key)?;
        Some(Record { key: key.into(), value: value.clone(), revision: *revision })
    }
}

impl Store for SteppedStore {
    type Watch = NoWatch;

    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.read(|state| state.record(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        self.read(|state| {
            let keys = state.values.keys().filter(|key| key.starts_with(prefix));
            let records = keys.filter_map(|key| state.record(key)).collect();
            Snapshot { revision: state.revision, records }
        })
        .await
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        let unknown = Err(StoreError::OutcomeUnknown("lost".into()));
        match self.wait(true).await {
            CallOutcome::Completed => Ok(self.lock().apply(&write)),
            CallOutcome::ResponseLost => {
                self.lock().apply(&write);
                unknown
            }
            CallOutcome::RequestLost => unknown,
            CallOutcome::Delayed => {
                self.lock().delayed_writes.push(write);
                unknown
            }
            CallOutcome::Refused => Err(StoreError::Unavailable("refused".into())),
        }
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, StoreError> {
        Err(StoreError::Unavailable("leases are not supported".into()))
    }

    async fn keep_alive(&self, _lease: LeaseId) -> Result<Duration, StoreError> {
        Err(StoreError::LeaseExpired)
    }

    async fn revoke_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::LeaseExpired)
    }

    async fn watch(&self, _prefix: &str, _after: Revision) -> Result<NoWatch, StoreError> {
        Err(StoreError::Unavailable("watches are not supported".into()))
    }
}

/// Watch that only returns errors.
#[derive(Debug)]
pub struct NoWatch;

impl Watch for NoWatch {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        Err(StoreError::Unavailable("watches are not supported".into()))
    }

    fn close(self) {}
}
