//! The fleet document: the pool of each instance and every step in progress.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use cassiafold_config::{InstanceId, PoolId, WaveId};

/// Key of the fleet document in the key-value service.
pub const DOCUMENT_KEY: &str = "cassiafold/fleet/document";

/// Sequence number of a fleet document; each write increments it by one.
pub type DocumentNumber = u64;

/// Idempotency key of a reboot request: the platform carries out repeated requests once.
pub type RequestId = Arc<str>;

/// The pool of each instance and every step in progress.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetDocument {
    /// Sequence number of this document.
    pub number: DocumentNumber,
    /// Placement of each instance. An instance belongs to exactly one pool.
    pub placements: BTreeMap<InstanceId, Placement>,
}

/// Pool and state of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Current pool of the instance.
    pub pool: PoolId,
    /// Home pool, to which the instance returns when demand no longer needs it elsewhere.
    pub home: PoolId,
    /// When the last maintenance ended.
    pub maintained_at: Option<SystemTime>,
    /// Since when the platform no longer lists the instance.
    pub missing_since: Option<SystemTime>,
    /// Earliest start of the next step after a drain timed out.
    pub not_before: Option<SystemTime>,
    /// Current failure.
    pub failure: Option<Failure>,
    /// Current step.
    pub step: Option<Step>,
}

/// Current failure of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// When the failure was first observed.
    pub since: SystemTime,
    /// Observed symptom.
    pub symptom: Symptom,
    /// Number of unsuccessful repairs.
    pub attempts: u32,
    /// Earliest start of the next repair.
    pub retry_at: SystemTime,
}

/// Symptom of a failing instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Symptom {
    /// The instance refuses connections or cannot be reached.
    Unreachable,
    /// The instance accepts requests but does not respond.
    Hanging,
    /// The instance fails every request that it starts.
    FailingAll,
    /// No trial request succeeded after a reboot.
    NotReturned,
}

/// A step in progress on one instance. The instance gets no new work until the step ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Purpose of the step.
    pub kind: StepKind,
    /// Current phase.
    pub phase: Phase,
    /// Number of the document in which the step started. A drain completes only after every entry
    /// instance has confirmed this number.
    pub document_number: DocumentNumber,
    /// Start of the step.
    pub started: SystemTime,
    /// Start of the current phase.
    pub phase_started: SystemTime,
}

impl Step {
    /// Idempotency key of the step's reboot; the same for every controller that sends it.
    pub fn request_id(&self, instance: &InstanceId) -> RequestId {
        format!("{instance}/{}", self.document_number).into()
    }
}

/// Purpose of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepKind {
    /// Maintenance as part of a wave.
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
        /// Whether `to` also becomes the home pool of the instance.
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
    /// Waiting until no request runs on the instance.
    Draining,
    /// The reboot is decided; the request to the platform may not have been sent yet.
    Rebooting,
    /// Rebooted; waiting for a trial request to succeed.
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
    /// Placement of a new instance at home in `pool`.
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

    /// Whether the document allows new work on the instance.
    pub fn takes_work(&self) -> bool {
        self.step.is_none() && self.missing_since.is_none()
    }
}

#[cfg(test)]
mod tests;
