//! Writes whose responses are lost while the store answers all other calls, in real time.

mod clients;
mod emulator;
mod log_lines;
mod scripted_store;

use std::time::Duration;

use cassiafold_jobs::api::{CancelResponse, JobStateResponse, SubmitResponse};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::record::{
    COMMANDED_MACHINES_KEY, INBOX_PREFIX, JobState, SEQUENCE_KEY, UNFINISHED_LOADS_KEY,
    WAITING_KEY, WAVES_KEY, job_key,
};
use cassiafold_platform::Store;
use tokio::time::Instant;

use self::clients::{wait_until, wait_until_ready};
use self::emulator::{job, step};
use self::log_lines::{capture, lines};
use self::scripted_store::{CallFault, ScriptedClients, call_for};

/// Deadline of callers.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time after which the platform's client gives up a call without a response.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_800);
/// Time within which a caller gets the response to a third write.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(1_500);

/// The responses to the next two writes are lost.
fn lose_two_writes(platform: &ScriptedClients) {
    platform.store.plan_all_reads(WAITING_KEY, CallFault::None);
    platform.store.plan_all_reads(&job_key(1), CallFault::None);
    platform.store.plan(&[CallFault::Unanswered(CLIENT_TIMEOUT); 2], CallFault::None);
}

#[tokio::test]
async fn a_submission_is_accepted_although_two_responses_to_its_write_are_lost() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    lose_two_writes(&platform);
    let asked = Instant::now();
    let response = api.submit(&call_for(1, DEADLINE), job(vec![step(1, 1, &[])]).spec).await;
    assert_eq!(response, SubmitResponse::Accepted, "after {:?}", asked.elapsed());
    assert!(asked.elapsed() < ANSWER_TIME_MAX, "answered after {:?}", asked.elapsed());
}

#[tokio::test]
async fn a_cancellation_is_accepted_although_two_responses_to_its_write_are_lost() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    let spec = job(vec![step(1, 1, &[])]).spec;
    assert_eq!(api.submit(&call_for(1, DEADLINE), spec).await, SubmitResponse::Accepted);
    lose_two_writes(&platform);
    let asked = Instant::now();
    let response = api.cancel(&call_for(1, DEADLINE)).await;
    assert_eq!(response, CancelResponse::Accepted, "after {:?}", asked.elapsed());
}

/// Guards against a job that runs although its caller was told that it never will.
#[tokio::test]
async fn a_submission_under_way_when_the_store_is_lost_has_an_unknown_outcome() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    platform.store.plan(&[], CallFault::Unanswered(CLIENT_TIMEOUT));
    let response = api.submit(&call_for(1, DEADLINE), job(vec![step(1, 1, &[])]).spec).await;
    assert_eq!(response, SubmitResponse::Unknown);
}

/// Guards against an owner that gives up reading the state because one response was lost.
#[tokio::test]
async fn an_owner_whose_first_write_gets_no_response_goes_on() {
    capture();
    let platform = ScriptedClients::with_workers(1).await;
    platform.clients.register_workers().await;
    let api = platform.clients.api();
    wait_until_ready(&api).await;
    let record = job(vec![step(1, 1, &[])]);
    platform.clients.workers.add_job(1, record.clone());
    let call = || call_for(1, DEADLINE);
    assert_eq!(api.submit(&call(), record.spec).await, SubmitResponse::Accepted);
    assert!(!platform.clients.store.list(INBOX_PREFIX).await.expect("store").records.is_empty());
    for key in [SEQUENCE_KEY, WAVES_KEY, COMMANDED_MACHINES_KEY, UNFINISHED_LOADS_KEY] {
        platform.store.plan_all_reads(key, CallFault::None);
    }
    let claim = CallFault::None;
    platform.store.plan(&[claim, CallFault::Unanswered(CLIENT_TIMEOUT)], CallFault::None);
    let started = Instant::now();
    let _owner = platform.start_owner("one");
    let done = JobStateResponse::State(JobState::Completed);
    wait_until("completed", async || (api.job_state(&call()).await == done).then_some(())).await;
    let taken = started.elapsed();
    let terms = lines(JobsEvent::OwnerBegan.row().number).len();
    assert_eq!(terms, 1, "terms; completed after {taken:?}");
}
