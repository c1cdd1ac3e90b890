//! Availability budgets of steps: how many long-running tasks maintenance may interrupt.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::job::WorkerSlot;
use crate::placement::Candidate;
use crate::spec::{StepSpec, TaskId};
use crate::worker::RunPhase;

/// Added to the longest time that a run takes to end, for stop commands in transit.
const STOP_MARGIN: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Returns whether a worker's machine may go down now without exceeding a budget. With
    /// `wait_for_short_tasks`, short tasks must end first.
    ///
    /// The runs on a worker that has not listed all of its run ends to this owner are unknown until
    /// its lease expires.
    pub(super) fn can_take_down(
        &self,
        slot: WorkerSlot,
        wait_for_short_tasks: bool,
        now: Moment,
    ) -> bool {
        let worker = &self.workers[slot];
        let is_known = worker.has_listed_all() || now >= worker.lease_expires;
        is_known
            && self.workers[slot].runs.iter().all(|(task, _)| {
                let Some(spec) = self.spec(task.step) else { return true };
                if !spec.long_running {
                    return !wait_for_short_tasks;
                }
                self.may_interrupt(*task, slot, now)
            })
    }

    /// Stops long-running tasks on workers whose machines are to be maintained, as fast as the
    /// budgets of their steps allow, so that they restart on workers whose machines are not. A task
    /// on one of `draining` may also restart on a worker that is due for maintenance if several
    /// tasks of its step run together.
    ///
    /// Without it, a machine that hosts tasks of several steps would wait until the budgets of all
    /// these steps allow an interruption at the same moment, and would be maintained last.
    pub(super) fn evict_long_running(
        &mut self,
        slots: &[WorkerSlot],
        draining: &HashSet<WorkerSlot>,
        now: Moment,
    ) {
        let mut targets: HashMap<ServiceId, Vec<Candidate>> = HashMap::new();
        for slot in slots.iter().copied() {
            // The last task may be interrupted by the maintenance itself.
            if self.long_running_tasks(slot).nth(1).is_none() {
                continue;
            }
            let service = self.workers[slot].entry.service.clone();
            let targets =
                targets.entry(service).or_insert_with_key(|service| self.candidates(service, now));
            if let Some(task) = self.take_evictable(slot, draining.contains(&slot), targets, now) {
                self.stop_run(slot, task, now);
            }
        }
    }

    /// Returns the long-running tasks on a worker that are not being stopped.
    fn long_running_tasks(&self, slot: WorkerSlot) -> impl Iterator<Item = TaskId> {
        let runs = self.workers[slot].unended_runs();
        runs.filter(|(_, run)| run.kind.long_running && !run.is_stopping()).map(|(task, _)| *task)
    }

    /// Returns a long-running task of a worker that may be stopped now and fits on one of
    /// `targets`, and deducts its resources there.
    fn take_evictable(
        &self,
        slot: WorkerSlot,
        is_draining: bool,
        targets: &mut [Candidate],
        now: Moment,
    ) -> Option<TaskId> {
        self.long_running_tasks(slot).find(|task| {
            let Some(spec) = self.spec(task.step) else { return false };
            if spec.unavailable_max.is_none() || !self.may_stop(*task, now) {
                return false;
            }
            let same_step = self.long_running_tasks(slot).filter(|other| other.step == task.step);
            let allow_due = is_draining && same_step.count() > 1;
            let target = targets.iter_mut().find(|target| {
                target.slot != slot
                    && (allow_due || !target.is_maintenance_due)
                    && self.can_host(target, *task, spec)
            });
            target.map(|target| target.free = target.free.minus(&spec.reserved())).is_some()
        })
    }

    /// Returns whether a task may be placed on a worker.
    fn can_host(&self, target: &Candidate, task: TaskId, spec: &StepSpec) -> bool {
        let runs = self.workers[target.slot].runs.keys();
        let same_step = runs.filter(|other| other.step == task.step).count();
        spec.reserved().fits(&target.free)
            && spec.per_worker_max.is_none_or(|max| same_step < max as usize)
            && spec.label.as_ref().is_none_or(|label| target.labels.contains(label))
    }

    /// Returns whether one long-running task may be stopped for maintenance.
    fn may_stop(&self, task: TaskId, now: Moment) -> bool {
        self.is_within_budget(task, None, now)
    }

    /// Returns whether a long-running task may be stopped together with all other runs on its
    /// worker.
    fn may_interrupt(&self, task: TaskId, slot: WorkerSlot, now: Moment) -> bool {
        self.is_within_budget(task, Some(slot), now)
    }

    /// Returns whether enough other tasks of a step are available to stop this one. Tasks on
    /// `excluded`, which goes down, count as unavailable, and with it those on machines that go down
    /// before it.
    fn is_within_budget(&self, task: TaskId, excluded: Option<WorkerSlot>, now: Moment) -> bool {
        let Some(budget) = self.spec(task.step).and_then(|spec| spec.unavailable_max) else {
            return true;
        };
        let Some(step) = self.jobs.get(&task.step.job).and_then(|job| job.step(task.step)) else {
            return true;
        };
        let unavailable = (0..).zip(&step.tasks).filter(|(index, other)| {
            let id = TaskId { index: *index, ..task };
            let is_available = |slot: &WorkerSlot| {
                let goes_down = excluded.is_some() && self.is_going_down(&self.workers[*slot]);
                Some(*slot) != excluded && !goes_down && self.is_task_available(*slot, id, now)
            };
            *index != task.index && !other.active_runs.iter().any(is_available)
        });
        u32::try_from(unavailable.count()).unwrap_or(u32::MAX) < budget
    }

    /// Returns whether a long-running task is available. A run that a previous owner stopped may
    /// still be reported as running for a while, and its machine may be commanded away already.
    fn is_task_available(&self, slot: WorkerSlot, task: TaskId, now: Moment) -> bool {
        let worker = &self.workers[slot];
        let Some(run) = worker.runs.get(&task) else { return false };
        let may_be_stopping =
            run.is_adopted && now < run.since + self.settings.stop_grace_period + STOP_MARGIN;
        worker.is_confirmed
            && !worker.is_leaving
            && !self.may_leave(worker, now)
            && !may_be_stopping
            && !run.has_ended
            && run.phase == RunPhase::Running
            && run.percent >= 100
    }
}
