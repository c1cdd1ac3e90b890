//! Choice of the worker on which a task starts.

use std::sync::Arc;

use crate::job::WorkerSlot;
use crate::spec::{JobId, Resources};

/// A worker that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The worker.
    pub slot: WorkerSlot,
    /// Total resources.
    pub capacity: Resources,
    /// Resources that are not reserved.
    pub free: Resources,
    /// Labels: the machine type, then the rack.
    pub labels: Arc<[Arc<str>]>,
    /// Tasks of the same step on it.
    pub same_step: u32,
    /// Long-running tasks on it.
    pub long_running: u32,
    /// Tasks on it that serve users.
    pub serving: u32,
    /// Opportunistic tasks on it.
    pub opportunistic: u32,
    /// Whether most of the recent runs on it failed.
    pub is_suspect: bool,
    /// Job of a suspected task that has just started on it.
    pub starting_suspect: Option<JobId>,
    /// Whether its machine has yet to be maintained in a wave.
    pub is_maintenance_due: bool,
    /// What is known that the task and those on the worker add to tail latencies, in thousandths of
    /// the targets.
    pub known_harm_milli: u32,
}

/// What a task requires of its worker.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequirements {
    /// Resources that it reserves.
    pub reserved: Resources,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds its data.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it serves users.
    pub serves: bool,
    /// Whether it runs on CPU time that other tasks leave unused.
    pub opportunistic: bool,
    /// Its job, if it is suspected to crash its workers.
    pub suspect_of: Option<JobId>,
}

impl Candidate {
    /// Whether a task may start on it now.
    fn admits(&self, requirements: &TaskRequirements) -> bool {
        requirements.reserved.fits(&self.free) && self.qualifies(requirements)
    }

    /// Whether a task may run on it once there is enough free capacity.
    fn qualifies(&self, requirements: &TaskRequirements) -> bool {
        let has_label = requirements.label.as_ref().is_none_or(|label| self.labels.contains(label));
        let is_below_max = requirements.per_worker_max.is_none_or(|most| self.same_step < most);
        has_label && is_below_max && !self.would_join_suspects(requirements)
    }

    /// Whether a task may run on it once it runs nothing else.
    pub fn can_run(&self, requirements: &TaskRequirements) -> bool {
        requirements.reserved.fits(&self.capacity) && self.qualifies(requirements)
    }

    /// Whether two suspected tasks would start on it at the same time. Those of one job may.
    fn would_join_suspects(&self, requirements: &TaskRequirements) -> bool {
        let (starting, suspect) = (self.starting_suspect, requirements.suspect_of);
        starting.is_some() && suspect.is_some() && starting != suspect
    }

    /// Number of tasks with the same requirements that can start on it together.
    pub fn tasks_that_fit(&self, requirements: &TaskRequirements) -> u64 {
        if !self.qualifies(requirements) {
            return 0;
        }
        let (free, reserved) = (&self.free, &requirements.reserved);
        let by_limit = requirements
            .per_worker_max
            .map_or(u64::MAX, |most| u64::from(most.saturating_sub(self.same_step)));
        let counts = [
            fits(free.processors_milli.into(), reserved.processors_milli.into()),
            fits(free.memory_bytes, reserved.memory_bytes),
            fits(free.accelerators.into(), reserved.accelerators.into()),
        ];
        counts.into_iter().fold(by_limit, u64::min)
    }

