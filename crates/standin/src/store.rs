//! In-memory stand-in of the key-value service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cassiafold_platform::{
    Change, Effect, Expectation, LeaseId, Operation, Record, Revision, Snapshot, Store, StoreError,
    Transaction, TransactionOutcome, TransactionalStore, VALUE_BYTES_MAX, Watch, Write,
    WriteOutcome,
};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::calls::CallKind;
use crate::faults::{ClientId, ListFault, Partition, StoreFaults, WriteFault};
use crate::state::{State, WatchNumber};

/// Client id of a store handle that was given none.
const DEFAULT_CLIENT: &str = "default";
/// Default timeout of a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which a watch waits before it checks for changes again.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(60);

/// Handle of one client to an in-memory key-value service. Clones share one state.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    shared: Arc<Shared>,
    client: ClientId,
    timeout: Duration,
}

#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.remove_expired_leases();
        state
    }

    pub(crate) fn notify_watches(&self) {
        self.changed.send_replace(());
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.lock());
        self.notify_watches();
        result
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        let shared = Shared { state: Mutex::default(), changed: watch::Sender::new(()) };
        Self { shared: Arc::new(shared), client: DEFAULT_CLIENT.into(), timeout: DEFAULT_TIMEOUT }
    }
}

/// Whether the response to a request that arrived is delivered.
enum ResponseDelivery {
    /// The response is expected to be delivered.
    Expected,
    /// The response is lost.
    Lost,
}

/// Why a call fails before its effect.
enum CallFailure {
    Outage,
    Refused,
    RequestLost,
}

impl MemoryStore {
    /// Returns a handle of another client to the same store. Each client has its own call counts
    /// and partition.
    pub fn client(&self, client: impl Into<ClientId>) -> Self {
        Self { client: client.into(), ..self.clone() }
    }

    /// Returns a handle to the same store with another call timeout.
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self { timeout, ..self.clone() }
    }

    /// Returns the handle that injects faults and reads call counts.
    pub fn faults(&self) -> StoreFaults {
        StoreFaults::new(self.shared.clone())
    }

    /// Counts a call and simulates the delivery of its request to the store.
    async fn send_request(&self, kind: CallKind) -> Result<ResponseDelivery, CallFailure> {
        let delay = {
            let mut state = self.shared.lock();
            state.counts.entry(self.client.clone()).or_default().add(kind);
            state.faults.delay / 2
        };
        if delay >= self.timeout {
            sleep(self.timeout).await;
            return Err(CallFailure::RequestLost);
        }
        sleep_if_nonzero(delay).await;
        let (outage, partition) = {
            let state = self.shared.lock();
            (state.faults.outage, state.faults.partition(&self.client))
        };
        match partition {
            Some(Partition::Requests) => {
                sleep(self.timeout - delay).await;
                Err(CallFailure::RequestLost)
            }
            Some(Partition::Refused) => Err(CallFailure::Refused),
            _ if outage => Err(CallFailure::Outage),
            Some(Partition::Answers) => Ok(ResponseDelivery::Lost),
            None => Ok(ResponseDelivery::Expected),
        }
    }

    /// Simulates the delivery of a response. Returns false if it is lost.
    async fn deliver_response(&self, delivery: ResponseDelivery) -> bool {
        let (delay, cut_off) = {
            let faults = &self.shared.lock().faults;
            (faults.delay / 2, faults.partition(&self.client) == Some(Partition::Answers))
        };
        let lost = cut_off || matches!(delivery, ResponseDelivery::Lost);
        if lost || delay * 2 >= self.timeout {
            sleep(self.timeout.saturating_sub(delay)).await;
            return false;
        }
        sleep_if_nonzero(delay).await;
        true
    }

    async fn read<T>(
        &self,
        kind: CallKind,
        read: impl FnOnce(&State) -> T + Send,
    ) -> Result<T, StoreError> {
        let delivery = self.send_request(kind).await.map_err(CallFailure::into_read_error)?;
        let result = read(&self.shared.lock());
        match self.deliver_response(delivery).await {
            true => Ok(result),
            false => Err(StoreError::Unavailable("no response before the timeout".into())),
        }
    }

    async fn update<T: Send>(
        &self,
        kind: CallKind,
        change: impl FnOnce(&mut State) -> Result<T, StoreError> + Send,
    ) -> Result<T, StoreError> {
        let delivery = self.send_request(kind).await.map_err(CallFailure::into_write_error)?;
        let result = self.shared.change(change);
        match self.deliver_response(delivery).await {
            true => result,
            false => Err(StoreError::no_response()),
        }
    }

    /// Reads the keys with `prefix` at revision `at`. `None` reads the current revision, or the
    /// older one that stale reads serve.
    pub(crate) async fn list_at(
        &self,
        prefix: &str,
        at: Option<Revision>,
    ) -> Result<Snapshot, StoreError> {
        let fault = self.shared.lock().faults.list_fault(&self.client, prefix);
        match fault {
            Some(ListFault::Slow(delay)) => sleep(delay).await,
            Some(ListFault::NoResponse) => {
                sleep(self.timeout).await;
                return Err(StoreError::Unavailable("no response before the timeout".into()));
            }
            None => {}
        }
        let list = |state: &State| state.keys.list(prefix, at.or(state.faults.stale_revision));
        let snapshot = self.read(CallKind::List, list).await?;
        match at.is_some_and(|at| at != snapshot.revision) {
            true => Err(StoreError::Compacted),
            false => Ok(snapshot),
        }
    }

    /// Commits `transaction` after `delay`, in the background.
    fn commit_late(&self, transaction: Transaction, delay: Duration) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            shared.change(|state| state.commit(transaction))
        });
    }
}

