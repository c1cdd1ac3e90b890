//! Owners whose token a worker has refused while the owner key cannot be read, in real time.

mod clients;
mod emulator;
mod log_lines;
mod scripted_store;

use cassiafold_jobs::api::{JobApi, JobStateResponse, SubmitResponse};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::owner::OwnerSettings;
use cassiafold_jobs::record::{JobState, OWNER_KEY};
use cassiafold_jobs::spec::JobId;
use tokio::time::sleep;

use self::clients::{TestClients, call, owner_settings, start_owner, wait_until, wait_until_ready};
use self::emulator::worker::EmulatedWorker;
use self::emulator::{job, ms, step};
use self::log_lines::{Line, capture, lines};
use self::scripted_store::{CallFault, ScriptedClients};

const KEY: Option<&str> = Some("k1");
/// Passes of the owner's loop per second, above which it does nothing but to look at the time.
const PASSES_PER_S_MAX: u32 = 150;

/// Clients of two workers and of a store that answers no read of the owner key.
async fn platform_without_owner_key() -> (ScriptedClients, JobApi<TestClients>) {
    capture();
    let platform = ScriptedClients::with_workers(2).await;
    platform.clients.register_workers().await;
    platform.store.plan_all_reads(OWNER_KEY, CallFault::Silent);
    let api = platform.clients.api();
    wait_until_ready(&api).await;
    (platform, api)
}

fn path(id: JobId) -> String {
    format!("/q/{id:016x}")
}

async fn submit(platform: &ScriptedClients, api: &JobApi<TestClients>, id: JobId) {
    let record = job(vec![step(3, 1, &[])]);
    platform.clients.workers.add_job(id, record.clone());
    let response = api.submit(&call(&path(id), KEY), record.spec).await;
    assert_eq!(response, SubmitResponse::Accepted);
}

async fn wait_until_completed(api: &JobApi<TestClients>, id: JobId) {
    let done = JobStateResponse::State(JobState::Completed);
    wait_until("completed", async || {
        (api.job_state(&call(&path(id), KEY)).await == done).then_some(())
    })
    .await;
}

/// Lets a worker refuse the owner's token, and waits until it has.
async fn refuse_owner(platform: &ScriptedClients, worker: &str) {
    platform.clients.workers.with(worker, EmulatedWorker::refuse_owners);
    let refused = JobsEvent::TokenRefused.row().number;
    let is_worker = |line: &Line| line["worker"] == worker;
    wait_until("a refused token", async || lines(refused).iter().any(is_worker).then_some(()))
        .await;
}

fn starts(platform: &ScriptedClients, id: JobId) -> usize {
    let starts = platform.clients.workers.starts.lock().expect("lock");
    starts.iter().filter(|(task, _)| task.step.job == id).count()
}

#[tokio::test]
async fn an_owner_that_cannot_read_the_owner_key_starts_tasks_on_the_workers_that_accept_its_token()
{
    let (platform, api) = platform_without_owner_key().await;
    let _owner = platform.start_owner("one");
    submit(&platform, &api, 1).await;
    wait_until_completed(&api, 1).await;
    refuse_owner(&platform, "w0").await;
    submit(&platform, &api, 2).await;
    wait_until_completed(&api, 2).await;
    assert_eq!(lines(JobsEvent::OwnerBegan.row().number).len(), 1, "terms");
}

/// Guards against two owners at a time: a lease that was valid before the refusal shows nothing.
#[tokio::test]
async fn an_owner_starts_nothing_after_a_refusal_until_its_lease_is_renewed() {
    let (platform, api) = platform_without_owner_key().await;
    let settings = OwnerSettings { lease_ttl: ms(4_000), ..owner_settings("one") };
    let _owner = start_owner(platform.clone(), settings);
    submit(&platform, &api, 1).await;
    wait_until_completed(&api, 1).await;
    platform.store.plan_renewals(CallFault::Silent);
    refuse_owner(&platform, "w0").await;
    let reports = || lines(JobsEvent::OwnerBusy.row().number);
    let reported_before = reports().len();
    submit(&platform, &api, 2).await;
    // The last renewal was sent at most 1.5 s before, so the lease is valid all the while.
    sleep(ms(1_500)).await;
    assert_eq!(starts(&platform, 2), 0, "starts that no renewal allowed");
    platform.store.plan_renewals(CallFault::None);
    wait_until_completed(&api, 2).await;
    let passes: Vec<u32> = reports()[reported_before..]
        .iter()
        .map(|line| line["passes"].parse().expect("a number"))
        .collect();
    assert!(!passes.is_empty(), "no report");
    assert!(passes.iter().all(|passes| *passes <= PASSES_PER_S_MAX), "passes: {passes:?}");
}
