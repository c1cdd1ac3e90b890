//! Memory that an owner may use for the jobs that have not ended, and what a job takes of it.
//!
//! The figures are those of the types that hold a job, with what allocation and tables add. They
//! count all tasks of an occurrence, and a run of each, whether or not they have started.

use cassiafold_config::TeamId;

use crate::job::{Job, Step, Task};
use crate::record::JobRecord;
use crate::spec::{JobSpec, StepSpec, TaskId};
use crate::worker::Run;

/// Memory of the smallest supported machine, in MiB.
pub const SMALLEST_MEMORY_MB: usize = 160;
/// Divisor of the machine's memory that gives what the jobs may take that the owner holds.
const HELD_MEMORY_DIVISOR: u64 = 6;
/// Divisor of the machine's memory that gives what the owner may know of the jobs that it does not
/// hold.
const DEFERRED_MEMORY_DIVISOR: u64 = 12;
/// Bytes that the owner needs for a job that it does not hold, in its tables.
const DEFERRED_JOB_BYTES: u64 = 256;

/// Bytes of a text or a list beside its contents.
const ALLOCATION_BYTES: usize = 32;
/// Bytes of a job's entries in the owner's tables.
const JOB_ENTRY_BYTES: usize = 256;
/// Bytes of an occurrence beside its steps, and of a step's entries in the owner's tables.
const OCCURRENCE_ENTRY_BYTES: usize = 256;
const STEP_ENTRY_BYTES: usize = 128;
/// Bytes of a run in the table of its worker, which is on average three quarters full, and in the
/// list of its task.
const RUN_BYTES: usize = size_of::<(TaskId, Run)>() / 3 * 4 + ALLOCATION_BYTES;
/// Bytes of an occurrence that has ended, in memory and in the stored state while it is written.
const ENDED_OCCURRENCE_BYTES: usize = 48;

/// Memory that an owner may use for jobs that have not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobMemory {
    /// Bytes of the jobs that it holds.
    pub held_bytes_max: u64,
    /// Jobs that it does not hold, from which on no further ones are accepted.
    pub deferred_max: usize,
}

impl JobMemory {
    /// Memory for jobs on a machine with this memory, in MiB.
    pub fn for_machine(memory_mb: usize) -> Self {
        let memory_bytes = (memory_mb as u64).saturating_mul(1 << 20);
        let deferred = memory_bytes / DEFERRED_MEMORY_DIVISOR / DEFERRED_JOB_BYTES;
        Self {
            held_bytes_max: memory_bytes / HELD_MEMORY_DIVISOR,
            deferred_max: usize::try_from(deferred).unwrap_or(usize::MAX),
        }
    }
}

impl Default for JobMemory {
    /// Memory for jobs on the smallest supported machine.
    fn default() -> Self {
        Self::for_machine(SMALLEST_MEMORY_MB)
    }
}

/// Bytes that a job takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobBytes {
    /// The job without its occurrences.
    base: usize,
    /// Each occurrence that has started and not ended.
    occurrence: usize,
}

impl JobBytes {
    /// Bytes of a job with this many occurrences. A job that has none yet is about to start one.
    pub fn with_occurrences(self, open: usize, ended: usize) -> u64 {
        let bytes = self.base + self.occurrence * open.max(1) + ENDED_OCCURRENCE_BYTES * ended;
        bytes as u64
    }

    /// Bytes of an ended job, of which only the steps are kept.
    pub fn of_ended(record: &JobRecord) -> Self {
        Self { base: record.spec.steps.iter().map(step_bytes).sum(), occurrence: 0 }
    }

    /// Bytes of an occurrence.
    pub fn of_occurrence(self) -> u64 {
        self.occurrence as u64
    }
}

impl From<&JobRecord> for JobBytes {
    fn from(record: &JobRecord) -> Self {
        let team = record.team.as_ref().map_or(0, |team: &TeamId| team.len());
        let names = record.queue.len() + record.service.len() + team + 3 * ALLOCATION_BYTES;
        let steps: usize = record.spec.steps.iter().map(step_bytes).sum();
        let base = size_of::<Job>()
            + size_of::<JobRecord>()
            + JOB_ENTRY_BYTES
            + names
            + record.spec.payload.len()
            + steps;
        Self { base, occurrence: occurrence_bytes(&record.spec) }
    }
}

fn step_bytes(step: &StepSpec) -> usize {
    let names = [&step.label, &step.data_rack, &step.image];
    let names = names.into_iter().flatten().map(|name| name.len() + ALLOCATION_BYTES);
    size_of::<StepSpec>()
        + names.sum::<usize>()
        + size_of_val(step.after.as_slice())
        + 2 * ALLOCATION_BYTES
}

fn occurrence_bytes(spec: &JobSpec) -> usize {
    let tasks = usize::try_from(spec.tasks()).unwrap_or(usize::MAX);
    let steps = spec.steps.len() * (size_of::<Step>() + STEP_ENTRY_BYTES);
    tasks
        .saturating_mul(size_of::<Task>() + RUN_BYTES)
        .saturating_add(OCCURRENCE_ENTRY_BYTES + steps)
}
