//! Settings of one entry instance, read from its YAML file.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::error::Faults;
use crate::id::{InstanceId, RegionId, ZoneId, check_id};
use crate::key::KeyHash;

/// Settings as written in the file, before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Identifier of this entry instance, unique in the fleet.
    pub instance_id: InstanceId,
    /// Availability zone of this entry instance.
    pub zone: ZoneId,
    /// Region of this entry instance.
    pub region: RegionId,
    /// Listen address for callers.
    pub callers_address: SocketAddr,
    /// Listen address for operators and metrics.
    pub operators_address: SocketAddr,
    /// Listen address for the other entry instances.
    pub peers_address: SocketAddr,
    /// Addresses of the platform's key-value service.
    pub store_addresses: Vec<SocketAddr>,
    /// Address of the platform's instance list.
    pub instance_list_address: SocketAddr,
    /// Address of the platform's instance control.
    pub instance_control_address: SocketAddr,
    /// Addresses of entry instances that are asked for the list of entry instances while the
    /// key-value service is unavailable.
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
    /// Delay at shutdown between reporting not ready and rejecting new requests, in milliseconds.
    #[serde(default = "default_stop_wait_ms")]
    pub stop_wait_ms: u64,
    /// Maximum time to wait for entry instances to confirm an accepted patch, in milliseconds.
    #[serde(default = "default_confirm_wait_ms")]
    pub confirm_wait_ms: u64,
    /// Timeout of one request of an operator, in milliseconds.
    #[serde(default = "default_operators_timeout_ms")]
    pub operators_timeout_ms: u64,
    /// Maximum time, in milliseconds, for which work with a key is accepted while this entry
    /// instance is disconnected and so may have missed the revocation of a key.
    #[serde(default = "default_isolated_keys_max_ms")]
    pub isolated_keys_max_ms: u64,
    /// Time, in milliseconds, for which this entry instance may use its slices of the teams' upper
    /// limits without the key-value service. Afterwards the slices of a lost entry instance
    /// return to the others.
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

/// Validated settings of one entry instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identifier of this entry instance.
    pub instance_id: InstanceId,
    /// Availability zone of this entry instance.
    pub zone: ZoneId,
    /// Region of this entry instance.
    pub region: RegionId,
    /// Listen address for callers.
    pub callers_address: SocketAddr,
    /// Listen address for operators and metrics.
    pub operators_address: SocketAddr,
    /// Listen address for the other entry instances.
    pub peers_address: SocketAddr,
    /// Addresses of the platform's key-value service.
    pub store_addresses: Vec<SocketAddr>,
    /// Address of the platform's instance list.
    pub instance_list_address: SocketAddr,
    /// Address of the platform's instance control.
    pub instance_control_address: SocketAddr,
    /// Addresses of entry instances that are asked for the list of entry instances while the
    /// key-value service is unavailable.
    pub seed_addresses: Vec<SocketAddr>,
    /// Hash of the operators' credential.
    pub operators_key_hash: KeyHash,
    /// Timeout of one call to the key-value service.
    pub store_timeout: Duration,
    /// Time to live of this entry instance's lease.
    pub lease_ttl: Duration,
    /// Delay at shutdown between reporting not ready and rejecting new requests.
    pub stop_wait: Duration,
    /// Maximum time to wait for entry instances to confirm an accepted patch.
    pub confirm_wait: Duration,
    /// Timeout of one request of an operator.
    pub operators_timeout: Duration,
    /// Maximum time for which work with a key is accepted while this entry instance is
    /// disconnected and so may have missed the revocation of a key.
    pub isolated_keys_max: Duration,
    /// Time for which this entry instance may use its slices of the teams' upper limits without
    /// the key-value service.
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
