use std::time::Duration;

use crate::event::FleetEvent;
use crate::plan::Plan;
use crate::tests::fixture::{Fixture, SMALL};

const SECOND: Duration = Duration::from_secs(1);
const SLOTS: u32 = 8;

fn size(fixture: &Fixture, pool: &str) -> usize {
    fixture.document.placements.values().filter(|placement| &*placement.pool == pool).count()
}

fn count(plan: &Plan, event: FleetEvent) -> usize {
    plan.decisions.iter().filter(|decision| decision.event == event).count()
}

#[test]
fn peak_takes_spare_instances_in_the_first_round() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.demand("s0", 11 * SLOTS);
    fixture.round();
    assert_eq!((size(&fixture, "s0"), size(&fixture, "spare")), (11, 1));
}

#[test]
fn demand_leaves_reserved_spare_instances_to_the_budgets() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.demand("s0", 40 * SLOTS);
    fixture.round();
    assert_eq!(size(&fixture, "spare"), 1);
    let floor = cassiafold_config::Floor::Count(10);
    fixture.config.services.get_mut("s1").expect("the service exists").floor = floor;
    fixture.round_after(SECOND);
    assert_eq!((size(&fixture, "s1"), size(&fixture, "spare")), (10, 0));
}

#[test]
fn donor_gives_instances_only_in_a_lasting_shortage_and_within_its_budget() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.demand("s0", 40 * SLOTS);
    let plan = fixture.round();
    assert_eq!(count(&plan, FleetEvent::MoveStarted), 0);
    let plan = fixture.round_after(2 * SECOND);
    let started = count(&plan, FleetEvent::MoveStarted);
    assert!(started > 0);
    for _ in 0..20 {
        fixture.round_after(SECOND);
    }
    let available = size(&fixture, "s1");
    assert!(available > 5, "{available} left with floor 5 and a reserve");
    assert!(available < 9);
}

#[test]
fn instance_changes_pool_only_after_its_requests_have_finished() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.demand("s0", 40 * SLOTS);
    for id in fixture.listed.keys() {
        fixture.observations.running.insert(id.clone(), 1);
    }
    fixture.round();
    fixture.round_after(2 * SECOND);
    fixture.round_after(10 * SECOND);
    assert_eq!(size(&fixture, "s0"), 11);
    fixture.observations.running.clear();
    fixture.round_after(SECOND);
    assert!(size(&fixture, "s0") > 11);
}

#[test]
fn borrowed_instance_returns_only_after_a_lasting_surplus() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.demand("s0", 11 * SLOTS);
    fixture.round();
    fixture.demand("s0", SLOTS);
    fixture.round_after(SECOND);
    fixture.round_after(59 * SECOND);
    assert_eq!(size(&fixture, "s0"), 11);
    for _ in 0..10 {
        fixture.round_after(5 * SECOND);
    }
    assert_eq!((size(&fixture, "s0"), size(&fixture, "spare")), (9, 3));
}

#[test]
fn repeated_peaks_keep_the_borrowed_instances() {
    let mut fixture = Fixture::new(&SMALL);
    let mut moves = 0;
    for _ in 0..20 {
        fixture.demand("s0", 11 * SLOTS);
        let plan = fixture.round_after(SECOND);
        moves += count(&plan, FleetEvent::InstanceAssigned);
        fixture.demand("s0", SLOTS);
        let plan = fixture.round_after(30 * SECOND);
        moves += count(&plan, FleetEvent::MoveStarted);
    }
    assert_eq!(moves, 2);
}

#[test]
fn zone_out_of_service_is_covered_by_spare_instances() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.demand("s0", 8 * SLOTS);
    fixture.config.zones.get_mut("z1").expect("the zone exists").out = true;
    fixture.round();
    let moved = fixture
        .document
        .placements
        .iter()
        .filter(|(_, placement)| placement.pool != placement.home);
    let zones: Vec<&str> = moved.map(|(id, _)| &*fixture.listed[id].zone).collect();
    assert_eq!(zones, ["z0", "z2"]);
}

#[test]
fn spare_instance_in_another_rack_is_preferred() {
    let mut fixture = Fixture::new(&SMALL);
    let racks: Vec<_> = fixture
        .listed
        .values()
        .filter(|instance| instance.id.starts_with("s0-"))
        .map(|instance| (instance.zone.clone(), instance.rack.clone()))
        .collect();
    for id in ["spare-0", "spare-1"] {
        let spare = fixture.listed.get_mut(id).expect("listed");
        (spare.zone, spare.rack) = racks[0].clone();
    }
    fixture.listed.get_mut("spare-2").expect("listed").rack = "r9".into();
    fixture.demand("s0", 10 * SLOTS);
    fixture.round();
    assert_eq!(&*fixture.placement("spare-2").pool, "s0");
}

#[test]
fn service_below_its_floor_uses_the_reserves_of_others_but_not_their_floors() {
    let mut fixture = Fixture::new(&SMALL);
    let floors = [("s0", 14), ("s1", 6)];
    for (id, count) in floors {
        let service = fixture.config.services.get_mut(id).expect("the service exists");
        service.floor = cassiafold_config::Floor::Count(count);
    }
    for _ in 0..20 {
        fixture.round_after(SECOND);
    }
    assert_eq!((size(&fixture, "s0"), size(&fixture, "s1"), size(&fixture, "spare")), (14, 7, 0));
    for _ in 0..20 {
        fixture.round_after(SECOND);
    }
    let service = fixture.config.services.get_mut("s0").expect("the service exists");
    service.floor = cassiafold_config::Floor::Count(20);
    for _ in 0..20 {
        fixture.round_after(SECOND);
    }
    assert_eq!((size(&fixture, "s0"), size(&fixture, "s1")), (15, 6));
}
