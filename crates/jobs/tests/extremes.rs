//! Extreme numbers of jobs, the configuration and the store do not end the owner: other jobs go on.
//! Those in responses of workers stand in `extreme_reports.rs`.

mod emulator;
mod harness;

use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::clients::{
    EndedRun, PolicyResponse, PollResponse, RunEnd, RunningRun, Ticket,
};
use cassiafold_jobs::cluster::{ClusterConfig, MachineState, PlacementPolicy, Wave};
use cassiafold_jobs::record::{JobRecord, JobState, StateRecord, TaskRecord};
use cassiafold_jobs::scheduler::{Command, OwnerTerm};
use cassiafold_jobs::spec::{JOB_TASKS_MAX, JobId, Resources, Schedule, StepId, StepSpec, TaskId};
use cassiafold_platform::VALUE_BYTES_MAX;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use self::emulator::{config, cores, job, ms, step};
use self::harness::{REVISION_AFTER_TAKEOVER, SchedulerHarness, state_from_previous_owner};

/// Id of the job with extreme numbers.
const EXTREME: JobId = 1;
/// Id of an ordinary job, accepted after it.
const ORDINARY: JobId = 2;
const LONGEST: Duration = Duration::from_millis(u64::MAX);
const WORKERS: usize = 3;

/// Ends all runs as done, with the result of a poll of each worker.
fn finish_runs(harness: &mut SchedulerHarness, first_number: u64) {
    for (worker, runs) in std::mem::take(&mut harness.running) {
        let row = |(number, (task, run))| EndedRun {
            number,
            task,
            run,
            end: RunEnd::Done,
            checkpoint: None,
        };
        let ended = (first_number..).zip(runs).map(row).collect();
        let poll = PollResponse { clock: harness.now, ended, ..PollResponse::default() };
        harness.scheduler.handle_poll_response(worker, true, harness.now, harness.now, poll);
    }
}

/// Runs an ordinary job beside what the scheduler was given before, and checks that it completes.
fn check_ordinary_job_completes(harness: &mut SchedulerHarness) {
    harness.submit(ORDINARY, vec![step(2, 1, &[]), step(1, 1, &[0])]);
    for round in 0..4 {
        harness.run_for(ms(700));
        finish_runs(harness, 100_000 * (round + 1));
    }
    harness.run_for(ms(300));
    assert_eq!(state(harness, ORDINARY), Some(JobState::Completed));
    harness.scheduler.cancel(EXTREME, harness.now);
    harness.run_for(ms(100));
}

fn state(harness: &SchedulerHarness, id: JobId) -> Option<JobState> {
    harness.scheduler.job(id).map(|job| job.state)
}

/// Gives the scheduler a job that is not too large, with its stored state if there is one, and
/// machines to balance.
fn check_beside(record: JobRecord, stored: Option<&StateRecord>) {
    assert_eq!(record.spec.check_size(), Ok(()), "the arithmetic is not reached");
    let term = OwnerTerm { token: 50, ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::new(WORKERS, term);
    harness.unix = LONGEST;
    harness.set_machines(SchedulerHarness::machines(WORKERS, MachineState::Up));
    let revision = if stored.is_some() { 40 } else { REVISION_AFTER_TAKEOVER };
    harness.scheduler.add_job(EXTREME, record, revision, stored, harness.now);
    if let Some(stored) = stored {
        harness.scheduler.restore_occurrences(EXTREME, stored, harness.now);
    }
    check_ordinary_job_completes(&mut harness);
}

fn scheduled(schedule: Schedule, steps: Vec<StepSpec>) -> JobRecord {
    let mut record = job(steps);
    record.spec.schedule = Some(schedule);
    record
}

/// Steps, each of which depends on the one before.
fn chain(length: u16, estimate: Duration) -> Vec<StepSpec> {
    let after = |number: u16| number.checked_sub(1).into_iter().collect::<Vec<u16>>();
    (0..length).map(|number| StepSpec { estimate, ..step(1, 1, &after(number)) }).collect()
}

fn run_numbered(last_run: u32) -> StateRecord {
    state_from_previous_owner(vec![TaskRecord { last_run, ..TaskRecord::default() }])
}

macro_rules! jobs {
    ($($name:ident: $record:expr, $stored:expr;)+) => {
        $(#[test] fn $name() {
            check_beside($record, $stored);
        })+
    };
}

