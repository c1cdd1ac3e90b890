//! Queries while the store refuses all calls, as it does beyond its limit of calls, in real time.

mod clients;
mod emulator;
mod scripted_store;

use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::api::SubmitResponse;
use tokio::time::{Instant, sleep, sleep_until};

use self::emulator::{job, ms, step};
use self::scripted_store::{CallFault, ScriptedClients, call_for};

const DEADLINE: Duration = Duration::from_secs(3);
const QUERIES: u32 = 30;
/// Calls in the first second: two for each query, and the checks.
const CALLS_MAX: u32 = 2 * QUERIES + 20;

/// Guards against an instance that answers refusals with more calls than it made before them.
#[tokio::test]
async fn queries_under_way_do_not_each_repeat_calls_that_the_store_refuses() {
    let platform = ScriptedClients::new().await;
    let api = Arc::new(platform.api().await);
    let spec = job(vec![step(1, 1, &[])]).spec;
    assert_eq!(api.submit(&call_for(1, DEADLINE), spec).await, SubmitResponse::Accepted);
    platform.store.plan(&[], CallFault::Refused);
    let (before, started) = (platform.store.calls(), Instant::now());
    for _ in 0..QUERIES {
        let api = Arc::clone(&api);
        tokio::spawn(async move { api.job_state(&call_for(1, DEADLINE)).await });
        sleep(ms(10)).await;
    }
    sleep_until(started + ms(1_000)).await;
    let calls = platform.store.calls() - before;
    assert!(calls <= CALLS_MAX, "{calls} calls for {QUERIES} queries");
}
