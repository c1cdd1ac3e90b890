//! Regression tests: workers with more run ends than one response lists.

mod emulator;
mod harness;

use std::time::Duration;

use cassiafold_jobs::clients::{EndedRun, Listing, PollError, PollResponse, RunEnd, RunningRun};
use cassiafold_jobs::cluster::MachineState;
use cassiafold_jobs::record::JobState;
use cassiafold_jobs::scheduler::OwnerTerm;
use cassiafold_jobs::spec::{JobId, Resources, StepId, TaskId};

use self::emulator::faults::Faults;
use self::emulator::worker::EmulatedWorker;
use self::emulator::{Emulator, LEASE_MAX, cores, job, ms, step};
use self::harness::{SchedulerHarness, long_running, state_from_previous_owner, worker_record};

/// Run ends in one poll response of the workers of a play.
const ENDS_PER_RESPONSE: usize = 3;
/// Jobs of a play.
const JOBS: u64 = 40;

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

/// A harness whose worker has run four tasks of job 1, and listed the ends of the first two.
fn harness_after_first_page(cores_each: u32) -> (SchedulerHarness, Vec<(TaskId, u32)>) {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.submit(1, vec![step(4, cores_each, &[])]);
    harness.run_for(ms(100));
    let runs = harness.running.remove(&0).expect("all run");
    let first = page(&harness, 1, &runs[..2], Listing::FirstPage);
    report(&mut harness, first);
    (harness, runs)
}

/// Capacity of each worker.
fn capacity() -> Resources {
    Resources { memory_bytes: 64 << 30, ..cores(16) }
}

/// A new owner of one worker, on which a previous owner has run four tasks of job 1.
fn new_owner() -> (SchedulerHarness, Vec<(TaskId, u32)>) {
    let known_workers = vec![worker_record(EmulatedWorker::new(0, capacity()).entry())];
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
    let (mut harness, runs) = harness_after_first_page(1);
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

/// Guards against a second start of ended tasks when a slow store delays the next page for longer
/// than a lease: each poll extends the leases of the runs that have not been reported.
#[test]
fn inherited_tasks_wait_for_the_last_page_longer_than_a_lease() {
    let (mut harness, runs) = new_owner();
    for _ in 0..100 {
        let _ = harness.scheduler.poll_request(0, false, harness.now);
        let first = page(&harness, 1, &runs[..2], Listing::FirstPage);
        report(&mut harness, first);
        assert_eq!(starts(&mut harness, 100), 0);
    }
}

/// Guards against a second start when the entry in the list is that of the incarnation before: the
/// previous owner may have started the tasks on the present one.
#[test]
fn inherited_tasks_wait_for_the_last_page_of_a_worker_that_had_restarted() {
    let (mut harness, runs) = new_owner();
    let entry = |number| EmulatedWorker::new(number, capacity()).entry();
    harness.scheduler.set_workers(vec![entry(0), entry(1)], harness.now);
    let idle = PollResponse { clock: harness.now, ..PollResponse::default() };
    harness.scheduler.handle_poll_response(1, false, harness.now, harness.now, idle);
    assert_eq!(starts(&mut harness, 100), 0, "the first worker has not responded");
    let first = page(&harness, 1, &runs[..2], Listing::FirstPage);
    let started_unix = Some(ms(5_000));
    report(&mut harness, PollResponse { started_unix, ..first });
    assert_eq!(starts(&mut harness, 500), 0);
}

/// Guards against tasks that wait for ever: no run outlasts the lease of a worker that is gone.
#[test]
fn inherited_tasks_start_once_the_lease_of_a_silent_worker_has_expired() {
    let (mut harness, runs) = new_owner();
    let first = page(&harness, 1, &runs[..2], Listing::FirstPage);
    report(&mut harness, first);
    harness.run_without_responses(LEASE_MAX - ms(200));
    assert_eq!(harness.running(), 0);
    harness.run_without_responses(ms(600));
    harness.scheduler.set_workers(vec![], harness.now);
    let other = EmulatedWorker::new(1, capacity()).entry();
    harness.scheduler.set_workers(vec![other], harness.now);
    harness.run_for(ms(500));
    assert_eq!(harness.running(), 2, "two tasks had ended");
}

/// Guards against a job that is given up for crashes of its worker after its tasks had ended.
#[test]
fn a_run_that_had_ended_before_a_crash_does_not_count_as_its_cause() {
    let (mut harness, runs) = harness_after_first_page(1);
    let closed = PollError::Closed("refused".into());
    harness.scheduler.handle_poll_failure(0, false, &closed, harness.now);
    harness.now += ms(10);
    harness.set_machines(SchedulerHarness::machines(1, MachineState::Down));
    assert!(harness.scheduler.worker(0).is_gone);
    assert_eq!(harness.scheduler.take_crash_counts().workers_crashed, 0);
    let job = harness.scheduler.job(1).expect("job");
    for (task, _) in &runs {
        assert_eq!(job.task(*task).map(|task| task.crashes.count()), Some(0));
    }
}

/// Guards against work that is thrown away with ends that are yet to be listed.
#[test]
fn a_machine_goes_down_only_after_the_last_page_of_run_ends() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    let first = page(&harness, 1, &[], Listing::FirstPage);
    report(&mut harness, first);
    harness.set_machines(SchedulerHarness::machines(1, MachineState::Up));
    harness.set_wave(&[0], 1);
    harness.run_with_open_polls(ms(1_000));
    assert_eq!(harness.machine_commands, vec![]);
    let last = page(&harness, 1, &[], Listing::Whole);
    report(&mut harness, last);
    harness.run_with_open_polls(ms(100));
    assert!(!harness.machine_commands.is_empty(), "the list is whole");
}

