//! Backend server instances, as used by request dispatch and fleet management.

use std::net::SocketAddr;

use crate::id::{InstanceId, PoolId, RackId, ZoneId};

/// Last known life-cycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InstanceState {
    /// Accepts new work.
    Live,
    /// Completes its current work and accepts no new work.
    Leaving,
}

/// A backend server instance and its location in the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Declared rack.
    pub rack: RackId,
    /// Pool to which it belongs.
    pub pool: PoolId,
    /// Last known life-cycle state.
    pub state: InstanceState,
}
