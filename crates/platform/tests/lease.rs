//! Leases under pauses, delays, lost responses and outages.

#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::time::Duration;

use cassiafold_platform::{
    Compare, LeaseId, LeaseKeeper, Operation, Record, Revision, Snapshot, Store, StoreError, Write,
    WriteOutcome,
};
use cassiafold_standin::{MemoryStore, MemoryWatch, Partition};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tokio::time::{advance, sleep, timeout};

const KEY: &str = "entries/1";
const TTL: Duration = Duration::from_secs(6);
const TIMEOUT: Duration = Duration::from_secs(4);

async fn holder(store: &MemoryStore) -> LeaseKeeper<MemoryStore> {
    holder_with_timeout(store, TIMEOUT).await
}

async fn holder_with_timeout(store: &MemoryStore, timeout: Duration) -> LeaseKeeper<MemoryStore> {
    let client = store.client("holder").with_timeout(timeout);
    let keeper = LeaseKeeper::start(client, TTL).await.unwrap();
    let operation = Operation::Put { value: "up".into(), lease: Some(keeper.id()) };
    let write = Write { key: KEY.into(), compare: Compare::Absent, operation };
    store.write(write).await.unwrap();
    keeper
}

#[tokio::test(start_paused = true)]
async fn a_lease_is_renewed_until_its_keeper_is_closed() {
    let store = MemoryStore::default();
    let keeper = holder(&store).await;
    let validity = keeper.validity();
    for _ in 0..100 {
        sleep(TTL / 3).await;
        assert!(keeper.is_valid());
    }
    keeper.close().await.unwrap();
    assert!(!validity.is_valid());
    assert_eq!(store.faults().peek(KEY), None);
}

