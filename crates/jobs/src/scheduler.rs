//! State of the owner: jobs, workers, and the transitions that responses cause.
//!
//! All decisions are computed from typed input and an explicit time. Commands to workers, writes to
//! the store and queries to the placement policy are returned as values; [`crate::owner`] executes
//! them.

mod adopted_runs;
mod backlog;
mod balance;
mod budget;
mod command_room;
mod contact;
mod crashes;
mod deferred_jobs;
mod delays;
mod division;
mod gang;
mod hedged_polls;
mod in_flight_writes;
mod inherited_usage;
mod interference;
mod job_lifecycle;
mod machine_commands;
mod machine_control;
mod machine_leases;
mod machine_list;
mod maintenance;
mod odd_entries;
mod plan;
mod policy_queries;
mod poll_requests;
mod polls;
mod removed_queues;
mod run_commands;
mod run_ends;
mod separation;
mod steps;
mod stops;
mod throttle;
mod tickets;
mod unresponsive_machines;
mod wave_places;
mod wave_progress;
mod workers;
mod write_batch;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId, TeamId, ZoneId};
use cassiafold_platform::Moment;

pub use self::backlog::Backlog;
use self::command_room::UnsentStart;
pub use self::crashes::CrashCounts;
pub use self::deferred_jobs::DeferredJob;
use self::deferred_jobs::DeferredJobs;
use self::hedged_polls::Unanswered;
use self::in_flight_writes::InFlightWrites;
use self::inherited_usage::InheritedUsage;
use self::interference::InterferenceReport;
use self::machine_commands::OpenCommands;
pub use self::machine_commands::{AttemptNumber, MachineAttempt, MachineCommand};
use self::machine_leases::MachineLeases;
use self::machine_list::MachineList;
pub use self::policy_queries::PolicyQuery;
use self::policy_queries::WantedQuery;
use self::steps::StepsByService;
use self::stops::Stops;
use self::tickets::StepTickets;
use self::unresponsive_machines::UnresponsiveMachines;
use self::wave_progress::WaveProgress;
use self::workers::EndedIncarnation;
pub use self::write_batch::{WriteBatch, WriteUrgency};
use crate::arrivals::Arrivals;
use crate::balance::PeakNeed;
use crate::clients::{FencingToken, WorkerAddress};
use crate::cluster::{ClusterConfig, PlacementPolicy, Queue, QueueId, Wave, WaveNumber, WorkerId};
use crate::command_budget::{CommandBudget, CommandLimits};
use crate::estimate::{RunTimeRatio, RunTimes};
use crate::interference::Interference;
use crate::job::{Job, WorkerSlot};
use crate::job_memory::JobMemory;
use crate::policy_queue::PolicyQueue;
use crate::record::{
    CommandedMachinesRecord, WaitingRecord, WavesRecord, WorkerRecord, WorkerShard,
};
use crate::spec::{JobId, Resources, RunNumber, StepId, TaskId};
use crate::worker::Worker;

/// Durations and rates that are derived from the platform's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerSettings {
    /// How long a run may continue without a poll: the longest lease that workers grant.
    pub lease_max: Duration,
    /// How long a run may take to end after a stop command.
    pub stop_grace_period: Duration,
    /// Minimum time between commands of two owner instances to the same machine.
    pub machine_lease: Duration,
    /// Commands per second that the machine control API accepts.
    pub machine_commands_per_s: f64,
    /// How long a machine takes to move to another service.
    pub machine_move_duration: Duration,
    /// How long the state of an ended job is retained.
    pub status_retention: Duration,
    /// Memory that may be used for jobs.
    pub job_memory: JobMemory,
    /// What the commands on the way to workers may take.
    pub command_limits: CommandLimits,
}

/// What the owner knows at the start of its term.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OwnerTerm {
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// Previous owners may have used run numbers below this one.
    pub run_number_base: RunNumber,
    /// Workers to which previous owners assigned tasks.
    pub known_workers: Vec<WorkerRecord>,
    /// Progress that previous owners stored for the maintenance waves.
    pub waves: WavesRecord,
    /// Machines to which previous owners may have sent commands recently.
    pub commanded_machines: CommandedMachinesRecord,
    /// Whether records of workers could not be read, so that there may be unknown ones with runs.
    pub has_unreadable_workers: bool,
    /// Whether the record of commanded machines could not be read.
    pub has_unreadable_commands: bool,
    /// Name of the instance that is the owner.
    pub instance: Arc<str>,
    /// Unix time at the start of the term.
    pub started_unix: Duration,
}

