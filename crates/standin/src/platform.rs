//! The whole stand-in platform as servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::control::{ControlServer, ListServer};
use crate::gateway::Gateway;
use crate::instances::MemoryInstances;
use crate::store::MemoryStore;

/// Address of a free port of the loopback interface.
pub const FREE_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Addresses at which the platform listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformAddresses {
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// Address of the instance control.
    pub instance_control: SocketAddr,
}

impl Default for PlatformAddresses {
    /// Free ports of the loopback interface.
    fn default() -> Self {
        Self { store: FREE_PORT, instance_list: FREE_PORT, instance_control: FREE_PORT }
    }
}

/// A running stand-in platform.
#[derive(Debug)]
pub struct Platform {
    /// Store behind the gateway.
    pub store: MemoryStore,
    /// Instances behind the list and the control.
    pub instances: MemoryInstances,
    gateway: Gateway,
    list: ListServer,
    control: ControlServer,
}

impl Platform {
    /// Starts all servers over an empty store and an empty list.
    pub async fn start(addresses: PlatformAddresses) -> std::io::Result<Self> {
        Self::start_with(addresses, MemoryStore::default(), MemoryInstances::default()).await
    }

    /// Starts all servers over a given store and list.
    pub async fn start_with(
        addresses: PlatformAddresses,
        store: MemoryStore,
        instances: MemoryInstances,
    ) -> std::io::Result<Self> {
        let gateway = Gateway::start(addresses.store, store.clone()).await?;
        let list = ListServer::start(addresses.instance_list, instances.clone()).await?;
        let control = ControlServer::start(addresses.instance_control, instances.clone()).await?;
        Ok(Self { store, instances, gateway, list, control })
    }

    /// Addresses at which it listens.
    pub fn addresses(&self) -> PlatformAddresses {
        PlatformAddresses {
            store: self.gateway.address(),
            instance_list: self.list.address(),
            instance_control: self.control.address(),
        }
    }

    /// Stops all servers and closes their connections.
    pub async fn close(self) {
        self.gateway.close().await;
        self.list.close().await;
        self.control.close().await;
    }
}
