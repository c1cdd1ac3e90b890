//! Platform clients for tests: the in-memory store, and emulated workers in this process.

#![allow(dead_code, reason = "each test file uses a part of the clients")]

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId};
use cassiafold_jobs::api::{Call, JobApi};
use cassiafold_jobs::clients::{
    CommandOutcome, FencingToken, MachineClient, MachineOutcome, PolicyClient, PolicyError,
    PolicyResponse, PollError, PollRequest, PollResponse, StartRequest, StopRequest,
    ThrottleRequest, WorkerAddress, WorkerClient,
};
use cassiafold_jobs::cluster::{ClusterConfig, Machine, Wave, WaveNumber, WorkerEntry, WorkerId};
use cassiafold_jobs::coalescing::WakeupCoalescing;
use cassiafold_jobs::desired_state::{self, DesiredState, DesiredStateSender};
use cassiafold_jobs::metrics::JobsMetrics;
use cassiafold_jobs::owner::{self, OwnerSettings};
use cassiafold_jobs::platform_clients::{Formats, ItemError, OperatorItem, PlatformClients};
use cassiafold_jobs::record::{JobRecord, OWNER_KEY};
use cassiafold_jobs::spec::{JobId, Resources, RunNumber, StepId, TaskId};
use cassiafold_platform::{Record, Store, Transaction, TransactionalStore, Write, since_boot};
use cassiafold_standin::MemoryStore;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::emulator::worker::EmulatedWorker;
use crate::emulator::{SERVICE, TEAM, config, cores, ms, settings};

/// Run time of each task of a job without another one.
const TASK_TIME: Duration = Duration::from_millis(40);
/// Time between two checks of a worker for an ended run while a poll waits.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a call to an unreachable worker fails.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Word in a configuration of [`TestFormats`], among the keys, that makes its queue public.
pub const PUBLIC: &str = "public";

/// Key of the operator's at which [`TestFormats`] panics.
pub const ODD_ITEM: &str = "op/odd";

/// Key of a wave at whose status [`TestFormats`] panics.
pub const ODD_WAVE: &str = "op/odd-wave";
const ODD_WAVE_NUMBER: WaveNumber = 13;

/// Platform clients of one instance.
#[derive(Debug, Clone)]
pub struct TestClients {
    pub store: MemoryStore,
    pub workers: TestWorkers,
}

/// Client of the emulated workers. Clones share the workers.
#[derive(Debug, Clone)]
pub struct TestWorkers {
    pub list: Arc<Mutex<Vec<EmulatedWorker>>>,
    /// Jobs by id, from which the workers read the resources of a task.
    jobs: Arc<Mutex<BTreeMap<JobId, JobRecord>>>,
    /// All accepted starts.
    pub starts: Arc<Mutex<Vec<(TaskId, RunNumber)>>>,
    /// Workers whose connections were closed.
    pub disconnected: Arc<Mutex<BTreeSet<WorkerId>>>,
    /// Whether the next poll panics.
    pub panics_at_poll: Arc<AtomicBool>,
    /// Workers that no call reaches.
    pub unreachable: Arc<Mutex<BTreeSet<WorkerId>>>,
    /// Tasks that have ended as done on a worker, and when.
    pub done: Arc<Mutex<BTreeMap<TaskId, Duration>>>,
    /// Run times of the tasks of a job; `None` means that they run until they are stopped.
    run_times: Arc<Mutex<BTreeMap<JobId, Option<Duration>>>>,
    /// Runtime of the workers, which outlives that of a caller.
    runtime: Handle,
    /// Whether polls wait for an end as long as their requests say.
    pub polls_wait: bool,
}

/// Formats with plain text records.
#[derive(Debug, Clone)]
pub struct TestFormats;

/// Client of machines and of the placement policy that has no machines and no tickets.
#[derive(Debug, Clone)]
pub struct NullClient;

impl TestClients {
    /// Creates clients of an empty store and of these workers.
    pub fn new(workers: usize) -> Self {
        let capacity = Resources { memory_bytes: 64 << 30, ..cores(16) };
        let list = (0..workers).map(|number| EmulatedWorker::new(number, capacity)).collect();
        let workers = TestWorkers {
            list: Arc::new(Mutex::new(list)),
            jobs: Arc::default(),
            starts: Arc::default(),
            disconnected: Arc::default(),
            panics_at_poll: Arc::default(),
            unreachable: Arc::default(),
            done: Arc::default(),
            run_times: Arc::default(),
            runtime: Handle::current(),
            polls_wait: false,
        };
        Self { store: MemoryStore::default(), workers }
    }

