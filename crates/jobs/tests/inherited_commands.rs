//! Regression tests of the scheduler: machines of a wave that are down already, or that an earlier
//! owner may have commanded. Each covers a past fault.

mod emulator;
mod harness;

use std::time::Duration;

use cassiafold_jobs::clients::MachineOutcome;
use cassiafold_jobs::cluster::MachineState;
use cassiafold_jobs::record::{
    COMMANDED_MACHINES_KEY, CommandedMachine, CommandedMachinesRecord, WaveRecord, WavesRecord,
};
use cassiafold_jobs::scheduler::OwnerTerm;

use self::emulator::{ms, settings, step};
use self::harness::SchedulerHarness;

fn commanded(harness: &SchedulerHarness) -> Vec<&str> {
    harness.machine_commands.iter().map(|command| &**command.machine()).collect()
}

/// A harness at the start of a term with two idle machines. An earlier owner, `instance`, recorded
/// that it maintains the first one for the first wave.
fn harness_after_a_commanded_maintenance(instance: &str) -> SchedulerHarness {
    let command = CommandedMachine::new(instance.into(), Some(1));
    let commanded_machines = CommandedMachinesRecord::from([("m0".into(), command)]);
    let term =
        OwnerTerm { token: 50, commanded_machines, instance: "a".into(), ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::at_term_start(2, term);
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness
}

/// Guards against two machines of a wave that are down, one of them by an earlier owner's command
/// that was carried out late.
#[test]
fn a_machine_that_an_earlier_owner_may_take_down_counts_as_down() {
    let mut harness = harness_after_a_commanded_maintenance("b");
    harness.set_wave(&[0, 1], 1);
    harness.run_for(settings().machine_lease);
    assert_eq!(commanded(&harness), Vec::<&str>::new(), "neither of them");
    harness.run_for(ms(500));
    assert_eq!(commanded(&harness), ["m0"], "the counted one first");
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    let command = harness.machine_commands.remove(0);
    harness.answer(&command, MachineOutcome::Accepted);
    harness.run_for(ms(300));
    assert_eq!(commanded(&harness), Vec::<&str>::new(), "m0 is down");
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness.run_for(ms(300));
    assert_eq!(commanded(&harness), ["m1"]);
}

#[test]
fn a_command_of_an_earlier_term_of_the_same_instance_counts_as_down_too() {
    let mut harness = harness_after_a_commanded_maintenance("a");
    harness.set_wave(&[0, 1], 1);
    harness.run_for(ms(300));
    assert_eq!(commanded(&harness), ["m0"]);
}

/// Guards against a third owner that doesn't know of the first one's command.
#[test]
fn a_maintenance_that_an_earlier_owner_may_have_commanded_stays_recorded() {
    let mut harness = harness_after_a_commanded_maintenance("b");
    let end = harness.now + settings().machine_lease + ms(500);
    while harness.now < end {
        let _ = harness.scheduler.plan(Duration::ZERO, harness.now);
        if let Some(batch) = harness.scheduler.next_write_batch(harness.now) {
            let mut keys = batch.puts.iter().map(|(key, _)| &**key);
            assert!(!keys.any(|key| key == COMMANDED_MACHINES_KEY), "nothing has changed");
            harness.scheduler.handle_write_committed(&batch, harness.now);
        }
        harness.now += ms(10);
    }
}

#[test]
fn a_record_of_an_earlier_version_names_the_instance_alone() {
    let record: CommandedMachinesRecord = serde_json::from_str(r#"{"m0":"b"}"#).expect("JSON");
    assert_eq!(record["m0"], CommandedMachine::Moved("b".into()));
    assert_eq!(serde_json::to_string(&record).expect("JSON"), r#"{"m0":"b"}"#);
}

/// Guards against a wave that is late by its last machines: each of them waited until one that was
/// down had come back.
#[test]
fn the_last_machines_of_a_wave_do_not_wait_for_those_that_are_down() {
    let started_unix = Duration::from_secs(1_000);
    let wave = WaveRecord { since_unix_ms: 1_000_000 - 14_000, ..WaveRecord::default() };
    let waves = WavesRecord::from([(1, wave)]);
    let term = OwnerTerm { waves, started_unix, ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::new(4, term);
    harness.submit(1, vec![step(4, 16, &[])]);
    harness.run_for(ms(100));
    assert_eq!(harness.running(), 4, "none of the machines is idle");
    let mut machines = SchedulerHarness::machines(4, MachineState::Up);
    machines[..2].iter_mut().for_each(|machine| machine.state = MachineState::Maintenance);
    harness.set_machines(machines);
    harness.set_wave(&[0, 1, 2, 3], 4);
    harness.run_for(ms(500));
    assert_eq!(commanded(&harness), ["m2", "m3"]);
}