jobs! {
    a_chain_of_the_longest_estimates_does_not_end_the_owner: job(chain(2, Duration::MAX)), None;
    the_longest_estimate_of_many_large_tasks_does_not_end_the_owner:
        job(vec![StepSpec { estimate: LONGEST, ..step(10_000, 4_000, &[]) }]), None;
    the_longest_interval_does_not_end_the_owner:
        scheduled(
            Schedule { first_unix: ms(0), interval: LONGEST, occurrences: 100_000 },
            vec![step(1, 1, &[])],
        ), None;
    the_latest_start_does_not_end_the_owner:
        scheduled(
            Schedule { first_unix: LONGEST, interval: LONGEST, occurrences: 100_000 },
            vec![step(1, 1, &[])],
        ), None;
    the_largest_resources_do_not_end_the_owner:
        job(vec![StepSpec {
            task_resources: Resources {
                processors_milli: u32::MAX,
                memory_bytes: u64::MAX,
                accelerators: u32::MAX,
            },
            long_running: true,
            ..step(3, 1, &[])
        }]), None;
    a_stored_job_with_no_task_per_worker_does_not_end_the_owner:
        job(vec![StepSpec { per_worker_max: Some(0), ..step(3, 1, &[]) }]), None;
    a_stored_step_after_itself_does_not_end_the_owner:
        job(vec![step(1, 1, &[0, 7, u16::MAX])]), None;
    a_stored_job_without_steps_does_not_end_the_owner: job(vec![]), None;
    a_stored_step_without_tasks_does_not_end_the_owner: job(vec![step(0, 1, &[])]), None;
    a_stored_job_with_the_last_run_number_does_not_end_the_owner:
        job(vec![step(1, 1, &[])]), Some(&run_numbered(u32::MAX));
    a_stored_gang_with_the_last_run_number_does_not_end_the_owner:
        job(vec![StepSpec { gang: true, ..step(2, 1, &[]) }]), Some(&run_numbered(u32::MAX));
}

macro_rules! oversized {
    ($($name:ident: $record:expr;)+) => {
        $(#[test] fn $name() {
            let mut harness = SchedulerHarness::new(WORKERS, OwnerTerm::default());
            harness.scheduler.add_job(EXTREME, $record, 40, None, harness.now);
            assert_eq!(state(&harness, EXTREME), Some(JobState::Failed));
            check_ordinary_job_completes(&mut harness);
        })+
    };
}

oversized! {
    a_stored_job_of_too_many_tasks_fails_alone: job(vec![step(10_000, 1, &[]); 11]);
    a_stored_job_of_too_many_steps_fails_alone: job(vec![step(1, 1, &[]); 1_001]);
    a_stored_job_of_more_steps_than_their_numbers_tell_apart_fails_alone:
        job(vec![step(1, 1, &[]); 66_000]);
    a_stored_step_of_more_tasks_than_memory_holds_fails_alone: job(vec![step(u32::MAX, 1, &[])]);
    a_stored_schedule_without_end_fails_alone: scheduled(
        Schedule { first_unix: ms(0), interval: ms(0), occurrences: u32::MAX },
        vec![step(1, 1, &[])],
    );
}

/// Guards against an owner that runs out of memory: all occurrences are due at the same moment.
#[test]
fn occurrences_that_are_due_together_start_as_others_end() {
    const OCCURRENCES: u32 = 3_000;
    let mut harness = SchedulerHarness::new(WORKERS, OwnerTerm::default());
    let schedule = Schedule { first_unix: ms(0), interval: ms(0), occurrences: OCCURRENCES };
    let record = scheduled(schedule, vec![step(1, 0, &[])]);
    harness.scheduler.add_job(EXTREME, record, 40, None, harness.now);
    let mut ended = 0;
    for round in 1..=20 {
        harness.run_for(ms(200));
        let job = harness.scheduler.job(EXTREME).expect("the job");
        let open = job.occurrences.len();
        assert!(open <= 1_000, "{open} occurrences at once");
        assert!(job.ended.len() >= ended);
        ended = job.ended.len();
        finish_runs(&mut harness, 10_000 * round);
    }
    assert_eq!(state(&harness, EXTREME), Some(JobState::Completed));
}

