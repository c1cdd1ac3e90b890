//! The in-memory store with planned faults of single reads and transactions, and platform clients
//! that use it.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_jobs::api::{Call, JobApi};
use cassiafold_jobs::desired_state::{self, DesiredStateSender};
use cassiafold_jobs::metrics::JobsMetrics;
use cassiafold_jobs::platform_clients::PlatformClients;
use cassiafold_jobs::spec::Resources;
use cassiafold_platform::{
    LeaseId, Record, Revision, Snapshot, Store, StoreError, Transaction, TransactionOutcome,
    TransactionalStore, Write, WriteOutcome,
};
use cassiafold_standin::{MemoryStore, MemoryWatch};
use tokio_util::sync::CancellationToken;

use crate::clients::{
    NullClient, TestClients, TestFormats, TestWorkers, call, owner_settings, start_owner,
};
use crate::emulator::{config, ms};

/// Simulated time after which a call without a response fails.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// What happens to one call.
#[derive(Debug, Clone, Copy)]
pub enum CallFault {
    None,
    /// No response arrives.
    Silent,
    /// No response arrives, and the client gives up after this time.
    Unanswered(Duration),
    /// The store refuses the call at once.
    Refused,
    /// The response takes this time.
    Slow(Duration),
    /// The call takes effect at once, and the response takes this time.
    SlowResponse(Duration),
    /// The store's client panics.
    Panic,
}

#[derive(Debug)]
struct Plan {
    reads: HashMap<Arc<str>, CallFault>,
    all_reads: HashMap<Arc<str>, CallFault>,
    renewals: CallFault,
    grant: CallFault,
    next: VecDeque<CallFault>,
    others: CallFault,
    calls: u32,
}

/// The store of one instance. Clones share the plan.
#[derive(Debug, Clone)]
pub struct ScriptedStore {
    store: MemoryStore,
    plan: Arc<Mutex<Plan>>,
}

impl ScriptedStore {
    /// Plans the faults of the next reads and transactions, and of all others after them.
    pub fn plan(&self, next: &[CallFault], others: CallFault) {
        let mut plan = self.plan.lock().expect("lock");
        (plan.next, plan.others) = (next.iter().copied().collect(), others);
    }

    /// Plans the fault of the next read of a key.
    pub fn plan_read(&self, key: &str, fault: CallFault) {
        self.plan.lock().expect("lock").reads.insert(key.into(), fault);
    }

    /// Plans the fault of all reads of a key.
    pub fn plan_all_reads(&self, key: &str, fault: CallFault) {
        self.plan.lock().expect("lock").all_reads.insert(key.into(), fault);
    }

    /// Plans the fault of all renewals of leases.
    pub fn plan_renewals(&self, fault: CallFault) {
        self.plan.lock().expect("lock").renewals = fault;
    }

    /// Plans the fault of the next grant of a lease.
    pub fn plan_grant(&self, fault: CallFault) {
        self.plan.lock().expect("lock").grant = fault;
    }

    /// Whether the planned fault of the next read of a key has not happened yet.
    pub fn is_planned(&self, key: &str) -> bool {
        self.plan.lock().expect("lock").reads.contains_key(key)
    }

    /// Number of reads and transactions so far.
    pub fn calls(&self) -> u32 {
        self.plan.lock().expect("lock").calls
    }

    /// Returns the time that the response takes after the effect.
    async fn fault(&self, read_key: Option<&str>) -> Result<Duration, StoreError> {
        let fault = {
            let mut plan = self.plan.lock().expect("lock");
            plan.calls += 1;
            let of_read = read_key.and_then(|key| {
                plan.reads.remove(key).or_else(|| plan.all_reads.get(key).copied())
            });
            of_read.or_else(|| plan.next.pop_front()).unwrap_or(plan.others)
        };
        fault.happen().await
    }
}

impl CallFault {
    /// Returns the time that the response takes after the effect.
    async fn happen(self) -> Result<Duration, StoreError> {
        match self {
            Self::None => Ok(Duration::ZERO),
            Self::SlowResponse(delay) => Ok(delay),
            Self::Silent => {
                tokio::time::sleep(CLIENT_TIMEOUT).await;
                Err(StoreError::OutcomeUnknown("no answer: timeout".into()))
            }
            Self::Unanswered(timeout) => {
                tokio::time::sleep(timeout).await;
                Err(StoreError::no_response())
            }
            Self::Refused => Err(StoreError::Unavailable("429 Too Many Requests".into())),
            Self::Slow(delay) => {
                tokio::time::sleep(delay).await;
                Ok(Duration::ZERO)
            }
            Self::Panic => panic!("a call to the store that panics"),
        }
    }
}

