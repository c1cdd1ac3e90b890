//! Waves of maintenance: which machine is taken down next.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId};
use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::machine_list::MachineList;
use super::{Command, Scheduler, WriteUrgency};
use crate::clients::MachineOutcome;
use crate::cluster::{Machine, MachineState, Wave, WaveNumber};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::record::{WaveRecord, WavesRecord};

/// Time that one machine of a wave takes, from the order until its new worker takes work, with
/// the order's turn-around.
const MAINTENANCE_TIME: Duration = Duration::from_millis(3_000);
/// Machines that are emptied beyond those that are down at once.
const DRAINING_AHEAD: usize = 1;
/// Part of a wave's term that is left unplanned.
const SPARE_PART: f64 = 0.25;
/// Part of a wave's term after which machines are taken down though short tasks run there.
const PATIENT_PART: f64 = 0.75;
/// Time between two orders to the same machine.
const ORDER_RETRY: Duration = Duration::from_millis(700);
/// An order without an answer may be carried out until this time has passed.
const LATE_ORDER_MAX: Duration = Duration::from_secs(13);
/// Longest time for which one machine is emptied before it is taken down.
const DRAINING_MAX: Duration = Duration::from_millis(4_500);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::upkeep";

/// An order to a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineCommand {
    /// Maintain it.
    Maintain {
        /// The machine.
        machine: InstanceId,
        /// The wave.
        wave: WaveNumber,
    },
    /// Move it to another service.
    Move {
        /// The machine.
        machine: InstanceId,
        /// The service.
        service: ServiceId,
    },
}

impl MachineCommand {
    /// The machine that the order is for.
    pub fn machine(&self) -> &InstanceId {
        match self {
            Self::Maintain { machine, .. } | Self::Move { machine, .. } => machine,
        }
    }
}

/// The last order to a machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentCommand {
    at: Moment,
    /// Whether it may still be carried out.
    is_open: bool,
}

/// How far a wave is.
#[derive(Debug)]
pub(super) struct WaveProgress {
    wave: Wave,
    /// When an owner first saw the wave.
    since: Moment,
    since_unix_ms: u64,
    /// Machines whose maintenance has begun, and when.
    begun: HashMap<InstanceId, Moment>,
    /// Machines that get no new work until they are taken down, and since when.
    draining: HashMap<InstanceId, Moment>,
    /// Last status that lies in the store: whether the wave is complete.
    stored: Option<bool>,
}

impl WaveProgress {
    /// A wave with what an earlier owner stored of it, if there is any; `unix` is the time of day
    /// at `now`.
    pub(super) fn new(
        wave: Wave,
        stored: Option<&WaveRecord>,
        unix: Duration,
        now: Moment,
    ) -> Self {
        let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        let since_unix_ms = stored.map_or(unix_ms, |stored| stored.since_unix_ms);
        let age = Duration::from_millis(unix_ms.saturating_sub(since_unix_ms));
        let begun = stored.map_or(&[][..], |stored| &stored.begun);
        Self {
            wave,
            since: now.saturating_sub(age),
            since_unix_ms,
            begun: begun.iter().map(|machine| (machine.clone(), now)).collect(),
            draining: HashMap::new(),
            stored: None,
        }
    }
}

impl Scheduler {
    /// Whether machines have to be listed, since a wave is open.
    pub fn needs_machine_list(&self) -> bool {
        self.waves.values().any(|wave| wave.stored != Some(true))
            || self.config.services.values().any(|service| service.is_spare)
    }

    /// Whether machines should be listed without delay, since one was ordered.
    pub fn take_machine_list_request(&mut self) -> bool {
        std::mem::take(&mut self.is_list_wanted)
    }

