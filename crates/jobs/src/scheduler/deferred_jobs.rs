//! Accepted jobs that the owner does not hold, because its memory allows no more.
//!
//! They stay in the store, and are read again in turn: as soon as there is room, and in place of
//! held jobs that have had their turn and of which nothing runs. Jobs that were cancelled, or of
//! which a worker reports a run, are read at once.

mod queue;

use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_event::emit;
use cassiafold_platform::{Moment, Revision};

pub(super) use self::queue::{DeferredJobs, Kept};
use super::Scheduler;
use crate::clients::PollResponse;
use crate::cluster::QueueId;
use crate::event::JobsEvent;
use crate::job::Job;
use crate::job_memory::JobBytes;
use crate::record::{JobRecord, StateRecord};
use crate::spec::{JobId, StepSpec};

/// Time for which a job is held, at least, before another one is held in its place.
const TURN_MIN: Duration = Duration::from_secs(2);
/// Time between two searches for jobs that have had their turn.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the memory for jobs that one search may free.
const FREED_DIVISOR: u64 = 4;
/// Jobs of which the first one that fits is read.
const CANDIDATES_MAX: usize = 32;
/// Jobs that are read at the same time.
const READS_MAX: usize = 16;
/// Pause after a job could not be read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Part of the highest number of deferred jobs below which jobs are accepted again, in percent.
const ACCEPT_AGAIN_PERCENT: usize = 90;
/// Time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the owner knows of a job that it does not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeferredJob {
    /// Queue to which it was submitted.
    pub queue: QueueId,
    /// Service of that queue.
    pub service: ServiceId,
    /// Memory that it would take, in bytes.
    pub bytes: u64,
    /// Whether a task has started.
    pub has_started: bool,
}

impl From<&JobRecord> for DeferredJob {
    /// A job that has not started.
    fn from(record: &JobRecord) -> Self {
        Self {
            queue: record.queue.clone(),
            service: record.service.clone(),
            bytes: JobBytes::from(record).with_occurrences(0, 0),
            has_started: false,
        }
    }
}

impl Scheduler {
    /// Returns whether a job that takes this much memory may be held beside the others. The largest
    /// job may be as soon as the others take less than half.
    fn has_room(&self, bytes: u64) -> bool {
        let held_bytes_max = self.settings.job_memory.held_bytes_max;
        let used = self.held_bytes + self.deferred.in_flight_bytes;
        used.saturating_add(bytes.min(held_bytes_max / 2)) <= held_bytes_max
    }

    /// Returns whether a job that was accepted now must wait for its turn.
    pub(super) fn must_defer(&self, job: &Job) -> bool {
        !self.has_room(job.memory_bytes())
    }

    /// Returns whether the owner can hold another occurrence of a job.
    pub(super) fn has_room_for_occurrence(&self, job: &Job) -> bool {
        job.occurrences.is_empty() || self.has_room(job.occurrence_bytes())
    }

    /// Adds a stored job that is not held.
    pub fn defer_job(&mut self, id: JobId, job: DeferredJob, now: Moment) {
        if self.is_known(id) {
            return;
        }
        let kept =
            Kept { first_seen: now, exceeds_share: false, turns_had: 0, is_unplaceable: false };
        self.insert_deferred(id, job, kept, now);
    }

    /// Returns whether no worker could run the first tasks of a job, whatever else runs there.
    pub(super) fn is_unplaceable(&self, record: &JobRecord) -> bool {
        let slots = self.service_slots(&record.service);
        let can_run = |step: &StepSpec| {
            slots.iter().any(|slot| {
                let worker = &self.workers[*slot].entry;
                let has_label =
                    step.label.as_ref().is_none_or(|label| worker.labels.contains(label));
                has_label && step.reserved().fits(&worker.capacity)
            })
        };
        let mut first_steps = record.spec.steps.iter().filter(|step| step.after.is_empty());
        !first_steps.any(can_run)
    }

    pub(super) fn insert_deferred(&mut self, id: JobId, job: DeferredJob, kept: Kept, now: Moment) {
        let queue = self.config.queues.get(&job.queue);
        let priority = queue.map_or(u32::MAX, |queue| queue.priority);
        self.deferred.insert(id, job, kept, priority);
        if self.early_cancels.contains(&id) {
            self.deferred.urgent.insert(id);
        }
        self.update_full();
        if now.saturating_sub(self.deferred.last_log) >= LOG_INTERVAL {
            self.deferred.last_log = now;
            emit!(
                JobsEvent::JobsDeferred,
                deferred = self.deferred.len(),
                deferred_max = self.settings.job_memory.deferred_max,
                held = self.jobs.len(),
                held_bytes = self.held_bytes,
                held_bytes_max = self.settings.job_memory.held_bytes_max
            );
        }
    }

    /// Reads a deferred job at once, since it was cancelled.
    pub(super) fn want_cancelled(&mut self, id: JobId) {
        if self.deferred.contains(id) && !self.deferred.in_flight.contains(&id) {
            self.deferred.urgent.insert(id);
        }
    }

    /// Returns whether a poll's response tells of runs of jobs that are deferred. It cannot be used
    /// before they are read, which happens at once.
    pub(super) fn awaits_deferred_jobs(&mut self, last_end: u64, response: &PollResponse) -> bool {
        if self.deferred.is_empty() {
            return false;
        }
        let running = response.running.iter().map(|run| run.task.step.job);
        let ended = response.ended.iter().filter(|ended| ended.number > last_end);
        let named = running.chain(ended.map(|ended| ended.task.step.job));
        let deferred: Vec<JobId> = named.filter(|id| self.deferred.contains(*id)).collect();
        for id in &deferred {
            if !self.deferred.in_flight.contains(id) {
                self.deferred.urgent.insert(*id);
            }
        }
        !deferred.is_empty()
    }

