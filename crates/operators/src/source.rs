//! Traits through which the operators' interface reaches the rest of an entry instance, and the
//! types that they exchange.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;

use cassiafold_config::{InstanceId, PoolId, ServiceId, TeamId, Version, WaveId, ZoneId};
use cassiafold_platform::Store;
use serde::{Deserialize, Serialize};

/// Access to everything that the operators' interface reads or changes.
pub trait Sources: Clone + Send + Sync + 'static {
    /// Client of the key-value service.
    type Store: Store;
    /// Source of the state of entry instances.
    type Status: StatusSource;
    /// Source of the state of the fleet.
    type Fleet: FleetSource;

    /// Returns the client of the key-value service.
    fn store(&self) -> &Self::Store;

    /// Returns the source of the state of entry instances.
    fn status(&self) -> &Self::Status;

    /// Returns the source of the state of the fleet.
    fn fleet(&self) -> &Self::Fleet;

    /// Returns the metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;
}

/// Source of the state of the entry instances.
pub trait StatusSource: Clone + Send + Sync + 'static {
    /// Returns the state as known to this entry instance, without waiting for others.
    fn status(&self) -> impl Future<Output = Status> + Send;
}

/// State of the entry instances as known to one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Entry instance that responds.
    pub instance_id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it can reach the key-value service.
    pub store_reachable: bool,
    /// Live entry instances, including the one that responds.
    pub entries: Vec<EntryStatus>,
    /// Upper limit and load of each team.
    pub teams: Vec<TeamStatus>,
}

/// State of one entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry instance.
    pub instance_id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version that it has in force; zero when it has none.
    pub version: Version,
    /// Whether it accepts new requests; `None` when it has not reported recently.
    pub ready: Option<bool>,
    /// Time since its last report, in milliseconds.
    pub heard_ms_ago: u64,
}

/// Upper limit and load of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamId,
    /// Highest number of requests and tasks that may run concurrently across the fleet.
    pub upper_limit: u32,
    /// Part of the upper limit that is assigned to this entry instance.
    pub slice: u32,
    /// Requests and tasks that were started by this entry instance and are running.
    pub running: u32,
    /// Requests that are queued at this entry instance.
    pub waiting: u32,
}

/// Source of the state of the fleet.
pub trait FleetSource: Clone + Send + Sync + 'static {
    /// Returns the pools with the counts of their instances.
    fn pools(&self) -> impl Future<Output = Vec<PoolStatus>> + Send;

    /// Returns the maintenance waves with their progress.
    fn waves(&self) -> impl Future<Output = Vec<WaveStatus>> + Send;

    /// Returns the latest decisions about one object, or `None` when nothing is known about it.
    fn explain(
        &self,
        subject: Subject,
        id: &str,
    ) -> impl Future<Output = Option<Explanation>> + Send;

    /// Returns an HTML report of the fleet over time, or `None` while its data cannot be read.
    fn report(&self) -> impl Future<Output = Option<String>> + Send;

    /// Requests a move of instances to another pool. Requests are idempotent by request id: a
    /// repeat returns the result of the first.
    fn move_instances(
        &self,
        request: MoveRequest,
    ) -> impl Future<Output = Result<MoveResponse, MoveRefusal>> + Send;
}

/// State of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolId,
    /// Service that it serves; a spare pool serves none.
    pub service: Option<ServiceId>,
    /// Number of instances in the pool.
    pub instances: u32,
    /// Number of instances that accept new work.
    pub available: u32,
    /// Number of instances that are draining or rebooting.
    pub in_maintenance: u32,
    /// Number of instances that are ejected or failing.
    pub failing: u32,
    /// Lowest number of available instances that the pool must keep.
    pub floor: u32,
    /// Number of instances that are moving into the pool.
    pub arriving: u32,
}

/// Progress of one maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveStatus {
    /// The wave.
    pub wave: WaveId,
    /// Number of instances in the wave.
    pub total: u32,
    /// Number of instances already maintained in this wave.
    pub done: u32,
    /// Instances under maintenance.
    pub in_progress: Vec<InstanceId>,
    /// Availability zone whose instances are being maintained.
    pub zone: Option<ZoneId>,
    /// Number of instances that wait for a retry or are failing.
    pub set_back: u32,
    /// Number of instances whose last maintenance is longer ago than the maintenance period.
    pub overdue: u32,
    /// Why no step starts, when the whole wave is paused or blocked.
    pub held_back: Option<Reason>,
    /// Deadline of the wave, in seconds since the Unix epoch.
    pub deadline_unix_s: u64,
    /// Expected end at the average speed up to now, in seconds since the Unix epoch; `None` before
    /// the first instance is done.
    pub expected_end_unix_s: Option<u64>,
    /// Whether it has missed its deadline or is expected to miss it.
    pub late: bool,
}

/// A result code with its meaning.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reason {
    /// Number of the code in `docs/CODES.md`.
    pub code: u16,
    /// Meaning of the code.
    pub meaning: Arc<str>,
}

/// Kind of object whose decisions can be explained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// An instance.
    Instance,
    /// A pool.
    Pool,
    /// A team.
    Team,
    /// A maintenance wave.
    Wave,
}

impl Subject {
    /// Returns the name of the kind in paths and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Instance => "instance",
            Self::Pool => "pool",
            Self::Team => "team",
            Self::Wave => "wave",
        }
    }

    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Instance, Self::Pool, Self::Team, Self::Wave];
}

/// Facts about one object, decisions about it and steps that are blocked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Known facts.
    pub facts: Vec<Fact>,
    /// Steps that are blocked, with the rule that blocks each.
    pub why_not: Vec<WhyNot>,
    /// Decisions, newest first.
    pub decisions: Vec<Decision>,
}

/// A named fact.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Name of the fact.
    pub name: Arc<str>,
    /// Its value.
    pub value: Arc<str>,
}

/// Why a step is blocked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WhyNot {
    /// The step.
    pub step: Arc<str>,
    /// The rule that blocks it.
    pub reason: Reason,
    /// Inputs of the decision.
    pub inputs: Inputs,
}

/// One decision with its inputs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Number of its event in `docs/EVENTS.md`.
    pub event: u16,
    /// What was decided.
    pub message: Arc<str>,
    /// Instance that it concerns.
    pub instance: Option<InstanceId>,
    /// Pool that it concerns.
    pub pool: Option<PoolId>,
    /// Maintenance wave that it concerns.
    pub wave: Option<WaveId>,
    /// Inputs of the decision.
    pub inputs: Inputs,
}

/// Inputs of a decision, by name.
pub type Inputs = BTreeMap<Arc<str>, Arc<str>>;

/// Request to move instances from one pool to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveRequest {
    /// Idempotency key of the request.
    pub request_id: Arc<str>,
    /// Operator who requests the move.
    pub operator: Arc<str>,
    /// Source pool.
    pub from: PoolId,
    /// Destination pool.
    pub to: PoolId,
    /// The instances to move, or their number.
    pub selection: Selection,
}

/// Selection of the instances to move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selection {
    /// These instances.
    Instances(Vec<InstanceId>),
    /// This number of instances of the source pool.
    Count(u32),
}

/// Response to an accepted move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveResponse {
    /// Instances that will move.
    pub instances: Vec<InstanceId>,
}

/// Failure of a move request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MoveRefusal {
    /// The move would break a rule; nothing was changed.
    #[error("{0}")]
    Refused(Arc<str>),
    /// The key-value service cannot be reached; nothing was changed.
    #[error("{0}")]
    Unavailable(Arc<str>),
    /// The move may have started.
    #[error("{0}")]
    OutcomeUnknown(Arc<str>),
}
