//! Cluster configuration and inventory: queues, teams, services, workers and machines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{InstanceId, RackId, ServiceId, TeamId, ZoneId};

use crate::spec::Resources;

/// Identifies a queue.
pub type QueueId = Arc<str>;
/// Identifies a worker; an id may be used by several incarnations.
pub type WorkerId = Arc<str>;
/// Identifies a maintenance wave.
pub type WaveNumber = u64;

/// The operator's configuration of queues and teams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterConfig {
    /// Version of the configuration, which rises with each change.
    pub version: u64,
    /// Queues by id.
    pub queues: HashMap<QueueId, Queue>,
    /// Teams by id.
    pub teams: HashMap<TeamId, Team>,
    /// Team of each API key.
    pub keys: HashMap<Arc<str>, TeamId>,
    /// Services by id.
    pub services: HashMap<ServiceId, Service>,
    /// Limit of the size of a request body, in bytes.
    pub body_bytes_max: Option<usize>,
}

impl ClusterConfig {
    /// Queue of a host and a path, with the rest of the path after the queue's prefix.
    ///
    /// If several prefixes match, the longest one applies.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matching = self.queues.values().filter_map(|queue| {
            let rest = path.strip_prefix(&*queue.prefix)?;
            (*queue.host == *host).then_some((queue, rest))
        });
        matching.max_by_key(|(queue, _)| queue.prefix.len())
    }
}

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Id of the queue.
    pub id: QueueId,
    /// Host name under which callers reach it.
    pub host: Arc<str>,
    /// Prefix of the paths that belong to it.
    pub prefix: Arc<str>,
    /// Service whose workers run its tasks.
    pub service: ServiceId,
    /// Priority among the queues of a service; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    pub attempts_max: u32,
    /// Factor on a job's critical path, for its latency objective.
    pub critical_path_factor: f64,
    /// Time that a job may take beyond its critical path times that factor.
    pub latency_objective: Duration,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// Placement policy of its steps, if only some workers may run them.
    pub placement_policy: Option<PlacementPolicy>,
}

/// Latency and ticket validity of a queue's placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// Time that a query takes by itself.
    pub base: Duration,
    /// Time that each worker in a query adds.
    pub per_worker: Duration,
    /// How long a ticket is valid.
    pub valid_for: Duration,
}

/// A service: a pool of machines and the workers on them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether its machines are off until they are moved to another service.
    pub is_spare: bool,
    /// Whether its workers refuse work that exceeds their capacity.
    pub rejects_overload: bool,
}

/// A team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Team {
    /// Its share under load, in jobs per second.
    pub weight: f64,
    /// Quota of the resources that its runs may use; zero means no limit.
    pub limit: Resources,
}

impl Team {
    /// Whether the team may start a task that takes `needs` while it uses `running`.
    pub fn admits(&self, running: &Resources, needs: &Resources) -> bool {
        let total = running.plus(needs);
        let processors =
            is_within_limit(total.processors_milli.into(), self.limit.processors_milli.into());
        let memory = is_within_limit(total.memory_bytes, self.limit.memory_bytes);
        let accelerators =
            is_within_limit(total.accelerators.into(), self.limit.accelerators.into());
        processors && memory && accelerators
    }
}

/// Whether an amount is within a limit; a limit of zero is none.
fn is_within_limit(amount: u64, limit: u64) -> bool {
    limit == 0 || amount <= limit
}

/// A worker as listed in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Id of the worker.
    pub id: WorkerId,
    /// Start of its current incarnation in Unix time, if it reports one.
    pub started_unix: Option<Duration>,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address on which it accepts commands.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Labels: the machine type, then the rack.
    pub labels: Arc<[Arc<str>]>,
    /// Resources that runs may reserve.
    pub capacity: Resources,
    /// Whether it is about to shut down.
    pub is_draining: bool,
}

impl WorkerEntry {
    /// The rack, which is the second label, after the machine type.
    pub fn rack(&self) -> Option<&RackId> {
        self.labels.get(1)
    }
}

/// State of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// It is up and runs its worker.
    Up,
    /// It is moving to another service.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It is off or broken.
    Down,
    /// What the platform lists about it can't be read.
    Unknown,
}

/// A machine, which runs at most one worker at a time.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Id of the machine.
    pub id: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// State of the machine.
    pub state: MachineState,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Worker that runs on it.
    pub worker: Option<WorkerId>,
    /// Labels: the machine type, then the rack.
    pub labels: Vec<Arc<str>>,
    /// Resources of the machine.
    pub capacity: Resources,
}

/// A maintenance wave: the operator's request to maintain machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub number: WaveNumber,
    /// Machines to maintain.
    pub machines: Vec<InstanceId>,
    /// Time within which all machines are to be maintained.
    pub time_limit: Duration,
    /// Most machines that may be in maintenance at once.
    pub concurrent_max: usize,
}
