//! Regression tests of the scheduler: commands to machines whose outcome is unknown or comes late,
//! and what they count for. Each covers a past fault.

mod emulator;
mod harness;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::clients::MachineOutcome;
use cassiafold_jobs::cluster::{MachineState, Service, Wave, WaveNumber};
use cassiafold_jobs::record::{
    COMMANDED_MACHINES_KEY, CommandedMachine, CommandedMachinesRecord, JobRecord,
};
use cassiafold_jobs::scheduler::{MachineCommand, OwnerTerm, WriteBatch};
use cassiafold_jobs::spec::Resources;

use self::emulator::{SERVICE, config, job, ms, step};
use self::harness::{REVISION_AFTER_TAKEOVER, SchedulerHarness, long_running};

/// A service beside [`SERVICE`].
const OTHER: &str = "other";
/// Time between two lists of machines.
const LIST_INTERVAL: Duration = ms(250);

/// Advances the time by `length` with a list of the same machines at each interval.
fn run_with_lists(harness: &mut SchedulerHarness, length: Duration) {
    let end = harness.now + length;
    while harness.now < end {
        harness.set_machines(harness.listed_machines.clone());
        harness.run_for(LIST_INTERVAL);
    }
}

/// Different machines to which commands for maintenance were sent.
fn maintained(harness: &SchedulerHarness) -> BTreeSet<&str> {
    let commands = harness.machine_commands.iter();
    let maintained = commands.filter(|one| matches!(one, MachineCommand::Maintain { .. }));
    maintained.map(|command| &**command.machine()).collect()
}

fn set_wave(harness: &mut SchedulerHarness, number: WaveNumber, machines: &[&str], limit: usize) {
    let machines = machines.iter().map(|machine| (*machine).into()).collect();
    let wave = Wave { number, machines, time_limit: ms(4_000), concurrent_max: limit };
    harness.scheduler.set_waves(&[wave], harness.now);
}

/// A harness of two workers that each run a task of a step, of which one may be unavailable.
fn harness_with_two_tasks() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.submit(1, vec![long_running(2, Some(1))]);
    harness.run_for(ms(1_500));
    assert_eq!(harness.running(), 2);
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness
}

/// The record of commanded machines in a write; empty if there is none.
fn commanded_machines(batch: &WriteBatch) -> CommandedMachinesRecord {
    let record = batch.puts.iter().find(|(key, _)| &**key == COMMANDED_MACHINES_KEY);
    record.map_or_else(CommandedMachinesRecord::default, |(_, value)| {
        serde_json::from_slice(value).expect("JSON")
    })
}

/// The term of an owner after one of the same instance that recorded maintenance for a wave.
fn term_after_maintenance(machines: &[&str], wave: WaveNumber) -> OwnerTerm {
    let command = || CommandedMachine::new("a".into(), Some(wave));
    let commanded_machines: CommandedMachinesRecord =
        machines.iter().map(|machine| ((*machine).into(), command())).collect();
    OwnerTerm { token: 50, commanded_machines, instance: "a".into(), ..OwnerTerm::default() }
}

/// Guards against one machine too many that is down: a move that was accepted hid that the
/// maintenance of the same machine may still be executed.
#[test]
fn the_outcome_of_a_move_leaves_a_maintenance_on_the_way_counted() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness.set_wave(&[0, 1], 1);
    harness.run_for(ms(300));
    assert_eq!(maintained(&harness), BTreeSet::from(["m0"]));
    harness.answer(&harness.machine_commands[0].clone(), MachineOutcome::Unknown);
    let move_away = MachineCommand::Move { machine: "m0".into(), service: "spare".into() };
    harness.answer(&move_away, MachineOutcome::Accepted);
    harness.now += ms(10);
    harness.listed_machines[0].state = MachineState::Moving;
    run_with_lists(&mut harness, ms(5_000));
    assert_eq!(maintained(&harness), BTreeSet::from(["m0"]), "m0 may still go down");
}

/// Guards against machines that are commanded at once in a later wave, whatever it allows.
#[test]
fn a_late_outcome_of_an_earlier_attempt_leaves_an_accepted_maintenance_settled() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    set_wave(&mut harness, 1, &["m0", "m1"], 2);
    harness.run_for(ms(1_000));
    let attempts = harness.machine_attempts.clone();
    let (earlier, later) = attempts.split_at(2);
    assert_eq!(later.len(), 2, "each machine was commanded twice");
    for attempt in later {
        harness.scheduler.handle_machine_outcome(attempt, MachineOutcome::Accepted, harness.now);
    }
    for attempt in earlier {
        harness.scheduler.handle_machine_outcome(attempt, MachineOutcome::Unknown, harness.now);
    }
    run_with_lists(&mut harness, ms(1_000));
    harness.machine_commands.clear();
    set_wave(&mut harness, 2, &["m0", "m1"], 1);
    run_with_lists(&mut harness, ms(1_000));
    assert_eq!(maintained(&harness).len(), 1);
}

