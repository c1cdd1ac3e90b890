//! Regression tests of the queue of calls to the placement policy.

mod emulator;
mod harness;
mod policy;

use cassiafold_jobs::clients::PolicyError;
use cassiafold_jobs::policy_queue::PolicyQueue;
use cassiafold_jobs::spec::StepId;

use self::emulator::ms;
use self::policy::Policy;

/// The step of the calls.
const STEP: StepId = StepId { job: 1, occurrence: 0, step: 0 };

/// Guards against a policy that is kept busy with calls that it refuses.
#[test]
fn after_a_refusal_for_too_many_calls_no_call_is_sent_for_a_while() {
    let policy = Policy::new(50, 5).times;
    let mut queue = PolicyQueue::default();
    assert!(queue.may_send(&policy, ms(0)));
    let call = queue.send(STEP, &policy, 4, ms(0));
    queue.handle_outcome(call.number, Some(&PolicyError::Busy), ms(10));
    assert!(!queue.may_send(&policy, ms(500)));
    assert!(queue.may_send(&policy, ms(510)));
}

/// Guards against an expectation that leaves out the calls that wait, failed or not.
#[test]
fn the_time_after_which_a_call_is_late_includes_the_calls_before_it() {
    let policy = Policy::new(300, 40).times;
    let mut queue = PolicyQueue::default();
    let first = queue.send(STEP, &policy, 5, ms(0));
    assert_eq!(first.late_after, ms(2_000));
    queue.handle_outcome(first.number, Some(&PolicyError::Unanswered), ms(100));
    // 900 ms are left of both, twice that and a second, doubled after the first failure.
    assert_eq!(queue.send(STEP, &policy, 5, ms(100)).late_after, ms(5_600));
}

/// Guards against a call that is sent beside one that is not late, and against none beside one that
/// is.
#[test]
fn a_second_long_call_is_sent_once_the_first_is_late_and_not_before() {
    let policy = Policy::new(300, 40).times;
    let mut queue = PolicyQueue::default();
    queue.send(STEP, &policy, 5, ms(0));
    assert!(queue.awaits(STEP, ms(1_999)) && !queue.may_send(&policy, ms(1_999)));
    assert!(!queue.awaits(STEP, ms(2_000)) && queue.may_send(&policy, ms(2_000)));
}

/// Guards against a lost response that is expected for as long as others come.
#[test]
fn a_call_is_late_once_a_call_that_was_sent_after_it_has_its_response() {
    let policy = Policy::new(50, 5).times;
    let mut queue = PolicyQueue::default();
    queue.send(STEP, &policy, 4, ms(0));
    let other = StepId { step: 1, ..STEP };
    let second = queue.send(other, &policy, 4, ms(0));
    queue.handle_outcome(second.number, None, ms(140));
    assert!(!queue.awaits(STEP, ms(140)));
    assert_eq!(queue.late_since(STEP, ms(140)), Some(ms(140)));
}

/// Guards against expectations that follow the stated times only.
#[test]
fn a_call_is_late_only_after_the_time_that_the_call_before_it_took() {
    let policy = Policy::new(300, 40).times;
    let mut queue = PolicyQueue::default();
    let first = queue.send(STEP, &policy, 5, ms(0));
    queue.handle_outcome(first.number, None, ms(5_000));
    assert_eq!(queue.send(STEP, &policy, 5, ms(5_000)).late_after, ms(11_000));
}

/// Guards against a pause that the failure of another open call ends early.
#[test]
fn the_failure_of_a_second_call_does_not_shorten_the_pause_after_a_refusal() {
    let policy = Policy::new(50, 5).times;
    let mut queue = PolicyQueue::default();
    let calls = [queue.send(STEP, &policy, 4, ms(0)), queue.send(STEP, &policy, 4, ms(0))];
    queue.handle_outcome(calls[0].number, Some(&PolicyError::Busy), ms(10));
    queue.handle_outcome(calls[1].number, Some(&PolicyError::Unanswered), ms(20));
    assert!(!queue.may_send(&policy, ms(500)));
    assert!(queue.may_send(&policy, ms(510)));
}
