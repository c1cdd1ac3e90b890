//! Queries and cancellations of jobs whose stored state cannot be decoded, in virtual time.

mod clients;
mod emulator;
mod log_lines;
mod scripted_store;

use std::time::Duration;

use cassiafold_jobs::api::{CancelResponse, JobStateResponse, UnknownReason};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::record::{JobState, job_key, state_key};
use tokio::time::Instant;

use self::emulator::{job, ms, step};
use self::log_lines::{capture, lines};
use self::scripted_store::{ScriptedClients, call_for};

/// Timeout of a caller.
const CALLER: Duration = Duration::from_secs(3);

/// Clients of a store with the accepted job 1 and this state of it.
async fn platform_with_state(state: &str) -> ScriptedClients {
    let platform = ScriptedClients::new().await;
    let record = job(vec![step(1, 1, &[])]).encode().expect("record");
    platform.put(&job_key(1), record).await;
    platform.put(&state_key(1), state).await;
    platform
}

/// A query of an accepted job with this state record, and another once the record is repaired.
macro_rules! unreadable {
    ($($name:ident: $state:expr;)+) => {
        $(#[tokio::test(start_paused = true)] async fn $name() {
            capture();
            let platform = platform_with_state($state).await;
            let api = platform.api().await;
            let started = Instant::now();
            let running = JobStateResponse::State(JobState::Running);
            assert_eq!(api.job_state(&call_for(1, CALLER)).await, running);
            assert!(started.elapsed() < ms(100), "answered after {:?}", started.elapsed());
            let line = lines(JobsEvent::ItemUnreadable.row().number).remove(0);
            assert_eq!(line["key"], *state_key(1));
            assert_ne!(line["revision"], "0");
            platform.put(&state_key(1), r#"{"s":"completed"}"#).await;
            let completed = JobStateResponse::State(JobState::Completed);
            assert_eq!(api.job_state(&call_for(1, CALLER)).await, completed);
        })+
    };
}

unreadable! {
    a_job_whose_state_is_empty_is_running: "";
    a_job_whose_state_is_cut_off_is_running: r#"{"s":"completed","#;
    a_job_in_an_unknown_state_is_running: r#"{"s":"paused"}"#;
    a_job_whose_ended_state_has_unreadable_tasks_is_not_shown_as_ended:
        r#"{"s":"completed","o":3}"#;
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_state_without_its_job_is_unknown() {
    let platform = ScriptedClients::new().await;
    platform.put(&state_key(1), "{").await;
    let api = platform.api().await;
    let response = api.job_state(&call_for(1, CALLER)).await;
    let JobStateResponse::Unknown(UnknownReason::RecordUnreadable(record)) = response else {
        panic!("{response:?}");
    };
    assert_eq!(record.key, state_key(1));
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_of_a_job_with_an_unreadable_state_is_not_told_that_there_is_no_such_job() {
    let platform = ScriptedClients::new().await;
    platform.put(&state_key(1), "{").await;
    let api = platform.api().await;
    let response = api.cancel(&call_for(1, CALLER)).await;
    let CancelResponse::Unknown(UnknownReason::RecordUnreadable(record)) = response else {
        panic!("{response:?}");
    };
    assert_eq!(record.key, state_key(1));
}

#[tokio::test(start_paused = true)]
async fn many_queries_of_an_unreadable_state_write_few_lines() {
    capture();
    let platform = platform_with_state("{").await;
    let api = platform.api().await;
    for _ in 0..200 {
        api.job_state(&call_for(1, CALLER)).await;
    }
    assert_eq!(lines(JobsEvent::ItemUnreadable.row().number).len(), 40);
}
