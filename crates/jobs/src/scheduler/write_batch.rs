//! Batches of the owner's writes to the store, and what follows once they are committed.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{Moment, VALUE_BYTES_MAX};

use super::Scheduler;
use crate::cluster::WaveNumber;
use crate::event::JobsEvent;
use crate::job::{Job, WorkerSlot};
use crate::record::{
    COMMANDED_MACHINES_KEY, ChainNumber, CommandedMachinesRecord, FIRST_WRITE_CHAIN, JOBS_FULL_KEY,
    JobState, RecordError, WAITING_KEY, WAVES_KEY, WaitingRecord, WorkerRecord, WorkerShard,
    cancel_key, job_key, state_key, workers_key,
};
use crate::spec::{JobId, JobSizeError};

/// Entries of a write beside its two conditions and the sequence key: the store accepts 32.
const ENTRIES_MAX: usize = 29;
/// Number of waiting job states from which on a write is urgent.
const URGENT_STATES_MIN: usize = 16;
/// Maximum number of worker shards in one write.
const SHARDS_MAX: usize = 12;
/// Lists in one write: of waves, of commanded machines and of waiting jobs.
const LISTS_MAX: usize = 3;
/// Entry that says whether jobs are accepted.
const FULL_ENTRIES: usize = 1;
/// Maximum number of wave statuses in one write.
const WAVES_MAX: usize = 3;
/// Maximum number of ended jobs that one write of the first chain deletes.
const DELETED_JOBS_MAX: usize = 1;
/// Maximum number of ended jobs whose deletion counts as waiting.
const DELETIONS_COUNTED_MAX: usize = 200;
/// Entries that delete an ended job: the job, its cancel and its state.
const DELETION_ENTRIES: usize = 3;
/// Time after the end of a job after which its record is deleted; its state is kept for longer. A
/// caller may repeat its submission for some seconds.
const RECORD_RETENTION: Duration = Duration::from_secs(10);
/// Entries that delete the record of an ended job: the job and its cancel.
const RECORD_ENTRIES: usize = 2;
/// Minimum time between two writes of the number of waiting jobs.
const WAITING_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the number of waiting jobs is written again even if unchanged, so that readers
/// can detect that no owner updates it.
const WAITING_REFRESH: Duration = Duration::from_millis(1_000);

/// States in one write that are chosen by the age of their run ends, so that every end is
/// acknowledged eventually.
const OLDEST_STATES_MAX: usize = 6;
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::flush";

/// How soon a change should be written to the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteUrgency {
    /// Nothing waits for it.
    #[default]
    Low,
    /// Workers keep run ends until they are acknowledged.
    Normal,
    /// Task starts or callers wait for it.
    High,
}

/// One write of the owner, with the changes to apply once it is committed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// The write chain to which it belongs.
    pub chain: ChainNumber,
    /// Values to store.
    pub puts: Vec<(Arc<str>, Vec<u8>)>,
    /// Keys to delete.
    pub deletions: Vec<Arc<str>>,
    /// Waves whose status is to be stored, and whether they are complete.
    pub waves: Vec<(WaveNumber, bool)>,
    recorded_workers: Vec<WorkerSlot>,
    deleted_jobs: Vec<JobId>,
    /// Ended jobs whose records are deleted.
    deleted_records: Vec<JobId>,
    states: Vec<JobId>,
    /// Jobs in the write with the number of their crashes.
    crashes: Vec<(JobId, u32)>,
    /// The record of commanded machines, if it is written.
    commanded_machines: Option<CommandedMachinesRecord>,
}

impl WriteBatch {
    /// Returns the number of job states in the write.
    pub fn states(&self) -> usize {
        self.states.len()
    }
}

impl Scheduler {
    /// Returns how soon the next write should start.
    pub fn write_urgency(&self) -> WriteUrgency {
        let is_other_urgent = self.machine_leases.needs_write() || self.is_full_write_urgent();
        match is_other_urgent || self.states_waiting() >= URGENT_STATES_MIN {
            true => WriteUrgency::High,
            false => self.write_urgency,
        }
    }

    /// Returns the number of outdated states that are in no write in flight.
    fn states_waiting(&self) -> usize {
        self.unwritten_states.keys().filter(|id| !self.in_flight_writes.contains(**id)).count()
    }

    pub(super) fn raise_write_urgency(&mut self, urgency: WriteUrgency) {
        self.write_urgency = self.write_urgency.max(urgency);
    }

    /// Returns whether a write may start, if there is anything to write.
    pub fn may_write(&self, now: Moment) -> bool {
        self.next_write_chain(now).is_some()
    }

    fn next_write_chain(&self, now: Moment) -> Option<ChainNumber> {
        self.in_flight_writes.next_write_chain(|| self.states_waiting() + self.deletions_due(now))
    }