    /// Takes over the list of machines, asked for at `sent`.
    pub fn set_machines(&mut self, machines: Vec<Machine>, sent: Moment, now: Moment) {
        let machines = MachineList::new(machines);
        let leaving: Vec<WorkerSlot> = (0..self.workers.len())
            .filter(|slot| {
                let worker = &self.workers[*slot];
                !worker.is_gone && worker.leaving_since.is_some_and(|since| since < sent)
            })
            .collect();
        for slot in leaving {
            let id = &self.workers[slot].entry.id;
            if !machines.has_running_worker(id) {
                self.retire_worker(slot, now);
                continue;
            }
            // The order had been carried out before; the worker is the one that came after it.
            let worker = &mut self.workers[slot];
            worker.leaving_since = None;
            worker.is_leaving = false;
            worker.is_cordoned = false;
            self.mark_worker_service_changed(slot);
        }
        self.machines = machines;
        self.machines_listed = Some(sent);
        self.lose_downed(sent, now);
    }

    /// Gives up silent workers whose machines are down or run another worker, by a list that was
    /// asked for after they had fallen silent.
    fn lose_downed(&mut self, sent: Moment, now: Moment) {
        for slot in 0..self.workers.len() {
            let worker = &self.workers[slot];
            let is_silent = worker.unresponsive_since.is_some_and(|since| since < sent);
            if worker.is_gone || !is_silent {
                continue;
            }
            if !self.machines.has_running_worker(&worker.entry.id) {
                self.retire_worker(slot, now);
            }
        }
    }

    /// How far the waves are, as it shall lie in the store.
    pub(super) fn waves_record(&self) -> WavesRecord {
        let records = self.waves.values().map(|progress| {
            let mut begun: Vec<InstanceId> = progress.begun.keys().cloned().collect();
            begun.sort();
            let record = WaveRecord { since_unix_ms: progress.since_unix_ms, begun };
            (progress.wave.number, record)
        });
        records.collect()
    }

    /// Takes in the outcome of an order to a machine.
    pub fn handle_machine_outcome(
        &mut self,
        command: &MachineCommand,
        outcome: MachineOutcome,
        now: Moment,
    ) {
        emit!(
            target: LOG_TARGET,
            JobsEvent::MachineOrdered,
            machine = command.machine(),
            order = format_args!("{command:?}"),
            outcome = format_args!("{outcome:?}")
        );
        let is_open = outcome == MachineOutcome::Unknown;
        if is_open {
            self.machine_leases.extend(command.machine(), now + LATE_ORDER_MAX);
        }
        if let Some(ordered) = self.machines_ordered.get_mut(command.machine()) {
            ordered.is_open = is_open;
        }
        let accepted = outcome == MachineOutcome::Accepted;
        if !accepted && !is_open {
            self.moving.remove(command.machine());
        }
        if let Some(slot) = self.worker_on_machine(command.machine()) {
            let worker = &mut self.workers[slot];
            worker.is_leaving = is_open || accepted;
            worker.is_cordoned &= worker.is_leaving;
            // Whether it has gone down, or had been maintained before, the next list shows.
            worker.leaving_since = match outcome {
                MachineOutcome::Accepted => Some(now),
                MachineOutcome::Unknown => Some(now + LATE_ORDER_MAX),
                _ => None,
            };
        }
        if !accepted {
            return;
        }
        if let MachineCommand::Maintain { machine, wave } = command
            && let Some(progress) = self.waves.get_mut(wave)
        {
            progress.begun.entry(machine.clone()).or_insert(now);
            progress.draining.remove(machine);
            self.raise_urgency(WriteUrgency::High);
        }
        self.is_list_wanted = true;
    }

    pub(super) fn worker_on_machine(&self, machine: &str) -> Option<WorkerSlot> {
        let listed = self.machines.get(machine)?;
        self.current_slots.get(listed.worker.as_ref()?).copied()
    }

