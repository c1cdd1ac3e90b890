//! Tests of entry instances that communicate over TCP on loopback.

#![allow(clippy::unwrap_used)]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_config::raw::{CURRENT_KEY, RawConfig};
use cassiafold_config::{ActiveConfig, TeamId, Version};
use cassiafold_membership::{
    EscrowSettings, Identity, Membership, MembershipSettings, PeersSettings, QueueId, TeamUsage,
    Usage, UsageSource,
};
use cassiafold_platform::{Compare, Store, Write};
use cassiafold_standin::MemoryStore;
use cassiafold_standin::faults::Partition;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Longest wait for an expected state, far above the time that it takes.
const WAIT_MAX: Duration = Duration::from_secs(20);
const ZONES: [&str; 7] = ["a", "a", "b", "b", "c", "c", "d"];

#[derive(Debug, Clone, Default)]
struct FixedUsage(Arc<Mutex<Usage>>);

impl UsageSource for FixedUsage {
    fn usage(&self) -> Usage {
        self.0.lock().unwrap().clone()
    }
}

struct Entry {
    membership: Membership,
    config: ActiveConfig,
    usage: FixedUsage,
    address: SocketAddr,
}

async fn start(store: &MemoryStore, id: &str, zone: &str, seeds: Vec<SocketAddr>) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let identity = Identity {
        id: id.into(),
        zone: zone.into(),
        region: "north".into(),
        address,
        incarnation: 1,
    };
    let report_interval = Duration::from_millis(100);
    let peers = PeersSettings { report_interval, seeds, ..PeersSettings::default() };
    let interval = Duration::from_millis(200);
    let escrow = EscrowSettings { interval, ..EscrowSettings::default() };
    let lease_ttl = Duration::from_secs(3);
    let settings = MembershipSettings { identity, lease_ttl, escrow, peers };
    let (config, usage) = (ActiveConfig::default(), FixedUsage::default());
    let (store, membership_config) = (store.client(id), config.clone());
    let membership =
        Membership::start(settings, listener, store, membership_config, usage.clone()).unwrap();
    membership.set_ready(true);
    Entry { membership, config, usage, address }
}

async fn fleet(store: &MemoryStore) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        entries.push(start(store, &format!("entry-{index}"), zone, Vec::new()).await);
    }
    let all = || entries.iter().all(|entry| entry.membership.live(None).len() == ZONES.len());
    eventually("all know each other", async || all()).await;
    entries
}

