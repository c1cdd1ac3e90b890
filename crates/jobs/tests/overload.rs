//! Behavior of the owner with many more unwritten changes than usual.

mod emulator;

use cassiafold_jobs::record::JobState;
use cassiafold_jobs::spec::{JobId, Resources};

use self::emulator::faults::Faults;
use self::emulator::{Emulator, job, ms, settings, step};

/// Number of jobs submitted at the same time: ten times the usual number of jobs of a busy owner.
const BACKLOG: JobId = 2_000;
/// Number of tasks of each job.
const TASKS_EACH: u32 = 2;
const WORKERS: usize = 300;
/// Latency of a write at a busy owner; the store itself responds within a few milliseconds.
const BUSY_WRITE_MS: u64 = 40;

/// An emulation that has polled all workers.
fn deployment() -> Emulator {
    let mut emulator = Emulator::new(1, WORKERS, Resources::default(), Faults::none());
    emulator.run(ms(3_000));
    emulator
}

fn submit_backlog(emulator: &mut Emulator) {
    for id in 1..=BACKLOG {
        emulator.submit(id, job(vec![step(TASKS_EACH, 1, &[])]));
    }
}

/// Guards against unserved load: accepted jobs waited for their first write while workers were
/// idle.
#[test]
fn all_tasks_of_a_backlog_have_started_after_two_seconds() {
    let mut emulator = deployment();
    emulator.write_latency = ms(BUSY_WRITE_MS);
    submit_backlog(&mut emulator);
    emulator.run(ms(2_000));
    let waiting = BACKLOG as usize * TASKS_EACH as usize - emulator.start_count;
    assert_eq!(waiting, 0, "tasks that have not started");
    assert_eq!(emulator.violations, Vec::<String>::new());
}

/// Guards against a growing store: jobs that ended during an hour of high load stayed in it.
#[test]
fn ended_jobs_are_deleted_as_fast_as_they_arrived() {
    let mut emulator = Emulator::new(1, 20, Resources::default(), Faults::none());
    emulator.run(ms(3_000));
    let ended_within = ms(10_000);
    for id in 1..=BACKLOG / 2 {
        emulator.submit(id, job(vec![step(1, 1, &[])]));
    }
    emulator.run(ended_within);
    assert_eq!(emulator.ended_jobs(), BACKLOG as usize / 2);
    emulator.write_latency = ms(BUSY_WRITE_MS);
    emulator.run(settings().status_retention);
    assert_eq!(emulator.ended_jobs(), 0, "ended jobs kept beyond the retention time");
}

/// Guards against a new owner that reads for seconds: the records of the jobs that had ended were
/// most of what it read.
#[test]
fn records_of_ended_jobs_are_deleted_long_before_their_states() {
    let mut emulator = Emulator::new(1, 20, Resources::default(), Faults::none());
    emulator.run(ms(3_000));
    let ended = BACKLOG / 2;
    for id in 1..=ended {
        emulator.submit(id, job(vec![step(1, 1, &[])]));
    }
    emulator.run(ms(9_000));
    assert_eq!(emulator.stored_records(), ended as usize, "a submission may be repeated");
    emulator.run(ms(20_000));
    assert_eq!(emulator.stored_records(), 0);
    let started = emulator.start_count;
    emulator.replace_owner(ms(100), ms(1_000));
    emulator.run(ms(20_000));
    assert!((1..=ended).all(|id| emulator.state(id) == JobState::Completed));
    assert_eq!(emulator.start_count, started, "nothing runs again");
    emulator.run(settings().status_retention);
    assert_eq!(emulator.states.len(), 0, "the new owner deletes the states");
    assert_eq!(emulator.violations, Vec::<String>::new());
}

/// Guards against unserved load after a change of owner: for a second, the new owner could use only
/// a few of many workers.
#[test]
fn a_new_owner_can_use_all_workers_within_300_ms() {
    let mut emulator = Emulator::new(1, WORKERS, Resources::default(), Faults::none());
    emulator.write_latency = ms(BUSY_WRITE_MS);
    emulator.run(ms(300));
    assert_eq!(emulator.usable_workers(), WORKERS);
}

/// Guards against an owner that is kept busy by polls that return the same run ends again.
#[test]
fn workers_with_run_ends_that_cannot_be_stored_are_not_polled_all_the_time() {
    /// Limit of the redundant polls per second while no run end can be acknowledged.
    const REDUNDANT_POLLS_PER_S_MAX: usize = 2_000;
    let mut emulator = deployment();
    submit_backlog(&mut emulator);
    emulator.run(ms(1_000));
    emulator.write_latency = ms(1_000_000);
    // By then all runs have ended and each end was reported once.
    emulator.run(ms(3_000));
    let before = emulator.redundant_polls;
    emulator.run(ms(4_000));
    let polls_per_s = (emulator.redundant_polls - before) / 4;
    assert!(polls_per_s <= REDUNDANT_POLLS_PER_S_MAX, "{polls_per_s} polls a second");
}
