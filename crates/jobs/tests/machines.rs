//! Single situations of machines, of moves and of maintenance that the scheduler has to get right.
//! Each was a fault once.

mod desk;
mod emulator;

use std::time::Duration;

use cassiafold_jobs::clients::{MachineOutcome, PollError, PollResponse, RunningRun};
use cassiafold_jobs::cluster::{Machine, MachineState};
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::record::{
    COMMANDED_MACHINES_KEY, CommandedMachinesRecord, WaveRecord, WavesRecord,
};
use cassiafold_jobs::scheduler::{Command, MachineCommand, OwnerTerm, Scheduler, WriteUrgency};
use cassiafold_jobs::spec::{JobId, Resources, StepId, TaskId};

use self::desk::{Desk, long_running, touched};
use self::emulator::worker::EmulatedWorker;
use self::emulator::{SERVICE, config, cores, job, ms, settings, step};

#[test]
fn machines_with_tasks_of_one_step_do_not_go_down_together() {
    let mut desk = Desk::new(3, OwnerTerm::default());
    desk.submit(1, vec![long_running(2, Some(1))]);
    desk.pass(ms(1_500));
    assert_eq!(desk.running(), 2);
    desk.list(Desk::machines(3, MachineState::Up));
    desk.wave_of(&[0, 1, 2], 3);
    desk.pass(ms(300));
    let busy: Vec<WorkerSlot> =
        desk.running.iter().filter(|(_, runs)| !runs.is_empty()).map(|(slot, _)| *slot).collect();
    let ordered = desk
        .machine_orders
        .iter()
        .filter(|order| busy.iter().any(|slot| **order.machine() == *format!("m{slot}")));
    assert_eq!(ordered.count(), 1);
}

/// A desk at which one worker runs three long-running tasks of a step.
fn crowded(workers: usize) -> (Desk, WorkerSlot) {
    let mut desk = Desk::new(workers, OwnerTerm::default());
    desk.submit(1, vec![long_running(3, None)]);
    desk.pass(ms(1_500));
    let slot = *desk.running.keys().next().expect("one worker runs all");
    assert_eq!(desk.running[&slot].len(), 3);
    (desk, slot)
}

#[test]
fn a_machine_with_several_tasks_of_a_step_is_thinned_out_first() {
    let (mut desk, slot) = crowded(2);
    desk.list(Desk::machines(2, MachineState::Up));
    desk.wave_of(&[slot], 1);
    while desk.machine_orders.is_empty() {
        assert!(!desk.running[&slot].is_empty() && desk.running() >= 2, "one away at a time");
        desk.pass(ms(10));
    }
    assert_eq!(desk.running[&slot].len(), 1);
    assert_eq!(desk.running(), 3);
}

#[test]
fn a_task_that_leaves_for_a_wave_goes_where_no_maintenance_is_due() {
    let (mut desk, first) = crowded(6);
    let apart = if first == 5 { 4 } else { 5 };
    let in_wave: Vec<usize> = (0..6).filter(|number| *number != apart).collect();
    desk.list(Desk::machines(6, MachineState::Up));
    desk.wave_of(&in_wave, 1);
    desk.pass(ms(3_000));
    assert_eq!(desk.running[&first].len(), 1);
    assert_eq!(desk.running.get(&apart).map(Vec::len), Some(2));
}

/// Guards against late waves: machines with tasks of several steps waited for all of them at once.
#[test]
fn each_step_moves_a_task_off_the_machines_of_a_wave_as_soon_as_its_budget_allows() {
    const STEPS: u64 = 4;
    let mut desk = Desk::new(8, OwnerTerm::default());
    for id in 1..=STEPS {
        desk.submit(id, vec![long_running(4, Some(1))]);
    }
    desk.pass(ms(1_500));
    let hosts: Vec<usize> = (0..8).filter(|slot| desk.running.contains_key(slot)).collect();
    assert_eq!(hosts.len(), 4, "each hosts a task of each step");
    desk.list(Desk::machines(8, MachineState::Up));
    desk.wave_of(&hosts, 1);
    let stops = desk.scheduler.plan(Duration::ZERO, desk.now + ms(100));
    let stops = stops.iter().filter_map(|order| match order {
        Command::Stop { task, .. } => Some(task.step.job),
        _ => None,
    });
    let mut jobs: Vec<JobId> = stops.collect();
    jobs.sort_unstable();
    assert_eq!(jobs, (1..=STEPS).collect::<Vec<_>>());
}