impl CallFailure {
    fn into_read_error(self) -> StoreError {
        match self {
            Self::Outage => StoreError::Unavailable("outage".into()),
            Self::Refused => StoreError::Unavailable("refused".into()),
            Self::RequestLost => StoreError::Unavailable("no response before the timeout".into()),
        }
    }

    fn into_write_error(self) -> StoreError {
        match self {
            Self::Outage => StoreError::Unavailable("outage".into()),
            Self::Refused => StoreError::Unavailable("refused".into()),
            Self::RequestLost => StoreError::no_response(),
        }
    }
}

async fn sleep_if_nonzero(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

fn check_size(operation: &Operation) -> Result<(), StoreError> {
    match operation {
        Operation::Put { value, .. } if value.len() > VALUE_BYTES_MAX => {
            Err(StoreError::Unavailable("value exceeds one megabyte".into()))
        }
        _ => Ok(()),
    }
}

impl Store for MemoryStore {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.read(CallKind::Get, |state| state.keys.get(key, state.faults.stale_revision)).await
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        self.list_at(prefix, None).await
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        let expectation = Expectation { key: write.key.clone(), compare: write.compare };
        let effect = Effect { key: write.key, operation: write.operation };
        let transaction = Transaction { expectations: vec![expectation], effects: vec![effect] };
        match self.commit(transaction).await? {
            TransactionOutcome::Written(revision) => Ok(WriteOutcome::Written(revision)),
            TransactionOutcome::Conflict(_) => Ok(WriteOutcome::Conflict),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.update(CallKind::GrantLease, |state| Ok(state.grant(ttl))).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.update(CallKind::KeepAlive, |state| state.keep_alive(lease)).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        if self.shared.lock().faults.loses_revocations(&self.client) {
            return Err(StoreError::OutcomeUnknown("request lost".into()));
        }
        self.update(CallKind::RevokeLease, |state| state.revoke(lease)).await
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<MemoryWatch, StoreError> {
        let delivery =
            self.send_request(CallKind::Watch).await.map_err(CallFailure::into_read_error)?;
        let changed = self.shared.changed.subscribe();
        let number = {
            let mut state = self.shared.lock();
            state.keys.changes(prefix, after).ok_or(StoreError::Compacted)?;
            state.start_watch()
        };
        if !self.deliver_response(delivery).await {
            return Err(StoreError::Unavailable("no response before the timeout".into()));
        }
        Ok(MemoryWatch { store: self.clone(), prefix: prefix.into(), after, number, changed })
    }
}

impl TransactionalStore for MemoryStore {
    async fn commit(&self, transaction: Transaction) -> Result<TransactionOutcome, StoreError> {
        for effect in &transaction.effects {
            check_size(&effect.operation)?;
        }
        let delivery =
            self.send_request(CallKind::Write).await.map_err(CallFailure::into_write_error)?;
        let fault = self.shared.lock().faults.next_write();
        let unknown = Err(StoreError::OutcomeUnknown("response lost".into()));
        match fault {
            None => {}
            Some(WriteFault::LostRequest) => return unknown,
            Some(WriteFault::Late(delay)) => {
                self.commit_late(transaction, delay);
                return unknown;
            }
            Some(WriteFault::LostAnswer) => {
                let _ = self.shared.change(|state| state.commit(transaction));
                return unknown;
            }
        }
        let result = self.shared.change(|state| state.commit(transaction));
        match self.deliver_response(delivery).await {
            true => result,
            false => Err(StoreError::no_response()),
        }
    }
}

/// Watch on a [`MemoryStore`].
#[derive(Debug)]
pub struct MemoryWatch {
    store: MemoryStore,
    prefix: Arc<str>,
    after: Revision,
    number: WatchNumber,
    changed: watch::Receiver<()>,
}

impl MemoryWatch {
    /// Takes the changes that can be delivered now. Also returns the time of the next check.
    fn changes(&mut self) -> Result<(Vec<Change>, Instant), StoreError> {
        let state = self.store.shared.lock();
        let deadline = Instant::now() + WATCH_WAIT_MAX;
        let wake_at = state.next_expiry().unwrap_or(deadline).min(deadline);
        if state.is_silent(self.number) || state.faults.partition(&self.store.client).is_some() {
            return Ok((Vec::new(), wake_at));
        }
        if state.is_ended(self.number) {
            return Err(StoreError::Unavailable("watch ended".into()));
        }
        let changes = state.keys.changes(&self.prefix, self.after);
        self.after = state.keys.revision();
        Ok((changes.ok_or(StoreError::Compacted)?, wake_at))
    }

    /// Waits for changes until `deadline`, and returns an empty list if there are none.
    pub async fn next_until(&mut self, deadline: Instant) -> Result<Vec<Change>, StoreError> {
        loop {
            self.changed.mark_unchanged();
            let (changes, wake_at) = self.changes()?;
            if !changes.is_empty() || Instant::now() >= deadline {
                return Ok(changes);
            }
            let _ = timeout_at(wake_at.min(deadline), self.changed.changed()).await;
        }
    }

    /// Returns the revision up to which all changes were delivered, or `None` while a fault
    /// prevents deliveries.
    pub fn progress(&self) -> Option<Revision> {
        let state = self.store.shared.lock();
        let cut_off = state.faults.partition(&self.store.client).is_some();
        (!cut_off && !state.is_silent(self.number)).then_some(self.after)
    }
}

impl Watch for MemoryWatch {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        loop {
            let deadline = Instant::now() + WATCH_WAIT_MAX;
            let changes = self.next_until(deadline).await?;
            if !changes.is_empty() {
                return Ok(changes);
            }
        }
    }

    fn close(self) {}
}

#[cfg(test)]
mod tests;
