//! An occurrence of a job: its steps and tasks.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::Moment;

use super::{ExpectedRunTime, WorkerSlot};
use crate::crash::CrashHistory;
use crate::record::TaskRecord;
use crate::spec::{OccurrenceNumber, RunNumber, StepNumber, StepSpec, TaskNumber};

/// One occurrence of a job: a repetition of its steps.
#[derive(Debug)]
pub struct Occurrence {
    /// When its first steps became due.
    pub due: Moment,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Critical path by the expected run times, over all steps.
    pub critical_path: Duration,
    /// Critical path over the steps that are not done.
    pub critical_path_left: Duration,
    /// Estimated work that is not done, in core-seconds.
    pub work_left: f64,
}

/// A step of an occurrence.
#[derive(Debug)]
pub struct Step {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Whether all steps that it depends on are done.
    pub is_ready: bool,
    /// When it became ready.
    pub ready_since: Moment,
}

/// A task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Whether it is done.
    pub is_done: bool,
    /// Workers on which a run of it is starting, in progress or being stopped.
    pub active_runs: Vec<WorkerSlot>,
    /// Number of its latest run.
    pub last_run: RunNumber,
    /// Runs of it that failed.
    pub failed_runs: Vec<RunNumber>,
    /// Crashes of workers that ran it.
    pub crashes: CrashHistory,
    /// Run on a worker that was lost just after the start. It is presumed to have crashed the worker
    /// unless the run is seen again, or the worker's end.
    pub unsettled_run: Option<RunNumber>,
    /// Number of its last crash among those of the job in this term.
    pub(super) last_crash: u32,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Workers on which it failed or was refused.
    pub avoided_workers: Vec<WorkerSlot>,
    /// Earliest time of its next start.
    pub earliest_start: Moment,
    /// When its last run ended.
    pub last_ended: Option<Moment>,
}

impl Task {
    /// Whether it is neither done nor has an active run.
    pub fn is_waiting(&self) -> bool {
        !self.is_done && self.active_runs.is_empty()
    }

    /// Whether it has state to store.
    fn has_stored_state(&self) -> bool {
        self.is_done
            || self.last_run > 0
            || !self.failed_runs.is_empty()
            || !self.crashes.is_empty()
            || self.unsettled_run.is_some()
    }
}

impl Occurrence {
    /// Recomputes the remaining work and critical path, after tasks became done.
    pub(super) fn update_remaining(&mut self, specs: &[StepSpec], run_times: &[ExpectedRunTime]) {
        self.critical_path = self.longest_path(specs, run_times, true);
        self.critical_path_left = self.longest_path(specs, run_times, false);
        let steps = self.steps.iter().zip(specs).zip(run_times);
        let step_work = steps.map(|((step, spec), run_time)| {
            let tasks_left = spec.tasks.saturating_sub(step.done);
            let cores = f64::from(spec.task_resources.processors_milli) / 1_000.0;
            f64::from(tasks_left) * cores * run_time.time.as_secs_f64()
        });
        self.work_left = step_work.sum();
    }

    /// Critical path by the expected run times; over all steps, or over those that are not done.
    fn longest_path(
        &self,
        specs: &[StepSpec],
        run_times: &[ExpectedRunTime],
        with_done: bool,
    ) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for ((step, spec), run_time) in self.steps.iter().zip(specs).zip(run_times) {
            let dependency_ends =
                spec.after.iter().filter_map(|earlier| ends.get(usize::from(*earlier)));
            let start = dependency_ends.max().copied().unwrap_or_default();
            let duration =
                if step.is_done() && !with_done { Duration::ZERO } else { run_time.time };
            ends.push(start.saturating_add(duration));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Whether every step is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    pub(super) fn collect_task_records(
        &self,
        occurrence: OccurrenceNumber,
        rows: &mut Vec<TaskRecord>,
    ) {
        for (step, contents) in self.steps.iter().enumerate() {
            for (index, task) in contents.tasks.iter().enumerate() {
                if !task.has_stored_state() {
                    continue;
                }
                rows.push(TaskRecord {
                    occurrence,
                    step: StepNumber::try_from(step).unwrap_or(StepNumber::MAX),
                    index: TaskNumber::try_from(index).unwrap_or(TaskNumber::MAX),
                    done: task.is_done,
                    last_run: task.last_run,
                    failed_runs: task.failed_runs.clone(),
                    crashed_soon: task.crashes.soon.clone(),
                    crashed_late: task.crashes.late.clone(),
                    crashes_presumed: task.crashes.presumed.clone(),
                    unsettled_run: task.unsettled_run,
                    checkpoint: task.checkpoint.clone().filter(|_| !task.is_done),
                });
            }
        }
    }
}

impl Step {
    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}
