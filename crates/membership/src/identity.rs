//! Identity of an entry instance.

use std::net::SocketAddr;

use cassiafold_config::{InstanceId, RegionId, ZoneId};

use crate::escrow::{HolderId, Incarnation};

/// One run of an entry instance with its location and address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Identifier of the entry instance, unique in the fleet.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Address at which it accepts connections from other entry instances.
    pub address: SocketAddr,
    /// Incarnation number of this run, higher than that of previous runs.
    pub incarnation: Incarnation,
}

impl Identity {
    /// Returns the identity as a holder of slices.
    pub fn holder(&self) -> HolderId {
        HolderId { instance: self.id.clone(), incarnation: self.incarnation }
    }
}
