//! JSON form of a shard as stored in the key-value service.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::record::{Claim, Outcome, Resources, Task, TaskState};
use crate::shard::Shard;

/// Format version that this release writes.
pub const FORMAT: u32 = 1;

/// Stored form of [`Shard`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireShard {
    /// Format version.
    pub format: u32,
    /// The tasks.
    pub tasks: Vec<WireTask>,
}

/// Stored form of [`Task`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireTask {
    id: Arc<str>,
    team: Arc<str>,
    kind: Arc<str>,
    #[serde(default, skip_serializing_if = "is_false")]
    idempotent: bool,
    #[serde(default, skip_serializing_if = "is_false")]
    urgent: bool,
    processors_milli: u32,
    memory_bytes: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    accelerators: u32,
    run_time_ms: u64,
    #[serde(default, skip_serializing_if = "is_false")]
    cancel_requested: bool,
    submission: Arc<str>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    last_ended_claim: Option<Arc<str>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    failed_on: Vec<Arc<str>>,
    state: WireState,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum WireState {
    Waiting { not_before_unix_ms: u64 },
    Claimed { claim: Arc<str>, worker: Arc<str>, start_before_unix_ms: u64 },
    Finished { outcome: WireOutcome, at_unix_ms: u64 },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum WireOutcome {
    Succeeded {
        #[serde(rename = "answer")]
        output: Arc<str>,
    },
    Failed {
        reason: Arc<str>,
    },
    Unknown,
    Cancelled,
    #[serde(rename = "hopeless")]
    Unschedulable,
}

/// Reason why a stored shard was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The format version is unknown to this release.
    #[error("unknown format version {0}")]
    UnknownFormat(u32),
    /// Two tasks have the same team and id.
    #[error("task {id} of team {team} appears twice")]
    DuplicateTask {
        /// Team of the task.
        team: Arc<str>,
        /// Identifier of the task.
        id: Arc<str>,
    },
    /// The document does not match the schema.
    #[error("malformed shard: {0}")]
    Malformed(String),
    /// A time exceeds the range of [`SystemTime`].
    #[error("time out of range")]
    TimeOutOfRange,
}

impl WireShard {
    /// Parses a stored value.
    pub fn parse(bytes: &[u8]) -> Result<Self, WireError> {
        serde_json::from_slice(bytes).map_err(|error| WireError::Malformed(error.to_string()))
    }
}

impl From<&Shard> for WireShard {
    fn from(shard: &Shard) -> Self {
        Self { format: FORMAT, tasks: shard.tasks.values().map(WireTask::from).collect() }
    }
}

impl TryFrom<WireShard> for Shard {
    type Error = WireError;

    fn try_from(wire: WireShard) -> Result<Self, WireError> {
        if wire.format != FORMAT {
            return Err(WireError::UnknownFormat(wire.format));
        }
        let mut shard = Self::default();
        for task in wire.tasks {
            let task = Task::try_from(task)?;
            let key = (task.team.clone(), task.id.clone());
            if let Some(task) = shard.tasks.insert(key, task) {
                return Err(WireError::DuplicateTask { team: task.team, id: task.id });
            }
        }
        Ok(shard)
    }
}

impl From<&Task> for WireTask {
    fn from(task: &Task) -> Self {
        Self {
            id: task.id.clone(),
            team: task.team.clone(),
            kind: task.kind.clone(),
            idempotent: task.idempotent,
            urgent: task.urgent,
            processors_milli: task.declared.processors_milli,
            memory_bytes: task.declared.memory_bytes,
            accelerators: task.declared.accelerators,
            run_time_ms: task.declared_run_time.as_millis() as u64,
            cancel_requested: task.cancel_requested,
            submission: task.submission.clone(),
            last_ended_claim: task.last_ended_claim.clone(),
            failed_on: task.failed_on.clone(),
            state: WireState::from(&task.state),
        }
    }
}

impl TryFrom<WireTask> for Task {
    type Error = WireError;

    fn try_from(wire: WireTask) -> Result<Self, WireError> {
        Ok(Self {
            id: wire.id,
            team: wire.team,
            kind: wire.kind,
            idempotent: wire.idempotent,
            urgent: wire.urgent,
            declared: Resources {
                processors_milli: wire.processors_milli,
                memory_bytes: wire.memory_bytes,
                accelerators: wire.accelerators,
            },
            declared_run_time: Duration::from_millis(wire.run_time_ms),
            cancel_requested: wire.cancel_requested,
            submission: wire.submission,
            last_ended_claim: wire.last_ended_claim,
            failed_on: wire.failed_on,
            state: TaskState::try_from(wire.state)?,
        })
    }
}

impl From<&TaskState> for WireState {
    fn from(state: &TaskState) -> Self {
        match state {
            TaskState::Waiting { not_before } => {
                Self::Waiting { not_before_unix_ms: unix_ms(*not_before) }
            }
            TaskState::Claimed(claim) => Self::Claimed {
                claim: claim.id.clone(),
                worker: claim.worker.clone(),
                start_before_unix_ms: unix_ms(claim.start_before),
            },
            TaskState::Finished { outcome, at } => {
                Self::Finished { outcome: WireOutcome::from(outcome), at_unix_ms: unix_ms(*at) }
            }
        }
    }
}

impl TryFrom<WireState> for TaskState {
    type Error = WireError;

    fn try_from(wire: WireState) -> Result<Self, WireError> {
        Ok(match wire {
            WireState::Waiting { not_before_unix_ms } => {
                Self::Waiting { not_before: time(not_before_unix_ms)? }
            }
            WireState::Claimed { claim, worker, start_before_unix_ms } => Self::Claimed(Claim {
                id: claim,
                worker,
                start_before: time(start_before_unix_ms)?,
            }),
            WireState::Finished { outcome, at_unix_ms } => {
                Self::Finished { outcome: outcome.into(), at: time(at_unix_ms)? }
            }
        })
    }
}

impl From<&Outcome> for WireOutcome {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Succeeded { output } => Self::Succeeded { output: output.clone() },
            Outcome::Failed { reason } => Self::Failed { reason: reason.clone() },
            Outcome::Unknown => Self::Unknown,
            Outcome::Cancelled => Self::Cancelled,
            Outcome::Unschedulable => Self::Unschedulable,
        }
    }
}

impl From<WireOutcome> for Outcome {
    fn from(wire: WireOutcome) -> Self {
        match wire {
            WireOutcome::Succeeded { output } => Self::Succeeded { output },
            WireOutcome::Failed { reason } => Self::Failed { reason },
            WireOutcome::Unknown => Self::Unknown,
            WireOutcome::Cancelled => Self::Cancelled,
            WireOutcome::Unschedulable => Self::Unschedulable,
        }
    }
}

fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn time(unix_ms: u64) -> Result<SystemTime, WireError> {
    UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms)).ok_or(WireError::TimeOutOfRange)
}

fn is_false(value: &bool) -> bool {
    !*value
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

#[cfg(test)]
mod tests;