#[tokio::test(start_paused = true)]
async fn a_lease_needs_three_to_six_renewals_per_time_to_live() {
    let store = MemoryStore::default();
    let keeper = holder(&store).await;
    sleep(TTL * 100).await;
    let calls = store.faults().counts("holder").keep_alives;
    assert!((300..=600).contains(&calls), "{calls} renewals");
    keeper.close().await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_dropped_keeper_stops_the_renewals() {
    let store = MemoryStore::default();
    drop(holder(&store).await);
    sleep(TTL).await;
    assert_eq!(store.faults().peek(KEY), None);
}

#[tokio::test(start_paused = true)]
async fn a_holder_paused_for_the_time_to_live_has_no_valid_lease() {
    let store = MemoryStore::default();
    let keeper = holder(&store).await;
    advance(TTL).await;
    assert!(!keeper.is_valid());
    timeout(TTL, keeper.ended()).await.expect("the store reports the expiry");
    assert!(!keeper.is_valid());
}

#[tokio::test(start_paused = true)]
async fn a_revoked_lease_is_invalid_from_its_next_renewal() {
    let store = MemoryStore::default();
    let keeper = holder(&store).await;
    store.revoke_lease(keeper.id()).await.unwrap();
    timeout(TTL / 2, keeper.ended()).await.expect("the store reports the end");
    assert!(!keeper.is_valid());
}

#[tokio::test(start_paused = true)]
async fn a_lease_survives_a_short_outage() {
    let store = MemoryStore::default();
    let keeper = holder(&store).await;
    store.faults().set_outage(true);
    sleep(TTL / 3).await;
    store.faults().set_outage(false);
    sleep(TTL).await;
    assert!(keeper.is_valid());
}

#[tokio::test(start_paused = true)]
async fn a_lease_stays_valid_with_a_slow_store() {
    let store = MemoryStore::default();
    let keeper = holder(&store).await;
    store.faults().set_delay(TTL.mul_f64(0.45));
    for _ in 0..100 {
        sleep(TTL / 10).await;
        assert!(keeper.is_valid());
    }
}

/// Times of a slow store's calls, as a part of the time to live.
macro_rules! a_lease_stays_valid_although_each_call_takes {
    ($($case:ident: $part:literal;)+) => {
        $(#[tokio::test(start_paused = true)]
        async fn $case() {
            let store = MemoryStore::default();
            store.faults().set_delay(TTL.mul_f64($part));
            let keeper = holder_with_timeout(&store.with_timeout(TTL * 3), TTL * 3).await;
            // The first renewal is sent when the lease has been granted.
            sleep(TTL).await;
            for check in 0..1_000 {
                assert!(keeper.is_valid(), "not valid at check {check}");
                assert!(store.faults().peek(KEY).is_some(), "ended at check {check}");
                sleep(TTL / 100).await;
            }
        })+
    };
}

a_lease_stays_valid_although_each_call_takes! {
    a_lease_stays_valid_although_each_call_takes_half_of_it: 0.5;
    a_lease_stays_valid_although_each_call_takes_two_thirds_of_it: 0.67;
    a_lease_stays_valid_although_each_call_takes_five_sixths_of_it: 0.83;
}

#[tokio::test(start_paused = true)]
async fn a_lease_is_valid_again_soon_after_calls_have_become_slow() {
    let store = MemoryStore::default();
    let keeper = holder_with_timeout(&store, TTL * 3).await;
    sleep(TTL).await;
    store.faults().set_delay(TTL.mul_f64(0.83));
    // The first slow response comes after more than one time to live, that of a renewal which is
    // sent more often after another one.
    sleep(TTL * 3).await;
    for check in 0..1_000 {
        assert!(keeper.is_valid(), "not valid at check {check}");
        sleep(TTL / 100).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_store_is_sent_at_most_a_few_tens_of_renewals_per_time_to_live() {
    let store = MemoryStore::default();
    let keeper = holder_with_timeout(&store, TTL * 3).await;
    store.faults().set_delay(TTL.mul_f64(0.83));
    sleep(TTL * 100).await;
    let calls = store.faults().counts("holder").keep_alives;
    assert!((300..=3_000).contains(&calls), "{calls} renewals");
    keeper.close().await.unwrap();
}

/// Guards against an owner that keeps its key and is never certain to hold it.
#[tokio::test(start_paused = true)]
async fn a_lease_whose_renewals_are_answered_after_its_end_is_given_up() {
    let store = MemoryStore::default();
    let keeper = holder_with_timeout(&store, TTL * 3).await;
    store.faults().set_delay(TTL.mul_f64(1.2));
    timeout(TTL * 4, keeper.ended()).await.expect("given up");
    assert!(!keeper.is_valid());
    sleep(TTL * 2).await;
    assert_eq!(store.faults().peek(KEY), None);
}

/// Guards against a change of the owner at each short slowdown of the store.
#[tokio::test(start_paused = true)]
async fn a_lease_survives_a_short_time_in_which_renewals_are_answered_after_its_end() {
    let store = MemoryStore::default();
    let keeper = holder_with_timeout(&store, TTL * 3).await;
    store.faults().set_delay(TTL.mul_f64(1.2));
    sleep(TTL.mul_f64(1.8)).await;
    store.faults().set_delay(Duration::ZERO);
    timeout(TTL * 4, keeper.ended()).await.expect_err("the lease is held");
    assert!(keeper.is_valid());
}

/// Guards against a given up lease during an outage that the store pauses leases for.
#[tokio::test(start_paused = true)]
async fn a_lease_whose_responses_are_lost_is_not_given_up() {
    let store = MemoryStore::default();
    let keeper = holder(&store).await;
    store.faults().cut_off("holder", Partition::Answers);
    timeout(TTL * 10, keeper.ended()).await.expect_err("the lease is held");
    store.faults().reconnect("holder");
    sleep(TTL / 2).await;
    assert!(keeper.is_valid());
}

#[tokio::test(start_paused = true)]
async fn lost_responses_end_the_validity_before_the_lease() {
    let store = MemoryStore::default();
    let keeper = holder(&store).await;
    store.faults().cut_off("holder", Partition::Answers);
    sleep(TTL).await;
    assert!(!keeper.is_valid());
    assert!(store.faults().peek(KEY).is_some());
    store.faults().reconnect("holder");
    sleep(TTL / 2).await;
    assert!(keeper.is_valid());
}

#[tokio::test(start_paused = true)]
async fn no_lease_is_granted_during_an_outage() {
    let store = MemoryStore::default();
    store.faults().set_outage(true);
    let result = LeaseKeeper::start(store, TTL).await;
    assert!(matches!(result, Err(StoreError::Unavailable(_))));
}

#[derive(Debug, Clone)]
enum Step {
    Run { ms: u64 },
    Pause { ms: u64 },
    Delay { ms: u64 },
    Outage { on: bool },
    CutOff { partition: Option<Partition> },
}

fn step() -> impl Strategy<Value = Step> {
    let partition =
        prop_oneof![Just(None), Just(Some(Partition::Requests)), Just(Some(Partition::Answers))];
    prop_oneof![
        4 => (1..1_500u64).prop_map(|ms| Step::Run { ms }),
        1 => (1..8_000u64).prop_map(|ms| Step::Pause { ms }),
        2 => (0..3_900u64).prop_map(|ms| Step::Delay { ms }),
        1 => any::<bool>().prop_map(|on| Step::Outage { on }),
        1 => partition.prop_map(|partition| Step::CutOff { partition }),
    ]
}

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

async fn run(steps: Vec<Step>) -> usize {
    let store = MemoryStore::default();
    let faults = store.faults();
    let keeper = holder(&store).await;
    let mut valid_checks = 0;
    let mut check = || {
        if keeper.is_valid() {
            valid_checks += 1;
            assert!(faults.peek(KEY).is_some(), "valid after the store ended the lease");
        }
    };
    for step in steps {
        match step {
            Step::Run { ms } => {
                for _ in 0..ms / 10 {
                    sleep(CHECK_INTERVAL).await;
                    check();
                }
            }
            Step::Pause { ms } => advance(Duration::from_millis(ms)).await,
            Step::Delay { ms } => faults.set_delay(Duration::from_millis(ms)),
            Step::Outage { on } => faults.set_outage(on),
            Step::CutOff { partition: Some(partition) } => faults.cut_off("holder", partition),
            Step::CutOff { partition: None } => faults.reconnect("holder"),
        }
        check();
    }
    valid_checks
}

#[test]
fn a_valid_lease_is_held_by_the_store_in_every_schedule() {
    let config = Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let schedules = prop::collection::vec(step(), 1..60);
    let counted = Cell::new(0);
    runner
        .run(&schedules, |steps| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .unwrap();
            counted.set(counted.get() + runtime.block_on(run(steps)));
            Ok(())
        })
        .unwrap();
    let valid_checks = counted.get();
    assert!(valid_checks > 10_000, "only {valid_checks} checks of a valid lease");
}

/// A store whose renewals panic.
#[derive(Debug, Clone)]
struct PanickingStore(MemoryStore);

impl Store for PanickingStore {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.0.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        self.0.list(prefix).await
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        self.0.write(write).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.0.grant_lease(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        panic!("a renewal of lease {lease} that panics");
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.0.revoke_lease(lease).await
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<MemoryWatch, StoreError> {
        self.0.watch(prefix, after).await
    }
}

#[tokio::test(start_paused = true)]
async fn a_lease_whose_renewal_panicked_counts_as_ended() {
    let store = PanickingStore(MemoryStore::default());
    let keeper = LeaseKeeper::start(store, TTL).await.unwrap();
    timeout(TTL, keeper.ended()).await.expect("the end is told");
    sleep(TTL).await;
    assert!(!keeper.is_valid());
}