    /// Returns clients for another instance; store faults can be injected for this instance alone.
    pub fn client(&self, name: &str) -> Self {
        Self { store: self.store.client(name).with_timeout(ms(150)), ..self.clone() }
    }

    /// Writes a configuration with one queue and these API keys.
    pub async fn configure(&self, version: u64, keys: &[&str]) {
        let existing = self.store.get(TestFormats::CONFIG_KEY).await.expect("store");
        let compare = existing.map_or(cassiafold_platform::Compare::Absent, |record| {
            cassiafold_platform::Compare::Revision(record.revision)
        });
        let text = format!("{version} {}", keys.join(" "));
        let write = Write::put(TestFormats::CONFIG_KEY, compare, text);
        self.store.write(write).await.expect("store");
    }

    /// Writes the entries of all workers to the store.
    pub async fn register_workers(&self) {
        let ids: Vec<WorkerId> = {
            let list = self.workers.list.lock().expect("lock");
            list.iter().map(|worker| worker.id.clone()).collect()
        };
        for id in ids {
            let key = format!("{}{id}", TestFormats::WORKERS_PREFIX);
            let write = Write::put(key, cassiafold_platform::Compare::Absent, "up");
            self.store.write(write).await.expect("store");
        }
    }

    /// Replaces the entry of a worker in the store; only "up" can be read.
    pub async fn write_entry(&self, id: &str, value: &'static str) {
        let key = format!("{}{id}", TestFormats::WORKERS_PREFIX);
        self.store.commit(Transaction::default().put(key, value, None)).await.expect("store");
    }

    /// Crashes a worker for good and deletes its entry from the store.
    pub async fn remove_worker(&self, id: &str) {
        self.workers.with(id, EmulatedWorker::crash);
        let key = format!("{}{id}", TestFormats::WORKERS_PREFIX);
        self.store.commit(Transaction::default().delete(key)).await.expect("store");
    }

    /// Creates a job API and starts its watch of the desired state.
    pub fn api(&self) -> JobApi<Self> {
        let (sender, desired_states) = DesiredStateSender::new();
        tokio::spawn(desired_state::follow(self.clone(), sender.clone()));
        JobApi::new(self.clone(), desired_states, sender, JobsMetrics::default())
    }

    /// Starts an owner. Cancelling the returned token stops it.
    pub fn start_owner(&self, instance: &str) -> CancellationToken {
        self.start_delayed_owner(instance, ms(0))
    }

    /// Starts an owner that claims ownership only after a delay.
    pub fn start_delayed_owner(&self, instance: &str, claim_delay: Duration) -> CancellationToken {
        start_owner(self.clone(), OwnerSettings { claim_delay, ..owner_settings(instance) })
    }
}

/// Settings of an owner with a lease of one second.
pub fn owner_settings(instance: &str) -> OwnerSettings {
    OwnerSettings {
        instance: instance.into(),
        lease_ttl: ms(1_000),
        claim_delay_max: ms(20),
        claim_delay: ms(0),
        scheduler: settings(),
        metrics: JobsMetrics::default(),
        coalescing: WakeupCoalescing::default(),
    }
}

/// Starts an owner with these clients. Cancelling the returned token stops it.
pub fn start_owner<S: PlatformClients>(platform: S, settings: OwnerSettings) -> CancellationToken {
    let stop = CancellationToken::new();
    let (sender, desired_states): (DesiredStateSender, watch::Receiver<Arc<DesiredState>>) =
        DesiredStateSender::new();
    tokio::spawn(desired_state::follow(platform.clone(), sender));
    tokio::spawn(owner::campaign(platform, settings, desired_states, stop.clone()));
    stop
}

/// A caller's request for a path.
pub fn call(path: &str, key: Option<&str>) -> Call {
    let arrived = tokio::time::Instant::now();
    Call {
        host: "h".into(),
        path: path.into(),
        key: key.map(Arc::from),
        arrived,
        deadline: arrived + ms(2_000),
    }
}

/// Polls a condition every 20 ms for up to 8 s.
pub async fn wait_until<T>(what: &str, check: impl AsyncFnMut() -> Option<T>) -> T {
    wait_until_within(ms(8_000), what, check).await
}

