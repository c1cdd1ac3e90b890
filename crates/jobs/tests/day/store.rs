//! Store client with the timeouts and the long polls of the platform's client, over the stand-in.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{
    Change, Hedge, LeaseId, Record, Revision, Snapshot, Store, StoreError, Transaction,
    TransactionOutcome, TransactionalStore, Watch, Write, WriteOutcome,
};
use cassiafold_standin::MemoryStore;
use tokio::time::{Instant, sleep};

/// Longest time until a response begins.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_800);
/// When a read without a response is repeated.
const REPEATED_READS: Hedge =
    Hedge { interval: Duration::from_millis(700), growth: 1, attempts_max: 4 };
/// How long the store waits for a change before it responds to a watch request.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Client whose watches are successive long polls, each of which can fail.
#[derive(Debug, Clone)]
pub struct PollingStore {
    calls: MemoryStore,
    /// Time that the further pages of a list take.
    pages_time: Duration,
    /// Prefix of the keys whose reads get no response.
    unanswered: Option<&'static str>,
}

/// Watch of a [`PollingStore`].
#[derive(Debug)]
pub struct PollingWatch {
    store: MemoryStore,
    prefix: Arc<str>,
    after: Revision,
}

impl PollingStore {
    /// A client with the timeout of the platform's client.
    pub fn new(store: &MemoryStore, client: &str, pages_time: Duration) -> Self {
        Self {
            calls: store.client(client).with_timeout(RESPONSE_TIMEOUT),
            pages_time,
            unanswered: None,
        }
    }

    /// The same client, whose reads of the keys with a prefix get no response.
    pub fn without_responses(self, prefix: &'static str) -> Self {
        Self { unanswered: Some(prefix), ..self }
    }
}

impl Store for PollingStore {
    type Watch = PollingWatch;

    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        if self.unanswered.is_some_and(|prefix| key.starts_with(prefix)) {
            sleep(RESPONSE_TIMEOUT).await;
            return Err(StoreError::no_response());
        }
        REPEATED_READS.run(|| self.calls.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let snapshot = REPEATED_READS.run(|| self.calls.list(prefix)).await?;
        sleep(self.pages_time).await;
        Ok(snapshot)
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        self.calls.write(write).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.calls.grant_lease(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.calls.keep_alive(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.calls.revoke_lease(lease).await
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<PollingWatch, StoreError> {
        Ok(PollingWatch { store: self.calls.clone(), prefix: prefix.into(), after })
    }
}

impl TransactionalStore for PollingStore {
    async fn commit(&self, transaction: Transaction) -> Result<TransactionOutcome, StoreError> {
        self.calls.commit(transaction).await
    }
}

impl Watch for PollingWatch {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        let mut watch = self.store.watch(&self.prefix, self.after).await?;
        let changes = watch.next_until(Instant::now() + WATCH_WAIT).await?;
        let Some(progress) = watch.progress() else {
            sleep(RESPONSE_TIMEOUT).await;
            return Err(StoreError::no_response());
        };
        self.after = progress;
        Ok(changes)
    }

    fn close(self) {}
}
