//! On which worker a task is started.

use std::sync::Arc;

use crate::job::WorkerSlot;
use crate::spec::Resources;

/// A worker as the placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The worker.
    pub slot: WorkerSlot,
    /// All its resources.
    pub capacity: Resources,
    /// What is free of them.
    pub free: Resources,
    /// Its labels, of which the second names its rack.
    pub labels: Arc<[Arc<str>]>,
    /// Tasks of the same step there.
    pub same_step: u32,
    /// Tasks there that run until their jobs are cancelled.
    pub long_running: u32,
    /// Tasks there that serve users.
    pub serving: u32,
    /// Tasks there that run on what others leave unused.
    pub opportunistic: u32,
    /// Whether most of what it ran lately failed there.
    pub is_suspect: bool,
    /// Whether its machine is still to be maintained in a wave.
    pub is_maintenance_due: bool,
}

/// What a task asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequirements {
    /// Resources that it takes from a worker's room.
    pub reserved: Resources,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds its data.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it serves users of its own.
    pub serves: bool,
    /// Whether it runs on what others leave unused.
    pub opportunistic: bool,
}

impl Candidate {
    /// Whether a task may be started there now.
    fn admits(&self, requirements: &TaskRequirements) -> bool {
        requirements.reserved.fits(&self.free) && self.qualifies(requirements)
    }

    /// Whether a task may run there at all, once there is room.
    fn qualifies(&self, requirements: &TaskRequirements) -> bool {
        let labelled = requirements.label.as_ref().is_none_or(|label| self.labels.contains(label));
        let apart = requirements.per_worker_max.is_none_or(|most| self.same_step < most);
        labelled && apart
    }

    /// Rank of the worker for a task; the lowest is taken.
    fn rank(&self, requirements: &TaskRequirements, avoided_workers: &[WorkerSlot]) -> Rank {
        let data_rack = requirements.data_rack.as_ref();
        let disturbance = match (requirements.serves, requirements.opportunistic) {
            (true, _) => 2 * self.opportunistic + self.serving,
            (_, true) => 4 * self.serving + self.opportunistic,
            _ => 0,
        };
        Rank {
            is_suspect: self.is_suspect,
            is_avoided: avoided_workers.contains(&self.slot),
            must_move_again: requirements.long_running && self.is_maintenance_due,
            far_from_data: data_rack.is_some_and(|rack| !self.labels.contains(rack)),
            disturbance,
            settles_anew: self.long_running == 0,
            free_milli: self.free.processors_milli,
        }
    }
}

/// Reasons against a worker, the weightiest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_suspect: bool,
    is_avoided: bool,
    must_move_again: bool,
    far_from_data: bool,
    disturbance: u32,
    settles_anew: bool,
    free_milli: u32,
}

/// Chooses a worker for a task.
///
/// Answers the load pattern of short tasks beside tasks that serve users: each kind goes where it
/// is disturbed least, and among equals to the worker with the least left. Long-running tasks
/// gather on few workers, and short ones fill these first, so that the other machines become free
/// to move as soon as demand falls. Workers on which the task failed before come last.
///
/// Answers the load pattern of a wave over machines with long-running tasks, of which only a few
/// may be away at once: a task that has to leave goes where no maintenance is due, so that it
/// moves once.
pub fn choose_worker<'a>(
    requirements: &TaskRequirements,
    candidates: impl Iterator<Item = &'a Candidate>,
    avoided_workers: &[WorkerSlot],
) -> Option<WorkerSlot> {
    let fitting = candidates.filter(|candidate| candidate.admits(requirements));
    fitting
        .min_by_key(|candidate| candidate.rank(requirements, avoided_workers))
        .map(|candidate| candidate.slot)
}

/// Demands that found no room in a pass.
///
/// Answers the load pattern of hundreds of jobs that wait for a few workers: what asks for no less
/// than another that found no room is not tried again.
#[derive(Debug, Default)]
pub struct UnplaceableRequirements {
    smallest: Vec<Resources>,
}

impl UnplaceableRequirements {
    /// Notes a demand that found no room. Only one that any worker could meet tells of others.
    pub fn record(&mut self, requirements: &TaskRequirements) {
        if requirements.label.is_none() && requirements.per_worker_max.is_none() {
            self.smallest.retain(|other| !requirements.reserved.fits(other));
            self.smallest.push(requirements.reserved);
        }
    }

    /// Whether no demand was noted.
    pub fn is_empty(&self) -> bool {
        self.smallest.is_empty()
    }

    /// Whether a demand finds no room either.
    pub fn covers(&self, reserved: &Resources) -> bool {
        self.smallest.iter().any(|small| small.fits(reserved))
    }
}

/// Chooses the worker whose room is kept for a task that fits nowhere now.
///
/// Answers the load pattern of a few large tasks among many small ones, which would otherwise
/// take each bit of room as it becomes free.
pub fn choose_reservation(
    requirements: &TaskRequirements,
    candidates: &[Candidate],
) -> Option<WorkerSlot> {
    let fitting = candidates.iter().filter(|candidate| {
        requirements.reserved.fits(&candidate.capacity)
            && candidate.qualifies(requirements)
            && !candidate.is_suspect
    });
    fitting.max_by_key(|candidate| candidate.free.processors_milli).map(|candidate| candidate.slot)
}
