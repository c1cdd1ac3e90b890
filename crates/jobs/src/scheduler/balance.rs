//! Moves machines between services.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId, ZoneId};
use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::machine_commands::{AttemptNumber, MachineAttempt, MachineCommand};
use super::{Command, Scheduler};
use crate::balance::{Load, Pool, SURPLUS_MACHINES, choose_moves, machines_for};
use crate::clients::MachineOutcome;
use crate::cluster::{Machine, MachineState};
use crate::event::JobsEvent;
use crate::spec::StepId;
use crate::worker::Worker;

/// Time between two balancing passes.
const BALANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the machine command rate that moves may use; the rest is reserved for maintenance.
const MOVES_SHARE: f64 = 0.9;
/// Time from a move command until the worker accepts tasks, in addition to the move itself.
const WORKER_START_TIME: Duration = Duration::from_millis(500);
/// Upper bound on the estimated time to issue all move commands for one service, in seconds.
const ISSUE_TIME_MAX_S: f64 = 1.5;
/// Maximum age of a list of machines that is used.
const MACHINE_LIST_AGE_MAX: Duration = Duration::from_millis(2_000);
/// A move that the list of machines does not show after this time, and that can no longer be
/// executed, is abandoned.
const MOVE_TIMEOUT: Duration = Duration::from_millis(6_000);
/// A machine counts as idle once its worker has had no work for this time.
const IDLE_AFTER: Duration = Duration::from_millis(300);

/// Number of an attempt that was given up before it was sent.
const UNSENT_ATTEMPT: AttemptNumber = 0;

/// A machine that can move without stopping any run.
struct IdleMachine {
    id: InstanceId,
    /// Whether some machine of its availability zone responds.
    is_reachable: bool,
    /// Whether it was vacated for a move.
    is_vacated: bool,
}

impl Scheduler {
    /// Chooses the machine moves that are due.
    pub(super) fn plan_machine_moves(&mut self, now: Moment) {
        if self.last_balanced.is_some_and(|at| now < at + BALANCE_INTERVAL) {
            return;
        }
        let is_list_recent =
            self.machines_listed_at.is_some_and(|at| now < at + MACHINE_LIST_AGE_MAX);
        if !is_list_recent {
            self.stop_vacating();
            return;
        }
        self.last_balanced = Some(now);
        self.remove_finished_moves(now);
        self.unresponsive_machines.update(self.list_unresponsive_machines(), now);
        let mut pools = self.pools(now);
        let is_short = self.divide_machines(&mut pools);
        let resent = self.resend_moves(&pools, now);
        let moves = choose_moves(&pools, self.moves_max().saturating_sub(resent));
        self.surplus_machines = count_surplus(&pools);
        if !moves.is_empty() {
            log_pools(&pools, moves.len(), is_short);
        }
        match is_short {
            true => self.vacate_machines(&pools, &moves, now),
            false => self.stop_vacating(),
        }
        for chosen in moves {
            self.moving_machines.insert(chosen.machine.clone(), (chosen.service.clone(), now));
            if let Some(slot) = self.worker_on_machine(&chosen.machine) {
                self.workers[slot].is_cordoned = true;
                self.workers[slot].is_leaving = true;
            }
            self.vacated_machines.remove(&chosen.machine);
            let (machine, service) = (chosen.machine, chosen.service);
            self.pending_moves.push(MachineCommand::Move { machine, service });
        }
    }

    /// Returns the number of moves that one balancing pass may choose.
    fn moves_max(&self) -> usize {
        let commands = self.settings.machine_commands_per_s * BALANCE_INTERVAL.as_secs_f64();
        (commands * MOVES_SHARE).ceil().max(1.0) as usize
    }