/// A command to execute now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Polls a worker.
    Poll {
        /// The worker.
        worker: WorkerSlot,
        /// Whether it is sent in addition to a long poll that is still pending.
        is_out_of_band: bool,
    },
    /// Starts a task.
    Start {
        /// The worker.
        worker: WorkerSlot,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Ticket of the placement policy.
        ticket: Option<Arc<str>>,
    },
    /// Stops a run.
    Stop {
        /// The worker.
        worker: WorkerSlot,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
    },
    /// Limits a run to a share of its speed.
    Throttle {
        /// The worker.
        worker: WorkerSlot,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Share of the full speed, in percent.
        percent: u8,
    },
    /// Queries the placement policy.
    QueryPolicy(PolicyQuery),
    /// Moves or maintains a machine.
    Machine(MachineAttempt),
}

/// State of one owner.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    term: OwnerTerm,
    /// Start of the owner's term.
    term_started: Moment,
    config: Arc<ClusterConfig>,
    /// Whether `config` is one that the operator has written. Without one the quotas are not known.
    is_config_known: bool,
    /// Ids under which the list of workers has an entry that names no worker to use.
    odd_entries: HashSet<WorkerId>,
    /// Queues that are no longer configured and whose jobs have not all ended.
    removed_queues: HashMap<QueueId, Queue>,
    evacuated_zones: HashSet<ZoneId>,
    workers: Vec<Worker>,
    /// Incarnations that have ended and are still listed.
    ended_incarnations: HashMap<WorkerId, EndedIncarnation>,
    /// Current incarnation of each worker.
    current_slots: HashMap<WorkerId, WorkerSlot>,
    /// Active incarnations by service.
    slots_by_service: HashMap<ServiceId, Vec<WorkerSlot>>,
    /// Polls by due time. An entry is stale unless it matches the worker's poll phase.
    poll_queue: BinaryHeap<Reverse<(Moment, WorkerSlot)>>,
    /// Addresses of ended incarnations whose connections are still open.
    retired_addresses: Vec<WorkerAddress>,
    /// Workers for which an extra poll is due while a long poll is pending.
    out_of_band_polls_due: BTreeSet<WorkerSlot>,
    /// Commands and polls that got no response lately.
    unanswered: Unanswered,
    jobs: HashMap<JobId, Job>,
    /// Memory of the held jobs that have not ended, in bytes.
    held_bytes: u64,
    /// Accepted jobs that are not held.
    deferred: DeferredJobs,
    /// Ready steps that are not done.
    ready_steps: StepsByService,
    /// Ready steps that may have waiting tasks.
    waiting_steps: StepsByService,
    /// Tasks of live jobs that are suspected to crash their workers; of a gang the first member.
    suspects: BTreeSet<TaskId>,
    /// Crashes since they were last counted.
    crash_counts: CrashCounts,
    /// Worker shards whose record in the store is outdated.
    stale_shards: BTreeSet<WorkerShard>,
    /// Ended jobs whose state is retained, with the time at which they ended, oldest first.
    ended_jobs: VecDeque<(JobId, Moment)>,
    /// Ended jobs whose records are stored, and since when they count as ended.
    ended_records: VecDeque<(JobId, Moment)>,
    /// Cancelled jobs that have not been read from the store yet.
    early_cancels: HashSet<JobId>,
    /// Jobs whose stored state can't be read.
    excluded_jobs: HashSet<JobId>,
    /// Ended jobs of which only the state is stored.
    forgotten_jobs: HashSet<JobId>,
    /// Jobs with a schedule.
    recurring_jobs: Vec<JobId>,
    /// Resources that the running tasks of each team take.
    team_usage: HashMap<TeamId, Resources>,
    /// Resources that unknown runs of previous owners may take.
    inherited_usage: InheritedUsage,
    /// Until when runs of a previous owner may continue on workers that have not responded.
    inherited_runs_expire: Moment,
    /// Services in which something has changed since the last placement pass.
    changed_services: HashSet<ServiceId>,
    /// Earliest next placement pass of services in which some step found no free capacity.
    next_placement: HashMap<ServiceId, Moment>,
    /// Commands that were sent and whose outcome is not known.
    command_budget: CommandBudget,
    /// Workers that get no further start commands for a client account in the current planning pass.
    saturated_workers: HashMap<Option<TeamId>, HashSet<WorkerSlot>>,
    /// Services in which tasks wait for room in the budget of commands.
    awaiting_commands: HashSet<ServiceId>,
    /// Placed runs whose start commands wait for room.
    unsent_starts: VecDeque<UnsentStart>,
    /// Jobs whose state in the store is outdated, with the value of `run_ends_received` at the
    /// first change that is not stored.
    unwritten_states: HashMap<JobId, u64>,
    /// Writes to the store that are in flight.
    in_flight_writes: InFlightWrites,
    /// Number of workers with run ends that are not stored. Ended incarnations count until the next
    /// write completes.
    workers_with_unstored_ends: usize,
    /// Number of run ends received from all workers.
    run_ends_received: u64,
    /// How soon the changes since the last write should be written.
    write_urgency: WriteUrgency,
    /// Runs that are being stopped.
    stops: Stops,
    step_tickets: HashMap<StepId, StepTickets>,
    policy_queue: PolicyQueue,
    /// When the last query about each job was sent, or first wanted.
    policy_turns: HashMap<JobId, Moment>,
    /// When the last query about a step of each service was sent.
    policy_service_turns: HashMap<ServiceId, Moment>,
    /// Queries that the current planning pass wants.
    wanted_queries: Vec<WantedQuery>,
    /// Services in which steps wait until their placement policy can be queried.
    awaiting_policy: HashMap<ServiceId, PlacementPolicy>,
    machines: MachineList,
    /// When the current list of machines was requested.
    machines_listed_at: Option<Moment>,
    is_machine_list_requested: bool,
    /// Whether workers with runs have closed their connections since a list was last requested.
    has_unlisted_losses: bool,
    waves_written: WavesRecord,
    /// Machines that are moving or about to move, with the target service and the time of the
    /// decision.
    moving_machines: HashMap<InstanceId, (ServiceId, Moment)>,
    /// Machines that get no new tasks, so that they can move to a service that lacks some.
    vacated_machines: BTreeSet<InstanceId>,
    /// Moves that wait until the leases on their machines are stored.
    pending_moves: Vec<MachineCommand>,
    machine_leases: MachineLeases,
    unresponsive_machines: UnresponsiveMachines,
    /// When the machines were last balanced; a new owner does so with its first list of machines.
    last_balanced: Option<Moment>,
    /// Machines that each service has needed recently.
    peak_needs: HashMap<ServiceId, PeakNeed>,
    /// Number of machines of each service that no service needs.
    surplus_machines: HashMap<ServiceId, usize>,
    /// Work that has arrived recently.
    arrivals: Arrivals,
    run_time_ratio: RunTimeRatio,
    run_times: RunTimes,
    /// Which images slow each other down.
    interference: Interference,
    interference_report: InterferenceReport,
    waves: BTreeMap<WaveNumber, WaveProgress>,
    /// Commands to machines that may still be executed.
    open_commands: OpenCommands,
    /// Leaky bucket of each team: its level rises by one with each job and drains at the team's
    /// weight per second.
    team_buckets: HashMap<TeamId, (f64, Moment)>,
    /// Last written count of waiting jobs, and when it was written.
    last_waiting_record: Option<(Moment, WaitingRecord)>,
    /// Last planning pass over all services.
    last_full_plan: Moment,
    /// Unix time of the last planning pass.
    last_plan_unix: Duration,
}

