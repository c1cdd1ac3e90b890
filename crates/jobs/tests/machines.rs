//! Regression tests of the scheduler: machines, moves and maintenance. Each covers a past fault.

mod emulator;
mod harness;

use std::time::Duration;

use cassiafold_jobs::clients::{MachineOutcome, PollError};
use cassiafold_jobs::cluster::{Machine, MachineState};
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::record::{
    COMMANDED_MACHINES_KEY, CommandedMachine, CommandedMachinesRecord, WaveRecord, WavesRecord,
};
use cassiafold_jobs::scheduler::{Command, MachineCommand, OwnerTerm, Scheduler, WriteUrgency};
use cassiafold_jobs::spec::{JobId, Resources};

use self::emulator::worker::EmulatedWorker;
use self::emulator::{SERVICE, config, cores, job, ms, settings, step};
use self::harness::{SchedulerHarness, long_running, state_from_previous_owner, worker_record};

#[test]
fn machines_with_tasks_of_one_step_do_not_go_down_together() {
    let mut harness = SchedulerHarness::new(3, OwnerTerm::default());
    harness.submit(1, vec![long_running(2, Some(1))]);
    harness.run_for(ms(1_500));
    assert_eq!(harness.running(), 2);
    harness.set_machines(SchedulerHarness::machines(3, MachineState::Up));
    harness.set_wave(&[0, 1, 2], 3);
    harness.run_for(ms(300));
    let busy: Vec<WorkerSlot> = harness
        .running
        .iter()
        .filter(|(_, runs)| !runs.is_empty())
        .map(|(slot, _)| *slot)
        .collect();
    let commanded = harness
        .machine_commands
        .iter()
        .filter(|command| busy.iter().any(|slot| **command.machine() == *format!("m{slot}")));
    assert_eq!(commanded.count(), 1);
}

/// A harness in which one worker runs three long-running tasks of a step.
fn harness_with_three_tasks_on_one_worker(workers: usize) -> (SchedulerHarness, WorkerSlot) {
    let mut harness = SchedulerHarness::new(workers, OwnerTerm::default());
    harness.submit(1, vec![long_running(3, None)]);
    harness.run_for(ms(1_500));
    let slot = *harness.running.keys().next().expect("one worker runs all");
    assert_eq!(harness.running[&slot].len(), 3);
    (harness, slot)
}

#[test]
fn tasks_of_a_step_leave_a_machine_one_at_a_time_before_its_maintenance() {
    let (mut harness, slot) = harness_with_three_tasks_on_one_worker(2);
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness.set_wave(&[slot], 1);
    while harness.machine_commands.is_empty() {
        assert!(
            !harness.running[&slot].is_empty() && harness.running() >= 2,
            "at most one task is unavailable"
        );
        harness.run_for(ms(10));
    }
    assert_eq!(harness.running[&slot].len(), 1);
    assert_eq!(harness.running(), 3);
}

#[test]
fn a_task_evicted_for_a_wave_moves_to_a_machine_outside_the_wave() {
    let (mut harness, first) = harness_with_three_tasks_on_one_worker(6);
    let outside_wave = if first == 5 { 4 } else { 5 };
    let in_wave: Vec<usize> = (0..6).filter(|number| *number != outside_wave).collect();
    harness.set_machines(SchedulerHarness::machines(6, MachineState::Up));
    harness.set_wave(&in_wave, 1);
    harness.run_for(ms(3_000));
    assert_eq!(harness.running[&first].len(), 1);
    assert_eq!(harness.running.get(&outside_wave).map(Vec::len), Some(2));
}

