use std::time::Duration;

use cassiafold_platform::Store;
use cassiafold_standin::MemoryStore;
use cassiafold_standin::faults::{Partition, WriteFault};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{ENTRIES_PREFIX, follow, register};
use crate::contact::StoreContact;
use crate::identity::Identity;
use crate::roster::Roster;

const TTL: Duration = Duration::from_secs(10);

fn identity(id: &str, incarnation: u64) -> Identity {
    Identity {
        id: id.into(),
        zone: "a".into(),
        region: "north".into(),
        address: "127.0.0.1:7000".parse().unwrap(),
        incarnation,
    }
}

fn start(store: &MemoryStore, me: Identity) -> (CancellationToken, JoinHandle<()>) {
    let stop = CancellationToken::new();
    let client = store.client(&*me.id);
    let task = register(client, me, TTL, stop.clone(), StoreContact::default());
    (stop, tokio::spawn(task))
}

async fn count(store: &MemoryStore) -> usize {
    store.list(ENTRIES_PREFIX).await.unwrap().records.len()
}

#[tokio::test(start_paused = true)]
async fn registration_is_deleted_when_its_entry_stops() {
    let store = MemoryStore::default();
    let roster = Roster::new(identity("a1", 1));
    tokio::spawn(follow(store.client("a1"), roster.clone(), StoreContact::default()));
    let (stop, task) = start(&store, identity("a2", 1));
    sleep(3 * TTL).await;
    assert_eq!((count(&store).await, roster.known_entries().len()), (1, 2));
    stop.cancel();
    task.await.unwrap();
    assert_eq!(count(&store).await, 0);
}

#[tokio::test(start_paused = true)]
async fn expired_registration_is_created_again() {
    let store = MemoryStore::default();
    let (_stop, _task) = start(&store, identity("a2", 1));
    sleep(TTL).await;
    store.faults().cut_off("a2", Partition::Requests);
    sleep(2 * TTL).await;
    assert_eq!(count(&store).await, 0);
    store.faults().reconnect("a2");
    sleep(TTL).await;
    assert_eq!(count(&store).await, 1);
}

#[tokio::test(start_paused = true)]
async fn registration_with_unknown_outcome_is_resolved() {
    for fault in [WriteFault::LostAnswer, WriteFault::LostRequest] {
        let store = MemoryStore::default();
        store.faults().fail_writes(1, fault);
        let (_stop, _task) = start(&store, identity("a2", 1));
        sleep(TTL).await;
        assert_eq!(count(&store).await, 1);
        assert!(store.faults().counts("a2").writes <= 2);
    }
}

#[tokio::test(start_paused = true)]
async fn older_run_does_not_replace_a_newer_registration() {
    let store = MemoryStore::default();
    let (_newer, _task) = start(&store, identity("a2", 2));
    sleep(TTL).await;
    let before = store.list(ENTRIES_PREFIX).await.unwrap().records;
    let (_older, _other) = start(&store, identity("a2", 1));
    sleep(2 * TTL).await;
    assert_eq!(store.list(ENTRIES_PREFIX).await.unwrap().records, before);
}

#[tokio::test(start_paused = true)]
async fn failed_watch_does_not_count_as_a_response() {
    let store = MemoryStore::default();
    let contact = StoreContact::default();
    tokio::spawn(follow(store.client("a1"), Roster::new(identity("a1", 1)), contact.clone()));
    sleep(TTL / 2).await;
    let before = contact.age().unwrap();
    store.faults().set_outage(true);
    sleep(TTL / 2).await;
    assert!(before > Duration::ZERO);
    assert!(contact.age().unwrap() >= before + TTL / 2);
}
