//! The complete stand-in platform, run as HTTP servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::control::{ControlServer, ListServer};
use crate::gateway::Gateway;
use crate::instances::MemoryInstances;
use crate::store::MemoryStore;

/// Loopback address with port 0, so that the system assigns a free port.
pub const FREE_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Listen addresses of the platform.
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
    /// Returns free ports of the loopback interface.
    fn default() -> Self {
        Self { store: FREE_PORT, instance_list: FREE_PORT, instance_control: FREE_PORT }
    }
}

/// A running stand-in platform.
#[derive(Debug)]
pub struct Platform {
    /// Store that the gateway serves.
    pub store: MemoryStore,
    /// Instances that the list and the control serve.
    pub instances: MemoryInstances,
    gateway: Gateway,
    list: ListServer,
    control: ControlServer,
}

impl Platform {
    /// Starts all servers with an empty store and an empty instance list.
    pub async fn start(addresses: PlatformAddresses) -> std::io::Result<Self> {
        Self::start_with(addresses, MemoryStore::default(), MemoryInstances::default()).await
    }

    /// Starts all servers with the given store and instances.
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

    /// Returns the listen addresses.
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
