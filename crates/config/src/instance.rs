//! Instances as the request path and the fleet see them.

use std::net::SocketAddr;

use crate::id::{InstanceId, PoolId, RackId, ZoneId};

/// Life cycle of an instance as last known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InstanceState {
    /// Takes new work.
    Live,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// One backend server instance with its place in the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Availability zone in which it stands.
    pub zone: ZoneId,
    /// Declared rack.
    pub rack: RackId,
    /// Pool to which it belongs.
    pub pool: PoolId,
    /// Life cycle as last known.
    pub state: InstanceState,
}
