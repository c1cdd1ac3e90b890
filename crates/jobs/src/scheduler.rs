//! The owner's state: jobs, workers, and what follows from each answer.
//!
//! Everything here is computed from typed input and the time given with it. Orders to workers,
//! writes to the store and questions to the placement policy come out as values; carrying them
//! out is up to [`crate::owner`].

mod advice;
mod backlog;
mod balance;
mod budget;
mod chains;
mod delays;
mod ends;
mod flush;
mod gang;
mod holders;
mod inbox;
mod looks;
mod machine_list;
mod orders;
mod pace;
mod plan;
mod steps;
mod upkeep;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId, TeamId, ZoneId};
use cassiafold_platform::Moment;

pub use self::advice::Question;
use self::advice::StepTickets;
pub use self::backlog::Backlog;
use self::chains::UnderWay;
pub use self::flush::{Flush, Urgency};
use self::holders::Holders;
use self::machine_list::MachineList;
use self::steps::StepsByService;
pub use self::upkeep::MachineOrder;
use self::upkeep::{SentOrder, WaveProgress};
use self::workers::Burial;
use crate::arrivals::Arrivals;
use crate::balance::RecentNeed;
use crate::cluster::{ClusterConfig, Wave, WaveNumber, WorkerId};
use crate::edges::{FencingToken, WorkerAddress};
use crate::estimate::Durations;
use crate::job::{Job, WorkerSlot};
use crate::record::{KnownWorker, OrderedRecord, WaitingRecord, WavesRecord, WorkerShard};
use crate::spec::{JobId, Resources, RunNumber, StepId, TaskId};
use crate::worker::Worker;

/// Times that the platform's settings give.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerSettings {
    /// How long a run may go on without a look: the longest lease that workers grant.
    pub hold: Duration,
    /// How long a run may take to end after an order to stop.
    pub stop_max: Duration,
    /// How long the orders of two owners to one machine must be apart.
    pub machine_lease: Duration,
    /// Orders that the machines' control takes in a second.
    pub machine_orders_per_s: f64,
    /// How long a machine takes from one service to another.
    pub move_time: Duration,
    /// How long the state of an ended job is kept.
    pub status_kept: Duration,
}

/// What the owner knows when its tenure begins.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tenure {
    /// Its token.
    pub token: FencingToken,
    /// Number below which earlier owners may have used run numbers.
    pub run_base: RunNumber,
    /// Workers that earlier owners gave tasks to.
    pub known_workers: Vec<KnownWorker>,
    /// How far earlier owners came with the waves of maintenance.
    pub waves: WavesRecord,
    /// Machines that earlier owners may have ordered lately.
    pub ordered: OrderedRecord,
    /// Name of the owner's instance.
    pub instance: Arc<str>,
    /// Time of day at its begin.
    pub began_unix: Duration,
}

/// An order that is to be carried out now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Look at a worker.
    Look {
        /// The worker.
        worker: WorkerSlot,
        /// Whether it is asked beside another look that waits for an end.
        is_probe: bool,
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
    Pace {
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
    Ask(Question),
    /// Move or maintain a machine.
    Machine(MachineOrder),
}

/// State of one owner.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    tenure: Tenure,
    /// When the tenure began.
    began: Moment,
    config: Arc<ClusterConfig>,
    evacuated: HashSet<ZoneId>,
    workers: Vec<Worker>,
    /// Lives that are over and still listed: when they were found over, and their begin.
    buried: HashMap<WorkerId, Burial>,
    /// The present life of each worker.
    present: HashMap<WorkerId, WorkerSlot>,
    /// Lives that are not over, by service.
    of_service: HashMap<ServiceId, Vec<WorkerSlot>>,
    /// When looks fall due. An entry counts only if it is the worker's present one.
    looks_due: BinaryHeap<Reverse<(Moment, WorkerSlot)>>,
    /// Lives that were found over and whose connections are still kept.
    lost: Vec<WorkerAddress>,
    /// Workers at which a look beside the one that waits is due.
    probes_due: Vec<WorkerSlot>,
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
    team_use: HashMap<TeamId, Resources>,
    /// Until when runs of an earlier owner may go on at workers that have not answered.
    uncertain_until: Moment,
    /// Services in which something has changed since the last plan.
    changed: HashSet<ServiceId>,
    /// When services in which steps found no room are planned again at the earliest.
    full_until: HashMap<ServiceId, Moment>,
    /// Jobs whose state in the store is behind, with the number of ends taken in when it first
    /// fell behind.
    dirty: HashMap<JobId, u64>,
    /// Writes to the store that have begun.
    under_way: UnderWay,
    /// Workers with ends that are not stored; those that are gone count until a write ends.
    workers_unstored: usize,
    /// Number of ends taken in, from all workers.
    ends_taken: u64,
    /// How soon what has changed since the last write should be written.
    flush_urgency: Urgency,
    /// Runs that shall end.
    stopping: Vec<(WorkerSlot, TaskId)>,
    tickets: HashMap<StepId, StepTickets>,
    questions_open: usize,
    machines: MachineList,
    machines_listed: Option<Moment>,
    is_list_wanted: bool,
    waves_written: WavesRecord,
    /// Machines that were ordered to move, or are about to be: where to, and since when.
    moving: HashMap<InstanceId, (ServiceId, Moment)>,
    /// Moves whose machines are not named in the store yet.
    moves_due: Vec<MachineOrder>,
    holders: Holders,
    balanced: Moment,
    /// What each service needed lately.
    needs: HashMap<ServiceId, RecentNeed>,
    /// Machines of each service that no service wants.
    surplus: HashMap<ServiceId, usize>,
    /// Work that arrived lately.
    arrivals: Arrivals,
    durations: Durations,
    waves: BTreeMap<WaveNumber, WaveProgress>,
    /// The last order to each machine.
    machines_ordered: HashMap<InstanceId, SentOrder>,
    /// Arrivals of each team beyond its weight, as a level that its weight drains.
    team_levels: HashMap<TeamId, (f64, Moment)>,
    waiting_written: Option<(Moment, WaitingRecord)>,
    planned_all: Moment,
    /// Time of day at the last plan.
    unix: Duration,
}

