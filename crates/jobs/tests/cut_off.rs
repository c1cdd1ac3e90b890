//! An owner that is cut off from the store, in real time.

mod clients;
mod emulator;

use std::sync::Mutex;

use cassiafold_jobs::api::{JobStateResponse, SubmitResponse};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::record::{JobState, OWNER_KEY};
use cassiafold_platform::Store;
use cassiafold_standin::Partition;
use log::kv::Key;

use self::clients::{TestClients, call};
use self::emulator::{job, ms, step};

const KEY: Option<&str> = Some("k1");
const PATH: &str = "/q/0000000000000001";
/// Passes of the owner's loop per second, above which it does nothing but to look at the time.
const PASSES_PER_S_MAX: u32 = 150;

/// Passes of the owner's loop in each second that it has reported.
static PASSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Collects the reports of the owner's loop.
struct ReportCollector;

impl log::Log for ReportCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let number = |key: &str| {
            let value = record.key_values().get(Key::from_str(key))?;
            value.to_string().parse::<u32>().ok()
        };
        if number("event") == Some(u32::from(JobsEvent::OwnerBusy.row().number)) {
            PASSES.lock().expect("lock").extend(number("passes"));
        }
    }

    fn flush(&self) {}
}

async fn wait_until(what: &str, mut check: impl AsyncFnMut() -> bool) {
    for _ in 0..500 {
        if check().await {
            return;
        }
        tokio::time::sleep(ms(20)).await;
    }
    panic!("timed out after 10 s waiting for: {what}");
}

#[tokio::test]
async fn an_owner_whose_lease_has_run_out_does_not_spin_and_places_jobs_once_it_is_owner_again() {
    log::set_logger(&ReportCollector).expect("the only logger");
    log::set_max_level(log::LevelFilter::Info);
    let platform = TestClients::new(3);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let api = platform.api();
    wait_until("ready", async || api.is_ready(ms(60_000))).await;
    let owner_clients = platform.client("one");
    let _owner = owner_clients.start_owner("one");
    wait_until("an owner", async || platform.store.get(OWNER_KEY).await.expect("store").is_some())
        .await;
    tokio::time::sleep(ms(300)).await;
    owner_clients.store.faults().cut_off("one", Partition::Requests);
    // Its lease lasts for one second; two more pass before the first report that is looked at.
    tokio::time::sleep(ms(3_000)).await;
    PASSES.lock().expect("lock").clear();
    tokio::time::sleep(ms(3_000)).await;
    let passes = PASSES.lock().expect("lock").clone();
    assert!(passes.len() >= 2, "reports: {passes:?}");
    assert!(passes.iter().all(|passes| *passes <= PASSES_PER_S_MAX), "passes: {passes:?}");
    owner_clients.store.faults().reconnect("one");
    let record = job(vec![step(3, 1, &[])]);
    platform.workers.add_job(1, record.clone());
    assert_eq!(api.submit(&call(PATH, KEY), record.spec).await, SubmitResponse::Accepted);
    let done = JobStateResponse::State(JobState::Completed);
    wait_until("completed", async || api.job_state(&call(PATH, KEY)).await == done).await;
}
