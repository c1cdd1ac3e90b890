//! Regression tests of the scheduler: machines that are listed as up but do not respond.

mod emulator;
mod harness;

use cassiafold_jobs::clients::PollError;
use cassiafold_jobs::cluster::{Machine, MachineState};
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::scheduler::{Command, MachineCommand, OwnerTerm};

use self::emulator::{SERVICE, ms, settings};
use self::harness::{SchedulerHarness, long_running};

/// Time between two lists of machines.
const LIST_INTERVAL_MS: u64 = 500;

/// Three machines in use, one in each of three zones, and spare ones in the zones of `spare`.
fn machines(spare: &[usize]) -> Vec<Machine> {
    let zone = |number: usize| format!("z{number}").into();
    let mut machines = SchedulerHarness::machines(3 + spare.len(), MachineState::Up);
    for (number, machine) in machines.iter_mut().enumerate().take(3) {
        machine.zone = zone(number);
    }
    for (machine, number) in machines[3..].iter_mut().zip(spare) {
        machine.zone = zone(*number);
        machine.service = "spare".into();
        machine.worker = None;
    }
    machines
}

/// A harness with one long-running task on each of three machines.
fn harness_with_a_task_on_each_machine(spare: &[usize]) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(3, OwnerTerm::default());
    harness.set_machines(machines(spare));
    harness.submit(1, vec![long_running(3, Some(1))]);
    harness.run_for(ms(1_500));
    assert_eq!(harness.running(), 3);
    harness
}

/// Advances the time while one worker does not respond and its machine is listed as up.
fn run_with_unresponsive_worker(
    harness: &mut SchedulerHarness,
    unresponsive: WorkerSlot,
    length_ms: u64,
) {
    let error = PollError::NoAnswer("timeout".into());
    for elapsed_ms in (0..length_ms).step_by(10) {
        if elapsed_ms % LIST_INTERVAL_MS == 0 {
            harness.set_machines(harness.listed_machines.clone());
        }
        for command in harness.scheduler.plan(ms(0), harness.now) {
            match command {
                Command::Poll { worker, .. } if worker == unresponsive => {
                    let _ = harness.scheduler.poll_request(worker, false, harness.now);
                    harness.scheduler.handle_poll_failure(worker, false, &error, harness.now);
                }
                command => harness.execute(command),
            }
        }
        harness.commit_writes();
        harness.now += ms(10);
    }
}

fn lease_ms() -> u64 {
    u64::try_from(settings().lease_max.as_millis()).expect("milliseconds fit into 64 bits")
}

fn move_to_service(machine: &str) -> MachineCommand {
    MachineCommand::Move { machine: machine.into(), service: SERVICE.into() }
}

#[test]
fn a_machine_cut_off_for_longer_than_a_lease_is_replaced() {
    let mut harness = harness_with_a_task_on_each_machine(&[1]);
    run_with_unresponsive_worker(&mut harness, 0, lease_ms() + 1_500);
    assert_eq!(harness.machine_commands, [move_to_service("m3")]);
}

#[test]
fn a_machine_cut_off_for_less_than_a_lease_is_not_replaced() {
    let mut harness = harness_with_a_task_on_each_machine(&[1]);
    run_with_unresponsive_worker(&mut harness, 0, lease_ms() - 500);
    harness.set_machines(harness.listed_machines.clone());
    harness.run_for(ms(1_000));
    assert_eq!(harness.machine_commands, []);
}

#[test]
fn the_replacement_of_a_machine_in_a_cut_off_zone_comes_from_another_zone() {
    for spare in [[0, 1], [1, 0]] {
        let mut harness = harness_with_a_task_on_each_machine(&spare);
        run_with_unresponsive_worker(&mut harness, 0, lease_ms() + 1_500);
        let reachable = if spare == [1, 0] { "m3" } else { "m4" };
        assert_eq!(harness.machine_commands, [move_to_service(reachable)]);
    }
}
