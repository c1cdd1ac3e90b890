//! The owner's state: jobs, workers, and what follows from each answer.
//!
//! Everything here is computed from typed input and the time given with it. Orders to workers,
//! writes to the store and questions to the placement policy come out as values; carrying them
//! out is up to [`crate::owner`].

mod backlog;
mod balance;
mod budget;
mod delays;
mod gang;
mod in_flight_writes;
mod job_lifecycle;
mod machine_leases;
mod machine_list;
mod maintenance;
mod plan;
mod policy_queries;
mod polls;
mod run_commands;
mod run_ends;
mod steps;
mod throttle;
mod workers;
mod write_batch;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId, TeamId, ZoneId};
use cassiafold_platform::Moment;

pub use self::backlog::Backlog;
use self::in_flight_writes::InFlightWrites;
use self::machine_leases::MachineLeases;
use self::machine_list::MachineList;
pub use self::maintenance::MachineCommand;
use self::maintenance::{SentCommand, WaveProgress};
pub use self::policy_queries::PolicyQuery;
use self::policy_queries::StepTickets;
use self::steps::StepsByService;
use self::workers::EndedIncarnation;
pub use self::write_batch::{WriteBatch, WriteUrgency};
use crate::arrivals::Arrivals;
use crate::balance::PeakNeed;
use crate::clients::{FencingToken, WorkerAddress};
use crate::cluster::{ClusterConfig, Wave, WaveNumber, WorkerId};
use crate::estimate::RunTimeRatio;
use crate::job::{Job, WorkerSlot};
use crate::record::{
    CommandedMachinesRecord, WaitingRecord, WavesRecord, WorkerRecord, WorkerShard,
};
use crate::spec::{JobId, Resources, RunNumber, StepId, TaskId};
use crate::worker::Worker;

/// Times that the platform's settings give.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerSettings {
    /// How long a run may go on without a look: the longest lease that workers grant.
    pub lease_max: Duration,
    /// How long a run may take to end after an order to stop.
    pub stop_grace_period: Duration,
    /// How long the orders of two owners to one machine must be apart.
    pub machine_lease: Duration,
    /// Orders that the machines' control takes in a second.
    pub machine_commands_per_s: f64,
    /// How long a machine takes from one service to another.
    pub machine_move_duration: Duration,
    /// How long the state of an ended job is kept.
    pub status_retention: Duration,
}

/// What the owner knows when its tenure begins.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OwnerTerm {
    /// Its token.
    pub token: FencingToken,
    /// Number below which earlier owners may have used run numbers.
    pub run_number_base: RunNumber,
    /// Workers that earlier owners gave tasks to.
    pub known_workers: Vec<WorkerRecord>,
    /// How far earlier owners came with the waves of maintenance.
    pub waves: WavesRecord,
    /// Machines that earlier owners may have ordered lately.
    pub commanded_machines: CommandedMachinesRecord,
    /// Name of the owner's instance.
    pub instance: Arc<str>,
    /// Time of day at its begin.
    pub started_unix: Duration,
}

/// An order that is to be carried out now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Look at a worker.
    Poll {
        /// The worker.
        worker: WorkerSlot,
        /// Whether it is asked beside another look that waits for an end.
        is_out_of_band: bool,
    },
    /// Start a task.
    Start {
        /// The worker.
        worker: WorkerSlot,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Permission of the placement policy.
        ticket: Option<Arc<str>>,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        worker: WorkerSlot,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
    },
    /// Let a run work at a share of its speed.
    Throttle {
        /// The worker.
        worker: WorkerSlot,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// The share.
        percent: u8,
    },
    /// Ask the placement policy.
    QueryPolicy(PolicyQuery),
    /// Move or maintain a machine.
    Machine(MachineCommand),
}