    /// Returns the deferred jobs that are to be read now. Each must be passed to
    /// [`Self::add_deferred_job`], [`Self::forget_deferred_job`] or [`Self::keep_deferred`].
    pub fn take_wanted_jobs(&mut self, now: Moment) -> Vec<JobId> {
        let mut wanted = Vec::new();
        if now < self.deferred.paused_until {
            return wanted;
        }
        while self.deferred.in_flight.len() < READS_MAX
            && let Some(id) = self.next_wanted(now)
        {
            self.deferred.start_read(id);
            wanted.push(id);
        }
        wanted
    }

    fn next_wanted(&mut self, now: Moment) -> Option<JobId> {
        if let Some(id) = self.deferred.urgent.first() {
            return Some(*id);
        }
        let (_, bytes) = self.deferred.next().next()?;
        if !self.has_room(bytes) && now >= self.deferred.last_search + SEARCH_INTERVAL {
            self.deferred.last_search = now;
            self.release_ended_jobs(now);
            self.defer_idle_jobs(bytes, now);
        }
        // Where the first one doesn't fit, a smaller one may.
        let fits = |(_, bytes): &(JobId, u64)| self.has_room(*bytes);
        let (id, _) = self.deferred.next().take(CANDIDATES_MAX).find(fits)?;
        self.deferred.takes_oldest = !self.deferred.takes_oldest;
        Some(id)
    }

    /// Defers held jobs that have had their turn and of which nothing runs, to hold others in their
    /// place.
    fn defer_idle_jobs(&mut self, bytes: u64, now: Moment) {
        let mut had_turn: Vec<(Moment, JobId)> = self
            .jobs
            .values()
            .filter(|job| job.is_live() && now >= job.held_since + TURN_MIN)
            .map(|job| (job.held_since, job.id))
            .collect();
        had_turn.sort_unstable();
        let wanted = bytes.max(self.settings.job_memory.held_bytes_max / FREED_DIVISOR);
        let mut freed = 0;
        for (_, id) in had_turn {
            if freed >= wanted {
                return;
            }
            freed += self.defer_if_idle(id, now);
        }
    }

    /// Defers a job of which nothing runs and whose state is stored. Returns the memory that is
    /// freed, in bytes.
    fn defer_if_idle(&mut self, id: JobId, now: Moment) -> u64 {
        let is_stored =
            !self.unwritten_states.contains_key(&id) && !self.in_flight_writes.contains(id);
        if !is_stored || !self.jobs.get(&id).is_some_and(Job::is_idle) {
            return 0;
        }
        let Some(job) = self.remove_job(id) else { return 0 };
        self.ready_steps.remove_job(&job.record.service, id);
        self.waiting_steps.remove_job(&job.record.service, id);
        self.suspects.retain(|task| task.step.job != id);
        self.recurring_jobs.retain(|recurring| *recurring != id);
        self.forget_tickets(id);
        let deferred =
            DeferredJob { has_started: job.has_started, ..DeferredJob::from(&*job.record) };
        let kept = Kept {
            first_seen: job.first_seen,
            exceeds_share: job.exceeds_share,
            turns_had: job.turns_had + 1,
            is_unplaceable: self.is_unplaceable(&job.record),
        };
        self.insert_deferred(id, deferred, kept, now);
        job.memory_bytes()
    }

    /// Adds a deferred job that was read, with its stored state if there is one.
    pub fn add_deferred_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        accepted_revision: Revision,
        stored: Option<&StateRecord>,
        now: Moment,
    ) {
        let Some(kept) = self.deferred.remove(id) else { return };
        self.update_full();
        self.add_job_again(id, record, accepted_revision, stored, kept, now);
        if let Some(stored) = stored {
            self.restore_occurrences(id, stored, now);
        }
    }

    /// Forgets a deferred job that is no longer stored.
    pub fn forget_deferred_job(&mut self, id: JobId) {
        self.deferred.remove(id);
        self.early_cancels.remove(&id);
        self.update_full();
    }

    /// Keeps a deferred job that could not be read.
    pub fn keep_deferred(&mut self, id: JobId, now: Moment) {
        self.deferred.finish_read(id);
        self.deferred.paused_until = now + READ_RETRY_DELAY;
        if self.early_cancels.contains(&id) {
            self.deferred.urgent.insert(id);
        }
    }

    /// Number of jobs that are accepted and not held.
    pub fn deferred_jobs(&self) -> usize {
        self.deferred.len()
    }

    /// Memory of the jobs that are held, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    fn update_full(&mut self) {
        let deferred_max = self.settings.job_memory.deferred_max;
        let limit = match self.deferred.is_full {
            true => deferred_max * ACCEPT_AGAIN_PERCENT / 100,
            false => deferred_max,
        };
        let is_full = self.deferred.len() >= limit.max(1);
        if is_full != self.deferred.is_full {
            self.deferred.is_full = is_full;
            let event = if is_full { JobsEvent::JobsFull } else { JobsEvent::JobsAcceptedAgain };
            emit!(event, deferred = self.deferred.len(), deferred_max = deferred_max);
        }
    }

    /// Returns whether callers wait for the store to be told that no further jobs are accepted, or
    /// that they are again.
    pub(super) fn is_full_write_urgent(&self) -> bool {
        self.deferred.full_stored.unwrap_or(false) != self.deferred.is_full
    }

    /// Whether no further jobs are accepted, if the store may not say so yet.
    pub(super) fn take_full_write(&mut self) -> Option<bool> {
        let is_full = self.deferred.is_full;
        let stored = self.deferred.full_stored.replace(is_full);
        (stored != Some(is_full)).then_some(is_full)
    }
}
