//! Runs that a worker reports and this owner did not start.

use std::sync::Arc;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::clients::RunningRun;
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::spec::TaskId;
use crate::throttle::Speed;
use crate::worker::{Run, RunKind, RunPhase};

/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::looks";

impl Scheduler {
    /// Notes that all runs of previous owners on a worker have been reported.
    pub(super) fn confirm_inherited_runs(&mut self, slot: WorkerSlot) {
        let worker = &mut self.workers[slot];
        if worker.has_refused_token || worker.are_inherited_runs_known {
            return;
        }
        worker.are_inherited_runs_known = true;
        self.mark_worker_service_changed(slot);
    }

    /// Adopts a run that this owner did not start; stops it if the task must not run on this
    /// worker.
    pub(super) fn adopt_run(
        &mut self,
        slot: WorkerSlot,
        running_run: RunningRun,
        token: u64,
        now: Moment,
    ) {
        let id = running_run.task;
        self.ensure_occurrence_started(id.step, now);
        self.settle_run(id, running_run.run);
        self.settle_inherited_run(id);
        let job = self.jobs.get_mut(&id.step.job);
        let spec = job.as_ref().and_then(|job| job.spec(id.step.step)).cloned();
        let is_live = job.as_ref().is_some_and(|job| job.is_live());
        let speculative = spec.as_ref().is_some_and(|spec| spec.speculative);
        let (quota_usage, reserved) =
            spec.as_ref().map(|spec| (spec.task_resources, spec.reserved())).unwrap_or_default();
        let kind = spec.as_ref().map(RunKind::from).unwrap_or_default();
        let image = spec.as_ref().and_then(|spec| spec.image.clone());
        let mut should_run = false;
        if let Some(job) = job {
            job.has_started = true;
            if let Some(task) = job.task_mut(id) {
                task.last_run = task.last_run.max(running_run.run);
                should_run =
                    is_live && !task.is_done && (speculative || task.active_runs.is_empty());
                task.active_runs.push(slot);
            }
        }
        let run = Run {
            number: running_run.run,
            phase: RunPhase::Running,
            since: now,
            start_unanswered_at: None,
            possible_crash: None,
            is_adopted: true,
            confirmed: Some(now),
            has_ended: false,
            kind,
            image,
            reserved,
            quota_usage,
            percent: running_run.percent,
            last_progress: now,
            load_metric: running_run.load_metric,
            speed: Speed::ADOPTED,
        };
        self.adjust_team_usage(id.step.job, &run.quota_usage, true);
        let worker = &mut self.workers[slot];
        worker.add(id, run);
        emit!(
            target: LOG_TARGET,
            JobsEvent::RunAdopted,
            task = id,
            run = running_run.run,
            worker = worker.entry.id,
            token = token,
            wanted = should_run
        );
        self.set_checkpoint(id, running_run.checkpoint);
        if !should_run {
            self.stop_run(slot, id, now);
        }
    }

    pub(super) fn set_checkpoint(&mut self, task: TaskId, checkpoint: Option<Arc<str>>) {
        let Some(checkpoint) = checkpoint else { return };
        let job = self.jobs.get_mut(&task.step.job);
        let Some(task) = job.and_then(|job| job.task_mut(task)) else { return };
        if task.checkpoint.as_ref() != Some(&checkpoint) {
            task.checkpoint = Some(checkpoint);
        }
    }
}
