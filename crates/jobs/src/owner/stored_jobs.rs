//! Reads the stored jobs and their states page by page, and keeps no more of them than the owner may
//! hold.

use std::collections::{HashMap, HashSet};

use cassiafold_event::emit;
use cassiafold_platform::{Moment, Record, Revision, Store, StoreError};
use tokio::task::yield_now;

use crate::event::JobsEvent;
use crate::job_memory::JobMemory;
use crate::record::{
    CANCEL_PREFIX, INBOX_PREFIX, JOB_PREFIX, JobRecord, STATE_PREFIX, StateRecord, TaskRecord,
    parse_job_key,
};
use crate::scheduler::{DeferredJob, Scheduler};
use crate::spec::JobId;

/// Records that are decoded before the task yields, so that the lease is renewed in time.
const RECORDS_PER_YIELD: usize = 32;
/// Divisor of the memory for held jobs that gives the memory for states while they are read.
const STATES_DIVISOR: u64 = 4;
/// Bytes of a state beside its tasks.
const STATE_BYTES: usize = 256;

/// The accepted jobs and their cancellations.
#[derive(Debug, Default)]
pub(super) struct StoredInbox {
    /// Revision from which changes have to be followed.
    pub(super) revision: Revision,
    /// Jobs that the owner can hold.
    held: Vec<(JobId, JobRecord, Revision)>,
    held_bytes: u64,
    /// All others.
    deferred: Vec<(JobId, DeferredJob)>,
    cancelled: Vec<JobId>,
}

/// The states of jobs.
#[derive(Debug, Default)]
pub(super) struct StoredStates {
    states: HashMap<JobId, StateRecord>,
    bytes: u64,
    /// Jobs that have started and whose states are not kept.
    not_kept: HashSet<JobId>,
    /// Jobs whose state can't be read: their tasks may be done, and none may run again.
    unreadable: HashSet<JobId>,
}

/// Reads all records with a prefix, and passes each one on. Returns the revision from which changes
/// have to be followed.
async fn for_each_record<S: Store>(
    store: &S,
    prefix: &str,
    mut handle: impl FnMut(&Record),
) -> Result<Revision, StoreError> {
    let mut page = store.list_page(prefix, None).await?;
    let revision = page.revision;
    loop {
        for (number, record) in page.records.iter().enumerate() {
            if number % RECORDS_PER_YIELD == 0 {
                yield_now().await;
            }
            handle(record);
        }
        let Some(after) = page.next_after.take() else { return Ok(revision) };
        page.records.clear();
        page = store.list_page(prefix, Some(&after)).await?;
    }
}

impl StoredInbox {
    pub(super) async fn read<S: Store>(
        store: &S,
        job_memory: JobMemory,
    ) -> Result<Self, StoreError> {
        let mut inbox = Self::default();
        let revision =
            for_each_record(store, INBOX_PREFIX, |record| inbox.add(record, job_memory)).await?;
        Ok(Self { revision, ..inbox })
    }

    fn add(&mut self, record: &Record, job_memory: JobMemory) {
        if let Some(id) = parse_job_key(&record.key, CANCEL_PREFIX) {
            self.cancelled.push(id);
        }
        let Some(id) = parse_job_key(&record.key, JOB_PREFIX) else { return };
        let job = match JobRecord::try_from(&record.value[..]) {
            Ok(job) => job,
            Err(error) => {
                return emit!(JobsEvent::ItemUnreadable, key = record.key, error = error);
            }
        };
        let deferred = DeferredJob::from(&job);
        if self.held_bytes.saturating_add(deferred.bytes) > job_memory.held_bytes_max {
            self.deferred.push((id, deferred));
            return;
        }
        self.held_bytes += deferred.bytes;
        self.held.push((id, job, record.revision));
    }
}

impl StoredStates {
    pub(super) async fn read<S: Store>(
        store: &S,
        job_memory: JobMemory,
    ) -> Result<Self, StoreError> {
        let mut states = Self::default();
        let bytes_max = job_memory.held_bytes_max / STATES_DIVISOR;
        for_each_record(store, STATE_PREFIX, |record| states.add(record, bytes_max)).await?;
        Ok(states)
    }

    fn add(&mut self, record: &Record, bytes_max: u64) {
        let Some(id) = parse_job_key(&record.key, STATE_PREFIX) else { return };
        match StateRecord::try_from(&record.value[..]) {
            Ok(state) if state.state.is_final() => {
                let state =
                    StateRecord { team: None, ended: Vec::new(), tasks: Vec::new(), ..state };
                self.states.insert(id, state);
            }
            Ok(state) => {
                let bytes = state_bytes(&state);
                if self.bytes.saturating_add(bytes) > bytes_max {
                    self.not_kept.insert(id);
                    return;
                }
                self.bytes += bytes;
                self.states.insert(id, state);
            }
            Err(error) => {
                emit!(JobsEvent::ItemUnreadable, key = record.key, error = error);
                self.unreadable.insert(id);
            }
        }
    }
}

fn state_bytes(state: &StateRecord) -> u64 {
    let tasks = size_of_val(state.tasks.as_slice()).max(size_of::<TaskRecord>());
    (STATE_BYTES + tasks + size_of_val(state.ended.as_slice())) as u64
}

/// Adds the stored jobs to the scheduler of a new owner. Those that have started come first, since
/// workers may run their tasks.
pub(super) async fn add_stored_jobs(
    scheduler: &mut Scheduler,
    inbox: StoredInbox,
    states: StoredStates,
    now: Moment,
) -> Revision {
    let StoredInbox { revision, held, deferred, cancelled, .. } = inbox;
    let recorded: HashSet<JobId> =
        held.iter().map(|(id, ..)| *id).chain(deferred.iter().map(|(id, _)| *id)).collect();
    for id in states.unreadable {
        scheduler.exclude_job(id);
    }
    for id in cancelled {
        scheduler.cancel(id, now);
    }
    let (started, others): (Vec<_>, Vec<_>) =
        held.into_iter().partition(|(id, ..)| states.states.contains_key(id));
    for (number, (id, job, accepted)) in started.into_iter().chain(others).enumerate() {
        if number % RECORDS_PER_YIELD == 0 {
            yield_now().await;
        }
        if states.not_kept.contains(&id) {
            let job = DeferredJob { has_started: true, ..DeferredJob::from(&job) };
            scheduler.defer_job(id, job, now);
            continue;
        }
        let stored = states.states.get(&id);
        scheduler.add_job(id, job, accepted, stored, now);
        if let Some(stored) = stored {
            scheduler.restore_occurrences(id, stored, now);
        }
    }
    for (id, job) in deferred {
        let has_started = states.states.contains_key(&id) || states.not_kept.contains(&id);
        scheduler.defer_job(id, DeferredJob { has_started, ..job }, now);
    }
    for (id, state) in &states.states {
        if state.state.is_final() && !recorded.contains(id) {
            scheduler.add_ended_job(*id, now);
        }
    }
    revision
}