    /// Sends the moves without a response again whose machines are still needed. A move that was
    /// executed is not executed again. Returns the number of moves.
    fn resend_moves(&mut self, pools: &BTreeMap<ServiceId, Pool>, now: Moment) -> usize {
        let is_needed = |service: &ServiceId| {
            let pool = pools.get(service);
            pool.is_some_and(|pool| !pool.is_spare && pool.machines <= pool.needed)
        };
        let unanswered = self.moving_machines.iter().filter(|(machine, (service, _))| {
            is_needed(service)
                && self.open_commands.is_move_unanswered(machine)
                && !self.open_commands.was_sent_recently(machine, now)
                && !self.pending_moves.iter().any(|pending| pending.machine() == *machine)
        });
        let moves: Vec<MachineCommand> = unanswered
            .take(self.moves_max())
            .map(|(machine, (service, _))| MachineCommand::Move {
                machine: machine.clone(),
                service: service.clone(),
            })
            .collect();
        let count = moves.len();
        self.pending_moves.extend(moves);
        count
    }

    /// Issues the moves for which the lease on the machine is stored.
    pub(super) fn issue_machine_moves(&mut self, now: Moment, commands: &mut Vec<Command>) {
        for command in std::mem::take(&mut self.pending_moves) {
            if self.machine_leases.acquire(command.machine(), None, now) {
                self.send_machine_command(command, now, commands);
            } else if self.moving_machines.contains_key(command.machine()) {
                self.pending_moves.push(command);
            } else {
                let attempt = MachineAttempt { number: UNSENT_ATTEMPT, command };
                self.handle_machine_outcome(&attempt, MachineOutcome::Busy, now);
            }
        }
    }

    /// Removes the moves that the list of machines shows as done and those that have timed out.
    fn remove_finished_moves(&mut self, now: Moment) {
        let machines = &self.machines;
        let listed = self.machines_listed_at;
        let open_commands = &self.open_commands;
        self.moving_machines.retain(|id, (service, decided_at)| {
            let machine = machines.get(id);
            let is_listed_after = listed.is_some_and(|at| at > *decided_at);
            let is_done = machine.is_none_or(|machine| machine.service == *service);
            let may_be_executed = open_commands.may_leave_until(id).is_some();
            !(is_listed_after && is_done) && (may_be_executed || now < *decided_at + MOVE_TIMEOUT)
        });
    }

    fn pools(&mut self, now: Moment) -> BTreeMap<ServiceId, Pool> {
        let unresponsive_max = self.lease_max_with_skew();
        let unreachable_zones = self.unreachable_zones();
        let mut idle: BTreeMap<ServiceId, Vec<IdleMachine>> = BTreeMap::new();
        let mut pools: BTreeMap<ServiceId, Pool> = BTreeMap::new();
        for (id, service) in &self.config.services {
            let pool = Pool { is_spare: service.is_spare, ..Pool::default() };
            pools.insert(id.clone(), pool);
        }
        for machine in self.machines.iter() {
            let target = self.moving_machines.get(&machine.id).map(|(service, _)| service);
            let Some(pool) = pools.get_mut(target.unwrap_or(&machine.service)) else { continue };
            let is_usable = !matches!(machine.state, MachineState::Down | MachineState::Unknown);
            if !is_usable
                || self.is_draining(machine)
                || self.unresponsive_machines.is_unresponsive_for(
                    &machine.id,
                    unresponsive_max,
                    now,
                )
            {
                continue;
            }
            pool.machines += 1;
            if target.is_none() && self.is_idle(machine, now) {
                idle.entry(machine.service.clone()).or_default().push(IdleMachine {
                    is_reachable: !unreachable_zones.contains(&machine.zone),
                    is_vacated: self.vacated_machines.contains(&machine.id),
                    id: machine.id.clone(),
                });
            }
        }
        for (service, mut machines) in idle {
            let Some(pool) = pools.get_mut(&service) else { continue };
            // Machines are taken from the end.
            machines.sort_by_key(|machine| (machine.is_reachable, machine.is_vacated));
            pool.idle = machines.into_iter().map(|machine| machine.id).collect();
        }
        let cores_per_machine = self.cores_per_machine();
        for (id, pool) in pools.iter_mut().filter(|(_, pool)| !pool.is_spare) {
            let load = self.load(id, now);
            pool.needed =
                machines_for(load.cores(), cores_per_machine).max(self.min_workers_for_spread(id));
            pool.load = load;
            let is_falling = self.arrivals.is_falling(id, now);
            let needs = self.peak_needs.entry(id.clone()).or_default();
            let peak_need = needs.record(pool.needed, is_falling, now);
            if is_falling {
                needs.note_fall(pool.machines, self.arrivals.has_clearly_fallen(id, now));
            }
            let kept = peak_need.saturating_add(SURPLUS_MACHINES);
            pool.may_shrink = needs.has_fallen() && pool.machines > kept;
        }
        pools
    }