/// Guards against an owner that commands all machines of its predecessor's record.
#[test]
fn the_limit_holds_for_machines_that_an_earlier_owner_may_have_commanded() {
    let machines = ["m0", "m1", "m2"];
    let mut harness = SchedulerHarness::at_term_start(3, term_after_maintenance(&machines, 1));
    harness.set_machines(SchedulerHarness::machines(3, MachineState::Up));
    set_wave(&mut harness, 1, &machines, 2);
    run_with_lists(&mut harness, ms(12_000));
    assert!(maintained(&harness).len() <= 2, "two may be down");
    run_with_lists(&mut harness, ms(5_000));
    assert_eq!(maintained(&harness).len(), 2, "the earlier commands can't be executed any more");
}

/// Guards against a record of more machines than may be down: the next owner can't know which of
/// them were commanded.
#[test]
fn the_record_of_commanded_machines_stays_within_the_limit_of_their_wave() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness.set_wave(&[0, 1], 1);
    harness.now += ms(60);
    let _ = harness.scheduler.plan(Duration::ZERO, harness.now);
    harness.listed_machines[0].state = MachineState::Down;
    harness.set_machines(harness.listed_machines.clone());
    harness.now += ms(60);
    let _ = harness.scheduler.plan(Duration::ZERO, harness.now);
    let batch = harness.scheduler.next_write_batch(harness.now).expect("a write");
    assert_eq!(commanded_machines(&batch).len(), 1);
}

/// Guards against a machine that is moved and maintained at the same time.
#[test]
fn a_machine_that_may_go_down_is_not_moved() {
    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::spare_machines(1));
    harness.set_wave(&[0], 1);
    harness.run_for(ms(300));
    assert_eq!(maintained(&harness), BTreeSet::from(["m0"]));
    harness.answer(&harness.machine_commands[0].clone(), MachineOutcome::Unknown);
    harness.submit(1, vec![step(1, 1, &[])]);
    run_with_lists(&mut harness, ms(3_000));
    let is_move = |command: &MachineCommand| matches!(command, MachineCommand::Move { .. });
    assert!(!harness.machine_commands.iter().any(is_move));
}

/// A harness with a machine in the spare pool, which a service needs, and the first move of it,
/// which had no response.
fn harness_with_an_unanswered_move() -> (SchedulerHarness, MachineCommand) {
    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    let mut config = (*config(Resources::default())).clone();
    for (id, is_spare) in [("spare", true), (OTHER, false)] {
        config.services.insert(id.into(), Service { is_spare, ..Service::default() });
    }
    harness.scheduler.set_config(Arc::new(config));
    harness.set_machines(SchedulerHarness::spare_machines(1));
    harness.submit(1, vec![step(1, 1, &[])]);
    harness.run_for(ms(300));
    let command = MachineCommand::Move { machine: "m0".into(), service: SERVICE.into() };
    assert_eq!(harness.machine_commands, std::slice::from_ref(&command));
    harness.answer(&command, MachineOutcome::Unknown);
    (harness, command)
}

/// Guards against a move that is executed after a later one.
#[test]
fn a_machine_that_may_still_be_moved_is_not_moved_elsewhere() {
    let (mut harness, command) = harness_with_an_unanswered_move();
    harness.scheduler.cancel(1, harness.now);
    let record = JobRecord { service: OTHER.into(), ..job(vec![step(1, 1, &[])]) };
    harness.scheduler.add_job(2, record, REVISION_AFTER_TAKEOVER, None, harness.now);
    run_with_lists(&mut harness, ms(12_000));
    assert_eq!(harness.machine_commands, [command]);
    run_with_lists(&mut harness, ms(5_000));
    assert_eq!(harness.machine_commands.len(), 2, "it can't be executed any more");
}

/// Guards against a service that waits for machines while the control answers again.
#[test]
fn a_move_without_a_response_is_sent_again_while_its_machine_is_needed() {
    let (mut harness, command) = harness_with_an_unanswered_move();
    run_with_lists(&mut harness, ms(1_000));
    assert_eq!(harness.machine_commands, [command.clone(), command]);
}

/// Guards against a machine that is sent a command in each pass.
#[test]
fn a_move_that_is_refused_after_one_without_a_response_is_not_sent_again_at_once() {
    let (mut harness, command) = harness_with_an_unanswered_move();
    run_with_lists(&mut harness, ms(750));
    assert_eq!(harness.machine_commands.len(), 2);
    harness.answer(&command, MachineOutcome::Busy);
    run_with_lists(&mut harness, ms(500));
    assert_eq!(harness.machine_commands.len(), 2);
    run_with_lists(&mut harness, ms(500));
    assert_eq!(harness.machine_commands.len(), 3);
}

/// Guards against two tasks of a step that end together: one by a command of an earlier owner.
#[test]
fn a_task_on_a_machine_that_an_earlier_owner_may_take_down_counts_as_unavailable() {
    let mut harness = SchedulerHarness::at_term_start(2, term_after_maintenance(&["m0"], 1));
    harness.adopt_two_tasks();
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    set_wave(&mut harness, 2, &["m1"], 1);
    run_with_lists(&mut harness, ms(12_000));
    assert!(maintained(&harness).is_empty(), "m0 may still go down for the first wave");
    run_with_lists(&mut harness, ms(3_000));
    assert_eq!(maintained(&harness), BTreeSet::from(["m1"]));
}

