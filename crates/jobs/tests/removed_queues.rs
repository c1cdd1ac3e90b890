//! Regression tests: queues that a later configuration no longer has, with jobs that have not ended.

mod emulator;
mod harness;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::clients::{EndedRun, PollResponse, RunEnd};
use cassiafold_jobs::cluster::{ClusterConfig, PlacementPolicy, Queue};
use cassiafold_jobs::record::{JobRecord, JobState, TaskRecord};
use cassiafold_jobs::scheduler::{Command, OwnerTerm};
use cassiafold_jobs::spec::{JobId, Resources, TaskId};

use self::emulator::{QUEUE, config, job, ms, step};
use self::harness::{REVISION_AFTER_TAKEOVER, SchedulerHarness, state_from_previous_owner};

const JOB: JobId = 1;
/// Failed runs after which the job fails.
const ATTEMPTS_MAX: u32 = 2;

/// The configuration of the harness, with its queue changed by `change`, or without it.
fn config_with(change: Option<fn(&mut Queue)>) -> Arc<ClusterConfig> {
    let mut config = (*config(Resources::default())).clone();
    match change {
        Some(change) => change(config.queues.get_mut(QUEUE).expect("the queue")),
        None => config.queues = HashMap::new(),
    }
    Arc::new(config)
}

/// A job of one task, accepted when the queue had [`ATTEMPTS_MAX`].
fn accepted() -> JobRecord {
    JobRecord { attempts_max: Some(ATTEMPTS_MAX), ..job(vec![step(1, 1, &[])]) }
}

/// Starts the task and lets it fail, again and again, and returns the number of starts.
fn starts_of_failing_task(harness: &mut SchedulerHarness) -> usize {
    for starts in 0..10 {
        harness.run_for(ms(300));
        let Some((worker, runs)) = harness.running.drain().find(|(_, runs)| !runs.is_empty())
        else {
            return starts;
        };
        fail(harness, worker, starts as u64 + 1, runs[0]);
    }
    panic!("the task starts without limit");
}

fn fail(harness: &mut SchedulerHarness, worker: usize, number: u64, (task, run): (TaskId, u32)) {
    let end = RunEnd::Failed;
    let ended = vec![EndedRun { number, task, run, end, checkpoint: None }];
    let poll = PollResponse { clock: harness.now, ended, ..PollResponse::default() };
    harness.scheduler.handle_poll_response(worker, false, harness.now, harness.now, poll);
}

fn state(harness: &SchedulerHarness) -> Option<JobState> {
    harness.scheduler.job(JOB).map(|job| job.state)
}

/// Guards against a task that fails and is started without limit while its queue is not configured.
#[test]
fn a_job_of_a_removed_queue_fails_after_the_attempts_with_which_it_was_accepted() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.scheduler.add_job(JOB, accepted(), REVISION_AFTER_TAKEOVER, None, harness.now);
    harness.run_for(ms(100));
    harness.scheduler.set_config(config_with(None));
    assert_eq!(starts_of_failing_task(&mut harness), ATTEMPTS_MAX as usize);
    assert_eq!(state(&harness), Some(JobState::Failed));
}

/// Guards against the same after a change of owner: the next one has never seen the queue.
#[test]
fn a_new_owner_that_never_saw_the_queue_counts_the_attempts_of_the_record() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.scheduler.set_config(config_with(None));
    let failed = TaskRecord { failed_runs: vec![3], last_run: 3, ..TaskRecord::default() };
    let stored = state_from_previous_owner(vec![failed]);
    harness.scheduler.add_job(JOB, accepted(), 1, Some(&stored), harness.now);
    assert_eq!(starts_of_failing_task(&mut harness), 1);
    assert_eq!(state(&harness), Some(JobState::Failed));
}

/// Guards against an accepted job that is judged by attempts that were configured later.
#[test]
fn a_later_number_of_attempts_holds_for_later_jobs() {
    for attempts_max in [1, 5] {
        let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
        harness.scheduler.add_job(JOB, accepted(), REVISION_AFTER_TAKEOVER, None, harness.now);
        harness.run_for(ms(100));
        let change: fn(&mut Queue) = match attempts_max {
            1 => |queue| queue.attempts_max = 1,
            _ => |queue| queue.attempts_max = 5,
        };
        harness.scheduler.set_config(config_with(Some(change)));
        assert_eq!(starts_of_failing_task(&mut harness), ATTEMPTS_MAX as usize);
    }
}

/// Guards against records of earlier versions, which don't tell the attempts.
#[test]
fn a_job_of_an_earlier_version_keeps_the_attempts_of_its_removed_queue() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    let change: fn(&mut Queue) = |queue| queue.attempts_max = ATTEMPTS_MAX;
    harness.scheduler.set_config(config_with(Some(change)));
    let record = JobRecord { attempts_max: None, ..accepted() };
    let bytes = record.encode().expect("encoded");
    assert_eq!(JobRecord::try_from(bytes.as_slice()).expect("decoded"), record);
    harness.scheduler.add_job(JOB, record, REVISION_AFTER_TAKEOVER, None, harness.now);
    harness.run_for(ms(100));
    harness.scheduler.set_config(config_with(None));
    assert_eq!(starts_of_failing_task(&mut harness), ATTEMPTS_MAX as usize);
}

/// Guards against starts without a ticket, which workers refuse, while the queue is not configured.
#[test]
fn a_step_of_a_removed_queue_still_needs_the_tickets_of_its_policy() {
    let mut harness = SchedulerHarness::new(1, OwnerTerm::default());
    harness.scheduler.set_config(config_with(Some(|queue| {
        let valid_for = Duration::from_secs(5);
        let policy = PlacementPolicy { base: ms(50), per_worker: ms(5), valid_for };
        queue.placement_policy = Some(policy);
    })));
    harness.submit(JOB, vec![step(1, 1, &[])]);
    harness.scheduler.set_config(config_with(None));
    harness.commit_writes();
    let commands = harness.scheduler.plan(harness.unix, harness.now + ms(20));
    let is_query = |command: &Command| matches!(command, Command::QueryPolicy(_));
    assert!(commands.iter().any(is_query), "{commands:?}");
    assert!(!commands.iter().any(|command| matches!(command, Command::Start { .. })));
}

#[test]
fn the_attempts_of_a_job_survive_its_record() {
    let record = accepted();
    let bytes = record.encode().expect("encoded");
    assert_eq!(JobRecord::try_from(bytes.as_slice()).expect("decoded"), record);
}
