//! Entries of workers that can't be read, among sound ones, with stand-ins and in real time.

mod clients;
mod emulator;
mod log_lines;

use std::time::Duration;

use cassiafold_jobs::api::{JobApi, JobStateResponse, SubmitResponse};
use cassiafold_jobs::clients::{FencingToken, PollRequest};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::record::{
    COMMANDED_MACHINES_KEY, JobState, OWNER_KEY, WAVES_KEY, state_key, workers_key,
};
use cassiafold_jobs::spec::JobId;
use cassiafold_platform::{Store, Transaction, TransactionOutcome, TransactionalStore, since_boot};
use tokio::time::sleep;

use self::clients::{TestClients, call, wait_for_owner_key, wait_until, wait_until_ready};
use self::emulator::{job, ms, step};
use self::log_lines::{Line, capture, lines};

/// How the owner learns of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    /// Its watch of the entries reports the change.
    Watch,
    /// It lists the entries, since the history of the change is gone.
    List,
}

/// Number of lines on an unreadable entry of this worker.
fn unreadable_lines(key: &str) -> usize {
    let unreadable = JobsEvent::ItemUnreadable.row().number;
    lines(unreadable).iter().filter(|line| line["key"] == key).count()
}

/// Waits until the worker has refused the token of an owner.
async fn wait_for_refused_token(worker: &str) {
    let refused = JobsEvent::TokenRefused.row().number;
    let is_worker = |line: &Line| line["worker"] == worker;
    wait_until("a refused token", async || lines(refused).iter().any(is_worker).then_some(()))
        .await;
}

/// Submits a job and returns whether it completes within `limit`.
async fn completes(
    platform: &TestClients,
    api: &JobApi<TestClients>,
    id: JobId,
    limit: Duration,
) -> bool {
    let request = call(&format!("/q/{id:016x}"), Some("k1"));
    let record = job(vec![step(3, 1, &[])]);
    platform.workers.add_job(id, record.clone());
    assert_eq!(api.submit(&request, record.spec).await, SubmitResponse::Accepted);
    let done = JobStateResponse::State(JobState::Completed);
    let wait = async {
        while api.job_state(&request).await != done {
            sleep(ms(20)).await;
        }
    };
    tokio::time::timeout(limit, wait).await.is_ok()
}

/// Writes an entry of the worker and lets the owner learn of it.
async fn write_entry(platform: &TestClients, path: Path, value: &'static str) {
    let faults = platform.store.faults();
    faults.set_silent_watches(path == Path::List);
    platform.write_entry("w0", value).await;
    if path == Path::List {
        faults.compact();
    }
    faults.set_silent_watches(false);
}

async fn check_unreadable_entry(path: Path) {
    capture();
    let platform = TestClients::new(1);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let _owner = platform.client("one").start_owner("one");
    assert!(completes(&platform, &api, 1, ms(5_000)).await, "the entry names a worker");
    write_entry(&platform, path, "odd").await;
    wait_until("the odd entry read", async || (unreadable_lines("workers/w0") > 0).then_some(()))
        .await;
    assert!(!completes(&platform, &api, 2, ms(900)).await, "an unreadable entry names no worker");
    write_entry(&platform, path, "up").await;
    assert!(completes(&platform, &api, 3, ms(5_000)).await, "the entry names a worker again");
}

macro_rules! unreadable_entries {
    ($($name:ident: $path:expr;)+) => {
        $(#[tokio::test] async fn $name() {
            check_unreadable_entry($path).await;
        })+
    };
}

unreadable_entries! {
    a_worker_whose_entry_changes_to_an_unreadable_one_gets_no_runs: Path::Watch;
    a_worker_whose_entry_is_listed_as_unreadable_gets_no_runs: Path::List;
}

#[tokio::test]
async fn a_job_completes_although_records_of_previous_owners_are_unreadable() {
    let platform = TestClients::new(1);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    for key in [&*workers_key(7), WAVES_KEY, COMMANDED_MACHINES_KEY] {
        let odd = Transaction::default().put(key, "odd", None);
        platform.store.commit(odd).await.expect("store");
    }
    let api = platform.api();
    wait_until_ready(&api).await;
    let _owner = platform.client("one").start_owner("one");
    assert!(completes(&platform, &api, 1, ms(5_000)).await, "the owner never began");
}

#[tokio::test]
async fn a_job_whose_state_is_unreadable_is_not_run_again() {
    let platform = TestClients::new(2);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let first = platform.client("one").start_owner("one");
    assert!(completes(&platform, &api, 1, ms(5_000)).await);
    first.cancel();
    wait_for_owner_key(&platform, false).await;
    // The other worker has not seen the runs that ended.
    platform.remove_worker("w0").await;
    let odd = Transaction::default().put(state_key(1), "odd", None);
    platform.store.commit(odd).await.expect("store");
    let _second = platform.client("two").start_owner("two");
    assert!(completes(&platform, &api, 2, ms(5_000)).await);
    let starts = platform.workers.starts.lock().expect("lock").clone();
    assert_eq!(starts.iter().filter(|(task, _)| task.step.job == 1).count(), 3);
}

/// Lets a worker see this token.
fn poll_as_owner(platform: &TestClients, worker: usize, token: FencingToken) {
    let (acknowledged, lease_until, wait) = (0, None, Duration::ZERO);
    let request = PollRequest { token, acknowledged, lease_until, wait };
    let poll = platform.workers.list.lock().expect("lock")[worker].poll(request, since_boot());
    assert!(poll.is_ok(), "{poll:?}");
}

#[tokio::test]
async fn an_owner_whose_token_is_refused_for_a_later_owner_starts_nothing_more() {
    capture();
    let platform = TestClients::new(2);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let _owner = platform.client("one").start_owner("one");
    assert!(completes(&platform, &api, 1, ms(5_000)).await);
    let claim = Transaction::default().put(OWNER_KEY, "other 1", None);
    let claim = platform.store.commit(claim).await.expect("store");
    let TransactionOutcome::Written(token) = claim else { panic!("{claim:?}") };
    poll_as_owner(&platform, 0, token);
    wait_for_refused_token("w0").await;
    let ended = JobsEvent::OwnerEnded.row().number;
    wait_until("the end of the term", async || (!lines(ended).is_empty()).then_some(())).await;
    assert!(!completes(&platform, &api, 2, ms(900)).await);
    let starts = platform.workers.starts.lock().expect("lock").clone();
    assert!(starts.iter().all(|(task, _)| task.step.job == 1), "{starts:?}");
}

#[tokio::test]
async fn a_worker_that_has_seen_a_token_of_no_owner_does_not_end_the_ownership() {
    capture();
    let platform = TestClients::new(2);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let request =
        PollRequest { token: u64::MAX, acknowledged: 0, lease_until: None, wait: Duration::ZERO };
    let odd = platform.workers.list.lock().expect("lock")[0].poll(request, since_boot());
    assert!(odd.is_ok(), "{odd:?}");
    let api = platform.api();
    wait_until_ready(&api).await;
    let _owner = platform.client("one").start_owner("one");
    wait_for_owner_key(&platform, true).await;
    let owner = platform.store.get(OWNER_KEY).await.expect("store").expect("an owner");
    assert!(completes(&platform, &api, 1, ms(5_000)).await);
    wait_for_refused_token("w0").await;
    assert!(completes(&platform, &api, 2, ms(5_000)).await);
    let same = platform.store.get(OWNER_KEY).await.expect("store").expect("an owner");
    assert_eq!(owner.revision, same.revision, "the ownership changed");
}
