//! Invariants that the emulator checks at the workers and in the store.

use cassiafold_jobs::spec::{Resources, StepId, TaskId};

use super::Emulator;

impl Emulator {
    /// Checks that a run end is stored when it is acknowledged to its worker.
    pub(super) fn check_acknowledged(&mut self, task: TaskId) {
        let state = self.states.get(&task.step.job);
        let stored = state.is_some_and(|state| {
            state.state.is_final()
                || state
                    .tasks
                    .iter()
                    .any(|row| row.done && row.step == task.step.step && row.index == task.index)
        });
        if !stored {
            self.violations.push(format!("{task}: its end was acknowledged but not stored"));
        }
        self.done.insert(task);
    }

    pub(super) fn check_start(&mut self, worker: usize, task: TaskId) {
        let others = self.workers.iter().enumerate().filter(|(number, other)| {
            *number != worker && other.is_up && other.runs.contains_key(&task)
        });
        if others.count() > 0 {
            self.violations.push(format!("{task}: two runs at once"));
        }
        if self.done.contains(&task) {
            self.violations.push(format!("{task}: started though its end was acknowledged"));
        }
        let spec = &self.jobs[&task.step.job].spec;
        for earlier in &spec.steps[usize::from(task.step.step)].after {
            let step = StepId { step: *earlier, ..task.step };
            let tasks = 0..spec.steps[usize::from(*earlier)].tasks;
            let all_done = tasks.map(|index| TaskId { step, index }).all(|one| self.has_ended(one));
            if !all_done {
                self.violations.push(format!("{task}: started before step {earlier} was done"));
            }
        }
        if self.failed.get(&task).copied().unwrap_or(0) >= 3 {
            self.violations.push(format!("{task}: started after three failures"));
        }
        if !self.workers[worker].reserved().fits(&self.workers[worker].capacity) {
            self.violations.push(format!("{task}: worker over its room"));
        }
        let used = self
            .workers
            .iter()
            .filter(|one| one.is_up)
            .fold(Resources::default(), |sum, one| sum.plus(&one.reserved()));
        if self.limit.processors_milli > 0 && used.processors_milli > self.limit.processors_milli {
            self.violations.push(format!("{task}: team over its limit"));
        }
    }

    fn has_ended(&self, task: TaskId) -> bool {
        self.done.contains(&task)
            || self.workers.iter().any(|worker| worker.has_completed(task))
            || self.states.get(&task.step.job).is_some_and(|state| {
                state
                    .tasks
                    .iter()
                    .any(|row| row.done && row.step == task.step.step && row.index == task.index)
            })
    }
}
