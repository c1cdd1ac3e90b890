//! Regression tests: opportunistic tasks whose speed on the worker is not the one that is known.

mod emulator;
mod harness;

use std::time::Duration;

use cassiafold_jobs::clients::{CommandOutcome, PollResponse, Refusal, RunningRun};
use cassiafold_jobs::scheduler::{Command, OwnerTerm};
use cassiafold_jobs::spec::{JobId, StepId, StepSpec, TaskId};
use cassiafold_jobs::throttle::Speed;

use self::emulator::worker::EmulatedWorker;
use self::emulator::{cores, job, ms, step};
use self::harness::{SchedulerHarness, state_from_previous_owner, worker_record};

const SERVING: JobId = 1;
const OPPORTUNISTIC: JobId = 2;
/// Target of the serving task's tail latency.
const TARGET: Duration = ms(100);
/// Tail latencies of the serving task that are far below its target, a little below, and above it.
const CALM_MS: u32 = 20;
const NEAR_MS: u32 = 85;
const BUSY_MS: u32 = 500;

/// Longest time after which workers carry a command out whose response was lost.
const LATEST_EXECUTION: Duration = ms(12_000);

/// A run that a previous owner started, as the worker reports it.
fn run_of(job: JobId, load_metric: u32) -> RunningRun {
    let task = TaskId { step: StepId { job, occurrence: 0, step: 0 }, index: 0 };
    RunningRun { task, run: 5, checkpoint: None, percent: 0, load_metric }
}

/// A new owner of one worker, which reports these runs of previous owners.
fn new_owner(runs: Vec<RunningRun>) -> SchedulerHarness {
    let known_workers = vec![worker_record(EmulatedWorker::new(0, cores(16)).entry())];
    let term =
        OwnerTerm { token: 50, run_number_base: 1_000, known_workers, ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::at_term_start(1, term);
    let stored = state_from_previous_owner(Vec::new());
    let serving = StepSpec { tail_target: Some(TARGET), long_running: true, ..step(1, 1, &[]) };
    let opportunistic = StepSpec { opportunistic: true, ..step(1, 1, &[]) };
    for (id, spec) in [(SERVING, serving), (OPPORTUNISTIC, opportunistic)] {
        harness.scheduler.add_job(id, job(vec![spec]), 1, Some(&stored), harness.now);
    }
    let clock = harness.now;
    let response = PollResponse { clock, running: runs, ..PollResponse::default() };
    let _ = harness.scheduler.poll_request(0, false, harness.now);
    harness.scheduler.handle_poll_response(0, false, harness.now, harness.now, response);
    harness
}

/// Advances the time by `length`, and returns the speeds that the opportunistic run is commanded;
/// each command has this outcome.
fn commanded(harness: &mut SchedulerHarness, length: Duration, outcome: CommandOutcome) -> Vec<u8> {
    let end = harness.now + length;
    let mut speeds = Vec::new();
    while harness.now < end {
        for command in harness.scheduler.plan(harness.unix, harness.now) {
            let Command::Throttle { worker, task, run, percent } = command else { continue };
            assert_eq!(task.step.job, OPPORTUNISTIC);
            speeds.push(percent);
            let now = harness.now;
            harness.scheduler.handle_throttle_outcome(worker, task, run, percent, outcome, now);
        }
        harness.now += ms(10);
    }
    speeds
}

macro_rules! adopted_speeds {
    ($($name:ident: $serving:expr => $speeds:expr;)+) => {
        $(#[test] fn $name() {
            let serving: Option<u32> = $serving;
            let serving = serving.map(|tail_ms| run_of(SERVING, tail_ms));
            let runs = serving.into_iter().chain([run_of(OPPORTUNISTIC, 0)]).collect();
            let mut harness = new_owner(runs);
            let speeds = commanded(&mut harness, ms(3_500), CommandOutcome::Accepted);
            assert_eq!(speeds, $speeds);
        })+
    };
}

// They guard against a task that stays paused because the owner that paused it is gone.
adopted_speeds! {
    a_run_of_a_previous_owner_gets_full_speed_again_beside_tasks_that_are_calm:
        Some(CALM_MS) => [65, 80, 95, 100];
    a_run_of_a_previous_owner_gets_a_known_speed_beside_tasks_near_their_target:
        Some(NEAR_MS) => [50];
    a_run_of_a_previous_owner_is_slowed_down_beside_tasks_above_their_target:
        Some(BUSY_MS) => [25, 12, 0];
    a_run_of_a_previous_owner_without_tasks_to_protect_gets_full_speed_at_once: None => [100];
}

/// Guards against a command without response that counts as carried out.
#[test]
fn a_speed_whose_command_was_not_carried_out_is_commanded_again() {
    let outcomes = [
        CommandOutcome::Unknown,
        CommandOutcome::NotSent,
        CommandOutcome::Refused(Refusal::Malformed),
    ];
    for outcome in outcomes {
        let mut harness = new_owner(vec![run_of(OPPORTUNISTIC, 0)]);
        let speeds = commanded(&mut harness, ms(1_900), outcome);
        assert_eq!(speeds, [100; 4], "{outcome:?}");
    }
}

/// Guards against a lost command that the worker carries out after a later one.
#[test]
fn a_speed_is_commanded_again_while_an_earlier_command_may_still_be_carried_out() {
    let mut speed = Speed::FULL;
    let now = ms(10_000);
    let last = now + LATEST_EXECUTION;
    assert_eq!(speed.next_command(Some(2.0), now), Some(50));
    speed.handle_outcome(50, CommandOutcome::Unknown, now);
    assert_eq!(speed.next_command(None, now + ms(600)), Some(100));
    speed.handle_outcome(100, CommandOutcome::Accepted, now + ms(600));
    assert_eq!(speed.next_command(None, last), Some(100));
    speed.handle_outcome(100, CommandOutcome::Accepted, last);
    assert_eq!(speed.next_command(None, now + LATEST_EXECUTION + ms(1_000)), None);
}

#[test]
fn a_confirmed_speed_is_commanded_once() {
    let mut speed = Speed::FULL;
    assert_eq!(speed.next_command(Some(0.8), ms(0)), None);
    assert_eq!(speed.next_command(Some(2.0), ms(0)), Some(50));
    speed.handle_outcome(50, CommandOutcome::Accepted, ms(5));
    assert_eq!(speed.next_command(Some(0.8), ms(600)), None);
}
