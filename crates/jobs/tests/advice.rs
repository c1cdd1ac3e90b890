//! Regression tests: steps that need tickets, and responses of the placement policy that must be
//! used.

mod emulator;
mod harness;
mod policy;

use cassiafold_jobs::cluster::PlacementPolicy;
use cassiafold_jobs::record::JobRecord;
use cassiafold_jobs::spec::StepSpec;

use self::emulator::{job, ms, step};
use self::harness::REVISION_AFTER_TAKEOVER;
use self::policy::{
    BURST_JOBS, FREE_QUEUE, IDLE_MAX, Policy, WORKERS, end_runs, gang, has_started, started,
    valid_for, workers,
};

/// Submits a burst of jobs of four tasks, and checks that each one starts, at the latest when the
/// policy can have handled a query of twelve workers for each and a little later.
fn check_burst(decide_ms: u64, each_ms: u64) {
    check_burst_of(Policy::new(decide_ms, each_ms));
}

fn check_burst_of(mut policy: Policy) {
    let mut harness = policy.harness();
    for job in 1..=BURST_JOBS {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    let per_query = policy.times.handling_time(12) + ms(100);
    policy.run(&mut harness, per_query * BURST_JOBS as u32);
    assert_eq!(started(&harness), BURST_JOBS as usize);
    assert_eq!((policy.late, policy.given_up, policy.refusals), (0, 0, 0));
}

macro_rules! bursts {
    ($($name:ident: $decide_ms:expr, $each_ms:expr;)+) => {
        $(#[test] fn $name() {
            check_burst($decide_ms, $each_ms);
        })+
    };
}

// They guard against queries that are given up while the policy prepares the response.
bursts! {
    every_job_of_a_burst_starts_at_50_ms_and_5_ms_a_worker: 50, 5;
    every_job_of_a_burst_starts_at_50_ms_and_60_ms_a_worker: 50, 60;
    every_job_of_a_burst_starts_at_300_ms_and_5_ms_a_worker: 300, 5;
    every_job_of_a_burst_starts_at_300_ms_and_40_ms_a_worker: 300, 40;
    every_job_of_a_burst_starts_at_300_ms_and_60_ms_a_worker: 300, 60;
    every_job_of_a_burst_starts_at_1_000_ms_and_5_ms_a_worker: 1_000, 5;
    every_job_of_a_burst_starts_at_1_000_ms_and_60_ms_a_worker: 1_000, 60;
}

/// Guards against a response that is thrown away because handling it took most of the time for
/// which its tickets are valid.
#[test]
fn every_job_of_a_burst_starts_with_tickets_that_are_valid_for_700_ms() {
    let mut policy = Policy::new(300, 40);
    policy.times.valid_for = ms(700);
    check_burst_of(policy);
}

/// Guards against the same where tickets are valid for less time than the policy takes.
#[test]
fn every_job_of_a_burst_starts_with_tickets_that_are_valid_for_100_ms() {
    let mut policy = Policy::new(300, 40);
    policy.times.valid_for = ms(100);
    check_burst_of(policy);
}

/// Guards against the same where the policy makes the tickets before it takes its time: with so
/// many workers in a query they expire, and fewer have to be named.
#[test]
fn every_job_starts_with_tickets_that_expire_while_many_workers_are_checked() {
    let mut policy = Policy::new(300, 40);
    policy.times.valid_for = ms(500);
    policy.makes_tickets_first = true;
    let mut harness = policy.harness();
    for job in 1..=BURST_JOBS {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    policy.run(&mut harness, policy.times.handling_time(12) * 2 * BURST_JOBS as u32);
    assert_eq!(started(&harness), BURST_JOBS as usize);
}

/// Guards against responses that are thrown away because the policy takes longer than tickets are
/// valid.
#[test]
fn every_job_of_a_burst_starts_although_the_policy_takes_longer_than_tickets_are_valid() {
    check_burst_of(Policy::new(3_200, 40));
}

/// Guards against fewer named workers that are all refused.
#[test]
fn a_step_starts_on_the_only_worker_that_the_policy_allows() {
    let mut policy = Policy::new(50, 60);
    policy.refused = (1..WORKERS).map(|number| format!("w{number}").into()).collect();
    let mut harness = policy.harness();
    harness.submit(1, vec![step(1, 1, &[])]);
    policy.run(&mut harness, ms(2_000));
    assert_eq!(harness.running.get(&0).map(Vec::len), Some(1));
}

/// Guards against a policy that is slower than its configuration says, whose responses are all
/// thrown away.
#[test]
fn jobs_start_although_the_policy_takes_four_times_as_long_as_configured() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    policy.times = PlacementPolicy { base: ms(1_200), per_worker: ms(160), ..policy.times };
    for job in 1..=BURST_JOBS {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    policy.run(&mut harness, policy.times.handling_time(12) * 2 * BURST_JOBS as u32);
    assert_eq!(started(&harness), BURST_JOBS as usize);
}

/// Guards against a response that is thrown away because it comes later than the configuration says.
#[test]
fn a_job_starts_with_the_first_response_although_it_takes_30_times_as_long_as_configured() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    policy.times = PlacementPolicy { base: ms(9_000), per_worker: ms(1_200), ..policy.times };
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, policy.times.handling_time(7) + ms(100));
    assert_eq!((started(&harness), policy.given_up), (1, 0));
}