    /// Returns the number of ended jobs that are due for deletion, up to the counted maximum.
    fn deletions_due(&self, now: Moment) -> usize {
        let due = self.ended_jobs.iter().take_while(|(_, since)| self.is_deletion_due(*since, now));
        due.take(DELETIONS_COUNTED_MAX).count()
    }

    fn is_deletion_due(&self, ended: Moment, now: Moment) -> bool {
        now.saturating_sub(ended) > self.settings.status_retention
    }

    /// Returns the next write; `None` if the store is up to date or enough writes are in flight.
    ///
    /// Each write must be confirmed by [`Self::handle_write_committed`].
    pub fn next_write_batch(&mut self, now: Moment) -> Option<WriteBatch> {
        let chain = self.next_write_chain(now)?;
        let mut batch = WriteBatch { chain, ..WriteBatch::default() };
        match chain {
            FIRST_WRITE_CHAIN => self.collect_all(now, &mut batch),
            _ => {
                self.collect_states(ENTRIES_MAX, now, &mut batch);
                let remaining = ENTRIES_MAX - batch.puts.len();
                self.collect_deletions(remaining / DELETION_ENTRIES, now, &mut batch);
            }
        }
        self.collect_record_deletions(now, &mut batch);
        let has_entries =
            !batch.puts.is_empty() || !batch.deletions.is_empty() || !batch.waves.is_empty();
        if !has_entries {
            // Run ends that changed no job can be acknowledged immediately.
            self.mark_ends_stored(now);
            return None;
        }
        self.in_flight_writes.start(chain);
        Some(batch)
    }

    fn collect_all(&mut self, now: Moment, batch: &mut WriteBatch) {
        self.write_urgency = WriteUrgency::Low;
        self.collect_workers(batch);
        let other_entries =
            LISTS_MAX + FULL_ENTRIES + WAVES_MAX + DELETED_JOBS_MAX * DELETION_ENTRIES;
        self.collect_states(ENTRIES_MAX - other_entries - batch.puts.len(), now, batch);
        self.collect_waves(batch);
        self.collect_commanded_machines(now, batch);
        self.collect_waiting(now, batch);
        self.collect_full(batch);
        self.collect_deletions(DELETED_JOBS_MAX, now, batch);
        batch.waves = self.wave_statuses();
        batch.waves.truncate(WAVES_MAX);
    }

    /// Marks the run ends whose effects are stored, so that they are acknowledged.
    fn mark_ends_stored(&mut self, now: Moment) {
        let first_unwritten = self.unwritten_states.values().min().copied();
        let first_unstored =
            first_unwritten.into_iter().chain(self.in_flight_writes.first_end()).min();
        let first_unstored = first_unstored.unwrap_or(u64::MAX);
        let mut fully_stored = Vec::new();
        self.workers_with_unstored_ends = 0;
        for slot in self.current_slots.values().copied() {
            let worker = &mut self.workers[slot];
            let had_unstored = !worker.ends_unstored.is_empty();
            worker.mark_ends_stored(first_unstored);
            match worker.ends_unstored.is_empty() {
                true if had_unstored => fully_stored.push(slot),
                true => {}
                false => self.workers_with_unstored_ends += 1,
            }
        }
        for slot in fully_stored {
            self.schedule_ack_poll(slot, now);
        }
    }

    /// Returns the jobs whose states are written next, and the urgency of the remaining ones.
    ///
    /// With hundreds of jobs whose tasks end continuously, states that starts or callers wait for
    /// must not queue behind mere progress of other jobs.
    fn next_unwritten(&self, count_max: usize) -> (Vec<JobId>, WriteUrgency) {
        let unwritten =
            self.unwritten_states.iter().filter(|(id, _)| !self.in_flight_writes.contains(**id));
        let mut oldest: Vec<(u64, JobId)> =
            unwritten.map(|(id, first_end)| (*first_end, *id)).collect();
        oldest.sort_unstable();
        let others = oldest.split_off(oldest.len().min(OLDEST_STATES_MAX));
        let mut others: Vec<(WriteUrgency, JobId)> =
            others.into_iter().map(|(_, id)| (self.state_urgency(id), id)).collect();
        others.sort_by_key(|(urgency, _)| Reverse(*urgency));
        let remaining = others.split_off(others.len().min(count_max - oldest.len()));
        let remaining = remaining.first().map_or(WriteUrgency::Low, |(urgency, _)| *urgency);
        let chosen =
            oldest.into_iter().map(|(_, id)| id).chain(others.into_iter().map(|(_, id)| id));
        (chosen.collect(), remaining)
    }

    /// Returns how soon the changed state of a job should be written.
    fn state_urgency(&self, id: JobId) -> WriteUrgency {
        let Some(job) = self.jobs.get(&id) else { return WriteUrgency::Low };
        match job.awaits_start_write() || job.has_unstored_crash() || !job.is_live() {
            true => WriteUrgency::High,
            false => WriteUrgency::Normal,
        }
    }

