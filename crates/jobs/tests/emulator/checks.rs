//! Invariants that the emulator checks at the workers and in the store.

use cassiafold_jobs::spec::{Resources, StepId, TaskId};

use super::Emulator;
use super::worker::AcknowledgedEnd;

impl Emulator {
    /// Checks that a run end is stored when it is acknowledged to its worker, and that its task was
    /// not started again before.
    pub(super) fn check_acknowledged(&mut self, end: AcknowledgedEnd) {
        let task = end.task;
        if self.restarted.remove(&task) && !end.is_expired {
            self.violations.push(format!("{task}: started after an end that is now acknowledged"));
        }
        let state = self.states.get(&task.step.job);
        let is_stored = state.is_some_and(|state| {
            state.state.is_final()
                || state
                    .tasks
                    .iter()
                    .any(|row| row.done && row.step == task.step.step && row.index == task.index)
        });
        if !is_stored {
            self.violations.push(format!("{task}: run end acknowledged but not stored"));
        }
        self.acknowledged.insert(task);
    }

    /// Checks the invariants of a task that has just started on a worker.
    pub(super) fn check_start(&mut self, worker: usize, task: TaskId) {
        let others = self.workers.iter().enumerate().filter(|(number, other)| {
            *number != worker && other.is_up && other.runs.contains_key(&task)
        });
        if others.count() > 0 {
            self.violations.push(format!("{task}: two concurrent runs"));
        }
        if self.workers.iter().any(|worker| worker.is_up && worker.has_completed(task)) {
            self.restarted.insert(task);
        }
        if self.acknowledged.contains(&task) {
            self.violations.push(format!("{task}: started after its end was acknowledged"));
        }
        let spec = &self.jobs[&task.step.job].spec;
        for predecessor in &spec.steps[usize::from(task.step.step)].after {
            let step = StepId { step: *predecessor, ..task.step };
            let tasks = 0..spec.steps[usize::from(*predecessor)].tasks;
            let all_ended =
                tasks.map(|index| TaskId { step, index }).all(|one| self.is_known_done(one));
            if !all_ended {
                self.violations.push(format!("{task}: started before step {predecessor} was done"));
            }
        }
        if self.failure_counts.get(&task).copied().unwrap_or(0) >= 3 {
            self.violations.push(format!("{task}: started after three failures"));
        }
        if !self.workers[worker].is_within_capacity(self.now) {
            self.violations.push(format!("{task}: worker over its capacity"));
        }
        let reserved_total = self
            .workers
            .iter()
            .filter(|one| one.is_up)
            .fold(Resources::default(), |sum, one| sum.plus(&one.reserved()));
        if self.limit.processors_milli > 0
            && reserved_total.processors_milli > self.limit.processors_milli
        {
            self.violations.push(format!("{task}: team over its quota"));
        }
    }

    /// Whether a task is done according to the store or to a worker, which may have crashed after it
    /// told the current owner.
    fn is_known_done(&self, task: TaskId) -> bool {
        self.acknowledged.contains(&task)
            || self.reported_done.contains(&(self.owner, task))
            || self.workers.iter().any(|worker| worker.has_completed(task))
            || self.states.get(&task.step.job).is_some_and(|state| {
                state
                    .tasks
                    .iter()
                    .any(|row| row.done && row.step == task.step.step && row.index == task.index)
            })
    }
}
