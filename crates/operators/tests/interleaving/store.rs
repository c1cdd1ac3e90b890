//! A store in which each call waits until the test lets it through.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use cassiafold_platform::{
    Change, Compare, LeaseId, Operation, Record, Revision, Snapshot, Store, StoreError, Watch,
    Write, WriteOutcome,
};
use tokio::sync::oneshot;

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is lost; the caller cannot tell.
    RequestLost,
    /// It is refused without effect, and the caller knows.
    Refused,
    /// Its answer is lost, and it takes effect at a later moment.
    Late,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    values: BTreeMap<Arc<str>, (Bytes, Revision)>,
    history: Vec<BTreeMap<Arc<str>, (Bytes, Revision)>>,
    waiting: Vec<Waiting>,
    writes: Vec<(Arc<str>, Bytes)>,
    late: Vec<Write>,
}

#[derive(Debug)]
struct Waiting {
    client: usize,
    is_write: bool,
    sender: oneshot::Sender<Fate>,
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

    /// The same store as seen by another client.
    pub fn client(&self, client: usize) -> Self {
        Self { client, ..self.clone() }
    }

    /// Number of calls that wait. They stand in order of client, whatever their order in time.
    pub fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Whether the waiting call at `index` is a write.
    pub fn is_write(&self, index: usize) -> bool {
        self.lock().waiting[index].is_write
    }

    /// Lets one waiting call through.
    pub fn release(&self, index: usize, fate: Fate) {
        let waiting = self.lock().waiting.remove(index);
        let _ = waiting.sender.send(fate);
    }

    /// Number of late writes that have not arrived.
    pub fn late(&self) -> usize {
        self.lock().late.len()
    }

    /// Lets the oldest late write arrive.
    pub fn arrive(&self) {
        let mut state = self.lock();
        let write = state.late.remove(0);
        state.apply(&write);
    }

    /// Every value that was ever written, in order.
    pub fn writes(&self) -> Vec<(Arc<str>, Bytes)> {
        self.lock().writes.clone()
    }

    /// Restores the store as it was `writes` writes ago.
    pub fn roll_back(&self, writes: usize) {
        let mut state = self.lock();
        for _ in 0..writes {
            state.values = state.history.pop().unwrap_or_default();
        }
    }

    /// Stores a value at once.
    pub fn put_now(&self, key: &str, value: Bytes) {
        let write = Write::put(key, Compare::Absent, value);
        self.lock().apply(&write);
    }

    async fn wait(&self, is_write: bool) -> Fate {
        let (sender, receiver) = oneshot::channel();
        let waiting = Waiting { client: self.client, is_write, sender };
        {
            let mut state = self.lock();
            state.waiting.push(waiting);
            state.waiting.sort_by_key(|waiting| waiting.client);
        }
        receiver.await.unwrap_or(Fate::Refused)
    }

    async fn read<T>(&self, read: impl FnOnce(&State) -> T) -> Result<T, StoreError> {
        match self.wait(false).await {
            Fate::Answered => Ok(read(&self.lock())),
            _ => Err(StoreError::Unavailable("refused".into())),
        }
    }
}

impl State {
    fn apply(&mut self, write: &Write) -> WriteOutcome {
        let revision = self.values.get(&write.key).map(|(_, revision)| *revision);
        let met = match write.compare {
            Compare::Absent => revision.is_none(),
            Compare::Revision(expected) => revision == Some(expected),
        };
        if !met {
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
            Fate::Answered => Ok(self.lock().apply(&write)),
            Fate::AnswerLost => {
                self.lock().apply(&write);
                unknown
            }
            Fate::RequestLost => unknown,
            Fate::Late => {
                self.lock().late.push(write);
                unknown
            }
            Fate::Refused => Err(StoreError::Unavailable("refused".into())),
        }
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, StoreError> {
        Err(StoreError::Unavailable("no leases here".into()))
    }

    async fn keep_alive(&self, _lease: LeaseId) -> Result<Duration, StoreError> {
        Err(StoreError::LeaseExpired)
    }

    async fn revoke_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::LeaseExpired)
    }

    async fn watch(&self, _prefix: &str, _after: Revision) -> Result<NoWatch, StoreError> {
        Err(StoreError::Unavailable("no watches here".into()))
    }
}

/// A watch that never tells anything.
#[derive(Debug)]
pub struct NoWatch;

impl Watch for NoWatch {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        Err(StoreError::Unavailable("no watches here".into()))
    }

    fn close(self) {}
}
