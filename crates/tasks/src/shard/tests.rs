use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::{
    FAILED_WORKERS_MAX, FINISHED_RETENTION, Loss, Shard, SubmitResponse, TaskKey, TransitionError,
};
use crate::record::{Claim, Outcome, Resources, Task, TaskState};

fn at(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

fn task(idempotent: bool) -> Task {
    Task {
        id: "sweep-1".into(),
        team: "muscat".into(),
        kind: "sweep".into(),
        idempotent,
        urgent: false,
        declared: Resources::default(),
        declared_run_time: Duration::from_secs(60),
        cancel_requested: false,
        submission: "s1".into(),
        last_ended_claim: None,
        failed_on: Vec::new(),
        state: TaskState::Waiting { not_before: at(0) },
    }
}

fn key() -> TaskKey {
    ("muscat".into(), "sweep-1".into())
}

fn claim(id: &str, worker: &str) -> Claim {
    Claim { id: id.into(), worker: worker.into(), start_before: at(30) }
}

fn claimed(idempotent: bool) -> Shard {
    let mut shard = Shard::default();
    shard.submit(task(idempotent));
    shard.claim(&key(), claim("c1", "w1"), at(0)).unwrap();
    shard
}

fn state(shard: &Shard) -> TaskState {
    shard.tasks[&key()].state.clone()
}

fn finished(outcome: Outcome) -> TaskState {
    TaskState::Finished { outcome, at: at(1) }
}

#[test]
fn a_repeated_submission_leaves_the_first_unchanged() {
    let mut shard = Shard::default();
    assert_eq!(shard.submit(task(false)), SubmitResponse::Created);
    shard.claim(&key(), claim("c1", "w1"), at(0)).unwrap();
    assert_eq!(shard.submit(task(false)), SubmitResponse::AlreadyExists);
    assert!(matches!(state(&shard), TaskState::Claimed(_)));
}

#[test]
fn a_claimed_task_cannot_be_claimed_again() {
    let mut shard = claimed(true);
    let second = shard.claim(&key(), claim("c2", "w2"), at(1));
    assert_eq!(second, Err(TransitionError::NotClaimable));
}

#[test]
fn a_task_is_not_claimed_before_it_is_due() {
    let mut shard = claimed(true);
    shard.mark_lost(&key(), &"c1".into(), Loss::MayHaveRun, at(1)).unwrap();
    let early = shard.claim(&key(), claim("c2", "w2"), at(1));
    assert_eq!(early, Err(TransitionError::NotClaimable));
    assert_eq!(shard.claim(&key(), claim("c2", "w2"), at(2)), Ok(()));
}

macro_rules! loss_cases {
    ($($name:ident: $idempotent:literal, $loss:expr => $state:expr;)+) => {$(
        #[test]
        fn $name() {
            let mut shard = claimed($idempotent);
            shard.mark_lost(&key(), &"c1".into(), $loss, at(1)).unwrap();
            assert_eq!(state(&shard), $state);
        }
    )+};
}

loss_cases! {
    a_lost_idempotent_task_waits_for_a_retry:
        true, Loss::MayHaveRun => TaskState::Waiting { not_before: at(2) };
    a_lost_task_that_is_not_idempotent_ends_unknown:
        false, Loss::MayHaveRun => finished(Outcome::Unknown);
    a_task_that_never_started_waits_again:
        false, Loss::NeverStarted => TaskState::Waiting { not_before: at(1) };
}

#[test]
fn a_report_under_a_replaced_claim_is_refused() {
    let mut shard = claimed(true);
    shard.mark_lost(&key(), &"c1".into(), Loss::MayHaveRun, at(1)).unwrap();
    shard.claim(&key(), claim("c2", "w2"), at(5)).unwrap();
    let outcome = Outcome::Succeeded { output: "late".into() };
    let late = shard.finish(&key(), &"c1".into(), outcome, at(6));
    assert_eq!(late, Err(TransitionError::StaleClaim));
    assert!(matches!(state(&shard), TaskState::Claimed(claim) if &*claim.id == "c2"));
}

#[test]
fn a_task_ends_after_failing_on_several_distinct_workers() {
    let mut shard = Shard::default();
    shard.submit(task(true));
    let mut now = 0;
    for worker in 0..FAILED_WORKERS_MAX {
        now += 600;
        let id = format!("c{worker}");
        shard.claim(&key(), claim(&id, &format!("w{worker}")), at(now)).unwrap();
        shard.mark_lost(&key(), &id.as_str().into(), Loss::MayHaveRun, at(now)).unwrap();
    }
    let state = state(&shard);
    assert!(matches!(state, TaskState::Finished { outcome: Outcome::Failed { .. }, .. }));
}

#[test]
fn failures_on_a_single_worker_do_not_end_a_task() {
    let mut shard = Shard::default();
    shard.submit(task(true));
    for round in 0..10 {
        let id = format!("c{round}");
        let now = at(600 * (round + 1));
        shard.claim(&key(), claim(&id, "w1"), now).unwrap();
        shard.mark_lost(&key(), &id.as_str().into(), Loss::MayHaveRun, now).unwrap();
    }
    assert!(matches!(state(&shard), TaskState::Waiting { .. }));
}

#[test]
fn a_cancelled_running_task_is_not_retried() {
    let mut shard = claimed(true);
    shard.cancel(&key(), at(0)).unwrap();
    assert!(matches!(state(&shard), TaskState::Claimed(_)));
    shard.mark_lost(&key(), &"c1".into(), Loss::MayHaveRun, at(1)).unwrap();
    assert_eq!(state(&shard), finished(Outcome::Cancelled));
}

#[test]
fn a_finished_task_expires() {
    let mut shard = claimed(false);
    shard.finish(&key(), &"c1".into(), Outcome::Unknown, at(1)).unwrap();
    shard.remove_expired(at(1) + FINISHED_RETENTION - Duration::from_secs(1));
    assert_eq!(shard.tasks.len(), 1);
    shard.remove_expired(at(1) + FINISHED_RETENTION);
    assert!(shard.tasks.is_empty());
}