/// Polls a condition every 20 ms until the timeout.
pub async fn wait_until_within<T>(
    timeout: Duration,
    what: &str,
    mut check: impl AsyncFnMut() -> Option<T>,
) -> T {
    for _ in 0..timeout.as_millis() / 20 {
        if let Some(found) = check().await {
            return found;
        }
        tokio::time::sleep(ms(20)).await;
    }
    panic!("timed out after {timeout:?} waiting for: {what}");
}

/// Waits until there is an owner, or none.
pub async fn wait_for_owner_key(platform: &TestClients, is_present: bool) {
    wait_until("owner's key", async || {
        let record = platform.store.get(OWNER_KEY).await.expect("store");
        (record.is_some() == is_present).then_some(())
    })
    .await;
}

/// Waits until an API has a desired state that is recent.
pub async fn wait_until_ready<S: PlatformClients>(api: &JobApi<S>) {
    wait_until("ready", async || api.is_ready(ms(60_000)).then_some(())).await;
}

impl TestWorkers {
    /// Changes or reads one worker.
    pub fn with<T>(&self, id: &str, action: impl FnOnce(&mut EmulatedWorker) -> T) -> T {
        let mut list = self.list.lock().expect("lock");
        let worker = list.iter_mut().find(|worker| *worker.id == *id).expect("known worker");
        action(worker)
    }
}

impl WorkerClient for TestWorkers {
    async fn poll(
        &self,
        worker: &WorkerAddress,
        request: PollRequest,
    ) -> Result<PollResponse, PollError> {
        tokio::time::sleep(ms(5)).await;
        let panics = self.panics_at_poll.swap(false, Ordering::Relaxed);
        assert!(!panics, "a poll that panics");
        if self.is_unreachable(worker).await {
            return Err(PollError::NoAnswer("unreachable".into()));
        }
        let first = self.with(&worker.id, |worker| worker.poll(request, since_boot()))?;
        let deadline = since_boot() + request.wait;
        if !self.polls_wait || !first.ended.is_empty() {
            return Ok(first);
        }
        while since_boot() < deadline {
            tokio::time::sleep(POLL_CHECK_INTERVAL).await;
            if self.with(&worker.id, |worker| worker.has_ended_runs()) {
                break;
            }
        }
        if self.is_unreachable(worker).await {
            return Err(PollError::NoAnswer("unreachable".into()));
        }
        self.with(&worker.id, |worker| worker.poll(request, since_boot()))
    }

    async fn start(
        &self,
        worker: &WorkerAddress,
        requests: Vec<StartRequest>,
    ) -> Vec<CommandOutcome> {
        if self.is_unreachable(worker).await {
            return vec![CommandOutcome::Unknown; requests.len()];
        }
        requests.iter().map(|request| self.start_one(worker, request)).collect()
    }

    async fn stop(
        &self,
        worker: &WorkerAddress,
        requests: Vec<StopRequest>,
    ) -> Vec<CommandOutcome> {
        if self.is_unreachable(worker).await {
            return vec![CommandOutcome::Unknown; requests.len()];
        }
        let stop = |StopRequest { token, task, run }| {
            self.with(&worker.id, |worker| worker.stop(task, run, token, since_boot()))
        };
        requests.into_iter().map(stop).collect()
    }

    async fn throttle(
        &self,
        _worker: &WorkerAddress,
        requests: Vec<ThrottleRequest>,
    ) -> Vec<CommandOutcome> {
        vec![CommandOutcome::Accepted; requests.len()]
    }

    fn forget(&self, worker: &WorkerAddress) {
        self.disconnected.lock().expect("lock").insert(worker.id.clone());
    }
}

impl TestWorkers {
    /// Whether no call reaches a worker, found out only after a timeout.
    async fn is_unreachable(&self, worker: &WorkerAddress) -> bool {
        let unreachable = self.unreachable.lock().expect("lock").contains(&worker.id);
        if unreachable {
            tokio::time::sleep(UNREACHABLE_TIMEOUT).await;
        }
        unreachable
    }

    fn start_one(&self, worker: &WorkerAddress, request: &StartRequest) -> CommandOutcome {
        let (task, run, now) = (request.task, request.run, since_boot());
        let outcome = {
            let jobs = self.jobs.lock().expect("lock");
            self.with(&worker.id, |worker| worker.start(request, now, &jobs))
        };
        if outcome == CommandOutcome::Accepted {
            self.starts.lock().expect("lock").push((task, run));
            self.finish_in_time(worker, task, run);
        }
        outcome
    }