/// As where a service whose demand rises gets new machines in the middle of a wave.
#[test]
fn a_wave_keeps_work_off_one_machine_more_than_may_be_down() {
    let mut desk = Desk::new(6, OwnerTerm::default());
    desk.list(Desk::machines(6, MachineState::Up));
    desk.wave_of(&[0, 1, 2, 3, 4, 5], 2);
    desk.pass(ms(300));
    assert_eq!(desk.machine_orders.len(), 2);
    let closed = (0..6).filter(|slot| desk.scheduler.worker(*slot).is_cordoned).count();
    assert_eq!(closed, 3);
}

/// Orders within 300 ms to a machine with a short task, in a wave whose term is 20 s.
fn orders_under_a_new_owner(since_unix_ms: u64) -> usize {
    let wave = WaveRecord { since_unix_ms, ..WaveRecord::default() };
    let waves = WavesRecord::from([(1, wave)]);
    let started_unix = Duration::from_secs(1_000);
    let mut desk = Desk::new(1, OwnerTerm { waves, started_unix, ..OwnerTerm::default() });
    desk.submit(1, vec![step(1, 1, &[])]);
    desk.pass(ms(100));
    assert_eq!(desk.running(), 1);
    desk.list(Desk::machines(1, MachineState::Up));
    desk.wave_of(&[0], 1);
    desk.pass(ms(300));
    desk.machine_orders.len()
}

#[test]
fn a_service_gives_no_machine_away_before_its_demand_has_fallen() {
    let mut desk = Desk::new(4, OwnerTerm::default());
    for _ in 0..4 {
        desk.list(Desk::machines(4, MachineState::Up));
        desk.pass(ms(1_000));
    }
    assert_eq!(desk.machine_orders, []);
    for id in 0..20 {
        desk.submit(id, vec![step(1, 1, &[])]);
    }
    for _ in 0..3 {
        desk.pass(ms(300));
        desk.list(Desk::machines(4, MachineState::Up));
    }
    for id in 0..20 {
        desk.scheduler.cancel(id, desk.now);
    }
    for _ in 0..4 {
        desk.pass(ms(500));
        desk.list(Desk::machines(4, MachineState::Up));
    }
    assert!(!desk.machine_orders.is_empty(), "nothing runs there any more");
}

#[test]
fn a_new_owner_keeps_the_term_of_a_wave_that_an_earlier_one_saw_first() {
    assert_eq!(orders_under_a_new_owner(1_000_000), 0, "there is time to wait for the task");
    assert_eq!(orders_under_a_new_owner(983_000), 1, "most of the term is over");
}

#[test]
fn a_maintained_machine_that_moves_does_not_hold_up_its_wave() {
    let mut desk = Desk::new(2, OwnerTerm::default());
    desk.list(Desk::machines(2, MachineState::Up));
    desk.wave_of(&[0, 1], 1);
    desk.pass(ms(100));
    let first = desk.machine_orders.remove(0);
    desk.scheduler.handle_machine_outcome(&first, MachineOutcome::Accepted, desk.now);
    desk.now += ms(10);
    desk.list(Desk::machines(2, MachineState::Maintenance));
    desk.pass(ms(2_500));
    assert_eq!(desk.machine_orders, vec![], "one at a time");
    let mut machines = Desk::machines(2, MachineState::Up);
    let number = usize::from(&**first.machine() == "m1");
    machines[number].state = MachineState::Moving;
    desk.list(machines);
    desk.pass(ms(200));
    assert_eq!(desk.machine_orders.len(), 1);
}

#[test]
fn a_task_is_not_stopped_for_a_wave_while_no_other_worker_has_room() {
    let mut desk = Desk::new(1, OwnerTerm::default());
    desk.submit(1, vec![long_running(3, None)]);
    desk.pass(ms(1_500));
    desk.list(Desk::machines(1, MachineState::Up));
    desk.wave_of(&[0], 1);
    desk.pass(ms(3_000));
    assert_eq!(desk.running(), 3);
}

#[test]
fn a_machine_comes_for_tasks_whose_only_worker_is_emptied() {
    let mut desk = Desk::new(1, OwnerTerm::default());
    desk.submit(1, vec![long_running(3, None)]);
    desk.pass(ms(1_500));
    let mut machines = Desk::machines(2, MachineState::Up);
    machines[1].service = "spare".into();
    machines[1].worker = None;
    desk.list(machines);
    desk.wave_of(&[0], 1);
    desk.pass(ms(1_000));
    let order = MachineCommand::Move { machine: "m1".into(), service: SERVICE.into() };
    assert_eq!(desk.machine_orders, vec![order]);
}

#[test]
fn tasks_that_must_be_apart_get_as_many_machines() {
    let mut desk = Desk::new(1, OwnerTerm::default());
    let mut machines = Desk::machines(4, MachineState::Up);
    for machine in &mut machines[1..] {
        machine.service = "spare".into();
        machine.worker = None;
    }
    desk.list(machines);
    desk.submit(1, vec![long_running(3, Some(1))]);
    desk.pass(ms(1_000));
    assert_eq!(desk.machine_orders.len(), 2);
}

