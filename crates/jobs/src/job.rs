//! A job in the owner's memory: which tasks wait, run and are done.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{Moment, Revision};

use crate::delay::Delays;
use crate::record::{JobRecord, JobState, StateRecord, TaskRecord};
use crate::spec::{
    JobId, OccurrenceNumber, RunNumber, StepId, StepNumber, StepSpec, TaskId, TaskNumber,
};

/// Position of a worker's life in the owner's list.
pub type WorkerSlot = usize;

/// An accepted job.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// The job as accepted.
    pub record: Arc<JobRecord>,
    /// Revision at which it was accepted.
    pub accepted_revision: Revision,
    /// When the owner first saw it.
    pub first_seen: Moment,
    /// What it has come to.
    pub state: JobState,
    /// Whether a worker has begun some task.
    pub has_started: bool,
    /// Whether the store says that tasks may have been started. None is before it does, so that
    /// a later owner can tell which jobs nobody has touched.
    pub is_start_stored: bool,
    /// Whether nothing of it can have been started before this tenure.
    pub has_no_prior_runs: bool,
    /// Whether its team had sent more than its weight allows when the job came.
    pub exceeds_share: bool,
    /// What its ready tasks have waited for.
    pub delays: Delays,
    /// Repetitions that were due and have not ended.
    pub occurrences: BTreeMap<OccurrenceNumber, Occurrence>,
    /// Repetitions that have ended.
    pub ended: Vec<OccurrenceNumber>,
}

/// One repetition of a job's steps.
#[derive(Debug)]
pub struct Occurrence {
    /// When its tasks could first start.
    pub due: Moment,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Longest chain of estimated run times of all its steps.
    pub critical_path: Duration,
    /// Longest such chain of the steps that are not done.
    pub critical_path_left: Duration,
    /// Estimated work that is not done, in core-seconds.
    pub work_left: f64,
}

/// A step of a repetition.
#[derive(Debug)]
pub struct Step {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Whether all earlier steps that it waits for are done.
    pub is_ready: bool,
    /// When it became ready.
    pub ready_since: Moment,
}

/// A task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Whether it is done.
    pub is_done: bool,
    /// Workers on which a run of it is ordered, in progress or being stopped.
    pub active_runs: Vec<WorkerSlot>,
    /// Number of its last run.
    pub last_run: RunNumber,
    /// Runs that failed.
    pub failed_runs: Vec<RunNumber>,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Workers to avoid, since it failed or was refused there.
    pub avoided_workers: Vec<WorkerSlot>,
    /// When it may be started at the earliest.
    pub earliest_start: Moment,
    /// When its last run ended.
    pub last_ended: Option<Moment>,
}

impl Task {
    /// Whether it has neither ended nor any run in progress.
    pub fn is_waiting(&self) -> bool {
        !self.is_done && self.active_runs.is_empty()
    }

    /// Whether there is anything to keep about it.
    fn has_history(&self) -> bool {
        self.is_done || self.last_run > 0 || !self.failed_runs.is_empty()
    }
}

impl Job {
    /// A job as read from the store, with its state where one was stored.
    pub fn new(
        id: JobId,
        record: JobRecord,
        accepted_revision: Revision,
        state: Option<&StateRecord>,
        now: Moment,
    ) -> Self {
        let stored = state.map_or(JobState::Queued, |state| state.state);
        Self {
            id,
            record: Arc::new(record),
            accepted_revision,
            first_seen: now,
            state: stored,
            has_started: state.is_some_and(StateRecord::has_started_task),
            is_start_stored: stored != JobState::Queued,
            has_no_prior_runs: stored == JobState::Queued,
            exceeds_share: false,
            delays: Delays::default(),
            occurrences: BTreeMap::new(),
            ended: state.map(|state| state.ended.clone()).unwrap_or_default(),
        }
    }

    /// Whether the job still has work to do.
    pub fn is_live(&self) -> bool {
        !self.state.is_final()
    }

    /// Whether its tasks may start as soon as the store says so.
    pub fn awaits_start_write(&self) -> bool {
        self.state == JobState::Running && !self.is_start_stored
    }

    /// Begins a repetition, with what the store holds of its tasks.
    pub fn start_occurrence(
        &mut self,
        number: OccurrenceNumber,
        stored: Option<&StateRecord>,
        run_number_base: RunNumber,
        now: Moment,
    ) {
        if self.ended.contains(&number) || self.occurrences.contains_key(&number) {
            return;
        }
        let make = |step: &StepSpec| Step {
            tasks: vec![Task { last_run: run_number_base, ..Task::default() }; step.tasks as usize],
            done: 0,
            is_ready: false,
            ready_since: now,
        };
        let steps = self.record.spec.steps.iter().map(make).collect();
        let mut occurrence = Occurrence {
            due: now,
            steps,
            critical_path: Duration::ZERO,
            critical_path_left: Duration::ZERO,
            work_left: 0.0,
        };
        let records = stored.map_or(&[][..], |state| &state.tasks);
        for row in records.iter().filter(|row| row.occurrence == number) {
            let Some(step) = occurrence.steps.get_mut(usize::from(row.step)) else { continue };
            let Some(task) = step.tasks.get_mut(row.index as usize) else { continue };
            task.is_done = row.done;
            task.last_run = row.last_run.max(run_number_base);
            task.failed_runs = row.failed_runs.clone();
            task.checkpoint = row.checkpoint.clone();
            step.done += u32::from(row.done);
        }
        occurrence.update_remaining(&self.record.spec.steps);
        self.occurrences.insert(number, occurrence);
    }

