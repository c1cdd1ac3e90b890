//! A worker's life in the owner's memory: what runs there, and until when it may run.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::Moment;

use crate::clients::WorkerAddress;
use crate::cluster::WorkerEntry;
use crate::record::{WorkerShard, worker_shard};
use crate::spec::{Resources, RunNumber, StepSpec, TaskId};

/// A worker's clock may run this many percent slow.
const CLOCK_SLOW_PERCENT: u32 = 2;
/// Added to the time at which runs are taken as over, for the resolution of the clocks.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);
/// Lost looks in a row after which a worker gets no new work until it answers again.
const FAILED_POLLS_MAX: u32 = 1;
/// A worker whose last answer is older than this gets no new work. Workers without work answer
/// every two seconds.
const ANSWER_AGE_MAX: Duration = Duration::from_millis(2_600);

/// What is happening to a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The order to start it is on its way.
    Starting,
    /// The worker has confirmed it.
    Running,
    /// It shall end; the order to stop it is due at `next_try`.
    Stopping {
        /// When the order to stop is sent, or sent again.
        next_try: Moment,
        /// When the worker confirmed the order.
        confirmed: Option<Moment>,
    },
}

/// What kind of task a run is of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunKind {
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it serves users.
    pub serves: bool,
    /// Whether it runs on what others leave unused.
    pub opportunistic: bool,
}

impl From<&StepSpec> for RunKind {
    fn from(spec: &StepSpec) -> Self {
        Self {
            long_running: spec.long_running,
            serves: spec.tail_target.is_some(),
            opportunistic: spec.opportunistic,
        }
    }
}

/// Runs on a worker by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Runs that last until their jobs are cancelled.
    pub long_running: u32,
    /// Processors that these take, in thousandths of a core.
    pub long_running_milli: u32,
    /// Runs that serve users.
    pub serving: u32,
    /// Runs on what others leave unused.
    pub opportunistic: u32,
}

impl RunCounts {
    fn add(&mut self, run: &Run) {
        self.long_running += u32::from(run.kind.long_running);
        self.long_running_milli += run.long_running_milli();
        self.serving += u32::from(run.kind.serves);
        self.opportunistic += u32::from(run.kind.opportunistic);
    }

    fn remove(&mut self, run: &Run) {
        self.long_running -= u32::from(run.kind.long_running);
        self.long_running_milli -= run.long_running_milli();
        self.serving -= u32::from(run.kind.serves);
        self.opportunistic -= u32::from(run.kind.opportunistic);
    }
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Its number.
    pub number: RunNumber,
    /// What is happening to it.
    pub phase: RunPhase,
    /// When it was ordered or first seen.
    pub since: Moment,
    /// When the order to start it was given up without an answer.
    pub start_unanswered_at: Option<Moment>,
    /// Whether an earlier owner ordered it, and may have ordered it to end.
    pub is_adopted: bool,
    /// When the worker confirmed it.
    pub confirmed: Option<Moment>,
    /// What kind of task it is of.
    pub kind: RunKind,
    /// What it takes of the worker's room.
    pub reserved: Resources,
    /// What it counts against its team's limit.
    pub quota_usage: Resources,
    /// Progress in percent.
    pub percent: u8,
    /// When the progress last changed.
    pub last_progress: Moment,
    /// Last reading, see [`crate::clients::RunningRun`].
    pub load_metric: u32,
    /// Share of its speed at which it may work, in percent.
    pub speed_percent: u8,
}

impl Run {
    /// Whether an order to stop it was given.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping { .. })
    }

    fn long_running_milli(&self) -> u32 {
        if self.kind.long_running { self.reserved.processors_milli } else { 0 }
    }
}

/// Whether a look is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollPhase {
    /// The next one is due at this moment.
    DueAt(Moment),
    /// One is on its way.
    InFlight,
}

/// One life of a worker.
#[derive(Debug)]
pub struct Worker {
    /// What it says of itself.
    pub entry: WorkerEntry,
    /// Where it is called.
    pub address: WorkerAddress,
    /// Part of the workers in the store to which it belongs.
    pub shard: WorkerShard,
    /// Whether the platform lists it.
    pub is_listed: bool,
    /// Whether this life is over.
    pub is_gone: bool,
    /// Whether the store names it as a worker that was given tasks.
    pub is_recorded: bool,
    /// Whether it has answered under this owner's token since the last failed look.
    pub is_confirmed: bool,
    /// Whether it has ever answered under this owner's token.
    pub was_confirmed: bool,
    /// Whether earlier owners may have given it tasks.
    pub may_have_earlier_runs: bool,
    /// When it stopped answering.
    pub unresponsive_since: Option<Moment>,
    /// Whether it gets no more work because its machine is about to be moved or maintained.
    pub is_cordoned: bool,
    /// Whether its machine is still to be maintained in a wave.
    pub is_maintenance_due: bool,
    /// Whether its machine was ordered to move or to be maintained.
    pub is_leaving: bool,
    /// When such an order was accepted.
    pub leaving_since: Option<Moment>,
    /// What was ordered, runs, or is being stopped there.
    pub runs: HashMap<TaskId, Run>,
    /// Sum of what the runs take.
    pub reserved: Resources,
    /// The runs by kind.
    pub counts: RunCounts,
    /// Number of the last end that was taken in.
    pub last_end_seen: u64,
    /// Ends that were taken in and may not be stored: the number and the order among the ends of
    /// all workers.
    pub ends_unstored: VecDeque<(u64, u64)>,
    /// Counts the lives under this id.
    pub incarnation: u32,
    /// Number of the last end whose effect is in the store.
    pub last_end_stored: u64,
    /// Looks.
    pub poll: PollPhase,
    /// When the latest look that was answered had been sent.
    pub poll_sent: Moment,
    /// Looks that failed since the last one that succeeded.
    pub failed_polls: u32,
    /// When it last answered.
    pub last_answered: Option<Moment>,
    /// When nothing runs there any more unless the lease is extended.
    pub lease_expires: Moment,
    /// When it may be given work again after it had no room or was unwell.
    pub blocked_until: Moment,
    /// When the last run there ended.
    pub last_run_ended: Option<Moment>,
    /// When the pace of its opportunistic tasks is decided next.
    pub throttle_due: Moment,
    /// Recent ends: the job and whether it failed, the latest last.
    pub recent_ends: Vec<(u64, bool)>,
    clock: Option<(Duration, Moment)>,
    lease_until: Duration,
}