    /// Ends a run as done after the run time of its job.
    fn finish_in_time(&self, worker: &WorkerAddress, task: TaskId, run: RunNumber) {
        let job = task.step.job;
        let run_time = self.run_times.lock().expect("lock").get(&job).copied();
        let Some(run_time) = run_time.unwrap_or(Some(TASK_TIME)) else { return };
        let (workers, id) = (self.clone(), worker.id.clone());
        self.runtime.spawn(async move {
            tokio::time::sleep(run_time).await;
            workers.with(&id, |worker| {
                if worker.finish(task, run, false, since_boot()) {
                    workers.done.lock().expect("lock").entry(task).or_insert_with(since_boot);
                }
            });
        });
    }

    /// Sets how long the tasks of a job run; `None` means until they are stopped.
    pub fn set_run_time(&self, id: JobId, run_time: Option<Duration>) {
        self.run_times.lock().expect("lock").insert(id, run_time);
    }

    /// Registers with the workers which resources the tasks of a job need.
    pub fn add_job(&self, id: JobId, record: JobRecord) {
        self.jobs.lock().expect("lock").insert(id, record);
    }
}

impl Formats for TestFormats {
    const OPERATOR_PREFIX: &'static str = "op/";
    const CONFIG_KEY: &'static str = "op/config";
    const WORKERS_PREFIX: &'static str = "workers/";

    fn operator_item(&self, record: &Record) -> Result<OperatorItem, ItemError> {
        assert!(&*record.key != ODD_ITEM, "an item that panics");
        if &*record.key == ODD_WAVE {
            let (machines, time_limit) = (Vec::new(), ms(1_000));
            let wave = Wave { number: ODD_WAVE_NUMBER, machines, time_limit, concurrent_max: 1 };
            return Ok(OperatorItem::Wave(wave));
        }
        let text = std::str::from_utf8(&record.value).map_err(|_| ItemError("bytes".into()))?;
        let mut words = text.split(' ');
        let version = words.next().and_then(|word| word.parse().ok());
        let keys: HashMap<Arc<str>, Arc<str>> =
            words.map(|key| (key.into(), TEAM.into())).collect();
        let base = config(Resources::default());
        let version = version.ok_or_else(|| ItemError("version".into()))?;
        let mut config = ClusterConfig { version, keys, ..(*base).clone() };
        if config.keys.remove(PUBLIC).is_some() {
            config.queues.values_mut().for_each(|queue| queue.is_public = true);
        }
        Ok(OperatorItem::Config(Box::new(config)))
    }

    fn worker_entry(&self, record: &Record) -> Result<WorkerEntry, ItemError> {
        let id = record.key.strip_prefix(Self::WORKERS_PREFIX).expect("prefix");
        if record.value != "up" {
            return Err(ItemError("odd".into()));
        }
        let number = id.trim_start_matches('w').parse().expect("number");
        let capacity = Resources { memory_bytes: 64 << 30, ..cores(16) };
        Ok(WorkerEntry { service: SERVICE.into(), ..EmulatedWorker::new(number, capacity).entry() })
    }

    fn wave_status(&self, number: WaveNumber, is_complete: bool) -> (Arc<str>, Vec<u8>) {
        assert_ne!(number, ODD_WAVE_NUMBER, "a wave that panics");
        (format!("status/{number}").into(), is_complete.to_string().into_bytes())
    }
}

impl MachineClient for NullClient {
    async fn list(&self) -> Option<Vec<Machine>> {
        None
    }

    async fn move_to(&self, _: InstanceId, _: ServiceId, _: FencingToken) -> MachineOutcome {
        MachineOutcome::Refused
    }

    async fn maintain(&self, _: InstanceId, _: WaveNumber, _: FencingToken) -> MachineOutcome {
        MachineOutcome::Refused
    }
}

impl PolicyClient for NullClient {
    async fn request_tickets(
        &self,
        _: StepId,
        _: Vec<WorkerId>,
        _: Duration,
    ) -> Result<PolicyResponse, PolicyError> {
        Err(PolicyError::Unanswered)
    }
}

impl PlatformClients for TestClients {
    type Store = MemoryStore;
    type WorkerClient = TestWorkers;
    type MachineClient = NullClient;
    type PolicyClient = NullClient;
    type Formats = TestFormats;

    fn store(&self) -> &MemoryStore {
        &self.store
    }

    fn workers(&self) -> &TestWorkers {
        &self.workers
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
