//! Jobs whose state is larger than the store takes.

mod clients;
mod day;
mod emulator;

use std::time::Duration;

use cassiafold_jobs::api::{JobStateResponse, SubmitResponse};
use cassiafold_jobs::record::{JobRecord, JobState, StateRecord, TaskRecord, job_key, state_key};
use cassiafold_jobs::spec::{JobId, JobSizeError, Resources, StepSpec};
use cassiafold_platform::{Transaction, TransactionalStore, VALUE_BYTES_MAX};
use tokio::time::{Instant, sleep};

use self::clients::TestWorkers;
use self::day::site::{Answer, Instance, KEY, QUEUE, call, quiet_site};
use self::day::store::PollingStore;
use self::emulator::{job, ms, step};

/// Deadline of callers.
const DEADLINE: Duration = Duration::from_secs(3);
/// Id of the large job; the next id is that of the other job.
const ID: JobId = 1;
/// Tasks of a step, the most that a caller may ask for.
const TASKS: u32 = 10_000;
/// Tasks of the last step of the wide job.
const LAST_TASKS: u32 = 5_000;
/// Tasks that wait for a worker with their checkpoints.
const WAITING_TASKS: u32 = 1_000;
/// Size of each of these checkpoints but the last.
const CHECKPOINT_BYTES: usize = 950;
/// Tasks that run in the test; the end of the first one outgrows the store.
const GROWTH_TASKS: u32 = 100;
/// Bytes that the state of the growing job can grow before the store does not take it.
const SPARE_BYTES: usize = 10;
/// Run time of the other job's task, in which each worker reports all that ended before.
const OTHER_RUN_TIME: Duration = Duration::from_millis(1_000);
/// Time within which a task of the large job starts.
const START_TIME_MAX: Duration = Duration::from_secs(30);
/// Time within which the other job, of one task of 1 s, has ended.
const OTHER_TIME_MAX: Duration = Duration::from_secs(8);

/// A step whose tasks need next to nothing.
fn tiny(tasks: u32, after: &[u16]) -> StepSpec {
    let task_resources = Resources { processors_milli: 1, memory_bytes: 1, accelerators: 0 };
    StepSpec { task_resources, ..step(tasks, 1, after) }
}

fn done_row(step: u16, index: u32) -> TaskRecord {
    TaskRecord { step, index, done: true, last_run: 1, ..TaskRecord::default() }
}

fn running(record: &JobRecord, tasks: Vec<TaskRecord>) -> StateRecord {
    let team = record.team.clone();
    StateRecord { state: JobState::Running, team, ended: Vec::new(), tasks }
}

/// A job of more tasks than a caller may ask for, accepted by an earlier version.
fn wide_job() -> (JobRecord, StateRecord) {
    let record = job(vec![
        tiny(TASKS, &[]),
        tiny(TASKS, &[]),
        tiny(TASKS, &[]),
        tiny(LAST_TASKS, &[0, 1, 2]),
    ]);
    assert!(matches!(record.spec.check_size(), Err(JobSizeError::Tasks(_))));
    let rows = (0..3).flat_map(|step| (0..TASKS).map(move |index| done_row(step, index)));
    let state = running(&record, rows.collect());
    (record, state)
}

/// A job whose state the store takes until a task of its second step has ended. Those of the first
/// step wait for an accelerator.
fn growing_job() -> (JobRecord, StateRecord) {
    let tiny_step = tiny(WAITING_TASKS, &[]);
    let task_resources = Resources { accelerators: 1, ..tiny_step.task_resources };
    let waiting = StepSpec { task_resources, checkpoints: true, ..tiny_step };
    let record = job(vec![waiting, tiny(GROWTH_TASKS, &[])]);
    assert_eq!(record.spec.check_size(), Ok(()));
    let row = |index, bytes| TaskRecord {
        index,
        last_run: 1,
        checkpoint: Some("c".repeat(bytes).into()),
        ..TaskRecord::default()
    };
    let rows = (0..WAITING_TASKS).map(|index| row(index, CHECKPOINT_BYTES));
    let mut state = running(&record, rows.collect());
    let spare = VALUE_BYTES_MAX - state.encode().expect("state").len() - SPARE_BYTES;
    let last = state.tasks.last_mut().expect("a task");
    *last = row(last.index, CHECKPOINT_BYTES + spare);
    assert_eq!(state.encode().expect("state").len(), VALUE_BYTES_MAX - SPARE_BYTES);
    (record, state)
}

/// Waits until a caller is told this state.
async fn wait_for_state(instance: &Instance, id: JobId, state: JobState, limit: Duration) {
    let expected = Answer::Response(JobStateResponse::State(state));
    let end = Instant::now() + limit;
    loop {
        let answer = instance.caller().job_state(call(QUEUE, id, KEY, DEADLINE)).await;
        if answer == expected {
            return;
        }
        assert!(Instant::now() < end, "job {id}: {answer:?} after {limit:?}, not {state:?}");
        sleep(ms(50)).await;
    }
}

/// Number of accepted starts of the large job's tasks.
fn starts(workers: &TestWorkers) -> usize {
    let starts = workers.starts.lock().expect("lock");
    starts.iter().filter(|(task, _)| task.step.job == ID).count()
}

async fn wait_for_start(workers: &TestWorkers) {
    let end = Instant::now() + START_TIME_MAX;
    while starts(workers) == 0 {
        assert!(Instant::now() < end, "no task of the large job started in {START_TIME_MAX:?}");
        sleep(ms(20)).await;
    }
}

/// Checks that an owner that takes over a large job fails it and serves another. `can_start` says
/// whether tasks of the large job start before it fails.
async fn check_other_job_completes(record: JobRecord, state: StateRecord, can_start: bool) {
    let (store, workers) = quiet_site(4).await;
    workers.add_job(ID, record.clone());
    let state = state.encode().expect("state");
    let record = record.encode().expect("job");
    let stored =
        Transaction::default().put(job_key(ID), record, None).put(state_key(ID), state, None);
    store.commit(stored).await.expect("a state that the store takes");
    let client = PollingStore::new(&store, "one", Duration::ZERO);
    let instance = Instance::new("one", client, &workers, Duration::from_secs(150));
    if can_start {
        wait_for_start(&workers).await;
    }
    let other = job(vec![step(1, 1, &[])]);
    workers.add_job(ID + 1, other.clone());
    workers.set_run_time(ID + 1, Some(OTHER_RUN_TIME));
    let answer = instance.caller().submit(call(QUEUE, ID + 1, KEY, DEADLINE), &other).await;
    assert_eq!(answer, Answer::Response(SubmitResponse::Accepted));
    wait_for_state(&instance, ID + 1, JobState::Completed, OTHER_TIME_MAX).await;
    wait_for_state(&instance, ID, JobState::Failed, OTHER_TIME_MAX).await;
    assert_eq!(starts(&workers) > 0, can_start);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stored_job_of_too_many_tasks_does_not_hold_up_another_job() {
    let (record, state) = wide_job();
    check_other_job_completes(record, state, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_state_outgrows_the_store_does_not_hold_up_another_job() {
    let (record, state) = growing_job();
    check_other_job_completes(record, state, true).await;
}
