//! Running and waiting requests of entry instances.

use std::collections::BTreeMap;

use cassiafold_config::{InstanceId, ServiceId, TeamId};
pub use cassiafold_wire::Symptom;

/// A team's queue at a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId {
    /// Service of the queue.
    pub service: ServiceId,
    /// Team whose requests are in the queue.
    pub team: TeamId,
}

/// Requests of one team for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

impl TeamUsage {
    /// Returns the number of requests that would run without limits.
    pub fn demand(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Running and waiting requests at one entry instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests of each queue; empty queues are left out.
    pub queues: BTreeMap<QueueId, TeamUsage>,
    /// Running requests on each backend server; servers without any are left out.
    pub instances: BTreeMap<InstanceId, u32>,
    /// Number of the fleet document that the entry instance applies, read before the counts.
    pub fleet_number: u64,
    /// Running requests on each draining backend server; servers without any are left out.
    pub draining: BTreeMap<InstanceId, u32>,
    /// Symptoms of failing backend servers.
    pub symptoms: BTreeMap<InstanceId, Symptom>,
    /// Whether the entry instance can reach the key-value service.
    pub store_reachable: bool,
}

impl Usage {
    /// Returns the waiting requests of each team over all services.
    pub fn waiting_by_team(&self) -> BTreeMap<TeamId, u32> {
        let mut waiting = BTreeMap::new();
        for (queue, usage) in &self.queues {
            *waiting.entry(queue.team.clone()).or_insert(0) += usage.waiting;
        }
        waiting
    }
}

/// Source of the running and waiting requests at this entry instance.
pub trait UsageSource: Clone + Send + Sync + 'static {
    /// Returns the requests at this moment.
    fn usage(&self) -> Usage;
}
