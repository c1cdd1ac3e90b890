//! Maintenance waves: decides which machine is maintained next.

use std::collections::BTreeSet;
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::machine_commands::MachineCommand;
use super::wave_progress::{WaveDelays, WavePace, WaveProgress};
use super::{Command, Scheduler};
use crate::cluster::{Machine, MachineState, WaveNumber};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::record::{WaveRecord, WavesRecord};

/// Machines that are drained ahead of those that are down.
const DRAINING_AHEAD: usize = 1;
/// Share of a wave's time limit after which machines are taken down even if short tasks run there.
const FORCE_AFTER_SHARE: f64 = 0.75;
/// Longest time for which a machine is drained before it is taken down.
const DRAINING_MAX: Duration = Duration::from_millis(4_500);
/// Minimum time between two log lines about the pace of a wave.
const PACE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::upkeep";

impl Scheduler {
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

    /// Issues the maintenance commands that are due.
    pub(super) fn plan_maintenance(&mut self, now: Moment, commands: &mut Vec<Command>) {
        self.open_commands.expire(now);
        if self.machines.is_empty() || self.machine_leases.has_unknown_commands(now) {
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
        let remaining = self.remaining_machines(progress, now);
        let slots: Vec<WorkerSlot> = remaining.iter().filter_map(|(_, slot)| *slot).collect();
        for slot in &slots {
            self.workers[*slot].is_maintenance_due = true;
        }
        let remaining_count = remaining.len();
        let mut pace = WavePace::new(progress, self.taken_places(progress), remaining_count, now);
        let mut commanded = 0;
        let mut draining: BTreeSet<InstanceId> = BTreeSet::new();
        let mut delays = WaveDelays::default();
        for (machine, slot) in remaining {
            let wait_for_short_tasks = self.waits_for_short_tasks(&machine.id, progress, now);
            let can_go_down =
                slot.is_none_or(|slot| self.can_take_down(slot, wait_for_short_tasks, now));
            let is_surplus = slot.is_none_or(|slot| self.is_surplus(slot));
            let has_place = self.may_go_down(&machine.id, progress);
            if can_go_down && pace.take_place(has_place, is_surplus) {
                if self.machine_leases.acquire(&machine.id, Some(progress.wave.number), now) {
                    self.command_maintenance(progress.wave.number, machine.id, now, commands);
                    commanded += 1;
                } else {
                    draining.insert(machine.id);
                }
                continue;
            }
            let has_only_short_tasks =
                !can_go_down && slot.is_some_and(|slot| self.can_take_down(slot, false, now));
            delays.count(can_go_down, has_only_short_tasks);
            if draining.len() < pace.allowed_now() + DRAINING_AHEAD {
                draining.insert(machine.id);
            }
        }
        log_pace(progress, &pace, [remaining_count, commanded], delays, now);
        let draining_slots =
            draining.iter().filter_map(|machine| self.worker_on_machine(machine)).collect();
        self.evict_long_running(&slots, &draining_slots, now);
        self.drain_machines(progress, draining, now);
    }

    /// Returns whether a machine is taken down only once its short tasks have ended.
    fn waits_for_short_tasks(&self, machine: &str, progress: &WaveProgress, now: Moment) -> bool {
        let force_after = progress.wave.time_limit.mul_f64(FORCE_AFTER_SHARE);
        let is_late = now.saturating_sub(progress.since) > force_after;
        let since = progress.draining.get(machine).copied();
        let drained_for = since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let is_sent = self.open_commands.may_go_down_for(machine, progress.wave.number);
        !is_sent && !is_late && drained_for < DRAINING_MAX
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

    /// Returns the machines of a wave that are up and whose maintenance has not started, with their
    /// workers, in the order in which they go down. Machines that are leased to another instance, or
    /// may go down for another wave, are left out.
    ///
    /// Those that may go down already come first, since they keep their places until they do. Those
    /// with long-running tasks take longest to drain, so they come before the others.
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
                && !self.may_go_down_for_other(&machine.id, progress)
        });
        let mut remaining: Vec<(Machine, Option<WorkerSlot>)> = of_wave
            .map(|machine| {
                let worker = machine.worker.as_ref();
                let slot = worker.and_then(|worker| self.current_slots.get(worker)).copied();
                (machine.clone(), slot)
            })
            .collect();
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
        remaining
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
        if self.open_commands.was_sent_recently(&machine, now) {
            return;
        }
        let command = MachineCommand::Maintain { machine, wave: number };
        self.send_machine_command(command, now, commands);
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

/// Logs how many machines of a wave remain and how many of them were commanded, and what the others
/// wait for.
fn log_pace(
    progress: &mut WaveProgress,
    pace: &WavePace,
    [remaining, commanded]: [usize; 2],
    delays: WaveDelays,
    now: Moment,
) {
    if now.saturating_sub(progress.logged_at) < PACE_LOG_INTERVAL {
        return;
    }
    progress.logged_at = now;
    let WaveDelays { budgets, short_tasks, pace: waiting_for_pace } = delays;
    emit!(
        target: LOG_TARGET,
        JobsEvent::WavePaced,
        wave = progress.wave.number,
        remaining = remaining,
        down = pace.taken.all,
        limit = pace.limit,
        planned = pace.planned,
        commanded = commanded,
        wait_for_budgets = budgets,
        wait_for_short_tasks = short_tasks,
        wait_for_pace = waiting_for_pace
    );
}