impl Worker {
    /// A worker that was listed; what an earlier owner started there may run until `lease_expires`.
    pub fn new(entry: WorkerEntry, lease_expires: Moment, now: Moment) -> Self {
        let address = WorkerAddress { id: entry.id.clone(), address: entry.address };
        Self {
            shard: worker_shard(&entry.id),
            entry,
            address,
            is_listed: true,
            is_gone: false,
            is_recorded: false,
            is_confirmed: false,
            was_confirmed: false,
            may_have_earlier_runs: false,
            unresponsive_since: None,
            is_cordoned: false,
            is_maintenance_due: false,
            is_leaving: false,
            leaving_since: None,
            runs: HashMap::new(),
            reserved: Resources::default(),
            counts: RunCounts::default(),
            last_end_seen: 0,
            ends_unstored: VecDeque::new(),
            incarnation: 0,
            last_end_stored: 0,
            poll: PollPhase::DueAt(now),
            poll_sent: Moment::ZERO,
            failed_polls: 0,
            last_answered: None,
            lease_expires,
            blocked_until: Moment::ZERO,
            last_run_ended: None,
            throttle_due: Moment::ZERO,
            recent_ends: Vec::new(),
            clock: None,
            lease_until: Duration::ZERO,
        }
    }

    /// Notes an answer with the worker's clock.
    pub fn set_clock(&mut self, clock: Duration, received: Moment) {
        self.clock = Some((clock, received));
        self.last_answered = Some(received);
    }

    /// Extends the lease of everything there by `lease_max` from now and returns its end on the
    /// worker's clock; `None` while that clock is unknown.
    pub fn extend_lease(&mut self, lease_max: Duration, now: Moment) -> Option<Duration> {
        let (clock, received) = self.clock?;
        let until = clock + now.saturating_sub(received) + lease_max;
        self.lease_until = self.lease_until.max(until);
        let left = self.lease_until.saturating_sub(clock);
        let slow = left * 100 / (100 - CLOCK_SLOW_PERCENT);
        self.lease_expires = self.lease_expires.max(received + slow + EXPIRY_MARGIN);
        Some(self.lease_until)
    }

    /// Forgets what was known of the former life at this address.
    pub fn start_incarnation(&mut self, started_unix: Option<Duration>, now: Moment) {
        self.entry.started_unix = started_unix;
        self.last_end_seen = 0;
        self.last_end_stored = 0;
        self.ends_unstored.clear();
        self.incarnation += 1;
        self.clock = None;
        self.lease_until = Duration::ZERO;
        self.lease_expires = now;
        self.recent_ends.clear();
    }

    /// Notes that the effects of all ends before one are in the store.
    pub fn mark_ends_stored(&mut self, open_since: u64) {
        while let Some((number, order)) = self.ends_unstored.front().copied()
            && order < open_since
        {
            self.last_end_stored = self.last_end_stored.max(number);
            self.ends_unstored.pop_front();
        }
    }

    /// What is free of its room.
    pub fn free_resources(&self) -> Resources {
        self.entry.capacity.minus(&self.reserved)
    }

    /// Whether it may be given work now. One lost look is no reason against it: an order carries
    /// the owner's token, and the next look shows whether its life is still the same.
    pub fn is_usable(&self, now: Moment) -> bool {
        let answers = self.last_answered.is_some_and(|at| now.saturating_sub(at) < ANSWER_AGE_MAX);
        self.is_listed
            && !self.is_gone
            && self.is_recorded
            && self.was_confirmed
            && (self.is_confirmed || self.failed_polls <= FAILED_POLLS_MAX)
            && !self.is_cordoned
            && !self.entry.is_draining
            && answers
            && self.blocked_until <= now
    }

    /// Label of its rack.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.entry.rack()
    }

    /// Adds a run.
    pub fn add(&mut self, task: TaskId, run: Run) {
        self.reserved = self.reserved.plus(&run.reserved);
        self.counts.add(&run);
        if let Some(former) = self.runs.insert(task, run) {
            self.reserved = self.reserved.minus(&former.reserved);
            self.counts.remove(&former);
        }
    }

    /// Removes a run.
    pub fn remove(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.reserved = self.reserved.minus(&run.reserved);
        self.counts.remove(&run);
        Some(run)
    }
}