    /// Returns the machines that are up and in use by a service.
    fn machines_in_use(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|machine| {
            let service = self.config.services.get(&machine.service);
            machine.state == MachineState::Up && service.is_some_and(|service| !service.is_spare)
        })
    }

    fn has_responding_worker(&self, machine: &Machine) -> bool {
        let slot = machine.worker.as_ref().and_then(|id| self.current_slots.get(id));
        slot.is_some_and(|slot| self.workers[*slot].is_confirmed)
    }

    /// Returns the machines in use whose workers do not respond.
    fn list_unresponsive_machines(&self) -> Vec<InstanceId> {
        let unresponsive =
            self.machines_in_use().filter(|machine| !self.has_responding_worker(machine));
        unresponsive.map(|machine| machine.id.clone()).collect()
    }

    /// Returns the availability zones with machines in use of which none responds.
    fn unreachable_zones(&self) -> HashSet<ZoneId> {
        let (responding, unresponsive): (Vec<&Machine>, Vec<&Machine>) =
            self.machines_in_use().partition(|machine| self.has_responding_worker(machine));
        let mut zones: HashSet<ZoneId> =
            unresponsive.into_iter().map(|machine| machine.zone.clone()).collect();
        for machine in responding {
            zones.remove(&machine.zone);
        }
        zones
    }

    /// Returns whether a machine is cordoned for maintenance.
    fn is_draining(&self, machine: &Machine) -> bool {
        let slot = machine.worker.as_ref().and_then(|id| self.current_slots.get(id));
        slot.is_some_and(|slot| {
            self.workers[*slot].is_cordoned
                && !self.moving_machines.contains_key(&machine.id)
                && !self.vacated_machines.contains(&machine.id)
        })
    }

    /// Returns whether a machine can move now without stopping any run.
    fn is_idle(&self, machine: &Machine, now: Moment) -> bool {
        if machine.state != MachineState::Up
            || self.is_commanded(&machine.id)
            || self.machine_leases.is_leased_to_other(&machine.id, now)
        {
            return false;
        }
        let is_spare =
            self.config.services.get(&machine.service).is_some_and(|service| service.is_spare);
        let Some(slot) = machine.worker.as_ref().and_then(|id| self.current_slots.get(id)) else {
            return is_spare;
        };
        let worker = &self.workers[*slot];
        let is_past_idle_delay = self.vacated_machines.contains(&machine.id)
            || worker.last_run_ended.is_none_or(|at| now >= at + IDLE_AFTER);
        worker.is_confirmed
            && worker.has_listed_all()
            && !worker.is_leaving
            && worker.runs.is_empty()
            && is_past_idle_delay
    }

    /// Returns the mean number of cores of a machine.
    pub(super) fn cores_per_machine(&self) -> f64 {
        let known = self.machines.iter().filter(|machine| machine.state != MachineState::Unknown);
        let core_counts = known.map(|machine| machine.capacity.processors_milli);
        let (sum, count) = core_counts.fold((0.0, 0.0), |(sum, count), milli| {
            (sum + f64::from(milli) / 1_000.0, count + 1.0)
        });
        if count == 0.0 { 0.0 } else { sum / count }
    }

    fn load(&self, service: &ServiceId, now: Moment) -> Load {
        let ratio = self.run_time_ratio.ratio();
        let mut load =
            Load { arriving: self.arrivals.rate(service, now) * ratio, ..Load::default() };
        for slot in self.service_slots(service) {
            add_running(&self.workers[*slot], &mut load);
        }
        let are_inherited_runs_known = self.are_inherited_runs_known(service, now);
        // Other steps can't be placed before the runs that remain from previous owners are known.
        let placeable = |id: &StepId| are_inherited_runs_known || self.has_no_prior_runs(*id);
        for id in self.waiting_steps.of(service).filter(placeable) {
            let Some(spec) = self.spec(id) else { continue };
            let waiting = self.waiting_tasks(id, now).len() as f64;
            let cores = waiting * f64::from(spec.reserved().processors_milli) / 1_000.0;
            match spec.long_running {
                true => load.long_running += cores,
                false => {
                    let core_s = cores * self.run_time(id).as_secs_f64() * ratio;
                    load.waiting_core_s += core_s;
                    load.late_core_s += if self.is_late(id, now) { core_s } else { 0.0 };
                }
            }
        }
        load.expected = self.expected_rate(service, now) * ratio;
        load
    }

    /// Returns the expected run time of a step's tasks.
    pub(super) fn run_time(&self, step: StepId) -> Duration {
        self.jobs.get(&step.job).map_or(Duration::ZERO, |job| job.run_time(step.step))
    }

    /// Returns whether a waiting step's job can't meet its objective any more.
    fn is_late(&self, id: StepId, now: Moment) -> bool {
        let step = self.jobs.get(&id.job).and_then(|job| self.waiting_step(job, id));
        step.is_some_and(|step| !step.can_meet_objective(now))
    }

    /// Returns the arrival rate that is expected at the time when machines that move now accept
    /// tasks, in estimated cores. The lead includes the time to issue the move commands, which is
    /// significant for many machines.
    fn expected_rate(&self, service: &ServiceId, now: Moment) -> f64 {
        let ready_delay = self.settings.machine_move_duration + WORKER_START_TIME;
        let rate = self.arrivals.predicted_rate(service, ready_delay, now);
        let machines = machines_for(rate * self.run_time_ratio.ratio(), self.cores_per_machine());
        let moves_per_s = (self.settings.machine_commands_per_s * MOVES_SHARE).max(1.0);
        let issue_time_s = (machines as f64 / moves_per_s).min(ISSUE_TIME_MAX_S);
        let lead = ready_delay + Duration::from_secs_f64(issue_time_s);
        self.arrivals.predicted_rate(service, lead, now)
    }

    /// Returns the number of workers that the per-worker task limits of a service's steps require.
    pub(super) fn min_workers_for_spread(&self, service: &ServiceId) -> usize {
        let workers_per_step = self.ready_steps.of(service).filter_map(|id| {
            let spec = self.spec(id)?;
            let step = self.jobs.get(&id.job)?.step(id)?;
            let open = spec.tasks.saturating_sub(step.done);
            // A limit of zero is met by no number of workers.
            let per_worker_max = spec.per_worker_max.filter(|most| *most > 0)?;
            Some(open.div_ceil(per_worker_max) as usize)
        });
        workers_per_step.max().unwrap_or(0)
    }
}

