//! Wire form of the operators' configuration: JSON in the store, YAML in files.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Key of the current configuration in the store: a [`RawConfig`] as JSON.
pub const CURRENT_KEY: &str = "cassiafold/config/current";

/// Prefix of the keys of the configuration's history in the store.
pub const HISTORY_PREFIX: &str = "cassiafold/config/history/";

/// Key of the history of one version; keys sort by version.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:020}")
}

/// Wire form of [`crate::Config`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfig {
    /// Number of the configuration.
    pub version: u64,
    /// Identifies the write that stored this version, so that a lost answer can be settled.
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
    /// Who made this version and how. Set by the operators' interface.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<RawChange>,
}

/// Who made a version of the configuration and how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawChange {
    /// Operator who asked for the change.
    pub operator: Arc<str>,
    /// When the change was accepted, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Version from which the change was made.
    pub base_version: u64,
    /// Media type of the patch.
    pub media_type: Arc<str>,
    /// The patch; left out where it is long.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patch: Option<serde_json::Value>,
}

/// Wire form of [`crate::Zone`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawZone {
    /// Region of the zone.
    pub region: Arc<str>,
    /// Whether operators have taken the zone out.
    #[serde(default)]
    pub out: bool,
}

/// Wire form of [`crate::Service`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Whether the queue takes work without a key.
    #[serde(default)]
    pub open: bool,
    /// Lowest number of available instances.
    #[serde(default)]
    pub floor_count: Option<u32>,
    /// Lowest share of the pool's instances that stay available, from 0 to 1.
    #[serde(default)]
    pub floor_share: Option<f64>,
    /// Requests that one instance runs at once.
    #[serde(default = "default_slots")]
    pub slots_per_instance: u32,
    /// Connections that one instance takes.
    #[serde(default = "default_connections")]
    pub connections_per_instance: u32,
    /// Requests of one team that may wait at one entry instance.
    #[serde(default = "default_queue_length")]
    pub queue_length_max: u32,
    /// Deadline of a request that names none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_default_ms: u64,
    /// Longest deadline a caller may ask for, in milliseconds.
    #[serde(default = "default_deadline_max_ms")]
    pub deadline_max_ms: u64,
    /// Longest request body, in bytes.
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

/// Wire form of [`crate::Pool`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPool {
    /// Service that the pool serves; a spare pool serves none.
    #[serde(default)]
    pub service: Option<Arc<str>>,
}

/// Wire form of [`crate::Team`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTeam {
    /// Weight of the team when all is full.
    pub share: u32,
    /// Most requests and tasks of the team that run at once across the fleet.
    pub upper_limit: u32,
    /// Hashes of the team's keys, in hexadecimal.
    #[serde(default)]
    pub key_hashes: Vec<String>,
}

/// Wire form of [`crate::Wave`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWave {
    /// Zones in the order in which they are maintained.
    pub zones: Vec<Arc<str>>,
    /// Pools to maintain; empty means all.
    #[serde(default)]
    pub pools: Vec<Arc<str>>,
    /// Whether operators have paused the wave.
    #[serde(default)]
    pub paused: bool,
    /// When the wave may start, in seconds since the Unix epoch.
    pub start_unix_s: u64,
    /// When the wave should have ended, in seconds since the Unix epoch.
    pub deadline_unix_s: u64,
    /// Longest wait for a drain, in milliseconds.
    #[serde(default = "default_drain_max_ms")]
    pub drain_max_ms: u64,
    /// Hours in which no step starts.
    #[serde(default)]
    pub blackouts: Vec<RawBlackout>,
}

fn default_drain_max_ms() -> u64 {
    600_000
}

/// Wire form of [`crate::document::Blackout`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBlackout {
    /// Day of the week in UTC: `mon` to `sun`.
    pub weekday: String,
    /// First hour, from 0 to 23, UTC.
    pub from_hour: u8,
    /// Hour at which steps may start again, from 1 to 24, UTC.
    pub to_hour: u8,
}
