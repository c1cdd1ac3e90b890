//! Calls with a key that was withdrawn while this instance receives no changes, in real time.

mod clients;
mod emulator;
mod scripted_store;

use std::time::Duration;

use cassiafold_jobs::api::{Denial, JobApi, JobStateResponse, SubmitResponse};
use cassiafold_jobs::desired_state::{self, DesiredStateSender};
use tokio::time::sleep;

use self::clients::wait_until_ready;
use self::emulator::{job, step};
use self::scripted_store::{ScriptedClients, call_for};

const DEADLINE: Duration = Duration::from_secs(3);
/// Longer than an unconfirmed configuration is in use.
const OUTDATED: Duration = Duration::from_millis(2_400);

/// A job API that knows the first configuration, and receives no later one.
async fn deaf_api(platform: &ScriptedClients) -> JobApi<ScriptedClients> {
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
    let api = deaf_api(&platform).await;
    let submit = || api_submit(&api);
    assert_eq!(submit().await, SubmitResponse::Accepted);
    platform.clients.configure(2, &["k2"]).await;
    sleep(OUTDATED).await;
    assert_eq!(submit().await, SubmitResponse::Denied(Denial::UnknownKey));
}

#[tokio::test]
async fn a_state_is_not_returned_for_a_key_that_was_withdrawn() {
    let platform = ScriptedClients::new().await;
    let api = deaf_api(&platform).await;
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
