//! Calls with a key that was withdrawn while this instance receives no changes, in real time.

mod clients;
mod emulator;
mod scripted_store;

use std::time::Duration;

use cassiafold_jobs::api::{
    Call, CancelResponse, CountResponse, Denial, JobApi, JobStateResponse, SubmitResponse,
};
use cassiafold_jobs::desired_state::{self, DesiredStateSender};
use cassiafold_jobs::platform_clients::Formats;
use cassiafold_jobs::record::{JobState, state_key};
use cassiafold_jobs::spec::Resources;
use tokio::time::sleep;

use self::clients::{PUBLIC, TestFormats, wait_until_ready};
use self::emulator::{config, job, step};
use self::scripted_store::{CallFault, ScriptedClients, call_for};

const DEADLINE: Duration = Duration::from_secs(3);
/// Longer than an unconfirmed configuration is in use.
const OUTDATED: Duration = Duration::from_millis(2_400);
/// Time in which a write has taken effect, and after which it has not been repeated yet.
const WRITTEN: Duration = Duration::from_millis(50);

/// Longest time for which a withdrawn key may be accepted, where there is a limit.
const KEY_TIME_MAX: Duration = Duration::from_millis(1_000);
/// Part of it in which keys are still accepted.
const WITHIN_LIMIT: Duration = Duration::from_millis(300);
/// Time in which a call to the store fails while the instance is cut off.
const UNANSWERED: CallFault = CallFault::Unanswered(Duration::from_millis(20));
const COMPLETED: JobStateResponse = JobStateResponse::State(JobState::Completed);

/// A job API that has cached the final state of a job, with or without a limit.
async fn api_with_final_state(
    platform: &ScriptedClients,
    time_max: Option<Duration>,
) -> JobApi<ScriptedClients> {
    platform.put(&state_key(1), r#"{"s":"completed"}"#).await;
    let api = api_without_updates(platform).await.with_withdrawn_key_time_max(time_max);
    assert_eq!(api.job_state(&call_for(1, DEADLINE)).await, COMPLETED);
    api
}

/// A job API that knows the first configuration, and receives no later one.
async fn api_without_updates(platform: &ScriptedClients) -> JobApi<ScriptedClients> {
    let (sender, desired_states) = DesiredStateSender::new();
    let watch = tokio::spawn(desired_state::follow(platform.clone(), sender.clone()));
    let api = JobApi::new(platform.clone(), desired_states, sender, platform.metrics.clone());
    wait_until_ready(&api).await;
    watch.abort();
    api
}

#[tokio::test]
async fn a_job_is_not_accepted_again_with_a_key_that_was_withdrawn() {
    let platform = ScriptedClients::new().await;
    let api = api_without_updates(&platform).await;
    let submit = || api_submit(&api);
    assert_eq!(submit().await, SubmitResponse::Accepted);
    platform.clients.configure(2, &["k2"]).await;
    sleep(OUTDATED).await;
    assert_eq!(submit().await, SubmitResponse::Denied(Denial::UnknownKey));
}

#[tokio::test]
async fn a_state_is_not_returned_for_a_key_that_was_withdrawn() {
    let platform = ScriptedClients::new().await;
    let api = api_without_updates(&platform).await;
    assert_eq!(api_submit(&api).await, SubmitResponse::Accepted);
    platform.clients.configure(2, &["k2"]).await;
    sleep(OUTDATED).await;
    let response = api.job_state(&call_for(1, DEADLINE)).await;
    assert_eq!(response, JobStateResponse::Denied(Denial::UnknownKey));
}

async fn api_submit(api: &JobApi<ScriptedClients>) -> SubmitResponse {
    let spec = job(vec![step(1, 1, &[])]).spec;
    api.submit(&call_for(1, DEADLINE), spec).await
}

/// Guards against a caller who is told that the job is rejected although it runs.
#[tokio::test]
async fn a_submission_that_was_stored_before_its_key_was_withdrawn_has_an_unknown_outcome() {
    let platform = ScriptedClients::new().await;
    let api = api_without_updates(&platform).await;
    platform.store.plan(&[CallFault::SlowResponse(DEADLINE)], CallFault::None);
    let (response, ()) = tokio::join!(api_submit(&api), async {
        sleep(WRITTEN).await;
        platform.clients.configure(2, &["k2"]).await;
    });
    assert_eq!(response, SubmitResponse::Unknown);
}

/// Guards against a caller who is told that a stored job will never run.
#[tokio::test]
async fn a_stored_job_is_not_refused_while_the_configuration_cannot_be_read() {
    let platform = ScriptedClients::new().await;
    let api = api_without_updates(&platform).await;
    assert_eq!(api_submit(&api).await, SubmitResponse::Accepted);
    platform.put(TestFormats::CONFIG_KEY, "no configuration").await;
    assert_eq!(api_submit(&api).await, SubmitResponse::Unknown);
}

/// Guards against a withdrawn key that is answered with success by an instance that is cut off.
#[tokio::test]
async fn a_cut_off_instance_returns_a_cached_state_until_its_key_may_be_withdrawn_for_too_long() {
    let platform = ScriptedClients::new().await;
    let api = api_with_final_state(&platform, Some(KEY_TIME_MAX)).await;
    platform.store.plan(&[], UNANSWERED);
    platform.clients.configure(2, &["k2"]).await;
    sleep(WITHIN_LIMIT).await;
    assert_eq!(api.job_state(&call_for(1, DEADLINE)).await, COMPLETED);
    sleep(KEY_TIME_MAX).await;
    let response = api.job_state(&call_for(1, DEADLINE)).await;
    assert_eq!(response, JobStateResponse::Denied(Denial::KeyUnconfirmed));
}

#[tokio::test]
async fn a_cut_off_instance_without_a_limit_returns_a_cached_state() {
    let platform = ScriptedClients::new().await;
    let api = api_with_final_state(&platform, None).await;
    platform.store.plan(&[], UNANSWERED);
    sleep(KEY_TIME_MAX).await;
    assert_eq!(api.job_state(&call_for(1, DEADLINE)).await, COMPLETED);
}

#[tokio::test]
async fn a_cut_off_instance_with_a_limit_serves_a_public_queue() {
    let platform = ScriptedClients::new().await;
    platform.clients.configure(2, &[PUBLIC]).await;
    let api = api_with_final_state(&platform, Some(KEY_TIME_MAX)).await;
    platform.store.plan(&[], UNANSWERED);
    sleep(KEY_TIME_MAX).await;
    let call = Call { key: None, ..call_for(1, DEADLINE) };
    assert_eq!(api.job_state(&call).await, COMPLETED);
}

#[tokio::test]
async fn an_instance_that_was_cut_off_accepts_keys_again_as_soon_as_the_store_responds() {
    let platform = ScriptedClients::new().await;
    let api = api_with_final_state(&platform, Some(KEY_TIME_MAX)).await;
    platform.store.plan(&[], UNANSWERED);
    sleep(KEY_TIME_MAX).await;
    platform.store.plan(&[], CallFault::None);
    assert_eq!(api.job_state(&call_for(1, DEADLINE)).await, COMPLETED);
}

/// Each kind of call that needs a key and is not a conditional write.
macro_rules! denied_beyond_the_limit {
    ($($name:ident: $response:ident, $call:expr;)+) => {
        $(#[tokio::test] async fn $name() {
            let platform = ScriptedClients::new().await;
            let api = api_without_updates(&platform).await;
            let api = api.with_withdrawn_key_time_max(Some(KEY_TIME_MAX));
            // Only the configuration can't be read.
            platform.store.plan_all_reads(TestFormats::CONFIG_KEY, UNANSWERED);
            platform.clients.configure(2, &["k2"]).await;
            sleep(KEY_TIME_MAX).await;
            let call = $call;
            let response = call(&api).await;
            assert_eq!(response, $response::Denied(Denial::KeyUnconfirmed));
        })+
    };
}