/// State of one owner.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    term: OwnerTerm,
    /// When the tenure began.
    began: Moment,
    config: Arc<ClusterConfig>,
    evacuated: HashSet<ZoneId>,
    workers: Vec<Worker>,
    /// Lives that are over and still listed: when they were found over, and their begin.
    ended_incarnations: HashMap<WorkerId, EndedIncarnation>,
    /// The present life of each worker.
    current_slots: HashMap<WorkerId, WorkerSlot>,
    /// Lives that are not over, by service.
    slots_by_service: HashMap<ServiceId, Vec<WorkerSlot>>,
    /// When looks fall due. An entry counts only if it is the worker's present one.
    poll_queue: BinaryHeap<Reverse<(Moment, WorkerSlot)>>,
    /// Lives that were found over and whose connections are still kept.
    retired_addresses: Vec<WorkerAddress>,
    /// Workers at which a look beside the one that waits is due.
    out_of_band_polls_due: Vec<WorkerSlot>,
    jobs: HashMap<JobId, Job>,
    /// Steps whose turn has come and that are not done.
    ready: StepsByService,
    /// Those of them that may have tasks that wait.
    waiting_steps: StepsByService,
    /// Parts of the workers whose record in the store is behind.
    stale_shards: BTreeSet<WorkerShard>,
    /// Ended jobs whose state is kept, in the order in which they were found ended, and since when.
    ended: VecDeque<(JobId, Moment)>,
    /// Cancels of jobs that have not been seen.
    early_cancels: HashSet<JobId>,
    /// Jobs that repeat.
    scheduled: Vec<JobId>,
    /// What each team has running.
    team_usage: HashMap<TeamId, Resources>,
    /// Until when runs of an earlier owner may go on at workers that have not answered.
    inherited_runs_expire: Moment,
    /// Services in which something has changed since the last plan.
    changed: HashSet<ServiceId>,
    /// When services in which steps found no room are planned again at the earliest.
    next_placement: HashMap<ServiceId, Moment>,
    /// Jobs whose state in the store is behind, with the number of ends taken in when it first
    /// fell behind.
    unwritten_states: HashMap<JobId, u64>,
    /// Writes to the store that have begun.
    in_flight_writes: InFlightWrites,
    /// Workers with ends that are not stored; those that are gone count until a write ends.
    workers_with_unstored_ends: usize,
    /// Number of ends taken in, from all workers.
    run_ends_received: u64,
    /// How soon what has changed since the last write should be written.
    write_urgency: WriteUrgency,
    /// Runs that shall end.
    stopping: Vec<(WorkerSlot, TaskId)>,
    tickets: HashMap<StepId, StepTickets>,
    open_queries: usize,
    machines: MachineList,
    machines_listed: Option<Moment>,
    is_list_wanted: bool,
    waves_written: WavesRecord,
    /// Machines that were ordered to move, or are about to be: where to, and since when.
    moving: HashMap<InstanceId, (ServiceId, Moment)>,
    /// Moves whose machines are not named in the store yet.
    moves_due: Vec<MachineCommand>,
    machine_leases: MachineLeases,
    balanced: Moment,
    /// What each service needed lately.
    needs: HashMap<ServiceId, PeakNeed>,
    /// Machines of each service that no service wants.
    surplus: HashMap<ServiceId, usize>,
    /// Work that arrived lately.
    arrivals: Arrivals,
    durations: RunTimeRatio,
    waves: BTreeMap<WaveNumber, WaveProgress>,
    /// The last order to each machine.
    machines_ordered: HashMap<InstanceId, SentCommand>,
    /// Arrivals of each team beyond its weight, as a level that its weight drains.
    team_levels: HashMap<TeamId, (f64, Moment)>,
    waiting_written: Option<(Moment, WaitingRecord)>,
    planned_all: Moment,
    /// Time of day at the last plan.
    unix: Duration,
}

