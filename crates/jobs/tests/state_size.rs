//! Jobs whose state is larger than the store takes.

mod clients;
mod day;
mod emulator;

use std::time::Duration;

use cassiafold_jobs::api::{JobStateResponse, SubmitResponse};
use cassiafold_jobs::record::{JobRecord, JobState, StateRecord, TaskRecord, job_key, state_key};
use cassiafold_jobs::spec::{JobId, Resources, StepSpec};
use cassiafold_platform::{Transaction, TransactionalStore};
use tokio::time::sleep;

use self::day::site::{Answer, Instance, KEY, QUEUE, call, quiet_site};
use self::day::store::PollingStore;
use self::emulator::{job, ms, step};

/// Deadline of callers.
const DEADLINE: Duration = Duration::from_secs(3);
/// Id of the wide job; the next id is that of the other job.
const ID: JobId = 1;
/// Tasks of a step, the most that a caller may ask for.
const TASKS: u32 = 10_000;
/// Tasks of the last step of the wide job, which run in the test.
const LAST_TASKS: u32 = 5_000;

/// A job with a state that is almost as large as the store takes.
fn wide_job() -> (JobRecord, StateRecord) {
    let tiny = Resources { processors_milli: 1, memory_bytes: 1, accelerators: 0 };
    let wide = |tasks, after: &[u16]| StepSpec { task_resources: tiny, ..step(tasks, 1, after) };
    let steps =
        vec![wide(TASKS, &[]), wide(TASKS, &[]), wide(TASKS, &[]), wide(LAST_TASKS, &[0, 1, 2])];
    let rows = (0..3).flat_map(|step| (0..TASKS).map(move |index| (step, index)));
    let row = |(step, index)| TaskRecord {
        step,
        index,
        done: true,
        last_run: 1,
        ..TaskRecord::default()
    };
    let record = job(steps);
    let tasks = rows.map(row).collect();
    let state = StateRecord {
        state: JobState::Running,
        team: record.team.clone(),
        ended: Vec::new(),
        tasks,
    };
    (record, state)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_state_outgrows_the_store_does_not_hold_up_another_job() {
    let (store, workers) = quiet_site(4).await;
    let (record, state) = wide_job();
    workers.add_job(ID, record.clone());
    let stored = Transaction::default().put(job_key(ID), record.encode().expect("job"), None).put(
        state_key(ID),
        state.encode().expect("state"),
        None,
    );
    store.commit(stored).await.expect("a state that the store takes");
    let client = PollingStore::new(&store, "one", Duration::ZERO);
    let instance = Instance::new("one", client, &workers, Duration::from_secs(150));
    sleep(ms(6_000)).await;
    let other = job(vec![step(1, 1, &[])]);
    workers.add_job(ID + 1, other.clone());
    let answer = instance.caller().submit(call(QUEUE, ID + 1, KEY, DEADLINE), &other).await;
    assert_eq!(answer, Answer::Response(SubmitResponse::Accepted));
    sleep(ms(8_000)).await;
    let answer = instance.caller().job_state(call(QUEUE, ID + 1, KEY, DEADLINE)).await;
    let expected = JobStateResponse::State(JobState::Completed);
    assert_eq!(answer, Answer::Response(expected), "8 s after a job of one short task");
}