    /// Orders the maintenance that is due.
    pub(super) fn plan_maintenance(&mut self, now: Moment, commands: &mut Vec<Command>) {
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
        // Taken out while workers are marked, and put back below.
        let Some(mut progress) = self.waves.remove(&number) else { return };
        if progress.stored != Some(true) {
            self.take_down(&mut progress, now, commands);
        }
        self.waves.insert(number, progress);
    }

    /// Takes down the machines of a wave that may go now, the emptiest first, and keeps new work
    /// off those that follow.
    fn take_down(&mut self, progress: &mut WaveProgress, now: Moment, commands: &mut Vec<Command>) {
        let down = self.down_count(progress);
        let mut open = self.open_machines(progress, now);
        for slot in open.iter().filter_map(|(_, slot)| *slot) {
            self.workers[slot].is_maintenance_due = true;
        }
        let at_once = at_once(progress, open.len(), now);
        let free = progress.wave.concurrent_max.saturating_sub(down);
        let paced = at_once.saturating_sub(down);
        // Machines with long-running tasks take longest to empty, so these begin first.
        open.sort_by_cached_key(|(machine, slot)| {
            let runs = slot.map_or(0, |slot| 1 + self.workers[slot].runs.len());
            let is_settled = slot.is_some_and(|slot| self.hosts_long_running(slot));
            (!progress.draining.contains_key(&machine.id), !is_settled, runs, machine.id.clone())
        });
        let hosts: Vec<WorkerSlot> = open.iter().filter_map(|(_, slot)| *slot).collect();
        let patience = progress.wave.time_limit.mul_f64(PATIENT_PART);
        let is_late = now.saturating_sub(progress.since) > patience;
        let mut taken: Vec<InstanceId> = Vec::new();
        // Machines that go as soon as they are named in the store.
        let mut named = 0;
        let mut draining: BTreeSet<InstanceId> = BTreeSet::new();
        for (machine, slot) in open {
            let since = progress.draining.get(&machine.id).copied();
            let waited = since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
            let patient = !is_late && waited < DRAINING_MAX;
            let is_free = slot.is_none_or(|slot| self.can_take_down(slot, patient, now));
            let is_repeat = self.is_order_open(&machine.id);
            let is_spared = slot.is_none_or(|slot| self.is_spared(slot));
            let most = if is_spared { free } else { paced };
            if is_repeat || (is_free && taken.len() + named < most) {
                if !self.machine_leases.acquire(&machine.id, now) {
                    named += 1;
                    draining.insert(machine.id);
                    continue;
                }
                if let Some(slot) = slot {
                    self.workers[slot].is_leaving = true;
                }
                taken.push(machine.id);
            } else if draining.len() < paced + DRAINING_AHEAD {
                draining.insert(machine.id);
            }
        }
        let going = draining.iter().filter_map(|machine| self.worker_on_machine(machine)).collect();
        self.evict_long_running(&hosts, &going, now);
        self.drain_machines(progress, draining, now);
        for machine in taken {
            self.order_maintenance(progress.wave.number, machine, now, commands);
        }
    }

    /// Whether a worker's machine is one that no service wants now.
    fn is_spared(&self, slot: WorkerSlot) -> bool {
        let worker = &self.workers[slot];
        worker.runs.is_empty() && self.surplus.get(&worker.entry.service).is_some_and(|it| *it > 0)
    }

    fn hosts_long_running(&self, slot: WorkerSlot) -> bool {
        self.workers[slot].counts.long_running > 0
    }

    /// Machines of a wave that are down for it, or may be.
    fn down_count(&self, progress: &WaveProgress) -> usize {
        let is_back = |machine: &InstanceId, begun: Moment| {
            let listed = self.machines.get(machine);
            let seen_after = self.machines_listed.is_some_and(|at| at > begun);
            let is_up =
                |listed: &Machine| matches!(listed.state, MachineState::Up | MachineState::Moving);
            seen_after && listed.is_none_or(is_up)
        };
        let begun = progress.begun.iter().filter(|(machine, at)| !is_back(machine, **at)).count();
        let unknown = progress.wave.machines.iter().filter(|machine| {
            let ordered = self.is_order_open(machine);
            let listed = self.machines.get(machine);
            let down = listed.is_some_and(|listed| listed.state == MachineState::Maintenance);
            (ordered || down) && !progress.begun.contains_key(*machine)
        });
        begun + unknown.count()
    }

