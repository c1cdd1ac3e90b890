//! Tasks that crash each worker that starts them, and the count of crashes under every task.

use std::collections::HashMap;
use std::time::Duration;

use cassiafold_jobs::cluster::{Machine, MachineState};
use cassiafold_jobs::spec::TaskId;

use super::{Emulator, SERVICE, ms};

/// How long a worker that a task has crashed is down.
const DOWN_TIME: Duration = Duration::from_millis(3_000);
/// Number of crashes under a task after which its further starts are counted.
const CRASHES_MAX: u32 = 3;
/// Further starts of such a task that break the rule.
const STARTS_MAX: u32 = 3;

/// How crashed workers come back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Return {
    /// Under the same id; the owner learns of it by a poll or an entry.
    #[default]
    SameId,
    /// Under another id; lists of machines show which are down.
    OtherId,
}

/// Tasks that crash their workers, and the crashes so far.
#[derive(Debug, Default)]
pub struct Crashes {
    /// How crashed workers come back.
    pub returns: Return,
    /// Tasks that crash each worker that starts them, and how long after the start.
    pub deadly: HashMap<TaskId, Duration>,
    /// Workers that crashed under each task.
    pub under_task: HashMap<TaskId, u32>,
    /// Starts of deadly tasks after the last crash that is allowed.
    further_starts: HashMap<TaskId, u32>,
}

impl Emulator {
    /// Makes a task crash each worker that starts it, `delay` after the start.
    pub fn make_deadly(&mut self, task: TaskId, delay: Duration) {
        self.crashes.deadly.insert(task, delay);
    }

    /// Crashes the worker that has just started a task, if the task is deadly.
    pub(super) fn crash_worker_of_deadly_task(&mut self, worker: usize, task: TaskId) {
        let Some(delay) = self.crashes.deadly.get(&task).copied() else { return };
        if self.crashes_under(task) >= CRASHES_MAX {
            let starts = self.crashes.further_starts.entry(task).or_default();
            *starts += 1;
            if *starts == STARTS_MAX {
                self.violations.push(format!("{task}: started three times after three crashes"));
            }
        }
        self.crash(worker, delay, DOWN_TIME);
    }

    /// Number of workers that crashed under a task.
    pub fn crashes_under(&self, task: TaskId) -> u32 {
        self.crashes.under_task.get(&task).copied().unwrap_or(0)
    }

    /// Counts the crash of a worker for each task that runs there.
    pub(super) fn count_crash(&mut self, worker: usize) {
        for task in self.workers[worker].runs.keys() {
            *self.crashes.under_task.entry(*task).or_default() += 1;
        }
    }

    /// Starts a new incarnation of a worker that is down.
    pub(super) fn restart(&mut self, worker: usize) {
        let now = self.now;
        let worker = &mut self.workers[worker];
        match self.crashes.returns {
            _ if worker.is_up => {}
            Return::SameId => worker.restart(now),
            Return::OtherId => worker.restart_as_another(now),
        }
    }

    /// Gives the owner the list of machines, if workers come back under other ids.
    pub(super) fn list_machines(&mut self) {
        if self.crashes.returns == Return::SameId {
            return;
        }
        let machines = (0..).zip(&self.workers).map(|(number, worker): (usize, _)| Machine {
            id: format!("m{number}").into(),
            service: SERVICE.into(),
            state: if worker.is_up { MachineState::Up } else { MachineState::Down },
            zone: "z".into(),
            worker: worker.is_up.then(|| worker.id.clone()),
            labels: Vec::new(),
            capacity: worker.capacity,
        });
        let machines = machines.collect();
        let now = self.now;
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_machines(machines, now.saturating_sub(ms(1)), now);
        }
    }
}
