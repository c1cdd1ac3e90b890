//! Regression tests: which steps the placement policy is asked about, and in which order.

mod emulator;
mod harness;
mod policy;

use std::collections::HashSet;

use cassiafold_jobs::cluster::PlacementPolicy;
use cassiafold_jobs::record::JobRecord;
use cassiafold_jobs::spec::{JobId, StepSpec};

use self::emulator::{job, ms, step};
use self::harness::REVISION_AFTER_TAKEOVER;
use self::policy::{
    FREE_QUEUE, IDLE_MAX, OTHER_SERVICE, Policy, WORKERS, end_runs, has_started, started, tiny_step,
};

/// Guards against a policy that is asked again about a step whose response is late, while no other
/// step is asked about.
#[test]
fn each_response_starts_a_job_although_it_takes_30_times_as_long_as_configured() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    policy.times = PlacementPolicy { base: ms(9_000), per_worker: ms(1_200), ..policy.times };
    for job in 1..=3 {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    for job in 1..=3 {
        policy.run(&mut harness, policy.times.handling_time(7) + ms(100));
        assert_eq!(started(&harness), job);
    }
}

/// Submits a job of many steps, each of which needs a query of its own, and then one small job a
/// second, and checks that each of these starts in time.
#[test]
fn a_job_of_300_steps_leaves_every_other_job_its_turn() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    harness.submit(100, vec![tiny_step(1); 300]);
    harness.submit(101, vec![tiny_step(1_000)]);
    policy.run(&mut harness, ms(1_000));
    for job in 1..=6 {
        harness.submit(job, vec![step(4, 1, &[])]);
        policy.run(&mut harness, ms(1_000));
    }
    policy.run(&mut harness, IDLE_MAX - ms(1_000));
    let missing: Vec<JobId> = (1..=6).filter(|job| !has_started(&harness, *job)).collect();
    assert_eq!(missing, Vec::<JobId>::new());
    assert!(has_started(&harness, 100) && has_started(&harness, 101));
}

/// Guards against queries about a service that follow one another, while another service waits.
#[test]
fn the_steps_of_one_service_leave_another_service_its_turn() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness_of_two_services();
    harness.submit(100, vec![tiny_step(1); 300]);
    policy.run(&mut harness, ms(1_000));
    let other = JobRecord { service: OTHER_SERVICE.into(), ..job(vec![step(4, 1, &[])]) };
    harness.scheduler.add_job(1, other, REVISION_AFTER_TAKEOVER, None, harness.now);
    policy.run(&mut harness, IDLE_MAX);
    assert!(has_started(&harness, 1));
}

/// Guards against queries about steps that no worker can ever run.
#[test]
fn the_policy_is_not_asked_about_steps_that_are_larger_than_every_worker() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    for job in 101..=106 {
        harness.submit(job, vec![step(1, 90, &[])]);
    }
    policy.run(&mut harness, ms(10_000));
    assert_eq!(policy.handled, 0);
}

/// Guards against a step that waits for room and is asked about again whenever its tickets expire.
#[test]
fn a_step_without_room_is_asked_about_ever_more_rarely_and_starts_once_there_is_room() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    harness.submit(100, vec![step(WORKERS as u32, 16, &[])]);
    policy.run(&mut harness, ms(3_000));
    assert_eq!(harness.running(), WORKERS);
    harness.submit(1, vec![step(4, 1, &[])]);
    let handled = policy.handled;
    policy.run(&mut harness, ms(30_000));
    // At once, and 3, 9 and 21 s later.
    assert_eq!(policy.handled - handled, 4);
    end_runs(&mut harness, 4);
    policy.run(&mut harness, policy.times.handling_time(12) + ms(100));
    assert!(has_started(&harness, 1));
}

/// Guards against a step whose response was lost and that is behind all steps without a late one.
#[test]
fn a_step_whose_response_was_lost_has_its_turn_while_others_keep_the_policy_busy() {
    let mut policy = Policy::new(300, 40);
    policy.loses_next = true;
    let mut harness = policy.harness();
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, ms(100));
    harness.submit(100, vec![tiny_step(1); 300]);
    // Until it is late, and then like a job that has just come.
    policy.run(&mut harness, policy.times.handling_time(7) * 2 + ms(1_000) + IDLE_MAX);
    assert!(has_started(&harness, 1));
}

/// Guards against a worker that is kept for a step which the policy does not allow there.
#[test]
fn a_worker_that_the_policy_refuses_is_not_kept_for_a_waiting_step() {
    let mut policy = Policy::new(50, 5);
    policy.refused = HashSet::from(["w0".into()]);
    let mut harness = policy.harness();
    harness.submit(100, vec![step(WORKERS as u32 - 1, 16, &[])]);
    policy.run(&mut harness, ms(2_000));
    // It fits on the refused worker only.
    harness.submit(1, vec![StepSpec { long_running: true, ..step(1, 16, &[]) }]);
    policy.run(&mut harness, ms(2_000));
    let other = JobRecord { queue: FREE_QUEUE.into(), ..job(vec![step(4, 1, &[])]) };
    harness.scheduler.add_job(2, other, REVISION_AFTER_TAKEOVER, None, harness.now);
    policy.run(&mut harness, ms(500));
    assert!(has_started(&harness, 2));
}
