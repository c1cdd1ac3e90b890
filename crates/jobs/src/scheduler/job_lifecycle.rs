//! Lifecycle of jobs: accepted, cancelled, started on schedule and finished.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{Moment, Revision};

use super::deferred_jobs::{DeferredJob, Kept};
use super::{Scheduler, WriteUrgency};
use crate::arrivals::Work;
use crate::event::JobsEvent;
use crate::job::Job;
use crate::record::{JobRecord, JobState, StateRecord};
use crate::spec::{JobId, JobSizeError, OccurrenceNumber, StepId, StepSpec};

/// Burst that a team may submit before its jobs count as exceeding its weight, in seconds of the
/// weight.
const WEIGHT_BURST_S: f64 = 2.0;
/// Time for which a start command without a response is expected to be carried out, while there is
/// room for what its run would reserve.
const LATE_START_MAX: Duration = Duration::from_secs(2);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::inbox";

impl Scheduler {
    /// Excludes a job whose stored state can't be read: its tasks may be done, and none may run
    /// again.
    pub fn exclude_job(&mut self, id: JobId) {
        self.excluded_jobs.insert(id);
    }

    /// Adds an accepted job, with its stored state if there is one.
    pub fn add_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        accepted_revision: Revision,
        stored: Option<&StateRecord>,
        now: Moment,
    ) {
        if self.is_known(id) {
            return;
        }
        let mut job = Job::new(id, record, accepted_revision, stored, now);
        job.exceeds_share = self.count_submission(&job, now);
        // A job that was cancelled, or is too large, ends at once.
        let ends = !job.is_live()
            || self.early_cancels.contains(&id)
            || job.record.spec.check_size().is_err();
        if !ends && self.must_defer(&job) {
            let deferred =
                DeferredJob { has_started: job.has_started, ..DeferredJob::from(&*job.record) };
            let kept = Kept {
                first_seen: now,
                exceeds_share: job.exceeds_share,
                turns_had: 0,
                is_unplaceable: self.is_unplaceable(&job.record),
            };
            self.insert_deferred(id, deferred, kept, now);
            return;
        }
        self.hold_job(job, stored, now);
    }

    /// Adds a job that was deferred.
    pub(super) fn add_job_again(
        &mut self,
        id: JobId,
        record: JobRecord,
        accepted_revision: Revision,
        stored: Option<&StateRecord>,
        kept: Kept,
        now: Moment,
    ) {
        if self.is_known(id) {
            return;
        }
        let mut job = Job::new(id, record, accepted_revision, stored, now);
        job.exceeds_share = kept.exceeds_share;
        job.first_seen = kept.first_seen;
        job.turns_had = kept.turns_had;
        self.hold_job(job, stored, now);
    }

    /// Whether a job is held, deferred, or must not be added again.
    pub(super) fn is_known(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
            || self.deferred.contains(id)
            || self.forgotten_jobs.contains(&id)
            || self.excluded_jobs.contains(&id)
    }

    fn hold_job(&mut self, mut job: Job, stored: Option<&StateRecord>, now: Moment) {
        let id = job.id;
        if !job.is_live() {
            self.early_cancels.remove(&id);
            self.insert_job(job);
            self.keep_inherited_usage(id, now);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.release(true);
            }
            self.recount_memory(id);
            self.record_end(id, now);
            return;
        }
        // After an outage of the store the cancel may have arrived before the job.
        if self.early_cancels.remove(&id) {
            self.insert_job(job);
            self.finish_job(id, JobState::Cancelled, now);
            return;
        }
        if let Err(error) = job.record.spec.check_size() {
            self.fail_oversized(job, &error, now);
            return;
        }
        if self.run_times.are_learned(&job.record.queue) {
            let queue = job.record.queue.clone();
            job.expect_run_times(|estimate| self.run_times.expected(&queue, estimate));
        }
        if !job.has_no_prior_runs {
            self.note_inherited_job();
        }
        let is_recurring = job.record.spec.schedule.is_some();
        // A job that no previous owner has started uses run numbers from the first one.
        let run_number_base = if job.has_no_prior_runs { 0 } else { self.term.run_number_base };
        if !is_recurring {
            job.start_occurrence(0, stored, run_number_base, now);
            job.set_due(job.first_seen);
        }
        let is_new = job.accepted_revision > self.term.token && job.turns_had == 0;
        if is_new && !job.record.spec.is_long_running() {
            let cores = job.record.spec.steps.iter().map(StepSpec::cores);
            let work =
                Work { core_seconds: job.work_left(0), cores_max: cores.fold(0.0, f64::max) };
            self.arrivals.record(&job.record.service, work, now);
        }
        self.restore_suspects(&job);
        self.insert_job(job);
        match is_recurring {
            true => self.recurring_jobs.push(id),
            false => self.advance_occurrence(id, 0, now),
        }
    }

    /// Adds a job whose state the owner cannot hold, as failed.
    fn fail_oversized(&mut self, job: Job, error: &JobSizeError, now: Moment) {
        let id = job.id;
        self.insert_job(job);
        self.log_oversized(id, error);
        self.finish_job(id, JobState::Failed, now);
    }

    pub(super) fn log_oversized(&self, id: JobId, error: &JobSizeError) {
        let queue = self.jobs.get(&id).map_or("-", |job| &job.record.queue);
        emit!(
            target: LOG_TARGET,
            JobsEvent::JobOversized,
            job = format_args!("{id:016x}"),
            queue = queue,
            reason = error
        );
    }

    /// Adds an ended job of which only the state is stored, so that the state is deleted in time.
    pub fn add_ended_job(&mut self, id: JobId, now: Moment) {
        self.ended_jobs.push_back((id, now));
    }

    fn record_end(&mut self, id: JobId, now: Moment) {
        self.ended_jobs.push_back((id, now));
        self.ended_records.push_back((id, now));
    }

    /// Adds one job to the team's bucket and returns whether the team exceeds its weight.
    fn count_submission(&mut self, job: &Job, now: Moment) -> bool {
        let Some(team) = job.record.team.clone() else { return false };
        let Some(weight) = self.config.teams.get(&team).map(|team| team.weight) else {
            return false;
        };
        if weight <= 0.0 {
            return false;
        }
        let (level, updated_at) = self.team_buckets.entry(team).or_insert((0.0, now));
        let drained = weight * now.saturating_sub(*updated_at).as_secs_f64();
        *level = (*level - drained).max(0.0) + 1.0;
        *updated_at = now;
        *level > (weight * WEIGHT_BURST_S).max(1.0)
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId, now: Moment) {
        if self.forgotten_jobs.contains(&id) {
            return;
        }
        let Some(job) = self.jobs.get(&id) else {
            self.early_cancels.insert(id);
            self.want_cancelled(id);
            return;
        };
        if job.is_live() {
            self.finish_job(id, JobState::Cancelled, now);
        }
    }

    /// Starts the repetitions that are due at the Unix time `now_unix`.
    pub fn start_due_occurrences(&mut self, now_unix: Duration, now: Moment) {
        let mut started: Vec<(JobId, OccurrenceNumber)> = Vec::new();
        for id in self.recurring_jobs.clone() {
            while let Some(number) = self.start_due_occurrence(id, now_unix, now) {
                started.push((id, number));
            }
        }
        for (id, number) in started {
            self.advance_occurrence(id, number, now);
        }
        let jobs = &self.jobs;
        self.recurring_jobs.retain(|id| jobs.get(id).is_some_and(Job::is_live));
    }

    /// Starts the next repetition of a job, if it is due and the owner can hold it.
    fn start_due_occurrence(
        &mut self,
        id: JobId,
        now_unix: Duration,
        now: Moment,
    ) -> Option<OccurrenceNumber> {
        let job = self.jobs.get(&id).filter(|job| job.is_live())?;
        if !self.has_room_for_occurrence(job) {
            return None;
        }
        let job = self.jobs.get_mut(&id)?;
        let number = job.next_due_occurrence(now_unix)?;
        job.start_occurrence(number, None, self.term.run_number_base, now);
        self.recount_memory(id);
        Some(number)
    }

    /// Starts a repetition of which a worker reports a run: a previous owner started it.
    pub(super) fn ensure_occurrence_started(&mut self, step: StepId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&step.job).filter(|job| job.is_live()) else { return };
        let is_recurring = job.record.spec.schedule.is_some();
        let is_known = job.occurrences.contains_key(&step.occurrence);
        let is_of_schedule = step.occurrence < job.record.spec.occurrences();
        if !is_recurring || is_known || !is_of_schedule || !job.may_start_occurrence() {
            return;
        }
        job.start_occurrence(step.occurrence, None, self.term.run_number_base, now);
        self.recount_memory(step.job);
        self.advance_occurrence(step.job, step.occurrence, now);
    }

    /// Restores the repetitions of a scheduled job that a previous owner started.
    pub fn restore_occurrences(&mut self, id: JobId, stored: &StateRecord, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_live()) else { return };
        if job.record.spec.schedule.is_none() {
            return;
        }
        let mut numbers: Vec<_> = stored.tasks.iter().map(|task| task.occurrence).collect();
        numbers.dedup();
        for number in numbers {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.start_occurrence(number, Some(stored), self.term.run_number_base, now);
                self.suspects.extend(job.suspected_tasks());
            }
            self.recount_memory(id);
            self.advance_occurrence(id, number, now);
        }
    }

    /// Marks the steps whose predecessors are done as ready, and finishes a repetition or job that
    /// is done.
    pub(super) fn advance_occurrence(&mut self, id: JobId, number: OccurrenceNumber, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_live()) else { return };
        let service = job.record.service.clone();
        let ready = job.ready_steps(number, now);
        if job.occurrences.get(&number).is_some_and(|occurrence| occurrence.is_done()) {
            job.ended.insert(number);
            let all_ended = job.ended.len() >= job.record.spec.occurrences() as usize;
            self.mark_unwritten(id);
            if all_ended {
                self.finish_job(id, JobState::Completed, now);
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.occurrences.remove(&number);
            }
            self.recount_memory(id);
            return;
        }
        if !ready.is_empty() {
            self.changed_services.insert(service);
        }
        for step in ready {
            self.mark_step_ready(step);
        }
    }

    /// Finishes a job and stops its remaining runs.
    pub(super) fn finish_job(&mut self, id: JobId, state: JobState, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        let lateness = self.lateness(job, now).unwrap_or_default();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let may_run = job.state != JobState::Queued || !job.has_no_prior_runs;
        job.state = state;
        self.keep_inherited_usage(id, now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let service = job.record.service.clone();
        let age = now.saturating_sub(job.first_seen);
        let active_runs = job.active_runs();
        let (queue, delays) = (job.record.queue.clone(), job.delays);
        self.mark_unwritten(id);
        self.raise_write_urgency(WriteUrgency::High);
        emit!(
            target: LOG_TARGET,
            JobsEvent::JobEnded,
            job = format_args!("{id:016x}"),
            state = format_args!("{state:?}"),
            queue = queue,
            age_ms = age.as_millis(),
            late_ms = lateness.as_millis(),
            delays_ms = delays
        );
        for (slot, task) in active_runs {
            self.stop_run(slot, task, now);
        }
        self.ready_steps.remove_job(&service, id);
        self.waiting_steps.remove_job(&service, id);
        self.forget_tickets(id);
        self.record_end(id, now);
        self.changed_services.insert(service);
        self.release_ended_job(id, may_run);
    }

    /// Drops what an ended job without runs is no longer needed for. One that has runs is dropped
    /// with its record.
    pub(super) fn release_ended_job(&mut self, id: JobId, may_run: bool) {
        let has_room = self.held_bytes <= self.settings.job_memory.held_bytes_max;
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_idle()) {
            job.release(may_run && has_room);
        }
        self.recount_memory(id);
    }

    /// Drops the rest of the jobs that ended some time ago, since others need the memory.
    pub(super) fn release_ended_jobs(&mut self, now: Moment) {
        let is_old = |since: &Moment| now >= *since + LATE_START_MAX;
        let ended = self.ended_records.iter().take_while(|(_, since)| is_old(since));
        let ended: Vec<JobId> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            if self.jobs.get(&id).is_some_and(|job| !job.is_live()) {
                self.release_ended_job(id, false);
            }
        }
    }

    fn insert_job(&mut self, job: Job) {
        let id = job.id;
        self.jobs.insert(id, job);
        self.recount_memory(id);
    }

    pub(super) fn remove_job(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.held_bytes -= job.counted_bytes;
        Some(job)
    }

    /// Counts the memory of a job anew.
    fn recount_memory(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let bytes = job.memory_bytes();
        self.held_bytes = self.held_bytes - job.counted_bytes + bytes;
        job.counted_bytes = bytes;
    }

    /// Forgets an ended job whose record is deleted, all but its id: a change of the store that
    /// arrives late must not add the job again.
    pub(super) fn forget_ended_job(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| !job.is_live()) {
            self.remove_job(id);
            self.forgotten_jobs.insert(id);
        }
    }
}
