//! Regression tests: workers whose capacity shrinks and grows while they run.

mod emulator;
mod harness;

use std::time::Duration;

use cassiafold_jobs::clients::PollResponse;
use cassiafold_jobs::cluster::{MachineState, WorkerEntry};
use cassiafold_jobs::record::{JobState, WORKERS_PREFIX, WorkerRecord};
use cassiafold_jobs::scheduler::{OwnerTerm, WriteBatch};
use cassiafold_jobs::spec::Resources;

use self::emulator::faults::Faults;
use self::emulator::worker::EmulatedWorker;
use self::emulator::{Emulator, cores, job, ms, step};
use self::harness::SchedulerHarness;

/// Capacity of a worker with this many cores.
fn capacity(cores_each: u32) -> Resources {
    Resources { memory_bytes: 64 << 30, ..cores(cores_each) }
}

/// The entry of the first worker.
fn entry(cores_each: u32) -> WorkerEntry {
    EmulatedWorker::new(0, capacity(cores_each)).entry()
}

/// Records of workers in a write.
fn worker_records(batch: &WriteBatch) -> Vec<WorkerRecord> {
    let shards = batch.puts.iter().filter(|(key, _)| key.starts_with(WORKERS_PREFIX));
    let records = shards.flat_map(|(_, value)| {
        serde_json::from_slice::<Vec<WorkerRecord>>(value).expect("records")
    });
    records.collect()
}

#[test]
fn a_worker_whose_capacity_shrinks_below_its_runs_starts_nothing_until_it_grows() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.submit(1, vec![step(6, 1, &[])]);
    harness.run_for(ms(200));
    harness.scheduler.set_workers(vec![entry(4)], harness.now);
    harness.submit(2, vec![step(2, 1, &[])]);
    harness.run_for(ms(300));
    assert_eq!(harness.running(), 6, "six cores are in use, four are there");
    harness.scheduler.set_workers(vec![entry(7)], harness.now);
    harness.run_for(ms(300));
    assert_eq!(harness.running(), 7);
}

/// Happens when the store was away during the change of owner: the entry is missing, and the list of
/// machines tells the capacity that the machine had at its start.
#[test]
fn a_new_owner_fills_a_worker_without_entry_only_up_to_the_capacity_that_it_last_had() {
    let mut first = SchedulerHarness::new(1, OwnerTerm::default());
    first.scheduler.set_workers(vec![entry(4)], first.now);
    let batch = first.scheduler.next_write_batch(first.now).expect("a write");
    let known_workers = worker_records(&batch);
    assert_eq!(known_workers.len(), 1, "the capacity has changed");

    let term = OwnerTerm { known_workers, ..OwnerTerm::default() };
    let mut second = SchedulerHarness::at_term_start(0, term);
    second.submit(1, vec![step(10, 1, &[])]);
    second.set_machines(
        SchedulerHarness::machines(1, MachineState::Up)
            .into_iter()
            .map(|one| cassiafold_jobs::cluster::Machine { capacity: capacity(16), ..one })
            .collect(),
    );
    second.run_for(ms(300));
    assert_eq!(second.running(), 4);
}

/// Happens when a worker comes back as one of another kind, and its entry in the list is still that
/// of the incarnation before.
#[test]
fn a_restarted_worker_is_filled_only_once_the_entry_of_its_incarnation_is_known() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.scheduler.set_workers(vec![entry(16)], harness.now);
    let restarted_at = Duration::from_secs(2);
    let poll =
        PollResponse { clock: ms(1), started_unix: Some(restarted_at), ..PollResponse::default() };
    let now = harness.now;
    let known = PollResponse { started_unix: Some(Duration::from_secs(1)), ..poll.clone() };
    harness.scheduler.handle_poll_response(0, false, now, now, known);
    harness.scheduler.handle_poll_response(0, false, now, now, poll);
    harness.scheduler.set_workers(vec![entry(16)], harness.now);
    harness.submit(1, vec![step(10, 1, &[])]);
    harness.run_for(ms(300));
    assert_eq!(harness.running(), 0, "the entry is that of the incarnation before");
    let entry = WorkerEntry { started_unix: Some(restarted_at), ..entry(4) };
    harness.scheduler.set_workers(vec![entry], harness.now);
    harness.run_for(ms(300));
    assert_eq!(harness.running(), 4);
}

/// The emulator counts a shrunk capacity some seconds later, when the entry must have been read.
#[test]
fn no_worker_is_filled_beyond_a_capacity_that_shrinks_and_grows_while_owners_change() {
    for seed in 1..=6 {
        let mut emulator = Emulator::new(seed, 8, Resources::default(), Faults::all());
        emulator.run(ms(3_000));
        emulator.replace_owner(ms(5_000), ms(600));
        emulator.replace_owner(ms(11_000), ms(600));
        for id in 1..=80 {
            let worker = usize::try_from(id).expect("index") % 8;
            let cores_each = [16, 3, 9, 1][usize::try_from(id / 8).expect("index") % 4];
            emulator.resize(worker, capacity(cores_each));
            emulator.submit(id, job(vec![step(4, 1, &[]), step(3, 1, &[0])]));
            emulator.run(ms(250));
        }
        emulator.run(ms(60_000));
        assert!(emulator.violations.is_empty(), "seed {seed}: {:#?}", emulator.violations);
        let ended = (1..=80).filter(|id| emulator.state(*id) != JobState::Running).count();
        assert_eq!(ended, 80, "seed {seed}");
    }
}

/// The day `shrunk`: a quarter of the workers have 0.55 of their capacity for 14 s, and more jobs
/// arrive for 6 s of it.
#[test]
fn the_day_shrunk_fills_no_worker_beyond_its_capacity_and_completes_its_jobs() {
    for seed in 1..=4 {
        let mut emulator = Emulator::new(seed, 8, Resources::default(), Faults::none());
        emulator.run(ms(3_000));
        for id in 1..=120 {
            let cores_each = if (30..100).contains(&id) { 9 } else { 16 };
            if [30, 100].contains(&id) {
                (0..2).for_each(|worker| emulator.resize(worker, capacity(cores_each)));
            }
            let tasks = if (55..85).contains(&id) { 14 } else { 10 };
            emulator.submit(id, job(vec![step(tasks, 1, &[])]));
            emulator.run(ms(200));
        }
        emulator.run(ms(30_000));
        assert!(emulator.violations.is_empty(), "seed {seed}: {:#?}", emulator.violations);
        let is_completed = |id: &u64| emulator.state(*id) == JobState::Completed;
        assert_eq!((1..=120).filter(is_completed).count(), 120, "seed {seed}");
    }
}
