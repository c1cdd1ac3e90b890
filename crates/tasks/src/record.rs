//! A task and its states.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cassiafold_config::TeamId;

/// Identifies a task; chosen by the caller, unique within its team.
pub type TaskId = Arc<str>;
/// Identifies a kind of task; tasks of one kind need similar resources.
pub type KindId = Arc<str>;
/// Identifies one claim of a task.
pub type ClaimId = Arc<str>;
/// Identifies one submission by a caller.
pub type SubmissionId = Arc<str>;
/// Identifies a worker.
pub type WorkerId = Arc<str>;

/// An amount of a worker's resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub processors_milli: u32,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether `self` fits into `free`.
    pub fn fits(&self, free: &Self) -> bool {
        self.processors_milli <= free.processors_milli
            && self.memory_bytes <= free.memory_bytes
            && self.accelerators <= free.accelerators
    }

    /// Sum of two amounts.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference of two amounts, not below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A task as accepted from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// Identifier chosen by the caller.
    pub id: TaskId,
    /// Team to which the task belongs.
    pub team: TeamId,
    /// Kind of the task.
    pub kind: KindId,
    /// Whether the task may be run more than once.
    pub idempotent: bool,
    /// Whether the task has to start at once.
    pub urgent: bool,
    /// Resources declared by the caller.
    pub declared: Resources,
    /// Run time declared by the caller.
    pub declared_run_time: Duration,
    /// Whether the caller has asked to cancel the task while it runs.
    pub cancel_requested: bool,
    /// Identifies the submission that was accepted, so that a lost answer can be settled.
    pub submission: SubmissionId,
    /// The last claim that ended, so that a repeated report can be recognized.
    pub last_ended_claim: Option<ClaimId>,
    /// Workers on which the task failed or was lost, without repeats.
    pub failed_on: Vec<WorkerId>,
    /// State of the task.
    pub state: TaskState,
}

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for a worker.
    Waiting {
        /// Earliest time of the next claim.
        not_before: SystemTime,
    },
    /// Claimed for a worker, which may run it.
    Claimed(Claim),
    /// Ended.
    Finished {
        /// How the task ended.
        outcome: Outcome,
        /// When the task ended.
        at: SystemTime,
    },
}

/// The right of one worker to run a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Identifier of the claim; a worker starts each claim at most once.
    pub id: ClaimId,
    /// Worker that may run the task.
    pub worker: WorkerId,
    /// Time after which the worker refuses to start the claim.
    pub start_before: SystemTime,
}

/// How a task ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The task ran and gave this answer.
    Succeeded {
        /// Answer of the task.
        output: Arc<str>,
    },
    /// The task ran and failed.
    Failed {
        /// Why the task failed.
        reason: Arc<str>,
    },
    /// The task may have run; it is never run again.
    Unknown,
    /// The caller cancelled the task.
    Cancelled,
    /// No worker that could be had fits the task.
    Unschedulable,
}
