//! What a call to the store that was lost or refused means for the calls of other callers, in
//! virtual time.

mod clients;
mod emulator;
mod scripted_store;

use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::api::{
    Call, CancelResponse, CountResponse, JobApi, JobStateResponse, SubmitResponse, UnknownReason,
};
use cassiafold_jobs::record::{JobState, state_key};
use tokio::time::Instant;

use self::emulator::{job, ms, step};
use self::scripted_store::{CallFault, ScriptedClients, call_for};

type Api = Arc<JobApi<ScriptedClients>>;

const RUNNING: JobStateResponse = JobStateResponse::State(JobState::Running);
/// The job that is queried, which is running.
const QUERIED: u64 = 1;
/// A job that is submitted.
const SUBMITTED: u64 = 2;
/// Timeout of a caller.
const CALLER: Duration = Duration::from_secs(3);

async fn platform_with_running_job() -> (ScriptedClients, Api) {
    let platform = ScriptedClients::new().await;
    platform.put(&state_key(QUERIED), r#"{"s":"running"}"#).await;
    let api = Arc::new(platform.api().await);
    (platform, api)
}

async fn submit(api: Api) -> SubmitResponse {
    let spec = job(vec![step(1, 1, &[])]).spec;
    api.submit(&call_for(SUBMITTED, CALLER), spec).await
}

/// Queries the job every `interval` for a time, and returns how many queries got no state.
async fn refused_queries(api: &Api, left: Duration, interval: Duration, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut queries = Vec::new();
    while Instant::now() < end {
        let api = Arc::clone(api);
        queries.push(tokio::spawn(async move {
            api.job_state(&call_for(QUERIED, left)).await == RUNNING
        }));
        tokio::time::sleep(interval).await;
    }
    let mut refused = 0;
    for query in queries {
        refused += usize::from(!query.await.expect("no panic"));
    }
    refused
}

/// Queries of other callers, one each millisecond for 600 ms, while a submission meets these faults
/// and every other call takes 20 ms.
macro_rules! weak_evidence {
    ($($name:ident: $faults:expr;)+) => {
        $(#[tokio::test(start_paused = true)] async fn $name() {
            let (platform, api) = platform_with_running_job().await;
            platform.store.plan(&$faults, CallFault::Slow(ms(20)));
            let submission = tokio::spawn(submit(Arc::clone(&api)));
            tokio::task::yield_now().await;
            let refused = refused_queries(&api, ms(1_000), ms(1), ms(600)).await;
            assert_eq!(refused, 0, "queries of 600 were refused");
            submission.await.expect("no panic");
        })+
    };
}

weak_evidence! {
    no_query_is_refused_after_one_lost_response: [CallFault::Silent];
    no_query_is_refused_after_one_refused_call: [CallFault::Refused];
}

#[tokio::test(start_paused = true)]
async fn no_query_is_refused_after_a_lost_response_to_a_check() {
    let (platform, api) = platform_with_running_job().await;
    platform.store.plan(&[CallFault::Refused, CallFault::Silent], CallFault::Slow(ms(20)));
    submit(Arc::clone(&api)).await;
    tokio::task::yield_now().await;
    assert_eq!(refused_queries(&api, ms(1_000), ms(1), ms(600)).await, 0);
}

#[tokio::test(start_paused = true)]
async fn no_query_is_refused_while_the_store_refuses_calls_for_half_a_second() {
    let (platform, api) = platform_with_running_job().await;
    platform.store.plan(&[], CallFault::Refused);
    submit(Arc::clone(&api)).await;
    let queries = tokio::spawn(async move {
        let refused = refused_queries(&api, CALLER, ms(10), ms(1_000)).await;
        (refused, api)
    });
    tokio::time::sleep(ms(500)).await;
    platform.store.plan(&[], CallFault::None);
    assert_eq!(queries.await.expect("no panic").0, 0);
}

/// Queries at a store that takes this time for each response, beside a submission.
macro_rules! slow_store {
    ($($name:ident: $delay:expr, $left:expr;)+) => {
        $(#[tokio::test(start_paused = true)] async fn $name() {
            let (platform, api) = platform_with_running_job().await;
            platform.store.plan(&[], CallFault::Slow($delay));
            let submission = tokio::spawn(submit(Arc::clone(&api)));
            let refused = refused_queries(&api, $left, ms(50), ms(5_000)).await;
            assert_eq!(refused, 0, "queries of 100 were refused");
            submission.await.expect("no panic");
        })+
    };
}

