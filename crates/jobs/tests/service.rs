//! The job API, the store and the owner together, with stand-ins and in real time.

mod clients;
mod emulator;

use cassiafold_jobs::api::{
    CancelResponse, CountResponse, Denial, JobApi, JobStateResponse, SubmitResponse, Target,
    UnknownReason,
};
use cassiafold_jobs::owner::OwnerSettings;
use cassiafold_jobs::record::{
    INBOX_PREFIX, JobState, OWNER_KEY, STATE_PREFIX, WAITING_KEY, job_key, sequence_key,
};
use cassiafold_jobs::spec::JobId;
use cassiafold_platform::{Compare, Store, Transaction, TransactionalStore, Write};
use cassiafold_standin::{Partition, WriteFault};

use self::clients::{TestClients, call, owner_settings, start_owner, wait_until, wait_until_ready};
use self::emulator::{job, ms, step};

const KEY: Option<&str> = Some("k1");

/// A platform with a configuration and these workers in the store.
async fn platform_with_workers(workers: usize) -> TestClients {
    let platform = TestClients::new(workers);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    platform
}

fn path(id: JobId) -> String {
    format!("/q/{id:016x}")
}

/// Submits a job of five tasks in two steps.
async fn submit(platform: &TestClients, api: &JobApi<TestClients>, id: JobId) -> SubmitResponse {
    let record = job(vec![step(3, 1, &[]), step(2, 1, &[0])]);
    platform.workers.add_job(id, record.clone());
    api.submit(&call(&path(id), KEY), record.spec).await
}

async fn wait_until_completed(api: &JobApi<TestClients>, id: JobId) {
    let done = JobStateResponse::State(JobState::Completed);
    wait_until("completed", async || {
        (api.job_state(&call(&path(id), KEY)).await == done).then_some(())
    })
    .await;
}

#[tokio::test]
async fn an_accepted_job_completes() {
    let platform = platform_with_workers(2).await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let _owner = platform.start_owner("one");
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Accepted);
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Accepted);
    wait_until_completed(&api, 1).await;
    assert_eq!(platform.workers.starts.lock().expect("lock").len(), 5);
}

#[tokio::test]
async fn another_instance_takes_over_when_the_owner_stops() {
    let platform = platform_with_workers(2).await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let first = platform.client("one").start_owner("one");
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Accepted);
    wait_until_completed(&api, 1).await;
    let _second = platform.client("two").start_owner("two");
    first.cancel();
    assert_eq!(submit(&platform, &api, 2).await, SubmitResponse::Accepted);
    wait_until_completed(&api, 2).await;
    let starts = platform.workers.starts.lock().expect("lock").clone();
    assert_eq!(starts.iter().filter(|(task, _)| task.step.job == 1).count(), 5);
}

/// Waits until an instance is the owner.
async fn wait_until_owner(platform: &TestClients, instance: &str) {
    let prefix = format!("{instance} ");
    wait_until("owner", async || {
        let owner_record = platform.store.get(OWNER_KEY).await.expect("store")?;
        owner_record.value.starts_with(prefix.as_bytes()).then_some(())
    })
    .await;
}

/// Guards against a day without an owner: one that could not read the jobs kept its lease for ever.
#[tokio::test]
async fn an_owner_that_cannot_read_the_jobs_leaves_the_ownership_to_another() {
    let platform = platform_with_workers(2).await;
    let api = platform.api();
    wait_until_ready(&api).await;
    platform.store.faults().fail_lists("blind", INBOX_PREFIX);
    let _blind = platform.client("blind").start_owner("blind");
    wait_until_owner(&platform, "blind").await;
    let _other = platform.client("other").start_owner("other");
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Accepted);
    wait_until_completed(&api, 1).await;
}

#[tokio::test]
async fn an_owner_that_can_neither_read_the_jobs_nor_revoke_its_lease_does_not_claim_again_at_once()
{
    let platform = platform_with_workers(2).await;
    platform.store.faults().fail_lists("blind", INBOX_PREFIX);
    platform.store.faults().lose_revocations("blind");
    let settings = OwnerSettings { lease_ttl: ms(1_500), ..owner_settings("blind") };
    let _blind = start_owner(platform.client("blind"), settings);
    wait_until_owner(&platform, "blind").await;
    let _other = platform.client("other").start_owner("other");
    wait_until_owner(&platform, "other").await;
}

