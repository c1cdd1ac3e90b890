//! What the request path tells the rest of an entry instance.

use cassiafold_config::{InstanceId, ServiceId, TeamId};
use tokio::time::Instant;

pub use crate::health::AttemptResult;

/// Result of one attempt at an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// The instance.
    pub instance: InstanceId,
    /// What the attempt showed.
    pub result: AttemptResult,
    /// When it showed.
    pub at: Instant,
}

/// Requests of one team at one service of this entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamUsage {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait in the queue.
    pub waiting: u32,
}

/// Slots that this entry instance holds at one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceUsage {
    /// The backend server.
    pub instance: InstanceId,
    /// Requests that hold a slot.
    pub running: u32,
}

/// What this entry instance runs and keeps waiting, for the other entry instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// By service and team, without the idle ones.
    pub teams: Vec<TeamUsage>,
    /// By backend server, without the idle ones.
    pub instances: Vec<InstanceUsage>,
}
