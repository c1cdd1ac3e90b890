//! Calls about jobs that have ended, of which only the state is still stored.

mod clients;
mod emulator;

use cassiafold_jobs::api::{CancelResponse, JobApi, JobStateResponse, SubmitResponse};
use cassiafold_jobs::record::{JobState, cancel_key, job_key, state_key};
use cassiafold_jobs::spec::JobId;
use cassiafold_platform::{Compare, Store, Write};

use self::clients::{TestClients, call};
use self::emulator::{job, step};

const KEY: Option<&str> = Some("k1");
const ENDED: JobId = 7;

fn path(id: JobId) -> String {
    format!("/q/{id:016x}")
}

/// An API that knows the configuration, with the state of an ended job of `team` in the store.
async fn api_with_ended_job(team: &str) -> (TestClients, JobApi<TestClients>) {
    let platform = TestClients::new(1);
    platform.configure(1, &["k1"]).await;
    let state = format!(r#"{{"s":"completed","t":"{team}"}}"#);
    let write = Write::put(state_key(ENDED), Compare::Absent, state);
    platform.store.write(write).await.expect("store");
    let api = platform.api();
    while api.config().is_none() {
        tokio::time::sleep(emulator::ms(5)).await;
    }
    (platform, api)
}

#[tokio::test]
async fn a_repeated_submission_of_an_ended_job_stores_no_second_job() {
    let (platform, api) = api_with_ended_job(emulator::TEAM).await;
    let spec = job(vec![step(1, 1, &[])]).spec;
    assert_eq!(api.submit(&call(&path(ENDED), KEY), spec).await, SubmitResponse::Accepted);
    assert_eq!(platform.store.get(&job_key(ENDED)).await, Ok(None));
}

#[tokio::test]
async fn an_ended_job_is_shown_as_ended() {
    let (_platform, api) = api_with_ended_job(emulator::TEAM).await;
    let response = api.job_state(&call(&path(ENDED), KEY)).await;
    assert_eq!(response, JobStateResponse::State(JobState::Completed));
}

#[tokio::test]
async fn a_cancellation_of_an_ended_job_changes_nothing() {
    let (platform, api) = api_with_ended_job(emulator::TEAM).await;
    assert_eq!(api.cancel(&call(&path(ENDED), KEY)).await, CancelResponse::Accepted);
    assert_eq!(platform.store.get(&cancel_key(ENDED)).await, Ok(None));
}

#[tokio::test]
async fn an_ended_job_of_another_team_cannot_be_cancelled() {
    let (_platform, api) = api_with_ended_job("another team").await;
    assert_eq!(api.cancel(&call(&path(ENDED), KEY)).await, CancelResponse::NoSuchJob);
}
