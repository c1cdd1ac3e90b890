//! The owner's state of a job.

mod occurrence;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{Moment, Revision};

pub use self::occurrence::{Occurrence, Step, Task};
use crate::command_budget::json_bytes;
use crate::crash::{CrashHistory, Suspicion};
use crate::delay::Delays;
use crate::job_memory::JobBytes;
use crate::record::{JobRecord, JobState, StateRecord};
use crate::spec::{
    JOB_TASKS_MAX, JobId, JobSpec, OPEN_OCCURRENCES_MAX, OccurrenceNumber, RunNumber, StepId,
    StepNumber, StepSpec, TaskId,
};

/// Index of a worker incarnation in the owner's list.
pub type WorkerSlot = usize;

/// An accepted job.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// The job as accepted.
    pub record: Arc<JobRecord>,
    /// Store revision at which it was accepted.
    pub accepted_revision: Revision,
    /// When the owner first saw it.
    pub first_seen: Moment,
    /// State of the job.
    pub state: JobState,
    /// Whether some task has started on a worker.
    pub has_started: bool,
    /// Whether the store says that tasks may have started. No task starts before it does, so that a
    /// later owner can tell which jobs have no runs yet.
    pub is_start_stored: bool,
    /// Whether no run of it can have been started before this owner's term.
    pub has_no_prior_runs: bool,
    /// Whether its team had exceeded its share, by its weight, when the job was accepted.
    pub exceeds_share: bool,
    /// Delays of its ready tasks, by cause.
    pub delays: Delays,
    /// Expected run time of the tasks of each step.
    run_times: Vec<ExpectedRunTime>,
    /// Occurrences that were due and have not ended.
    pub occurrences: BTreeMap<OccurrenceNumber, Occurrence>,
    /// Occurrences that have ended.
    pub ended: BTreeSet<OccurrenceNumber>,
    /// Number up to which each occurrence has started.
    next_occurrence: OccurrenceNumber,
    /// Number of crashes that were counted against its tasks in this term.
    crashes: u32,
    /// Value of `crashes` that is stored.
    crashes_stored: u32,
    /// When a crash was last counted against one of its tasks.
    last_crash: Option<Moment>,
    /// Memory that it takes.
    bytes: JobBytes,
    /// Length of its payload as a JSON string, in bytes.
    payload_json_bytes: u64,
    /// Memory with which it is counted, in bytes.
    pub counted_bytes: u64,
    /// Since when the owner has held it without a break.
    pub held_since: Moment,
    /// How often the owner has held it before and deferred it.
    pub turns_had: u32,
}

/// Expected run time of a step's tasks.
#[derive(Debug, Clone, Copy)]
struct ExpectedRunTime {
    time: Duration,
    /// Completed tasks of the step over which `time` is the mean; 0 if it is an estimate.
    completed: u32,
}

impl Job {
    /// A job as read from the store, with its stored state if there is one.
    pub fn new(
        id: JobId,
        record: JobRecord,
        accepted_revision: Revision,
        state: Option<&StateRecord>,
        now: Moment,
    ) -> Self {
        let stored = state.map_or(JobState::Queued, |state| state.state);
        let expected = |step: &StepSpec| ExpectedRunTime { time: step.estimate, completed: 0 };
        let run_times = record.spec.steps.iter().map(expected).collect();
        let bytes = JobBytes::from(&record);
        let payload_json_bytes = json_bytes(&record.spec.payload);
        Self {
            id,
            run_times,
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
            ended: state.map(|state| state.ended.iter().copied().collect()).unwrap_or_default(),
            next_occurrence: 0,
            crashes: 0,
            crashes_stored: 0,
            last_crash: None,
            bytes,
            payload_json_bytes,
            counted_bytes: 0,
            held_since: now,
            turns_had: 0,
        }
    }

