//! What callers submit: a job of steps, each of many equal tasks.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

pub use cassiafold_tasks::record::Resources;

/// Identifies a job; chosen by its caller as 16 hexadecimal digits.
pub type JobId = u64;
/// Number of a repetition of a scheduled job, from 0. It is 0 for a job without a schedule.
pub type OccurrenceNumber = u32;
/// Position of a step within its job, from 0.
pub type StepNumber = u16;
/// Position of a task within its step, from 0.
pub type TaskNumber = u32;
/// Number of one attempt to run a task, from 1. It rises with each attempt.
pub type RunNumber = u32;

/// Identifies a step of one repetition of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The repetition.
    pub occurrence: OccurrenceNumber,
    /// The step.
    pub step: StepNumber,
}

/// Identifies a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Step of the task.
    pub step: StepId,
    /// Position within the step.
    pub index: TaskNumber,
}

impl fmt::Display for StepId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}/{}/{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}", self.step, self.index)
    }
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// Text that every task of the job is given.
    pub payload: Arc<str>,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
    /// When the steps are repeated; `None` for a job that runs once, at once.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Number of repetitions.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// Times at which the steps of a job are repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// First time, in Unix time.
    pub first_unix: Duration,
    /// Time between two repetitions.
    pub interval: Duration,
    /// Number of repetitions.
    pub occurrences: u32,
}

impl Schedule {
    /// Unix time at which a repetition is due.
    pub fn due_unix(&self, occurrence: OccurrenceNumber) -> Duration {
        self.first_unix + self.interval * occurrence
    }
}

/// A step: equal tasks that may run side by side.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task takes.
    pub task_resources: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps that must be done first.
    pub after: Vec<StepNumber>,
    /// Whether tasks save checkpoints from which they can resume.
    pub checkpoints: bool,
    /// Whether tasks work only while all of them run.
    pub gang: bool,
    /// Whether tasks run longer when they are spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data; tasks run longer elsewhere.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step that may run on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled and are restarted however they end.
    pub long_running: bool,
    /// Largest tail latency that the users of the tasks accept.
    pub tail_target: Option<Duration>,
    /// Whether the tasks run on what other tasks leave unused of a worker's processors.
    pub opportunistic: bool,
    /// How many tasks of the step may be unavailable at once through the fleet's own actions;
    /// `None` where the step has no such budget.
    pub unavailable_max: Option<u32>,
}

impl StepSpec {
    /// Cores that all its tasks use together.
    pub fn cores(&self) -> f64 {
        f64::from(self.tasks) * f64::from(self.task_resources.processors_milli) / 1_000.0
    }

    /// Resources that a task takes from a worker's room.
    pub fn reserved(&self) -> Resources {
        match self.opportunistic {
            true => Resources { processors_milli: 0, ..self.task_resources },
            false => self.task_resources,
        }
    }
}
