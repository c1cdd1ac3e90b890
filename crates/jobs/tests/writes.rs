//! What the owner writes first when more has changed than one write takes.

mod desk;
mod emulator;

use cassiafold_jobs::clients::{EndedRun, PollResponse, RunEnd};
use cassiafold_jobs::record::{WORKERS_PREFIX, WorkerRecord, state_key};
use cassiafold_jobs::scheduler::{OwnerTerm, WriteBatch, WriteUrgency};
use cassiafold_jobs::spec::JobId;

use self::desk::Desk;
use self::emulator::worker::EmulatedWorker;
use self::emulator::{cores, ms, step};

/// Jobs of two tasks, each with one that has just ended.
const JOBS: u64 = 40;

/// A desk at which tasks of many jobs have ended since the last write.
fn busy() -> Desk {
    busy_with(JOBS)
}

fn busy_with(jobs: u64) -> Desk {
    let mut desk = Desk::new(8, OwnerTerm::default());
    for job in 1..=jobs {
        desk.submit(job, vec![step(2, 1, &[])]);
    }
    desk.pass(ms(300));
    let running = std::mem::take(&mut desk.running);
    for (slot, mut runs) in running {
        runs.sort_unstable();
        let (ended, left): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|(task, _)| task.index == 0);
        let row = |(number, (task, run))| EndedRun {
            number,
            task,
            run,
            end: RunEnd::Done,
            checkpoint: None,
        };
        let ended = (1..).zip(ended).map(row).collect();
        desk.running.insert(slot, left);
        let poll = PollResponse { clock: desk.now, ended, ..PollResponse::default() };
        desk.scheduler.handle_poll_response(slot, false, desk.now, desk.now, poll);
    }
    desk
}

fn holds(flush: &WriteBatch, job: JobId) -> bool {
    flush.puts.iter().any(|(key, _)| *key == state_key(job))
}

#[test]
fn a_start_that_waits_for_the_store_does_not_queue_behind_the_progress_of_others() {
    let mut desk = busy();
    let new = JOBS + 1;
    desk.submit(new, vec![step(1, 1, &[])]);
    let _ = desk.scheduler.plan(ms(0), desk.now);
    let flush = desk.scheduler.next_write_batch(desk.now).expect("a write");
    assert!(holds(&flush, new));
}

#[test]
fn the_ends_that_wait_longest_are_written_though_starts_wait() {
    let mut desk = busy();
    for new in JOBS + 1..JOBS + 50 {
        desk.submit(new, vec![step(1, 1, &[])]);
    }
    let _ = desk.scheduler.plan(ms(0), desk.now);
    let flush = desk.scheduler.next_write_batch(desk.now).expect("a write");
    assert!((1..=JOBS).any(|job| holds(&flush, job)));
    assert_eq!(desk.scheduler.write_urgency(), WriteUrgency::High, "more starts wait");
}

#[test]
fn a_worker_that_comes_has_few_others_written_again() {
    let mut desk = Desk::new(600, OwnerTerm::default());
    let capacity = cores(16);
    let entries = (0..601).map(|number| EmulatedWorker::new(number, capacity).entry());
    desk.scheduler.set_workers(entries.collect(), desk.now);
    let flush = desk.scheduler.next_write_batch(desk.now).expect("a write");
    let parts = flush.puts.iter().filter(|(key, _)| key.starts_with(WORKERS_PREFIX));
    let written = parts.map(|(_, bytes)| {
        let workers: Vec<WorkerRecord> = serde_json::from_slice(bytes).expect("workers");
        workers.len()
    });
    let written: usize = written.sum();
    assert!((1..=40).contains(&written), "{written} workers");
}

/// Jobs of which more than one write at a time is made.
const MANY_JOBS: u64 = 60;

/// The highest end that is acknowledged to any worker.
fn acknowledged(desk: &mut Desk) -> u64 {
    let now = desk.now;
    let looks = (0..8).map(|slot| desk.scheduler.poll_request(slot, true, now));
    looks.map(|poll| poll.acknowledged).max().expect("workers")
}

#[test]
fn an_end_is_acknowledged_only_when_no_older_one_is_in_a_write_under_way() {
    let mut desk = busy_with(MANY_JOBS);
    let first = desk.scheduler.next_write_batch(desk.now).expect("a write");
    let second = desk.scheduler.next_write_batch(desk.now).expect("another write beside it");
    desk.scheduler.handle_write_committed(&second, desk.now);
    assert_eq!(acknowledged(&mut desk), 0);
    desk.scheduler.handle_write_committed(&first, desk.now);
    assert!(acknowledged(&mut desk) > 0);
}

#[test]
fn a_state_does_not_overtake_an_older_one_of_its_job_that_is_under_way() {
    let mut desk = busy_with(MANY_JOBS);
    let first = desk.scheduler.next_write_batch(desk.now).expect("a write");
    let job = (1..=MANY_JOBS).find(|job| holds(&first, *job)).expect("a state");
    desk.scheduler.cancel(job, desk.now);
    let second = desk.scheduler.next_write_batch(desk.now).expect("another write beside it");
    assert!(!holds(&second, job));
    desk.scheduler.handle_write_committed(&first, desk.now);
    let third = desk.scheduler.next_write_batch(desk.now).expect("a write");
    assert!(holds(&third, job));
}

#[test]
fn a_few_states_wait_for_the_write_that_is_under_way() {
    let mut desk = busy();
    let _first = desk.scheduler.next_write_batch(desk.now).expect("a write");
    assert_eq!(desk.scheduler.next_write_batch(desk.now), None);
}