    /// Memory that the job takes, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.bytes.with_occurrences(self.occurrences.len(), self.ended.len())
    }

    /// Length of its payload as a JSON string, in bytes.
    pub fn payload_json_bytes(&self) -> u64 {
        self.payload_json_bytes
    }

    /// Memory that another occurrence would take, in bytes.
    pub fn occurrence_bytes(&self) -> u64 {
        self.bytes.of_occurrence()
    }

    /// Whether no task has a run in any phase.
    pub fn is_idle(&self) -> bool {
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        steps.flat_map(|step| &step.tasks).all(|task| task.active_runs.is_empty())
    }

    /// Drops what an ended job without runs is no longer needed for. What its tasks reserve is kept if
    /// one of them `may_run`: a command without a response may still start it.
    pub fn release(&mut self, may_run: bool) {
        let reserving = |step: &StepSpec| StepSpec {
            after: Vec::new(),
            label: None,
            data_rack: None,
            image: None,
            ..step.clone()
        };
        let steps = self.record.spec.steps.iter().filter(|_| may_run).map(reserving);
        let record = JobRecord {
            queue: self.record.queue.clone(),
            service: self.record.service.clone(),
            team: self.record.team.clone(),
            attempts_max: self.record.attempts_max,
            spec: JobSpec { payload: "".into(), steps: steps.collect(), schedule: None },
        };
        self.bytes = JobBytes::of_ended(&record);
        self.record = Arc::new(record);
        self.run_times = Vec::new();
        self.occurrences = BTreeMap::new();
    }

    /// Whether the job has not ended.
    pub fn is_live(&self) -> bool {
        !self.state.is_final()
    }

    /// Whether its tasks may start as soon as the store says so.
    pub fn awaits_start_write(&self) -> bool {
        self.state == JobState::Running && !self.is_start_stored
    }

    /// Next occurrence that is due at the Unix time `now_unix` and has not started; `None` if there
    /// is none, or if too many others have not ended.
    pub fn next_due_occurrence(&mut self, now_unix: Duration) -> Option<OccurrenceNumber> {
        let schedule = self.record.spec.schedule?;
        while self.next_occurrence < schedule.occurrences && self.is_started(self.next_occurrence) {
            self.next_occurrence += 1;
        }
        let number = self.next_occurrence;
        let is_due = number < schedule.occurrences && schedule.due_unix(number) <= now_unix;
        (is_due && self.may_start_occurrence()).then_some(number)
    }

    fn is_started(&self, number: OccurrenceNumber) -> bool {
        self.ended.contains(&number) || self.occurrences.contains_key(&number)
    }

    /// Whether the owner can hold the state of another occurrence. One can always start.
    pub fn may_start_occurrence(&self) -> bool {
        let open = self.occurrences.len();
        let tasks = self.record.spec.tasks().saturating_mul(open as u64 + 1);
        open == 0 || (open < OPEN_OCCURRENCES_MAX && tasks <= JOB_TASKS_MAX)
    }

    /// Starts an occurrence, with the stored state of its tasks.
    pub fn start_occurrence(
        &mut self,
        number: OccurrenceNumber,
        stored: Option<&StateRecord>,
        run_number_base: RunNumber,
        now: Moment,
    ) {
        if self.is_started(number) {
            return;
        }
        let new_step = |step: &StepSpec| Step {
            tasks: vec![Task { last_run: run_number_base, ..Task::default() }; step.tasks as usize],
            done: 0,
            is_ready: false,
            ready_since: now,
        };
        let steps = self.record.spec.steps.iter().map(new_step).collect();
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
            task.crashes = CrashHistory {
                soon: row.crashed_soon.clone(),
                late: row.crashed_late.clone(),
                presumed: row.crashes_presumed.clone(),
            };
            task.unsettled_run = row.unsettled_run;
            task.checkpoint = row.checkpoint.clone();
            step.done += u32::from(row.done);
        }
        occurrence.update_remaining(&self.record.spec.steps, &self.run_times);
        self.occurrences.insert(number, occurrence);
    }

    /// Sets when the first steps became due, for a job without a schedule.
    pub fn set_due(&mut self, due: Moment) {
        if let Some(occurrence) = self.occurrences.get_mut(&0) {
            occurrence.due = due;
        }
    }

    /// Marks the steps as ready whose dependencies are done, and returns them.
    pub fn ready_steps(&mut self, number: OccurrenceNumber, now: Moment) -> Vec<StepId> {
        let Some(occurrence) = self.occurrences.get_mut(&number) else { return Vec::new() };
        let done: Vec<bool> = occurrence.steps.iter().map(Step::is_done).collect();
        let mut ready = Vec::new();
        let specs = self.record.spec.steps.iter();
        for (position, (step, spec)) in occurrence.steps.iter_mut().zip(specs).enumerate() {
            let is_unblocked =
                spec.after.iter().all(|earlier| done.get(usize::from(*earlier)) == Some(&true));
            if step.is_ready || !is_unblocked {
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

    /// A task, mutable.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// A step.
    pub fn step(&self, id: StepId) -> Option<&Step> {
        self.occurrences.get(&id.occurrence)?.steps.get(usize::from(id.step))
    }

    /// A step, mutable.
    pub fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        self.occurrences.get_mut(&id.occurrence)?.steps.get_mut(usize::from(id.step))
    }

    /// Recomputes the remaining work and critical path of an occurrence.
    pub fn update_remaining(&mut self, number: OccurrenceNumber) {
        if let Some(occurrence) = self.occurrences.get_mut(&number) {
            occurrence.update_remaining(&self.record.spec.steps, &self.run_times);
        }
    }

    /// Replaces the expected run time of the tasks of each step, before its occurrences start.
    pub fn expect_run_times(&mut self, expected: impl Fn(Duration) -> Duration) {
        for (run_time, step) in self.run_times.iter_mut().zip(&self.record.spec.steps) {
            run_time.time = expected(step.estimate);
        }
    }

    /// Expected run time of a task of a step.
    pub fn run_time(&self, step: StepNumber) -> Duration {
        self.run_times.get(usize::from(step)).map_or(Duration::ZERO, |expected| expected.time)
    }

    /// Takes the run time of a completed task as that of the others of its step, which are alike.
    pub fn learn_run_time(&mut self, step: StepNumber, actual: Duration) {
        let Some(expected) = self.run_times.get_mut(usize::from(step)) else { return };
        let sum = expected.time.saturating_mul(expected.completed).saturating_add(actual);
        expected.completed = expected.completed.saturating_add(1);
        expected.time = sum / expected.completed;
    }

    /// Estimated remaining work of an occurrence, in core-seconds.
    pub fn work_left(&self, number: OccurrenceNumber) -> f64 {
        self.occurrences.get(&number).map_or(0.0, |occurrence| occurrence.work_left)
    }

    /// A step as submitted.
    pub fn spec(&self, step: StepNumber) -> Option<&StepSpec> {
        self.record.spec.steps.get(usize::from(step))
    }

    /// Counts a crash against a task; it is stored with the next state.
    pub fn record_crash(&mut self, id: TaskId, now: Moment) {
        self.crashes += 1;
        self.last_crash = Some(now);
        let crashes = self.crashes;
        if let Some(task) = self.task_mut(id) {
            task.last_crash = crashes;
        }
    }

    /// When a crash was last counted against one of its tasks in this term.
    pub fn last_crash(&self) -> Option<Moment> {
        self.last_crash
    }

    /// Number of crashes that were counted against its tasks in this term.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Marks the crashes up to a number as stored.
    pub fn mark_crashes_stored(&mut self, crashes: u32) {
        self.crashes_stored = self.crashes_stored.max(crashes);
    }

    /// Whether all crashes are stored that were counted against a task.
    pub fn are_crashes_stored(&self, id: TaskId) -> bool {
        self.task(id).is_none_or(|task| task.last_crash <= self.crashes_stored)
    }

    /// Whether a crash that was counted against one of its tasks is not stored.
    pub fn has_unstored_crash(&self) -> bool {
        self.crashes_stored < self.crashes
    }

    /// Tasks that are suspected to crash their workers.
    pub fn suspected_tasks(&self) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        for (occurrence, contents) in &self.occurrences {
            for (step, contents) in (0..).zip(&contents.steps) {
                let step = StepId { job: self.id, occurrence: *occurrence, step };
                let tasks_of_step = (0..).zip(&contents.tasks);
                let suspected =
                    tasks_of_step.filter(|(_, task)| task.crashes.suspicion() != Suspicion::None);
                tasks.extend(suspected.map(|(index, _)| TaskId { step, index }));
            }
        }
        tasks
    }

    /// Runs of its tasks that are starting, in progress or being stopped.
    ///
    /// Runs of ended occurrences are left out: they were stopped when the occurrence ended.
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

    /// The job's state as it is stored.
    pub fn to_state_record(&self) -> StateRecord {
        let mut tasks = Vec::new();
        if self.is_live() {
            for (occurrence, contents) in &self.occurrences {
                contents.collect_task_records(*occurrence, &mut tasks);
            }
        }
        StateRecord {
            state: self.state,
            team: self.record.team.clone(),
            ended: self.ended.iter().copied().collect(),
            tasks,
        }
    }
}