#[test]
fn an_order_that_had_been_carried_out_before_loses_no_worker() {
    let mut desk = Desk::new(1, OwnerTerm::default());
    desk.submit(1, vec![step(1, 1, &[])]);
    desk.pass(ms(100));
    desk.list(Desk::machines(1, MachineState::Up));
    let order = MachineCommand::Maintain { machine: "m0".into(), wave: 1 };
    desk.scheduler.handle_machine_outcome(&order, MachineOutcome::Accepted, desk.now);
    desk.pass(ms(100));
    desk.list(Desk::machines(1, MachineState::Up));
    desk.pass(ms(300));
    assert_eq!(desk.running(), 1);
    assert!(!desk.scheduler.worker(0).is_gone);
}

#[test]
fn an_order_that_took_a_machine_down_loses_its_worker() {
    let mut desk = Desk::new(2, OwnerTerm::default());
    desk.submit(1, vec![step(1, 1, &[])]);
    desk.pass(ms(100));
    desk.list(Desk::machines(2, MachineState::Up));
    for number in 0..2 {
        let order = MachineCommand::Maintain { machine: format!("m{number}").into(), wave: 1 };
        desk.scheduler.handle_machine_outcome(&order, MachineOutcome::Accepted, desk.now);
    }
    desk.pass(ms(100));
    desk.list(Desk::machines(2, MachineState::Maintenance));
    assert!(desk.scheduler.worker(0).is_gone && desk.scheduler.worker(1).is_gone);
}

#[test]
fn a_silent_worker_is_given_up_at_once_when_its_machine_is_down() {
    let mut desk = Desk::new(2, OwnerTerm::default());
    desk.submit(1, vec![step(1, 1, &[])]);
    desk.pass(ms(100));
    let slot = *desk.running.keys().next().expect("one worker runs it");
    let error = PollError::NoAnswer("timeout".into());
    desk.scheduler.handle_poll_failure(slot, false, &error, desk.now);
    desk.now += ms(10);
    let mut machines = Desk::machines(2, MachineState::Up);
    machines[slot].state = MachineState::Down;
    desk.list(machines);
    assert!(desk.scheduler.worker(slot).is_gone);
    desk.pass(ms(100));
    let other = 1 - slot;
    assert_eq!(desk.running.get(&other).map(Vec::len), Some(1));
}

#[test]
fn a_silent_worker_whose_machine_is_up_keeps_its_tasks_until_the_lease_is_over() {
    let mut desk = Desk::new(2, OwnerTerm::default());
    desk.submit(1, vec![step(1, 1, &[])]);
    desk.pass(ms(100));
    let slot = *desk.running.keys().next().expect("one worker runs it");
    let error = PollError::NoAnswer("timeout".into());
    for _ in 0..28 {
        desk.scheduler.handle_poll_failure(slot, false, &error, desk.now);
        desk.now += ms(200);
        desk.list(Desk::machines(2, MachineState::Up));
        for order in desk.scheduler.plan(Duration::ZERO, desk.now) {
            if !matches!(order, Command::Poll { worker, .. } if worker == slot) {
                desk.carry_out(order);
            }
        }
    }
    assert_eq!(desk.running(), 1, "nothing else was started within 5.6 s");
}

#[test]
fn a_machine_whose_worker_has_not_been_looked_at_does_not_go_down() {
    let now = ms(100_000);
    let term = OwnerTerm { token: 50, ..OwnerTerm::default() };
    let mut scheduler = Scheduler::new(settings(), term, now);
    scheduler.set_config(config(Resources::default()));
    let entries = (0..2).map(|number| EmulatedWorker::new(number, cores(16)).entry());
    scheduler.set_workers(entries.collect(), now);
    let mut desk = Desk::of(scheduler, now);
    desk.list(Desk::machines(2, MachineState::Up));
    desk.wave_of(&[0, 1], 2);
    desk.now += ms(60);
    let is_machine = |order: &Command| matches!(order, Command::Machine(_));
    assert!(!desk.scheduler.plan(Duration::ZERO, desk.now).iter().any(is_machine));
    desk.pass(ms(300));
    assert!(!desk.machine_orders.is_empty(), "afterwards one goes down after the other");
}