#[tokio::test]
async fn an_owner_that_reads_the_jobs_slowly_keeps_the_ownership() {
    let platform = platform_with_workers(2).await;
    let api = platform.api();
    wait_until_ready(&api).await;
    platform.store.faults().delay_lists("slow", INBOX_PREFIX, ms(4_000));
    let _slow = platform.client("slow").start_owner("slow");
    wait_until_owner(&platform, "slow").await;
    let _other = platform.client("other").start_owner("other");
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Accepted);
    wait_until_completed(&api, 1).await;
    wait_until_owner(&platform, "slow").await;
}

#[tokio::test]
async fn an_instance_with_a_claim_delay_leaves_an_initially_free_ownership_to_another() {
    let platform = platform_with_workers(1).await;
    let _delayed = platform.client("delayed").start_delayed_owner("delayed", ms(400));
    tokio::time::sleep(ms(100)).await;
    let _prompt = platform.client("prompt").start_owner("prompt");
    tokio::time::sleep(ms(600)).await;
    let owner_record = platform.store.get(OWNER_KEY).await.expect("store").expect("an owner");
    assert!(owner_record.value.starts_with(b"prompt "), "{:?}", owner_record.value);
}

#[tokio::test]
async fn an_instance_with_a_claim_delay_leaves_an_ownership_freed_during_an_outage_to_another() {
    let platform = platform_with_workers(1).await;
    let owner_record = Transaction::default().put(OWNER_KEY, "previous 1", None);
    platform.store.commit(owner_record).await.expect("record of the previous owner");
    let delayed = platform.client("delayed");
    let _delayed = delayed.start_delayed_owner("delayed", ms(400));
    tokio::time::sleep(ms(500)).await;
    delayed.store.faults().cut_off("delayed", Partition::Requests);
    platform.store.commit(Transaction::default().delete(OWNER_KEY)).await.expect("free");
    platform.store.faults().compact();
    delayed.store.faults().reconnect("delayed");
    tokio::time::sleep(ms(200)).await;
    let _prompt = platform.client("prompt").start_owner("prompt");
    tokio::time::sleep(ms(600)).await;
    let owner_record = platform.store.get(OWNER_KEY).await.expect("store").expect("an owner");
    assert!(owner_record.value.starts_with(b"prompt "), "{:?}", owner_record.value);
}

#[tokio::test]
async fn a_submission_is_accepted_although_the_response_to_its_write_is_lost() {
    let platform = platform_with_workers(1).await;
    let api = platform.client("front").api();
    wait_until_ready(&api).await;
    platform.client("front").store.faults().fail_writes(1, WriteFault::LostAnswer);
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Accepted);
}

/// Writes of one submission of which none gets a response.
const SUBMISSION_WRITES_MAX: usize = 6;

#[tokio::test]
async fn a_submission_whose_write_is_late_has_an_unknown_outcome() {
    let platform = platform_with_workers(1).await;
    let api = platform.client("front").api();
    wait_until_ready(&api).await;
    let late = WriteFault::Late(ms(300));
    platform.client("front").store.faults().fail_writes(SUBMISSION_WRITES_MAX, late);
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Unknown);
    let stored = || async { platform.store.get(&job_key(1)).await.expect("store") };
    wait_until("stored", async || stored().await.map(drop)).await;
}

#[tokio::test]
async fn late_writes_of_the_owner_do_not_restore_old_states() {
    let platform = platform_with_workers(2).await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let owner_clients = platform.client("one");
    let _owner = owner_clients.start_owner("one");
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Accepted);
    wait_until_completed(&api, 1).await;
    for id in 2..8 {
        assert_eq!(submit(&platform, &api, id).await, SubmitResponse::Accepted);
        owner_clients.store.faults().fail_writes(1, WriteFault::Late(ms(400)));
        tokio::time::sleep(ms(30)).await;
    }
    for id in 2..8 {
        wait_until_completed(&api, id).await;
    }
    tokio::time::sleep(ms(600)).await;
    for record in platform.store.list(STATE_PREFIX).await.expect("store").records {
        let text = String::from_utf8_lossy(&record.value).into_owned();
        assert!(text.contains("completed"), "{text}");
    }
}

