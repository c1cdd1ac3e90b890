//! Handles run ends: task results, failures, and released resources.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::clients::{EndedRun, RunEnd};
use crate::event::JobsEvent;
use crate::job::{Task, WorkerSlot};
use crate::record::JobState;
use crate::spec::{JobId, Resources, StepId, TaskId};
use crate::worker::Run;

/// Number of recent run ends kept per worker, to distinguish a faulty worker from a faulty job.
const RECENT_ENDS_MAX: usize = 8;
/// Delay before a failed task is retried.
const FAILED_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::ends";

impl Scheduler {
    /// Handles the end of a run.
    pub(super) fn handle_run_end(&mut self, slot: WorkerSlot, ended_run: &EndedRun, now: Moment) {
        let is_known = self.workers[slot]
            .runs
            .get(&ended_run.task)
            .is_some_and(|run| run.number == ended_run.run);
        if is_known {
            self.record_run_time(slot, ended_run, now);
            self.release_run(slot, ended_run.task, now);
        } else {
            self.settle_inherited_run(ended_run.task);
        }
        self.settle_run(ended_run.task, ended_run.run);
        let Some(job) = self.jobs.get_mut(&ended_run.task.step.job) else { return };
        job.has_started = true;
        if let Some(task) = job.task_mut(ended_run.task) {
            task.last_run = task.last_run.max(ended_run.run);
            if ended_run.checkpoint.is_some() {
                task.checkpoint = ended_run.checkpoint.clone();
            }
        }
        match ended_run.end {
            RunEnd::Done => self.complete_task(ended_run.task, now),
            RunEnd::Failed => self.fail_task(slot, ended_run, now),
            RunEnd::Stopped | RunEnd::Expired | RunEnd::Broken | RunEnd::Alone => {
                emit!(
                    target: LOG_TARGET,
                    JobsEvent::RunEnded,
                    task = ended_run.task,
                    run = ended_run.run,
                    end = format_args!("{:?}", ended_run.end)
                );
            }
        }
        if matches!(ended_run.end, RunEnd::Done | RunEnd::Failed) {
            let worker = &mut self.workers[slot];
            worker.recent_ends.push((ended_run.task.step.job, ended_run.end == RunEnd::Failed));
            let excess = worker.recent_ends.len().saturating_sub(RECENT_ENDS_MAX);
            worker.recent_ends.drain(..excess);
        }
    }

    fn record_run_time(&mut self, slot: WorkerSlot, ended_run: &EndedRun, now: Moment) {
        let Some(run) = self.workers[slot].runs.get(&ended_run.task) else { return };
        let elapsed = now.saturating_sub(run.confirmed.unwrap_or(run.since));
        let step = ended_run.task.step;
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let Some(spec) = job.spec(step.step) else { return };
        if ended_run.end != RunEnd::Done || spec.long_running {
            return;
        }
        let estimate = spec.estimate;
        self.run_time_ratio.record(job.run_time(step.step), elapsed);
        let queue = job.record.queue.clone();
        if self.run_times.are_learned(&queue) {
            job.learn_run_time(step.step, elapsed);
        }
        self.run_times.record(&queue, estimate, elapsed);
    }

    fn complete_task(&mut self, id: TaskId, now: Moment) {
        let job_id = id.step.job;
        let Some(job) = self.jobs.get_mut(&job_id).filter(|job| job.is_live()) else { return };
        let Some(spec) = job.spec(id.step.step) else { return };
        if spec.long_running {
            self.mark_job_service_changed(job_id);
            return;
        }
        let is_gang = spec.gang;
        let Some(step) = job.step_mut(id.step) else { return };
        let members =
            if is_gang { 0..step.tasks.len() } else { id.index as usize..id.index as usize + 1 };
        let mut active_runs: Vec<(WorkerSlot, TaskId)> = Vec::new();
        for index in members {
            let Some(task) = step.tasks.get_mut(index).filter(|task| !task.is_done) else {
                continue;
            };
            task.is_done = true;
            step.done += 1;
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            active_runs.extend(task.active_runs.iter().map(|slot| (*slot, TaskId { index, ..id })));
        }
        let is_done = step.is_done();
        job.update_remaining(id.step.occurrence);
        self.mark_unwritten(job_id);
        for (slot, task) in active_runs {
            self.stop_run(slot, task, now);
        }
        if is_done {
            self.mark_step_done(id.step);
            self.advance_occurrence(job_id, id.step.occurrence, now);
        }
    }