    /// Marks the steps whose predecessors are done as ready and returns them.
    pub fn ready_steps(&mut self, number: OccurrenceNumber, now: Moment) -> Vec<StepId> {
        let Some(occurrence) = self.occurrences.get_mut(&number) else { return Vec::new() };
        let done: Vec<bool> = occurrence.steps.iter().map(Step::is_done).collect();
        let mut ready = Vec::new();
        let specs = self.record.spec.steps.iter();
        for (position, (step, spec)) in occurrence.steps.iter_mut().zip(specs).enumerate() {
            let free =
                spec.after.iter().all(|earlier| done.get(usize::from(*earlier)) == Some(&true));
            if step.is_ready || !free {
                continue;
            }
            step.is_ready = true;
            step.ready_since = now;
            let step = StepNumber::try_from(position).unwrap_or(StepNumber::MAX);
            ready.push(StepId { job: self.id, occurrence: number, step });
        }
        ready
    }

    /// A task.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id.step)?.tasks.get(id.index as usize)
    }

    /// A task, to be changed.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// A step.
    pub fn step(&self, id: StepId) -> Option<&Step> {
        self.occurrences.get(&id.occurrence)?.steps.get(usize::from(id.step))
    }

    /// A step, to be changed.
    pub fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        self.occurrences.get_mut(&id.occurrence)?.steps.get_mut(usize::from(id.step))
    }

    /// Works out anew what is left of a repetition.
    pub fn update_remaining(&mut self, number: OccurrenceNumber) {
        if let Some(occurrence) = self.occurrences.get_mut(&number) {
            occurrence.update_remaining(&self.record.spec.steps);
        }
    }

    /// Estimated work of a repetition that is not done, in core-seconds.
    pub fn work_left(&self, number: OccurrenceNumber) -> f64 {
        self.occurrences.get(&number).map_or(0.0, |occurrence| occurrence.work_left)
    }

    /// What was submitted for a step.
    pub fn spec(&self, step: StepNumber) -> Option<&StepSpec> {
        self.record.spec.steps.get(usize::from(step))
    }

    /// Runs of its tasks that are ordered, in progress or being stopped.
    ///
    /// Those of a repetition that has ended are not among them: they were ordered to end then.
    pub fn active_runs(&self) -> Vec<(WorkerSlot, TaskId)> {
        let mut active_runs = Vec::new();
        for (occurrence, contents) in &self.occurrences {
            for (step, contents) in (0..).zip(&contents.steps) {
                let step = StepId { job: self.id, occurrence: *occurrence, step };
                for (index, task) in (0..).zip(&contents.tasks) {
                    let task_id = TaskId { step, index };
                    active_runs.extend(task.active_runs.iter().map(|slot| (*slot, task_id)));
                }
            }
        }
        active_runs
    }

    /// The job's state as it shall lie in the store.
    pub fn to_state_record(&self) -> StateRecord {
        let mut tasks = Vec::new();
        if self.is_live() {
            for (occurrence, contents) in &self.occurrences {
                contents.collect(*occurrence, &mut tasks);
            }
        }
        StateRecord {
            state: self.state,
            team: self.record.team.clone(),
            ended: self.ended.clone(),
            tasks,
        }
    }
}

impl Occurrence {
    /// Works out what is left of it, after tasks of its steps have ended as done.
    pub fn update_remaining(&mut self, specs: &[StepSpec]) {
        self.critical_path = self.longest_path(specs, true);
        self.critical_path_left = self.longest_path(specs, false);
        let each = self.steps.iter().zip(specs).map(|(step, spec)| {
            let open = spec.tasks.saturating_sub(step.done);
            let cores = f64::from(spec.task_resources.processors_milli) / 1_000.0;
            f64::from(open) * cores * spec.estimate.as_secs_f64()
        });
        self.work_left = each.sum();
    }

    /// The longest chain of estimated run times; of all steps, or of those that are not done.
    fn longest_path(&self, specs: &[StepSpec], with_done: bool) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (step, spec) in self.steps.iter().zip(specs) {
            let begins = spec.after.iter().filter_map(|earlier| ends.get(usize::from(*earlier)));
            let begin = begins.max().copied().unwrap_or_default();
            let own = if step.is_done() && !with_done { Duration::ZERO } else { spec.estimate };
            ends.push(begin + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Whether every step is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    fn collect(&self, occurrence: OccurrenceNumber, rows: &mut Vec<TaskRecord>) {
        for (step, contents) in self.steps.iter().enumerate() {
            for (index, task) in contents.tasks.iter().enumerate() {
                if !task.has_history() {
                    continue;
                }
                rows.push(TaskRecord {
                    occurrence,
                    step: StepNumber::try_from(step).unwrap_or(StepNumber::MAX),
                    index: TaskNumber::try_from(index).unwrap_or(TaskNumber::MAX),
                    done: task.is_done,
                    last_run: task.last_run,
                    failed_runs: task.failed_runs.clone(),
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
