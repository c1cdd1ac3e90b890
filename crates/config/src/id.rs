//! Type aliases for identifiers.

use std::sync::Arc;

/// Identifies an instance: a backend server, a worker or an entry instance.
pub type InstanceId = Arc<str>;
/// Identifies an availability zone.
pub type ZoneId = Arc<str>;
/// Identifies a region of availability zones.
pub type RegionId = Arc<str>;
/// Identifies a rack within an availability zone.
pub type RackId = Arc<str>;
/// Identifies a pool of instances.
pub type PoolId = Arc<str>;
/// Identifies a service, which is also the name of its queue.
pub type ServiceId = Arc<str>;
/// Identifies a team.
pub type TeamId = Arc<str>;
/// Identifies a maintenance wave.
pub type WaveId = Arc<str>;
/// Number of a configuration; each accepted patch raises it by one.
pub type Version = u64;