/// Gives the scheduler a configuration that was changed by `change`, with jobs in progress.
fn check_config(change: impl Fn(&mut ClusterConfig)) {
    let mut harness = SchedulerHarness::new(WORKERS, OwnerTerm::default());
    harness.set_machines(SchedulerHarness::machines(WORKERS, MachineState::Up));
    let mut config = (*config(Resources::default())).clone();
    change(&mut config);
    harness.scheduler.set_config(Arc::new(config));
    harness.submit(EXTREME, chain(3, ms(2_000)));
    check_ordinary_job_completes(&mut harness);
}

fn set_queue(config: &mut ClusterConfig, factor: f64, objective: Duration) {
    for queue in config.queues.values_mut() {
        queue.critical_path_factor = factor;
        queue.latency_objective = objective;
    }
}

macro_rules! configs {
    ($($name:ident: $change:expr;)+) => {
        $(#[test] fn $name() {
            check_config($change);
        })+
    };
}

configs! {
    a_huge_stretch_does_not_end_the_owner: |config| set_queue(config, 1e300, ms(600));
    an_infinite_stretch_does_not_end_the_owner: |config| set_queue(config, f64::INFINITY, ms(600));
    a_stretch_that_is_no_number_does_not_end_the_owner: |config| set_queue(config, f64::NAN, ms(6));
    a_negative_stretch_does_not_end_the_owner: |config| set_queue(config, -1e300, ms(600));
    the_longest_objective_does_not_end_the_owner: |config| set_queue(config, 1.5, Duration::MAX);
    extreme_weights_do_not_end_the_owner: |config| {
        for team in config.teams.values_mut() {
            team.weight = f64::MAX;
        }
    };
}

#[test]
fn the_longest_validity_of_a_ticket_does_not_end_the_owner() {
    let mut harness = SchedulerHarness::new(WORKERS, OwnerTerm::default());
    let mut config = (*config(Resources::default())).clone();
    let policy = PlacementPolicy {
        base: Duration::MAX,
        per_worker: Duration::MAX,
        valid_for: Duration::MAX,
    };
    for queue in config.queues.values_mut() {
        queue.placement_policy = Some(policy);
    }
    harness.scheduler.set_config(Arc::new(config));
    harness.submit(EXTREME, vec![step(1, 1, &[])]);
    let commands = harness.scheduler.plan(Duration::ZERO, harness.now);
    let is_query = |command: Command| match command {
        Command::QueryPolicy(query) => Some(query),
        _ => None,
    };
    let query = commands.into_iter().find_map(is_query).expect("a query");
    let ticket = |worker: &Arc<str>| Ticket { worker: worker.clone(), proof: "t".into() };
    let tickets = query.workers.iter().map(ticket).collect();
    let response = PolicyResponse { tickets, valid_for: Duration::MAX };
    harness.scheduler.handle_policy_response(&query, Ok(response), harness.now, harness.now);
    harness.run_for(ms(300));
    assert_eq!(harness.running(), 1, "the ticket is not used");
}

/// Lets a worker report runs of the extreme job that this owner did not start.
fn adopt(harness: &mut SchedulerHarness, worker: usize, tasks: u32) {
    let step = StepId { job: EXTREME, occurrence: 0, step: 0 };
    let row = |index| RunningRun {
        task: TaskId { step, index },
        run: u32::MAX,
        checkpoint: None,
        percent: u8::MAX,
        load_metric: u32::MAX,
    };
    let running = (0..tasks).map(row).collect();
    let poll = PollResponse { clock: harness.now, running, ..PollResponse::default() };
    harness.scheduler.handle_poll_response(worker, true, harness.now, harness.now, poll);
}