/// Guards against late waves. A machine with tasks of several steps waited until the budgets of
/// all these steps allowed a move at the same time.
#[test]
fn each_step_moves_a_task_off_the_machines_of_a_wave_as_soon_as_its_budget_allows() {
    const STEPS: u64 = 4;
    let mut harness = SchedulerHarness::new(8, OwnerTerm::default());
    for id in 1..=STEPS {
        harness.submit(id, vec![long_running(4, Some(1))]);
    }
    harness.run_for(ms(1_500));
    let hosts: Vec<usize> = (0..8).filter(|slot| harness.running.contains_key(slot)).collect();
    assert_eq!(hosts.len(), 4, "each hosts a task of each step");
    harness.set_machines(SchedulerHarness::machines(8, MachineState::Up));
    harness.set_wave(&hosts, 1);
    let stops = harness.scheduler.plan(Duration::ZERO, harness.now + ms(100));
    let stops = stops.iter().filter_map(|command| match command {
        Command::Stop { task, .. } => Some(task.step.job),
        _ => None,
    });
    let mut jobs: Vec<JobId> = stops.collect();
    jobs.sort_unstable();
    assert_eq!(jobs, (1..=STEPS).collect::<Vec<_>>());
}

/// Happens when a service with rising demand gets new machines during a wave.
#[test]
fn a_wave_cordons_one_machine_more_than_may_be_down() {
    let mut harness = SchedulerHarness::new(6, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(6, MachineState::Up));
    harness.set_wave(&[0, 1, 2, 3, 4, 5], 2);
    harness.run_for(ms(300));
    assert_eq!(harness.machine_commands.len(), 2);
    let cordoned = (0..6).filter(|slot| harness.scheduler.worker(*slot).is_cordoned).count();
    assert_eq!(cordoned, 3);
}

/// Number of commands that a new owner sends within 300 ms to a machine with a short task. The
/// machine is in a wave with a time limit of 20 s, which a previous owner first saw at
/// `since_unix_ms`.
fn commands_under_a_new_owner(since_unix_ms: u64) -> usize {
    let wave = WaveRecord { since_unix_ms, ..WaveRecord::default() };
    let waves = WavesRecord::from([(1, wave)]);
    let started_unix = Duration::from_secs(1_000);
    let mut harness =
        SchedulerHarness::new(1, OwnerTerm { waves, started_unix, ..OwnerTerm::default() });
    harness.submit(1, vec![step(1, 1, &[])]);
    harness.run_for(ms(100));
    assert_eq!(harness.running(), 1);
    harness.set_machines(SchedulerHarness::machines(1, MachineState::Up));
    harness.set_wave(&[0], 1);
    harness.run_for(ms(300));
    harness.machine_commands.len()
}

#[test]
fn a_service_keeps_its_idle_machines_until_its_demand_has_fallen() {
    let mut harness = SchedulerHarness::new(4, OwnerTerm::default());
    for _ in 0..4 {
        harness.set_machines(SchedulerHarness::machines(4, MachineState::Up));
        harness.run_for(ms(1_000));
    }
    assert_eq!(harness.machine_commands, []);
    for id in 0..20 {
        harness.submit(id, vec![step(1, 1, &[])]);
    }
    for _ in 0..3 {
        harness.run_for(ms(300));
        harness.set_machines(SchedulerHarness::machines(4, MachineState::Up));
    }
    for id in 0..20 {
        harness.scheduler.cancel(id, harness.now);
    }
    for _ in 0..4 {
        harness.run_for(ms(500));
        harness.set_machines(SchedulerHarness::machines(4, MachineState::Up));
    }
    assert!(!harness.machine_commands.is_empty(), "nothing runs there any more");
}

#[test]
fn a_new_owner_keeps_the_start_time_of_a_wave_from_the_previous_owner() {
    assert_eq!(commands_under_a_new_owner(1_000_000), 0, "there is time to wait for the task");
    assert_eq!(commands_under_a_new_owner(983_000), 1, "most of the time limit is over");
}

#[test]
fn a_maintained_machine_that_moves_does_not_block_its_wave() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness.set_wave(&[0, 1], 1);
    harness.run_for(ms(100));
    let first = harness.machine_commands.remove(0);
    harness.answer(&first, MachineOutcome::Accepted);
    harness.now += ms(10);
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Maintenance));
    harness.run_for(ms(2_500));
    assert_eq!(harness.machine_commands, vec![], "one at a time");
    let mut machines = SchedulerHarness::machines(2, MachineState::Up);
    let number = usize::from(&**first.machine() == "m1");
    machines[number].state = MachineState::Moving;
    harness.set_machines(machines);
    harness.run_for(ms(200));
    assert_eq!(harness.machine_commands.len(), 1);
}

