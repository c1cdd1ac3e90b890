//! What the owner writes to the store, and what may be said once it is written.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::cluster::WaveNumber;
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::record::{
    COMMANDED_MACHINES_KEY, ChainNumber, CommandedMachinesRecord, FIRST_WRITE_CHAIN, JobState,
    RecordError, WAITING_KEY, WAVES_KEY, WaitingRecord, WorkerRecord, WorkerShard, cancel_key,
    job_key, state_key, workers_key,
};
use crate::spec::JobId;

/// Entries of a write that are left beside two conditions and the sequence: the store takes 32.
const ENTRIES_MAX: usize = 29;
/// States of jobs that wait until a write is urgent.
const STATES_MANY: usize = 16;
/// Parts of the workers in one write.
const SHARDS_MAX: usize = 12;
/// Lists in one write: of waves, of ordered machines and of waiting jobs.
const LISTS_MAX: usize = 3;
/// Statuses of waves in one write.
const WAVES_MAX: usize = 3;
/// Ended jobs that are removed in one write of the first chain.
const REMOVALS_MAX: usize = 1;
/// Ended jobs whose removal counts as waiting.
const REMOVALS_COUNTED_MAX: usize = 200;
/// Entries that remove an ended job: it, its cancel and its state.
const REMOVAL_ENTRIES: usize = 3;
/// Time between two writes of the number of waiting jobs.
const WAITING_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which that number is written again though it has not changed, so that readers can
/// tell that an owner counts.
const WAITING_REFRESH: Duration = Duration::from_millis(1_000);

/// States in one write that are chosen for the ends that wait longest, so that none stays
/// unacknowledged.
const OLDEST_STATES: usize = 6;
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::flush";

/// How soon something should be written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteUrgency {
    /// Nobody waits for it.
    #[default]
    Low,
    /// Workers keep ends until they are acknowledged.
    Normal,
    /// Starts or callers wait for it.
    High,
}

/// One write of the owner, and what follows from it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// The chain of writes to which it belongs.
    pub chain: ChainNumber,
    /// Values to store.
    pub puts: Vec<(Arc<str>, Vec<u8>)>,
    /// Keys to remove.
    pub deletions: Vec<Arc<str>>,
    /// Waves whose status is to be stored, with whether they are complete.
    pub waves: Vec<(WaveNumber, bool)>,
    recorded: Vec<WorkerSlot>,
    removed: Vec<JobId>,
    states: Vec<JobId>,
    commanded_machines: CommandedMachinesRecord,
}

impl WriteBatch {
    /// Number of states of jobs in it.
    pub fn states(&self) -> usize {
        self.states.len()
    }
}

impl Scheduler {
    /// How soon the next write should be.
    pub fn write_urgency(&self) -> WriteUrgency {
        match self.machine_leases.is_write_wanted() || self.states_waiting() >= STATES_MANY {
            true => WriteUrgency::High,
            false => self.write_urgency,
        }
    }

    /// States that are behind in the store and in no write that is under way.
    fn states_waiting(&self) -> usize {
        self.unwritten_states.keys().filter(|id| !self.in_flight_writes.contains(**id)).count()
    }

    pub(super) fn raise_urgency(&mut self, urgency: WriteUrgency) {
        self.write_urgency = self.write_urgency.max(urgency);
    }

    /// Whether a write may begin, if there is anything to write.
    pub fn may_write(&self, now: Moment) -> bool {
        self.next_write_chain(now).is_some()
    }

    fn next_write_chain(&self, now: Moment) -> Option<ChainNumber> {
        self.in_flight_writes.next_write_chain(|| self.states_waiting() + self.removals_due(now))
    }

    /// Ended jobs that have been kept for their time, as far as they are counted.
    fn removals_due(&self, now: Moment) -> usize {
        let due = self.ended.iter().take_while(|(_, since)| self.is_removal_due(*since, now));
        due.take(REMOVALS_COUNTED_MAX).count()
    }

    fn is_removal_due(&self, ended: Moment, now: Moment) -> bool {
        now.saturating_sub(ended) > self.settings.status_retention
    }

    /// The next write; `None` when the store is up to date, or enough writes are under way.
    ///
    /// Each write that is taken must be given back by [`Self::handle_write_committed`].
    pub fn next_write_batch(&mut self, now: Moment) -> Option<WriteBatch> {
        let chain = self.next_write_chain(now)?;
        let mut batch = WriteBatch { chain, ..WriteBatch::default() };
        match chain {
            FIRST_WRITE_CHAIN => self.collect_all(now, &mut batch),
            _ => {
                self.collect_states(ENTRIES_MAX, &mut batch);
                let left = ENTRIES_MAX - batch.puts.len();
                self.collect_removals(left / REMOVAL_ENTRIES, now, &mut batch);
            }
        }
        let writes =
            !batch.puts.is_empty() || !batch.deletions.is_empty() || !batch.waves.is_empty();
        if !writes {
            // Ends that changed no job may be acknowledged at once.
            self.mark_ends_stored(now);
            return None;
        }
        self.in_flight_writes.begin(chain);
        Some(batch)
    }

