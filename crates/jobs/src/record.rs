//! Records of jobs as they lie in the store.
//!
//! | key | written by | holds |
//! |---|---|---|
//! | `cassiafold/in/j/JOB` | the entry instance that accepted the job | the job; never changed |
//! | `cassiafold/in/c/JOB` | the entry instance that took the cancel | nothing |
//! | `cassiafold/state/JOB` | the owner | how far the job is |
//! | `cassiafold/owner` | the owner, under its lease | name of its instance |
//! | `cassiafold/sequence` | the owner | number of its last write, so that none is applied late |
//! | `cassiafold/sequence/CHAIN` | the owner | the same for each further chain of writes |
//! | `cassiafold/workers/SHARD` | the owner | workers that were given tasks, in parts |
//! | `cassiafold/waves` | the owner | machines whose maintenance has begun, by wave |
//! | `cassiafold/ordered` | the owner | machines that were ordered lately, with who ordered them |
//! | `cassiafold/waiting` | the owner | jobs that wait, by queue |

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId, TeamId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::cluster::{QueueId, WaveNumber, WorkerEntry, WorkerId};
use crate::spec::{
    JobId, JobSpec, OccurrenceNumber, Resources, RunNumber, Schedule, StepNumber, StepSpec,
    TaskNumber,
};

/// Number of a chain of the owner's writes. Those of one chain follow one another.
pub type ChainNumber = usize;

/// Chains of writes.
pub const WRITE_CHAINS: usize = 6;
/// The chain that also carries what is not a state of a job.
pub const FIRST_WRITE_CHAIN: ChainNumber = 0;

/// Start of the keys of accepted jobs and of their cancels.
pub const INBOX_PREFIX: &str = "cassiafold/in/";
/// Start of the keys of accepted jobs.
pub const JOB_PREFIX: &str = "cassiafold/in/j/";
/// Start of the keys of cancels.
pub const CANCEL_PREFIX: &str = "cassiafold/in/c/";
/// Start of the keys of states.
pub const STATE_PREFIX: &str = "cassiafold/state/";
/// Key of the owner.
pub const OWNER_KEY: &str = "cassiafold/owner";
/// Key of the number of the last write in the owner's first chain of writes.
pub const SEQUENCE_KEY: &str = "cassiafold/sequence";
/// Start of the keys of the workers that were given tasks.
pub const WORKERS_PREFIX: &str = "cassiafold/workers/";
/// Key of the machines whose maintenance has begun.
pub const WAVES_KEY: &str = "cassiafold/waves";
/// Key of the machines that were ordered lately.
pub const COMMANDED_MACHINES_KEY: &str = "cassiafold/ordered";
/// Key of the jobs that wait.
pub const WAITING_KEY: &str = "cassiafold/waiting";

/// Number of a part of the workers: few enough to be read at once, and many enough for a part to
/// be written each time that a worker comes or goes.
pub type WorkerShard = u8;

/// Parts into which the workers are divided.
const WORKER_SHARDS: WorkerShard = 64;

/// The part to which a worker belongs.
pub fn worker_shard(worker: &str) -> WorkerShard {
    blake3::hash(worker.as_bytes()).as_bytes()[0] % WORKER_SHARDS
}

/// Key of a part of the workers.
pub fn workers_key(shard: WorkerShard) -> Arc<str> {
    format!("{WORKERS_PREFIX}{shard:02}").into()
}

/// Key of an accepted job.
pub fn job_key(id: JobId) -> Arc<str> {
    format!("{JOB_PREFIX}{id:016x}").into()
}

/// Key of a job's cancel.
pub fn cancel_key(id: JobId) -> Arc<str> {
    format!("{CANCEL_PREFIX}{id:016x}").into()
}

/// Key of the number of a chain's last write.
pub fn sequence_key(chain: ChainNumber) -> Arc<str> {
    match chain {
        FIRST_WRITE_CHAIN => SEQUENCE_KEY.into(),
        _ => format!("{SEQUENCE_KEY}/{chain}").into(),
    }
}

/// Key of a job's state.
pub fn state_key(id: JobId) -> Arc<str> {
    format!("{STATE_PREFIX}{id:016x}").into()
}

/// The job whose key starts with `prefix`; `None` for another key.
pub fn parse_job_key(key: &str, prefix: &str) -> Option<JobId> {
    JobId::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
}

