//! A task and its states.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cassiafold_config::TeamId;

/// Identifier of a task; chosen by the caller, unique within its team.
pub type TaskId = Arc<str>;
/// Identifier of a kind of task; tasks of one kind need similar resources.
pub type KindId = Arc<str>;
/// Identifier of one claim of a task.
pub type ClaimId = Arc<str>;
/// Identifier of one submission by a caller.
pub type SubmissionId = Arc<str>;
/// Identifier of a worker.
pub type WorkerId = Arc<str>;

/// An amount of a worker's resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processor share in thousandths of a core.
    pub processors_milli: u32,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether `self` fits into `free`.
    pub fn fits(&self, free: &Self) -> bool {
        self.processors_milli <= free.processors_milli
            && self.memory_bytes <= free.memory_bytes
            && self.accelerators <= free.accelerators
    }

    /// Returns the sum of two amounts, saturating at the numeric bounds.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns this many times the amount, saturating at the numeric bounds.
    pub fn times(&self, count: u32) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_mul(count),
            memory_bytes: self.memory_bytes.saturating_mul(u64::from(count)),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the smaller of two amounts of each resource.
    pub fn min(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.min(other.processors_milli),
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the difference of two amounts, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A task accepted from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// Identifier chosen by the caller.
    pub id: TaskId,
    /// Team to which the task belongs.
    pub team: TeamId,
    /// Kind of the task.
    pub kind: KindId,
    /// Whether the task may run more than once.
    pub idempotent: bool,
    /// Whether the task must start immediately.
    pub urgent: bool,
    /// Resources declared by the caller.
    pub declared: Resources,
    /// Run time declared by the caller.
    pub declared_run_time: Duration,
    /// Whether the caller has asked to cancel the task while it runs.
    pub cancel_requested: bool,
    /// Submission that created the task; a retry after a lost response is recognized by it.
    pub submission: SubmissionId,
    /// The last claim that ended; a repeated report is recognized by it.
    pub last_ended_claim: Option<ClaimId>,
    /// Distinct workers on which the task failed or was lost.
    pub failed_on: Vec<WorkerId>,
    /// State of the task.
    pub state: TaskState,
}

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// The task waits for a worker.
    Waiting {
        /// Earliest time of the next claim.
        not_before: SystemTime,
    },
    /// The task is claimed for a worker, which may run it.
    Claimed(Claim),
    /// The task has ended.
    Finished {
        /// How the task ended.
        outcome: Outcome,
        /// When the task ended.
        at: SystemTime,
    },
}

/// Exclusive right of one worker to run a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Identifier of the claim; a worker starts each claim at most once.
    pub id: ClaimId,
    /// Worker that may run the task.
    pub worker: WorkerId,
    /// Start deadline, after which the worker refuses to start the claim.
    pub start_before: SystemTime,
}

/// How a task ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The task succeeded.
    Succeeded {
        /// Output of the task.
        output: Arc<str>,
    },
    /// The task failed.
    Failed {
        /// Why the task failed.
        reason: Arc<str>,
    },
    /// The task may have run and is not run again.
    Unknown,
    /// The caller cancelled the task.
    Cancelled,
    /// The task is too large for every worker.
    Unschedulable,
}
