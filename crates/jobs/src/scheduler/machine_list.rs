//! The machines of the fleet as of the last list.

use std::collections::HashMap;

use cassiafold_config::InstanceId;

use crate::cluster::{Machine, MachineState, WorkerId};

/// Machines, indexed by id and by worker.
#[derive(Debug, Default)]
pub(super) struct MachineList {
    machines: Vec<Machine>,
    by_id: HashMap<InstanceId, usize>,
    /// Positions of the machines that are up, by their worker.
    up_by_worker: HashMap<WorkerId, usize>,
}

impl MachineList {
    pub(super) fn new(machines: Vec<Machine>) -> Self {
        let numbered = || machines.iter().enumerate();
        let by_id = numbered().map(|(number, machine)| (machine.id.clone(), number)).collect();
        let up = numbered().filter(|(_, machine)| machine.state == MachineState::Up);
        let up_by_worker =
            up.filter_map(|(number, machine)| Some((machine.worker.clone()?, number))).collect();
        Self { machines, by_id, up_by_worker }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter()
    }

    pub(super) fn get(&self, id: &str) -> Option<&Machine> {
        self.machines.get(*self.by_id.get(id)?)
    }

    /// Returns whether a machine that is up, or one whose state is unknown, may run a worker.
    pub(super) fn may_run_worker(&self, worker: &str) -> bool {
        self.has_running_worker(worker)
            || self.machines.iter().any(|machine| machine.state == MachineState::Unknown)
    }

    /// Returns whether a worker runs on a machine that is up.
    pub(super) fn has_running_worker(&self, worker: &str) -> bool {
        self.machine_running(worker).is_some()
    }

    /// Returns the machine that is up and runs a worker.
    pub(super) fn machine_running(&self, worker: &str) -> Option<&Machine> {
        self.machines.get(*self.up_by_worker.get(worker)?)
    }
}
