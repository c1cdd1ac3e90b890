//! What the owner does while much more waits for the store than usual.

mod emulator;

use cassiafold_jobs::spec::{JobId, Resources};

use self::emulator::faults::Faults;
use self::emulator::{Emulator, job, ms, settings, step};

/// Jobs that come at once: ten times what a busy owner has on hand.
const BACKLOG: JobId = 2_000;
const TASKS_EACH: u32 = 2;
const WORKERS: usize = 300;
/// How long a write takes for a busy owner beside a store that answers within a few milliseconds.
const BUSY_WRITE_MS: u64 = 40;

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

/// Guards against SHORT: accepted jobs waited for their first write beside idle workers.
#[test]
fn a_backlog_of_accepted_jobs_has_started_two_seconds_later() {
    let mut emulator = deployment();
    emulator.write_latency = ms(BUSY_WRITE_MS);
    submit_backlog(&mut emulator);
    emulator.run(ms(2_000));
    let waiting = BACKLOG as usize * TASKS_EACH as usize - emulator.start_count;
    assert_eq!(waiting, 0, "tasks that have not begun");
    assert_eq!(emulator.violations, Vec::<String>::new());
}

/// Guards against the class of SHORT: the ended jobs of a busy hour stayed in the store.
#[test]
fn ended_jobs_are_removed_as_fast_as_they_came() {
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
    assert_eq!(emulator.ended_jobs(), 0, "ended jobs that are kept too long");
}

/// Guards against the class of SHORT: a new owner could use few of many workers for a second.
#[test]
fn a_new_owner_may_use_all_workers_within_300_ms() {
    let mut emulator = Emulator::new(1, WORKERS, Resources::default(), Faults::none());
    emulator.write_latency = ms(BUSY_WRITE_MS);
    emulator.run(ms(300));
    assert_eq!(emulator.usable_workers(), WORKERS);
}

/// Guards against SHORT: looks that showed the same ends again kept the owner busy.
#[test]
fn ends_that_cannot_be_stored_are_not_asked_for_again_and_again() {
    /// Looks a second at workers of which nothing can be acknowledged.
    const REPEATED_POLLS_PER_S: usize = 2_000;
    let mut emulator = deployment();
    submit_backlog(&mut emulator);
    emulator.run(ms(1_000));
    emulator.write_latency = ms(1_000_000);
    // All that runs has ended by then, and been shown once.
    emulator.run(ms(3_000));
    let before = emulator.redundant_polls;
    emulator.run(ms(4_000));
    let looks_per_s = (emulator.redundant_polls - before) / 4;
    assert!(looks_per_s <= REPEATED_POLLS_PER_S, "{looks_per_s} looks a second");
}
