//! Deletion of jobs that have ended.

mod clients;
mod day;
mod emulator;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::api::SubmitResponse;
use cassiafold_jobs::record::{STATE_PREFIX, job_key, parse_job_key};
use cassiafold_jobs::spec::JobId;
use cassiafold_platform::Store;
use tokio::time::sleep;

use self::day::site::{Answer, Instance, KEY, QUEUE, call, quiet_site};
use self::day::store::PollingStore;
use self::emulator::{job, ms, step};

/// Deadline of callers.
const DEADLINE: Duration = Duration::from_secs(3);
/// How long the state of an ended job is kept, shorter than an instance of the test lives.
const KNOWN_FOR: Duration = Duration::from_millis(1_000);
/// Jobs that are accepted, ended and deleted in turn.
const JOBS: JobId = 60;

#[tokio::test(flavor = "multi_thread")]
async fn an_ended_job_does_not_run_again_after_a_list_that_was_read_before_its_deletion() {
    let (store, workers) = quiet_site(4).await;
    let client = PollingStore::new(&store, "one", ms(300));
    let instance = Instance::new("one", client, &workers, KNOWN_FOR);
    sleep(ms(1_500)).await;
    let record = job(vec![step(1, 1, &[])]);
    for id in 1..=JOBS {
        workers.add_job(id, record.clone());
        let submission = call(QUEUE, id, KEY, DEADLINE);
        let answer = instance.caller().submit(submission, &record).await;
        assert_eq!(answer, Answer::Response(SubmitResponse::Accepted));
        store.faults().compact();
        sleep(ms(80)).await;
    }
    sleep(KNOWN_FOR * 4).await;
    let mut starts: BTreeMap<_, usize> = BTreeMap::new();
    for (task, _) in workers.starts.lock().expect("lock").iter() {
        *starts.entry(*task).or_default() += 1;
    }
    let repeated: Vec<_> = starts.iter().filter(|(_, count)| **count > 1).collect();
    let states = store.list(STATE_PREFIX).await.expect("store").records;
    let is_left = |key: &Arc<str>| {
        let id = parse_job_key(key, STATE_PREFIX).expect("id");
        store.faults().peek(&job_key(id)).is_none()
    };
    let left: Vec<_> = states.into_iter().map(|one| one.key).filter(is_left).collect();
    assert_eq!((repeated, left), (Vec::new(), Vec::new()), "runs again, states without a job");
}