#[test]
fn a_task_is_not_stopped_for_a_wave_while_no_other_worker_has_capacity() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.submit(1, vec![long_running(3, None)]);
    harness.run_for(ms(1_500));
    harness.set_machines(SchedulerHarness::machines(1, MachineState::Up));
    harness.set_wave(&[0], 1);
    harness.run_for(ms(3_000));
    assert_eq!(harness.running(), 3);
}

#[test]
fn a_machine_is_moved_in_for_tasks_whose_only_worker_is_drained() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.submit(1, vec![long_running(3, None)]);
    harness.run_for(ms(1_500));
    let mut machines = SchedulerHarness::machines(2, MachineState::Up);
    machines[1].service = "spare".into();
    machines[1].worker = None;
    harness.set_machines(machines);
    harness.set_wave(&[0], 1);
    harness.run_for(ms(1_000));
    let command = MachineCommand::Move { machine: "m1".into(), service: SERVICE.into() };
    assert_eq!(harness.machine_commands, vec![command]);
}

#[test]
fn tasks_limited_to_one_per_worker_get_a_machine_each() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    let mut machines = SchedulerHarness::machines(4, MachineState::Up);
    for machine in &mut machines[1..] {
        machine.service = "spare".into();
        machine.worker = None;
    }
    harness.set_machines(machines);
    harness.submit(1, vec![long_running(3, Some(1))]);
    harness.run_for(ms(1_000));
    assert_eq!(harness.machine_commands.len(), 2);
}

#[test]
fn a_maintenance_command_that_had_been_executed_before_retires_no_worker() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.submit(1, vec![step(1, 1, &[])]);
    harness.run_for(ms(100));
    harness.set_machines(SchedulerHarness::machines(1, MachineState::Up));
    let command = MachineCommand::Maintain { machine: "m0".into(), wave: 1 };
    harness.answer(&command, MachineOutcome::Accepted);
    harness.run_for(ms(100));
    harness.set_machines(SchedulerHarness::machines(1, MachineState::Up));
    harness.run_for(ms(300));
    assert_eq!(harness.running(), 1);
    assert!(!harness.scheduler.worker(0).is_gone);
}

#[test]
fn a_maintenance_command_that_takes_a_machine_down_retires_its_worker() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.submit(1, vec![step(1, 1, &[])]);
    harness.run_for(ms(100));
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    for number in 0..2 {
        let command = MachineCommand::Maintain { machine: format!("m{number}").into(), wave: 1 };
        harness.answer(&command, MachineOutcome::Accepted);
    }
    harness.run_for(ms(100));
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Maintenance));
    assert!(harness.scheduler.worker(0).is_gone && harness.scheduler.worker(1).is_gone);
}

#[test]
fn an_unresponsive_worker_is_retired_immediately_when_its_machine_is_down() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.submit(1, vec![step(1, 1, &[])]);
    harness.run_for(ms(100));
    let slot = *harness.running.keys().next().expect("one worker runs it");
    let error = PollError::NoAnswer("timeout".into());
    harness.scheduler.handle_poll_failure(slot, false, &error, harness.now);
    harness.now += ms(10);
    let mut machines = SchedulerHarness::machines(2, MachineState::Up);
    machines[slot].state = MachineState::Down;
    harness.set_machines(machines);
    assert!(harness.scheduler.worker(slot).is_gone);
    harness.run_for(ms(100));
    let other = 1 - slot;
    assert_eq!(harness.running.get(&other).map(Vec::len), Some(1));
}