denied_beyond_the_limit! {
    a_state_is_denied_while_only_the_configuration_cannot_be_read: JobStateResponse,
        async |api: &JobApi<ScriptedClients>| api.job_state(&call_for(1, DEADLINE)).await;
    a_cancellation_is_denied_while_only_the_configuration_cannot_be_read: CancelResponse,
        async |api: &JobApi<ScriptedClients>| api.cancel(&call_for(1, DEADLINE)).await;
    a_count_is_denied_while_only_the_configuration_cannot_be_read: CountResponse,
        async |api: &JobApi<ScriptedClients>| {
            api.waiting_jobs(&Call { path: "/q/".into(), ..call_for(1, DEADLINE) }).await
        };
}

/// Guards against a key that is served for ever by the version before one that can't be read.
#[tokio::test]
async fn a_newer_configuration_that_cannot_be_read_ends_the_use_of_keys() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await.with_withdrawn_key_time_max(Some(KEY_TIME_MAX));
    platform.put(&state_key(1), r#"{"s":"completed"}"#).await;
    platform.put(TestFormats::CONFIG_KEY, "no configuration").await;
    sleep(WITHIN_LIMIT).await;
    assert_eq!(api.job_state(&call_for(1, DEADLINE)).await, COMPLETED);
    sleep(KEY_TIME_MAX).await;
    let response = api.job_state(&call_for(1, DEADLINE)).await;
    assert_eq!(response, JobStateResponse::Denied(Denial::KeyUnconfirmed));
    platform.clients.configure(3, &["k1"]).await;
    sleep(WITHIN_LIMIT).await;
    assert_eq!(api.job_state(&call_for(1, DEADLINE)).await, COMPLETED);
}

/// Guards against a key that is called unknown by the version before the one that grants it.
#[tokio::test]
async fn a_key_is_not_called_unknown_while_the_newest_configuration_cannot_be_read() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    platform.put(TestFormats::CONFIG_KEY, "no configuration").await;
    sleep(OUTDATED).await;
    let call = Call { key: Some("k2".into()), ..call_for(1, DEADLINE) };
    assert_eq!(api.job_state(&call).await, JobStateResponse::Denied(Denial::Outdated));
}

/// Guards against a store that lags behind and still says what was in force before.
#[test]
fn a_response_with_an_older_configuration_than_the_known_one_confirms_nothing() {
    let (sender, desired_states) = DesiredStateSender::new();
    sender.apply_config((*config(Resources::default())).clone(), 7);
    let check = sender.begin_check();
    sender.complete_check(check, 6);
    assert_eq!(desired_states.borrow().config_confirmed, Duration::ZERO);
    sender.complete_check(check, 8);
    assert_eq!(desired_states.borrow().config_confirmed, Duration::ZERO, "8 was not applied");
    sender.complete_check(check, 7);
    assert!(desired_states.borrow().config_confirmed > Duration::ZERO);
}
