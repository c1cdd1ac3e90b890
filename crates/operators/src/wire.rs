//! Request and response bodies of the operators' interface.

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{InstanceId, PoolId, TeamId, Version, ZoneId};
use serde::{Deserialize, Serialize};

use crate::history::HistoryRecord;
use crate::source::{EntryStatus, PoolStatus, Selection, Status, WaveStatus};

/// Header with the operator's name, which the history records.
pub const OPERATOR_HEADER: &str = "cassiafold-operator";
/// Header with the write id of a patch.
pub const WRITE_ID_HEADER: &str = "idempotency-key";
/// Header that tells whether a configuration was read from the store or is the one in force at the
/// entry instance.
pub const SOURCE_HEADER: &str = "cassiafold-source";

/// An entry instance that has not confirmed a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unconfirmed {
    /// The entry instance.
    pub instance_id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Latest version that it is known to have in force.
    pub version: Version,
}

impl From<&EntryStatus> for Unconfirmed {
    fn from(entry: &EntryStatus) -> Self {
        let (instance_id, zone) = (entry.instance_id.clone(), entry.zone.clone());
        Self { instance_id, zone, version: entry.version }
    }
}

/// Response to an accepted configuration change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Version that contains the change.
    pub version: Version,
    /// Whether the configuration already had the requested state, so that no version was made.
    pub unchanged: bool,
    /// Whether an earlier request with the same write id made the change.
    pub repeated: bool,
    /// Entry instances that are not known to have this version in force.
    pub unconfirmed: Vec<Unconfirmed>,
}

/// Response to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Version in force at the entry instance that responds.
    pub version: Version,
    /// Highest version that any entry instance is known to have in force.
    pub newest_version: Version,
    /// Entry instances that are not known to have the newest version in force.
    pub unconfirmed: Vec<Unconfirmed>,
    /// State of the entry instances.
    #[serde(flatten)]
    pub status: Status,
}

/// Response to `GET /config/history`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// Changes, newest first.
    pub versions: Vec<HistoryRecord>,
}

/// Body of `POST /keys`. It contains only the hash of the key; the key itself is never sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyBody {
    /// Team of the key.
    pub team: TeamId,
    /// Hash of the key, in hexadecimal.
    pub key_hash: String,
}

/// Query parameters of `DELETE /keys`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyQuery {
    /// Team of the keys.
    pub team: TeamId,
    /// Hash of one key, in hexadecimal; all keys of the team when absent.
    pub key_hash: Option<String>,
}

/// Body of `POST /pools/{pool}/move`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveBody {
    /// Destination pool.
    pub to: PoolId,
    /// The instances to move, or their number.
    pub selection: Selection,
}

/// Response to `GET /pools`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolsResponse {
    /// Pools in order of id.
    pub pools: Vec<PoolStatus>,
}

/// Response to `GET /waves`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WavesResponse {
    /// Waves in order of id.
    pub waves: Vec<WaveStatus>,
}

/// Response to `GET /report`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// The report as an HTML page.
    pub page: String,
}

/// Response to `GET /config`.
pub type ConfigResponse = RawConfig;