#[test]
fn an_unresponsive_worker_is_not_retired_while_a_machine_is_listed_unreadably() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.submit(1, vec![step(1, 1, &[])]);
    harness.run_for(ms(100));
    let slot = *harness.running.keys().next().expect("one worker runs it");
    let error = PollError::NoAnswer("timeout".into());
    harness.scheduler.handle_poll_failure(slot, false, &error, harness.now);
    harness.now += ms(10);
    let mut machines = SchedulerHarness::machines(2, MachineState::Up);
    machines[slot] =
        Machine { state: MachineState::Unknown, worker: None, ..machines[slot].clone() };
    harness.set_machines(machines);
    assert!(!harness.scheduler.worker(slot).is_gone);
}

#[test]
fn an_unresponsive_worker_whose_machine_is_up_keeps_its_tasks_until_the_lease_expires() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.submit(1, vec![step(1, 1, &[])]);
    harness.run_for(ms(100));
    let slot = *harness.running.keys().next().expect("one worker runs it");
    let error = PollError::NoAnswer("timeout".into());
    for _ in 0..28 {
        harness.scheduler.handle_poll_failure(slot, false, &error, harness.now);
        harness.now += ms(200);
        harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
        for command in harness.scheduler.plan(Duration::ZERO, harness.now) {
            if !matches!(command, Command::Poll { worker, .. } if worker == slot) {
                harness.execute(command);
            }
        }
    }
    assert_eq!(harness.running(), 1, "nothing else was started within 5.6 s");
}

#[test]
fn a_machine_whose_worker_has_not_been_polled_does_not_go_down() {
    let now = ms(100_000);
    let term = OwnerTerm { token: 50, ..OwnerTerm::default() };
    let mut scheduler = Scheduler::new(settings(), term, now);
    scheduler.set_config(config(Resources::default()));
    let entries = (0..2).map(|number| EmulatedWorker::new(number, cores(16)).entry());
    scheduler.set_workers(entries.collect(), now);
    let mut harness = SchedulerHarness::from_scheduler(scheduler, now);
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness.set_wave(&[0, 1], 2);
    harness.now += ms(60);
    let is_machine = |command: &Command| matches!(command, Command::Machine(_));
    assert!(!harness.scheduler.plan(Duration::ZERO, harness.now).iter().any(is_machine));
    harness.run_for(ms(300));
    assert!(!harness.machine_commands.is_empty(), "once polled, a machine goes down");
}

#[test]
fn a_run_that_a_previous_owner_may_be_stopping_does_not_count_as_available() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm { token: 50, ..OwnerTerm::default() });
    harness.adopt_two_tasks();
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness.set_wave(&[0, 1], 1);
    harness.run_for(settings().stop_grace_period);
    assert_eq!(harness.machine_commands, vec![]);
    harness.run_for(ms(2_500));
    let mut machines: Vec<_> =
        harness.machine_commands.iter().map(MachineCommand::machine).collect();
    machines.dedup();
    assert_eq!(machines.len(), 1, "one of them goes down");
}

/// A harness with a service without machines, two machines in the spare pool, and a job that needs
/// one of them.
fn harness_in_need_of_a_machine(commanded_machines: &[(&str, &str)]) -> SchedulerHarness {
    let commanded_machines: CommandedMachinesRecord = commanded_machines
        .iter()
        .map(|(machine, holder)| ((*machine).into(), CommandedMachine::Moved((*holder).into())))
        .collect();
    let term =
        OwnerTerm { token: 50, commanded_machines, instance: "a".into(), ..OwnerTerm::default() };
    harness_in_need_of_a_machine_at(term)
}

fn harness_in_need_of_a_machine_at(term: OwnerTerm) -> SchedulerHarness {
    let mut harness = SchedulerHarness::at_term_start(0, term);
    harness.set_machines(SchedulerHarness::spare_machines(2));
    harness.submit(1, vec![step(1, 1, &[])]);
    harness
}

/// Machines to which commands were sent.
fn commanded(harness: &SchedulerHarness) -> Vec<&str> {
    harness.machine_commands.iter().map(|command| &**command.machine()).collect()
}

#[test]
fn a_new_owner_moves_machines_without_recent_commands_immediately() {
    let mut harness = harness_in_need_of_a_machine(&[("m1", "b")]);
    harness.run_for(ms(300));
    assert_eq!(commanded(&harness), ["m0"]);
}

