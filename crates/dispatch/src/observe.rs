//! Data that the request path provides to the rest of an entry instance.

use cassiafold_config::{InstanceId, ServiceId, TeamId};
use tokio::time::Instant;

pub use crate::health::AttemptResult;

/// Result of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// The instance to which the attempt was made.
    pub instance: InstanceId,
    /// The result.
    pub result: AttemptResult,
    /// When the result was recorded.
    pub at: Instant,
}

/// Requests of one team for one service at this entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamUsage {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
    /// Number of requests that hold a slot.
    pub running: u32,
    /// Number of requests waiting in the queue.
    pub waiting: u32,
}

/// Slots of one backend server held by this entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceUsage {
    /// The backend server.
    pub instance: InstanceId,
    /// Number of requests that hold a slot.
    pub running: u32,
}

/// Running and waiting requests of this entry instance, reported to the other entry instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// Usage by service and team; idle teams are omitted.
    pub teams: Vec<TeamUsage>,
    /// Usage by backend server; idle ones are omitted.
    pub instances: Vec<InstanceUsage>,
}
