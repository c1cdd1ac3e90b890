//! Owners that read the state for long, or cannot read it, with stand-ins and in real time.

mod clients;
mod emulator;
mod log_lines;

use std::time::Duration;

use cassiafold_jobs::api::{JobApi, JobStateResponse, SubmitResponse};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::record::{INBOX_PREFIX, JobState, OWNER_KEY};
use cassiafold_platform::Store;
use cassiafold_standin::{Partition, WriteFault};
use tokio::time::Instant;

use self::clients::{
    TestClients, call, wait_for_owner_key, wait_until, wait_until_ready, wait_until_within,
};
use self::emulator::{job, ms, step};
use self::log_lines::{capture, lines};

const KEY: Option<&str> = Some("k1");
const PATH: &str = "/q/0000000000000001";
/// Longer than the first owner may read.
const LONG: Duration = Duration::from_secs(10);
/// Longer than the first two owners in a row may read.
const VERY_LONG: Duration = Duration::from_secs(25);
/// Time in which a reading of [`LONG`] is finished.
const FINISH_TIMEOUT: Duration = Duration::from_secs(22);

/// A platform with an accepted job, and its API.
async fn platform_with_job() -> (TestClients, JobApi<TestClients>) {
    capture();
    let platform = TestClients::new(2);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    let api = platform.api();
    wait_until_ready(&api).await;
    let record = job(vec![step(3, 1, &[])]);
    platform.workers.add_job(1, record.clone());
    assert_eq!(api.submit(&call(PATH, KEY), record.spec).await, SubmitResponse::Accepted);
    (platform, api)
}

async fn wait_until_completed(api: &JobApi<TestClients>, timeout: Duration) {
    let done = JobStateResponse::State(JobState::Completed);
    wait_until_within(timeout, "completed", async || {
        (api.job_state(&call(PATH, KEY)).await == done).then_some(())
    })
    .await;
}

/// Name of the instance that is the owner.
async fn owner(platform: &TestClients) -> Option<String> {
    let record = platform.store.get(OWNER_KEY).await.expect("store")?;
    let text = String::from_utf8_lossy(&record.value).into_owned();
    text.split(' ').next().map(str::to_owned)
}

async fn wait_until_owner(platform: &TestClients, instance: &str, timeout: Duration) {
    let what = format!("{instance} to be the owner");
    wait_until_within(timeout, &what, async || {
        (owner(platform).await.as_deref() == Some(instance)).then_some(())
    })
    .await;
}

fn read_slowly(platform: &TestClients, instance: &str, delay: Duration) {
    platform.store.faults().delay_lists(instance, INBOX_PREFIX, delay);
}

#[tokio::test]
async fn a_reading_that_goes_on_for_25_s_does_not_keep_the_ownership_from_another_instance() {
    let (platform, api) = platform_with_job().await;
    read_slowly(&platform, "slow", VERY_LONG);
    let _slow = platform.client("slow").start_owner("slow");
    wait_until_owner(&platform, "slow", ms(1_000)).await;
    let _other = platform.client("other").start_owner("other");
    wait_until_completed(&api, ms(8_000)).await;
    assert_eq!(owner(&platform).await.as_deref(), Some("other"));
}

/// An instance without another one, which reads for [`LONG`].
macro_rules! an_instance_that_is_alone {
    ($($name:ident: $failed_writes:expr;)+) => {
        $(#[tokio::test] async fn $name() {
            let (platform, api) = platform_with_job().await;
            read_slowly(&platform, "slow", LONG);
            let _slow = platform.client("slow").start_owner("slow");
            wait_until_owner(&platform, "slow", ms(1_000)).await;
            platform.store.faults().plan_writes($failed_writes);
            wait_until_completed(&api, FINISH_TIMEOUT).await;
        })+
    };
}

an_instance_that_is_alone! {
    an_instance_that_is_alone_finishes_a_reading_of_10_s: [];
    an_instance_that_is_alone_finishes_a_reading_of_10_s_although_a_write_fails:
        [Some(WriteFault::LostRequest)];
}

#[tokio::test]
async fn instances_that_all_read_for_10_s_pass_the_ownership_on_once() {
    let (platform, api) = platform_with_job().await;
    for instance in ["one", "two", "three"] {
        read_slowly(&platform, instance, LONG);
        let _owner = platform.client(instance).start_owner(instance);
        wait_for_owner_key(&platform, true).await;
    }
    wait_until_completed(&api, FINISH_TIMEOUT).await;
    assert_eq!(lines(JobsEvent::OwnerBegan.row().number).len(), 2, "terms");
}

#[tokio::test]
async fn the_time_for_a_reading_is_short_again_once_one_was_finished() {
    let (platform, api) = platform_with_job().await;
    read_slowly(&platform, "slow", LONG);
    let slow = platform.client("slow").start_owner("slow");
    wait_until_owner(&platform, "slow", ms(1_000)).await;
    let other = platform.client("other").start_owner("other");
    wait_until_completed(&api, ms(8_000)).await;
    slow.cancel();
    other.cancel();
    wait_for_owner_key(&platform, false).await;
    read_slowly(&platform, "next", LONG);
    let _next = platform.client("next").start_owner("next");
    wait_until_owner(&platform, "next", ms(1_000)).await;
    let begun = Instant::now();
    let _last = platform.client("last").start_owner("last");
    wait_until_owner(&platform, "last", ms(8_000)).await;
    assert!(begun.elapsed() < ms(8_000), "passed on after {:?}", begun.elapsed());
}

/// Guards against an ownership that goes round among instances that claim first and cannot read.
#[tokio::test]
async fn two_instances_that_cannot_read_the_jobs_leave_the_ownership_to_a_third_that_claims_later()
{
    let (platform, api) = platform_with_job().await;
    for (instance, claim_delay) in [("one", ms(0)), ("two", ms(300))] {
        platform.store.faults().fail_lists(instance, INBOX_PREFIX);
        let _owner = platform.client(instance).start_delayed_owner(instance, claim_delay);
        wait_for_owner_key(&platform, true).await;
    }
    wait_until_owner(&platform, "two", ms(4_000)).await;
    let _third = platform.client("third").start_delayed_owner("third", ms(600));
    wait_until_completed(&api, ms(8_000)).await;
    assert_eq!(owner(&platform).await.as_deref(), Some("third"));
}

#[tokio::test]
async fn an_instance_that_lost_its_lease_while_it_read_leaves_the_ownership_to_another() {
    let (platform, api) = platform_with_job().await;
    read_slowly(&platform, "slow", VERY_LONG);
    let _slow = platform.client("slow").start_owner("slow");
    wait_until_owner(&platform, "slow", ms(1_000)).await;
    let _other = platform.client("other").start_delayed_owner("other", ms(600));
    tokio::time::sleep(ms(200)).await;
    platform.store.faults().cut_off("slow", Partition::Requests);
    wait_until("free", async || owner(&platform).await.is_none().then_some(())).await;
    platform.store.faults().reconnect("slow");
    wait_until_completed(&api, ms(4_000)).await;
}
