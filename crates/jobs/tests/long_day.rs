//! Days full of faults, at the end of which every accepted job is asked for.

mod clients;
mod day;
mod emulator;

use std::ops::Range;
use std::time::Duration;

use cassiafold_jobs::job_memory::JobMemory;

use self::day::{Day, Size};

/// Memory that holds some jobs of a day with their runs, in bytes.
const FEW_JOBS_BYTES: u64 = 100_000;

/// Reads a number from the environment, so that longer runs need no change of the test.
fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays one day for each seed, at the same time, and returns what was wrong.
fn violations(size: Size, seeds: Range<u64>) -> Vec<String> {
    day::log::start();
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let violations = runtime.block_on(async {
        let play = |seed| tokio::spawn(play(seed, size));
        let days: Vec<_> = seeds.map(play).collect();
        let mut violations = Vec::new();
        for day in days {
            violations.extend(day.await.expect("day"));
        }
        violations
    });
    runtime.shutdown_background();
    violations
}

/// Guards against accepted jobs that no instance answers for after a day of faults.
#[test]
fn every_accepted_job_is_answered_for_after_a_day_of_faults() {
    let first = setting("LONG_DAY_FIRST_SEED", 1);
    let seeds = first..first + setting("LONG_DAY_SEEDS", 3);
    let size = Size {
        length: Duration::from_secs(setting("LONG_DAY_S", 12)),
        pause: Duration::from_secs(setting("LONG_DAY_PAUSE_S", 8)),
        instances: 6,
        workers: 10,
        status_retention: Duration::from_secs(setting("LONG_DAY_KNOWN_S", 150)),
        pages_time: Duration::from_millis(setting("LONG_DAY_PAGES_MS", 300)),
        closing_delay: Duration::from_millis(setting("LONG_DAY_CLOSING_DELAY_MS", 0)),
        job_memory: JobMemory::default(),
    };
    assert_eq!(violations(size, seeds), Vec::<String>::new());
}

/// Guards against instances that answer no query because the store answers slowly, although in a
/// ninth of a caller's time.
#[test]
fn every_accepted_job_is_answered_for_while_the_store_stays_slow_after_the_day() {
    let size = Size {
        length: Duration::from_secs(6),
        pause: Duration::from_secs(8),
        instances: 6,
        workers: 10,
        status_retention: Duration::from_secs(150),
        pages_time: Duration::from_millis(300),
        closing_delay: Duration::from_millis(340),
        job_memory: JobMemory::default(),
    };
    assert_eq!(violations(size, 401..404), Vec::<String>::new());
}

/// Guards against jobs that are lost, or run twice, where the owner can hold few of those that it
/// has accepted.
#[test]
fn every_accepted_job_is_answered_for_where_an_owner_can_hold_few() {
    let first = setting("LONG_DAY_FIRST_SEED", 501);
    let seeds = first..first + setting("LONG_DAY_SEEDS", 3);
    let size = Size {
        length: Duration::from_secs(8),
        pause: Duration::from_secs(8),
        instances: 6,
        workers: 10,
        status_retention: Duration::from_secs(150),
        pages_time: Duration::from_millis(300),
        closing_delay: Duration::ZERO,
        job_memory: JobMemory { held_bytes_max: FEW_JOBS_BYTES, deferred_max: 10_000 },
    };
    assert_eq!(violations(size, seeds), Vec::<String>::new());
}

async fn play(seed: u64, size: Size) -> Vec<String> {
    let day = Day::new(seed, size).await;
    day.clone().play().await;
    println!("{}", day.summary().await);
    let violations = day.violations.lock().expect("lock").clone();
    violations.into_iter().map(|text| format!("seed {seed}: {text}")).collect()
}