impl Scheduler {
    /// A scheduler at the begin of a tenure.
    pub fn new(settings: SchedulerSettings, tenure: Tenure, now: Moment) -> Self {
        let instance = Arc::clone(&tenure.instance);
        let holders = Holders::new(instance, settings.machine_lease, tenure.ordered.clone(), now);
        let mut scheduler = Self {
            settings,
            began: now,
            config: Arc::default(),
            evacuated: HashSet::new(),
            workers: Vec::new(),
            buried: HashMap::new(),
            present: HashMap::new(),
            of_service: HashMap::new(),
            looks_due: BinaryHeap::new(),
            lost: Vec::new(),
            probes_due: Vec::new(),
            jobs: HashMap::new(),
            ready: StepsByService::default(),
            waiting_steps: StepsByService::default(),
            stale_shards: BTreeSet::new(),
            ended: VecDeque::new(),
            early_cancels: HashSet::new(),
            scheduled: Vec::new(),
            team_use: HashMap::new(),
            uncertain_until: now,
            changed: HashSet::new(),
            full_until: HashMap::new(),
            dirty: HashMap::new(),
            under_way: UnderWay::default(),
            workers_unstored: 0,
            ends_taken: 0,
            flush_urgency: Urgency::None,
            stopping: Vec::new(),
            tickets: HashMap::new(),
            questions_open: 0,
            machines: MachineList::default(),
            machines_listed: None,
            is_list_wanted: false,
            waves_written: tenure.waves.clone(),
            moving: HashMap::new(),
            moves_due: Vec::new(),
            holders,
            balanced: now,
            needs: HashMap::new(),
            surplus: HashMap::new(),
            arrivals: Arrivals::default(),
            durations: Durations::default(),
            waves: BTreeMap::new(),
            machines_ordered: HashMap::new(),
            team_levels: HashMap::new(),
            waiting_written: None,
            planned_all: now,
            unix: Duration::ZERO,
            tenure,
        };
        scheduler.uncertain_until = now + scheduler.lease_max();
        scheduler.add_known_workers(now);
        scheduler
    }

    /// Longest time for which a run goes on after an order that has just been carried out, on a
    /// worker whose clock is slow.
    fn lease_max(&self) -> Duration {
        self.settings.hold * 103 / 100
    }

    /// Takes over a new configuration.
    pub fn configure(&mut self, config: Arc<ClusterConfig>) {
        self.config = config;
        self.mark_all_changed();
    }

    /// Takes over the zones to which nothing may be sent.
    pub fn evacuate(&mut self, zones: HashSet<ZoneId>) {
        self.evacuated = zones;
        self.mark_all_changed();
    }

    /// Takes over the waves of maintenance that the operator asks for.
    pub fn set_waves(&mut self, waves: &[Wave], now: Moment) {
        let unix = self.tenure.began_unix + now.saturating_sub(self.began);
        for wave in waves {
            let stored = self.tenure.waves.get(&wave.number);
            self.waves
                .entry(wave.number)
                .or_insert_with(|| WaveProgress::new(wave.clone(), stored, unix, now));
        }
    }

    /// The owner's token.
    pub fn token(&self) -> FencingToken {
        self.tenure.token
    }

    /// A worker's life.
    pub fn worker(&self, slot: WorkerSlot) -> &Worker {
        &self.workers[slot]
    }

    /// A job.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    fn mark_dirty(&mut self, job: JobId) {
        let ends_taken = self.ends_taken;
        self.dirty.entry(job).or_insert(ends_taken);
    }

    fn mark_changed(&mut self, slot: WorkerSlot) {
        let service = self.workers[slot].entry.service.clone();
        self.changed.insert(service);
    }

    fn mark_all_changed(&mut self) {
        self.changed.extend(self.waiting_steps.services().cloned());
    }
}