impl Scheduler {
    /// Creates a scheduler at the start of an owner's term.
    pub fn new(settings: SchedulerSettings, term: OwnerTerm, now: Moment) -> Self {
        let instance = Arc::clone(&term.instance);
        let mut machine_leases = MachineLeases::new(
            instance,
            settings.machine_lease,
            term.commanded_machines.clone(),
            now,
        );
        if term.has_unreadable_commands {
            machine_leases.lease_all_to_others(now);
        }
        let mut scheduler = Self {
            settings,
            term_started: now,
            config: Arc::default(),
            is_config_known: false,
            odd_entries: HashSet::new(),
            removed_queues: HashMap::new(),
            evacuated_zones: HashSet::new(),
            workers: Vec::new(),
            ended_incarnations: HashMap::new(),
            current_slots: HashMap::new(),
            slots_by_service: HashMap::new(),
            poll_queue: BinaryHeap::new(),
            retired_addresses: Vec::new(),
            out_of_band_polls_due: BTreeSet::new(),
            unanswered: Unanswered::default(),
            jobs: HashMap::new(),
            held_bytes: 0,
            deferred: DeferredJobs::default(),
            ready_steps: StepsByService::default(),
            waiting_steps: StepsByService::default(),
            suspects: BTreeSet::new(),
            crash_counts: CrashCounts::default(),
            stale_shards: BTreeSet::new(),
            ended_jobs: VecDeque::new(),
            ended_records: VecDeque::new(),
            early_cancels: HashSet::new(),
            excluded_jobs: HashSet::new(),
            forgotten_jobs: HashSet::new(),
            recurring_jobs: Vec::new(),
            team_usage: HashMap::new(),
            inherited_usage: InheritedUsage::default(),
            inherited_runs_expire: now,
            changed_services: HashSet::new(),
            next_placement: HashMap::new(),
            command_budget: CommandBudget::new(settings.command_limits),
            saturated_workers: HashMap::new(),
            awaiting_commands: HashSet::new(),
            unsent_starts: VecDeque::new(),
            unwritten_states: HashMap::new(),
            in_flight_writes: InFlightWrites::default(),
            workers_with_unstored_ends: 0,
            run_ends_received: 0,
            write_urgency: WriteUrgency::Low,
            stops: Stops::default(),
            step_tickets: HashMap::new(),
            policy_queue: PolicyQueue::default(),
            policy_turns: HashMap::new(),
            policy_service_turns: HashMap::new(),
            wanted_queries: Vec::new(),
            awaiting_policy: HashMap::new(),
            machines: MachineList::default(),
            machines_listed_at: None,
            is_machine_list_requested: false,
            has_unlisted_losses: false,
            waves_written: term.waves.clone(),
            moving_machines: HashMap::new(),
            vacated_machines: BTreeSet::new(),
            pending_moves: Vec::new(),
            machine_leases,
            unresponsive_machines: UnresponsiveMachines::default(),
            last_balanced: None,
            peak_needs: HashMap::new(),
            surplus_machines: HashMap::new(),
            arrivals: Arrivals::default(),
            run_time_ratio: RunTimeRatio::default(),
            run_times: RunTimes::default(),
            interference: Interference::default(),
            interference_report: InterferenceReport::default(),
            waves: BTreeMap::new(),
            open_commands: OpenCommands::default(),
            team_buckets: HashMap::new(),
            last_waiting_record: None,
            last_full_plan: now,
            last_plan_unix: Duration::ZERO,
            term,
        };
        scheduler.inherited_runs_expire = now + scheduler.lease_max_with_skew();
        scheduler.add_known_workers(now);
        scheduler
    }