async fn eventually(expectation: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + WAIT_MAX;
    while !condition().await {
        assert!(Instant::now() < end, "timed out: {expectation}");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn put_config(store: &MemoryStore, version: Version) {
    let text = format!(
        "version: {version}\nzones: {{}}\npools: {{}}\nservices: {{}}\n\
         teams:\n  parishes: {{share: 1, upper_limit: 14}}\n"
    );
    let raw: RawConfig = serde_saphyr::from_str(&text).unwrap();
    let stored = store.get(CURRENT_KEY).await.unwrap();
    let compare = stored.map_or(Compare::Absent, |record| Compare::Revision(record.revision));
    let document = serde_json::to_vec(&raw).unwrap();
    store.write(Write::put(CURRENT_KEY, compare, document)).await.unwrap();
}

async fn wait_until_in_force(entries: &[Entry], version: Version) {
    let all = || entries.iter().all(|entry| entry.config.version() == version);
    eventually("the version is in force everywhere", async || all()).await;
}

async fn close(entries: Vec<Entry>) {
    let closing = entries.into_iter().map(|entry| entry.membership.close());
    futures_util::future::join_all(closing).await;
}

/// Runs a test on a multi-threaded runtime.
fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(test);
}

#[test]
fn entry_without_the_store_receives_configurations_from_peers() {
    run(async {
        let store = MemoryStore::default();
        put_config(&store, 1).await;
        let entries = fleet(&store).await;
        wait_until_in_force(&entries, 1).await;
        for cut_off in [1, 6] {
            store.faults().cut_off(format!("entry-{cut_off}"), Partition::Requests);
        }
        for version in 2..6 {
            put_config(&store, version).await;
            wait_until_in_force(&entries, version).await;
        }
        for entry in &entries {
            let confirmed = || entry.membership.confirmations().missing(5).count() == 0;
            eventually("all confirmations are received", async || confirmed()).await;
        }
        assert_eq!(entries[0].membership.confirmations().list.len(), ZONES.len());
        close(entries).await;
    });
}

#[test]
fn new_entry_gets_its_configuration_from_a_peer_during_a_store_outage() {
    run(async {
        let store = MemoryStore::default();
        put_config(&store, 7).await;
        let entries = fleet(&store).await;
        wait_until_in_force(&entries, 7).await;
        store.faults().set_outage(true);
        let new = start(&store, "new", "b", vec![entries[0].address]).await;
        assert_eq!(new.config.version(), 0, "has no configuration before a peer sends one");
        eventually("the new entry has a configuration", async || new.config.version() == 7).await;
        let known = || new.membership.live(None).len() == ZONES.len() + 1;
        eventually("the new entry knows all others", async || known()).await;
        let known_to_all = || {
            let lists = entries.iter().map(|entry| entry.membership.live(None));
            lists.into_iter().all(|list| list.iter().any(|live| &*live.id == "new"))
        };
        eventually("all know the new entry", async || known_to_all()).await;
        new.membership.close().await;
        close(entries).await;
    });
}

#[test]
fn usage_reaches_every_entry_and_a_departed_one_is_removed() {
    run(async {
        let store = MemoryStore::default();
        put_config(&store, 1).await;
        let mut entries = fleet(&store).await;
        let queue = QueueId { service: "portal".into(), team: "parishes".into() };
        for entry in &entries {
            let usage = TeamUsage { running: 1, waiting: 2 };
            entry.usage.0.lock().unwrap().queues.insert(queue.clone(), usage);
        }
        let (none, service) = (Usage::default(), queue.service.clone());
        let target = |entry: &Entry| {
            let weights = entry.membership.shares().weights(&service, 100, &none);
            weights.first().map_or(0.0, |weight| weight.target)
        };
        let shared = || entries.iter().all(|entry| target(entry) == 14.0);
        eventually("all know the usage of all", async || shared()).await;
        let last = entries.pop().unwrap();
        last.membership.close().await;
        let removed = || entries.iter().all(|entry| entry.membership.live(None).len() == 6);
        eventually("the departed entry is removed", async || removed()).await;
        assert_eq!(entries[0].membership.confirmations().list.len(), 6);
        close(entries).await;
    });
}

#[test]
fn slices_and_control_role_move_when_an_entry_leaves() {
    run(async {
        let store = MemoryStore::default();
        put_config(&store, 1).await;
        let mut entries = fleet(&store).await;
        let team: TeamId = "parishes".into();
        let usable = |entries: &[Entry]| -> u32 {
            entries.iter().map(|entry| entry.membership.escrow().usable(&team)).sum()
        };
        eventually("the whole limit is assigned", async || usable(&entries) == 14).await;
        let holder = |entries: &[Entry]| {
            entries.iter().position(|entry| entry.membership.control().held().is_some())
        };
        eventually("one entry holds the control role", async || holder(&entries).is_some()).await;
        let leaving = entries.swap_remove(holder(&entries).unwrap());
        leaving.membership.close().await;
        let queue = QueueId { service: "portal".into(), team: team.clone() };
        let usage = TeamUsage { running: 0, waiting: 50 };
        entries[0].usage.0.lock().unwrap().queues.insert(queue, usage);
        let all = || entries[0].membership.escrow().usable(&team) == 14;
        eventually("the whole limit moves to the demand", async || all()).await;
        eventually("another entry holds the control role", async || holder(&entries).is_some())
            .await;
        close(entries).await;
    });
}
