//! Settings of one entry instance, from its YAML file.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::error::Faults;
use crate::id::{InstanceId, RegionId, ZoneId, check_id};
use crate::key::KeyHash;

/// Settings as written in the file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Identifier of this entry instance, unique in the fleet.
    pub instance_id: InstanceId,
    /// Availability zone of this entry instance.
    pub zone: ZoneId,
    /// Region of this entry instance.
    pub region: RegionId,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for operators and metrics.
    pub operators_address: SocketAddr,
    /// Address for the other entry instances.
    pub peers_address: SocketAddr,
    /// Addresses of the platform's key-value service.
    pub store_addresses: Vec<SocketAddr>,
    /// Address of the platform's instance list.
    pub instance_list_address: SocketAddr,
    /// Address of the platform's instance control.
    pub instance_control_address: SocketAddr,
    /// Addresses of entry instances to ask for the others while the key-value service is down.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// Hash of the operators' credential, in hexadecimal.
    pub operators_key_hash: String,
    /// Timeout of one call to the key-value service, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub store_timeout_ms: u64,
    /// Time to live of this entry instance's lease, in milliseconds.
    #[serde(default = "default_lease_ttl_ms")]
    pub lease_ttl_ms: u64,
    /// Wait between readiness off and the refusal of new requests at a stop, in milliseconds.
    #[serde(default = "default_stop_wait_ms")]
    pub stop_wait_ms: u64,
    /// Longest wait for entry instances to confirm an accepted patch, in milliseconds.
    #[serde(default = "default_confirm_wait_ms")]
    pub confirm_wait_ms: u64,
    /// Longest time that one request of an operator may take, in milliseconds.
    #[serde(default = "default_operators_timeout_ms")]
    pub operators_timeout_ms: u64,
    /// Longest time for which keyed work goes on while this entry instance may have missed the
    /// withdrawal of a key, because it is cut off, in milliseconds.
    #[serde(default = "default_isolated_keys_max_ms")]
    pub isolated_keys_max_ms: u64,
    /// Time for which slices of upper limits may be used without the key-value service, in
    /// milliseconds. The slices of a lost entry instance return to the others after it.
    #[serde(default = "default_limits_hold_ms")]
    pub limits_hold_ms: u64,
}

fn default_isolated_keys_max_ms() -> u64 {
    600_000
}

fn default_limits_hold_ms() -> u64 {
    3_600_000
}

fn default_store_timeout_ms() -> u64 {
    1_000
}

fn default_lease_ttl_ms() -> u64 {
    10_000
}

fn default_stop_wait_ms() -> u64 {
    2_000
}

fn default_confirm_wait_ms() -> u64 {
    2_000
}

fn default_operators_timeout_ms() -> u64 {
    10_000
}

/// Checked settings of one entry instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identifier of this entry instance.
    pub instance_id: InstanceId,
    /// Availability zone of this entry instance.
    pub zone: ZoneId,
    /// Region of this entry instance.
    pub region: RegionId,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for operators and metrics.
    pub operators_address: SocketAddr,
    /// Address for the other entry instances.
    pub peers_address: SocketAddr,
    /// Addresses of the platform's key-value service.
    pub store_addresses: Vec<SocketAddr>,
    /// Address of the platform's instance list.
    pub instance_list_address: SocketAddr,
    /// Address of the platform's instance control.
    pub instance_control_address: SocketAddr,
    /// Addresses of entry instances to ask for the others while the key-value service is down.
    pub seed_addresses: Vec<SocketAddr>,
    /// Hash of the operators' credential.
    pub operators_key_hash: KeyHash,
    /// Timeout of one call to the key-value service.
    pub store_timeout: Duration,
    /// Time to live of this entry instance's lease.
    pub lease_ttl: Duration,
    /// Wait between readiness off and the refusal of new requests at a stop.
    pub stop_wait: Duration,
    /// Longest wait for entry instances to confirm an accepted patch.
    pub confirm_wait: Duration,
    /// Longest time that one request of an operator may take.
    pub operators_timeout: Duration,
    /// Longest time for which keyed work goes on while this entry instance may have missed the
    /// withdrawal of a key.
    pub isolated_keys_max: Duration,
    /// Time for which slices of upper limits may be used without the key-value service.
    pub limits_hold: Duration,
}

impl TryFrom<RawSettings> for Settings {
    type Error = Faults;

    fn try_from(raw: RawSettings) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        check_id("instance_id", &raw.instance_id, &mut faults);
        check_id("zone", &raw.zone, &mut faults);
        check_id("region", &raw.region, &mut faults);
        if raw.store_addresses.is_empty() {
            faults.push("store_addresses", "needs at least one address");
        }
        if raw.store_timeout_ms == 0 {
            faults.push("store_timeout_ms", "must be at least 1");
        }
        if raw.lease_ttl_ms < raw.store_timeout_ms.saturating_mul(2) {
            let message = "must be at least twice store_timeout_ms";
            faults.push_related("lease_ttl_ms", "store_timeout_ms", message);
        }
        if raw.operators_timeout_ms <= raw.confirm_wait_ms {
            let message = "must be longer than confirm_wait_ms";
            faults.push_related("operators_timeout_ms", "confirm_wait_ms", message);
        }
        let hash = KeyHash::from_hex(&raw.operators_key_hash);
        if hash.is_none() {
            faults.push("operators_key_hash", "must be 64 hexadecimal digits");
        }
        let operators_key_hash = hash.unwrap_or_else(|| KeyHash::of(""));
        faults.into_result(Self {
            instance_id: raw.instance_id,
            zone: raw.zone,
            region: raw.region,
            callers_address: raw.callers_address,
            operators_address: raw.operators_address,
            peers_address: raw.peers_address,
            store_addresses: raw.store_addresses,
            instance_list_address: raw.instance_list_address,
            instance_control_address: raw.instance_control_address,
            seed_addresses: raw.seed_addresses,
            operators_key_hash,
            store_timeout: Duration::from_millis(raw.store_timeout_ms),
            lease_ttl: Duration::from_millis(raw.lease_ttl_ms),
            stop_wait: Duration::from_millis(raw.stop_wait_ms),
            confirm_wait: Duration::from_millis(raw.confirm_wait_ms),
            operators_timeout: Duration::from_millis(raw.operators_timeout_ms),
            isolated_keys_max: Duration::from_millis(raw.isolated_keys_max_ms),
            limits_hold: Duration::from_millis(raw.limits_hold_ms),
        })
    }
}
