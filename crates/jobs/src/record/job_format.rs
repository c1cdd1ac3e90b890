//! Stored form of a job.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{ServiceId, TeamId};
use serde::{Deserialize, Serialize};

use super::{JobRecord, RecordError};
use crate::cluster::QueueId;
use crate::spec::{JobSpec, Resources, Schedule, StepNumber, StepSpec};

/// Stored form of a job record.
#[derive(Debug, Serialize, Deserialize)]
struct WireJob {
    q: QueueId,
    s: ServiceId,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    t: Option<TeamId>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    n: Option<u32>,
    x: Arc<str>,
    st: Vec<WireStep>,
    /// First due time and interval, both in milliseconds, and number of occurrences.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    at: Option<(u64, u64, u32)>,
}

/// Stored form of a step.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct WireStep {
    n: u32,
    #[serde(skip_serializing_if = "is_default")]
    cpu_milli: u32,
    #[serde(skip_serializing_if = "is_default")]
    mem_bytes: u64,
    #[serde(skip_serializing_if = "is_default")]
    acc: u32,
    #[serde(skip_serializing_if = "is_default")]
    est_ms: u64,
    #[serde(skip_serializing_if = "is_default")]
    after: Vec<StepNumber>,
    #[serde(skip_serializing_if = "is_default")]
    checkpoints: bool,
    #[serde(skip_serializing_if = "is_default")]
    gang: bool,
    #[serde(skip_serializing_if = "is_default")]
    same_rack: bool,
    #[serde(skip_serializing_if = "is_default")]
    label: Option<Arc<str>>,
    #[serde(skip_serializing_if = "is_default")]
    data_rack: Option<Arc<str>>,
    #[serde(skip_serializing_if = "is_default")]
    per_worker_max: Option<u32>,
    #[serde(skip_serializing_if = "is_default")]
    speculative: bool,
    #[serde(skip_serializing_if = "is_default")]
    long_running: bool,
    #[serde(skip_serializing_if = "is_default")]
    tail_ms: Option<u64>,
    #[serde(skip_serializing_if = "is_default")]
    opportunistic: bool,
    #[serde(skip_serializing_if = "is_default")]
    unavailable_max: Option<u32>,
    #[serde(skip_serializing_if = "is_default")]
    image: Option<Arc<str>>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl From<&StepSpec> for WireStep {
    fn from(step: &StepSpec) -> Self {
        Self {
            n: step.tasks,
            cpu_milli: step.task_resources.processors_milli,
            mem_bytes: step.task_resources.memory_bytes,
            acc: step.task_resources.accelerators,
            est_ms: as_ms(step.estimate),
            after: step.after.clone(),
            checkpoints: step.checkpoints,
            gang: step.gang,
            same_rack: step.same_rack,
            label: step.label.clone(),
            data_rack: step.data_rack.clone(),
            per_worker_max: step.per_worker_max,
            speculative: step.speculative,
            long_running: step.long_running,
            tail_ms: step.tail_target.map(as_ms),
            opportunistic: step.opportunistic,
            unavailable_max: step.unavailable_max,
            image: step.image.clone(),
        }
    }
}

impl From<WireStep> for StepSpec {
    fn from(wire: WireStep) -> Self {
        Self {
            tasks: wire.n,
            task_resources: Resources {
                processors_milli: wire.cpu_milli,
                memory_bytes: wire.mem_bytes,
                accelerators: wire.acc,
            },
            estimate: Duration::from_millis(wire.est_ms),
            after: wire.after,
            checkpoints: wire.checkpoints,
            gang: wire.gang,
            same_rack: wire.same_rack,
            label: wire.label,
            data_rack: wire.data_rack,
            per_worker_max: wire.per_worker_max,
            speculative: wire.speculative,
            long_running: wire.long_running,
            tail_target: wire.tail_ms.map(Duration::from_millis),
            opportunistic: wire.opportunistic,
            unavailable_max: wire.unavailable_max,
            image: wire.image,
        }
    }
}

impl JobRecord {
    /// Encodes the record as JSON.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let at = self.spec.schedule.map(|schedule| {
            (as_ms(schedule.first_unix), as_ms(schedule.interval), schedule.occurrences)
        });
        let wire = WireJob {
            q: self.queue.clone(),
            s: self.service.clone(),
            t: self.team.clone(),
            n: self.attempts_max,
            x: self.spec.payload.clone(),
            st: self.spec.steps.iter().map(WireStep::from).collect(),
            at,
        };
        Ok(serde_json::to_vec(&wire)?)
    }
}

/// The team of a stored job alone.
#[derive(Debug, Deserialize)]
struct WireJobTeam {
    #[serde(default)]
    t: Option<TeamId>,
}

/// Team that submitted the job of a record. `None` if there is none, or the record can't be read.
///
/// The rest is not decoded: a job may have a thousand steps, and many callers may ask for it.
pub fn team_of_job(record: &[u8]) -> Option<TeamId> {
    serde_json::from_slice::<WireJobTeam>(record).ok().and_then(|job| job.t)
}

impl TryFrom<&[u8]> for JobRecord {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        let wire: WireJob = serde_json::from_slice(bytes)?;
        let schedule = wire.at.map(|(first_ms, interval_ms, occurrences)| Schedule {
            first_unix: Duration::from_millis(first_ms),
            interval: Duration::from_millis(interval_ms),
            occurrences,
        });
        let steps = wire.st.into_iter().map(StepSpec::from).collect();
        let spec = JobSpec { payload: wire.x, steps, schedule };
        Ok(Self { queue: wire.q, service: wire.s, team: wire.t, attempts_max: wire.n, spec })
    }
}