/// Guards against a budget that is exceeded: the task that has ended is away already.
#[test]
fn a_task_that_a_first_page_lacks_does_not_count_as_available() {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    harness.submit(1, vec![long_running(2, Some(1))]);
    harness.run_for(ms(300));
    assert_eq!(harness.running(), 2);
    harness.now += ms(10);
    let first = page(&harness, 1, &[], Listing::FirstPage);
    report(&mut harness, first);
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness.set_wave(&[1], 1);
    harness.run_with_open_polls(ms(1_000));
    assert_eq!(harness.machine_commands, vec![]);
}

#[test]
fn a_job_that_is_cancelled_between_two_pages_keeps_its_capacity_until_its_ends_are_listed() {
    let (mut harness, runs) = harness_after_first_page(4);
    harness.scheduler.cancel(1, harness.now);
    harness.submit(2, vec![step(4, 4, &[])]);
    assert_eq!(starts(&mut harness, 300), 2, "two ends are not listed");
    let last = page(&harness, 3, &runs[2..], Listing::Whole);
    let running = harness.running[&0].iter().map(|(task, run)| RunningRun {
        task: *task,
        run: *run,
        checkpoint: None,
        percent: 0,
        load_metric: 0,
    });
    let last = PollResponse { running: running.collect(), ..last };
    report(&mut harness, last);
    assert_eq!(starts(&mut harness, 300), 4);
    assert_eq!(state(&harness, 1), Some(JobState::Cancelled));
}

/// Jobs on workers whose ends need several responses, while the owner changes twice.
#[derive(Clone, Copy)]
struct Play {
    /// Time that the store takes for a write.
    write_latency: Duration,
    faults: Faults,
    /// Whether workers restart under their ids meanwhile.
    has_restarts: bool,
}

const PLAIN: Play = Play { write_latency: ms(5), faults: Faults::none(), has_restarts: false };
const SLOW_STORE: Play = Play { write_latency: ms(400), ..PLAIN };

impl Play {
    fn run(&self, seed: u64) -> Emulator {
        let mut emulator = Emulator::new(seed, 4, Resources::default(), self.faults);
        for worker in &mut emulator.workers {
            worker.ends_per_response = ENDS_PER_RESPONSE;
        }
        emulator.write_latency = self.write_latency;
        emulator.run(ms(3_000));
        emulator.replace_owner(ms(2_500), ms(1_500));
        emulator.replace_owner(ms(7_000), ms(1_500));
        if self.has_restarts {
            emulator.crash(0, ms(2_000), ms(200));
            emulator.crash(1, ms(4_100), ms(50));
            emulator.crash(2, ms(5_500), ms(200));
        }
        for id in 1..=JOBS {
            emulator.submit(id, job(vec![step(6, 0, &[]), step(3, 0, &[0])]));
            emulator.run(ms(200));
        }
        emulator.write_latency = PLAIN.write_latency;
        emulator.run(ms(60_000));
        emulator
    }

    fn check(&self, seed: u64) {
        let emulator = self.run(seed);
        assert!(emulator.violations.is_empty(), "seed {seed}: {:#?}", emulator.violations);
        let has_ended =
            |id: &u64| matches!(emulator.state(*id), JobState::Completed | JobState::Failed);
        let ended = (1..=JOBS).filter(has_ended).count();
        assert_eq!(ended, usize::try_from(JOBS).expect("count"), "seed {seed}");
    }
}

/// Seeds of each play.
const SEEDS: u64 = 6;

macro_rules! plays {
    ($($name:ident: $play:expr;)+) => {
        $(#[test] fn $name() {
            for seed in 1..=SEEDS {
                $play.check(seed);
            }
        })+
    };
}

plays! {
    no_task_runs_twice_while_run_ends_come_in_pages: PLAIN;
    no_task_runs_twice_while_run_ends_come_in_pages_and_calls_are_lost:
        Play { faults: Faults::all(), ..PLAIN };
    no_task_runs_twice_while_a_slow_store_delays_the_pages_of_run_ends: SLOW_STORE;
    no_task_runs_twice_while_a_slow_store_delays_the_pages_and_calls_are_lost:
        Play { faults: Faults::all(), ..SLOW_STORE };
    no_task_runs_twice_while_a_page_waits_longer_than_a_lease:
        Play { write_latency: ms(8_000), ..PLAIN };
    no_task_runs_twice_while_workers_restart_with_pages_outstanding:
        Play { has_restarts: true, ..SLOW_STORE };
}