    /// Whether an order to a machine was sent and may still be carried out.
    fn is_order_open(&self, machine: &str) -> bool {
        self.machines_ordered.get(machine).is_some_and(|ordered| ordered.is_open)
    }

    /// Machines of a wave whose maintenance has not begun, with their workers, but those that
    /// another instance ordered lately.
    fn open_machines(
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

    /// Keeps new work off the machines that are taken down next, and off no others.
    fn drain_machines(
        &mut self,
        progress: &mut WaveProgress,
        draining: BTreeSet<InstanceId>,
        now: Moment,
    ) {
        let former = std::mem::take(&mut progress.draining);
        progress.draining = draining
            .iter()
            .map(|machine| (machine.clone(), former.get(machine).copied().unwrap_or(now)))
            .collect();
        for machine in former.keys().filter(|machine| !draining.contains(*machine)) {
            if let Some(slot) = self.worker_on_machine(machine) {
                self.workers[slot].is_cordoned = self.workers[slot].is_leaving;
                self.mark_worker_service_changed(slot);
            }
        }
        for machine in &draining {
            if let Some(slot) = self.worker_on_machine(machine) {
                self.workers[slot].is_cordoned = true;
            }
        }
    }

    fn order_maintenance(
        &mut self,
        number: WaveNumber,
        machine: InstanceId,
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        if let Some(slot) = self.worker_on_machine(&machine) {
            self.workers[slot].is_cordoned = true;
        }
        let last = self.machines_ordered.get(&machine);
        if last.is_some_and(|last| now.saturating_sub(last.at) < ORDER_RETRY) {
            return;
        }
        self.machines_ordered.insert(machine.clone(), SentCommand { at: now, is_open: true });
        commands.push(Command::Machine(MachineCommand::Maintain { machine, wave: number }));
    }

    /// Waves whose status in the store is behind.
    pub(super) fn wave_statuses(&self) -> Vec<(WaveNumber, bool)> {
        let behind = self.waves.values().filter_map(|progress| {
            let is_complete = self.is_complete(progress);
            (progress.stored != Some(is_complete)).then_some((progress.wave.number, is_complete))
        });
        behind.collect()
    }

    /// Whether the maintenance of each machine has begun, but of those that have left for good.
    fn is_complete(&self, progress: &WaveProgress) -> bool {
        let listed_lately = self.machines_listed.is_some_and(|at| at > progress.since);
        listed_lately
            && progress.wave.machines.iter().all(|machine| {
                let is_listed = self.machines.get(machine).is_some();
                progress.begun.contains_key(machine) || !is_listed
            })
    }

    pub(super) fn note_wave_statuses(&mut self, statuses: &[(WaveNumber, bool)]) {
        for (number, is_complete) in statuses {
            if let Some(progress) = self.waves.get_mut(number) {
                progress.stored = Some(*is_complete);
            }
        }
    }
}

/// How many machines of a wave are down at once: as few as keep its term.
///
/// Answers the load pattern of a wave that begins while a service has its turn: the machines that
/// are wanted go down evenly over the term and not all at its begin.
fn at_once(progress: &WaveProgress, open: usize, now: Moment) -> usize {
    let planned = progress.wave.time_limit.mul_f64(1.0 - SPARE_PART);
    let left = (progress.since + planned).saturating_sub(now);
    let rounds = (left.as_secs_f64() / MAINTENANCE_TIME.as_secs_f64()).floor().max(1.0);
    let needed = (open as f64 / rounds).ceil() as usize;
    needed.clamp(1, progress.wave.concurrent_max.max(1))
}
