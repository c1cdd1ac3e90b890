//! Serialized form of the fleet document: versioned JSON that groups instances by pool to save
//! space.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_config::{InstanceId, PoolId};
use cassiafold_platform::Document;
use serde::{Deserialize, Serialize};

use crate::document::{Failure, FleetDocument, Phase, Placement, Step, StepKind, Symptom};

/// Format version that this program reads and writes.
pub const FORMAT: u32 = 1;

/// Serialized form of [`FleetDocument`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDocument {
    /// Format version of this document.
    pub format: u32,
    /// Sequence number of this document.
    pub number: u64,
    /// Instances by pool.
    pub pools: BTreeMap<Arc<str>, RawMembers>,
    /// Home pool of each instance that is in another pool.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub homes: BTreeMap<Arc<str>, Arc<str>>,
    /// Since when each unlisted instance has been missing, in seconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub vanished_unix_s: BTreeMap<Arc<str>, u64>,
    /// Earliest start of the next step, in seconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub not_before_unix_s: BTreeMap<Arc<str>, u64>,
    /// Current failures.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failures: BTreeMap<Arc<str>, RawFailure>,
    /// Current steps.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub steps: BTreeMap<Arc<str>, RawStep>,
}

/// Members of a pool.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawMembers {
    /// Instance ids.
    pub ids: Vec<Arc<str>>,
    /// End of the last maintenance of each id, in seconds since the Unix epoch; zero for none.
    pub maintained_unix_s: Vec<u64>,
}

/// Serialized form of [`Failure`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawFailure {
    /// When the failure was first observed, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// Observed symptom.
    pub symptom: Symptom,
    /// Number of unsuccessful repairs.
    pub attempts: u32,
    /// Earliest start of the next repair, in milliseconds since the Unix epoch.
    pub retry_at_unix_ms: u64,
}

/// Serialized form of [`Step`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawStep {
    /// Purpose of the step.
    pub kind: RawStepKind,
    /// Current phase.
    pub phase: Phase,
    /// Number of the document in which the step started.
    pub number: u64,
    /// Start of the step, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Start of the current phase, in milliseconds since the Unix epoch.
    pub phase_started_unix_ms: u64,
}

/// Serialized form of [`StepKind`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RawStepKind {
    /// Maintenance as part of a wave.
    Maintain {
        /// The wave.
        wave: Arc<str>,
    },
    /// Repair of a failed instance.
    Repair,
    /// Move to another pool.
    Move {
        /// The pool to which the instance moves.
        to: Arc<str>,
        /// Whether `to` also becomes the home pool.
        #[serde(rename = "settle")]
        permanent: bool,
    },
}

/// Error in a stored fleet document.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FleetDocumentError {
    /// The format version is not supported.
    #[error("unknown format {0} of the fleet document")]
    UnknownFormat(u32),
    /// An instance is listed in two pools.
    #[error("instance {0} stands in two pools")]
    DuplicateInstance(InstanceId),
    /// The lists of a pool differ in length.
    #[error("pool {0} has lists of different lengths")]
    LengthMismatch(PoolId),
    /// An entry names an instance that is in no pool.
    #[error("instance {0} stands in no pool")]
    UnplacedInstance(InstanceId),
}

/// Milliseconds since the Unix epoch; zero for earlier times.
pub fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Seconds since the Unix epoch; zero for earlier times.
pub fn unix_s(time: SystemTime) -> u64 {
    unix_ms(time) / 1_000
}

pub(crate) fn from_unix_ms(unix_ms: u64) -> SystemTime {
    UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms)).unwrap_or(UNIX_EPOCH)
}

fn from_unix_s(unix_s: u64) -> SystemTime {
    from_unix_ms(unix_s.saturating_mul(1_000))
}

impl Document for FleetDocument {
    type Wire = RawDocument;
}

impl From<FleetDocument> for RawDocument {
    fn from(document: FleetDocument) -> Self {
        Self::from(&document)
    }
}

impl TryFrom<RawDocument> for FleetDocument {
    type Error = FleetDocumentError;

