//! What the scheduler asks of workers, machines and the placement policy.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId};

use crate::cluster::{Machine, WaveNumber, WorkerId};
use crate::spec::{RunNumber, StepId, TaskId};

/// A number that rises from owner to owner; a worker obeys none below the highest it has seen.
pub type FencingToken = u64;

/// The life of a worker that a call is meant for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerAddress {
    /// The worker.
    pub id: WorkerId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A look at what runs on a worker, which also extends the lease of all that runs there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRequest {
    /// The owner's token.
    pub token: FencingToken,
    /// Number up to which ended runs are stored and may be forgotten.
    pub acknowledged: u64,
    /// Until when everything there may run, on the worker's clock; `None` extends nothing.
    pub lease_until: Option<Duration>,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Duration,
}

/// Answer to a look.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollResponse {
    /// The worker's clock.
    pub clock: Duration,
    /// Start of the worker's life in Unix time.
    pub started_unix: Option<Duration>,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// What has ended and was not acknowledged, in order of number.
    pub ended: Vec<EndedRun>,
}

/// A run in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// Its last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// How far it is; a long-running task is available at 100.
    pub percent: u8,
    /// Tail latency in milliseconds of a task that serves users, else the processor time in use
    /// in thousandths of a core.
    pub load_metric: u32,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end, which rises within the worker's life.
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
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ended.
    Expired,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// An order to run a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// The owner's token.
    pub token: FencingToken,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Text of the job.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Until when everything on the worker may run, on the worker's clock.
    pub lease_until: Duration,
    /// Ticket of the placement policy.
    pub ticket: Option<Arc<str>>,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// It was carried out.
    Accepted,
    /// Nothing was done, for this reason.
    Refused(Refusal),
    /// Nothing was sent.
    NotSent,
    /// No answer came; the order may be carried out now or later.
    Unknown,
}

/// Why a worker did nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher token.
    Fenced,
    /// A run with this number or a higher one has ended there.
    Outdated,
    /// The lease in the order was over.
    TooLate,
    /// It has no room.
    NoRoom,
    /// The ticket is missing or no longer valid.
    NoTicket,
    /// It is unwell.
    Unhealthy,
    /// Another life answers at this address.
    OtherLife,
    /// The order could not be understood.
    Malformed,
}

/// Why a look brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PollError {
    /// Another life answers at this address.
    #[error("another worker answers at this address")]
    OtherLife,
    /// The worker has seen a higher token.
    #[error("the worker obeys a later owner")]
    Fenced,
    /// No usable answer came.
    #[error("no answer: {0}")]
    NoAnswer(Arc<str>),
}

/// Calls to workers.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Looks at what runs on a worker.
    fn poll(
        &self,
        worker: &WorkerAddress,
        request: PollRequest,
    ) -> impl Future<Output = Result<PollResponse, PollError>> + Send;

    /// Starts tasks; the outcomes come in the order of the requests, one for each.
    fn start(
        &self,
        worker: &WorkerAddress,
        requests: Vec<StartRequest>,
    ) -> impl Future<Output = Vec<CommandOutcome>> + Send;

    /// Stops a run.
    fn stop(
        &self,
        worker: &WorkerAddress,
        task: TaskId,
        run: RunNumber,
        token: FencingToken,
    ) -> impl Future<Output = CommandOutcome> + Send;

    /// Lets a run work at a share of its speed, in percent.
    fn throttle(
        &self,
        worker: &WorkerAddress,
        task: TaskId,
        run: RunNumber,
        percent: u8,
        token: FencingToken,
    ) -> impl Future<Output = CommandOutcome> + Send;

    /// Forgets the connections to a worker that is gone.
    fn forget(&self, worker: &WorkerAddress);
}

/// Permission of the placement policy to run a step on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The worker.
    pub worker: WorkerId,
    /// Proof for the worker.
    pub proof: Arc<str>,
}

/// Answer of the placement policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyResponse {
    /// Workers that may run the step.
    pub tickets: Vec<Ticket>,
    /// How long the tickets are valid.
    pub valid_for: Duration,
}

/// Questions to the placement policy.
pub trait PolicyClient: Clone + Send + Sync + 'static {
    /// Asks which of some workers may run a step; `None` where no answer came.
    fn request_tickets(
        &self,
        step: StepId,
        workers: Vec<WorkerId>,
    ) -> impl Future<Output = Option<PolicyResponse>> + Send;
}

/// Answer to an order to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineOutcome {
    /// It was carried out, now or before.
    Accepted,
    /// The machine is not up or is leaving.
    Busy,
    /// Another owner has used a higher token.
    Fenced,
    /// The order does not fit the machine.
    Refused,
    /// It may have been carried out, or too many orders were sent.
    Unknown,
}

/// Calls to the machines of the fleet.
pub trait MachineClient: Clone + Send + Sync + 'static {
    /// Lists all machines; `None` where no answer came.
    fn list(&self) -> impl Future<Output = Option<Vec<Machine>>> + Send;

    /// Moves a machine to another service.
    fn move_to(
        &self,
        machine: InstanceId,
        service: ServiceId,
        token: FencingToken,
    ) -> impl Future<Output = MachineOutcome> + Send;

    /// Maintains a machine of a wave.
    fn maintain(
        &self,
        machine: InstanceId,
        wave: WaveNumber,
        token: FencingToken,
    ) -> impl Future<Output = MachineOutcome> + Send;
}
