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
    ChainNumber, FIRST_CHAIN, JobState, KnownWorker, ORDERED_KEY, OrderedRecord, RecordError,
    WAITING_KEY, WAVES_KEY, WaitingRecord, WorkerShard, cancel_key, job_key, state_key,
    workers_key,
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

/// How soon something should be written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nobody waits for it.
    #[default]
    None,
    /// Workers keep ends until they are acknowledged.
    Ends,
    /// Starts or callers wait for it.
    Now,
}

/// One write of the owner, and what follows from it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Flush {
    /// The chain of writes to which it belongs.
    pub chain: ChainNumber,
    /// Values to store.
    pub puts: Vec<(Arc<str>, Vec<u8>)>,
    /// Keys to remove.
    pub removals: Vec<Arc<str>>,
    /// Waves whose status is to be stored, with whether they are complete.
    pub waves: Vec<(WaveNumber, bool)>,
    recorded: Vec<WorkerSlot>,
    removed: Vec<JobId>,
    states: Vec<JobId>,
    ordered: OrderedRecord,
}

impl Flush {
    /// Number of states of jobs in it.
    pub fn states(&self) -> usize {
        self.states.len()
    }
}

impl Scheduler {
    /// How soon the next write should be.
    pub fn flush_urgency(&self) -> Urgency {
        match self.holders.is_write_wanted() || self.states_waiting() >= STATES_MANY {
            true => Urgency::Now,
            false => self.flush_urgency,
        }
    }

    /// States that are behind in the store and in no write that is under way.
    fn states_waiting(&self) -> usize {
        self.dirty.keys().filter(|id| !self.under_way.holds(**id)).count()
    }

    pub(super) fn raise_urgency(&mut self, urgency: Urgency) {
        self.flush_urgency = self.flush_urgency.max(urgency);
    }

    /// Whether a write may begin, if there is anything to write.
    pub fn may_write(&self, now: Moment) -> bool {
        self.next_chain(now).is_some()
    }

    fn next_chain(&self, now: Moment) -> Option<ChainNumber> {
        self.under_way.next_chain(|| self.states_waiting() + self.removals_due(now))
    }

    /// Ended jobs that have been kept for their time, as far as they are counted.
    fn removals_due(&self, now: Moment) -> usize {
        let due = self.ended.iter().take_while(|(_, since)| self.is_removal_due(*since, now));
        due.take(REMOVALS_COUNTED_MAX).count()
    }

    fn is_removal_due(&self, ended: Moment, now: Moment) -> bool {
        now.saturating_sub(ended) > self.settings.status_kept
    }

    /// The next write; `None` when the store is up to date, or enough writes are under way.
    ///
    /// Each write that is taken must be given back by [`Self::note_flushed`].
    pub fn take_flush(&mut self, now: Moment) -> Option<Flush> {
        let chain = self.next_chain(now)?;
        let mut flush = Flush { chain, ..Flush::default() };
        match chain {
            FIRST_CHAIN => self.collect_all(now, &mut flush),
            _ => {
                self.collect_states(ENTRIES_MAX, &mut flush);
                let left = ENTRIES_MAX - flush.puts.len();
                self.collect_removals(left / REMOVAL_ENTRIES, now, &mut flush);
            }
        }
        let writes =
            !flush.puts.is_empty() || !flush.removals.is_empty() || !flush.waves.is_empty();
        if !writes {
            // Ends that changed no job may be acknowledged at once.
            self.settle_ends(now);
            return None;
        }
        self.under_way.begin(chain);
        Some(flush)
    }

    fn collect_all(&mut self, now: Moment, flush: &mut Flush) {
        self.flush_urgency = Urgency::None;
        self.collect_workers(flush);
        let others = LISTS_MAX + WAVES_MAX + REMOVALS_MAX * REMOVAL_ENTRIES;
        self.collect_states(ENTRIES_MAX - others - flush.puts.len(), flush);
        self.collect_waves(flush);
        self.collect_ordered(now, flush);
        self.collect_waiting(now, flush);
        self.collect_removals(REMOVALS_MAX, now, flush);
        flush.waves = self.wave_statuses();
        flush.waves.truncate(WAVES_MAX);
    }

    /// Lets ends be acknowledged whose effects are in the store.
    fn settle_ends(&mut self, now: Moment) {
        let dirty = self.dirty.values().min().copied();
        let open_since = dirty.into_iter().chain(self.under_way.first_end()).min();
        let open_since = open_since.unwrap_or(u64::MAX);
        let mut settled = Vec::new();
        self.workers_unstored = 0;
        for slot in self.present.values().copied() {
            let worker = &mut self.workers[slot];
            let had_open = !worker.ends_open.is_empty();
            worker.settle_ends(open_since);
            match worker.ends_open.is_empty() {
                true if had_open => settled.push(slot),
                true => {}
                false => self.workers_unstored += 1,
            }
        }
        for slot in settled {
            self.acknowledge_soon(slot, now);
        }
    }

