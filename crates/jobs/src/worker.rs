//! The owner's state of a worker incarnation: its runs and when their lease expires.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_platform::Moment;

use crate::clients::{Listing, WorkerAddress};
use crate::cluster::WorkerEntry;
use crate::crash::{ContactLoss, Crash, START_WINDOW, is_past_probation};
use crate::interference::ImageId;
use crate::record::{CapacityRecord, WorkerRecord, WorkerShard, worker_shard};
use crate::spec::{Resources, RunNumber, StepSpec, TaskId};
use crate::throttle::Speed;

/// A worker's clock may be slow by this many percent.
const CLOCK_SLOW_PERCENT: u32 = 2;
/// Added to the expiry of a lease, because of the resolution of the clocks.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);
/// Failed polls in a row up to which a worker may get new work.
const FAILED_POLLS_MAX: u32 = 1;
/// A worker whose last response is older than this gets no new work. Idle workers respond to a long
/// poll every two seconds.
const RESPONSE_AGE_MAX: Duration = Duration::from_millis(2_600);

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The run is placed; its start command waits for room in the budget of commands.
    Placed,
    /// The start command is in flight.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// The run is being stopped.
    Stopping {
        /// When the worker confirmed the stop command.
        confirmed: Option<Moment>,
    },
}

/// Kind of a run's task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunKind {
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it serves users and has a tail latency target.
    pub serves: bool,
    /// Whether it runs on CPU time that other tasks leave unused.
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

/// Number of runs on a worker by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Runs of long-running tasks.
    pub long_running: u32,
    /// CPU that these reserve, in thousandths of a core.
    pub long_running_milli: u32,
    /// Runs that serve users.
    pub serving: u32,
    /// Runs on CPU time that other tasks leave unused.
    pub opportunistic: u32,
}

impl RunCounts {
    fn add(&mut self, run: &Run) {
        self.long_running += u32::from(run.kind.long_running);
        self.long_running_milli = self.long_running_milli.saturating_add(run.long_running_milli());
        self.serving += u32::from(run.kind.serves);
        self.opportunistic += u32::from(run.kind.opportunistic);
    }

    fn remove(&mut self, run: &Run) {
        self.long_running -= u32::from(run.kind.long_running);
        self.long_running_milli = self.long_running_milli.saturating_sub(run.long_running_milli());
        self.serving -= u32::from(run.kind.serves);
        self.opportunistic -= u32::from(run.kind.opportunistic);
    }
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run.
    pub number: RunNumber,
    /// Phase of the run.
    pub phase: RunPhase,
    /// When its start command was sent, or it was reported first if a previous owner started it.
    pub since: Moment,
    /// When the start command timed out.
    pub start_unanswered_at: Option<Moment>,
    /// The crash with which it may have ended: the worker has restarted since the start command
    /// was sent.
    pub possible_crash: Option<Crash>,
    /// Whether a previous owner started it, and may have sent a stop command.
    pub is_adopted: bool,
    /// When the worker confirmed the run.
    pub confirmed: Option<Moment>,
    /// Whether it has ended, with its end on a page of run ends that is yet to come.
    pub has_ended: bool,
    /// Kind of its task.
    pub kind: RunKind,
    /// What its task runs, if the caller tells.
    pub image: Option<ImageId>,
    /// Resources that it reserves on the worker.
    pub reserved: Resources,
    /// Resources that count against its team's quota.
    pub quota_usage: Resources,
    /// Progress in percent.
    pub percent: u8,
    /// When the progress last changed.
    pub last_progress: Moment,
    /// Last reported load, see [`crate::clients::RunningRun::load_metric`].
    pub load_metric: u32,
    /// Speed to which it is limited.
    pub speed: Speed,
}

impl Run {
    /// Whether it is being stopped.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping { .. })
    }

    /// Whether its start command was sent.
    pub fn is_sent(&self) -> bool {
        self.phase != RunPhase::Placed
    }

    /// Whether at `at` it is in the time after its start in which it is most likely to crash its
    /// worker. A busy owner takes in the confirmation of a start as late as the loss of a worker.
    pub fn is_in_start_window(&self, at: Moment) -> bool {
        self.confirmed.is_none_or(|confirmed| at < confirmed + START_WINDOW)
    }

    /// Whether it has lasted so long that it is taken not to crash its worker.
    pub fn is_past_probation(&self, now: Moment) -> bool {
        is_past_probation(self.kind.long_running, now.saturating_sub(self.since))
    }

    fn long_running_milli(&self) -> u32 {
        if self.kind.long_running { self.reserved.processors_milli } else { 0 }
    }
}

