//! Sets of steps by service, updated incrementally so that a pass visits only the relevant steps.

use std::collections::{BTreeSet, HashMap};

use cassiafold_config::ServiceId;

use super::Scheduler;
use crate::spec::{JobId, OccurrenceNumber, StepId, StepNumber};

/// A set of steps for each service.
#[derive(Debug, Default)]
pub(super) struct StepsByService {
    sets: HashMap<ServiceId, BTreeSet<StepId>>,
}

impl StepsByService {
    /// Adds a step.
    pub(super) fn insert(&mut self, service: &ServiceId, step: StepId) {
        match self.sets.get_mut(service) {
            Some(steps) => drop(steps.insert(step)),
            None => drop(self.sets.insert(service.clone(), BTreeSet::from([step]))),
        }
    }

    /// Removes a step.
    pub(super) fn remove(&mut self, service: &str, step: StepId) {
        if let Some(steps) = self.sets.get_mut(service) {
            steps.remove(&step);
        }
    }

    /// Removes all steps of a job.
    pub(super) fn remove_job(&mut self, service: &str, job: JobId) {
        let Some(steps) = self.sets.get_mut(service) else { return };
        let first = StepId { job, occurrence: 0, step: 0 };
        let last = StepId { job, occurrence: OccurrenceNumber::MAX, step: StepNumber::MAX };
        let of_job: Vec<StepId> = steps.range(first..=last).copied().collect();
        for step in of_job {
            steps.remove(&step);
        }
    }

    /// Returns the steps of a service.
    pub(super) fn of(&self, service: &str) -> impl Iterator<Item = StepId> {
        self.sets.get(service).into_iter().flatten().copied()
    }

    /// Returns the services that have steps.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.sets.iter().filter(|(_, steps)| !steps.is_empty()).map(|(service, _)| service)
    }
}

impl Scheduler {
    /// Adds a step that has become ready.
    pub(super) fn mark_step_ready(&mut self, step: StepId) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        if job.step(step).is_some_and(|step| !step.is_done()) {
            self.ready_steps.insert(&job.record.service, step);
            self.waiting_steps.insert(&job.record.service, step);
        }
    }

    /// Removes a step whose tasks are all done.
    pub(super) fn mark_step_done(&mut self, step: StepId) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        self.ready_steps.remove(&job.record.service, step);
        self.waiting_steps.remove(&job.record.service, step);
        self.step_tickets.remove(&step);
    }
}