/// Number of jobs, enough for many parallel writes.
const MANY_JOBS: JobId = 240;

#[tokio::test]
async fn parallel_writes_stay_consistent_with_lost_and_late_responses() {
    let platform = platform_with_workers(40).await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let owner_clients = platform.client("one");
    let _owner = owner_clients.start_owner("one");
    tokio::time::sleep(ms(300)).await;
    owner_clients.store.faults().cut_off("one", Partition::Requests);
    for id in 1..=MANY_JOBS {
        assert_eq!(submit(&platform, &api, id).await, SubmitResponse::Accepted);
    }
    let faults = [WriteFault::LostAnswer, WriteFault::Late(ms(300))];
    owner_clients.store.faults().plan_writes(faults.into_iter().cycle().take(8).map(Some));
    owner_clients.store.faults().reconnect("one");
    for id in 1..=MANY_JOBS {
        wait_until_completed(&api, id).await;
    }
    tokio::time::sleep(ms(600)).await;
    for record in platform.store.list(STATE_PREFIX).await.expect("store").records {
        let text = String::from_utf8_lossy(&record.value).into_owned();
        assert!(text.contains("completed"), "{text}");
    }
    let second = platform.store.get(&sequence_key(1)).await.expect("store").expect("a write chain");
    let second = String::from_utf8_lossy(&second.value).into_owned();
    assert!(!second.contains("\"number\":0"), "no two writes were in flight together: {second}");
    let starts = platform.workers.starts.lock().expect("lock").clone();
    let tasks: std::collections::HashSet<_> = starts.iter().map(|(task, _)| *task).collect();
    assert_eq!((starts.len(), tasks.len()), (5 * MANY_JOBS as usize, 5 * MANY_JOBS as usize));
}

#[tokio::test]
async fn a_revoked_key_is_refused_although_the_watch_has_not_reported_it() {
    let platform = platform_with_workers(1).await;
    let (sender, desired_states) = cassiafold_jobs::desired_state::DesiredStateSender::new();
    let metrics = cassiafold_jobs::metrics::JobsMetrics::default();
    let api = JobApi::new(platform.clone(), desired_states, sender.clone(), metrics);
    let watch_task = tokio::spawn(cassiafold_jobs::desired_state::follow(platform.clone(), sender));
    wait_until_ready(&api).await;
    watch_task.abort();
    platform.configure(2, &["k2"]).await;
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Denied(Denial::UnknownKey));
    assert_eq!(platform.store.get(&job_key(1)).await.expect("store"), None);
}

/// A job API whose watch of the operator's records stopped more than two seconds ago.
async fn api_with_stopped_watch(platform: &TestClients) -> JobApi<TestClients> {
    let (sender, desired_states) = cassiafold_jobs::desired_state::DesiredStateSender::new();
    let metrics = cassiafold_jobs::metrics::JobsMetrics::default();
    let api = JobApi::new(platform.clone(), desired_states, sender.clone(), metrics);
    let watch_task = tokio::spawn(cassiafold_jobs::desired_state::follow(platform.clone(), sender));
    wait_until_ready(&api).await;
    watch_task.abort();
    platform.configure(2, &["k2"]).await;
    tokio::time::sleep(ms(2_400)).await;
    api
}

#[tokio::test]
async fn a_new_key_is_accepted_although_the_watch_has_stopped() {
    let platform = platform_with_workers(1).await;
    let api = api_with_stopped_watch(&platform).await;
    assert_eq!(api.target(&call(&path(1), Some("k2"))).await, Ok(Target::Job(1)));
    assert_eq!(api.job_state(&call(&path(1), Some("k2"))).await, JobStateResponse::NoSuchJob);
    assert_eq!(
        api.job_state(&call(&path(1), KEY)).await,
        JobStateResponse::Denied(Denial::UnknownKey)
    );
}