/// When a worker is polled next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollPhase {
    /// The next poll is due at this moment.
    DueAt(Moment),
    /// A poll is in flight.
    InFlight,
}

/// The incarnation that a poll response tells of, beside the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedIncarnation {
    /// The known one, or the response does not tell.
    Known,
    /// One that started after the known one.
    Later,
    /// One before the known one, whose response was late.
    Earlier,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub struct Worker {
    /// The worker's entry in the store.
    pub entry: WorkerEntry,
    /// Address of the incarnation.
    pub address: WorkerAddress,
    /// Shard of the worker records in the store.
    pub shard: WorkerShard,
    /// Whether the current list of workers contains it.
    pub is_listed: bool,
    /// Until when its entry may be missing because the store was away. Set for a worker that
    /// previous owners recorded, until it is listed.
    pub entry_due: Option<Moment>,
    /// The capacity that it showed to previous owners, until it is listed.
    pub recorded_capacity: Option<Resources>,
    /// Whether its entry is that of the incarnation before, so that its capacity is not known.
    pub is_entry_outdated: bool,
    /// Whether the list of machines shows it on a machine of its service that is up.
    pub is_on_machine: bool,
    /// Whether this incarnation has ended.
    pub is_gone: bool,
    /// Whether the store records it as a worker that may have been given tasks.
    pub is_recorded: bool,
    /// Whether it has responded under this owner's token since the last failed poll.
    pub is_confirmed: bool,
    /// Whether it has ever responded under this owner's token.
    pub was_confirmed: bool,
    /// Whether previous owners may have started runs on it.
    pub may_have_earlier_runs: bool,
    /// Whether a response under this owner's token has listed all runs of the incarnation, and all
    /// of their ends that were not acknowledged.
    pub are_inherited_runs_known: bool,
    /// Whether it refused this owner's token, although no later owner holds the owner key. It is
    /// sent nothing more during the owner's term.
    pub has_refused_token: bool,
    /// When it stopped responding.
    pub unresponsive_since: Option<Moment>,
    /// How contact was lost, until it responds again.
    pub contact_loss: Option<ContactLoss>,
    /// Whether it gets no new work because its machine is about to be moved or maintained.
    pub is_cordoned: bool,
    /// Whether its machine has yet to be maintained in a wave.
    pub is_maintenance_due: bool,
    /// Its machine, once a list of machines has shown it.
    pub machine: Option<InstanceId>,
    /// Whether its machine was commanded to move or to be maintained.
    pub is_leaving: bool,
    /// When such a command was accepted.
    pub leaving_since: Option<Moment>,
    /// Runs that are starting, in progress or being stopped.
    pub runs: HashMap<TaskId, Run>,
    /// Resources reserved by the runs.
    pub reserved: Resources,
    /// Number of runs by kind.
    pub counts: RunCounts,
    /// Number of the last run end received.
    pub last_end_seen: u64,
    /// Run ends whose effect may not be stored yet: the number on this worker, and the position
    /// among the ends received from all workers.
    pub ends_unstored: VecDeque<(u64, u64)>,
    /// Number of earlier incarnations under this id.
    pub incarnation: u32,
    /// When a later start than that of the incarnation before was learned.
    incarnation_since: Moment,
    /// Number of the last run end whose effect is stored.
    pub last_end_stored: u64,
    /// Whether the latest response listed all run ends that were not acknowledged.
    pub ended_listing: Listing,
    /// When it is polled next.
    pub poll: PollPhase,
    /// When the latest answered poll was sent.
    pub poll_sent: Moment,
    /// When the poll in flight was sent, or the last one beside it.
    pub last_polled: Moment,
    /// Polls that failed since the last successful one.
    pub failed_polls: u32,
    /// When it last left a command or poll without a response.
    pub unanswered_at: Option<Moment>,
    /// Polls in flight beside the long poll.
    pub out_of_band_polls: u32,
    /// When it last responded.
    pub last_answered: Option<Moment>,
    /// When the lease of its runs expires, unless it is extended.
    pub lease_expires: Moment,
    /// When it may get new work again after it lacked capacity or was unhealthy.
    pub blocked_until: Moment,
    /// When the last run on it ended.
    pub last_run_ended: Option<Moment>,
    /// When its opportunistic runs are throttled next.
    pub throttle_due: Moment,
    /// When the tail latencies of its serving tasks are read next.
    pub interference_due: Moment,
    /// Recent run ends, latest last: the job and whether the run failed.
    pub recent_ends: Vec<(u64, bool)>,
    clock: Option<(Duration, Moment)>,
    lease_until: Duration,
}

