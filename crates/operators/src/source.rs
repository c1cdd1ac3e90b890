//! What the operators' interface asks of the rest of an entry instance.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;

use cassiafold_config::{InstanceId, PoolId, ServiceId, TeamId, Version, WaveId, ZoneId};
use cassiafold_platform::Store;
use serde::{Deserialize, Serialize};

/// Everything that the operators' interface shows or changes.
pub trait Sources: Clone + Send + Sync + 'static {
    /// Client of the key-value service.
    type Store: Store;
    /// Source of the state of entry instances.
    type Status: StatusSource;
    /// Source of the state of the fleet.
    type Fleet: FleetSource;

    /// Client of the key-value service.
    fn store(&self) -> &Self::Store;

    /// Source of the state of entry instances.
    fn status(&self) -> &Self::Status;

    /// Source of the state of the fleet.
    fn fleet(&self) -> &Self::Fleet;

    /// Metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;
}

/// State of the entry instances as this one knows it.
pub trait StatusSource: Clone + Send + Sync + 'static {
    /// Reads the state. It must not wait for other entry instances.
    fn status(&self) -> impl Future<Output = Status> + Send;
}

/// State of the entry instances as one of them knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Entry instance that answers.
    pub instance_id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether it reaches the key-value service.
    pub store_reachable: bool,
    /// Live entry instances, this one included.
    pub entries: Vec<EntryStatus>,
    /// Upper limits and work of each team.
    pub teams: Vec<TeamStatus>,
}

/// State of one entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry instance.
    pub instance_id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version that it has in force; zero when it knows none.
    pub version: Version,
    /// Whether it takes new requests; unknown where it was not heard lately.
    pub ready: Option<bool>,
    /// Time since it was heard, in milliseconds.
    pub heard_ms_ago: u64,
}

/// Upper limit and work of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamId,
    /// Most that may run at once across the fleet.
    pub upper_limit: u32,
    /// Part of the upper limit that this entry instance holds.
    pub slice: u32,
    /// Requests and tasks that run from this entry instance.
    pub running: u32,
    /// Requests that wait at this entry instance.
    pub waiting: u32,
}

/// State of the fleet.
pub trait FleetSource: Clone + Send + Sync + 'static {
    /// Pools with their instances.
    fn pools(&self) -> impl Future<Output = Vec<PoolStatus>> + Send;

    /// Maintenance waves with their progress.
    fn waves(&self) -> impl Future<Output = Vec<WaveStatus>> + Send;

    /// Last decisions about one thing; `None` when nothing is known of it.
    fn explain(
        &self,
        subject: Subject,
        id: &str,
    ) -> impl Future<Output = Option<Explanation>> + Send;

    /// Writes a page of the fleet over time; `None` while what it shows cannot be read.
    fn report(&self) -> impl Future<Output = Option<String>> + Send;

    /// Asks for a move of instances to another pool. A repeat with the same request id finds the
    /// first.
    fn move_instances(
        &self,
        request: MoveRequest,
    ) -> impl Future<Output = Result<MoveAnswer, MoveRefusal>> + Send;
}

/// State of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolId,
    /// Service that it serves; a spare pool serves none.
    pub service: Option<ServiceId>,
    /// Instances of the pool.
    pub instances: u32,
    /// Instances that take new work.
    pub available: u32,
    /// Instances that drain or reboot.
    pub in_maintenance: u32,
    /// Instances that are ejected or failing.
    pub failing: u32,
    /// Lowest number of available instances.
    pub floor: u32,
    /// Instances on their way into the pool.
    pub arriving: u32,
}

/// Progress of one maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveStatus {
    /// The wave.
    pub wave: WaveId,
    /// Instances that the wave covers.
    pub total: u32,
    /// Instances maintained in this wave.
    pub done: u32,
    /// Instances under maintenance.
    pub in_progress: Vec<InstanceId>,
    /// Availability zone in which it works now.
    pub zone: Option<ZoneId>,
    /// Instances that wait for a second try, or are failing.
    pub set_back: u32,
    /// Instances last maintained longer ago than the maintenance period.
    pub overdue: u32,
    /// Why no step starts, when the wave as a whole is held back.
    pub held_back: Option<Reason>,
    /// When the wave must end, in seconds since the Unix epoch.
    pub deadline_unix_s: u64,
    /// When it will end at the pace so far, in seconds since the Unix epoch.
    pub expected_end_unix_s: Option<u64>,
    /// Whether it has missed its deadline or is expected to.
    pub late: bool,
}

/// A numbered reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reason {
    /// Number of the code in `docs/CODES.md`.
    pub code: u16,
    /// What the code means.
    pub meaning: Arc<str>,
}

/// Kind of a thing whose decisions can be asked for.
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
    /// Name of the kind in paths and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Instance => "instance",
            Self::Pool => "pool",
            Self::Team => "team",
            Self::Wave => "wave",
        }
    }

    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Instance, Self::Pool, Self::Team, Self::Wave];
}

/// What is known about one thing, what was decided and what is held back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// What is known.
    pub facts: Vec<Fact>,
    /// Steps that do not start now, with the rule that decided.
    pub why_not: Vec<WhyNot>,
    /// Decisions, newest first.
    pub decisions: Vec<Decision>,
}

/// One thing that is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// What is known.
    pub name: Arc<str>,
    /// Its value.
    pub value: Arc<str>,
}

/// Why a step does not start now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WhyNot {
    /// The step.
    pub step: Arc<str>,
    /// The rule that decided.
    pub reason: Reason,
    /// What it was decided on.
    pub inputs: Inputs,
}

/// One decision with its inputs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// When it was made, in milliseconds since the Unix epoch.
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
    /// What it was decided on.
    pub inputs: Inputs,
}

/// Inputs of a decision by name.
pub type Inputs = BTreeMap<Arc<str>, Arc<str>>;

/// Request to move instances from one pool to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveRequest {
    /// Identifies the request.
    pub request_id: Arc<str>,
    /// Who asks for the move.
    pub operator: Arc<str>,
    /// Pool that gives.
    pub from: PoolId,
    /// Pool that takes.
    pub to: PoolId,
    /// Which instances, or how many.
    pub selection: Selection,
}

/// Instances that a move takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selection {
    /// These instances.
    Instances(Vec<InstanceId>),
    /// Any instances, this many.
    Count(u32),
}

/// Answer to an accepted move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveAnswer {
    /// Instances that will move.
    pub instances: Vec<InstanceId>,
}

/// Why a move did not begin.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MoveRefusal {
    /// The move would break a rule; nothing was changed.
    #[error("{0}")]
    Refused(Arc<str>),
    /// The key-value service cannot be reached; nothing was changed.
    #[error("{0}")]
    Unavailable(Arc<str>),
    /// The move may have begun.
    #[error("{0}")]
    OutcomeUnknown(Arc<str>),
}
