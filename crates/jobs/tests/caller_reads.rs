//! Queries, cancellations and counts at a store that is silent, slow or refuses, in virtual time.

mod clients;
mod emulator;
mod scripted_store;

use cassiafold_jobs::api::{
    Call, CancelResponse, CountResponse, Denial, JobApi, JobStateResponse, UnknownReason,
};
use cassiafold_jobs::record::{JobRecord, JobState, job_key, state_key};
use cassiafold_jobs::spec::JobId;
use tokio::time::Instant;

use self::emulator::{job, ms, step};
use self::scripted_store::{CallFault, ScriptedClients, call_for};

type Api = JobApi<ScriptedClients>;

const RUNNING: JobStateResponse = JobStateResponse::State(JobState::Running);

async fn put_state(platform: &ScriptedClients, id: JobId, state: &str) {
    platform.put(&state_key(id), format!(r#"{{"s":"{state}"}}"#)).await;
}

async fn put_job(platform: &ScriptedClients, id: JobId) {
    let record: JobRecord = job(vec![step(1, 1, &[])]);
    platform.put(&job_key(id), record.encode().expect("record")).await;
}

async fn query(api: &Api, call: Call) {
    assert!(matches!(api.job_state(&call).await, JobStateResponse::Unknown(_)));
}

async fn cancel(api: &Api, call: Call) {
    assert!(matches!(api.cancel(&call).await, CancelResponse::Unknown(_)));
}

async fn count(api: &Api, call: Call) {
    let call = Call { path: "/q/".into(), ..call };
    assert!(matches!(api.waiting_jobs(&call).await, CountResponse::Unknown(_)));
}

/// A call at a silent store, by a caller with this much time.
macro_rules! bounded {
    ($($name:ident: $call:ident, $left:expr;)+) => {
        $(#[tokio::test(start_paused = true)] async fn $name() {
            let platform = ScriptedClients::new().await;
            let api = platform.api().await;
            platform.store.plan(&[], CallFault::Silent);
            let started = Instant::now();
            $call(&api, call_for(1, $left)).await;
            let taken = started.elapsed();
            assert!(taken < $left, "answered after {taken:?}, the caller had {:?}", $left);
        })+
    };
}

bounded! {
    a_query_with_three_seconds_is_answered_before_its_deadline: query, ms(3_000);
    a_query_with_one_second_is_answered_before_its_deadline: query, ms(1_000);
    a_query_with_200_ms_is_answered_before_its_deadline: query, ms(200);
    a_query_with_50_ms_is_answered_before_its_deadline: query, ms(50);
    a_query_with_4_ms_is_answered_before_its_deadline: query, ms(4);
    a_cancellation_with_one_second_is_answered_before_its_deadline: cancel, ms(1_000);
    a_cancellation_with_200_ms_is_answered_before_its_deadline: cancel, ms(200);
    a_count_with_one_second_is_answered_before_its_deadline: count, ms(1_000);
    a_count_with_200_ms_is_answered_before_its_deadline: count, ms(200);
}

#[tokio::test(start_paused = true)]
async fn a_query_whose_deadline_has_passed_is_answered_at_once() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    platform.store.plan(&[], CallFault::Silent);
    let started = Instant::now();
    let response = api.job_state(&call_for(1, ms(0))).await;
    assert_eq!(response, JobStateResponse::Unknown(UnknownReason::DeadlineTooShort));
    assert_eq!(started.elapsed(), ms(0));
}

#[tokio::test(start_paused = true)]
async fn a_query_by_an_unconfirmed_configuration_is_answered_before_its_deadline() {
    let platform = ScriptedClients::new().await;
    let api = platform.api_with_unconfirmed_config();
    platform.store.plan(&[], CallFault::Silent);
    let started = Instant::now();
    let unknown_key = Call { key: Some("x".into()), ..call_for(1, ms(200)) };
    assert_eq!(api.target(&unknown_key).await, Err(Denial::Outdated));
    let response = api.job_state(&unknown_key).await;
    assert_eq!(response, JobStateResponse::Denied(Denial::Outdated));
    let taken = started.elapsed();
    assert!(taken < ms(200), "answered after {taken:?}");
}

/// The response to a state query of which only the first call to the store gets no response.
macro_rules! one_lost_response {
    ($($name:ident: $left:expr;)+) => {
        $(#[tokio::test(start_paused = true)] async fn $name() {
            let platform = ScriptedClients::new().await;
            let api = platform.api().await;
            put_state(&platform, 1, "running").await;
            platform.store.plan(&[CallFault::Silent], CallFault::None);
            let started = Instant::now();
            assert_eq!(api.job_state(&call_for(1, $left)).await, RUNNING);
            assert!(started.elapsed() < $left);
        })+
    };
}

one_lost_response! {
    a_query_with_one_second_reads_again_after_a_lost_response: ms(1_000);
    a_query_with_200_ms_reads_again_after_a_lost_response: ms(200);
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_is_accepted_after_the_responses_to_a_read_and_a_write_were_lost() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    put_job(&platform, 1).await;
    let faults = [CallFault::Silent, CallFault::None, CallFault::Silent];
    platform.store.plan(&faults, CallFault::None);
    let started = Instant::now();
    assert_eq!(api.cancel(&call_for(1, ms(1_000))).await, CancelResponse::Accepted);
    assert!(started.elapsed() < ms(1_000));
}

#[tokio::test(start_paused = true)]
async fn a_read_that_a_caller_has_no_time_to_wait_for_does_not_make_the_store_unavailable() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    put_state(&platform, 1, "running").await;
    platform.store.plan(&[], CallFault::Slow(ms(150)));
    query(&api, call_for(1, ms(100))).await;
    assert_eq!(api.job_state(&call_for(1, ms(1_000))).await, RUNNING);
}

/// Guards against a slow store that gets twice the calls, and refuses them for their number.
#[tokio::test(start_paused = true)]
async fn a_query_makes_each_call_once_while_the_store_is_known_to_be_slow() {
    let platform = ScriptedClients::new().await;
    put_state(&platform, 1, "running").await;
    let api = platform.api().await;
    platform.store.plan(&[], CallFault::Slow(ms(400)));
    for _ in 0..2 {
        assert_eq!(api.job_state(&call_for(1, ms(3_000))).await, RUNNING);
    }
    // Checks that the first queries caused have ended.
    tokio::time::sleep(ms(1_000)).await;
    let calls = platform.store.calls();
    assert_eq!(api.job_state(&call_for(1, ms(3_000))).await, RUNNING);
    // The state and the job.
    assert_eq!(platform.store.calls() - calls, 2);
}
