//! Panics in the tasks of an owner: its term ends and is claimed again, and its jobs go on.

mod clients;
mod emulator;
mod log_lines;
mod scripted_store;

use std::sync::atomic::Ordering;

use cassiafold_jobs::api::{JobApi, JobStateResponse, SubmitResponse};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::owner::OwnerSettings;
use cassiafold_jobs::record::{JobState, OWNER_KEY};
use cassiafold_jobs::spec::JobId;
use cassiafold_platform::{Compare, Store, Transaction, TransactionalStore, Write};

use self::clients::{
    ODD_ITEM, ODD_WAVE, TestClients, call, owner_settings, start_owner, wait_for_owner_key,
    wait_until, wait_until_ready,
};
use self::emulator::worker::EmulatedWorker;
use self::emulator::{job, ms, step};
use self::log_lines::{Line, capture, lines};
use self::scripted_store::{CallFault, ScriptedClients};

const KEY: Option<&str> = Some("k1");
/// Entry of a worker at which the tests' formats panic.
const ODD_WORKER: &str = "workers/odd";

/// Waits until a task of this name has ended by a panic.
async fn wait_for_panic(task: &str) {
    let panicked = JobsEvent::TaskPanicked.row().number;
    let is_task = |line: &Line| line["task"] == task;
    wait_until(task, async || lines(panicked).iter().any(is_task).then_some(())).await;
}

async fn add(platform: &TestClients, key: &str) {
    let write = Write::put(key, Compare::Absent, "up");
    platform.store.write(write).await.expect("store");
}

async fn remove(platform: &TestClients, key: &str) {
    platform.store.commit(Transaction::default().delete(key)).await.expect("store");
}

async fn ready_api(platform: &TestClients) -> JobApi<TestClients> {
    capture();
    let api = platform.api();
    wait_until_ready(&api).await;
    api
}

async fn check_job_completes(platform: &TestClients, api: &JobApi<TestClients>) {
    check_numbered_job_completes(platform, api, 1).await;
}

async fn check_numbered_job_completes(
    platform: &TestClients,
    api: &JobApi<TestClients>,
    id: JobId,
) {
    let record = job(vec![step(3, 1, &[]), step(2, 1, &[0])]);
    platform.workers.add_job(id, record.clone());
    let path = format!("/q/{id:016x}");
    assert_eq!(api.submit(&call(&path, KEY), record.spec).await, SubmitResponse::Accepted);
    let done = JobStateResponse::State(JobState::Completed);
    wait_until("completed", async || {
        (api.job_state(&call(&path, KEY)).await == done).then_some(())
    })
    .await;
}

#[tokio::test]
async fn an_instance_whose_term_panicked_gives_up_its_lease_and_claims_again() {
    let platform = TestClients::new(2);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let api = ready_api(&platform).await;
    add(&platform, ODD_WORKER).await;
    let _owner = platform.start_owner("one");
    wait_for_owner_key(&platform, true).await;
    wait_for_owner_key(&platform, false).await;
    remove(&platform, ODD_WORKER).await;
    check_job_completes(&platform, &api).await;
}

#[tokio::test]
async fn a_term_whose_watch_of_the_workers_panicked_ends_and_is_claimed_again() {
    let platform = TestClients::new(2);
    platform.configure(1, &["k1"]).await;
    let api = ready_api(&platform).await;
    let _owner = platform.start_owner("one");
    platform.write_entry("w0", "up").await;
    // From then on the watch reports changes of the entries.
    check_numbered_job_completes(&platform, &api, 1).await;
    add(&platform, ODD_WORKER).await;
    wait_for_panic("watch of the workers").await;
    wait_for_owner_key(&platform, false).await;
    remove(&platform, ODD_WORKER).await;
    platform.remove_worker("w0").await;
    platform.write_entry("w1", "up").await;
    check_numbered_job_completes(&platform, &api, 2).await;
}

#[tokio::test]
async fn a_job_is_written_although_a_write_of_the_owner_panicked() {
    let platform = TestClients::new(2);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let api = ready_api(&platform).await;
    let _owner = platform.start_owner("one");
    wait_for_owner_key(&platform, true).await;
    add(&platform, ODD_WAVE).await;
    wait_for_panic("write of the owner").await;
    remove(&platform, ODD_WAVE).await;
    check_job_completes(&platform, &api).await;
}

#[tokio::test]
async fn a_worker_whose_poll_panicked_is_polled_again() {
    let platform = TestClients::new(1);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let api = ready_api(&platform).await;
    platform.workers.panics_at_poll.store(true, Ordering::Relaxed);
    let _owner = platform.start_owner("one");
    wait_until("a panic", async || {
        (!platform.workers.panics_at_poll.load(Ordering::Relaxed)).then_some(())
    })
    .await;
    check_job_completes(&platform, &api).await;
}

#[tokio::test]
async fn a_configuration_is_taken_over_although_the_watch_of_it_panicked() {
    let platform = TestClients::new(0);
    platform.configure(1, &["k1"]).await;
    let api = ready_api(&platform).await;
    add(&platform, ODD_ITEM).await;
    wait_for_panic("watch of the desired state").await;
    remove(&platform, ODD_ITEM).await;
    platform.configure(2, &["k2"]).await;
    wait_until("version 2", async || api.config().filter(|config| config.version == 2)).await;
}

#[tokio::test]
async fn an_owner_whose_read_of_the_owner_key_panicked_does_not_stop_planning_for_good() {
    let platform = ScriptedClients::with_workers(2).await;
    platform.clients.register_workers().await;
    let api = ready_api(&platform.clients).await;
    platform.clients.workers.with("w0", EmulatedWorker::refuse_owners);
    platform.store.plan_read(OWNER_KEY, CallFault::Panic);
    let _owner = platform.start_owner("one");
    wait_until("a read", async || (!platform.store.is_planned(OWNER_KEY)).then_some(())).await;
    check_job_completes(&platform.clients, &api).await;
}

#[tokio::test]
async fn an_instance_with_a_long_lease_whose_term_panicked_leaves_the_ownership_to_another() {
    let platform = ScriptedClients::with_workers(1).await;
    platform.clients.register_workers().await;
    platform.clients.workers.with("w0", EmulatedWorker::refuse_owners);
    platform.store.plan_read(OWNER_KEY, CallFault::Panic);
    let settings = OwnerSettings { lease_ttl: ms(4_000), ..owner_settings("one") };
    let _panicking = start_owner(platform.clone(), settings);
    wait_until("a panic", async || (!platform.store.is_planned(OWNER_KEY)).then_some(())).await;
    let _other = platform.clients.start_owner("two");
    let key = platform.clients.store.get(OWNER_KEY).await.expect("store");
    let next = wait_until("another claim", async || {
        let next = platform.clients.store.get(OWNER_KEY).await.expect("store");
        next.filter(|next| Some(next) != key.as_ref())
    })
    .await;
    assert!(next.value.starts_with(b"two "), "{:?}", String::from_utf8_lossy(&next.value));
}