    fn collect_all(&mut self, now: Moment, batch: &mut WriteBatch) {
        self.write_urgency = WriteUrgency::Low;
        self.collect_workers(batch);
        let others = LISTS_MAX + WAVES_MAX + REMOVALS_MAX * REMOVAL_ENTRIES;
        self.collect_states(ENTRIES_MAX - others - batch.puts.len(), batch);
        self.collect_waves(batch);
        self.collect_commanded_machines(now, batch);
        self.collect_waiting(now, batch);
        self.collect_removals(REMOVALS_MAX, now, batch);
        batch.waves = self.wave_statuses();
        batch.waves.truncate(WAVES_MAX);
    }

    /// Lets ends be acknowledged whose effects are in the store.
    fn mark_ends_stored(&mut self, now: Moment) {
        let unwritten_states = self.unwritten_states.values().min().copied();
        let open_since =
            unwritten_states.into_iter().chain(self.in_flight_writes.first_end()).min();
        let open_since = open_since.unwrap_or(u64::MAX);
        let mut settled = Vec::new();
        self.workers_with_unstored_ends = 0;
        for slot in self.current_slots.values().copied() {
            let worker = &mut self.workers[slot];
            let had_open = !worker.ends_unstored.is_empty();
            worker.mark_ends_stored(open_since);
            match worker.ends_unstored.is_empty() {
                true if had_open => settled.push(slot),
                true => {}
                false => self.workers_with_unstored_ends += 1,
            }
        }
        for slot in settled {
            self.schedule_ack_poll(slot, now);
        }
    }

    /// Jobs whose states are written next, and how soon the others should be.
    ///
    /// Answers the load pattern of hundreds of jobs whose tasks end all the time: states for which
    /// starts or callers wait do not queue behind the progress of others.
    fn next_unwritten(&self, count_max: usize) -> (Vec<JobId>, WriteUrgency) {
        let waiting =
            self.unwritten_states.iter().filter(|(id, _)| !self.in_flight_writes.contains(**id));
        let mut ids: Vec<(u64, JobId)> = waiting.map(|(id, behind)| (*behind, *id)).collect();
        ids.sort_unstable();
        let rest = ids.split_off(ids.len().min(OLDEST_STATES));
        let mut rest: Vec<(WriteUrgency, JobId)> =
            rest.into_iter().map(|(_, id)| (self.state_urgency(id), id)).collect();
        rest.sort_by_key(|(urgency, _)| Reverse(*urgency));
        let left = rest.split_off(rest.len().min(count_max - ids.len()));
        let left = left.first().map_or(WriteUrgency::Low, |(urgency, _)| *urgency);
        let chosen = ids.into_iter().map(|(_, id)| id).chain(rest.into_iter().map(|(_, id)| id));
        (chosen.collect(), left)
    }

    /// How soon the state of a job that has changed should be written.
    fn state_urgency(&self, id: JobId) -> WriteUrgency {
        let Some(job) = self.jobs.get(&id) else { return WriteUrgency::Low };
        match job.awaits_start_write() || !job.is_live() {
            true => WriteUrgency::High,
            false => WriteUrgency::Normal,
        }
    }

    fn collect_states(&mut self, count_max: usize, batch: &mut WriteBatch) {
        let (ids, left) = self.next_unwritten(count_max);
        self.raise_urgency(left);
        for id in ids {
            let first_end = self.unwritten_states.remove(&id).unwrap_or_default();
            let Some(job) = self.jobs.get(&id) else { continue };
            match job.to_state_record().encode() {
                Ok(bytes) => {
                    batch.puts.push((state_key(id), bytes));
                    batch.states.push(id);
                    self.in_flight_writes.add(id, first_end);
                }
                Err(error) => report(id, &error),
            }
        }
    }

