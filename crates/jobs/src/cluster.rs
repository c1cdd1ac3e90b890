//! What the operator and the platform say about the cluster: queues, teams, workers, machines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{InstanceId, RackId, ServiceId, TeamId, ZoneId};

use crate::spec::Resources;

/// Identifies a queue.
pub type QueueId = Arc<str>;
/// Identifies a worker; the same id may come back with another life.
pub type WorkerId = Arc<str>;
/// Identifies a wave of maintenance.
pub type WaveNumber = u64;

/// The operator's configuration of queues and teams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterConfig {
    /// Number of the configuration, which rises with each change.
    pub version: u64,
    /// Queues by id.
    pub queues: HashMap<QueueId, Queue>,
    /// Teams by id.
    pub teams: HashMap<TeamId, Team>,
    /// Team of each key.
    pub keys: HashMap<Arc<str>, TeamId>,
    /// Services by id.
    pub services: HashMap<ServiceId, Service>,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: Option<usize>,
}

impl ClusterConfig {
    /// The queue to which a host and a path belong, with the rest of the path.
    ///
    /// Of several prefixes that fit the longest one counts.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let fitting = self.queues.values().filter_map(|queue| {
            let rest = path.strip_prefix(&*queue.prefix)?;
            (*queue.host == *host).then_some((queue, rest))
        });
        fitting.max_by_key(|(queue, _)| queue.prefix.len())
    }
}

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its id.
    pub id: QueueId,
    /// Host name under which callers reach it.
    pub host: Arc<str>,
    /// Start of the paths that belong to it.
    pub prefix: Arc<str>,
    /// Service whose workers run its tasks.
    pub service: ServiceId,
    /// Rank among the queues of a service; 0 comes first.
    pub priority: u8,
    /// How often a task may fail before its job fails.
    pub attempts_max: u32,
    /// Factor on the longest chain of work that a job may take.
    pub critical_path_factor: f64,
    /// Time that a job may take beyond that.
    pub latency_objective: Duration,
    /// Whether callers need no key.
    pub is_public: bool,
    /// How tickets for its steps are had, where only some workers may run them.
    pub placement_policy: Option<PlacementPolicy>,
}

/// How a queue's placement policy answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// Time that one question takes.
    pub base: Duration,
    /// Time that each worker in a question adds.
    pub per_worker: Duration,
    /// How long a ticket is valid.
    pub valid_for: Duration,
}

/// A service: a pool of machines and the workers on them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether its machines are off until they are moved to another service.
    pub is_spare: bool,
    /// Whether its workers refuse work that exceeds their room.
    pub rejects_overload: bool,
}

/// A team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Team {
    /// Its share when all is full, in jobs per second.
    pub weight: f64,
    /// Most that it may have running; a zero means no limit.
    pub limit: Resources,
}

impl Team {
    /// Whether a team that has `running` may start a task that takes `needs`.
    pub fn admits(&self, running: &Resources, needs: &Resources) -> bool {
        let after = running.plus(needs);
        let processors = within(after.processors_milli.into(), self.limit.processors_milli.into());
        let memory = within(after.memory_bytes, self.limit.memory_bytes);
        let accelerators = within(after.accelerators.into(), self.limit.accelerators.into());
        processors && memory && accelerators
    }
}

/// Whether an amount respects a limit, where a limit of zero is none.
fn within(amount: u64, limit: u64) -> bool {
    limit == 0 || amount <= limit
}

/// A worker as it reports itself.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Its id.
    pub id: WorkerId,
    /// Start of its present life in Unix time, where it says so.
    pub started_unix: Option<Duration>,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address at which it takes orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its kind and its rack, as labels.
    pub labels: Arc<[Arc<str>]>,
    /// Its resources.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub is_draining: bool,
}

impl WorkerEntry {
    /// The rack: the last label, as the platform lists the kind first.
    pub fn rack(&self) -> Option<&RackId> {
        self.labels.get(1)
    }
}

/// What a machine is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// It runs its worker.
    Up,
    /// It is on the way to another service.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It is off or broken.
    Down,
}

/// A machine on which one worker at a time runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its id.
    pub id: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// What it is doing.
    pub state: MachineState,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Worker that runs on it.
    pub worker: Option<WorkerId>,
    /// Its kind and its rack, as labels.
    pub labels: Vec<Arc<str>>,
    /// Its resources.
    pub capacity: Resources,
}

/// The operator's request to maintain machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: WaveNumber,
    /// The machines.
    pub machines: Vec<InstanceId>,
    /// Time within which each machine shall have been maintained.
    pub time_limit: Duration,
    /// Most machines that may be maintained at once.
    pub concurrent_max: usize,
}
