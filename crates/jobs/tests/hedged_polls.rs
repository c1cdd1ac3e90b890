//! Replays of workers that leave some commands and polls without a response: what the owner sends
//! beside a pending poll.

mod emulator;
mod harness;

use std::time::Duration;

use cassiafold_jobs::clients::{CommandOutcome, EndedRun, PollError, PollResponse, RunEnd};
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::scheduler::{Command, OwnerTerm};
use cassiafold_jobs::spec::TaskId;

use self::emulator::{ms, step};
use self::harness::{SchedulerHarness, long_running};

/// Workers whose polls fail, beside the first one.
const OTHERS: [WorkerSlot; 3] = [1, 2, 3];

/// Polls and runs that the scheduler sends within `length`, while the workers hold all polls open.
fn commands_within(harness: &mut SchedulerHarness, length: Duration) -> Vec<Command> {
    let mut commands = Vec::new();
    let end = harness.now + length;
    while harness.now < end {
        for command in harness.scheduler.plan(Duration::ZERO, harness.now) {
            if let Command::Poll { worker, is_out_of_band } = command {
                let _ = harness.scheduler.poll_request(worker, is_out_of_band, harness.now);
            }
            commands.push(command);
        }
        harness.commit_writes();
        harness.now += ms(10);
    }
    commands
}

/// When polls were sent to the first worker beside its pending one, by their number.
fn hedges(commands: &[Command]) -> usize {
    let is_hedge =
        |command: &&Command| matches!(command, Command::Poll { worker: 0, is_out_of_band: true });
    commands.iter().filter(is_hedge).count()
}

fn fail_polls(harness: &mut SchedulerHarness, workers: &[WorkerSlot], error: &PollError) {
    for slot in workers {
        harness.scheduler.handle_poll_failure(*slot, false, error, harness.now);
    }
}

fn no_answer() -> PollError {
    PollError::NoAnswer("timeout".into())
}

/// Four workers; the first one runs a task, and all hold their polls open.
fn harness_with_a_pending_poll(steps: Vec<cassiafold_jobs::spec::StepSpec>) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(4, OwnerTerm::default());
    harness.submit(1, steps);
    harness.run_for(ms(100));
    let host = *harness.running.keys().next().expect("a run");
    assert_eq!(host, 0, "the first worker");
    commands_within(&mut harness, ms(50));
    harness
}

macro_rules! hedged {
    ($($name:ident: $steps:expr, $failing:expr, $error:expr => $expected:expr;)+) => {
        $(#[test] fn $name() {
            let mut harness = harness_with_a_pending_poll($steps);
            fail_polls(&mut harness, $failing, &$error);
            assert_eq!(hedges(&commands_within(&mut harness, ms(600))), $expected);
        })+
    };
}

hedged! {
    a_pending_poll_is_hedged_while_several_workers_do_not_respond:
        vec![step(1, 1, &[])], &OTHERS, no_answer() => 2;
    a_pending_poll_is_not_hedged_in_calm:
        vec![step(1, 1, &[])], &[], no_answer() => 0;
    two_workers_without_a_response_may_be_lost:
        vec![step(1, 1, &[])], &OTHERS[..2], no_answer() => 0;
    workers_that_close_their_connections_have_crashed:
        vec![step(1, 1, &[])], &OTHERS, PollError::Closed("reset".into()) => 0;
    nothing_waits_for_the_end_of_a_long_running_task:
        vec![long_running(1, None)], &OTHERS, no_answer() => 0;
}

#[test]
fn polls_are_no_longer_hedged_some_seconds_after_the_last_one_without_a_response() {
    let mut harness = harness_with_a_pending_poll(vec![step(1, 1, &[])]);
    fail_polls(&mut harness, &OTHERS, &no_answer());
    commands_within(&mut harness, ms(5_000));
    assert_eq!(hedges(&commands_within(&mut harness, ms(1_000))), 0);
}

/// Guards against steps that start seconds late: the end of the step before was learned only when
/// the poll that got no response timed out, after 1.6 s.
#[test]
fn the_next_step_starts_although_the_poll_of_its_worker_gets_no_response() {
    let mut harness = harness_with_a_pending_poll(vec![step(1, 1, &[]), step(1, 1, &[0])]);
    fail_polls(&mut harness, &OTHERS, &no_answer());
    let (task, run) = harness.running[&0][0];
    let mut next_step_after = None;
    let started = harness.now;
    while next_step_after.is_none() && harness.now < started + ms(1_600) {
        for command in harness.scheduler.plan(Duration::ZERO, harness.now) {
            match command {
                Command::Poll { worker: 0, is_out_of_band: true } => {
                    let _ = harness.scheduler.poll_request(0, true, harness.now);
                    let end =
                        EndedRun { number: 1, task, run, end: RunEnd::Done, checkpoint: None };
                    let poll = PollResponse {
                        clock: harness.now,
                        ended: vec![end],
                        ..PollResponse::default()
                    };
                    let now = harness.now;
                    harness.scheduler.handle_poll_response(0, true, now, now, poll);
                }
                Command::Start { task: TaskId { step, .. }, .. } if step.step == 1 => {
                    next_step_after = Some(harness.now - started);
                }
                _ => {}
            }
        }
        harness.commit_writes();
        harness.now += ms(10);
    }
    let waited = next_step_after.expect("the next step starts before the poll times out");
    assert!(waited <= ms(350), "{waited:?}");
}

/// A start command without a response is settled by a poll: the run is not there, and starts again.
#[test]
fn a_start_that_is_pending_for_long_is_stopped_before_it_times_out() {
    let mut harness = SchedulerHarness::new(4, OwnerTerm::default());
    fail_polls(&mut harness, &OTHERS, &no_answer());
    harness.submit(1, vec![step(1, 1, &[])]);
    let commands = commands_within(&mut harness, ms(150));
    let start = commands.iter().find_map(|command| match command {
        Command::Start { worker, task, run, .. } => Some((*worker, *task, *run)),
        _ => None,
    });
    let (worker, task, run) = start.expect("a start");
    let commands = commands_within(&mut harness, ms(100));
    let check = Command::Poll { worker, is_out_of_band: true };
    assert!(commands.contains(&check), "{commands:?}");
    let poll = PollResponse { clock: harness.now, ..PollResponse::default() };
    let now = harness.now;
    harness.scheduler.handle_poll_response(worker, true, now, now, poll);
    let commands = commands_within(&mut harness, ms(20));
    assert!(commands.contains(&Command::Stop { worker, task, run }), "{commands:?}");
    let outcome = CommandOutcome::Unknown;
    harness.scheduler.handle_start_outcome(worker, task, run, outcome, harness.now);
}