    /// Jobs whose states are written next, and how soon the others should be.
    ///
    /// Answers the load pattern of hundreds of jobs whose tasks end all the time: states for which
    /// starts or callers wait do not queue behind the progress of others.
    fn next_dirty(&self, count_max: usize) -> (Vec<JobId>, Urgency) {
        let waiting = self.dirty.iter().filter(|(id, _)| !self.under_way.holds(**id));
        let mut ids: Vec<(u64, JobId)> = waiting.map(|(id, behind)| (*behind, *id)).collect();
        ids.sort_unstable();
        let rest = ids.split_off(ids.len().min(OLDEST_STATES));
        let mut rest: Vec<(Urgency, JobId)> =
            rest.into_iter().map(|(_, id)| (self.state_urgency(id), id)).collect();
        rest.sort_by_key(|(urgency, _)| Reverse(*urgency));
        let left = rest.split_off(rest.len().min(count_max - ids.len()));
        let left = left.first().map_or(Urgency::None, |(urgency, _)| *urgency);
        let chosen = ids.into_iter().map(|(_, id)| id).chain(rest.into_iter().map(|(_, id)| id));
        (chosen.collect(), left)
    }

    /// How soon the state of a job that has changed should be written.
    fn state_urgency(&self, id: JobId) -> Urgency {
        let Some(job) = self.jobs.get(&id) else { return Urgency::None };
        match job.waits_for_announcement() || !job.is_live() {
            true => Urgency::Now,
            false => Urgency::Ends,
        }
    }

    fn collect_states(&mut self, count_max: usize, flush: &mut Flush) {
        let (ids, left) = self.next_dirty(count_max);
        self.raise_urgency(left);
        for id in ids {
            let first_end = self.dirty.remove(&id).unwrap_or_default();
            let Some(job) = self.jobs.get(&id) else { continue };
            match job.to_state().encode() {
                Ok(bytes) => {
                    flush.puts.push((state_key(id), bytes));
                    flush.states.push(id);
                    self.under_way.add(id, first_end);
                }
                Err(error) => report(id, &error),
            }
        }
    }

    /// Answers the load pattern of machines that move by the dozen each second: a worker that
    /// comes or goes rewrites a part of the workers, not all.
    fn collect_workers(&mut self, flush: &mut Flush) {
        let shards: Vec<WorkerShard> = self.stale_shards.iter().copied().take(SHARDS_MAX).collect();
        for shard in shards {
            self.stale_shards.remove(&shard);
            let members = self.shard_members(shard);
            let named = members.iter().map(|slot| KnownWorker::from(&self.workers[*slot].entry));
            match encode_workers(&named.collect::<Vec<_>>()) {
                Ok(bytes) => flush.puts.push((workers_key(shard), bytes)),
                Err(error) => return report(0, &error),
            }
            flush.recorded.extend(members);
        }
        if !self.stale_shards.is_empty() {
            self.raise_urgency(Urgency::Now);
        }
    }

    fn collect_waves(&mut self, flush: &mut Flush) {
        let waves = self.waves_record();
        if waves == self.waves_written {
            return;
        }
        match serde_json::to_vec(&waves) {
            Ok(bytes) => flush.puts.push((WAVES_KEY.into(), bytes)),
            Err(error) => return report(0, &error.into()),
        }
        self.waves_written = waves;
    }

    fn collect_ordered(&mut self, now: Moment, flush: &mut Flush) {
        let Some(ordered) = self.holders.take_record(now) else { return };
        match serde_json::to_vec(&ordered) {
            Ok(bytes) => flush.puts.push((ORDERED_KEY.into(), bytes)),
            Err(error) => return report(0, &error.into()),
        }
        flush.ordered = ordered;
    }

    fn collect_waiting(&mut self, now: Moment, flush: &mut Flush) {
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
            Ok(bytes) => flush.puts.push((WAITING_KEY.into(), bytes)),
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

    fn collect_removals(&mut self, count_max: usize, now: Moment, flush: &mut Flush) {
        while flush.removed.len() < count_max
            && let Some((id, since)) = self.ended.front().copied()
            && self.is_removal_due(since, now)
            && !self.dirty.contains_key(&id)
            && !self.under_way.holds(id)
        {
            self.ended.pop_front();
            flush.removals.extend([job_key(id), cancel_key(id), state_key(id)]);
            flush.removed.push(id);
        }
    }

    /// Takes in that a write has taken effect.
    pub fn note_flushed(&mut self, flush: &Flush, now: Moment) {
        self.under_way.end(flush.chain);
        for slot in &flush.recorded {
            self.workers[*slot].is_recorded = true;
            self.mark_changed(*slot);
        }
        for id in &flush.removed {
            self.jobs.remove(id);
        }
        for id in &flush.states {
            self.under_way.remove(*id);
            self.note_announced(*id);
        }
        self.holders.note_stored(&flush.ordered);
        self.note_wave_statuses(&flush.waves);
        self.settle_ends(now);
    }

    fn note_announced(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state != JobState::Queued && !job.is_announced {
            job.is_announced = true;
            self.changed.insert(job.record.service.clone());
        }
    }

    /// Counts of jobs by what they have come to, for metrics.
    pub fn count_jobs(&self, state: JobState) -> usize {
        self.jobs.values().filter(|job| job.state == state).count()
    }
}

fn encode_workers(known: &[KnownWorker]) -> Result<Vec<u8>, RecordError> {
    Ok(serde_json::to_vec(known)?)
}

fn report(id: JobId, error: &RecordError) {
    emit!(JobsEvent::RecordNotEncoded, job = format_args!("{id:016x}"), error = error);
}
