//! Serialized form of the operators' configuration: JSON in the store, YAML in files.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Key of the current configuration in the store: a [`RawConfig`] as JSON.
pub const CURRENT_KEY: &str = "cassiafold/config/current";

/// Prefix of the keys of the configuration's history in the store.
pub const HISTORY_PREFIX: &str = "cassiafold/config/history/";

/// Returns the history key of one version; keys sort by version.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:020}")
}

/// Serialized form of [`crate::Config`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfig {
    /// Version number.
    pub version: u64,
    /// Identifies the write that stored this version, so that a writer whose response was lost can
    /// determine whether its write took effect.
    #[serde(default)]
    pub write_id: String,
    /// Availability zones by id.
    pub zones: BTreeMap<Arc<str>, RawZone>,
    /// Services by id.
    pub services: BTreeMap<Arc<str>, RawService>,
    /// Pools by id.
    pub pools: BTreeMap<Arc<str>, RawPool>,
    /// Teams by id.
    pub teams: BTreeMap<Arc<str>, RawTeam>,
    /// Maintenance waves by id.
    #[serde(default)]
    pub waves: BTreeMap<Arc<str>, RawWave>,
    /// Author, time and patch of this version. Set by the operators' interface.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<RawChange>,
}

/// Author, time and patch of a version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawChange {
    /// Operator who requested the change.
    pub operator: Arc<str>,
    /// When the change was accepted, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Version to which the patch was applied.
    pub base_version: u64,
    /// Media type of the patch.
    pub media_type: Arc<str>,
    /// The patch; absent if it exceeds [`STORED_PATCH_BYTES_MAX`].
    ///
    /// [`STORED_PATCH_BYTES_MAX`]: crate::patch::STORED_PATCH_BYTES_MAX
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patch: Option<serde_json::Value>,
}

/// Serialized form of [`crate::Zone`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawZone {
    /// Region of the zone.
    pub region: Arc<str>,
    /// Whether operators have taken the zone out of service.
    #[serde(default)]
    pub out: bool,
}

/// Serialized form of [`crate::Service`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Whether the queue accepts requests without a key.
    #[serde(default)]
    pub open: bool,
    /// Minimum number of available instances.
    #[serde(default)]
    pub floor_count: Option<u32>,
    /// Minimum fraction of the pool's instances that must stay available, from 0 to 1.
    #[serde(default)]
    pub floor_share: Option<f64>,
    /// Maximum number of requests that one instance runs concurrently.
    #[serde(default = "default_slots")]
    pub slots_per_instance: u32,
    /// Maximum number of connections to one instance.
    #[serde(default = "default_connections")]
    pub connections_per_instance: u32,
    /// Maximum number of queued requests of one team at one entry instance.
    #[serde(default = "default_queue_length")]
    pub queue_length_max: u32,
    /// Deadline of a request that does not set one, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_default_ms: u64,
    /// Longest deadline that a caller may request, in milliseconds.
    #[serde(default = "default_deadline_max_ms")]
    pub deadline_max_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_max_bytes")]
    pub body_max_bytes: u64,
}

fn default_slots() -> u32 {
    8
}

fn default_connections() -> u32 {
    64
}

fn default_queue_length() -> u32 {
    1_000
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_deadline_max_ms() -> u64 {
    600_000
}

fn default_body_max_bytes() -> u64 {
    8 << 20
}

/// Serialized form of [`crate::Pool`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPool {
    /// Service that the pool serves; absent for a spare pool.
    #[serde(default)]
    pub service: Option<Arc<str>>,
}

/// Serialized form of [`crate::Team`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTeam {
    /// Weight of the team when all capacity is in use.
    pub share: u32,
    /// Maximum number of the team's requests and tasks that run concurrently across the fleet.
    pub upper_limit: u32,
    /// Hashes of the team's keys, in hexadecimal.
    #[serde(default)]
    pub key_hashes: Vec<String>,
}

/// Serialized form of [`crate::Wave`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWave {
    /// Zones, in the order of their maintenance.
    pub zones: Vec<Arc<str>>,
    /// Pools to maintain; an empty list selects all pools.
    #[serde(default)]
    pub pools: Vec<Arc<str>>,
    /// Whether operators have paused the wave.
    #[serde(default)]
    pub paused: bool,
    /// Earliest start of the wave, in seconds since the Unix epoch.
    pub start_unix_s: u64,
    /// Time by which the wave should be complete, in seconds since the Unix epoch.
    pub deadline_unix_s: u64,
    /// Maximum time to wait for a drain, in milliseconds.
    #[serde(default = "default_drain_max_ms")]
    pub drain_max_ms: u64,
    /// Weekly periods in which no maintenance step starts.
    #[serde(default)]
    pub blackouts: Vec<RawBlackout>,
}

fn default_drain_max_ms() -> u64 {
    600_000
}

/// Serialized form of [`crate::document::Blackout`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBlackout {
    /// Day of the week in UTC, from `mon` to `sun`.
    pub weekday: String,
    /// First hour, from 0 to 23, UTC.
    pub from_hour: u8,
    /// Hour at which the blackout ends, from 1 to 24, UTC.
    pub to_hour: u8,
}
