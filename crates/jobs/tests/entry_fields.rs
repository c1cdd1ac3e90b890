//! Regression tests: entries of live workers that another writer has overwritten, field by field.

mod emulator;
mod harness;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::cluster::{ClusterConfig, MachineState, WorkerEntry};
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::scheduler::OwnerTerm;
use cassiafold_jobs::spec::{JobId, Resources, RunNumber, TaskId};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use self::emulator::worker::EmulatedWorker;
use self::emulator::{SERVICE, config, cores, ms, step};
use self::harness::SchedulerHarness;

/// Job whose tasks run when the entry is overwritten.
const RUNNING: JobId = 1;
/// Workers; the entry of the first one is overwritten.
const WORKERS: usize = 2;
/// A service that is configured, and has no workers.
const OTHER_SERVICE: &str = "spare";

/// Whether a worker gets tasks with an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Use {
    Used,
    Unused,
}

fn entries() -> Vec<WorkerEntry> {
    let capacity = Resources { memory_bytes: 64 << 30, ..cores(16) };
    let entry = |number| {
        let started_unix = Some(Duration::from_secs(1_000));
        WorkerEntry { started_unix, ..EmulatedWorker::new(number, capacity).entry() }
    };
    (0..WORKERS).map(entry).collect()
}

/// A harness whose workers run four tasks.
fn harness_with_runs() -> SchedulerHarness {
    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    harness.scheduler.set_workers(entries(), harness.now);
    harness.run_for(ms(3_500));
    harness.submit(RUNNING, vec![step(4, 2, &[])]);
    harness.run_for(ms(100));
    assert_eq!(harness.running(), 4);
    harness
}

/// The runs of [`RUNNING`], by worker.
fn runs(harness: &SchedulerHarness) -> BTreeSet<(WorkerSlot, TaskId, RunNumber)> {
    let rows = harness
        .running
        .iter()
        .flat_map(|(slot, runs)| runs.iter().map(move |(task, number)| (*slot, *task, *number)));
    rows.filter(|(_, task, _)| task.step.job == RUNNING).collect()
}

fn runs_on_first(harness: &SchedulerHarness) -> usize {
    harness.running.get(&0).map_or(0, Vec::len)
}

/// Submits more tasks than one worker has room for, and returns whether the first one got some.
fn use_of_first(harness: &mut SchedulerHarness, job: JobId) -> Use {
    let before = runs_on_first(harness);
    harness.submit(job, vec![step(24, 1, &[])]);
    harness.run_for(ms(200));
    let has_started = runs_on_first(harness) > before;
    harness.scheduler.cancel(job, harness.now);
    harness.run_for(ms(200));
    if has_started { Use::Used } else { Use::Unused }
}

/// Checks that no run is taken to have ended because of an entry that `change` has made.
fn check_entry(change: fn(&mut WorkerEntry), expected: Use) {
    let mut harness = harness_with_runs();
    let before = runs(&harness);
    let mut odd = entries();
    change(&mut odd[0]);
    for round in 0..2 {
        harness.scheduler.set_workers(odd.clone(), harness.now);
        harness.run_for(ms(400));
        assert_eq!(runs(&harness), before, "a task was stopped or started a second time");
        assert_eq!(use_of_first(&mut harness, 10 + round), expected);
    }
    harness.scheduler.set_workers(entries(), harness.now);
    harness.run_for(ms(400));
    assert_eq!(runs(&harness), before, "a task was stopped or started a second time");
    assert_eq!(use_of_first(&mut harness, 20), Use::Used, "the worker's own entry names it again");
    assert!(!harness.scheduler.worker(0).is_gone);
}

macro_rules! entries {
    ($($name:ident: $change:expr => $expected:ident;)+) => {
        $(#[test] fn $name() {
            check_entry($change, Use::$expected);
        })+
    };
}

// They guard against an entry alone that ends the life of a worker, whose tasks then run twice.
entries! {
    a_service_that_nothing_names_only_keeps_new_tasks_away:
        |entry| entry.service = "nowhere".into() => Unused;
    another_service_only_keeps_new_tasks_away:
        |entry| entry.service = OTHER_SERVICE.into() => Unused;
    another_address_without_a_later_start_only_keeps_new_tasks_away:
        |entry| entry.address = "127.0.0.1:9".parse().expect("address") => Unused;
    an_earlier_start_changes_nothing:
        |entry| entry.started_unix = Some(Duration::from_secs(900)) => Used;
    a_missing_start_changes_nothing: |entry| entry.started_unix = None => Used;
    another_zone_ends_no_run: |entry| entry.zone = "other".into() => Used;
    no_labels_end_no_run: |entry| entry.labels = [].into() => Used;
    a_capacity_of_nothing_only_keeps_new_tasks_away:
        |entry| entry.capacity = Resources::default() => Unused;
    a_larger_capacity_ends_no_run: |entry| entry.capacity = cores(1_000) => Unused;
    draining_only_keeps_new_tasks_away: |entry| entry.is_draining = true => Unused;
}