#[test]
fn adopted_runs_that_take_more_than_can_be_counted_do_not_end_the_owner() {
    let term = OwnerTerm { token: 50, ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::new(WORKERS, term);
    harness.set_machines(SchedulerHarness::machines(WORKERS, MachineState::Up));
    let largest = Resources { processors_milli: u32::MAX, ..cores(1) };
    let steps = vec![StepSpec { long_running: true, task_resources: largest, ..step(4, 1, &[]) }];
    let stored = state_from_previous_owner(Vec::new());
    harness.scheduler.add_job(EXTREME, job(steps), 40, Some(&stored), harness.now);
    adopt(&mut harness, 0, 3);
    harness.run_for(ms(300));
    check_ordinary_job_completes(&mut harness);
}

macro_rules! waves {
    ($($name:ident: $time_limit:expr, $concurrent_max:expr;)+) => {
        $(#[test] fn $name() {
            let mut harness = SchedulerHarness::new(WORKERS, OwnerTerm::default());
            harness.set_machines(SchedulerHarness::machines(WORKERS, MachineState::Up));
            let machines = vec!["m0".into(), "m1".into(), "m9".into()];
            let (time_limit, concurrent_max) = ($time_limit, $concurrent_max);
            let wave = Wave { number: u64::MAX, machines, time_limit, concurrent_max };
            harness.scheduler.set_waves(&[wave], harness.now);
            check_ordinary_job_completes(&mut harness);
        })+
    };
}

waves! {
    a_wave_with_the_longest_term_does_not_end_the_owner: Duration::MAX, usize::MAX;
    a_wave_without_term_does_not_end_the_owner: Duration::ZERO, 0;
}

/// A duration of any size, with the extremes often.
fn any_duration() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        Just(LONGEST),
        (0..60_000_u64).prop_map(ms),
        any::<u64>().prop_map(ms),
    ]
}

fn any_resources() -> impl Strategy<Value = Resources> {
    let processors = prop_oneof![Just(0), Just(u32::MAX), 0..5_000_u32, any::<u32>()];
    let memory = prop_oneof![Just(0), Just(u64::MAX), 0..1_u64 << 30];
    (processors, memory, prop_oneof![Just(0), Just(u32::MAX)]).prop_map(
        |(processors_milli, memory_bytes, accelerators)| Resources {
            processors_milli,
            memory_bytes,
            accelerators,
        },
    )
}

prop_compose! {
    fn any_step()(
        tasks in 0..20_u32,
        task_resources in any_resources(),
        estimate in any_duration(),
        after in prop::collection::vec(prop_oneof![0..4_u16, any::<u16>()], 0..3),
        flags in any::<[bool; 6]>(),
        tail_target in prop::option::of(any_duration()),
        per_worker_max in prop::option::of(prop_oneof![Just(0), 0..4_u32, Just(u32::MAX)]),
        unavailable_max in prop::option::of(prop_oneof![Just(0), Just(u32::MAX)]),
    ) -> StepSpec {
        let [checkpoints, gang, same_rack, speculative, long_running, opportunistic] = flags;
        StepSpec {
            tasks, task_resources, estimate, after, checkpoints, gang, same_rack, speculative,
            long_running, opportunistic, tail_target, per_worker_max, unavailable_max,
            ..StepSpec::default()
        }
    }
}

prop_compose! {
    fn any_schedule()(
        first_unix in any_duration(),
        interval in any_duration(),
        occurrences in prop_oneof![0..20_u32, Just(u32::MAX)],
    ) -> Schedule {
        Schedule { first_unix, interval, occurrences }
    }
}

