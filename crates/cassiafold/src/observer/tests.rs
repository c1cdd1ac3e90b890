use std::sync::Arc;
use std::time::Duration;

use cassiafold_fleet::{FleetHandle, Symptom};
use cassiafold_membership::roster::{HEARD_MAX, Heard, Route};
use cassiafold_membership::usage::Symptom as ReportedSymptom;
use cassiafold_membership::{Identity, QueueId, Roster, TeamUsage, Usage};
use cassiafold_platform::ListedInstance;
use cassiafold_standin::MemoryInstances;

use super::Observer;
use crate::instances::InstanceView;

fn roster() -> Roster {
    Roster::new(Identity {
        id: "a1".into(),
        zone: "a".into(),
        region: "north".into(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
    })
}

fn receive_usage(roster: &Roster, id: &str, zone: &str, usage: Usage) {
    let heard_peer = Heard {
        id: id.into(),
        zone: zone.into(),
        incarnation: 1,
        heartbeat: 1,
        config_version: 1,
        ready: true,
        usage: Arc::new(usage),
    };
    roster.hear(heard_peer, Route::OtherZone);
}

fn usage(fleet_number: u64) -> Usage {
    Usage { fleet_number, ..Usage::default() }
}

fn usage_with_symptom(symptom: ReportedSymptom) -> Usage {
    Usage { symptoms: [("portal-1".into(), symptom)].into(), ..Usage::default() }
}

async fn observer(roster: &Roster) -> Observer {
    let (list, view) = (MemoryInstances::default(), InstanceView::default());
    list.put(ListedInstance {
        id: "portal-1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "b".into(),
        rack: "b-1".into(),
        state: cassiafold_config::InstanceState::Live,
    });
    let updated_view = view.clone();
    tokio::spawn(async move { updated_view.run_updates(list, FleetHandle::default()).await });
    tokio::time::sleep(Duration::from_millis(1)).await;
    Observer::new(roster.clone(), view)
}

#[tokio::test(start_paused = true)]
async fn the_lowest_reported_document_number_is_confirmed() {
    let roster = roster();
    roster.beat(Arc::new(usage(7)), 1, true);
    receive_usage(&roster, "b1", "b", usage(5));
    assert_eq!(observer(&roster).await.observe().confirmed, 5);
}

#[tokio::test(start_paused = true)]
async fn requests_on_a_draining_instance_are_summed_over_all_zones() {
    let roster = roster();
    let draining = |count| Usage {
        instances: [("portal-1".into(), count)].into(),
        draining: [("portal-1".into(), count)].into(),
        ..Usage::default()
    };
    roster.beat(Arc::new(draining(2)), 1, true);
    receive_usage(&roster, "b1", "b", draining(3));
    assert_eq!(observer(&roster).await.observe().running(&"portal-1".into()), 5);
}

#[tokio::test(start_paused = true)]
async fn demand_is_summed_by_service() {
    let roster = roster();
    let queue = QueueId { service: "portal".into(), team: "parishes".into() };
    let usage_with_demand = |running, waiting| Usage {
        queues: [(queue.clone(), TeamUsage { running, waiting })].into(),
        ..Usage::default()
    };
    roster.beat(Arc::new(usage_with_demand(1, 10)), 1, true);
    receive_usage(&roster, "b1", "b", usage_with_demand(2, 20));
    let demand = observer(&roster).await.observe().demand["portal"];
    assert_eq!((demand.running, demand.waiting), (3, 30));
}

#[tokio::test(start_paused = true)]
async fn a_partition_between_zones_causes_no_symptom() {
    let roster = roster();
    roster.beat(Arc::new(usage_with_symptom(ReportedSymptom::Unreachable)), 1, true);
    receive_usage(&roster, "b1", "b", Usage::default());
    assert!(observer(&roster).await.observe().symptoms.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_symptom_reported_from_the_same_zone_counts() {
    let roster = roster();
    receive_usage(&roster, "b1", "b", usage_with_symptom(ReportedSymptom::Hanging));
    let symptoms = observer(&roster).await.observe().symptoms;
    assert_eq!(symptoms.get("portal-1"), Some(&Symptom::Hanging));
}

#[tokio::test(start_paused = true)]
async fn a_zone_without_recent_reports_is_unconfirmed() {
    let roster = roster();
    receive_usage(&roster, "b1", "b", Usage::default());
    let observer = observer(&roster).await;
    assert!(observer.observe().unconfirmed_zones.is_empty());
    tokio::time::sleep(HEARD_MAX).await;
    assert!(observer.observe().unconfirmed_zones.contains("b"));
}
