//! Clients through which the scheduler calls workers, machines and the placement policy.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId};
use tokio::sync::OwnedSemaphorePermit;

use crate::cluster::{Machine, WaveNumber, WorkerId};
use crate::spec::{RunNumber, StepId, TaskId};

/// Fencing token of an owner. Each owner's token is higher than the one before, and a worker
/// rejects requests with a lower token than the highest that it has seen.
pub type FencingToken = u64;

/// The worker incarnation that a request is meant for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerAddress {
    /// The worker.
    pub id: WorkerId,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Polls a worker for its runs, and extends the lease of all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRequest {
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// Highest number of an ended run that the owner has stored; the worker may drop ended runs up
    /// to it.
    pub acknowledged: u64,
    /// End of the lease of all runs on the worker, on the worker's clock; `None` doesn't extend it.
    pub lease_until: Option<Duration>,
    /// How long the worker may wait for a run to end before it responds.
    pub wait: Duration,
}

/// How much of a list a response holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Listing {
    /// All of it: what is not in the response does not exist.
    #[default]
    Whole,
    /// As much as the protocol allows in one response: there may be more.
    FirstPage,
}

/// Response to a poll.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollResponse {
    /// Reading of the worker's clock.
    pub clock: Duration,
    /// Start of the worker's incarnation in Unix time.
    pub started_unix: Option<Duration>,
    /// Runs in progress.
    pub running: Vec<RunningRun>,
    /// Ended runs that are not acknowledged, in order of their number.
    pub ended: Vec<EndedRun>,
    /// Whether `ended` holds all of them. A worker lists further ones once these are acknowledged.
    pub ended_listing: Listing,
    /// Memory that is reserved for the response.
    pub memory: ResponseMemory,
}

/// Memory that is reserved for a response until it is dropped. It says nothing about the worker, so
/// it does not count where responses are compared.
#[derive(Debug, Clone, Default)]
pub struct ResponseMemory(
    #[expect(dead_code, reason = "held for its drop")] Option<Arc<OwnedSemaphorePermit>>,
);

impl From<Option<OwnedSemaphorePermit>> for ResponseMemory {
    fn from(permit: Option<OwnedSemaphorePermit>) -> Self {
        Self(permit.map(Arc::new))
    }
}

impl PartialEq for ResponseMemory {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for ResponseMemory {}

/// A run in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// Its last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent; a long-running task is available at 100.
    pub percent: u8,
    /// Tail latency in milliseconds of a task that serves users; CPU usage in thousandths of a core
    /// of any other task.
    pub load_metric: u32,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end, ascending within the worker's incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It succeeded.
    Done,
    /// It failed, because of the task or the worker.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease expired.
    Expired,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// Request to start a run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// End of the lease of all runs on the worker, on the worker's clock.
    pub lease_until: Duration,
    /// Proof of the placement policy's permission, see [`Ticket`].
    pub ticket: Option<Arc<str>>,
}

/// Request to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopRequest {
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
}

/// Request to limit a run to a share of its full speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThrottleRequest {
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Share of the full speed, in percent.
    pub percent: u8,
}

/// Outcome of a command to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The worker carried it out.
    Accepted,
    /// The worker refused it.
    Refused(Refusal),
    /// It was not sent.
    NotSent,
    /// No response was received; the worker may have carried it out, or may still do so.
    Unknown,
}

/// Why a worker refused a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher token.
    Fenced,
    /// A run with this number or a higher one has ended on the worker.
    Outdated,
    /// The lease in the command had expired.
    TooLate,
    /// The worker lacks free capacity.
    NoRoom,
    /// The ticket is missing or no longer valid.
    NoTicket,
    /// The worker is unhealthy.
    Unhealthy,
    /// Another incarnation listens at this address.
    OtherLife,
    /// The worker could not parse the command.
    Malformed,
}

/// Why a poll failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PollError {
    /// Another incarnation responds at this address.
    #[error("another worker incarnation responds at this address")]
    OtherLife,
    /// The worker has seen a higher token.
    #[error("the worker has seen a higher fencing token")]
    Fenced,
    /// The worker's host closed or refused the connection, so the worker's process may have ended.
    #[error("connection closed: {0}")]
    Closed(Arc<str>),
    /// No valid response was received.
    #[error("no valid response: {0}")]
    NoAnswer(Arc<str>),
}

/// Client of the workers.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Polls a worker for its runs.
    fn poll(
        &self,
        worker: &WorkerAddress,
        request: PollRequest,
    ) -> impl Future<Output = Result<PollResponse, PollError>> + Send;

    /// Starts runs; returns one outcome for each request, in the same order.
    fn start(
        &self,
        worker: &WorkerAddress,
        requests: Vec<StartRequest>,
    ) -> impl Future<Output = Vec<CommandOutcome>> + Send;

    /// Stops runs; returns one outcome for each request, in the same order.
    fn stop(
        &self,
        worker: &WorkerAddress,
        requests: Vec<StopRequest>,
    ) -> impl Future<Output = Vec<CommandOutcome>> + Send;

    /// Limits the speed of runs; returns one outcome for each request, in the same order.
    fn throttle(
        &self,
        worker: &WorkerAddress,
        requests: Vec<ThrottleRequest>,
    ) -> impl Future<Output = Vec<CommandOutcome>> + Send;

    /// Closes the connections to a worker incarnation that has ended.
    fn forget(&self, worker: &WorkerAddress);
}

/// The placement policy's permission to run a step on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The worker.
    pub worker: WorkerId,
    /// Proof of the permission, which the worker checks.
    pub proof: Arc<str>,
}

/// Response of the placement policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyResponse {
    /// Tickets of the workers that may run the step.
    pub tickets: Vec<Ticket>,
    /// How long the tickets are valid.
    pub valid_for: Duration,
}

/// Why the placement policy told nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PolicyError {
    /// Too many calls wait for it.
    #[error("too many calls are waiting")]
    Busy,
    /// No valid response was received in time.
    #[error("no valid response")]
    Unanswered,
}

/// Client of the placement policy.
pub trait PolicyClient: Clone + Send + Sync + 'static {
    /// Asks which of the given workers may run a step.
    fn request_tickets(
        &self,
        step: StepId,
        workers: Vec<WorkerId>,
        timeout: Duration,
    ) -> impl Future<Output = Result<PolicyResponse, PolicyError>> + Send;
}

/// Longest time after which a command without a response may still be executed.
pub const LATE_COMMAND_MAX: Duration = Duration::from_secs(13);

/// Outcome of a command to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineOutcome {
    /// It was carried out, now or earlier.
    Accepted,
    /// Nothing was done: the machine is not up or is leaving, or too many commands were sent.
    Busy,
    /// Another owner has used a higher fencing token.
    Fenced,
    /// The command doesn't apply to the machine.
    Refused,
    /// It may have been carried out.
    Unknown,
}

/// Client of the machine control API.
pub trait MachineClient: Clone + Send + Sync + 'static {
    /// Lists all machines; `None` if no valid response was received.
    fn list(&self) -> impl Future<Output = Option<Vec<Machine>>> + Send;

    /// Moves a machine to another service.
    fn move_to(
        &self,
        machine: InstanceId,
        service: ServiceId,
        token: FencingToken,
    ) -> impl Future<Output = MachineOutcome> + Send;

    /// Takes a machine down for the maintenance of a wave.
    fn maintain(
        &self,
        machine: InstanceId,
        wave: WaveNumber,
        token: FencingToken,
    ) -> impl Future<Output = MachineOutcome> + Send;
}