    fn try_from(raw: RawDocument) -> Result<Self, FleetDocumentError> {
        if raw.format != FORMAT {
            return Err(FleetDocumentError::UnknownFormat(raw.format));
        }
        let mut placements = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for (pool, members) in raw.pools {
            if members.ids.len() != members.maintained_unix_s.len() {
                return Err(FleetDocumentError::LengthMismatch(pool));
            }
            for (id, maintained) in members.ids.into_iter().zip(members.maintained_unix_s) {
                if !seen.insert(id.clone()) {
                    return Err(FleetDocumentError::DuplicateInstance(id));
                }
                let mut placement = Placement::new(pool.clone());
                placement.maintained_at = (maintained > 0).then(|| from_unix_s(maintained));
                placements.insert(id, placement);
            }
        }
        let mut document = Self { number: raw.number, placements };
        document.merge_entries(raw.homes, |placement, home| placement.home = home)?;
        document.merge_entries(raw.vanished_unix_s, |placement, time| {
            placement.missing_since = Some(from_unix_s(time));
        })?;
        document.merge_entries(raw.not_before_unix_s, |placement, time| {
            placement.not_before = Some(from_unix_s(time));
        })?;
        document
            .merge_entries(raw.failures, |placement, raw| placement.failure = Some(raw.into()))?;
        document.merge_entries(raw.steps, |placement, raw| placement.step = Some(raw.into()))?;
        Ok(document)
    }
}

impl FleetDocument {
    /// Sets one property of each placement that `entries` names.
    fn merge_entries<T>(
        &mut self,
        entries: BTreeMap<InstanceId, T>,
        set: impl Fn(&mut Placement, T),
    ) -> Result<(), FleetDocumentError> {
        for (id, entry) in entries {
            let Some(placement) = self.placements.get_mut(&id) else {
                return Err(FleetDocumentError::UnplacedInstance(id));
            };
            set(placement, entry);
        }
        Ok(())
    }
}

impl From<&FleetDocument> for RawDocument {
    fn from(document: &FleetDocument) -> Self {
        let mut raw = Self {
            format: FORMAT,
            number: document.number,
            pools: BTreeMap::new(),
            homes: BTreeMap::new(),
            vanished_unix_s: BTreeMap::new(),
            not_before_unix_s: BTreeMap::new(),
            failures: BTreeMap::new(),
            steps: BTreeMap::new(),
        };
        for (id, placement) in &document.placements {
            raw.add_instance(id, placement);
        }
        raw
    }
}

impl RawDocument {
    fn add_instance(&mut self, id: &InstanceId, placement: &Placement) {
        let members = self.pools.entry(placement.pool.clone()).or_default();
        members.ids.push(id.clone());
        members.maintained_unix_s.push(placement.maintained_at.map_or(0, unix_s));
        if placement.home != placement.pool {
            self.homes.insert(id.clone(), placement.home.clone());
        }
        if let Some(time) = placement.missing_since {
            self.vanished_unix_s.insert(id.clone(), unix_s(time));
        }
        if let Some(time) = placement.not_before {
            self.not_before_unix_s.insert(id.clone(), unix_s(time));
        }
        if let Some(failure) = &placement.failure {
            self.failures.insert(id.clone(), failure.into());
        }
        if let Some(step) = &placement.step {
            self.steps.insert(id.clone(), step.into());
        }
    }
}

impl From<RawFailure> for Failure {
    fn from(raw: RawFailure) -> Self {
        Self {
            since: from_unix_ms(raw.since_unix_ms),
            symptom: raw.symptom,
            attempts: raw.attempts,
            retry_at: from_unix_ms(raw.retry_at_unix_ms),
        }
    }
}

impl From<&Failure> for RawFailure {
    fn from(failure: &Failure) -> Self {
        Self {
            since_unix_ms: unix_ms(failure.since),
            symptom: failure.symptom,
            attempts: failure.attempts,
            retry_at_unix_ms: unix_ms(failure.retry_at),
        }
    }
}

impl From<RawStep> for Step {
    fn from(raw: RawStep) -> Self {
        let kind = match raw.kind {
            RawStepKind::Maintain { wave } => StepKind::Maintain { wave },
            RawStepKind::Repair => StepKind::Repair,
            RawStepKind::Move { to, permanent } => StepKind::Move { to, permanent },
        };
        Self {
            kind,
            phase: raw.phase,
            document_number: raw.number,
            started: from_unix_ms(raw.started_unix_ms),
            phase_started: from_unix_ms(raw.phase_started_unix_ms),
        }
    }
}

impl From<&Step> for RawStep {
    fn from(step: &Step) -> Self {
        let kind = match step.kind.clone() {
            StepKind::Maintain { wave } => RawStepKind::Maintain { wave },
            StepKind::Repair => RawStepKind::Repair,
            StepKind::Move { to, permanent } => RawStepKind::Move { to, permanent },
        };
        Self {
            kind,
            phase: step.phase,
            number: step.document_number,
            started_unix_ms: unix_ms(step.started),
            phase_started_unix_ms: unix_ms(step.phase_started),
        }
    }
}
