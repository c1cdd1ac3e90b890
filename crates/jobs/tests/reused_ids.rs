//! Jobs whose id an earlier job had, of which nothing is stored any more.

mod emulator;
mod harness;

use std::time::Duration;

use cassiafold_jobs::record::job_key;
use cassiafold_jobs::scheduler::{OwnerTerm, Scheduler, SchedulerSettings};
use cassiafold_jobs::spec::{JobId, Resources};

use self::emulator::worker::EmulatedWorker;
use self::emulator::{config, cores, ms, settings, step};
use self::harness::{SchedulerHarness, long_running};

const REUSED: JobId = 7;
/// Time for which states are kept, shorter than that of records.
const STATUS_RETENTION: Duration = Duration::from_secs(2);

/// Advances the time and counts the deletions of the job's record.
fn record_deletions(harness: &mut SchedulerHarness, length: Duration) -> usize {
    let end = harness.now + length;
    let mut deletions = 0;
    while harness.now < end {
        for command in harness.scheduler.plan(harness.unix, harness.now) {
            harness.execute(command);
        }
        while let Some(batch) = harness.scheduler.next_write_batch(harness.now) {
            deletions += batch.deletions.iter().filter(|key| **key == job_key(REUSED)).count();
            harness.scheduler.handle_write_committed(&batch, harness.now);
        }
        harness.now += ms(10);
    }
    deletions
}

#[test]
fn the_record_of_a_job_whose_id_was_used_before_is_kept_while_it_runs() {
    let now = ms(100_000);
    let settings = SchedulerSettings { status_retention: STATUS_RETENTION, ..settings() };
    let mut scheduler = Scheduler::new(settings, OwnerTerm::default(), now);
    scheduler.set_config(config(Resources::default()));
    let capacity = Resources { memory_bytes: 64 << 30, ..cores(16) };
    let worker = |number| EmulatedWorker::new(number, capacity).entry();
    scheduler.set_workers((0..2).map(worker).collect(), now);
    let mut harness = SchedulerHarness::from_scheduler(scheduler, now);
    harness.run_for(ms(8_000));
    harness.submit(REUSED, vec![step(1, 1, &[])]);
    harness.run_for(ms(300));
    harness.scheduler.cancel(REUSED, harness.now);
    let deletions = record_deletions(&mut harness, STATUS_RETENTION + ms(1_000));
    assert_eq!(deletions, 1, "with the state");
    harness.submit(REUSED, vec![long_running(1, None)]);
    assert_eq!(record_deletions(&mut harness, ms(15_000)), 0);
    assert!(harness.scheduler.job(REUSED).is_some_and(|job| job.is_live()));
}