fn any_factor() -> impl Strategy<Value = f64> {
    prop_oneof![any::<f64>(), Just(f64::NAN), Just(f64::MAX), Just(f64::INFINITY), Just(1.5)]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1_660),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn jobs_and_configurations_of_extreme_numbers_do_not_end_the_owner(
        steps in prop::collection::vec(any_step(), 0..5),
        schedule in prop::option::of(any_schedule()),
        unix in any_duration(),
        (factor, weight, objective) in (any_factor(), any_factor(), any_duration()),
        stored_run in prop::option::of(prop_oneof![0..5_u32, Just(u32::MAX)]),
        (time_limit, concurrent_max) in (any_duration(), prop_oneof![0..3_usize, Just(usize::MAX)]),
    ) {
        let term = OwnerTerm { token: 50, ..OwnerTerm::default() };
        let mut harness = SchedulerHarness::new(WORKERS, term);
        harness.unix = unix;
        harness.set_machines(SchedulerHarness::machines(WORKERS, MachineState::Up));
        let mut config = (*config(Resources::default())).clone();
        set_queue(&mut config, factor, objective);
        for team in config.teams.values_mut() {
            team.weight = weight;
        }
        harness.scheduler.set_config(Arc::new(config));
        let wave = Wave { number: 1, machines: vec!["m0".into()], time_limit, concurrent_max };
        harness.scheduler.set_waves(&[wave], harness.now);
        let stored = stored_run.map(run_numbered);
        let mut record = job(steps);
        record.spec.schedule = schedule;
        harness.scheduler.add_job(EXTREME, record, 40, stored.as_ref(), harness.now);
        if let Some(stored) = &stored {
            harness.scheduler.restore_occurrences(EXTREME, stored, harness.now);
        }
        harness.run_for(ms(400));
        finish_runs(&mut harness, 1);
        harness.run_for(ms(200));
        adopt(&mut harness, 1, 2);
        harness.run_for(ms(200));
        harness.scheduler.cancel(EXTREME, harness.now);
        harness.run_for(ms(200));
        let _ = harness.scheduler.backlog(harness.now);
    }
}

/// Guards against a write chain that repeats a write for ever which the store cannot take.
#[test]
fn a_job_whose_state_is_larger_than_a_value_of_the_store_fails_alone() {
    let mut harness = SchedulerHarness::new(WORKERS, OwnerTerm::default());
    harness.submit(EXTREME, vec![StepSpec { checkpoints: true, ..step(2, 1, &[]) }]);
    harness.run_for(ms(200));
    let (worker, runs) = harness.running.iter().next().expect("a run");
    let (worker, (task, run)) = (*worker, runs[0]);
    let checkpoint = Some("c".repeat(VALUE_BYTES_MAX).into());
    let ended = vec![EndedRun { number: 1, task, run, end: RunEnd::Failed, checkpoint }];
    let poll = PollResponse { clock: harness.now, ended, ..PollResponse::default() };
    harness.scheduler.handle_poll_response(worker, true, harness.now, harness.now, poll);
    let mut largest = 0;
    while let Some(batch) = harness.scheduler.next_write_batch(harness.now) {
        largest = batch.puts.iter().map(|(_, value)| value.len()).max().unwrap_or(0).max(largest);
        harness.scheduler.handle_write_committed(&batch, harness.now);
        harness.now += ms(10);
        if harness.now > ms(110_000) {
            break;
        }
    }
    assert!(largest <= VALUE_BYTES_MAX, "a value of {largest} bytes");
    assert_eq!(state(&harness, EXTREME), Some(JobState::Failed));
    check_ordinary_job_completes(&mut harness);
}

/// Guards against a job that is accepted and fails once many of its tasks have run.
#[test]
fn the_state_of_the_largest_accepted_job_fits_into_a_value_of_the_store() {
    let row = |index| TaskRecord {
        occurrence: 0,
        step: 999,
        index,
        done: true,
        last_run: 1_000_000_000,
        ..TaskRecord::default()
    };
    let tasks = u32::try_from(JOB_TASKS_MAX).expect("a number of tasks");
    let stored = state_from_previous_owner((0..tasks).map(row).collect());
    let bytes = stored.encode().expect("bytes").len();
    assert!(bytes <= VALUE_BYTES_MAX, "a value of {bytes} bytes");
}
