use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::raw::{CURRENT_KEY, RawConfig};
use cassiafold_config::{ActiveConfig, Config, Version};
use cassiafold_platform::{Compare, Store, Write};
use cassiafold_standin::MemoryStore;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::sleep;

use super::{ConfigSync, follow};
use crate::contact::StoreContact;
use crate::identity::Identity;
use crate::roster::Roster;

/// Longest allowed time until a configuration is in force while the store is reachable, as the
/// requirements state.
const IN_FORCE_MAX: Duration = Duration::from_secs(6);

fn document(version: Version) -> Vec<u8> {
    let text =
        format!("version: {version}\nzones: {{}}\npools: {{}}\nservices: {{}}\nteams: {{}}\n");
    let raw: RawConfig = serde_saphyr::from_str(&text).unwrap();
    serde_json::to_vec(&raw).unwrap()
}

async fn put(store: &MemoryStore, document: Vec<u8>) {
    let stored = store.get(CURRENT_KEY).await.unwrap();
    let compare = stored.map_or(Compare::Absent, |record| Compare::Revision(record.revision));
    store.write(Write::put(CURRENT_KEY, compare, document)).await.unwrap();
}

fn start(store: &MemoryStore) -> (ConfigSync, tokio::task::JoinHandle<()>) {
    let config_sync = ConfigSync::new(ActiveConfig::default());
    let me = Identity {
        id: "a1".into(),
        zone: "a".into(),
        region: "north".into(),
        address: "127.0.0.1:7000".parse().unwrap(),
        incarnation: 1,
    };
    let client = store.client("a1");
    let following = follow(client, config_sync.clone(), Roster::new(me), StoreContact::default());
    (config_sync, tokio::spawn(following))
}

#[derive(Debug, Clone)]
enum Action {
    Patch,
    Wait(u64),
    Restart,
    OlderFromPeer(u64),
    NewerFromPeer,
    Malformed,
    Outage(bool),
    StaleReads(bool),
    SilentWatches(bool),
    RollBack(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => Just(Action::Patch),
        6 => (1u64..8_000).prop_map(Action::Wait),
        1 => Just(Action::Restart),
        2 => (0u64..10).prop_map(Action::OlderFromPeer),
        2 => Just(Action::NewerFromPeer),
        1 => Just(Action::Malformed),
        3 => any::<bool>().prop_map(Action::Outage),
        3 => any::<bool>().prop_map(Action::StaleReads),
        3 => any::<bool>().prop_map(Action::SilentWatches),
        1 => (1u64..5).prop_map(Action::RollBack),
    ]
}

async fn run(actions: Vec<Action>) {
    let store = MemoryStore::default();
    let faults = store.faults();
    let operator = store.client("operator");
    let (mut config_sync, mut task) = start(&store);
    let (mut newest, mut lowest) = (0, 0);
    for action in actions {
        match action {
            Action::Patch => {
                faults.set_outage(false);
                faults.set_stale_reads(None);
                newest += 1;
                put(&operator, document(newest)).await;
            }
            Action::Wait(time_ms) => sleep(Duration::from_millis(time_ms)).await,
            Action::Restart => {
                task.abort();
                let held = config_sync.version();
                (config_sync, task) = start(&store);
                let _ = config_sync.offer(&document(held.max(1)), "peer");
                newest = newest.max(1);
            }
            Action::OlderFromPeer(age) => {
                let _ = config_sync.offer(&document(newest.saturating_sub(age).max(1)), "peer");
                newest = newest.max(1);
            }
            Action::NewerFromPeer => {
                newest += 1;
                let _ = config_sync.offer(&document(newest), "peer");
            }
            Action::Malformed => assert!(config_sync.offer(b"{\"version\": 99}", "peer").is_err()),
            Action::Outage(on) => faults.set_outage(on),
            Action::StaleReads(on) => faults.set_stale_reads(on.then(|| faults.revision())),
            Action::SilentWatches(on) => faults.set_silent_watches(on),
            Action::RollBack(age) => {
                faults.roll_back(faults.revision().saturating_sub(age));
            }
        }
        let version = config_sync.version();
        assert!(version >= lowest, "version went back from {lowest} to {version}");
        assert!(version <= newest);
        lowest = version;
    }
    faults.clear();
    faults.silence_open_watches();
    newest += 1;
    put(&operator, document(newest)).await;
    sleep(IN_FORCE_MAX).await;
    assert_eq!(config_sync.version(), newest);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_configuration_never_reverts(actions in prop::collection::vec(action(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run(actions));
    }
}

#[tokio::test(start_paused = true)]
async fn stale_version_is_rejected_and_counted() {
    let config_sync = ConfigSync::new(ActiveConfig::default());
    config_sync.offer(&document(5), "peer").unwrap();
    config_sync.offer(&document(4), "peer").unwrap();
    config_sync.offer(&document(5), "peer").unwrap();
    assert!(config_sync.offer(b"[]", "peer").is_err());
    let counts = config_sync.counts();
    assert_eq!((counts.adopted, counts.stale, counts.malformed), (1, 1, 1));
    assert_eq!(config_sync.version(), 5);
    assert!(config_sync.document(5).is_none());
    let (version, json) = config_sync.document(4).unwrap();
    let config = Config::try_from(serde_json::from_slice::<RawConfig>(&json).unwrap()).unwrap();
    assert_eq!((version, Arc::new(config).version), (5, 5));
}
