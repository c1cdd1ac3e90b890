//! Regression tests: workers with more run ends than one response lists.

mod emulator;
mod harness;

use cassiafold_jobs::clients::{EndedRun, Listing, PollResponse, RunEnd};
use cassiafold_jobs::record::JobState;
use cassiafold_jobs::scheduler::OwnerTerm;
use cassiafold_jobs::spec::{JobId, Resources, StepId, TaskId};

use self::emulator::worker::EmulatedWorker;
use self::emulator::{cores, job, ms, step};
use self::harness::{SchedulerHarness, state_from_previous_owner, worker_record};

/// A response that lists these ends of the first run of each task, numbered from `first`.
fn page(
    harness: &SchedulerHarness,
    first: u64,
    tasks: &[(TaskId, u32)],
    ended_listing: Listing,
) -> PollResponse {
    let end = RunEnd::Done;
    let row = |(number, (task, run)): (u64, &(TaskId, u32))| EndedRun {
        number,
        task: *task,
        run: *run,
        end,
        checkpoint: None,
    };
    let ended = (first..).zip(tasks).map(row).collect();
    PollResponse { clock: harness.now, ended, ended_listing, ..PollResponse::default() }
}

/// Passes a response of the first worker to the scheduler.
fn report(harness: &mut SchedulerHarness, response: PollResponse) {
    harness.scheduler.handle_poll_response(0, false, harness.now, harness.now, response);
}

/// Advances the time by `length` while the polls stay open, and returns the tasks that were started.
fn starts(harness: &mut SchedulerHarness, length: u64) -> usize {
    harness.run_with_open_polls(ms(length));
    harness.running()
}

fn state(harness: &SchedulerHarness, job: JobId) -> Option<JobState> {
    harness.scheduler.job(job).map(|job| job.state)
}

/// A new owner of one worker, on which a previous owner has run four tasks of job 1.
fn new_owner() -> (SchedulerHarness, Vec<(TaskId, u32)>) {
    let capacity = Resources { memory_bytes: 64 << 30, ..cores(16) };
    let known_workers = vec![worker_record(EmulatedWorker::new(0, capacity).entry())];
    let term =
        OwnerTerm { token: 50, run_number_base: 1_000, known_workers, ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::at_term_start(1, term);
    let stored = state_from_previous_owner(Vec::new());
    harness.scheduler.add_job(1, job(vec![step(4, 1, &[])]), 40, Some(&stored), harness.now);
    let step = StepId { job: 1, occurrence: 0, step: 0 };
    (harness, (0..4).map(|index| (TaskId { step, index }, 7)).collect())
}

/// Guards against a second start of tasks that have ended within the same term, when more of them
/// end together than a response lists.
#[test]
fn a_run_that_the_first_page_of_run_ends_lacks_is_not_started_again() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.submit(1, vec![step(4, 1, &[])]);
    harness.run_for(ms(100));
    let runs = harness.running.remove(&0).expect("all run");
    let first = page(&harness, 1, &runs[..2], Listing::FirstPage);
    report(&mut harness, first);
    assert_eq!(starts(&mut harness, 500), 0);
    let second = page(&harness, 3, &runs[2..], Listing::Whole);
    report(&mut harness, second);
    assert_eq!(state(&harness, 1), Some(JobState::Completed));
}

/// Guards against a second start, by a new owner, of tasks whose ends come with a later page.
#[test]
fn a_new_owner_starts_no_inherited_task_before_the_last_page_of_run_ends() {
    let (mut harness, runs) = new_owner();
    let first = page(&harness, 1, &runs[..2], Listing::FirstPage);
    report(&mut harness, first);
    assert_eq!(starts(&mut harness, 500), 0);
    let second = page(&harness, 3, &runs[2..3], Listing::Whole);
    report(&mut harness, second);
    assert_eq!(starts(&mut harness, 500), 1, "one task has not ended");
}

/// The response that overtakes a later one knows of fewer ends than there are by now.
#[test]
fn a_late_response_does_not_make_inherited_runs_known() {
    let (mut harness, runs) = new_owner();
    let sent = harness.now;
    harness.now += ms(50);
    let first = page(&harness, 1, &runs[..2], Listing::FirstPage);
    report(&mut harness, first);
    let late = page(&harness, 1, &[], Listing::Whole);
    harness.scheduler.handle_poll_response(0, true, sent, harness.now, late);
    assert_eq!(starts(&mut harness, 500), 0);
}
