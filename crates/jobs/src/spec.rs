//! Jobs as submitted by callers: steps, each of many equal tasks.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::VALUE_BYTES_MAX;
pub use cassiafold_tasks::record::Resources;

use crate::interference::ImageId;

/// Identifies a job; chosen by its caller as 16 hexadecimal digits.
pub type JobId = u64;
/// Number of an occurrence of a scheduled job, from 0. It is 0 for a job without a schedule.
pub type OccurrenceNumber = u32;
/// Index of a step within its job, from 0.
pub type StepNumber = u16;
/// Index of a task within its step, from 0.
pub type TaskNumber = u32;
/// Number of a run, which is one attempt to execute a task; from 1, ascending per task.
pub type RunNumber = u32;

/// Highest run number that is taken from a worker. Owners give numbers far below it, so that the
/// number after any that is taken can be given.
pub const RUN_NUMBER_MAX: RunNumber = RunNumber::MAX / 2;
/// Largest number of steps of a job.
pub const STEPS_MAX: usize = 1_000;
/// Largest number of tasks of a job's steps together. The owner holds the state of each task that is
/// not done, of all occurrences that have started, in memory, and in one value of the store.
pub const JOB_TASKS_MAX: u64 = 20_000;
/// Largest number of occurrences of a job.
pub const OCCURRENCES_MAX: u32 = 100_000;
/// Largest number of occurrences of a job that have started and not ended.
pub const OPEN_OCCURRENCES_MAX: usize = 1_000;

/// Why a job is too large for the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum JobSizeError {
    /// It has too many steps.
    #[error("{0} steps exceed the limit of {STEPS_MAX}")]
    Steps(usize),
    /// Its steps have too many tasks.
    #[error("{0} tasks exceed the limit of {JOB_TASKS_MAX}")]
    Tasks(u64),
    /// It has too many occurrences.
    #[error("{0} occurrences exceed the limit of {OCCURRENCES_MAX}")]
    Occurrences(u32),
    /// Its state does not fit into a value of the store.
    #[error("a state of {0} bytes exceeds the limit of {VALUE_BYTES_MAX}")]
    State(usize),
}

/// Identifies a step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The occurrence.
    pub occurrence: OccurrenceNumber,
    /// The step.
    pub step: StepNumber,
}

/// Identifies a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Step of the task.
    pub step: StepId,
    /// Index within the step.
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
    /// Payload that every task of the job receives.
    pub payload: Arc<str>,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
    /// When the job is repeated; `None` for a job that runs once, immediately.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Checks that an owner can hold the job's state.
    pub fn check_size(&self) -> Result<(), JobSizeError> {
        if self.steps.len() > STEPS_MAX {
            return Err(JobSizeError::Steps(self.steps.len()));
        }
        if self.tasks() > JOB_TASKS_MAX {
            return Err(JobSizeError::Tasks(self.tasks()));
        }
        if self.occurrences() > OCCURRENCES_MAX {
            return Err(JobSizeError::Occurrences(self.occurrences()));
        }
        Ok(())
    }

    /// Whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// Schedule of a job's occurrences.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Due time of the first occurrence, in Unix time.
    pub first_unix: Duration,
    /// Time between two occurrences.
    pub interval: Duration,
    /// Number of occurrences.
    pub occurrences: u32,
}

impl Schedule {
    /// Unix time at which an occurrence is due; [`Duration::MAX`] if it lies beyond that.
    pub fn due_unix(&self, occurrence: OccurrenceNumber) -> Duration {
        self.first_unix.saturating_add(self.interval.saturating_mul(occurrence))
    }
}

/// A step: equal tasks that may run concurrently.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub task_resources: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps that this step depends on.
    pub after: Vec<StepNumber>,
    /// Whether tasks save checkpoints from which they can resume.
    pub checkpoints: bool,
    /// Whether the tasks make progress only while all of them run.
    pub gang: bool,
    /// Whether tasks run longer when they are spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data; tasks run longer elsewhere.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step that may run on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether several runs of a task may be active at once.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled, and are restarted whenever a run ends.
    pub long_running: bool,
    /// Target of the tail latency, for tasks that serve users.
    pub tail_target: Option<Duration>,
    /// Whether the tasks run on CPU time that other tasks on the worker leave unused.
    pub opportunistic: bool,
    /// Availability budget: how many tasks of the step the fleet itself may make unavailable at
    /// once; `None` if there is no such budget.
    pub unavailable_max: Option<u32>,
    /// What the tasks run; tasks of the same image behave alike.
    pub image: Option<ImageId>,
}

impl StepSpec {
    /// Cores that all tasks use together.
    pub fn cores(&self) -> f64 {
        f64::from(self.tasks) * f64::from(self.task_resources.processors_milli) / 1_000.0
    }

    /// Resources that a task reserves on its worker.
    pub fn reserved(&self) -> Resources {
        match self.opportunistic {
            true => Resources { processors_milli: 0, ..self.task_resources },
            false => self.task_resources,
        }
    }
}