#[test]
fn a_new_owner_waits_for_machines_with_recent_commands_of_another_instance() {
    let mut harness = harness_in_need_of_a_machine(&[("m0", "b"), ("m1", "b")]);
    harness.run_for(settings().machine_lease);
    assert!(commanded(&harness).is_empty());
    harness.set_machines(harness.listed_machines.clone());
    harness.run_for(ms(500));
    assert_eq!(commanded(&harness).len(), 1);
}

#[test]
fn a_new_owner_moves_machines_with_recent_commands_of_its_own_instance_immediately() {
    let mut harness = harness_in_need_of_a_machine(&[("m0", "b"), ("m1", "a")]);
    harness.run_for(ms(300));
    assert_eq!(commanded(&harness), ["m1"]);
}

#[test]
fn a_new_owner_waits_for_all_machines_if_recent_commands_are_unreadable() {
    let term = OwnerTerm { token: 50, has_unreadable_commands: true, ..OwnerTerm::default() };
    let mut harness = harness_in_need_of_a_machine_at(term);
    harness.run_for(settings().machine_lease);
    assert!(commanded(&harness).is_empty());
    harness.set_machines(harness.listed_machines.clone());
    harness.run_for(ms(500));
    assert_eq!(commanded(&harness).len(), 1);
}

#[test]
fn a_machine_is_recorded_in_the_store_before_a_command_is_sent_to_it() {
    let mut harness = harness_in_need_of_a_machine(&[]);
    let is_machine = |command: &Command| matches!(command, Command::Machine(_));
    harness.now += ms(250);
    assert!(!harness.scheduler.plan(Duration::ZERO, harness.now).iter().any(is_machine));
    assert_eq!(harness.scheduler.write_urgency(), WriteUrgency::High);
    let batch = harness.scheduler.next_write_batch(harness.now).expect("a write");
    assert!(batch.puts.iter().any(|(key, _)| &**key == COMMANDED_MACHINES_KEY));
    assert!(!harness.scheduler.plan(Duration::ZERO, harness.now).iter().any(is_machine));
    harness.scheduler.handle_write_committed(&batch, harness.now);
    assert!(harness.scheduler.plan(Duration::ZERO, harness.now).iter().any(is_machine));
}

#[test]
fn work_that_waits_for_unresponsive_workers_requests_no_machines() {
    let known = vec![worker_record(EmulatedWorker::new(9, cores(1)).entry())];
    let mut harness = SchedulerHarness::at_term_start(
        0,
        OwnerTerm { token: 50, known_workers: known, ..OwnerTerm::default() },
    );
    let mut machines = SchedulerHarness::spare_machines(2);
    let worker = Some("w9".into());
    machines.extend(
        SchedulerHarness::machines(1, MachineState::Up).into_iter().map(|machine| Machine {
            id: "m9".into(),
            worker: worker.clone(),
            ..machine
        }),
    );
    let stored_job = job(vec![step(200, 1, &[])]);
    harness.scheduler.add_job(
        1,
        stored_job,
        40,
        Some(&state_from_previous_owner(vec![])),
        harness.now,
    );
    for _ in 0..5 {
        harness.set_machines(machines.clone());
        harness.run_without_responses(ms(1_000));
    }
    assert!(commanded(&harness).is_empty());
    harness.set_machines(machines.clone());
    harness.run_without_responses(ms(1_500));
    assert_eq!(
        commanded(&harness).len(),
        2,
        "the leases of runs on the unresponsive worker have expired"
    );
}

/// Guards against a list of machines that comes after one that was requested later.
#[test]
fn an_older_list_of_machines_that_comes_later_changes_nothing() {
    let mut harness = SchedulerHarness::new(3, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(3, MachineState::Up));
    let older = SchedulerHarness::machines(3, MachineState::Maintenance);
    harness.scheduler.set_machines(older, harness.now - ms(500), harness.now);
    harness.set_wave(&[0], 1);
    harness.run_for(ms(300));
    assert_eq!(harness.machine_commands.len(), 1);
}