    fn collect_states(&mut self, count_max: usize, now: Moment, batch: &mut WriteBatch) {
        let (ids, remaining_urgency) = self.next_unwritten(count_max);
        let mut oversized: Vec<(JobId, usize)> = Vec::new();
        self.raise_write_urgency(remaining_urgency);
        for id in ids {
            if self.in_flight_writes.are_states_full() {
                self.raise_write_urgency(WriteUrgency::Normal);
                break;
            }
            let first_end = self.unwritten_states.remove(&id).unwrap_or_default();
            let Some(job) = self.jobs.get(&id) else { continue };
            match job.to_state_record().encode() {
                Ok(bytes) if bytes.len() > VALUE_BYTES_MAX => oversized.push((id, bytes.len())),
                Ok(bytes) => {
                    self.in_flight_writes.add(batch.chain, id, first_end, bytes.len());
                    batch.puts.push((state_key(id), bytes));
                    batch.states.push(id);
                    if job.has_unstored_crash() {
                        batch.crashes.push((id, job.crashes()));
                    }
                }
                Err(error) => log_encode_error(id, &error),
            }
        }
        for (id, bytes) in oversized {
            self.fail_unstorable(id, &JobSizeError::State(bytes), now);
        }
    }

    /// Ends a live job whose state the store cannot take, as failed: the state of an ended job is
    /// small. If such a state cannot be stored either, it is not written.
    fn fail_unstorable(&mut self, id: JobId, error: &JobSizeError, now: Moment) {
        if self.jobs.get(&id).is_some_and(Job::is_live) {
            self.log_oversized(id, error);
            self.finish_job(id, JobState::Failed, now);
        } else {
            log_unstorable(id, error);
        }
    }

    /// Adds the outdated worker shards. Dozens of machines may move each second, so a worker that
    /// joins or leaves rewrites one shard and not the list of all workers.
    fn collect_workers(&mut self, batch: &mut WriteBatch) {
        let shards: Vec<WorkerShard> = self.stale_shards.iter().copied().take(SHARDS_MAX).collect();
        for shard in shards {
            self.stale_shards.remove(&shard);
            let members = self.shard_members(shard);
            let records = members.iter().map(|slot| self.workers[*slot].to_record());
            match encode_workers(&records.collect::<Vec<_>>()) {
                Ok(bytes) => batch.puts.push((workers_key(shard), bytes)),
                Err(error) => return log_encode_error(0, &error),
            }
            batch.recorded_workers.extend(members);
        }
        if !self.stale_shards.is_empty() {
            self.raise_write_urgency(WriteUrgency::High);
        }
    }

    fn collect_waves(&mut self, batch: &mut WriteBatch) {
        let waves = self.waves_record();
        if waves == self.waves_written {
            return;
        }
        match serde_json::to_vec(&waves) {
            Ok(bytes) => batch.puts.push((WAVES_KEY.into(), bytes)),
            Err(error) => return log_encode_error(0, &error.into()),
        }
        self.waves_written = waves;
    }

    fn collect_commanded_machines(&mut self, now: Moment, batch: &mut WriteBatch) {
        let Some(commanded_machines) = self.machine_leases.take_record(now) else { return };
        match serde_json::to_vec(&commanded_machines) {
            Ok(bytes) => batch.puts.push((COMMANDED_MACHINES_KEY.into(), bytes)),
            Err(error) => return log_encode_error(0, &error.into()),
        }
        batch.commanded_machines = Some(commanded_machines);
    }

    fn collect_waiting(&mut self, now: Moment, batch: &mut WriteBatch) {
        let last = self.last_waiting_record.as_ref();
        if last.is_some_and(|(at, _)| now.saturating_sub(*at) < WAITING_INTERVAL) {
            return;
        }
        let record = self.waiting_record();
        let is_recent = |at: Moment| now.saturating_sub(at) < WAITING_REFRESH;
        if last.is_some_and(|(at, written)| written.jobs == record.jobs && is_recent(*at)) {
            return;
        }
        match serde_json::to_vec(&record) {
            Ok(bytes) => batch.puts.push((WAITING_KEY.into(), bytes)),
            Err(error) => return log_encode_error(0, &error.into()),
        }
        self.last_waiting_record = Some((now, record));
    }

    fn collect_full(&mut self, batch: &mut WriteBatch) {
        match self.take_full_write() {
            Some(true) => batch.puts.push((JOBS_FULL_KEY.into(), Vec::new())),
            Some(false) => batch.deletions.push(JOBS_FULL_KEY.into()),
            None => {}
        }
    }

