//! Notes for each job what its ready tasks wait for.

use std::time::Duration;

use cassiafold_platform::Moment;

use super::Scheduler;
use crate::delay::DelayCause;
use crate::job::Job;
use crate::spec::{JobId, StepId};

impl Scheduler {
    /// Takes in that what waits now has waited for `time`. A job counts with one of its steps.
    pub(super) fn note_delays(&mut self, time: Duration, now: Moment) {
        let mut noted: Vec<(JobId, DelayCause)> = Vec::new();
        for service in self.waiting_steps.services() {
            let is_certain = self.is_certain(service, now);
            let mut last = None;
            for step in self.waiting_steps.of(service) {
                if last == Some(step.job) {
                    continue;
                }
                if let Some(cause) = self.delay_cause(step, is_certain, now) {
                    noted.push((step.job, cause));
                    last = Some(step.job);
                }
            }
        }
        for (id, cause) in noted {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.delays.add(cause, time);
            }
        }
    }

    /// What a step waits for; `None` if none of its tasks waits.
    fn delay_cause(&self, id: StepId, is_certain: bool, now: Moment) -> Option<DelayCause> {
        let job = self.jobs.get(&id.job)?;
        let mut waiting = job.step(id)?.tasks.iter().filter(|task| task.is_waiting()).peekable();
        waiting.peek()?;
        Some(if !is_certain && !job.is_untouched {
            DelayCause::FormerOwner
        } else if job.waits_for_announcement() {
            DelayCause::Store
        } else if waiting.all(|task| task.not_before > now) {
            DelayCause::Retry
        } else if !self.team_admits(id, job.spec(id.step)?) {
            DelayCause::Limit
        } else {
            DelayCause::Room
        })
    }

    /// How long after its objective a job ends; 0 if it meets it. `None` for a job without one.
    pub(super) fn lateness(&self, job: &Job, now: Moment) -> Option<Duration> {
        let occurrence = job.occurrences.values().next()?;
        let spec = &job.record.spec;
        (spec.schedule.is_none() && !spec.is_long_running())
            .then(|| now.saturating_sub(self.objective(job, occurrence)))
    }
}