/// Guards against two tasks of a step that end together: a command was sent again after the other
/// task had become unavailable.
#[test]
fn a_maintenance_is_not_sent_again_while_the_budget_of_a_task_there_is_used_up() {
    let mut harness = harness_with_two_tasks();
    harness.set_wave(&[0], 1);
    harness.run_for(ms(300));
    assert_eq!(harness.machine_commands.len(), 1);
    harness.answer(&harness.machine_commands[0].clone(), MachineOutcome::Unknown);
    harness.silent.insert(1);
    run_with_lists(&mut harness, ms(3_000));
    assert_eq!(harness.machine_commands.len(), 1, "the other task is away");
    harness.silent.clear();
    run_with_lists(&mut harness, ms(2_000));
    assert!(harness.machine_commands.len() > 1, "it is back");
}

/// Guards against tasks that count as unavailable though nothing happens to their worker.
#[test]
fn a_worker_whose_maintenance_was_refused_is_not_leaving() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(1, MachineState::Up));
    harness.set_wave(&[0], 1);
    harness.run_for(ms(300));
    assert!(harness.scheduler.worker(0).is_leaving);
    harness.answer(&harness.machine_commands[0].clone(), MachineOutcome::Busy);
    harness.run_for(ms(100));
    assert!(!harness.scheduler.worker(0).is_leaving, "no command is on the way");
}

/// Guards against a limit that an operator lowers while machines are down.
#[test]
fn a_lowered_limit_of_a_wave_holds_for_the_next_machines() {
    let mut harness = SchedulerHarness::new(4, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(4, MachineState::Up));
    let machines = ["m0", "m1", "m2", "m3"];
    set_wave(&mut harness, 1, &machines, 4);
    harness.run_for(ms(300));
    let down = harness.machine_commands.clone();
    assert_eq!(down.len(), 4);
    down[..2].iter().for_each(|command| harness.answer(command, MachineOutcome::Accepted));
    down[2..].iter().for_each(|command| harness.answer(command, MachineOutcome::Busy));
    harness.machine_commands.clear();
    set_wave(&mut harness, 1, &machines, 2);
    harness.run_for(ms(2_000));
    assert_eq!(harness.machine_commands, [], "two are down");
}

/// Guards against two tasks of a step that end together: their machines were commanded in the same
/// pass.
#[test]
fn a_pass_takes_down_one_of_two_machines_with_tasks_of_a_step() {
    let mut harness = harness_with_two_tasks();
    set_wave(&mut harness, 1, &["m0", "m1"], 2);
    harness.run_for(ms(500));
    assert_eq!(maintained(&harness).len(), 1);
}

/// Guards against one machine too many that is down: it was commanded by an earlier owner whose
/// record can't be read.
#[test]
fn no_wave_goes_on_while_commands_of_an_unreadable_record_may_be_executed() {
    let term = OwnerTerm { token: 50, has_unreadable_commands: true, ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::at_term_start(2, term);
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    set_wave(&mut harness, 1, &["m0", "m1"], 1);
    run_with_lists(&mut harness, ms(12_000));
    assert!(maintained(&harness).is_empty());
    run_with_lists(&mut harness, ms(2_000));
    assert_eq!(maintained(&harness).len(), 1);
}

/// Guards against a wave that is late: commands of another one for the same machines kept it from
/// sending its own again.
#[test]
fn a_wave_sends_its_commands_again_while_another_one_takes_its_places() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    set_wave(&mut harness, 1, &["m0", "m1"], 1);
    harness.run_for(ms(300));
    let command = MachineCommand::Maintain { machine: "m0".into(), wave: 1 };
    assert_eq!(harness.machine_commands, std::slice::from_ref(&command));
    harness.answer(&command, MachineOutcome::Unknown);
    set_wave(&mut harness, 2, &["m1"], 1);
    harness.run_for(ms(300));
    assert_eq!(maintained(&harness), BTreeSet::from(["m0", "m1"]));
    harness.machine_commands.clear();
    run_with_lists(&mut harness, ms(1_000));
    assert!(harness.machine_commands.contains(&command));
}

/// Guards against a wave that waits for the end of all terms after a change of the owner: two
/// recorded machines had tasks of one step, and neither might go down before the other.
#[test]
fn machines_with_tasks_of_a_step_are_not_recorded_together() {
    let mut harness = harness_with_two_tasks();
    set_wave(&mut harness, 1, &["m0", "m1"], 2);
    harness.now += ms(60);
    let _ = harness.scheduler.plan(Duration::ZERO, harness.now);
    let batch = harness.scheduler.next_write_batch(harness.now).expect("a write");
    assert_eq!(commanded_machines(&batch).len(), 1);
}