    /// Counts the accepted jobs of which no task has started, by queue.
    fn waiting_record(&self) -> WaitingRecord {
        let counted_unix_ms = u64::try_from(self.last_plan_unix.as_millis()).unwrap_or(u64::MAX);
        let mut record = WaitingRecord { counted_unix_ms, ..WaitingRecord::default() };
        let held = self.jobs.values().filter(|job| job.is_live() && !job.has_started);
        let deferred = self.deferred.jobs().filter(|job| !job.has_started);
        let queues = held.map(|job| &job.record.queue).chain(deferred.map(|job| &job.queue));
        for queue in queues {
            *record.jobs.entry(queue.clone()).or_default() += 1;
        }
        record
    }

    fn collect_deletions(&mut self, count_max: usize, now: Moment, batch: &mut WriteBatch) {
        while batch.deleted_jobs.len() < count_max
            && let Some((id, since)) = self.ended_jobs.front().copied()
            && self.is_deletion_due(since, now)
            && !self.unwritten_states.contains_key(&id)
            && !self.in_flight_writes.contains(id)
        {
            self.ended_jobs.pop_front();
            batch.deletions.extend([job_key(id), cancel_key(id), state_key(id)]);
            batch.deleted_jobs.push(id);
        }
    }

    /// Fills a write with deletions of the records of ended jobs. A new owner reads all records, and
    /// those of the jobs that have ended would be most of them.
    fn collect_record_deletions(&mut self, now: Moment, batch: &mut WriteBatch) {
        let used = batch.puts.len() + batch.deletions.len() + batch.waves.len();
        let count_max = ENTRIES_MAX.saturating_sub(used) / RECORD_ENTRIES;
        for _ in 0..count_max {
            let due =
                self.ended_records.pop_front_if(|(_, since)| now >= *since + RECORD_RETENTION);
            let Some((id, _)) = due else { return };
            // The job may have been forgotten since, and its id used again.
            if self.jobs.get(&id).is_none_or(Job::is_live) {
                continue;
            }
            match self.may_delete_record(id, now) {
                true => {
                    batch.deletions.extend([job_key(id), cancel_key(id)]);
                    batch.deleted_records.push(id);
                }
                false => self.ended_records.push_back((id, now)),
            }
        }
    }

    /// Returns whether the record of an ended job is needed no more: its final state is stored, and
    /// no run of it uses capacity.
    fn may_delete_record(&self, id: JobId, now: Moment) -> bool {
        now >= self.inherited_runs_expire
            && !self.unwritten_states.contains_key(&id)
            && !self.in_flight_writes.contains(id)
            && !self.stops.contains_job(id)
    }

    /// Applies the effects of a committed write.
    pub fn handle_write_committed(&mut self, batch: &WriteBatch, now: Moment) {
        self.in_flight_writes.finish(batch.chain);
        for slot in &batch.recorded_workers {
            self.workers[*slot].is_recorded = true;
            self.mark_worker_service_changed(*slot);
        }
        for id in &batch.deleted_records {
            self.forget_ended_job(*id);
        }
        for id in &batch.deleted_jobs {
            self.remove_job(*id);
            self.forgotten_jobs.remove(id);
        }
        for id in &batch.states {
            self.in_flight_writes.remove(*id);
            self.mark_start_stored(*id);
        }
        self.mark_crashes_stored(&batch.crashes);
        if let Some(record) = &batch.commanded_machines {
            self.machine_leases.mark_stored(record);
        }
        self.mark_wave_statuses_stored(&batch.waves);
        self.mark_ends_stored(now);
    }

    fn mark_crashes_stored(&mut self, crashes: &[(JobId, u32)]) {
        for (id, crashes) in crashes {
            if let Some(job) = self.jobs.get_mut(id) {
                job.mark_crashes_stored(*crashes);
                self.changed_services.insert(job.record.service.clone());
            }
        }
    }

    fn mark_start_stored(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state != JobState::Queued && !job.is_start_stored {
            job.is_start_stored = true;
            self.changed_services.insert(job.record.service.clone());
        }
    }

    /// Returns the number of jobs in a state, for metrics.
    pub fn count_jobs(&self, state: JobState) -> usize {
        self.jobs.values().filter(|job| job.state == state).count()
    }
}

fn encode_workers(workers: &[WorkerRecord]) -> Result<Vec<u8>, RecordError> {
    Ok(serde_json::to_vec(workers)?)
}

fn log_unstorable(id: JobId, error: &JobSizeError) {
    emit!(
        target: LOG_TARGET,
        JobsEvent::StateUnstorable,
        job = format_args!("{id:016x}"),
        reason = error
    );
}

fn log_encode_error(id: JobId, error: &RecordError) {
    emit!(
        target: LOG_TARGET,
        JobsEvent::RecordNotEncoded,
        job = format_args!("{id:016x}"),
        error = error
    );
}