/// Adds the runs of a worker to the load of its service.
fn add_running(worker: &Worker, load: &mut Load) {
    let long_running_milli = worker.counts.long_running_milli;
    let running_milli = worker.reserved.processors_milli.saturating_sub(long_running_milli);
    load.long_running += f64::from(long_running_milli) / 1_000.0;
    load.running += f64::from(running_milli) / 1_000.0;
}

/// Returns the number of surplus machines of each service: 0 while any service needs more machines.
fn count_surplus(pools: &BTreeMap<ServiceId, Pool>) -> HashMap<ServiceId, usize> {
    let is_any_short = pools.values().any(|pool| !pool.is_spare && pool.machines < pool.needed);
    let counts = pools.iter().map(|(service, pool)| {
        let excess = if is_any_short { 0 } else { pool.machines.saturating_sub(pool.needed) };
        (service.clone(), excess)
    });
    counts.collect()
}

/// Logs the machines that each service has and needs.
fn log_pools(pools: &BTreeMap<ServiceId, Pool>, moves: usize, is_short: bool) {
    let descriptions = pools.iter().map(|(service, pool)| {
        let Pool { machines, needed, idle, load, .. } = pool;
        format!("{service}={machines}/{needed} idle {} ({load})", idle.len())
    });
    let pools = descriptions.collect::<Vec<_>>().join(", ");
    emit!(JobsEvent::PoolsBalanced, moves = moves, is_short = is_short, pools = pools);
}