#[tokio::test]
async fn a_key_is_not_called_unknown_while_the_configuration_may_be_outdated() {
    let platform = platform_with_workers(1).await.client("front");
    let api = api_with_stopped_watch(&platform).await;
    platform.store.faults().cut_off("front", Partition::Requests);
    let outdated = Denial::Outdated;
    assert_eq!(api.target(&call(&path(1), Some("k2"))).await, Err(outdated));
    assert_eq!(
        api.job_state(&call(&path(1), Some("k2"))).await,
        JobStateResponse::Denied(outdated)
    );
}

#[tokio::test]
async fn a_cancelled_job_ends_and_an_unknown_job_is_not_found() {
    let platform = platform_with_workers(0).await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let _owner = platform.start_owner("one");
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Accepted);
    wait_until("queue length", async || {
        (api.waiting_jobs(&call("/q/", KEY)).await == CountResponse::Waiting(1)).then_some(())
    })
    .await;
    assert_eq!(api.cancel(&call(&path(1), KEY)).await, CancelResponse::Accepted);
    let cancelled = JobStateResponse::State(JobState::Cancelled);
    wait_until("cancelled", async || {
        (api.job_state(&call(&path(1), KEY)).await == cancelled).then_some(())
    })
    .await;
    assert_eq!(api.cancel(&call(&path(9), KEY)).await, CancelResponse::NoSuchJob);
    assert_eq!(api.job_state(&call(&path(9), KEY)).await, JobStateResponse::NoSuchJob);
}

#[tokio::test]
async fn an_outdated_queue_length_is_not_returned() {
    let platform = platform_with_workers(0).await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let old = r#"{"jobs":{"q":3},"counted_unix_ms":1000}"#;
    let write = Write::put(WAITING_KEY, Compare::Absent, old);
    platform.store.write(write).await.expect("store");
    let outdated = CountResponse::Unknown(UnknownReason::CountOutdated);
    assert_eq!(api.waiting_jobs(&call("/q/", KEY)).await, outdated);
}

macro_rules! denials {
    ($($name:ident: $path:expr, $key:expr => $denial:expr;)+) => {
        $(#[tokio::test] async fn $name() {
            let platform = platform_with_workers(0).await;
            let api = platform.api();
            wait_until_ready(&api).await;
            let spec = job(vec![step(1, 1, &[])]).spec;
            let response = api.submit(&call($path, $key), spec).await;
            assert_eq!(response, SubmitResponse::Denied($denial));
        })+
    };
}

denials! {
    a_path_without_queue_is_denied: "/other/0000000000000001", KEY => Denial::NoQueue;
    a_call_without_key_is_denied: "/q/0000000000000001", None => Denial::UnknownKey;
    a_call_with_an_unknown_key_is_denied: "/q/0000000000000001", Some("x") => Denial::UnknownKey;
    an_invalid_job_id_is_denied: "/q/none", KEY => Denial::NoJob;
}

#[tokio::test]
async fn an_api_without_configuration_denies_all_requests() {
    let api = TestClients::new(0).api();
    let spec = job(vec![step(1, 1, &[])]).spec;
    let response = api.submit(&call(&path(1), KEY), spec).await;
    assert_eq!(response, SubmitResponse::Denied(Denial::NoConfig));
}

#[tokio::test]
async fn an_owner_closes_connections_to_removed_workers_and_at_the_end_of_its_term() {
    let platform = platform_with_workers(3).await;
    let owner = platform.start_owner("one");
    let api = platform.api();
    wait_until_ready(&api).await;
    assert_eq!(submit(&platform, &api, 1).await, SubmitResponse::Accepted);
    wait_until_completed(&api, 1).await;
    let disconnected = || platform.workers.disconnected.lock().expect("lock").len();
    assert_eq!(disconnected(), 0);
    platform.remove_worker("w0").await;
    wait_until("disconnection of the removed worker", async || (disconnected() == 1).then_some(()))
        .await;
    owner.cancel();
    wait_until("disconnection of all workers", async || (disconnected() == 3).then_some(())).await;
}