    fn fail_task(&mut self, slot: WorkerSlot, ended_run: &EndedRun, now: Moment) {
        let id = ended_run.task;
        let attempts_max = self.attempts_max(id.step.job);
        let Some(job) = self.jobs.get_mut(&id.step.job).filter(|job| job.is_live()) else { return };
        let Some(spec) = job.spec(id.step.step) else { return };
        let (long_running, is_gang) = (spec.long_running, spec.gang);
        // The failures of a gang are counted on its first member.
        let counted_task = if is_gang { TaskId { index: 0, ..id } } else { id };
        let Some(task) = job.task_mut(counted_task).filter(|task| !task.is_done) else { return };
        if !task.failed_runs.contains(&ended_run.run) {
            task.failed_runs.push(ended_run.run);
        }
        let failures = task.failed_runs.len();
        if long_running {
            task.failed_runs.clear();
        }
        if let Some(task) = job.task_mut(id) {
            task.avoided_workers.push(slot);
            task.earliest_start = now + FAILED_RETRY_DELAY;
        }
        self.mark_unwritten(id.step.job);
        emit!(
            target: LOG_TARGET,
            JobsEvent::RunFailed,
            task = id,
            run = ended_run.run,
            worker = self.workers[slot].entry.id,
            failures = failures,
            attempts_max = attempts_max
        );
        if !long_running && failures >= attempts_max as usize {
            self.finish_job(id.step.job, JobState::Failed, now);
        }
        self.mark_job_service_changed(id.step.job);
    }

    /// Returns how often a task of a job may fail before the job fails: as its queue had it when
    /// the job was accepted. Unlimited if neither the record nor a known queue tells.
    fn attempts_max(&self, job: JobId) -> u32 {
        let Some(job) = self.jobs.get(&job) else { return u32::MAX };
        let known = || self.queue_of(job).map(|queue| queue.attempts_max);
        job.record.attempts_max.or_else(known).map_or(u32::MAX, |attempts| attempts.max(1))
    }

    /// Removes a run that has ended or never started.
    pub(super) fn release_run(&mut self, slot: WorkerSlot, task: TaskId, now: Moment) {
        let Some(run) = self.workers[slot].remove(task) else { return };
        if run.is_stopping() {
            self.stops.forget_run(task.step.job);
        }
        self.workers[slot].last_run_ended = Some(now);
        self.adjust_team_usage(task.step.job, &run.quota_usage, false);
        self.mark_worker_service_changed(slot);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if let Some(entry) = job.task_mut(task) {
            entry.active_runs.retain(|other| *other != slot);
            entry.last_ended = Some(now);
        }
        let is_ready = job.is_live() && job.step(task.step).is_some_and(|step| step.is_ready);
        if is_ready && job.task(task).is_some_and(Task::is_waiting) {
            self.waiting_steps.insert(&job.record.service, task.step);
        }
        let has_ended = !job.is_live();
        self.mark_job_service_changed(task.step.job);
        if has_ended {
            self.release_ended_job(task.step.job, true);
        }
    }

    /// Removes all runs of a worker.
    pub(super) fn release_all_runs(&mut self, slot: WorkerSlot, now: Moment) {
        self.release_runs_if(slot, now, |_| true);
    }

    /// Removes the runs of a worker for which `is_released` holds.
    pub(super) fn release_runs_if(
        &mut self,
        slot: WorkerSlot,
        now: Moment,
        is_released: impl Fn(&Run) -> bool,
    ) {
        let runs = self.workers[slot].runs.iter().filter(|(_, run)| is_released(run));
        let tasks: Vec<TaskId> = runs.map(|(task, _)| *task).collect();
        for task in tasks {
            self.mark_unwritten(task.step.job);
            self.release_run(slot, task, now);
        }
    }

    pub(super) fn mark_job_service_changed(&mut self, job: JobId) {
        if let Some(job) = self.jobs.get(&job) {
            self.changed_services.insert(job.record.service.clone());
        }
    }

    /// Adds a run's resources to the usage of its team, or subtracts them.
    pub(super) fn adjust_team_usage(&mut self, job: JobId, amount: &Resources, is_added: bool) {
        let Some(team) = self.jobs.get(&job).and_then(|job| job.record.team.clone()) else {
            return;
        };
        let used = self.team_usage.entry(team).or_default();
        *used = if is_added { used.plus(amount) } else { used.minus(amount) };
    }

    /// Returns whether no task of a step has a run in any phase.
    pub(super) fn is_step_idle(&self, step: StepId) -> bool {
        let step = self.jobs.get(&step.job).and_then(|job| job.step(step));
        step.is_some_and(|step| step.tasks.iter().all(|task| task.active_runs.is_empty()))
    }
}