impl Worker {
    /// A listed worker; runs that a previous owner started there may last until `lease_expires`.
    pub fn new(entry: WorkerEntry, lease_expires: Moment, now: Moment) -> Self {
        let address = WorkerAddress { id: entry.id.clone(), address: entry.address };
        Self {
            shard: worker_shard(&entry.id),
            entry,
            address,
            is_listed: true,
            entry_due: None,
            recorded_capacity: None,
            is_entry_outdated: false,
            is_on_machine: false,
            is_gone: false,
            is_recorded: false,
            is_confirmed: false,
            was_confirmed: false,
            may_have_earlier_runs: false,
            are_inherited_runs_known: false,
            has_refused_token: false,
            unresponsive_since: None,
            contact_loss: None,
            is_cordoned: false,
            is_maintenance_due: false,
            machine: None,
            is_leaving: false,
            leaving_since: None,
            runs: HashMap::new(),
            reserved: Resources::default(),
            counts: RunCounts::default(),
            last_end_seen: 0,
            ends_unstored: VecDeque::new(),
            incarnation: 0,
            incarnation_since: Moment::ZERO,
            last_end_stored: 0,
            ended_listing: Listing::Whole,
            poll: PollPhase::DueAt(now),
            poll_sent: Moment::ZERO,
            last_polled: Moment::ZERO,
            failed_polls: 0,
            unanswered_at: None,
            out_of_band_polls: 0,
            last_answered: None,
            lease_expires,
            blocked_until: Moment::ZERO,
            last_run_ended: None,
            throttle_due: Moment::ZERO,
            interference_due: Moment::ZERO,
            recent_ends: Vec::new(),
            clock: None,
            lease_until: Duration::ZERO,
        }
    }

    /// Compares the incarnation that a response reports with the known one; `sent` is when the poll
    /// was sent.
    ///
    /// An earlier start alone does not tell an earlier incarnation: the clock of the machine may
    /// have been set back. A poll that was sent once the known incarnation had been seen cannot
    /// reach one before it.
    pub fn compare_incarnation(
        &self,
        reported_start: Option<Duration>,
        sent: Moment,
    ) -> ReportedIncarnation {
        match (self.entry.started_unix, reported_start) {
            (Some(known), Some(reported)) if reported < known && sent < self.incarnation_since => {
                ReportedIncarnation::Earlier
            }
            (Some(known), Some(reported)) if reported != known => ReportedIncarnation::Later,
            _ => ReportedIncarnation::Known,
        }
    }

    /// Whether an entry is that of a later incarnation.
    pub fn is_older_than(&self, entry: &WorkerEntry) -> bool {
        self.entry.started_unix.is_some() && entry.started_unix > self.entry.started_unix
    }

    /// The last capacity that the worker itself is known to have shown.
    pub fn known_capacity(&self) -> Option<Resources> {
        match self.entry_due {
            Some(_) => self.recorded_capacity,
            None => Some(self.entry.capacity),
        }
    }

    /// The record to store, so that a later owner knows the worker.
    pub fn to_record(&self) -> WorkerRecord {
        WorkerRecord {
            id: self.entry.id.clone(),
            service: self.entry.service.clone(),
            address: self.entry.address,
            zone: self.entry.zone.clone(),
            capacity: self.known_capacity().map(CapacityRecord::from),
        }
    }

    /// Stores the worker's clock as of a response received at `received`.
    ///
    /// A steady clock doesn't go back: after a lower reading, leases that were computed from the
    /// earlier one say nothing about this clock.
    pub fn set_clock(&mut self, clock: Duration, received: Moment) {
        if self.clock.is_some_and(|(previous, _)| clock < previous) {
            self.lease_until = Duration::ZERO;
        }
        self.clock = Some((clock, received));
        self.last_answered = Some(received);
    }

