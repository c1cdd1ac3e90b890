//! Maintenance waves: decides which machine is maintained next.

use std::collections::BTreeSet;
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::machine_commands::{MachineAttempt, MachineCommand};
use super::machine_list::MachineList;
use super::wave_progress::{WaveDelays, WaveProgress, planned_down};
use super::{Command, Scheduler, WriteUrgency};
use crate::clients::{LATE_COMMAND_MAX, MachineOutcome};
use crate::cluster::{Machine, MachineState, WaveNumber};
use crate::event::JobsEvent;
use crate::incarnation::IncarnationEnd;
use crate::job::WorkerSlot;
use crate::record::{WaveRecord, WavesRecord};

/// Machines that are drained ahead of those that are down.
const DRAINING_AHEAD: usize = 1;
/// Share of a wave's time limit after which machines are taken down even if short tasks run there.
const FORCE_AFTER_SHARE: f64 = 0.75;
/// Minimum time between two commands to the same machine.
const COMMAND_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Longest time for which a machine is drained before it is taken down.
const DRAINING_MAX: Duration = Duration::from_millis(4_500);
/// Minimum time between two log lines about the pace of a wave.
const PACE_LOG_INTERVAL: Duration = Duration::from_secs(1);
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

    /// Returns the progress of all waves as the record to store.
    pub(super) fn waves_record(&self) -> WavesRecord {
        let records = self.waves.values().map(|progress| {
            let mut begun: Vec<InstanceId> = progress.begun.keys().cloned().collect();
            begun.sort();
            let record = WaveRecord { since_unix_ms: progress.since_unix_ms, begun };
            (progress.wave.number, record)
        });
        records.collect()
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

    pub(super) fn worker_on_machine(&self, machine: &str) -> Option<WorkerSlot> {
        let listed = self.machines.get(machine)?;
        self.current_slots.get(listed.worker.as_ref()?).copied()
    }

    /// Issues the maintenance commands that are due.
    pub(super) fn plan_maintenance(&mut self, now: Moment, commands: &mut Vec<Command>) {
        self.open_commands.expire(now);
        if self.machines.is_empty() {
            return;
        }
        for slot in self.active_slots().collect::<Vec<_>>() {
            self.workers[slot].is_maintenance_due = false;
        }
        let numbers: Vec<WaveNumber> = self.waves.keys().copied().collect();
        for number in numbers {
            self.plan_wave(number, now, commands);
        }
    }

    fn plan_wave(&mut self, number: WaveNumber, now: Moment, commands: &mut Vec<Command>) {
        // Removed from the map to borrow `self` mutably; inserted again below.
        let Some(mut progress) = self.waves.remove(&number) else { return };
        if progress.stored != Some(true) {
            self.plan_take_downs(&mut progress, now, commands);
        }
        self.waves.insert(number, progress);
    }

    /// Takes down the machines of a wave that may go down now, those with the fewest runs first,
    /// and drains the next ones.
    fn plan_take_downs(
        &mut self,
        progress: &mut WaveProgress,
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        let down = self.taken_places(progress);
        let mut remaining = self.remaining_machines(progress, now);
        for slot in remaining.iter().filter_map(|(_, slot)| *slot) {
            self.workers[slot].is_maintenance_due = true;
        }
        let planned_down = planned_down(progress, remaining.len() + down, now);
        let down_allowed_max = progress.wave.concurrent_max.saturating_sub(down);
        let down_allowed_now = planned_down.saturating_sub(down);
        let number = progress.wave.number;
        // A machine that may go down already takes a place until it is known to have been maintained.
        // Machines with long-running tasks take longest to drain, so they come before the others.
        remaining.sort_by_cached_key(|(machine, slot)| {
            let runs = slot.map_or(0, |slot| 1 + self.workers[slot].runs.len());
            let has_long_running = slot.is_some_and(|slot| self.hosts_long_running(slot));
            (
                !self.may_go_down(&machine.id, progress),
                !progress.draining.contains_key(&machine.id),
                !has_long_running,
                runs,
                machine.id.clone(),
            )
        });
        let slots: Vec<WorkerSlot> = remaining.iter().filter_map(|(_, slot)| *slot).collect();
        let force_after = progress.wave.time_limit.mul_f64(FORCE_AFTER_SHARE);
        let is_late = now.saturating_sub(progress.since) > force_after;
        let mut commanded = 0;
        // Machines that take a place from now on.
        let mut new_places = 0;
        let mut draining: BTreeSet<InstanceId> = BTreeSet::new();
        let mut delays = WaveDelays::default();
        let remaining_count = remaining.len();
        for (machine, slot) in remaining {
            let since = progress.draining.get(&machine.id).copied();
            let drained_for = since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
            let is_sent = self.open_commands.may_go_down_for(&machine.id, number);
            let wait_for_short_tasks = !is_sent && !is_late && drained_for < DRAINING_MAX;
            let can_go_down =
                slot.is_none_or(|slot| self.can_take_down(slot, wait_for_short_tasks, now));
            let is_surplus = slot.is_none_or(|slot| self.is_surplus(slot));
            let limit = if is_surplus { down_allowed_max } else { down_allowed_now };
            let has_place = self.may_go_down(&machine.id, progress);
            let is_within_limit = match has_place {
                true => down <= progress.wave.concurrent_max,
                false => new_places < limit,
            };
            if is_within_limit && can_go_down {
                new_places += usize::from(!has_place);
                if !self.machine_leases.acquire(&machine.id, Some(number), now) {
                    draining.insert(machine.id);
                    continue;
                }
                self.command_maintenance(number, machine.id, now, commands);
                commanded += 1;
                continue;
            }
            let has_only_short_tasks =
                !can_go_down && slot.is_some_and(|slot| self.can_take_down(slot, false, now));
            delays.count(can_go_down, has_only_short_tasks);
            if draining.len() < down_allowed_now + DRAINING_AHEAD {
                draining.insert(machine.id);
            }
        }
        if now.saturating_sub(progress.logged_at) >= PACE_LOG_INTERVAL {
            progress.logged_at = now;
            let WaveDelays { budgets, short_tasks, pace } = delays;
            emit!(
                target: LOG_TARGET,
                JobsEvent::WavePaced,
                wave = number,
                remaining = remaining_count,
                down = down,
                limit = progress.wave.concurrent_max,
                planned = planned_down,
                commanded = commanded,
                wait_for_budgets = budgets,
                wait_for_short_tasks = short_tasks,
                wait_for_pace = pace
            );
        }
        let draining_slots =
            draining.iter().filter_map(|machine| self.worker_on_machine(machine)).collect();
        self.evict_long_running(&slots, &draining_slots, now);
        self.drain_machines(progress, draining, now);
    }

    /// Returns whether a worker's machine is idle and its service has surplus machines.
    fn is_surplus(&self, slot: WorkerSlot) -> bool {
        let worker = &self.workers[slot];
        worker.runs.is_empty()
            && self.surplus_machines.get(&worker.entry.service).is_some_and(|count| *count > 0)
    }

    fn hosts_long_running(&self, slot: WorkerSlot) -> bool {
        self.workers[slot].counts.long_running > 0
    }

    /// Returns how many machines of a wave are or may be down for maintenance. Each takes one of the
    /// places that the wave has.
    fn taken_places(&self, progress: &WaveProgress) -> usize {
        let takes_place = |machine: &&InstanceId| {
            self.is_down(machine, progress) || self.may_go_down(machine, progress)
        };
        progress.wave.machines.iter().filter(takes_place).count()
    }

    /// Returns whether a machine is down for maintenance, or has gone down and is not known to be up
    /// again.
    fn is_down(&self, machine: &InstanceId, progress: &WaveProgress) -> bool {
        let listed = self.machines.get(machine).map(|listed| listed.state);
        let Some(begun) = progress.begun.get(machine) else {
            return listed == Some(MachineState::Maintenance);
        };
        let is_listed_after = self.machines_listed_at.is_some_and(|at| at > *begun);
        let is_up = matches!(listed, None | Some(MachineState::Up | MachineState::Moving));
        !is_listed_after || !is_up
    }

    /// Returns whether a command on the way, or one that an earlier owner may have sent, may take a
    /// machine down. Further commands of a wave for which it has gone down change nothing.
    fn may_go_down(&self, machine: &str, progress: &WaveProgress) -> bool {
        let open = self.open_commands.open_waves(machine);
        let mut waves = open.chain(self.machine_leases.recorded_waves(machine));
        let is_begun = progress.begun.contains_key(machine);
        waves.any(|wave| !is_begun || wave != progress.wave.number)
    }

    /// Returns whether a machine may still be moved or maintained by a command that was sent or is
    /// about to be sent.
    pub(super) fn is_commanded(&self, machine: &str) -> bool {
        self.open_commands.has_attempts(machine)
            || self.machine_leases.recorded_waves(machine).next().is_some()
    }

    /// Returns the machines of a wave that are up and whose maintenance has not started, with their
    /// workers. Machines that are leased to another instance are left out.
    fn remaining_machines(
        &self,
        progress: &WaveProgress,
        now: Moment,
    ) -> Vec<(Machine, Option<WorkerSlot>)> {
        let listed = progress.wave.machines.iter().filter_map(|id| self.machines.get(id));
        let of_wave = listed.filter(|machine| {
            !progress.begun.contains_key(&machine.id)
                && machine.state == MachineState::Up
                && !self.machine_leases.is_leased_to_other(&machine.id, now)
        });
        of_wave
            .map(|machine| {
                let worker = machine.worker.as_ref();
                let slot = worker.and_then(|worker| self.current_slots.get(worker)).copied();
                (machine.clone(), slot)
            })
            .collect()
    }

    /// Returns whether a machine is drained for a wave.
    pub(super) fn is_drained_for_maintenance(&self, machine: &str) -> bool {
        self.waves.values().any(|progress| progress.draining.contains_key(machine))
    }

    /// Cordons the machines that are taken down next and uncordons those that no longer are.
    fn drain_machines(
        &mut self,
        progress: &mut WaveProgress,
        draining: BTreeSet<InstanceId>,
        now: Moment,
    ) {
        let previous = std::mem::take(&mut progress.draining);
        progress.draining = draining
            .iter()
            .map(|machine| (machine.clone(), previous.get(machine).copied().unwrap_or(now)))
            .collect();
        for machine in previous.keys().filter(|machine| !draining.contains(*machine)) {
            if let Some(slot) = self.worker_on_machine(machine) {
                let is_vacated = self.vacated_machines.contains(machine);
                self.workers[slot].is_cordoned = self.workers[slot].is_leaving || is_vacated;
                self.mark_worker_service_changed(slot);
            }
        }
        for machine in &draining {
            if let Some(slot) = self.worker_on_machine(machine) {
                self.workers[slot].is_cordoned = true;
            }
        }
    }

    fn command_maintenance(
        &mut self,
        number: WaveNumber,
        machine: InstanceId,
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        if let Some(slot) = self.worker_on_machine(&machine) {
            self.workers[slot].is_cordoned = true;
        }
        let last_sent = self.open_commands.maintenance_sent(&machine);
        if last_sent.is_some_and(|sent| now.saturating_sub(sent) < COMMAND_RETRY_INTERVAL) {
            return;
        }
        let command = MachineCommand::Maintain { machine, wave: number };
        self.send_machine_command(command, now, commands);
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

    /// Returns the waves whose status in the store is outdated.
    pub(super) fn wave_statuses(&self) -> Vec<(WaveNumber, bool)> {
        let outdated = self.waves.values().filter_map(|progress| {
            let is_complete = self.is_complete(progress);
            (progress.stored != Some(is_complete)).then_some((progress.wave.number, is_complete))
        });
        outdated.collect()
    }

    /// Returns whether the maintenance of every machine has started. Machines that are no longer
    /// listed do not count.
    fn is_complete(&self, progress: &WaveProgress) -> bool {
        let is_listed_after = self.machines_listed_at.is_some_and(|at| at > progress.since);
        is_listed_after
            && progress.wave.machines.iter().all(|machine| {
                let is_listed = self.machines.get(machine).is_some();
                progress.begun.contains_key(machine) || !is_listed
            })
    }

    pub(super) fn mark_wave_statuses_stored(&mut self, statuses: &[(WaveNumber, bool)]) {
        for (number, is_complete) in statuses {
            if let Some(progress) = self.waves.get_mut(number) {
                progress.stored = Some(*is_complete);
            }
        }
    }
}
