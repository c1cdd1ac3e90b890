//! An owner that is cut off from the store, in real time.

mod clients;
mod emulator;
mod log_lines;

use cassiafold_jobs::api::{JobStateResponse, SubmitResponse};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::record::JobState;
use cassiafold_standin::Partition;

use self::clients::{TestClients, call, wait_for_owner_key, wait_until, wait_until_ready};
use self::emulator::{job, ms, step};
use self::log_lines::{capture, lines};

const KEY: Option<&str> = Some("k1");
const PATH: &str = "/q/0000000000000001";
/// Passes of the owner's loop per second, above which it does nothing but to look at the time.
const PASSES_PER_S_MAX: u32 = 150;

/// Passes of the owner's loop in each second that it has reported.
fn reported_passes() -> Vec<u32> {
    let reports = lines(JobsEvent::OwnerBusy.row().number);
    reports.iter().map(|line| line["passes"].parse().expect("a number")).collect()
}

#[tokio::test]
async fn an_owner_whose_lease_has_run_out_does_not_spin_and_places_jobs_once_it_is_owner_again() {
    capture();
    let platform = TestClients::new(3);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let owner_clients = platform.client("one");
    let _owner = owner_clients.start_owner("one");
    wait_for_owner_key(&platform, true).await;
    tokio::time::sleep(ms(300)).await;
    owner_clients.store.faults().cut_off("one", Partition::Requests);
    // Its lease lasts for one second; two more pass before the first report that is looked at.
    tokio::time::sleep(ms(3_000)).await;
    let reported_before = reported_passes().len();
    tokio::time::sleep(ms(3_000)).await;
    let passes = reported_passes().split_off(reported_before);
    assert!(passes.len() >= 2, "reports: {passes:?}");
    assert!(passes.iter().all(|passes| *passes <= PASSES_PER_S_MAX), "passes: {passes:?}");
    owner_clients.store.faults().reconnect("one");
    let record = job(vec![step(3, 1, &[])]);
    platform.workers.add_job(1, record.clone());
    assert_eq!(api.submit(&call(PATH, KEY), record.spec).await, SubmitResponse::Accepted);
    let done = JobStateResponse::State(JobState::Completed);
    wait_until("completed", async || (api.job_state(&call(PATH, KEY)).await == done).then_some(()))
        .await;
}
