//! Calls with a key that was withdrawn while this instance receives no changes, in real time.

mod clients;
mod emulator;
mod scripted_store;

use std::time::Duration;

use cassiafold_jobs::api::{Denial, JobApi, JobStateResponse, SubmitResponse};
use cassiafold_jobs::desired_state::{self, DesiredStateSender};
use cassiafold_jobs::platform_clients::Formats;
use tokio::time::sleep;

use self::clients::{TestFormats, wait_until_ready};
use self::emulator::{job, step};
use self::scripted_store::{CallFault, ScriptedClients, call_for};

const DEADLINE: Duration = Duration::from_secs(3);
/// Longer than an unconfirmed configuration is in use.
const OUTDATED: Duration = Duration::from_millis(2_400);
/// Time in which a write has taken effect, and after which it has not been repeated yet.
const WRITTEN: Duration = Duration::from_millis(50);

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