slow_store! {
    no_query_is_refused_by_a_store_that_takes_300_ms: ms(300), ms(1_000);
    no_query_is_refused_by_a_store_that_takes_400_ms: ms(400), ms(1_000);
    no_query_with_three_seconds_is_refused_by_a_store_that_takes_600_ms: ms(600), CALLER;
}

#[tokio::test(start_paused = true)]
async fn calls_are_refused_at_once_after_the_store_has_answered_no_check() {
    let (platform, api) = platform_with_running_job().await;
    platform.store.plan(&[], CallFault::Silent);
    submit(Arc::clone(&api)).await;
    tokio::time::sleep(ms(2_000)).await;
    let calls = platform.store.calls();
    let started = Instant::now();
    let call = call_for(QUERIED, CALLER);
    let reason = match api.job_state(&call).await {
        JobStateResponse::Unknown(reason) => reason,
        response => panic!("{response:?}"),
    };
    assert!(matches!(reason, UnknownReason::StoreUnavailable(_)), "{reason:?}");
    assert!(matches!(api.cancel(&call).await, CancelResponse::Unknown(_)));
    let count = Call { path: "/q/".into(), ..call };
    assert!(matches!(api.waiting_jobs(&count).await, CountResponse::Unknown(_)));
    assert!(matches!(submit(Arc::clone(&api)).await, SubmitResponse::Refused(_)));
    assert_eq!((started.elapsed(), platform.store.calls()), (ms(0), calls));
    assert!(!api.is_ready(Duration::from_secs(60)));
}

#[tokio::test(start_paused = true)]
async fn a_query_that_waits_is_answered_when_the_store_has_answered_no_check() {
    let (platform, api) = platform_with_running_job().await;
    platform.store.plan(&[], CallFault::Silent);
    let started = Instant::now();
    let submission = tokio::spawn(submit(Arc::clone(&api)));
    let refused = refused_queries(&api, CALLER, ms(100), ms(100)).await;
    assert_eq!(refused, 1);
    assert!(started.elapsed() < ms(1_000), "answered after {:?}", started.elapsed());
    submission.await.expect("no panic");
}

#[tokio::test(start_paused = true)]
async fn a_query_at_a_silent_store_is_answered_while_its_caller_has_time_to_ask_another_instance() {
    let (platform, api) = platform_with_running_job().await;
    platform.store.plan(&[], CallFault::Silent);
    let started = Instant::now();
    let response = api.job_state(&call_for(QUERIED, CALLER)).await;
    assert!(matches!(response, JobStateResponse::Unknown(_)), "{response:?}");
    assert!(started.elapsed() <= CALLER / 2, "answered after {:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn calls_are_served_again_when_the_store_is_back() {
    let (platform, api) = platform_with_running_job().await;
    platform.store.plan(&[], CallFault::Silent);
    submit(Arc::clone(&api)).await;
    tokio::time::sleep(ms(2_000)).await;
    platform.store.plan(&[], CallFault::None);
    tokio::time::sleep(ms(1_000)).await;
    assert_eq!(api.job_state(&call_for(QUERIED, CALLER)).await, RUNNING);
    assert_eq!(submit(Arc::clone(&api)).await, SubmitResponse::Accepted);
    assert!(api.is_ready(Duration::from_secs(60)));
}

#[tokio::test(start_paused = true)]
async fn calls_are_served_again_although_a_check_of_the_store_panicked() {
    let (platform, api) = platform_with_running_job().await;
    platform.store.plan(&[CallFault::Refused, CallFault::Panic], CallFault::None);
    assert!(matches!(submit(Arc::clone(&api)).await, SubmitResponse::Refused(_)));
    tokio::time::sleep(ms(5_000)).await;
    assert_eq!(submit(Arc::clone(&api)).await, SubmitResponse::Accepted);
}

#[tokio::test(start_paused = true)]
async fn calls_are_served_again_although_a_check_of_an_unavailable_store_panicked() {
    let (platform, api) = platform_with_running_job().await;
    platform.store.plan(&[], CallFault::Refused);
    assert!(matches!(submit(Arc::clone(&api)).await, SubmitResponse::Refused(_)));
    tokio::time::sleep(ms(2_000)).await;
    assert!(!api.is_ready(Duration::from_secs(60)));
    platform.store.plan(&[CallFault::Panic], CallFault::None);
    tokio::time::sleep(ms(5_000)).await;
    assert!(api.is_ready(Duration::from_secs(60)));
    assert_eq!(submit(Arc::clone(&api)).await, SubmitResponse::Accepted);
}