impl Scheduler {
    /// A scheduler at the begin of a tenure.
    pub fn new(settings: SchedulerSettings, term: OwnerTerm, now: Moment) -> Self {
        let instance = Arc::clone(&term.instance);
        let machine_leases = MachineLeases::new(
            instance,
            settings.machine_lease,
            term.commanded_machines.clone(),
            now,
        );
        let mut scheduler = Self {
            settings,
            began: now,
            config: Arc::default(),
            evacuated: HashSet::new(),
            workers: Vec::new(),
            ended_incarnations: HashMap::new(),
            current_slots: HashMap::new(),
            slots_by_service: HashMap::new(),
            poll_queue: BinaryHeap::new(),
            retired_addresses: Vec::new(),
            out_of_band_polls_due: Vec::new(),
            jobs: HashMap::new(),
            ready: StepsByService::default(),
            waiting_steps: StepsByService::default(),
            stale_shards: BTreeSet::new(),
            ended: VecDeque::new(),
            early_cancels: HashSet::new(),
            scheduled: Vec::new(),
            team_usage: HashMap::new(),
            inherited_runs_expire: now,
            changed: HashSet::new(),
            next_placement: HashMap::new(),
            unwritten_states: HashMap::new(),
            in_flight_writes: InFlightWrites::default(),
            workers_with_unstored_ends: 0,
            run_ends_received: 0,
            write_urgency: WriteUrgency::Low,
            stopping: Vec::new(),
            tickets: HashMap::new(),
            open_queries: 0,
            machines: MachineList::default(),
            machines_listed: None,
            is_list_wanted: false,
            waves_written: term.waves.clone(),
            moving: HashMap::new(),
            moves_due: Vec::new(),
            machine_leases,
            balanced: now,
            needs: HashMap::new(),
            surplus: HashMap::new(),
            arrivals: Arrivals::default(),
            durations: RunTimeRatio::default(),
            waves: BTreeMap::new(),
            machines_ordered: HashMap::new(),
            team_levels: HashMap::new(),
            waiting_written: None,
            planned_all: now,
            unix: Duration::ZERO,
            term,
        };
        scheduler.inherited_runs_expire = now + scheduler.lease_max();
        scheduler.add_known_workers(now);
        scheduler
    }

    /// Longest time for which a run goes on after an order that has just been carried out, on a
    /// worker whose clock is slow.
    fn lease_max(&self) -> Duration {
        self.settings.lease_max * 103 / 100
    }

    /// Takes over a new configuration.
    pub fn set_config(&mut self, config: Arc<ClusterConfig>) {
        self.config = config;
        self.mark_all_changed();
    }

    /// Takes over the zones to which nothing may be sent.
    pub fn set_evacuated_zones(&mut self, zones: HashSet<ZoneId>) {
        self.evacuated = zones;
        self.mark_all_changed();
    }

    /// Takes over the waves of maintenance that the operator asks for.
    pub fn set_waves(&mut self, waves: &[Wave], now: Moment) {
        let unix = self.term.started_unix + now.saturating_sub(self.began);
        for wave in waves {
            let stored = self.term.waves.get(&wave.number);
            self.waves
                .entry(wave.number)
                .or_insert_with(|| WaveProgress::new(wave.clone(), stored, unix, now));
        }
    }

    /// The owner's token.
    pub fn token(&self) -> FencingToken {
        self.term.token
    }

    /// A worker's life.
    pub fn worker(&self, slot: WorkerSlot) -> &Worker {
        &self.workers[slot]
    }

    /// A job.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    fn mark_unwritten(&mut self, job: JobId) {
        let run_ends_received = self.run_ends_received;
        self.unwritten_states.entry(job).or_insert(run_ends_received);
    }

    fn mark_worker_service_changed(&mut self, slot: WorkerSlot) {
        let service = self.workers[slot].entry.service.clone();
        self.changed.insert(service);
    }

    fn mark_all_changed(&mut self) {
        self.changed.extend(self.waiting_steps.services().cloned());
    }
}
