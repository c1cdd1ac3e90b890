use std::time::Duration;

use cassiafold_platform::{
    Compare, Store, StoreError, VALUE_BYTES_MAX, Watch, Write, WriteOutcome,
};
use tokio::time::{Instant, advance, timeout};

use super::{Partition, WriteFault};
use crate::MemoryStore;

const WAIT: Duration = Duration::from_secs(3600);
const DELAY: Duration = Duration::from_secs(5);

async fn put(store: &MemoryStore, key: &str, compare: Compare) -> Result<WriteOutcome, StoreError> {
    store.write(Write::put(key, compare, "value")).await
}

async fn exists(store: &MemoryStore, key: &str) -> bool {
    store.get(key).await.unwrap().is_some()
}

macro_rules! write_faults {
    ($($name:ident: $fault:expr, after $delay:expr => applied: $applied:expr;)+) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let store = MemoryStore::default();
            store.faults().fail_writes(1, $fault);
            let outcome = put(&store, "a", Compare::Absent).await;
            assert!(matches!(outcome, Err(StoreError::OutcomeUnknown(_))), "{outcome:?}");
            tokio::time::sleep($delay).await;
            assert_eq!(exists(&store, "a").await, $applied);
            let next = put(&store, "b", Compare::Absent).await;
            assert!(matches!(next, Ok(WriteOutcome::Written(_))), "{next:?}");
        }
    )+};
}

write_faults! {
    a_lost_response_takes_effect: WriteFault::LostAnswer, after Duration::ZERO => applied: true;
    a_lost_request_has_no_effect: WriteFault::LostRequest, after WAIT => applied: false;
    a_late_write_has_no_effect_yet: WriteFault::Late(DELAY), after DELAY / 2 => applied: false;
    a_late_write_takes_effect_later: WriteFault::Late(DELAY), after DELAY * 2 => applied: true;
}

#[tokio::test(start_paused = true)]
async fn every_third_write_fails() {
    let store = MemoryStore::default();
    store.faults().fail_every(3, WriteFault::LostRequest);
    let mut failed = Vec::new();
    for index in 1..=7 {
        failed.push(put(&store, &format!("{index}"), Compare::Absent).await.is_err());
    }
    assert_eq!(failed, [false, false, true, false, false, true, false]);
}

#[tokio::test(start_paused = true)]
async fn an_outage_fails_calls_and_ends_watches() {
    let store = MemoryStore::default();
    let mut watch = store.watch("", 0).await.unwrap();
    store.faults().set_outage(true);
    assert!(matches!(watch.next().await, Err(StoreError::Unavailable(_))));
    assert!(matches!(store.get("a").await, Err(StoreError::Unavailable(_))));
    assert!(matches!(put(&store, "a", Compare::Absent).await, Err(StoreError::Unavailable(_))));
    assert!(matches!(store.watch("", 0).await, Err(StoreError::Unavailable(_))));
    store.faults().set_outage(false);
    assert!(!exists(&store, "a").await);
    assert!(matches!(watch.next().await, Err(StoreError::Unavailable(_))));
}

#[tokio::test(start_paused = true)]
async fn a_call_with_a_delay_within_the_timeout_succeeds() {
    let store = MemoryStore::default();
    store.faults().set_delay(Duration::from_millis(400));
    let before = Instant::now();
    assert_eq!(put(&store, "a", Compare::Absent).await, Ok(WriteOutcome::Written(1)));
    assert_eq!(before.elapsed(), Duration::from_millis(400));
}

#[tokio::test(start_paused = true)]
async fn a_delay_beyond_the_timeout_loses_the_response() {
    let store = MemoryStore::default();
    store.faults().set_delay(Duration::from_millis(1500));
    let before = Instant::now();
    let outcome = put(&store, "a", Compare::Absent).await;
    assert!(matches!(outcome, Err(StoreError::OutcomeUnknown(_))));
    assert_eq!(before.elapsed(), Duration::from_secs(1));
    store.faults().clear();
    assert!(exists(&store, "a").await);
}

#[tokio::test(start_paused = true)]
async fn stale_reads_return_an_older_revision() {
    let store = MemoryStore::default();
    put(&store, "a", Compare::Absent).await.unwrap();
    put(&store, "b", Compare::Absent).await.unwrap();
    store.faults().set_stale_reads(Some(1));
    let snapshot = store.list("").await.unwrap();
    assert_eq!((snapshot.revision, snapshot.records.len()), (1, 1));
    assert!(!exists(&store, "b").await);
    assert_eq!(put(&store, "b", Compare::Absent).await, Ok(WriteOutcome::Conflict));
}