/// Guards against a worker that stays unused because another writer's entry was there before its own.
#[test]
fn an_odd_first_entry_does_not_keep_the_worker_away_for_good() {
    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    let mut odd = entries();
    odd[0].service = "nowhere".into();
    harness.scheduler.set_workers(odd, harness.now);
    harness.run_for(ms(3_500));
    harness.scheduler.set_workers(entries(), harness.now);
    harness.run_for(ms(500));
    harness.submit(RUNNING, vec![step(24, 1, &[])]);
    harness.run_for(ms(200));
    assert_eq!(harness.running(), 24);
}

/// Guards against a worker of a service that is configured later than its entry is read.
#[test]
fn an_entry_names_its_worker_as_soon_as_its_service_is_configured() {
    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    let without = ClusterConfig { version: 1, ..ClusterConfig::default() };
    harness.scheduler.set_config(Arc::new(without));
    harness.scheduler.set_workers(entries(), harness.now);
    harness.scheduler.set_config(config(Resources::default()));
    harness.scheduler.set_workers(entries(), harness.now);
    harness.run_for(ms(3_500));
    harness.submit(RUNNING, vec![step(4, 2, &[])]);
    harness.run_for(ms(100));
    assert_eq!(harness.running(), 4);
}

/// Guards against a worker that is left out because the list of machines was read before its entry.
#[test]
fn another_service_holds_if_the_list_of_machines_shows_it() {
    let mut harness = harness_with_runs();
    let mut machines = SchedulerHarness::machines(WORKERS, MachineState::Up);
    machines[0].service = OTHER_SERVICE.into();
    harness.set_machines(machines);
    let mut moved = entries();
    moved[0].service = OTHER_SERVICE.into();
    harness.scheduler.set_workers(moved, harness.now);
    assert_eq!(&*harness.scheduler.worker(0).entry.service, OTHER_SERVICE);
    assert!(harness.scheduler.worker(0).is_listed);
}

/// A change of some fields of an entry, as another writer may make it.
fn odd_change() -> impl Strategy<Value = WorkerEntry> {
    let service = select(vec![SERVICE, OTHER_SERVICE, "nowhere"]);
    let address = select(vec!["127.0.0.1:1", "127.0.0.1:9"]);
    let started_s = select(vec![None, Some(900), Some(1_000)]);
    let fields = (service, address, started_s, 0_u32..40, any::<bool>(), "[a-c]");
    fields.prop_map(|(service, address, started_s, processors, is_draining, zone)| WorkerEntry {
        service: service.into(),
        address: address.parse().expect("address"),
        started_unix: started_s.map(Duration::from_secs),
        capacity: Resources { memory_bytes: 64 << 30, ..cores(processors) },
        is_draining,
        zone: zone.into(),
        ..entries().remove(0)
    })
}

/// Guards against what a series of odd entries brings about together.
#[test]
fn no_series_of_odd_entries_ends_a_run_or_keeps_the_worker_away_for_good() {
    let config = Config { cases: 60, rng_seed: RngSeed::Fixed(44), ..Config::default() };
    let series = prop::collection::vec(odd_change(), 1..6);
    let outcome = TestRunner::new(config).run(&series, |series| {
        let mut harness = harness_with_runs();
        let before = runs(&harness);
        for odd in series {
            let second = entries().remove(1);
            harness.scheduler.set_workers(vec![odd, second], harness.now);
            harness.run_for(ms(100));
            prop_assert_eq!(runs(&harness), before.clone());
        }
        harness.scheduler.set_workers(entries(), harness.now);
        harness.run_for(ms(400));
        prop_assert_eq!(runs(&harness), before);
        prop_assert_eq!(use_of_first(&mut harness, 20), Use::Used);
        Ok(())
    });
    assert_eq!(outcome.map_err(|error| error.to_string()), Ok(()));
}