/// Submits a gang with a member on each of twelve workers every six seconds, and checks that each
/// one starts: all of its members need a valid ticket at the same time.
fn check_gangs(mut policy: Policy, gang: &StepSpec) {
    let mut harness = policy.harness();
    for job in 1..=3 {
        harness.submit(job, vec![gang.clone()]);
        policy.run(&mut harness, ms(6_000));
        assert!(has_started(&harness, job), "gang {job}");
        end_runs(&mut harness, WORKERS);
    }
    assert_eq!(policy.refused_starts, 0);
}

macro_rules! gangs {
    ($($name:ident: $policy:expr, $gang:expr;)+) => {
        $(#[test] fn $name() {
            check_gangs($policy, &$gang);
        })+
    };
}

// They guard against tickets that expire while the others of a gang are asked for.
gangs! {
    gangs_start_with_40_ms_a_worker: Policy::new(300, 40), gang(12, 9);
    gangs_start_with_200_ms_a_worker: Policy::new(300, 200), gang(12, 9);
    gangs_start_with_200_ms_a_worker_and_tickets_that_are_valid_for_500_ms:
        Policy { times: valid_for(500), ..Policy::new(300, 200) }, gang(12, 9);
    gangs_in_one_rack_start_with_200_ms_a_worker:
        Policy::new(300, 200), StepSpec { same_rack: true, ..gang(12, 9) };
    gangs_start_with_200_ms_a_worker_and_one_task_a_worker:
        Policy::new(300, 200), StepSpec { per_worker_max: Some(1), ..gang(12, 1) };
    gangs_start_although_two_workers_are_refused:
        Policy { refused: workers(0..2), ..Policy::new(300, 200) }, gang(12, 9);
}

/// Guards against jobs that wait for the policy and look as if they waited for capacity.
#[test]
fn the_delays_of_a_job_tell_how_long_it_waited_for_the_policy() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    for job in 1..=2 {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    policy.run(&mut harness, policy.times.handling_time(7) * 2);
    let delays = harness.scheduler.job(2).expect("the job").delays.to_string();
    // The first 50 ms are counted before the pass that queries the policy.
    assert_eq!(delays, "store=0 former_owner=0 retry=0 limit=0 policy=1150 room=50");
}

/// Guards against a gang whose workers do not fit into one query, and whose first tickets expire
/// while it is asked about the rest.
#[test]
fn a_gang_on_more_workers_than_one_query_names_starts() {
    let mut policy = Policy { times: valid_for(600), ..Policy::new(300, 5) };
    policy.times.per_worker = ms(5);
    let mut harness = policy.harness_of(130);
    harness.submit(1, vec![gang(125, 9)]);
    policy.run(&mut harness, policy.times.handling_time(100) * 2 + ms(100));
    assert!(has_started(&harness, 1));
}

/// Guards against tickets that expire while the start of their job is stored.
#[test]
fn a_job_starts_with_its_first_tickets_although_writes_take_longer_than_they_are_valid() {
    let mut policy = Policy { write_time: ms(550), ..Policy::new(300, 40) };
    policy.times.valid_for = ms(500);
    let mut harness = policy.harness();
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, policy.times.handling_time(12));
    assert_eq!((started(&harness), policy.handled), (1, 1));
}

/// Guards against parts of a gang that are asked about for ever while it fits nowhere.
#[test]
fn a_gang_without_room_leaves_the_policy_to_others() {
    let mut policy = Policy { refused: workers(0..3), ..Policy::new(300, 200) };
    let mut harness = policy.harness();
    harness.submit(100, vec![gang(12, 9)]);
    policy.run(&mut harness, ms(5_000));
    let handled = policy.handled;
    policy.run(&mut harness, ms(30_000));
    assert!(policy.handled - handled <= 4, "{}", policy.handled - handled);
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, IDLE_MAX);
    assert!(has_started(&harness, 1));
}

/// Guards against a panic by times that are valid and that nothing can be added to.
#[test]
fn a_policy_with_the_longest_times_that_can_be_configured_is_queried() {
    let longest = ms(u64::MAX);
    let mut policy = Policy::new(300, 40);
    policy.times = PlacementPolicy { base: longest, per_worker: longest, valid_for: longest };
    let mut harness = policy.harness();
    harness.submit(100, vec![step(WORKERS as u32, 16, &[])]);
    harness.submit(101, vec![gang(WORKERS as u32, 16)]);
    harness.submit(1, vec![step(1, 16, &[])]);
    policy.times = PlacementPolicy { valid_for: longest, ..Policy::new(300, 40).times };
    policy.run(&mut harness, ms(200_000));
    assert!(has_started(&harness, 100));
}

/// Guards against a worker that gets no tasks for a while because one came without a valid ticket.
#[test]
fn a_start_that_is_refused_for_its_ticket_leaves_the_worker_to_others() {
    let mut policy = Policy::new(300, 40);
    policy.times.valid_for = ms(100);
    policy.makes_tickets_first = true;
    let mut harness = policy.harness_of(1);
    harness.submit(1, vec![step(1, 1, &[])]);
    while policy.refused_starts == 0 {
        policy.run(&mut harness, ms(5));
    }
    let other = JobRecord { queue: FREE_QUEUE.into(), ..job(vec![step(1, 1, &[])]) };
    harness.scheduler.add_job(2, other, REVISION_AFTER_TAKEOVER, None, harness.now);
    policy.run(&mut harness, ms(100));
    assert!(has_started(&harness, 2));
}

/// Guards against a response that is lost and awaited for minutes.
#[test]
fn a_step_is_asked_about_again_once_the_response_is_late() {
    let mut policy = Policy::new(300, 40);
    policy.loses_next = true;
    let mut harness = policy.harness();
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, policy.times.handling_time(12) * 4 + ms(1_000));
    assert_eq!((started(&harness), policy.handled), (1, 2));
}
