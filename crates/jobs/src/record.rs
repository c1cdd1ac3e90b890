//! Records of jobs in the store, and their keys.
//!
//! | key | written by | holds |
//! |---|---|---|
//! | `cassiafold/in/j/JOB` | the entry instance that accepted the job | the job; never changed, and deleted some seconds after the job has ended |
//! | `cassiafold/in/c/JOB` | the entry instance that accepted the cancellation | nothing |
//! | `cassiafold/state/JOB` | the owner | state of the job |
//! | `cassiafold/owner` | the owner, under its lease | name of its instance |
//! | `cassiafold/sequence` | the owner | number of its last write, so that no late write is applied |
//! | `cassiafold/sequence/CHAIN` | the owner | the same for each further write chain |
//! | `cassiafold/workers/SHARD` | the owner | workers that were given tasks, by shard |
//! | `cassiafold/waves` | the owner | machines whose maintenance has started, by wave |
//! | `cassiafold/ordered` | the owner | machines that were sent a command recently, the instance that sent it, and the wave |
//! | `cassiafold/unfinished-loads` | the owner | number of owners in a row that did not finish reading the state |
//! | `cassiafold/waiting` | the owner | number of waiting jobs, by queue |
//! | `cassiafold/full` | the owner | nothing; there while no further jobs are accepted |

mod job_format;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cassiafold_config::{InstanceId, ServiceId, TeamId, ZoneId};
use serde::{Deserialize, Serialize};

pub use self::job_format::team_of_job;
use crate::cluster::{QueueId, WaveNumber, WorkerId};
use crate::spec::{JobId, JobSpec, OccurrenceNumber, Resources, RunNumber, StepNumber, TaskNumber};

/// Number of a write chain of the owner: a sequence of writes, each conditional on the one before.
pub type ChainNumber = usize;

/// Number of write chains.
pub const WRITE_CHAINS: usize = 6;
/// The write chain that also writes everything other than job states.
pub const FIRST_WRITE_CHAIN: ChainNumber = 0;

/// Prefix of the keys of accepted jobs and of their cancellations.
pub const INBOX_PREFIX: &str = "cassiafold/in/";
/// Prefix of the keys of accepted jobs.
pub const JOB_PREFIX: &str = "cassiafold/in/j/";
/// Prefix of the keys of cancellations.
pub const CANCEL_PREFIX: &str = "cassiafold/in/c/";
/// Prefix of the keys of job states.
pub const STATE_PREFIX: &str = "cassiafold/state/";
/// Key that the owner holds.
pub const OWNER_KEY: &str = "cassiafold/owner";
/// Key of the sequence number of the last write in the owner's first write chain.
pub const SEQUENCE_KEY: &str = "cassiafold/sequence";
/// Prefix of the keys of the workers that were given tasks.
pub const WORKERS_PREFIX: &str = "cassiafold/workers/";
/// Key of the machines whose maintenance has started.
pub const WAVES_KEY: &str = "cassiafold/waves";
/// Key of the machines that were sent a command recently.
pub const COMMANDED_MACHINES_KEY: &str = "cassiafold/ordered";
/// Key of the number of owners in a row that did not finish reading the state.
pub const UNFINISHED_LOADS_KEY: &str = "cassiafold/unfinished-loads";
/// Key of the number of waiting jobs.
pub const WAITING_KEY: &str = "cassiafold/waiting";

/// Key that exists while no further jobs are accepted.
pub const JOBS_FULL_KEY: &str = "cassiafold/full";

/// Shard of the worker records. The shards are few enough to be read at once, and small enough for
/// one to be written each time that a worker is added or removed.
pub type WorkerShard = u8;

/// Number of shards of the worker records.
const WORKER_SHARDS: WorkerShard = 64;

/// Shard of a worker.
pub fn worker_shard(worker: &str) -> WorkerShard {
    blake3::hash(worker.as_bytes()).as_bytes()[0] % WORKER_SHARDS
}

/// Key of a shard of the worker records.
pub fn workers_key(shard: WorkerShard) -> Arc<str> {
    format!("{WORKERS_PREFIX}{shard:02}").into()
}

/// Key of an accepted job.
pub fn job_key(id: JobId) -> Arc<str> {
    format!("{JOB_PREFIX}{id:016x}").into()
}

/// Key of a job's cancellation.
pub fn cancel_key(id: JobId) -> Arc<str> {
    format!("{CANCEL_PREFIX}{id:016x}").into()
}

/// Key of the sequence number of a write chain's last write.
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

/// Job id of a key with `prefix`; `None` if the key has another form.
pub fn parse_job_key(key: &str, prefix: &str) -> Option<JobId> {
    JobId::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
}

