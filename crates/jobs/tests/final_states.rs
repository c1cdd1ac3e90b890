//! Final states that an instance still knows when it is cut off from the store, in virtual time.

mod clients;
mod emulator;
mod scripted_store;

use std::time::Duration;

use cassiafold_jobs::api::JobStateResponse;
use cassiafold_jobs::record::{JobState, state_key};

use self::scripted_store::{CallFault, ScriptedClients, call_for};

/// Timeout of a caller.
const CALLER: Duration = Duration::from_secs(3);
/// Final states that an instance keeps.
const KEPT: u64 = 4_096;
/// Final states that it has seen.
const SEEN: u64 = KEPT + 10;

#[tokio::test(start_paused = true)]
async fn the_latest_final_states_are_known_without_the_store() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    let completed = JobStateResponse::State(JobState::Completed);
    for job in 0..SEEN {
        platform.put(&state_key(job), r#"{"s":"completed"}"#).await;
        assert_eq!(api.job_state(&call_for(job, CALLER)).await, completed);
    }
    platform.store.plan(&[], CallFault::Silent);
    let mut known = Vec::new();
    for job in 0..SEEN {
        if api.job_state(&call_for(job, CALLER)).await == completed {
            known.push(job);
        }
    }
    assert_eq!(known.len() as u64, KEPT);
    assert_eq!(known[0], SEEN - KEPT);
}

/// Guards against an accepted job that is called unknown, or shown in the state of an earlier job
/// with its id.
#[tokio::test]
async fn a_job_whose_id_another_team_had_used_is_found_although_that_job_is_cached() {
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    platform.put(&state_key(1), r#"{"s":"completed","t":"other"}"#).await;
    assert_eq!(api.job_state(&call_for(1, CALLER)).await, JobStateResponse::NoSuchJob);
    platform.put(&state_key(1), r#"{"s":"running","t":"t"}"#).await;
    let running = JobStateResponse::State(JobState::Running);
    assert_eq!(api.job_state(&call_for(1, CALLER)).await, running);
    platform.store.plan(&[], CallFault::Silent);
    let response = api.job_state(&call_for(1, CALLER)).await;
    assert!(matches!(response, JobStateResponse::Unknown(_)), "{response:?}");
}
