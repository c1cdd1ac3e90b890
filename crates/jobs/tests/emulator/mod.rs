//! Emulator of workers, the store and a succession of owners, in virtual time.
//!
//! It drives the scheduler as the owner's loop does, loses and delays calls by a seeded random
//! generator, and checks the scheduler's invariants at the workers.

#![allow(dead_code, reason = "each test file uses a part of the emulator")]

mod checks;
pub mod crashes;
mod event;
pub mod faults;
mod handler;
pub mod worker;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::clients::CommandOutcome;
use cassiafold_jobs::cluster::{ClusterConfig, Queue, Service, Team, WorkerEntry};
use cassiafold_jobs::command_budget::CommandLimits;
use cassiafold_jobs::job_memory::JobMemory;
use cassiafold_jobs::record::{
    JOB_PREFIX, JobRecord, JobState, STATE_PREFIX, StateRecord, WORKERS_PREFIX, WorkerRecord,
    parse_job_key,
};
use cassiafold_jobs::scheduler::{Command, OwnerTerm, Scheduler, SchedulerSettings, WriteBatch};
use cassiafold_jobs::spec::{JobId, JobSpec, Resources, RunNumber, StepSpec, TaskId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use self::crashes::Crashes;
use self::event::{Event, Incarnation, Scheduled, SentPoll};
use self::faults::Faults;
use self::worker::EmulatedWorker;

pub const SERVICE: &str = "s";
pub const QUEUE: &str = "q";
pub const TEAM: &str = "t";
/// Unix time at the start of the emulation.
const UNIX_START: Duration = Duration::from_secs(1_000_000);
/// Longest lease that workers accept.
pub const LEASE_MAX: Duration = Duration::from_millis(6_000);
/// How long the capacity before a change may still be filled: the platform's stable time of 3 s and
/// one heartbeat.
const SHRINK_GRACE_PERIOD: Duration = Duration::from_millis(4_500);

pub fn settings() -> SchedulerSettings {
    SchedulerSettings {
        lease_max: LEASE_MAX,
        stop_grace_period: Duration::from_millis(900),
        machine_commands_per_s: 64.0,
        machine_lease: Duration::from_millis(3_000),
        machine_move_duration: Duration::from_millis(1_500),
        status_retention: Duration::from_secs(150),
        job_memory: JobMemory::default(),
        command_limits: CommandLimits::default(),
    }
}

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn cores(cores: u32) -> Resources {
    Resources { processors_milli: cores * 1_000, memory_bytes: 1 << 30, accelerators: 0 }
}

/// A step whose tasks all need the same resources.
pub fn step(tasks: u32, cores_each: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        tasks,
        task_resources: cores(cores_each),
        estimate: ms(500),
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

/// A job of the team and the queue of [`config`].
pub fn job(steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        queue: QUEUE.into(),
        service: SERVICE.into(),
        team: Some(TEAM.into()),
        attempts_max: Some(3),
        spec: JobSpec { payload: "text".into(), steps, schedule: None },
    }
}

/// A configuration with one queue, one service, and one team with this resource quota.
pub fn config(limit: Resources) -> Arc<ClusterConfig> {
    let queue = Queue {
        id: QUEUE.into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: SERVICE.into(),
        priority: 0,
        attempts_max: 3,
        critical_path_factor: 1.5,
        latency_objective: ms(600),
        is_public: false,
        placement_policy: None,
    };
    let team = Team { weight: 100.0, limit };
    Arc::new(ClusterConfig {
        version: 1,
        queues: HashMap::from([(queue.id.clone(), queue)]),
        teams: HashMap::from([(TEAM.into(), team)]),
        keys: HashMap::new(),
        services: HashMap::from([(SERVICE.into(), Service::default())]),
        body_bytes_max: None,
    })
}

/// The emulated deployment.
pub struct Emulator {
    pub now: Duration,
    pub workers: Vec<EmulatedWorker>,
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub states: HashMap<JobId, StateRecord>,
    /// Jobs whose records the owner has deleted.
    deleted_records: HashSet<JobId>,
    /// Violated invariants, in the order of detection.
    pub violations: Vec<String>,
    /// Number of runs that workers have started.
    pub start_count: usize,
    /// Polls whose response listed run ends, all of which an earlier response had listed.
    pub redundant_polls: usize,
    /// Highest number of a run end that each incarnation of a worker has reported.
    last_reported_ends: HashMap<(usize, Duration), u64>,
    /// Latency of a write to the store.
    pub write_latency: Duration,
    faults: Faults,
    /// Stored records of workers, by key.
    worker_records: BTreeMap<Arc<str>, Vec<WorkerRecord>>,
    last_listed_at: Duration,
    scheduler: Option<Scheduler>,
    /// Fencing token of the current owner.
    owner: u64,
    events: BinaryHeap<Scheduled>,
    sequence: u64,
    random: StdRng,
    config: Arc<ClusterConfig>,
    /// Done tasks whose ends were acknowledged to workers.
    acknowledged: HashSet<TaskId>,
    /// Tasks that were started although a worker listed, or had yet to list, their end as done.
    restarted: HashSet<TaskId>,
    /// Done tasks that workers have reported, and to which owner.
    reported_done: HashSet<(u64, TaskId)>,
    failure_counts: HashMap<TaskId, u32>,
    /// Failed runs that a response has told an owner.
    heard_failures: HashSet<(TaskId, RunNumber)>,
    limit: Resources,
    /// Tasks that crash their workers, and the crashes so far.
    pub crashes: Crashes,
}

impl Emulator {
    /// Creates an emulation whose first owner starts immediately, with workers of 16 cores.
    pub fn new(seed: u64, workers: usize, limit: Resources, faults: Faults) -> Self {
        let capacity = Resources { memory_bytes: 64 << 30, ..cores(16) };
        let new_worker = |number| EmulatedWorker::new(number, capacity);
        let mut emulator = Self {
            now: ms(10_000),
            workers: (0..workers).map(new_worker).collect(),
            jobs: BTreeMap::new(),
            states: HashMap::new(),
            deleted_records: HashSet::new(),
            violations: Vec::new(),
            start_count: 0,
            redundant_polls: 0,
            last_reported_ends: HashMap::new(),
            write_latency: ms(5),
            faults,
            worker_records: BTreeMap::new(),
            last_listed_at: Duration::ZERO,
            scheduler: None,
            owner: 1,
            events: BinaryHeap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(seed),
            config: config(limit),
            acknowledged: HashSet::new(),
            restarted: HashSet::new(),
            reported_done: HashSet::new(),
            failure_counts: HashMap::new(),
            heard_failures: HashSet::new(),
            limit,
            crashes: Crashes::default(),
        };
        emulator.start_owner();
        emulator.schedule(Duration::ZERO, Event::Tick);
        emulator
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let key = Reverse((self.now + delay, self.sequence));
        self.events.push(Scheduled(key, event));
    }

    /// Crashes a worker after `delay` and restarts it as a new incarnation after `down` more.
    pub fn crash(&mut self, worker: usize, delay: Duration, down: Duration) {
        self.schedule(delay, Event::Crash { worker });
        self.schedule(delay + down, Event::Restart { worker });
    }

    /// Changes the capacity of a worker, which its entry shows from now on.
    pub fn resize(&mut self, worker: usize, capacity: Resources) {
        let until = self.now + SHRINK_GRACE_PERIOD;
        self.workers[worker].resize(capacity, until);
    }

    /// Ends the owner after `delay` and starts another one after `gap` more.
    pub fn replace_owner(&mut self, delay: Duration, gap: Duration) {
        self.schedule(delay, Event::OwnerCrash);
        self.schedule(delay + gap, Event::OwnerStart);
    }

    /// Adds an accepted job, which the current owner receives immediately.
    pub fn submit(&mut self, id: JobId, record: JobRecord) {
        self.jobs.insert(id, record.clone());
        let (now, revision) = (self.now, u64::MAX);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.add_job(id, record, revision, None, now);
        }
    }

    fn entries(&self) -> Vec<WorkerEntry> {
        self.workers.iter().filter(|worker| worker.is_up).map(EmulatedWorker::entry).collect()
    }

    fn start_owner(&mut self) {
        let term = OwnerTerm {
            token: self.owner,
            run_number_base: u32::try_from(self.owner - 1).unwrap_or(0) * 1_000,
            known_workers: self.worker_records.values().flatten().cloned().collect(),
            ..OwnerTerm::default()
        };
        let mut scheduler = Scheduler::new(settings(), term, self.now);
        scheduler.set_config(self.config.clone());
        for (id, record) in &self.jobs {
            let stored = self.states.get(id);
            match self.deleted_records.contains(id) {
                false => scheduler.add_job(*id, record.clone(), 0, stored, self.now),
                true if stored.is_some() => scheduler.add_ended_job(*id, self.now),
                true => {}
            }
        }
        scheduler.set_workers(self.entries(), self.now);
        self.scheduler = Some(scheduler);
    }

    /// Runs the emulation for `length` of virtual time.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        let is_due = |next: &Scheduled| next.0.0.0 <= end;
        while self.events.peek().is_some_and(is_due)
            && let Some(Scheduled(Reverse((at, _)), event)) = self.events.pop()
        {
            self.now = at;
            self.handle_event(event);
            self.run_scheduler();
        }
    }

    /// Stored state of a job.
    pub fn state(&self, id: JobId) -> JobState {
        self.states.get(&id).map_or(JobState::Queued, |state| state.state)
    }

    /// Number of workers on which the owner may start tasks.
    pub fn usable_workers(&self) -> usize {
        let scheduler = self.scheduler.as_ref();
        scheduler.map_or(0, |scheduler| scheduler.backlog(self.now).workers_usable)
    }

    /// Number of completed jobs whose states are still kept.
    pub fn ended_jobs(&self) -> usize {
        let scheduler = self.scheduler.as_ref();
        scheduler.map_or(0, |scheduler| scheduler.count_jobs(JobState::Completed))
    }

    /// Lets the scheduler plan, executes its commands and applies its writes.
    fn run_scheduler(&mut self) {
        let Some(mut scheduler) = self.scheduler.take() else { return };
        let commands = scheduler.plan(UNIX_START + self.now, self.now);
        for command in commands {
            self.execute(&mut scheduler, command);
        }
        while let Some(batch) = scheduler.next_write_batch(self.now) {
            self.apply_batch(&batch);
            let owner = self.owner;
            self.schedule(self.write_latency, Event::WriteCommitted { owner, batch });
        }
        self.scheduler = Some(scheduler);
    }

    fn apply_batch(&mut self, batch: &WriteBatch) {
        for (key, value) in &batch.puts {
            if let Some(id) = parse_job_key(key, STATE_PREFIX) {
                let state = StateRecord::try_from(&value[..]).expect("state");
                self.states.insert(id, state);
            } else if key.starts_with(WORKERS_PREFIX) {
                let workers = serde_json::from_slice(value).expect("workers");
                self.worker_records.insert(Arc::clone(key), workers);
            }
        }
        for key in &batch.deletions {
            if let Some(id) = parse_job_key(key, STATE_PREFIX) {
                self.states.remove(&id);
            } else if let Some(id) = parse_job_key(key, JOB_PREFIX) {
                self.deleted_records.insert(id);
            }
        }
    }

    /// Number of accepted jobs whose records are stored.
    pub fn stored_records(&self) -> usize {
        self.jobs.len() - self.deleted_records.len()
    }

    fn worker_index(&self, id: &str) -> usize {
        self.workers.iter().position(|worker| worker.has_or_had_id(id)).expect("known worker")
    }

    fn incarnation(&self, id: &str) -> Incarnation {
        let worker = self.worker_index(id);
        Incarnation { worker, started_at: self.workers[worker].started_at }
    }

    /// Whether the incarnation to which a command was sent still runs.
    fn is_current(&self, incarnation: Incarnation) -> bool {
        self.workers[incarnation.worker].is_up
            && self.workers[incarnation.worker].started_at == incarnation.started_at
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..3_000))
    }

    fn execute(&mut self, scheduler: &mut Scheduler, command: Command) {
        let (owner, latency) = (self.owner, self.latency());
        match command {
            Command::Poll { worker: slot, is_out_of_band } => {
                let request = scheduler.poll_request(slot, is_out_of_band, self.now);
                let worker_id = scheduler.worker(slot).entry.id.clone();
                let worker = self.worker_index(&worker_id);
                let sent = self.now;
                let poll =
                    SentPoll { owner, slot, is_out_of_band, worker, worker_id, request, sent };
                self.schedule(latency, Event::Poll(poll));
            }
            Command::Start { worker: slot, task, run, ticket } => {
                let Some(request) = scheduler.start_request(slot, task, run, ticket, self.now)
                else {
                    scheduler.handle_start_outcome(
                        slot,
                        task,
                        run,
                        CommandOutcome::NotSent,
                        self.now,
                    );
                    return;
                };
                let target = self.incarnation(&scheduler.worker(slot).entry.id);
                let (delay, responds) = self.faults.command_delivery(&mut self.random, latency);
                let start = Event::Start { owner, slot, target, request, responds };
                self.schedule(delay, start);
                if !responds {
                    let outcome = CommandOutcome::Unknown;
                    self.schedule(ms(800), Event::StartDone { owner, slot, task, run, outcome });
                }
            }
            Command::Stop { worker: slot, task, run } => {
                let target = self.incarnation(&scheduler.worker(slot).entry.id);
                let (delay, responds) = self.faults.command_delivery(&mut self.random, latency);
                self.schedule(delay, Event::Stop { owner, slot, target, task, run, responds });
                if !responds {
                    let outcome = CommandOutcome::Unknown;
                    self.schedule(ms(800), Event::StopDone { owner, slot, task, run, outcome });
                }
            }
            Command::Throttle { .. } | Command::QueryPolicy(_) | Command::Machine(_) => {}
        }
    }
}