#[test]
fn a_run_that_an_earlier_owner_may_be_stopping_does_not_count_as_at_work() {
    let mut desk = Desk::new(2, OwnerTerm { token: 50, ..OwnerTerm::default() });
    let touched = touched(Vec::new());
    let record = job(vec![long_running(2, Some(1))]);
    desk.scheduler.add_job(1, record, 40, Some(&touched), desk.now);
    for slot in 0..2 {
        let index = u32::try_from(slot).expect("small");
        let task = TaskId { step: StepId { job: 1, occurrence: 0, step: 0 }, index };
        desk.running.insert(slot, vec![(task, 1)]);
        let row = RunningRun { task, run: 1, checkpoint: None, percent: 100, load_metric: 0 };
        let poll = PollResponse { clock: desk.now, running: vec![row], ..PollResponse::default() };
        desk.scheduler.handle_poll_response(slot, false, desk.now, desk.now, poll);
    }
    desk.list(Desk::machines(2, MachineState::Up));
    desk.wave_of(&[0, 1], 1);
    desk.pass(settings().stop_grace_period);
    assert_eq!(desk.machine_orders, vec![]);
    desk.pass(ms(2_500));
    let mut machines: Vec<_> = desk.machine_orders.iter().map(MachineCommand::machine).collect();
    machines.dedup();
    assert_eq!(machines.len(), 1, "one of them goes down");
}

/// A desk with an empty service whose two machines are in the spare pool, and a job that wants
/// one of them.
fn wanting(commanded_machines: &[(&str, &str)]) -> Desk {
    let commanded_machines: CommandedMachinesRecord = commanded_machines
        .iter()
        .map(|(machine, holder)| ((*machine).into(), (*holder).into()))
        .collect();
    let term =
        OwnerTerm { token: 50, commanded_machines, instance: "a".into(), ..OwnerTerm::default() };
    let mut desk = Desk::begin(0, term);
    desk.list(Desk::spare_machines(2));
    desk.submit(1, vec![step(1, 1, &[])]);
    desk
}

fn ordered(desk: &Desk) -> Vec<&str> {
    desk.machine_orders.iter().map(|order| &**order.machine()).collect()
}

#[test]
fn a_new_owner_moves_machines_at_once_that_nobody_ordered_lately() {
    let mut desk = wanting(&[("m1", "b")]);
    desk.pass(ms(300));
    assert_eq!(ordered(&desk), ["m0"]);
}

#[test]
fn a_new_owner_waits_for_machines_that_another_instance_ordered_lately() {
    let mut desk = wanting(&[("m0", "b"), ("m1", "b")]);
    desk.pass(settings().machine_lease);
    assert!(ordered(&desk).is_empty());
    desk.list(desk.listed.clone());
    desk.pass(ms(500));
    assert_eq!(ordered(&desk).len(), 1);
}

#[test]
fn a_new_owner_orders_machines_at_once_that_its_own_instance_ordered_lately() {
    let mut desk = wanting(&[("m0", "b"), ("m1", "a")]);
    desk.pass(ms(300));
    assert_eq!(ordered(&desk), ["m1"]);
}

#[test]
fn a_machine_is_named_in_the_store_before_it_is_ordered() {
    let mut desk = wanting(&[]);
    let is_machine = |order: &Command| matches!(order, Command::Machine(_));
    desk.now += ms(250);
    assert!(!desk.scheduler.plan(Duration::ZERO, desk.now).iter().any(is_machine));
    assert_eq!(desk.scheduler.write_urgency(), WriteUrgency::High);
    let flush = desk.scheduler.next_write_batch(desk.now).expect("a write");
    assert!(flush.puts.iter().any(|(key, _)| &**key == COMMANDED_MACHINES_KEY));
    assert!(!desk.scheduler.plan(Duration::ZERO, desk.now).iter().any(is_machine));
    desk.scheduler.handle_write_committed(&flush, desk.now);
    assert!(desk.scheduler.plan(Duration::ZERO, desk.now).iter().any(is_machine));
}

#[test]
fn work_that_waits_for_silent_workers_asks_for_no_machines() {
    let known = vec![(&EmulatedWorker::new(9, cores(1)).entry()).into()];
    let mut desk =
        Desk::begin(0, OwnerTerm { token: 50, known_workers: known, ..OwnerTerm::default() });
    let mut machines = Desk::spare_machines(2);
    let worker = Some("w9".into());
    machines.extend(Desk::machines(1, MachineState::Up).into_iter().map(|machine| Machine {
        id: "m9".into(),
        worker: worker.clone(),
        ..machine
    }));
    let held = job(vec![step(200, 1, &[])]);
    desk.scheduler.add_job(1, held, 40, Some(&touched(vec![])), desk.now);
    for _ in 0..5 {
        desk.list(machines.clone());
        desk.pass_silently(ms(1_000));
    }
    assert!(ordered(&desk).is_empty());
    desk.list(machines.clone());
    desk.pass_silently(ms(1_500));
    assert_eq!(ordered(&desk).len(), 2, "the lease of what may run there is over");
}