/// Why a record cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("malformed record: {0}")]
pub struct RecordError(#[from] serde_json::Error);

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRecord {
    /// Queue to which it was submitted.
    pub queue: QueueId,
    /// Service of the queue at that time.
    pub service: ServiceId,
    /// Team of the caller, where the queue asks for a key.
    pub team: Option<TeamId>,
    /// The job.
    pub spec: JobSpec,
}

/// What a job has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// How far a job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRecord {
    /// State of the job.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Team of the job.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// Repetitions that have ended.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<OccurrenceNumber>,
    /// Tasks with a history, by repetition and step.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRecord>,
}

/// What is known of one task that has run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The repetition.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub occurrence: OccurrenceNumber,
    /// The step.
    #[serde(rename = "s", default)]
    pub step: StepNumber,
    /// The task.
    #[serde(rename = "i", default)]
    pub index: TaskNumber,
    /// Whether it is done.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Number of the last run.
    #[serde(rename = "r", default)]
    pub last_run: RunNumber,
    /// Runs that failed.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<RunNumber>,
    /// Last checkpoint.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Jobs that wait, by queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRecord {
    /// Number of accepted jobs of which no task has started.
    pub jobs: BTreeMap<QueueId, u32>,
    /// Unix time of the count in milliseconds.
    #[serde(default)]
    pub counted_unix_ms: u64,
}

/// How far each wave of maintenance is.
pub type WavesRecord = BTreeMap<WaveNumber, WaveRecord>;

/// How far a wave of maintenance is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Unix time at which an owner first saw the wave, in milliseconds.
    pub since_unix_ms: u64,
    /// Machines whose maintenance has begun.
    pub begun: Vec<InstanceId>,
}

/// Machines that were ordered lately, with the instance that ordered them.
pub type CommandedMachinesRecord = BTreeMap<InstanceId, Arc<str>>;

/// A worker that was given tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker.
    pub id: WorkerId,
    /// Its service.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
}

impl From<&WorkerEntry> for WorkerRecord {
    fn from(entry: &WorkerEntry) -> Self {
        Self {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
        }
    }
}

/// The job record's form in the store.
#[derive(Debug, Serialize, Deserialize)]
struct WireJob {
    q: QueueId,
    s: ServiceId,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    t: Option<TeamId>,
    x: Arc<str>,
    st: Vec<WireStep>,
    /// First time, interval, both in milliseconds, and number of repetitions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    at: Option<(u64, u64, u32)>,
}

/// A step's form in the store.
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
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl From<&StepSpec> for WireStep {
    fn from(step: &StepSpec) -> Self {
        Self {
            n: step.tasks,
            cpu_milli: step.task_resources.processors_milli,
            mem_bytes: step.task_resources.memory_bytes,
            acc: step.task_resources.accelerators,
            est_ms: millis(step.estimate),
            after: step.after.clone(),
            checkpoints: step.checkpoints,
            gang: step.gang,
            same_rack: step.same_rack,
            label: step.label.clone(),
            data_rack: step.data_rack.clone(),
            per_worker_max: step.per_worker_max,
            speculative: step.speculative,
            long_running: step.long_running,
            tail_ms: step.tail_target.map(millis),
            opportunistic: step.opportunistic,
            unavailable_max: step.unavailable_max,
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
        }
    }
}

impl JobRecord {
    /// The record as bytes.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let at = self.spec.schedule.map(|schedule| {
            (millis(schedule.first_unix), millis(schedule.interval), schedule.occurrences)
        });
        let wire = WireJob {
            q: self.queue.clone(),
            s: self.service.clone(),
            t: self.team.clone(),
            x: self.spec.payload.clone(),
            st: self.spec.steps.iter().map(WireStep::from).collect(),
            at,
        };
        Ok(serde_json::to_vec(&wire)?)
    }
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
        Ok(Self { queue: wire.q, service: wire.s, team: wire.t, spec })
    }
}

impl StateRecord {
    /// Whether some task has surely begun. One that was only about to be started has not.
    pub fn has_started_task(&self) -> bool {
        let has_run = |task: &TaskRecord| {
            task.done || !task.failed_runs.is_empty() || task.checkpoint.is_some()
        };
        self.state.is_final() || !self.ended.is_empty() || self.tasks.iter().any(has_run)
    }

    /// The record as bytes.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        Ok(serde_json::to_vec(self)?)
    }
}

impl TryFrom<&[u8]> for StateRecord {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
