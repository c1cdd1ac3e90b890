//! Priority of the owner's writes when more has changed than fits into one write.

mod emulator;
mod harness;
mod log_lines;

use cassiafold_jobs::clients::{EndedRun, PollResponse, RunEnd};
use cassiafold_jobs::cluster::{MachineState, Wave, WorkerEntry};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::record::{JobRecord, WORKERS_PREFIX, WorkerRecord, state_key};
use cassiafold_jobs::scheduler::{OwnerTerm, WriteBatch, WriteUrgency};
use cassiafold_jobs::spec::{JobId, Resources};
use cassiafold_platform::VALUE_BYTES_MAX;

use self::emulator::worker::EmulatedWorker;
use self::emulator::{cores, job, ms, step};
use self::harness::{REVISION_AFTER_TAKEOVER, SchedulerHarness};
use self::log_lines::{capture, lines};

/// Entries that the store accepts in one transaction.
const STORE_ENTRIES_MAX: usize = 32;
/// Entries of each write beside its batch: two conditions and the sequence.
const FRAME_ENTRIES: usize = 3;
/// Number of jobs with two tasks, of which one has just ended.
const JOBS: u64 = 40;

/// A harness in which tasks of many jobs have ended since the last write.
fn harness_with_run_ends() -> SchedulerHarness {
    harness_with_run_ends_of(JOBS)
}

fn harness_with_run_ends_of(jobs: u64) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(8, OwnerTerm::default());
    for job in 1..=jobs {
        harness.submit(job, vec![step(2, 1, &[])]);
    }
    harness.run_for(ms(300));
    let running = std::mem::take(&mut harness.running);
    for (slot, mut runs) in running {
        runs.sort_unstable();
        let (ended, remaining): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|(task, _)| task.index == 0);
        let row = |(number, (task, run))| EndedRun {
            number,
            task,
            run,
            end: RunEnd::Done,
            checkpoint: None,
        };
        let ended = (1..).zip(ended).map(row).collect();
        harness.running.insert(slot, remaining);
        let poll = PollResponse { clock: harness.now, ended, ..PollResponse::default() };
        harness.scheduler.handle_poll_response(slot, false, harness.now, harness.now, poll);
    }
    harness
}

fn contains_state(batch: &WriteBatch, job: JobId) -> bool {
    batch.puts.iter().any(|(key, _)| *key == state_key(job))
}

#[test]
fn a_start_is_written_before_the_progress_of_other_jobs() {
    let mut harness = harness_with_run_ends();
    let new = JOBS + 1;
    harness.submit(new, vec![step(1, 1, &[])]);
    let _ = harness.scheduler.plan(ms(0), harness.now);
    let batch = harness.scheduler.next_write_batch(harness.now).expect("a write");
    assert!(contains_state(&batch, new));
}

#[test]
fn the_oldest_run_ends_are_written_even_while_starts_wait() {
    let mut harness = harness_with_run_ends();
    for new in JOBS + 1..JOBS + 50 {
        harness.submit(new, vec![step(1, 1, &[])]);
    }
    let _ = harness.scheduler.plan(ms(0), harness.now);
    let batch = harness.scheduler.next_write_batch(harness.now).expect("a write");
    assert!((1..=JOBS).any(|job| contains_state(&batch, job)));
    assert_eq!(
        harness.scheduler.write_urgency(),
        WriteUrgency::High,
        "more starts wait for a write"
    );
}

/// Number of workers in the next write.
fn workers_written(harness: &mut SchedulerHarness) -> usize {
    let batch = harness.scheduler.next_write_batch(harness.now).expect("a write");
    let parts = batch.puts.iter().filter(|(key, _)| key.starts_with(WORKERS_PREFIX));
    let written = parts.map(|(_, bytes)| {
        let workers: Vec<WorkerRecord> = serde_json::from_slice(bytes).expect("workers");
        workers.len()
    });
    written.sum()
}

/// Entries with the capacity that the harness gives to its workers.
fn entries(workers: usize) -> Vec<WorkerEntry> {
    let capacity = Resources { memory_bytes: 64 << 30, ..cores(16) };
    (0..workers).map(|number| EmulatedWorker::new(number, capacity).entry()).collect()
}

#[test]
fn a_new_worker_causes_few_other_workers_to_be_rewritten() {
    let mut harness = SchedulerHarness::new(600, OwnerTerm::default());
    harness.scheduler.set_workers(entries(601), harness.now);
    let written = workers_written(&mut harness);
    assert!((1..=40).contains(&written), "{written} workers");
}

#[test]
fn a_changed_capacity_causes_few_other_workers_to_be_rewritten() {
    let mut harness = SchedulerHarness::new(600, OwnerTerm::default());
    let mut entries = entries(600);
    entries[7].capacity = cores(4);
    harness.scheduler.set_workers(entries, harness.now);
    let written = workers_written(&mut harness);
    assert!((1..=40).contains(&written), "{written} workers");
}

