use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{ActiveConfig, Config};
use cassiafold_membership::roster::{HEARTBEAT_TIMEOUT, Heartbeat, Route};
use cassiafold_membership::{Identity, Roster, StoreContact, Usage};

use super::Isolation;

const KEYED_REQUESTS_MAX: Duration = Duration::from_secs(600);

struct Fixture {
    roster: Roster,
    contact: StoreContact,
    isolation: Isolation,
}

impl Fixture {
    fn start() -> Self {
        let roster = Roster::new(Identity {
            id: "a1".into(),
            zone: "a".into(),
            region: "north".into(),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: 1,
        });
        let fixture = Self {
            roster,
            contact: StoreContact::default(),
            isolation: Isolation::new(KEYED_REQUESTS_MAX),
        };
        let (contact, roster) = (fixture.contact.clone(), fixture.roster.clone());
        tokio::spawn(fixture.isolation.clone().run_updates(contact, roster, config()));
        fixture
    }

    /// Receives heartbeats from one entry instance in each of `zones` for `time`.
    async fn receive_heartbeats(&self, zones: &[&str], store_reachable: bool, time: Duration) {
        let heartbeats = time.as_secs() / HEARTBEAT_TIMEOUT.as_secs() * 2;
        for heartbeat in 0..heartbeats {
            for zone in zones {
                self.roster.record_heartbeat(
                    heard_peer(zone, heartbeat + 1, store_reachable),
                    Route::OtherZone,
                );
            }
            tokio::time::sleep(HEARTBEAT_TIMEOUT / 2).await;
        }
    }
}

fn heard_peer(zone: &str, sequence: u64, store_reachable: bool) -> Heartbeat {
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

const OUTAGE_DURATION: Duration = Duration::from_secs(1_200);

#[tokio::test(start_paused = true)]
async fn requests_with_a_key_are_rejected_after_the_bound_without_contact() {
    let fixture = Fixture::start();
    fixture.contact.record_response();
    tokio::time::sleep(KEYED_REQUESTS_MAX).await;
    assert!(!fixture.isolation.rejects_keyed_requests());
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert!(fixture.isolation.rejects_keyed_requests());
}

#[tokio::test(start_paused = true)]
async fn a_store_outage_alone_does_not_reject_requests() {
    let fixture = Fixture::start();
    fixture.receive_heartbeats(&["b", "c"], false, OUTAGE_DURATION).await;
    assert!(!fixture.isolation.rejects_keyed_requests());
}

#[tokio::test(start_paused = true)]
async fn two_isolated_zones_have_no_contact() {
    let fixture = Fixture::start();
    fixture.receive_heartbeats(&["b"], false, OUTAGE_DURATION).await;
    assert!(fixture.isolation.rejects_keyed_requests());
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_reaches_the_store_keeps_contact() {
    let fixture = Fixture::start();
    fixture.receive_heartbeats(&["b"], true, OUTAGE_DURATION).await;
    assert!(!fixture.isolation.rejects_keyed_requests());
}

#[tokio::test(start_paused = true)]
async fn requests_with_a_key_are_accepted_after_contact_returns() {
    let fixture = Fixture::start();
    tokio::time::sleep(OUTAGE_DURATION).await;
    assert!(fixture.isolation.rejects_keyed_requests());
    fixture.contact.record_response();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!fixture.isolation.rejects_keyed_requests());
}