#[tokio::test(start_paused = true)]
async fn silent_watches_stay_open_and_catch_up() {
    let store = MemoryStore::default();
    let mut watch = store.watch("", 0).await.unwrap();
    store.faults().set_silent_watches(true);
    put(&store, "a", Compare::Absent).await.unwrap();
    assert!(timeout(WAIT, watch.next()).await.is_err());
    store.faults().set_silent_watches(false);
    assert_eq!(watch.next().await.unwrap().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn silenced_watches_do_not_affect_new_ones() {
    let store = MemoryStore::default();
    let mut silent = store.watch("", 0).await.unwrap();
    store.faults().silence_open_watches();
    put(&store, "a", Compare::Absent).await.unwrap();
    assert!(timeout(WAIT, silent.next()).await.is_err());
    assert_eq!(store.watch("", 0).await.unwrap().next().await.unwrap().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn compaction_rejects_only_older_watch_revisions() {
    let store = MemoryStore::default();
    put(&store, "a", Compare::Absent).await.unwrap();
    put(&store, "b", Compare::Absent).await.unwrap();
    store.faults().compact();
    assert_eq!(store.watch("", 1).await.err(), Some(StoreError::Compacted));
    let mut watch = store.watch("", 2).await.unwrap();
    put(&store, "c", Compare::Absent).await.unwrap();
    assert_eq!(&*watch.next().await.unwrap()[0].key, "c");
}

#[tokio::test(start_paused = true)]
async fn the_history_is_bounded() {
    let store = MemoryStore::default();
    store.faults().limit_history(2);
    for key in ["a", "b", "c"] {
        put(&store, key, Compare::Absent).await.unwrap();
    }
    assert_eq!(store.watch("", 0).await.err(), Some(StoreError::Compacted));
    assert!(store.watch("", 1).await.is_ok());
    assert!(!store.faults().roll_back(0));
}

#[tokio::test(start_paused = true)]
async fn a_rollback_restores_values_and_revision() {
    let store = MemoryStore::default();
    put(&store, "a", Compare::Absent).await.unwrap();
    put(&store, "a", Compare::Revision(1)).await.unwrap();
    put(&store, "b", Compare::Absent).await.unwrap();
    let mut watch = store.watch("", 3).await.unwrap();
    assert!(store.faults().roll_back(1));
    assert!(matches!(watch.next().await, Err(StoreError::Unavailable(_))));
    assert_eq!(store.watch("", 3).await.err(), Some(StoreError::Compacted));
    let snapshot = store.list("").await.unwrap();
    assert_eq!((snapshot.revision, snapshot.records.len()), (1, 1));
    assert_eq!(put(&store, "a", Compare::Revision(1)).await, Ok(WriteOutcome::Written(2)));
}

macro_rules! partitions {
    ($($name:ident: $partition:expr => applied: $applied:expr;)+) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let store = MemoryStore::default();
            let (near, far) = (store.client("near"), store.client("far"));
            let mut watch = far.watch("", 0).await.unwrap();
            store.faults().cut_off("far", $partition);
            let outcome = put(&far, "a", Compare::Absent).await;
            assert!(matches!(outcome, Err(StoreError::OutcomeUnknown(_))), "{outcome:?}");
            assert!(matches!(far.get("a").await, Err(StoreError::Unavailable(_))));
            assert_eq!(exists(&near, "a").await, $applied);
            put(&near, "b", Compare::Absent).await.unwrap();
            assert!(timeout(WAIT, watch.next()).await.is_err());
            store.faults().reconnect("far");
            assert_eq!(watch.next().await.unwrap().len(), 1 + usize::from($applied));
        }
    )+};
}

partitions! {
    writes_with_lost_requests_of_one_client_have_no_effect: Partition::Requests => applied: false;
    writes_with_lost_responses_of_one_client_take_effect: Partition::Answers => applied: true;
}

#[tokio::test(start_paused = true)]
async fn leases_expire_during_an_outage() {
    let store = MemoryStore::default();
    let lease = store.grant_lease(Duration::from_secs(5)).await.unwrap();
    store.faults().set_outage(true);
    advance(Duration::from_secs(5)).await;
    store.faults().set_outage(false);
    assert_eq!(store.keep_alive(lease).await, Err(StoreError::LeaseExpired));
}

#[tokio::test(start_paused = true)]
async fn values_above_the_size_limit_are_rejected() {
    let store = MemoryStore::default();
    let largest = vec![0; VALUE_BYTES_MAX];
    let larger = vec![0; VALUE_BYTES_MAX + 1];
    let refused = store.write(Write::put("a", Compare::Absent, larger)).await;
    assert!(matches!(refused, Err(StoreError::Unavailable(_))));
    assert!(store.write(Write::put("a", Compare::Absent, largest)).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn calls_are_counted_per_client_and_each_watch_once() {
    let store = MemoryStore::default();
    let one = store.client("one");
    let mut watch = one.watch("", 0).await.unwrap();
    for key in ["a", "b"] {
        put(&store, key, Compare::Absent).await.unwrap();
        watch.next().await.unwrap();
    }
    one.get("a").await.unwrap();
    let counts = store.faults().counts("one");
    assert_eq!((counts.watches, counts.gets, counts.total()), (1, 1, 2));
    assert_eq!(store.faults().total_counts().writes, 2);
}
