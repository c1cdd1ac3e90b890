use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{ActiveConfig, Config};
use cassiafold_membership::roster::{HEARTBEAT_TIMEOUT, Heartbeat, Route};
use cassiafold_membership::{Identity, Roster, StoreContact, Usage};

use super::Isolation;

const KEYS_MAX: Duration = Duration::from_secs(600);

struct Bench {
    roster: Roster,
    contact: StoreContact,
    isolation: Isolation,
}

impl Bench {
    fn start() -> Self {
        let roster = Roster::new(Identity {
            id: "a1".into(),
            zone: "a".into(),
            region: "north".into(),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: 1,
        });
        let bench =
            Self { roster, contact: StoreContact::default(), isolation: Isolation::new(KEYS_MAX) };
        let (contact, roster) = (bench.contact.clone(), bench.roster.clone());
        tokio::spawn(bench.isolation.clone().follow(contact, roster, config()));
        bench
    }

    /// Hears an entry instance of each of `zones` for a time, then nobody.
    async fn hear(&self, zones: &[&str], store_reachable: bool, time: Duration) {
        let beats = time.as_secs() / HEARTBEAT_TIMEOUT.as_secs() * 2;
        for heartbeat in 0..beats {
            for zone in zones {
                self.roster.record_heartbeat(
                    heard(zone, heartbeat + 1, store_reachable),
                    Route::OtherZone,
                );
            }
            tokio::time::sleep(HEARTBEAT_TIMEOUT / 2).await;
        }
    }
}

fn heard(zone: &str, sequence: u64, store_reachable: bool) -> Heartbeat {
    Heartbeat {
        id: format!("{zone}1").into(),
        zone: zone.into(),
        incarnation: 1,
        sequence,
        config_version: 1,
        ready: true,
        usage: Arc::new(Usage { store_reachable, ..Usage::default() }),
    }
}

fn config() -> ActiveConfig {
    let raw: RawConfig = serde_json::from_value(serde_json::json!({
        "version": 1,
        "zones": {"a": {"region": "n"}, "b": {"region": "n"}, "c": {"region": "n"}},
        "services": {}, "pools": {}, "teams": {},
    }))
    .unwrap();
    let active = ActiveConfig::default();
    active.offer(Arc::new(Config::try_from(raw).unwrap()));
    active
}

const LONG: Duration = Duration::from_secs(1_200);

#[tokio::test(start_paused = true)]
async fn an_entry_instance_that_hears_nobody_stops_keyed_work_after_the_bound() {
    let bench = Bench::start();
    bench.contact.record_response();
    tokio::time::sleep(KEYS_MAX).await;
    assert!(!bench.isolation.forbids_keys());
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert!(bench.isolation.forbids_keys());
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_the_store_alone_stops_nothing() {
    let bench = Bench::start();
    bench.hear(&["b", "c"], false, LONG).await;
    assert!(!bench.isolation.forbids_keys());
}

#[tokio::test(start_paused = true)]
async fn two_zones_cut_off_together_do_not_count_as_in_touch() {
    let bench = Bench::start();
    bench.hear(&["b"], false, LONG).await;
    assert!(bench.isolation.forbids_keys());
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_reaches_the_store_keeps_one_in_touch() {
    let bench = Bench::start();
    bench.hear(&["b"], true, LONG).await;
    assert!(!bench.isolation.forbids_keys());
}

#[tokio::test(start_paused = true)]
async fn keyed_work_goes_on_after_the_return() {
    let bench = Bench::start();
    tokio::time::sleep(LONG).await;
    assert!(bench.isolation.forbids_keys());
    bench.contact.record_response();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!bench.isolation.forbids_keys());
}
