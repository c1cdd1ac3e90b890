//! Records for each job what its ready tasks wait for.

use std::time::Duration;

use cassiafold_platform::Moment;

use super::Scheduler;
use crate::delay::DelayCause;
use crate::job::Job;
use crate::spec::{JobId, StepId};

impl Scheduler {
    /// Adds `time` to the delays of all jobs with waiting tasks. Each job is counted by the first
    /// of its steps that waits.
    pub(super) fn record_delays(&mut self, time: Duration, now: Moment) {
        let mut delayed: Vec<(JobId, DelayCause)> = Vec::new();
        for service in self.waiting_steps.services() {
            let are_inherited_runs_known = self.are_inherited_runs_known(service, now);
            let mut last_job = None;
            for step in self.waiting_steps.of(service) {
                if last_job == Some(step.job) {
                    continue;
                }
                if let Some(cause) = self.delay_cause(step, are_inherited_runs_known, now) {
                    delayed.push((step.job, cause));
                    last_job = Some(step.job);
                }
            }
        }
        for (id, cause) in delayed {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.delays.add(cause, time);
            }
        }
    }

    /// Returns what a step waits for; `None` if none of its tasks is waiting.
    fn delay_cause(
        &self,
        id: StepId,
        are_inherited_runs_known: bool,
        now: Moment,
    ) -> Option<DelayCause> {
        let job = self.jobs.get(&id.job)?;
        let mut waiting = job.step(id)?.tasks.iter().filter(|task| task.is_waiting()).peekable();
        waiting.peek()?;
        Some(if !are_inherited_runs_known && !job.has_no_prior_runs {
            DelayCause::PreviousOwner
        } else if job.awaits_start_write() {
            DelayCause::Store
        } else if waiting.all(|task| task.earliest_start > now) {
            DelayCause::Retry
        } else if !self.is_within_team_quota(id, job.spec(id.step)?) {
            DelayCause::Limit
        } else if self.awaits_policy(id, now) {
            DelayCause::Policy
        } else {
            DelayCause::Capacity
        })
    }

    /// Returns how long after its objective a job ends; 0 if it meets it, `None` for a job without
    /// one.
    pub(super) fn lateness(&self, job: &Job, now: Moment) -> Option<Duration> {
        let occurrence = job.occurrences.values().next()?;
        let spec = &job.record.spec;
        (spec.schedule.is_none() && !spec.is_long_running())
            .then(|| now.saturating_sub(self.objective(job, occurrence)))
    }
}
