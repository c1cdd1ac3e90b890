//! Polls of a worker that has refused the owner's token.

mod emulator;
mod harness;

use cassiafold_jobs::clients::{PollError, PollResponse};
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::scheduler::{Command, OwnerTerm};

use self::emulator::ms;
use self::harness::SchedulerHarness;

const REFUSING: WorkerSlot = 0;

/// Polls of the refusing worker in ten seconds after a start was refused while a poll was in
/// flight, which then ended by `end_poll`.
fn polls_after_refusal(end_poll: impl FnOnce(&mut SchedulerHarness)) -> usize {
    let mut harness = SchedulerHarness::new(2, OwnerTerm::default());
    let _ = harness.scheduler.poll_request(REFUSING, false, harness.now);
    harness.now += ms(100);
    harness.scheduler.handle_token_refusal(REFUSING, harness.now);
    harness.now += ms(100);
    end_poll(&mut harness);
    let end = harness.now + ms(10_000);
    let mut polls = 0;
    while harness.now < end {
        for command in harness.scheduler.plan(harness.unix, harness.now) {
            match command {
                Command::Poll { worker: REFUSING, is_out_of_band } => {
                    polls += 1;
                    let (now, error) = (harness.now, PollError::Fenced);
                    let _ = harness.scheduler.poll_request(REFUSING, is_out_of_band, now);
                    harness.scheduler.handle_poll_failure(REFUSING, is_out_of_band, &error, now);
                }
                command => harness.execute(command),
            }
        }
        harness.commit_writes();
        harness.now += ms(10);
    }
    polls
}

macro_rules! ends_of_the_poll {
    ($($name:ident: $end_poll:expr;)+) => {
        $(#[test] fn $name() {
            assert_eq!(polls_after_refusal($end_poll), 0);
        })+
    };
}

ends_of_the_poll! {
    a_worker_that_refused_a_start_is_not_polled_again_after_its_pending_poll_is_refused:
        |harness| {
            let now = harness.now;
            harness.scheduler.handle_poll_failure(REFUSING, false, &PollError::Fenced, now);
        };
    a_worker_that_refused_a_start_is_not_polled_again_after_its_pending_poll_is_answered:
        |harness| {
            let now = harness.now;
            let poll = PollResponse { clock: now, ..PollResponse::default() };
            harness.scheduler.handle_poll_response(REFUSING, false, now, now, poll);
        };
}