    /// Extends the lease of all runs to `lease_max` from now. Returns its end on the worker's
    /// clock; `None` while that clock is unknown.
    pub fn extend_lease(&mut self, lease_max: Duration, now: Moment) -> Option<Duration> {
        let (clock, received) = self.clock?;
        // The reading may be any time at all.
        let until = clock.saturating_add(now.saturating_sub(received) + lease_max);
        self.lease_until = self.lease_until.max(until);
        let remaining = self.lease_until.saturating_sub(clock);
        let remaining_if_slow = remaining * 100 / (100 - CLOCK_SLOW_PERCENT);
        self.lease_expires = self.lease_expires.max(received + remaining_if_slow + EXPIRY_MARGIN);
        Some(self.lease_until)
    }

    /// Resets what was known of the previous incarnation at this address.
    pub fn start_incarnation(&mut self, started_unix: Option<Duration>, now: Moment) {
        self.is_entry_outdated = self.entry.started_unix < started_unix;
        self.entry.started_unix = started_unix;
        self.has_refused_token = false;
        self.are_inherited_runs_known = false;
        self.ended_listing = Listing::Whole;
        self.last_end_seen = 0;
        self.last_end_stored = 0;
        self.ends_unstored.clear();
        self.incarnation += 1;
        self.incarnation_since = now;
        self.clock = None;
        self.lease_until = Duration::ZERO;
        self.lease_expires = now;
        self.recent_ends.clear();
    }

    /// Marks the run ends as stored that were received before position `first_unstored`.
    pub fn mark_ends_stored(&mut self, first_unstored: u64) {
        while let Some((number, position)) = self.ends_unstored.front().copied()
            && position < first_unstored
        {
            self.last_end_stored = self.last_end_stored.max(number);
            self.ends_unstored.pop_front();
        }
    }

    /// Whether no run of a previous owner can be on the worker without being known. Each poll
    /// extends the lease of runs that have not been reported, too.
    pub fn are_earlier_runs_known(&self, now: Moment) -> bool {
        !self.may_have_earlier_runs || self.are_inherited_runs_known || now >= self.lease_expires
    }

    /// Whether this owner knows all runs of the incarnation, and how each of them has ended.
    pub fn has_listed_all(&self) -> bool {
        self.are_inherited_runs_known && self.ended_listing == Listing::Whole
    }

    /// Capacity that is not reserved.
    pub fn free_resources(&self) -> Resources {
        self.entry.capacity.minus(&self.reserved)
    }

    /// Whether it may be given work now. A single failed poll doesn't rule it out: start commands
    /// carry the owner's token, and the next poll shows whether the incarnation is the same.
    pub fn is_usable(&self, now: Moment) -> bool {
        let has_recent_response =
            self.last_answered.is_some_and(|at| now.saturating_sub(at) < RESPONSE_AGE_MAX);
        (self.is_listed || self.is_entry_pending(now))
            && !self.is_gone
            && self.is_recorded
            && self.was_confirmed
            && (self.is_confirmed || self.failed_polls <= FAILED_POLLS_MAX)
            && !self.is_cordoned
            && !self.has_refused_token
            && !self.is_entry_outdated
            && !self.entry.is_draining
            && has_recent_response
            && self.blocked_until <= now
    }

    /// Whether it counts as listed although its entry is missing: the store may have lost the
    /// entry while it was away, and the list of machines shows the worker.
    fn is_entry_pending(&self, now: Moment) -> bool {
        self.is_on_machine && self.entry_due.is_some_and(|due| now < due)
    }

    /// The runs that are not known to have ended.
    pub fn unended_runs(&self) -> impl Iterator<Item = (&TaskId, &Run)> {
        self.runs.iter().filter(|(_, run)| !run.has_ended)
    }

    /// The worker's rack, if known.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.entry.rack()
    }

    /// Adds a run.
    pub fn add(&mut self, task: TaskId, run: Run) {
        self.reserved = self.reserved.plus(&run.reserved);
        self.counts.add(&run);
        if let Some(previous) = self.runs.insert(task, run) {
            self.reserved = self.reserved.minus(&previous.reserved);
            self.counts.remove(&previous);
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