impl Store for ScriptedStore {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        let response_time = self.fault(Some(key)).await?;
        let response = self.store.get(key).await;
        tokio::time::sleep(response_time).await;
        response
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        self.store.list(prefix).await
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        self.store.write(write).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let fault = std::mem::replace(&mut self.plan.lock().expect("lock").grant, CallFault::None);
        let response_time = fault.happen().await?;
        let response = self.store.grant_lease(ttl).await;
        tokio::time::sleep(response_time).await;
        response
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let fault = self.plan.lock().expect("lock").renewals;
        fault.happen().await?;
        self.store.keep_alive(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.revoke_lease(lease).await
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<MemoryWatch, StoreError> {
        self.store.watch(prefix, after).await
    }
}

impl TransactionalStore for ScriptedStore {
    async fn commit(&self, transaction: Transaction) -> Result<TransactionOutcome, StoreError> {
        let response_time = self.fault(None).await?;
        let response = self.store.commit(transaction).await;
        tokio::time::sleep(response_time).await;
        response
    }
}

/// Platform clients of one instance whose store has planned faults.
#[derive(Debug, Clone)]
pub struct ScriptedClients {
    pub clients: TestClients,
    pub store: ScriptedStore,
    pub metrics: JobsMetrics,
}

impl ScriptedClients {
    /// Clients of a store with a configuration with the key `k1`.
    pub async fn new() -> Self {
        Self::with_workers(0).await
    }

    /// Clients of a store with a configuration with the key `k1`, and of these workers.
    pub async fn with_workers(workers: usize) -> Self {
        let clients = TestClients::new(workers);
        clients.configure(1, &["k1"]).await;
        let plan = Plan {
            reads: HashMap::new(),
            all_reads: HashMap::new(),
            renewals: CallFault::None,
            grant: CallFault::None,
            next: VecDeque::new(),
            others: CallFault::None,
            calls: 0,
        };
        let store =
            ScriptedStore { store: clients.store.clone(), plan: Arc::new(Mutex::new(plan)) };
        Self { clients, store, metrics: JobsMetrics::default() }
    }

    /// A job API that knows the configuration.
    pub async fn api(&self) -> JobApi<Self> {
        let (sender, desired_states) = DesiredStateSender::new();
        tokio::spawn(desired_state::follow(self.clone(), sender.clone()));
        let api = JobApi::new(self.clone(), desired_states, sender, self.metrics.clone());
        while !api.is_ready(Duration::from_secs(60)) {
            tokio::time::sleep(ms(1)).await;
        }
        api
    }

    /// Starts an owner. Cancelling the returned token stops it.
    pub fn start_owner(&self, instance: &str) -> CancellationToken {
        start_owner(self.clone(), owner_settings(instance))
    }

    /// A job API whose configuration the store never confirmed.
    pub fn api_with_unconfirmed_config(&self) -> JobApi<Self> {
        let (sender, desired_states) = DesiredStateSender::new();
        sender.apply_config((*config(Resources::default())).clone(), 1);
        JobApi::new(self.clone(), desired_states, sender, self.metrics.clone())
    }

    /// Writes a record without faults.
    pub async fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let transaction = Transaction::default().put(key, value.into(), None);
        self.clients.store.commit(transaction).await.expect("store");
    }
}

/// A call with a known key that names a job and has this much time left.
pub fn call_for(job: u64, left: Duration) -> Call {
    let call = call(&format!("/q/{job:016x}"), Some("k1"));
    Call { deadline: call.arrived + left, ..call }
}

impl PlatformClients for ScriptedClients {
    type Store = ScriptedStore;
    type WorkerClient = TestWorkers;
    type MachineClient = NullClient;
    type PolicyClient = NullClient;
    type Formats = TestFormats;

    fn store(&self) -> &ScriptedStore {
        &self.store
    }

    fn workers(&self) -> &TestWorkers {
        &self.clients.workers
    }

    fn machines(&self) -> &NullClient {
        &NullClient
    }

    fn policy(&self) -> &NullClient {
        &NullClient
    }

    fn formats(&self) -> &TestFormats {
        &TestFormats
    }
}
