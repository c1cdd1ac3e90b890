//! Availability budgets of steps: what may be ended by the fleet's own action.

use std::time::Duration;

use cassiafold_platform::Moment;

use super::Scheduler;
use crate::job::WorkerSlot;
use crate::spec::TaskId;
use crate::worker::RunPhase;

/// Added to the longest time that a run takes to end, for orders on their way.
const STOP_MARGIN: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Whether a worker's machine may go down now without breaking a budget.
    ///
    /// What runs on a worker that has not answered this owner is not known until its lease is
    /// over.
    pub(super) fn may_take_down(&self, slot: WorkerSlot, patient: bool, now: Moment) -> bool {
        let worker = &self.workers[slot];
        let is_known = worker.was_confirmed || now >= worker.expires;
        is_known
            && self.workers[slot].runs.iter().all(|(task, _)| {
                let Some(spec) = self.spec(task.step) else { return true };
                if !spec.long_running {
                    return !patient;
                }
                self.may_interrupt(*task, slot, now)
            })
    }

    /// Lets a long-running task end early on a machine that is emptied, where too many of its
    /// step run there for the machine to go down at once.
    pub(super) fn thin_out(&mut self, slot: WorkerSlot, now: Moment) {
        let tasks: Vec<TaskId> = self.workers[slot].runs.keys().copied().collect();
        let crowded = tasks.iter().copied().find(|task| {
            let others = tasks.iter().filter(|other| other.step == task.step).count();
            let is_budgeted =
                self.spec(task.step).is_some_and(|spec| spec.unavailable_max.is_some());
            is_budgeted
                && others > 1
                && self.may_stop(*task, now)
                && self.has_place(*task, slot, now)
        });
        if let Some(task) = crowded {
            self.stop_run(slot, task, now);
        }
    }

    /// Whether another worker of the service has room for a task.
    fn has_place(&self, task: TaskId, slot: WorkerSlot, now: Moment) -> bool {
        let Some(spec) = self.spec(task.step) else { return false };
        let service = &self.workers[slot].entry.service;
        self.candidates(service, now).iter().any(|candidate| {
            let others = self.workers[candidate.slot].runs.keys();
            let same_step = others.filter(|other| other.step == task.step).count();
            let most = spec.per_worker_max.map_or(usize::MAX, |most| most as usize);
            candidate.slot != slot
                && spec.reserved().fits(&candidate.free)
                && same_step < most
                && spec.label.as_ref().is_none_or(|label| candidate.labels.contains(label))
        })
    }

    /// Whether one long-running task may be stopped by the fleet's own action.
    fn may_stop(&self, task: TaskId, now: Moment) -> bool {
        self.within_budget(task, None, now)
    }

    /// Whether a long-running task may be ended together with all else on its worker.
    fn may_interrupt(&self, task: TaskId, slot: WorkerSlot, now: Moment) -> bool {
        self.within_budget(task, Some(slot), now)
    }

    /// Whether enough other tasks of a step are at work for one to be ended, beside those on
    /// `lost`.
    fn within_budget(&self, task: TaskId, lost: Option<WorkerSlot>, now: Moment) -> bool {
        let Some(budget) = self.spec(task.step).and_then(|spec| spec.unavailable_max) else {
            return true;
        };
        let Some(step) = self.jobs.get(&task.step.job).and_then(|job| job.step(task.step)) else {
            return true;
        };
        let away = (0..).zip(&step.tasks).filter(|(index, other)| {
            let id = TaskId { index: *index, ..task };
            let at_work =
                |slot: &WorkerSlot| Some(*slot) != lost && self.is_at_work(*slot, id, now);
            *index != task.index && !other.copies.iter().any(at_work)
        });
        u32::try_from(away.count()).unwrap_or(u32::MAX) < budget
    }

    /// Whether a long-running task is available. One that an earlier owner ordered to end is still
    /// listed as running for a while.
    fn is_at_work(&self, slot: WorkerSlot, task: TaskId, now: Moment) -> bool {
        let worker = &self.workers[slot];
        let Some(run) = worker.runs.get(&task) else { return false };
        let may_be_ending =
            run.is_adopted && now < run.since + self.settings.stop_max + STOP_MARGIN;
        worker.is_confirmed
            && !worker.is_leaving
            && !may_be_ending
            && run.phase == RunPhase::Running
            && run.percent >= 100
    }
}