/// Error of a record that can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("malformed record: {0}")]
pub struct RecordError(#[from] serde_json::Error);

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRecord {
    /// Queue to which it was submitted.
    pub queue: QueueId,
    /// Service of that queue at the time of submission.
    pub service: ServiceId,
    /// Team of the caller, if the queue requires an API key.
    pub team: Option<TeamId>,
    /// Failed runs of a task after which the job fails, as its queue had them at that time. `None`
    /// in records of earlier versions.
    pub attempts_max: Option<u32>,
    /// The job as submitted.
    pub spec: JobSpec,
}

/// State of a job.
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
    /// Whether a job in this state has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Stored state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRecord {
    /// State of the job.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Team of the job.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// Occurrences that have ended.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<OccurrenceNumber>,
    /// Tasks with a state to store, by occurrence and step.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRecord>,
}

/// Stored state of a task that has run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The occurrence.
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
    /// Number of its latest run.
    #[serde(rename = "r", default)]
    pub last_run: RunNumber,
    /// Runs that failed.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<RunNumber>,
    /// Runs under which the worker crashed soon after the start.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub crashed_soon: Vec<RunNumber>,
    /// Runs under which the worker crashed later.
    #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
    pub crashed_late: Vec<RunNumber>,
    /// Runs that are presumed to have crashed their worker.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes_presumed: Vec<RunNumber>,
    /// Run on a worker that was lost just after the start.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub unsettled_run: Option<RunNumber>,
    /// Last checkpoint.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Number of waiting jobs by queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRecord {
    /// Accepted jobs of which no task has started.
    pub jobs: BTreeMap<QueueId, u32>,
    /// Unix time of the count, in milliseconds.
    #[serde(default)]
    pub counted_unix_ms: u64,
}

/// Progress of each maintenance wave.
pub type WavesRecord = BTreeMap<WaveNumber, WaveRecord>;

/// Progress of a maintenance wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Unix time at which an owner first saw the wave, in milliseconds.
    pub since_unix_ms: u64,
    /// Machines whose maintenance has started.
    pub begun: Vec<InstanceId>,
}

/// Machines that were sent a command recently.
pub type CommandedMachinesRecord = BTreeMap<InstanceId, CommandedMachine>;

/// What an instance recorded before it sent a command to a machine.
///
/// The command may be executed after the instance has lost the ownership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum CommandedMachine {
    /// A move, or any command of an earlier version; the instance that sent it.
    Moved(Arc<str>),
    /// Maintenance, which takes the machine down.
    Maintained {
        /// The instance that sent it.
        instance: Arc<str>,
        /// The wave.
        wave: WaveNumber,
    },
}

impl CommandedMachine {
    /// A command of `instance`; for maintenance with the number of the wave.
    pub fn new(instance: Arc<str>, wave: Option<WaveNumber>) -> Self {
        match wave {
            Some(wave) => Self::Maintained { instance, wave },
            None => Self::Moved(instance),
        }
    }

    /// The instance that sent the command.
    pub fn instance(&self) -> &Arc<str> {
        match self {
            Self::Moved(instance) | Self::Maintained { instance, .. } => instance,
        }
    }

    /// The wave, if the command takes the machine down.
    pub fn wave(&self) -> Option<WaveNumber> {
        match self {
            Self::Moved(_) => None,
            Self::Maintained { wave, .. } => Some(*wave),
        }
    }
}

/// Number of owners in a row that took too long to read the state.
pub type UnfinishedLoads = u32;

/// Stored record of a worker that was given tasks.
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
    /// The capacity that it last showed; unknown in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<CapacityRecord>,
}

/// Stored form of a worker's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityRecord {
    cpu_milli: u32,
    mem_bytes: u64,
    acc: u32,
}

impl From<Resources> for CapacityRecord {
    fn from(capacity: Resources) -> Self {
        Self {
            cpu_milli: capacity.processors_milli,
            mem_bytes: capacity.memory_bytes,
            acc: capacity.accelerators,
        }
    }
}

impl From<CapacityRecord> for Resources {
    fn from(record: CapacityRecord) -> Self {
        Self {
            processors_milli: record.cpu_milli,
            memory_bytes: record.mem_bytes,
            accelerators: record.acc,
        }
    }
}

impl StateRecord {
    /// Whether some task has certainly started. A task whose run may have been only commanded
    /// doesn't count.
    pub fn has_started_task(&self) -> bool {
        let has_run = |task: &TaskRecord| {
            task.done || !task.failed_runs.is_empty() || task.checkpoint.is_some()
        };
        self.state.is_final() || !self.ended.is_empty() || self.tasks.iter().any(has_run)
    }

    /// Encodes the record as JSON.
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