    /// Longest time for which a run continues after a command that extended its lease: 3 % more
    /// than the lease, since the clock of a worker may be slow.
    fn lease_max_with_skew(&self) -> Duration {
        self.settings.lease_max * 103 / 100
    }

    /// Replaces the configuration.
    pub fn set_config(&mut self, config: Arc<ClusterConfig>) {
        let previous = std::mem::replace(&mut self.config, config);
        self.is_config_known = true;
        self.keep_removed_queues(&previous);
        self.mark_all_changed();
    }

    /// Replaces the set of availability zones that must get no work.
    pub fn set_evacuated_zones(&mut self, zones: HashSet<ZoneId>) {
        self.evacuated_zones = zones;
        self.mark_all_changed();
    }

    /// Adds the maintenance waves that the operator requests.
    pub fn set_waves(&mut self, waves: &[Wave], now: Moment) {
        let now_unix = self.term.started_unix + now.saturating_sub(self.term_started);
        for wave in waves {
            let stored = self.term.waves.get(&wave.number);
            self.waves
                .entry(wave.number)
                .and_modify(|progress| progress.wave.clone_from(wave))
                .or_insert_with(|| WaveProgress::new(wave.clone(), stored, now_unix, now));
        }
    }

    /// Returns the owner's fencing token.
    pub fn token(&self) -> FencingToken {
        self.term.token
    }

    /// Returns the incarnation of a worker in `slot`.
    pub fn worker(&self, slot: WorkerSlot) -> &Worker {
        &self.workers[slot]
    }

    /// Returns a job.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    fn mark_unwritten(&mut self, job: JobId) {
        let run_ends_received = self.run_ends_received;
        self.unwritten_states.entry(job).or_insert(run_ends_received);
    }

    fn mark_worker_service_changed(&mut self, slot: WorkerSlot) {
        let service = self.workers[slot].entry.service.clone();
        self.changed_services.insert(service);
    }

    fn mark_all_changed(&mut self) {
        self.changed_services.extend(self.waiting_steps.services().cloned());
    }
}
