//! Control of workers, as the platform gives it.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cassiafold_config::{RackId, ZoneId};

use crate::estimate::Usage;
use crate::record::{ClaimId, Resources, TaskId, WorkerId};

/// A worker as it reports itself, with a lag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Declared rack of the worker.
    pub rack: RackId,
    /// All resources of the worker.
    pub capacity: Resources,
    /// Resources in use.
    pub used: Resources,
    /// Claims whose usage is part of `used`.
    pub counted_claims: Vec<ClaimId>,
    /// Whether the worker takes new tasks.
    pub accepts: bool,
}

/// Request to run a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Worker that shall run the task.
    pub worker: WorkerId,
    /// Claim under which the task runs; a worker starts each claim at most once.
    pub claim: ClaimId,
    /// The task.
    pub task: TaskId,
    /// Time after which the worker refuses to start the claim.
    pub start_before: SystemTime,
    /// Resources to reserve.
    pub resources: Resources,
}

/// State of a claim at its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunState {
    /// The worker has never started the claim.
    NotStarted,
    /// The task runs.
    Running,
    /// The task succeeded.
    Succeeded {
        /// Answer of the task.
        output: Arc<str>,
        /// What the task used.
        usage: Usage,
    },
    /// The task failed, or was stopped.
    Failed {
        /// Why it failed.
        reason: Arc<str>,
    },
}

/// Failure of a call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// The worker refused the call, which had no effect.
    #[error("worker refused the call")]
    Refused,
    /// The worker could not be reached, or its answer was lost.
    #[error("worker unreachable")]
    Unreachable,
}

/// Client of the workers. Every call has a deadline.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Reads the last report of each worker.
    fn list(&self) -> impl Future<Output = Result<Vec<WorkerReport>, WorkerError>> + Send;

    /// Starts a claim. A repeat of a claim that was started has no effect.
    fn start(&self, start: StartRequest) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Asks for the state of a claim.
    fn state(
        &self,
        worker: &WorkerId,
        claim: &ClaimId,
    ) -> impl Future<Output = Result<RunState, WorkerError>> + Send;

    /// Stops a claim; it ends as failed.
    fn stop(
        &self,
        worker: &WorkerId,
        claim: &ClaimId,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Saves the progress of a claim and sets its resources free; it resumes by itself later.
    fn checkpoint(
        &self,
        worker: &WorkerId,
        claim: &ClaimId,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Time after which a worker without contact to the platform has stopped its tasks.
    fn lease_duration(&self) -> Duration;
}
