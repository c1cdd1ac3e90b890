//! The fleet document: each instance's pool and every step in progress.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use cassiafold_config::{InstanceId, PoolId, WaveId};

/// Key of the fleet document in the key-value service.
pub const DOCUMENT_KEY: &str = "cassiafold/fleet/document";

/// Number of a fleet document; each write raises it by one.
pub type DocumentNumber = u64;

/// Identifies a request to the platform; a repeat finds the first.
pub type RequestId = Arc<str>;

/// Each instance's pool and every step in progress.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetDocument {
    /// Number of this document.
    pub number: DocumentNumber,
    /// Place of each instance. The map gives each instance exactly one pool.
    pub placements: BTreeMap<InstanceId, Placement>,
}

/// Place and state of one instance in the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Pool to which the instance belongs.
    pub pool: PoolId,
    /// Pool to which it returns when demand no longer needs it elsewhere.
    pub home: PoolId,
    /// When the last maintenance ended.
    pub maintained_at: Option<SystemTime>,
    /// Since when the platform's list no longer shows the instance.
    pub missing_since: Option<SystemTime>,
    /// Earliest start of the next maintenance step after one was given up.
    pub not_before: Option<SystemTime>,
    /// Failure that has not ended.
    pub failure: Option<Failure>,
    /// Step in progress.
    pub step: Option<Step>,
}

/// A failure of an instance that has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// When it was first seen.
    pub since: SystemTime,
    /// What was seen.
    pub symptom: Symptom,
    /// Repairs that were tried and did not help.
    pub attempts: u32,
    /// Earliest start of the next repair.
    pub retry_at: SystemTime,
}

/// How an instance fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Symptom {
    /// It refuses connections or cannot be reached.
    Unreachable,
    /// It takes requests and does not answer.
    Hanging,
    /// It fails every request that it starts.
    FailingAll,
    /// It did not pass the trial request after a reboot.
    NotReturned,
}

/// A step in progress on one instance. The instance takes no new work until the step has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// What the step is for.
    pub kind: StepKind,
    /// How far it is.
    pub phase: Phase,
    /// Document number at which the step started; a drain ends only after every entry instance
    /// has acted on it.
    pub document_number: DocumentNumber,
    /// Start of the step.
    pub started: SystemTime,
    /// Start of the phase.
    pub phase_started: SystemTime,
}

impl Step {
    /// Request id of the step's reboot, the same whoever sends it.
    pub fn request_id(&self, instance: &InstanceId) -> RequestId {
        format!("{instance}/{}", self.document_number).into()
    }
}

/// Purpose of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepKind {
    /// Maintenance within a wave.
    Maintain {
        /// The wave.
        wave: WaveId,
    },
    /// Repair of a failed instance.
    Repair,
    /// Move to another pool.
    Move {
        /// The pool to which the instance moves.
        to: PoolId,
        /// Whether the move makes `to` the instance's home.
        permanent: bool,
    },
}

impl fmt::Display for StepKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Maintain { wave } => write!(f, "maintenance in wave {wave}"),
            Self::Repair => f.write_str("repair"),
            Self::Move { to, permanent: true } => write!(f, "move to {to} for good"),
            Self::Move { to, permanent: false } => write!(f, "move to {to} while it is needed"),
        }
    }
}

/// Phase of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waits until nothing runs on the instance.
    Draining,
    /// The reboot is decided; the platform may or may not have been asked.
    Rebooting,
    /// Rebooted; waits for a trial request to succeed.
    Trying,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Draining => "draining",
            Self::Rebooting => "rebooting",
            Self::Trying => "waiting for a trial request",
        })
    }
}

impl Placement {
    /// Place of an instance that has just been adopted.
    pub fn new(pool: PoolId) -> Self {
        Self {
            home: pool.clone(),
            pool,
            maintained_at: None,
            missing_since: None,
            not_before: None,
            failure: None,
            step: None,
        }
    }

    /// Whether the instance may be given new work as far as the document says.
    pub fn takes_work(&self) -> bool {
        self.step.is_none() && self.missing_since.is_none()
    }
}

#[cfg(test)]
mod tests;
