//! Running and waiting requests of entry instances.

use std::collections::BTreeMap;

use cassiafold_config::{InstanceId, ServiceId, TeamId};
pub use cassiafold_wire::Symptom;

/// A team's queue at a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId {
    /// Service of the queue.
    pub service: ServiceId,
    /// Team whose requests stand in the queue.
    pub team: TeamId,
}

/// Requests of one team for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl TeamUsage {
    /// Requests that would run if nothing held them back.
    pub fn demand(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Requests at one entry instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests by queue; queues without any are left out.
    pub queues: BTreeMap<QueueId, TeamUsage>,
    /// Running requests by backend server; those without any are left out.
    pub instances: BTreeMap<InstanceId, u32>,
    /// Number of the fleet document on which the entry instance acts, read before the counts.
    pub fleet_number: u64,
    /// Running requests by backend server that takes no new work; those without any are left out.
    pub draining: BTreeMap<InstanceId, u32>,
    /// Failing instances.
    pub symptoms: BTreeMap<InstanceId, Symptom>,
    /// Whether the key-value service answered the entry instance lately.
    pub store_reachable: bool,
}

impl Usage {
    /// Waiting requests of each team over all services.
    pub fn waiting_by_team(&self) -> BTreeMap<TeamId, u32> {
        let mut waiting = BTreeMap::new();
        for (queue, usage) in &self.queues {
            *waiting.entry(queue.team.clone()).or_insert(0) += usage.waiting;
        }
        waiting
    }
}

/// Tells the requests that run and wait at this entry instance.
pub trait UsageSource: Clone + Send + Sync + 'static {
    /// Requests at this moment.
    fn usage(&self) -> Usage;
}
