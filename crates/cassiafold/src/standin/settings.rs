//! Settings of the stand-ins, read from a YAML file.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::id::is_valid_id;
use cassiafold_config::{Faults, InstanceId, RackId, ZoneId};
use cassiafold_standin::PlatformAddresses;
use cassiafold_standin::platform::FREE_PORT;
use serde::Deserialize;

/// Maximum number of backend servers over all groups.
const BACKENDS_MAX: usize = 1_000;
/// Number of backend servers in one rack.
const RACK_SIZE: usize = 4;

/// Unvalidated settings from the file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawStandinSettings {
    /// Address of the key-value service.
    #[serde(default = "free_port")]
    store_address: SocketAddr,
    /// Address of the instance list.
    #[serde(default = "free_port")]
    instance_list_address: SocketAddr,
    /// Address of the instance control.
    #[serde(default = "free_port")]
    instance_control_address: SocketAddr,
    /// Groups of identical backend servers.
    #[serde(default)]
    backends: Vec<RawBackendGroup>,
}

/// Unvalidated group of identical backend servers from the file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBackendGroup {
    /// Prefix of the ids.
    name: Arc<str>,
    /// Number of backend servers.
    count: usize,
    /// Availability zones, assigned round-robin.
    zones: Vec<ZoneId>,
    /// Maximum number of concurrent requests per server.
    #[serde(default = "default_slots")]
    slots: u32,
    /// Time to process a request, in milliseconds.
    #[serde(default)]
    run_time_ms: u64,
}

fn free_port() -> SocketAddr {
    FREE_PORT
}

fn default_slots() -> u32 {
    8
}

/// Validated settings of the stand-ins.
#[derive(Debug)]
pub struct StandinSettings {
    /// Addresses of the platform's services.
    pub addresses: PlatformAddresses,
    /// Groups of identical backend servers.
    pub backends: Vec<BackendGroup>,
}

/// A group of identical backend servers.
#[derive(Debug)]
pub struct BackendGroup {
    /// Prefix of the ids.
    pub name: Arc<str>,
    /// Number of backend servers.
    pub count: usize,
    /// Availability zones, assigned round-robin.
    pub zones: Vec<ZoneId>,
    /// Maximum number of concurrent requests per server.
    pub slots: u32,
    /// Time to process a request.
    pub run_time: Duration,
}

/// Id and location of one backend server.
#[derive(Debug, PartialEq, Eq)]
pub struct BackendIdentity {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Rack of the instance, unique over all zones and groups.
    pub rack: RackId,
}

impl BackendGroup {
    /// Returns the id and location of the backend server with this index.
    ///
    /// Servers are distributed round-robin over the zones, then grouped into racks.
    pub fn identity(&self, index: usize) -> BackendIdentity {
        let zone = self.zones[index % self.zones.len()].clone();
        let rack = index / self.zones.len() / RACK_SIZE;
        BackendIdentity {
            id: format!("{}-{index}", self.name).into(),
            rack: format!("{zone}-{}-{rack}", self.name).into(),
            zone,
        }
    }
}

impl TryFrom<RawStandinSettings> for StandinSettings {
    type Error = Faults;

    fn try_from(raw: RawStandinSettings) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        for (path, address) in [
            ("store_address", raw.store_address),
            ("instance_list_address", raw.instance_list_address),
            ("instance_control_address", raw.instance_control_address),
        ] {
            if !address.ip().is_loopback() {
                faults.push(path, "must be an address of the loopback interface");
            }
        }
        for (index, group) in raw.backends.iter().enumerate() {
            check_group(&format!("backends[{index}]"), group, &mut faults);
        }
        if raw.backends.iter().map(|group| group.count).sum::<usize>() > BACKENDS_MAX {
            faults.push("backends", format!("must be at most {BACKENDS_MAX} in all"));
        }
        let addresses = PlatformAddresses {
            store: raw.store_address,
            instance_list: raw.instance_list_address,
            instance_control: raw.instance_control_address,
        };
        let backends = raw.backends.into_iter().map(BackendGroup::from).collect();
        faults.into_result(Self { addresses, backends })
    }
}

fn check_group(path: &str, group: &RawBackendGroup, faults: &mut Faults) {
    if !is_valid_id(&group.name) {
        faults.push(format!("{path}.name"), "must be an id");
    }
    if group.zones.is_empty() || !group.zones.iter().all(|zone| is_valid_id(zone)) {
        faults.push(format!("{path}.zones"), "must be at least one id");
    }
    if group.slots == 0 {
        faults.push(format!("{path}.slots"), "must be at least 1");
    }
}

impl From<RawBackendGroup> for BackendGroup {
    fn from(raw: RawBackendGroup) -> Self {
        Self {
            name: raw.name,
            count: raw.count,
            zones: raw.zones,
            slots: raw.slots,
            run_time: Duration::from_millis(raw.run_time_ms),
        }
    }
}

#[cfg(test)]
mod tests;
