//! Bodies of requests and answers of the operators' interface.

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{InstanceId, PoolId, TeamId, Version, ZoneId};
use serde::{Deserialize, Serialize};

use crate::history::HistoryRecord;
use crate::source::{EntryStatus, PoolStatus, Selection, Status, WaveStatus};

/// Header that names the operator for the history.
pub const OPERATOR_HEADER: &str = "cassiafold-operator";
/// Header with the write id of a patch.
pub const WRITE_ID_HEADER: &str = "idempotency-key";
/// Header that says where a configuration was read.
pub const SOURCE_HEADER: &str = "cassiafold-source";

/// An entry instance that has not confirmed a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unconfirmed {
    /// The entry instance.
    pub instance_id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version that it was last known to have in force.
    pub version: Version,
}

impl From<&EntryStatus> for Unconfirmed {
    fn from(entry: &EntryStatus) -> Self {
        let (instance_id, zone) = (entry.instance_id.clone(), entry.zone.clone());
        Self { instance_id, zone, version: entry.version }
    }
}

/// Answer to an accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// Version that holds the change.
    pub version: Version,
    /// Whether the configuration was as wanted before.
    pub unchanged: bool,
    /// Whether an earlier request with the same write id had made the change.
    pub repeated: bool,
    /// Entry instances that are not known to have this version in force.
    pub unconfirmed: Vec<Unconfirmed>,
}

/// Answer to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Version in force at the entry instance that answers.
    pub version: Version,
    /// Highest version that any entry instance is known to have in force.
    pub newest_version: Version,
    /// Entry instances that are not known to have the newest version in force.
    pub unconfirmed: Vec<Unconfirmed>,
    /// State of the entry instances.
    #[serde(flatten)]
    pub status: Status,
}

/// Answer to `GET /config/history`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// Changes, newest first.
    pub versions: Vec<HistoryRecord>,
}

/// Body of `POST /keys`. The key itself stays with the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyBody {
    /// Team of the key.
    pub team: TeamId,
    /// Hash of the key, in hexadecimal.
    pub key_hash: String,
}

/// Query of `DELETE /keys`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyQuery {
    /// Team of the keys.
    pub team: TeamId,
    /// Hash of one key, in hexadecimal; all keys of the team when left out.
    pub key_hash: Option<String>,
}

/// Body of `POST /pools/{pool}/move`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveBody {
    /// Pool that takes the instances.
    pub to: PoolId,
    /// Which instances, or how many.
    pub selection: Selection,
}

/// Answer to `GET /pools`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolsAnswer {
    /// Pools in order of id.
    pub pools: Vec<PoolStatus>,
}

/// Answer to `GET /waves`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WavesAnswer {
    /// Waves in order of id.
    pub waves: Vec<WaveStatus>,
}

/// Answer to `GET /report`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// The page, in HTML.
    pub page: String,
}

/// Answer to `GET /config`.
pub type ConfigAnswer = RawConfig;
