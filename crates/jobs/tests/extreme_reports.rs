//! Extreme numbers in responses of workers (clocks and run numbers), and what is reckoned with them:
//! leases, runs and due times are right. That other jobs go on beside extreme jobs, configurations
//! and stored states, see `extremes.rs`.

mod emulator;
mod harness;

use std::time::Duration;

use cassiafold_jobs::clients::{EndedRun, PollResponse, RunEnd, RunningRun};
use cassiafold_jobs::scheduler::OwnerTerm;
use cassiafold_jobs::spec::{Schedule, StepId, StepSpec, TaskId};

use self::emulator::{ms, step};
use self::harness::SchedulerHarness;

/// Passes the response to an additional poll of worker 0 to the scheduler.
fn report(harness: &mut SchedulerHarness, response: PollResponse) {
    let now = harness.now;
    let _ = harness.scheduler.poll_request(0, true, now);
    harness.scheduler.handle_poll_response(0, true, now, now, response);
}

#[test]
fn a_worker_with_the_largest_clock_reading_does_not_end_the_owner() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    report(&mut harness, PollResponse { clock: Duration::MAX, ..PollResponse::default() });
    let request = harness.scheduler.poll_request(0, true, harness.now);
    assert_eq!(request.lease_until, Some(Duration::MAX));
    harness.submit(1, vec![step(40, 1, &[])]);
    harness.run_for(ms(200));
    assert!(harness.running() > 16, "{} runs on two workers", harness.running());
}

#[test]
fn a_worker_whose_clock_went_back_is_given_leases_by_its_new_reading() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    report(&mut harness, PollResponse { clock: Duration::MAX / 2, ..PollResponse::default() });
    let _ = harness.scheduler.poll_request(0, true, harness.now);
    report(&mut harness, PollResponse { clock: ms(5_000), ..PollResponse::default() });
    let request = harness.scheduler.poll_request(0, true, harness.now);
    let lease = request.lease_until.expect("a lease").saturating_sub(ms(5_000));
    assert!(lease < ms(10_000), "{lease:?}");
}

#[test]
fn a_job_whose_estimates_exceed_the_longest_time_does_not_end_the_owner() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    let longest = |after: &[u16]| StepSpec { estimate: Duration::MAX, ..step(1, 1, after) };
    harness.submit(1, vec![longest(&[]), longest(&[0])]);
    harness.submit(2, vec![step(3, 1, &[])]);
    harness.run_for(ms(300));
    assert_eq!(harness.running(), 4);
}

#[test]
fn an_occurrence_beyond_the_latest_time_is_due_then() {
    let schedule = Schedule { first_unix: ms(1), interval: Duration::MAX, occurrences: 100_000 };
    assert_eq!(schedule.due_unix(99_999), Duration::MAX);
}

#[test]
fn a_run_with_the_largest_number_does_not_end_the_owner() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.submit(1, vec![step(1, 1, &[])]);
    harness.run_for(ms(100));
    let (slot, task) = (*harness.running.keys().next().expect("a run"), 1);
    let task = TaskId { step: StepId { job: task, occurrence: 0, step: 0 }, index: 0 };
    let run = RunningRun { task, run: u32::MAX, checkpoint: None, percent: 0, load_metric: 0 };
    let now = harness.now;
    let response = PollResponse { clock: now, running: vec![run], ..PollResponse::default() };
    harness.scheduler.handle_poll_response(1 - slot, true, now, now, response);
    let end = EndedRun { number: 1, task, run: 1, end: RunEnd::Expired, checkpoint: None };
    let response = PollResponse { clock: now, ended: vec![end], ..PollResponse::default() };
    harness.running.clear();
    harness.scheduler.handle_poll_response(slot, true, now, now, response);
    harness.run_for(ms(3_000));
    assert_eq!(harness.running(), 1);
}