/// Number of jobs for which several writes are in flight at the same time.
const MANY_JOBS: u64 = 60;

/// Highest run end that is acknowledged to any worker.
fn acknowledged(harness: &mut SchedulerHarness) -> u64 {
    acknowledged_by_polls(harness, false)
}

fn acknowledged_by_polls(harness: &mut SchedulerHarness, are_out_of_band: bool) -> u64 {
    let now = harness.now;
    let polls = (0..8).map(|slot| harness.scheduler.poll_request(slot, are_out_of_band, now));
    polls.map(|poll| poll.acknowledged).max().expect("workers")
}

#[test]
fn a_run_end_is_acknowledged_only_when_no_older_one_is_in_a_write_in_flight() {
    let mut harness = harness_with_run_ends_of(MANY_JOBS);
    let first = harness.scheduler.next_write_batch(harness.now).expect("a write");
    let second = harness.scheduler.next_write_batch(harness.now).expect("a second write in flight");
    harness.scheduler.handle_write_committed(&second, harness.now);
    assert_eq!(acknowledged(&mut harness), 0);
    harness.scheduler.handle_write_committed(&first, harness.now);
    assert!(acknowledged(&mut harness) > 0);
}

/// Guards against ends that a worker forgets before they were seen: while a poll is pending, the
/// worker may have restarted under its id, and its new incarnation numbers its ends from 1.
#[test]
fn a_poll_beside_a_pending_one_acknowledges_no_run_end() {
    let mut harness = harness_with_run_ends_of(MANY_JOBS);
    while let Some(batch) = harness.scheduler.next_write_batch(harness.now) {
        harness.scheduler.handle_write_committed(&batch, harness.now);
    }
    assert!(acknowledged(&mut harness) > 0);
    assert_eq!(acknowledged_by_polls(&mut harness, true), 0);
}

#[test]
fn a_state_is_not_written_while_an_older_one_of_its_job_is_in_flight() {
    let mut harness = harness_with_run_ends_of(MANY_JOBS);
    let first = harness.scheduler.next_write_batch(harness.now).expect("a write");
    let job = (1..=MANY_JOBS).find(|job| contains_state(&first, *job)).expect("a state");
    harness.scheduler.cancel(job, harness.now);
    let second = harness.scheduler.next_write_batch(harness.now).expect("a second write in flight");
    assert!(!contains_state(&second, job));
    harness.scheduler.handle_write_committed(&first, harness.now);
    let third = harness.scheduler.next_write_batch(harness.now).expect("a write");
    assert!(contains_state(&third, job));
}

#[test]
fn a_few_states_wait_for_the_write_in_flight() {
    let mut harness = harness_with_run_ends();
    let _first = harness.scheduler.next_write_batch(harness.now).expect("a write");
    assert_eq!(harness.scheduler.next_write_batch(harness.now), None);
}

#[test]
fn a_cancelled_job_whose_state_cannot_be_stored_is_not_logged_as_failed() {
    capture();
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    let team = Some("t".repeat(VALUE_BYTES_MAX).into());
    let record = JobRecord { team, ..job(vec![step(1, 1, &[])]) };
    harness.scheduler.add_job(1, record, REVISION_AFTER_TAKEOVER, None, harness.now);
    harness.scheduler.cancel(1, harness.now);
    harness.commit_writes();
    let count = |event: JobsEvent| lines(event.row().number).len();
    assert_eq!((count(JobsEvent::JobOversized), count(JobsEvent::StateUnstorable)), (0, 1));
}

/// Guards against a write that the store refuses as a whole, for ever.
#[test]
fn no_write_has_more_entries_than_the_store_accepts() {
    let mut harness = harness_with_run_ends_of(600);
    harness.set_machines(SchedulerHarness::machines(8, MachineState::Up));
    let waves = (1..=6).map(|number| Wave {
        number,
        machines: vec![format!("m{number}").into()],
        time_limit: ms(60_000),
        concurrent_max: 1,
    });
    harness.scheduler.set_waves(&waves.collect::<Vec<_>>(), harness.now);
    let mut largest = 0;
    let end = harness.now + ms(20_000);
    while harness.now < end {
        for command in harness.scheduler.plan(ms(0), harness.now) {
            harness.execute(command);
        }
        let next = std::iter::from_fn(|| harness.scheduler.next_write_batch(harness.now));
        let in_flight: Vec<WriteBatch> = next.collect();
        for batch in in_flight {
            let entries = batch.puts.len() + batch.deletions.len() + batch.waves.len();
            largest = largest.max(entries);
            harness.scheduler.handle_write_committed(&batch, harness.now);
        }
        harness.now += ms(10);
    }
    // The largest ones come up to the bound, and none beyond.
    assert_eq!(largest + FRAME_ENTRIES, STORE_ENTRIES_MAX);
}
