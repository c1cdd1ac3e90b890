//! Client interface of the workers, which the platform implements.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cassiafold_config::{RackId, ZoneId};

use crate::estimate::Usage;
use crate::record::{ClaimId, Resources, TaskId, WorkerId};

/// Last report of a worker, which lags behind its current state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Declared rack of the worker.
    pub rack: RackId,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources in use.
    pub used: Resources,
    /// Claims whose usage is included in `used`.
    pub counted_claims: Vec<ClaimId>,
    /// Whether the worker accepts new tasks.
    pub accepts: bool,
}

/// Request to run a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Worker that is to run the task.
    pub worker: WorkerId,
    /// Claim under which the task runs; a worker starts each claim at most once.
    pub claim: ClaimId,
    /// The task.
    pub task: TaskId,
    /// Start deadline, after which the worker refuses to start the claim.
    pub start_before: SystemTime,
    /// Resources to reserve.
    pub resources: Resources,
}

/// State of a claim on its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunState {
    /// The worker has never started the claim.
    NotStarted,
    /// The task is running.
    Running,
    /// The task succeeded.
    Succeeded {
        /// Output of the task.
        output: Arc<str>,
        /// Resource usage of the task.
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
    /// The worker could not be reached, or its response was lost.
    #[error("worker unreachable")]
    Unreachable,
}

/// Client of the workers. Every call has a deadline.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Returns the last report of each worker.
    fn list(&self) -> impl Future<Output = Result<Vec<WorkerReport>, WorkerError>> + Send;

    /// Starts a claim. The call is idempotent: a claim that was already started is not started
    /// again.
    fn start(&self, start: StartRequest) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Returns the state of a claim.
    fn state(
        &self,
        worker: &WorkerId,
        claim: &ClaimId,
    ) -> impl Future<Output = Result<RunState, WorkerError>> + Send;

    /// Stops a claim, which then ends as [`RunState::Failed`].
    fn stop(
        &self,
        worker: &WorkerId,
        claim: &ClaimId,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Checkpoints a claim and releases its resources; the worker resumes it later by itself.
    fn checkpoint(
        &self,
        worker: &WorkerId,
        claim: &ClaimId,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Returns the time after which a worker that has lost contact with the platform has stopped
    /// all its tasks.
    fn lease_duration(&self) -> Duration;
}