    /// Answers the load pattern of machines that move by the dozen each second: a worker that
    /// comes or goes rewrites a part of the workers, not all.
    fn collect_workers(&mut self, batch: &mut WriteBatch) {
        let shards: Vec<WorkerShard> = self.stale_shards.iter().copied().take(SHARDS_MAX).collect();
        for shard in shards {
            self.stale_shards.remove(&shard);
            let members = self.shard_members(shard);
            let named = members.iter().map(|slot| WorkerRecord::from(&self.workers[*slot].entry));
            match encode_workers(&named.collect::<Vec<_>>()) {
                Ok(bytes) => batch.puts.push((workers_key(shard), bytes)),
                Err(error) => return report(0, &error),
            }
            batch.recorded.extend(members);
        }
        if !self.stale_shards.is_empty() {
            self.raise_urgency(WriteUrgency::High);
        }
    }

    fn collect_waves(&mut self, batch: &mut WriteBatch) {
        let waves = self.waves_record();
        if waves == self.waves_written {
            return;
        }
        match serde_json::to_vec(&waves) {
            Ok(bytes) => batch.puts.push((WAVES_KEY.into(), bytes)),
            Err(error) => return report(0, &error.into()),
        }
        self.waves_written = waves;
    }

    fn collect_commanded_machines(&mut self, now: Moment, batch: &mut WriteBatch) {
        let Some(commanded_machines) = self.machine_leases.take_record(now) else { return };
        match serde_json::to_vec(&commanded_machines) {
            Ok(bytes) => batch.puts.push((COMMANDED_MACHINES_KEY.into(), bytes)),
            Err(error) => return report(0, &error.into()),
        }
        batch.commanded_machines = commanded_machines;
    }

    fn collect_waiting(&mut self, now: Moment, batch: &mut WriteBatch) {
        let last = self.waiting_written.as_ref();
        if last.is_some_and(|(at, _)| now.saturating_sub(*at) < WAITING_INTERVAL) {
            return;
        }
        let waiting = self.waiting();
        let is_recent = |at: Moment| now.saturating_sub(at) < WAITING_REFRESH;
        if last.is_some_and(|(at, written)| written.jobs == waiting.jobs && is_recent(*at)) {
            return;
        }
        match serde_json::to_vec(&waiting) {
            Ok(bytes) => batch.puts.push((WAITING_KEY.into(), bytes)),
            Err(error) => return report(0, &error.into()),
        }
        self.waiting_written = Some((now, waiting));
    }

    /// Accepted jobs of which no task has started, by queue.
    fn waiting(&self) -> WaitingRecord {
        let counted_unix_ms = u64::try_from(self.unix.as_millis()).unwrap_or(u64::MAX);
        let mut waiting = WaitingRecord { counted_unix_ms, ..WaitingRecord::default() };
        let jobs = self.jobs.values().filter(|job| job.is_live() && !job.has_started);
        for job in jobs {
            *waiting.jobs.entry(job.record.queue.clone()).or_default() += 1;
        }
        waiting
    }

    fn collect_removals(&mut self, count_max: usize, now: Moment, batch: &mut WriteBatch) {
        while batch.removed.len() < count_max
            && let Some((id, since)) = self.ended.front().copied()
            && self.is_removal_due(since, now)
            && !self.unwritten_states.contains_key(&id)
            && !self.in_flight_writes.contains(id)
        {
            self.ended.pop_front();
            batch.deletions.extend([job_key(id), cancel_key(id), state_key(id)]);
            batch.removed.push(id);
        }
    }

    /// Takes in that a write has taken effect.
    pub fn handle_write_committed(&mut self, batch: &WriteBatch, now: Moment) {
        self.in_flight_writes.end(batch.chain);
        for slot in &batch.recorded {
            self.workers[*slot].is_recorded = true;
            self.mark_worker_service_changed(*slot);
        }
        for id in &batch.removed {
            self.jobs.remove(id);
        }
        for id in &batch.states {
            self.in_flight_writes.remove(*id);
            self.mark_start_stored(*id);
        }
        self.machine_leases.note_stored(&batch.commanded_machines);
        self.note_wave_statuses(&batch.waves);
        self.mark_ends_stored(now);
    }

    fn mark_start_stored(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state != JobState::Queued && !job.is_start_stored {
            job.is_start_stored = true;
            self.changed.insert(job.record.service.clone());
        }
    }

    /// Counts of jobs by what they have come to, for metrics.
    pub fn count_jobs(&self, state: JobState) -> usize {
        self.jobs.values().filter(|job| job.state == state).count()
    }
}

fn encode_workers(known: &[WorkerRecord]) -> Result<Vec<u8>, RecordError> {
    Ok(serde_json::to_vec(known)?)
}

fn report(id: JobId, error: &RecordError) {
    emit!(
        target: LOG_TARGET,
        JobsEvent::RecordNotEncoded,
        job = format_args!("{id:016x}"),
        error = error
    );
}