    /// Rank of the worker for a task; the lowest rank is chosen.
    fn rank(&self, requirements: &TaskRequirements, avoided_workers: &[WorkerSlot]) -> Rank {
        let data_rack = requirements.data_rack.as_ref();
        let interference = match (requirements.serves, requirements.opportunistic) {
            (true, _) => 2 * self.opportunistic + self.serving,
            (_, true) => 4 * self.serving + self.opportunistic,
            _ => 0,
        };
        // A crash ends as few other runs as possible.
        let (long_running_beside, free_milli) = match requirements.suspect_of.is_some() {
            true => (self.long_running, u32::MAX - self.free.processors_milli),
            false => (0, self.free.processors_milli),
        };
        Rank {
            is_suspect: self.is_suspect,
            is_avoided: avoided_workers.contains(&self.slot),
            has_starting_suspect: self.starting_suspect.is_some(),
            long_running_beside,
            would_move_again: requirements.long_running && self.is_maintenance_due,
            is_far_from_data: data_rack.is_some_and(|rack| !self.labels.contains(rack)),
            known_harm_milli: self.known_harm_milli,
            interference,
            has_no_long_running: self.long_running == 0,
            free_milli,
        }
    }
}

/// Reasons not to choose a worker, most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_suspect: bool,
    is_avoided: bool,
    has_starting_suspect: bool,
    long_running_beside: u32,
    would_move_again: bool,
    is_far_from_data: bool,
    known_harm_milli: u32,
    interference: u32,
    has_no_long_running: bool,
    free_milli: u32,
}

/// Chooses a worker for a task.
///
/// Tasks that serve users and opportunistic tasks go where they are known to slow each other down
/// least, and then where they interfere least by their number; among equal workers the one with the least free CPU is chosen. Long-running tasks are packed onto few
/// workers, and short tasks fill these first, so that the other machines become free to move as
/// soon as demand falls. Workers on which the task failed come last.
///
/// A task that is suspected to crash its workers goes where few others run, and other tasks avoid
/// it.
///
/// During a wave over machines with long-running tasks, only a few of these tasks may be
/// unavailable at once. A task that has to leave a machine therefore goes to one whose maintenance
/// is not due, so that it moves only once.
pub fn choose_worker<'a>(
    requirements: &TaskRequirements,
    candidates: impl Iterator<Item = &'a Candidate>,
    avoided_workers: &[WorkerSlot],
) -> Option<WorkerSlot> {
    let suitable = candidates.filter(|candidate| candidate.admits(requirements));
    suitable
        .min_by_key(|candidate| candidate.rank(requirements, avoided_workers))
        .map(|candidate| candidate.slot)
}

/// Requirements that found no worker in a placement pass.
///
/// With hundreds of jobs that wait for a few workers, a task that needs at least as much as one
/// that found no worker is not tried in the same pass.
#[derive(Debug, Default)]
pub struct UnplaceableRequirements {
    smallest: Vec<Resources>,
}

impl UnplaceableRequirements {
    /// Records requirements that found no worker. Those that exclude some workers by label, by
    /// number of tasks or as those of a suspect say nothing about other tasks.
    pub fn record(&mut self, requirements: &TaskRequirements) {
        let excludes_workers = requirements.label.is_some()
            || requirements.per_worker_max.is_some()
            || requirements.suspect_of.is_some();
        if !excludes_workers {
            self.smallest.retain(|other| !requirements.reserved.fits(other));
            self.smallest.push(requirements.reserved);
        }
    }

    /// Whether nothing was recorded.
    pub fn is_empty(&self) -> bool {
        self.smallest.is_empty()
    }

    /// Whether a task that reserves `reserved` can't find a worker either.
    pub fn covers(&self, reserved: &Resources) -> bool {
        self.smallest.iter().any(|small| small.fits(reserved))
    }
}

/// Chooses the worker whose free capacity is kept for a task that fits nowhere now.
///
/// Otherwise many small tasks would take any capacity that becomes free, and a large task would
/// never start.
pub fn choose_reservation<'a>(
    requirements: &TaskRequirements,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Option<WorkerSlot> {
    let suitable =
        candidates.filter(|candidate| candidate.can_run(requirements) && !candidate.is_suspect);
    suitable.max_by_key(|candidate| candidate.free.processors_milli).map(|candidate| candidate.slot)
}

/// How often an amount is contained in what is free; an amount of zero always is.
fn fits(free: u64, amount: u64) -> u64 {
    free.checked_div(amount).unwrap_or(u64::MAX)
}
