use std::sync::Arc;
use std::time::Duration;

use tokio::time::advance;

use super::{HEARTBEAT_TIMEOUT, Heartbeat, Roster, Route};
use crate::identity::Identity;
use crate::relay::Target;

fn identity(id: &str, zone: &str, incarnation: u64) -> Identity {
    Identity {
        id: id.into(),
        zone: zone.into(),
        region: "north".into(),
        address: "127.0.0.1:7000".parse().unwrap(),
        incarnation,
    }
}

fn heartbeat(id: &str, zone: &str, incarnation: u64, sequence: u64, version: u64) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        zone: zone.into(),
        incarnation,
        sequence,
        config_version: version,
        ready: true,
        usage: Arc::default(),
    }
}

fn live(roster: &Roster) -> Vec<String> {
    roster.live(None).iter().map(|entry| entry.id.to_string()).collect()
}

#[tokio::test(start_paused = true)]
async fn entry_without_heartbeats_is_not_live_until_the_next_one() {
    let roster = Roster::new(identity("a1", "a", 1));
    roster.record_heartbeat(heartbeat("a2", "a", 5, 1, 1), Route::SameZone);
    assert_eq!(live(&roster), ["a1", "a2"]);
    advance(HEARTBEAT_TIMEOUT).await;
    assert_eq!(live(&roster), ["a1"]);
    assert_eq!(roster.confirmations().list.len(), 1, "neither registered nor live");
    roster.set_registered(&[identity("a2", "a", 5)]);
    let confirmation = roster.confirmations().list[1].clone();
    assert_eq!((confirmation.version, confirmation.ready), (1, None));
    assert_eq!(confirmation.age, HEARTBEAT_TIMEOUT);
    roster.record_heartbeat(heartbeat("a2", "a", 5, 2, 1), Route::SameZone);
    assert_eq!(live(&roster), ["a1", "a2"]);
}

#[tokio::test(start_paused = true)]
async fn late_heartbeats_of_a_previous_run_are_ignored() {
    let roster = Roster::new(identity("a1", "a", 1));
    roster.record_heartbeat(heartbeat("a2", "a", 6, 1, 9), Route::SameZone);
    roster.record_heartbeat(heartbeat("a2", "a", 5, 100, 2), Route::Relayed);
    roster.record_heartbeat(heartbeat("a2", "a", 6, 1, 3), Route::Relayed);
    assert_eq!(roster.confirmations().list[1].version, 9);
}

#[tokio::test(start_paused = true)]
async fn only_a_later_run_of_a_departed_entry_is_live() {
    let roster = Roster::new(identity("a1", "a", 1));
    roster.record_heartbeat(heartbeat("a2", "a", 5, 1, 1), Route::SameZone);
    roster.record_leave(&"a2".into(), 5);
    roster.record_heartbeat(heartbeat("a2", "a", 5, 2, 1), Route::Relayed);
    roster.record_identity(&identity("a2", "a", 5));
    assert_eq!(live(&roster), ["a1"]);
    assert_eq!(roster.known_entries().len(), 1);
    roster.record_heartbeat(heartbeat("a2", "a", 6, 1, 1), Route::SameZone);
    assert_eq!(live(&roster), ["a1", "a2"]);
}

#[tokio::test(start_paused = true)]
async fn reports_are_relayed_between_zones_without_loops() {
    let roster = Roster::new(identity("a1", "a", 1));
    roster.record_heartbeat(heartbeat("a2", "a", 1, 1, 1), Route::SameZone);
    roster.record_heartbeat(heartbeat("b1", "b", 1, 1, 1), Route::OtherZone);
    roster.record_heartbeat(heartbeat("c1", "c", 1, 1, 1), Route::Relayed);
    let ids = |target: Target| {
        let outgoing = roster.outgoing(&target);
        outgoing.iter().map(|heartbeat| heartbeat.id.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(ids(Target::Entry("a2".into())), ["a1", "b1"]);
    assert_eq!(ids(Target::Zone("b".into())), ["a1", "a2"]);
}

#[tokio::test(start_paused = true)]
async fn higher_version_notifies_once() {
    let roster = Roster::new(identity("a1", "a", 1));
    let mut changes = roster.changes();
    roster.record_heartbeat(heartbeat("a2", "a", 5, 1, 3), Route::SameZone);
    assert!(changes.has_changed().unwrap());
    changes.mark_unchanged();
    roster.record_heartbeat(heartbeat("a2", "a", 5, 2, 3), Route::SameZone);
    roster.record_heartbeat(heartbeat("b1", "b", 5, 2, 3), Route::Relayed);
    assert!(!changes.has_changed().unwrap());
    roster.advance_heartbeat(Arc::default(), 3, true);
    assert!(changes.has_changed().unwrap(), "peers get a report with the version in force");
    advance(Duration::from_secs(1)).await;
}
