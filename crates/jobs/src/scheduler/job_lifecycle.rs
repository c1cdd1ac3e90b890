//! Jobs that are accepted, cancelled and due.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{Moment, Revision};

use super::{Scheduler, WriteUrgency};
use crate::arrivals::Work;
use crate::event::JobsEvent;
use crate::job::Job;
use crate::record::{JobRecord, JobState, StateRecord};
use crate::spec::{JobId, OccurrenceNumber, StepId, StepSpec};

/// Seconds of its weight that a team may send at once before its jobs count as beyond it.
const WEIGHT_BURST_S: f64 = 2.0;
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::inbox";

impl Scheduler {
    /// Adds an accepted job, with its stored state where it has one.
    pub fn add_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        accepted_revision: Revision,
        stored: Option<&StateRecord>,
        now: Moment,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(id, record, accepted_revision, stored, now);
        job.exceeds_share = self.exceeds_share(&job, now);
        if !job.is_live() {
            self.jobs.insert(id, job);
            self.ended.push_back((id, now));
            return;
        }
        let repeats = job.record.spec.schedule.is_some();
        // A job that no earlier owner has touched starts with the first number.
        let run_number_base = if job.has_no_prior_runs { 0 } else { self.term.run_number_base };
        if !repeats {
            job.start_occurrence(0, stored, run_number_base, now);
        }
        if accepted_revision > self.term.token && !job.record.spec.is_long_running() {
            let cores = job.record.spec.steps.iter().map(StepSpec::cores);
            let work =
                Work { core_seconds: job.work_left(0), cores_max: cores.fold(0.0, f64::max) };
            self.arrivals.record(&job.record.service, work, now);
        }
        self.jobs.insert(id, job);
        match repeats {
            true => self.scheduled.push(id),
            false => self.advance_occurrence(id, 0, now),
        }
        // After an outage of the store its cancel may have come first.
        if self.early_cancels.remove(&id) {
            self.cancel(id, now);
        }
    }

    /// Raises the level of the job's team by one job and tells whether it exceeds its weight.
    fn exceeds_share(&mut self, job: &Job, now: Moment) -> bool {
        let Some(team) = job.record.team.clone() else { return false };
        let Some(weight) = self.config.teams.get(&team).map(|team| team.weight) else {
            return false;
        };
        if weight <= 0.0 {
            return false;
        }
        let (level, at) = self.team_levels.entry(team).or_insert((0.0, now));
        let drained = weight * now.saturating_sub(*at).as_secs_f64();
        *level = (*level - drained).max(0.0) + 1.0;
        *at = now;
        *level > (weight * WEIGHT_BURST_S).max(1.0)
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id) else {
            self.early_cancels.insert(id);
            return;
        };
        if job.is_live() {
            self.finish_job(id, JobState::Cancelled, now);
        }
    }

    /// Begins the repetitions that are due at a time of day.
    pub fn start_due_occurrences(&mut self, unix: Duration, now: Moment) {
        let mut begun: Vec<(JobId, OccurrenceNumber)> = Vec::new();
        for id in &self.scheduled {
            let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_live()) else { continue };
            let Some(schedule) = job.record.spec.schedule else { continue };
            for number in 0..schedule.occurrences {
                if schedule.due_unix(number) > unix {
                    break;
                }
                let known = job.occurrences.contains_key(&number) || job.ended.contains(&number);
                if !known {
                    job.start_occurrence(number, None, self.term.run_number_base, now);
                    begun.push((*id, number));
                }
            }
        }
        for (id, number) in begun {
            self.advance_occurrence(id, number, now);
        }
        let jobs = &self.jobs;
        self.scheduled.retain(|id| jobs.get(id).is_some_and(Job::is_live));
    }

    /// Begins a repetition of which a worker knows a run: an earlier owner had begun it.
    pub(super) fn ensure_occurrence_started(&mut self, step: StepId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&step.job).filter(|job| job.is_live()) else { return };
        let repeats = job.record.spec.schedule.is_some();
        let is_known = job.occurrences.contains_key(&step.occurrence);
        if !repeats || is_known || step.occurrence >= job.record.spec.occurrences() {
            return;
        }
        job.start_occurrence(step.occurrence, None, self.term.run_number_base, now);
        self.advance_occurrence(step.job, step.occurrence, now);
    }

    /// Restores repetitions of a scheduled job that had begun under an earlier owner.
    pub fn restore_occurrences(&mut self, id: JobId, stored: &StateRecord, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_live()) else { return };
        if job.record.spec.schedule.is_none() {
            return;
        }
        let mut numbers: Vec<_> = stored.tasks.iter().map(|row| row.occurrence).collect();
        numbers.dedup();
        for number in numbers {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.start_occurrence(number, Some(stored), self.term.run_number_base, now);
            }
            self.advance_occurrence(id, number, now);
        }
    }

    /// Lets the steps start whose predecessors are done, and ends what is done.
    pub(super) fn advance_occurrence(&mut self, id: JobId, number: OccurrenceNumber, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_live()) else { return };
        let service = job.record.service.clone();
        let ready = job.ready_steps(number, now);
        if job.occurrences.get(&number).is_some_and(|occurrence| occurrence.is_done()) {
            job.ended.push(number);
            let all_ended = job.ended.len() >= job.record.spec.occurrences() as usize;
            self.mark_unwritten(id);
            if all_ended {
                self.finish_job(id, JobState::Completed, now);
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.occurrences.remove(&number);
            }
            return;
        }
        if !ready.is_empty() {
            self.changed.insert(service);
        }
        for step in ready {
            self.mark_step_ready(step);
        }
    }

    /// Ends a job and stops what still runs of it.
    pub(super) fn finish_job(&mut self, id: JobId, state: JobState, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        let late = self.lateness(job, now).unwrap_or_default();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = state;
        let service = job.record.service.clone();
        let age = now.saturating_sub(job.first_seen);
        let active_runs = job.active_runs();
        let (queue, delays) = (job.record.queue.clone(), job.delays);
        self.mark_unwritten(id);
        self.raise_urgency(WriteUrgency::High);
        emit!(
            target: LOG_TARGET,
            JobsEvent::JobEnded,
            job = format_args!("{id:016x}"),
            state = format_args!("{state:?}"),
            queue = queue,
            age_ms = age.as_millis(),
            late_ms = late.as_millis(),
            delays_ms = delays
        );
        for (slot, task) in active_runs {
            self.stop_run(slot, task, now);
        }
        self.ready.remove_job(&service, id);
        self.waiting_steps.remove_job(&service, id);
        self.tickets.retain(|step, _| step.job != id);
        self.ended.push_back((id, now));
        self.changed.insert(service);
    }
}
