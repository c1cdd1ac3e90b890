//! Machines: lists of them, commands to them, and what their outcomes change.

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::machine_commands::{MachineAttempt, MachineCommand};
use super::machine_list::MachineList;
use super::{Command, Scheduler, WriteUrgency};
use crate::clients::{LATE_COMMAND_MAX, MachineOutcome};
use crate::cluster::Machine;
use crate::event::JobsEvent;
use crate::incarnation::IncarnationEnd;
use crate::job::WorkerSlot;
use crate::worker::Worker;

/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::upkeep";

impl Scheduler {
    /// Returns whether the machines have to be listed: a wave is not complete, or there is a spare
    /// pool.
    pub fn needs_machine_list(&self) -> bool {
        self.waves.values().any(|wave| wave.stored != Some(true))
            || self.config.services.values().any(|service| service.is_spare)
    }

    /// Returns whether the machines should be listed without delay because a command was accepted,
    /// and clears the request.
    pub fn take_machine_list_request(&mut self) -> bool {
        std::mem::take(&mut self.is_machine_list_requested)
    }

    /// Replaces the list of machines by one that was requested at `sent`.
    pub fn set_machines(&mut self, machines: Vec<Machine>, sent: Moment, now: Moment) {
        if self.machines_listed_at.is_some_and(|current| sent < current) {
            return;
        }
        let machines = MachineList::new(machines);
        self.open_commands.settle_listed_moves(&machines);
        let leaving: Vec<WorkerSlot> = (0..self.workers.len())
            .filter(|slot| {
                let worker = &self.workers[*slot];
                !worker.is_gone && worker.leaving_since.is_some_and(|since| since < sent)
            })
            .collect();
        for slot in leaving {
            let id = &self.workers[slot].entry.id;
            if !machines.has_running_worker(id) {
                if !machines.may_run_worker(id) {
                    self.retire_worker(slot, IncarnationEnd::MachineOrdered, now);
                }
                continue;
            }
            // The command had been executed before: this is the worker that started after it.
            let machine = self.workers[slot].machine.as_deref();
            let open_until =
                machine.and_then(|machine| self.open_commands.may_leave_until(machine));
            let worker = &mut self.workers[slot];
            if open_until.is_some() {
                // Another command may still take its machine away.
                worker.leaving_since = open_until;
                continue;
            }
            worker.leaving_since = None;
            worker.is_leaving = false;
            worker.is_cordoned = false;
            self.mark_worker_service_changed(slot);
        }
        self.machines = machines;
        self.machines_listed_at = Some(sent);
        self.assign_machines();
        self.retire_workers_on_down_machines(sent, now);
        self.complete_missing_entries(now);
    }

    /// Sends a command to a machine.
    pub(super) fn send_machine_command(
        &mut self,
        command: MachineCommand,
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        let attempt = self.open_commands.send(command, now);
        let MachineAttempt { number, command } = &attempt;
        let slot = self.worker_on_machine(command.machine());
        if let Some(slot) = slot {
            self.workers[slot].is_leaving = true;
        }
        let worker = slot.map(|slot| &self.workers[slot]);
        emit!(
            target: LOG_TARGET,
            JobsEvent::MachineCommandSent,
            machine = command.machine(),
            order = command,
            attempt = number,
            worker = worker.map_or("none", |worker| &*worker.entry.id),
            runs = worker.map_or(0, |worker| worker.runs.len()),
            long_running = worker.map_or(0, |worker| worker.counts.long_running)
        );
        commands.push(Command::Machine(attempt));
    }

    /// Handles the outcome of a command to a machine.
    pub fn handle_machine_outcome(
        &mut self,
        attempt: &MachineAttempt,
        outcome: MachineOutcome,
        now: Moment,
    ) {
        let command = &attempt.command;
        emit!(
            target: LOG_TARGET,
            JobsEvent::MachineOrdered,
            machine = command.machine(),
            order = command,
            attempt = attempt.number,
            outcome = format_args!("{outcome:?}")
        );
        let accepted = outcome == MachineOutcome::Accepted;
        if outcome == MachineOutcome::Unknown {
            self.machine_leases.extend(command.machine(), now + LATE_COMMAND_MAX);
        }
        self.open_commands.settle(attempt, outcome, now);
        let open_until = self.open_commands.may_leave_until(command.machine());
        let may_be_moving = accepted || outcome == MachineOutcome::Unknown;
        if let MachineCommand::Move { machine, .. } = command
            && !may_be_moving
            && open_until.is_none()
        {
            self.moving_machines.remove(machine);
        }
        if let Some(slot) = self.worker_on_machine(command.machine()) {
            let worker = &mut self.workers[slot];
            worker.is_leaving = accepted || open_until.is_some();
            worker.is_cordoned &= worker.is_leaving;
            // The next list of machines shows whether the machine went down or had been maintained
            // before.
            worker.leaving_since = if accepted { Some(now) } else { open_until };
        }
        if !accepted {
            return;
        }
        if let MachineCommand::Maintain { machine, wave } = command
            && let Some(progress) = self.waves.get_mut(wave)
        {
            progress.begun.entry(machine.clone()).or_insert(now);
            progress.draining.remove(machine);
            self.machine_leases.end_maintenance(machine, *wave);
            self.raise_write_urgency(WriteUrgency::High);
        }
        self.is_machine_list_requested = true;
    }

    /// Returns the worker that the list of machines shows on a machine.
    pub(super) fn worker_on_machine(&self, machine: &str) -> Option<WorkerSlot> {
        let listed = self.machines.get(machine)?;
        self.current_slots.get(listed.worker.as_ref()?).copied()
    }

    /// Returns whether a worker's machine may leave by a command on the way, whoever sent it.
    pub(super) fn may_leave(&self, worker: &Worker, now: Moment) -> bool {
        worker.machine.as_deref().is_some_and(|machine| {
            self.open_commands.may_leave_until(machine).is_some()
                || self.machine_leases.is_inherited(machine, now)
        })
    }

    /// Returns whether a worker's machine is to go down for maintenance once its lease is stored, or
    /// has been commanded to.
    pub(super) fn is_going_down(&self, worker: &Worker) -> bool {
        let machine = worker.machine.as_deref();
        machine.is_some_and(|machine| self.machine_leases.recorded_waves(machine).next().is_some())
    }

    /// Returns whether a machine may still be moved or maintained by a command that was sent or is
    /// about to be sent.
    pub(super) fn is_commanded(&self, machine: &str) -> bool {
        self.open_commands.has_attempts(machine)
            || self.machine_leases.recorded_waves(machine).next().is_some()
    }
}
