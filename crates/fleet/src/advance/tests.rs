use std::time::Duration;

use crate::document::{Phase, StepKind, Symptom};
use crate::event::FleetEvent;
use crate::plan::Plan;
use crate::tests::fixture::{Fixture, SMALL};

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

fn events(plan: &Plan) -> Vec<FleetEvent> {
    plan.decisions.iter().map(|decision| decision.event).collect()
}

/// A fleet with one instance under maintenance, in its drain.
fn draining() -> (Fixture, std::sync::Arc<str>) {
    let mut fixture = Fixture::with_wave(&SMALL);
    fixture.round();
    let id = fixture.maintaining().first().cloned().expect("maintenance has started");
    fixture.observations.running.insert(id.clone(), 3);
    fixture.config.waves.get_mut("w").expect("the wave exists").paused = true;
    (fixture, id)
}

fn phase(fixture: &Fixture, id: &str) -> Option<Phase> {
    fixture.step(id).map(|step| step.phase)
}

#[test]
fn maintenance_drains_reboots_tries_and_returns() {
    let (mut fixture, id) = draining();
    fixture.after(MINUTE);
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
    fixture.observations.running.clear();
    fixture.after(SECOND);
    assert_eq!(phase(&fixture, &id), Some(Phase::Rebooting));
    fixture.after(SECOND);
    assert_eq!(phase(&fixture, &id), Some(Phase::Rebooting));
    fixture.answer_all();
    fixture.after(SECOND);
    assert_eq!(phase(&fixture, &id), Some(Phase::Trying));
    fixture.answer_all();
    fixture.after(SECOND);
    let placement = fixture.placement(&id);
    assert_eq!((placement.step.clone(), placement.maintained_at), (None, Some(fixture.now)));
}

#[test]
fn drain_waits_until_every_entry_has_acted_on_it() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    let number = fixture.step(&id).expect("a step is in progress").document_number;
    fixture.now += MINUTE;
    fixture.observations.confirmed = number - 1;
    fixture.round();
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
    fixture.after(SECOND);
    assert_eq!(phase(&fixture, &id), Some(Phase::Rebooting));
}

#[test]
fn drain_waits_for_a_silent_zone() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    fixture.observations.unconfirmed_zones.insert(fixture.listed[&id].zone.clone());
    fixture.after(MINUTE);
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
}

#[test]
fn drain_lasts_at_least_two_seconds() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    fixture.after(Duration::from_millis(1_999));
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
    fixture.after(Duration::from_millis(1));
    assert_eq!(phase(&fixture, &id), Some(Phase::Rebooting));
}

#[test]
fn overdue_drain_of_a_healthy_instance_cuts_nothing_off() {
    let (mut fixture, id) = draining();
    let plan = fixture.after(10 * MINUTE);
    assert!(events(&plan).contains(&FleetEvent::DrainGivenUp));
    assert_eq!(phase(&fixture, &id), None);
    assert_eq!(fixture.placement(&id).maintained_at, None);
    fixture.after(59 * MINUTE);
    assert_eq!(phase(&fixture, &id), None);
    fixture.observations.running.clear();
    fixture.config.waves.get_mut("w").expect("the wave exists").paused = false;
    fixture.after(MINUTE);
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
}

#[test]
fn overdue_drain_of_a_hanging_instance_reboots_after_the_longest_deadline() {
    let mut fixture = Fixture::new(&SMALL);
    let service = fixture.config.services.get_mut("s0").expect("the service exists");
    service.deadline_max = 20 * MINUTE;
    fixture.observations.running.insert("s0-0".into(), 8);
    fixture.fail("s0-0", Symptom::Hanging);
    fixture.round();
    fixture.after(MINUTE);
    assert_eq!(fixture.step("s0-0").map(|step| step.kind.clone()), Some(StepKind::Repair));
    fixture.after(20 * MINUTE - SECOND);
    assert_eq!(phase(&fixture, "s0-0"), Some(Phase::Draining));
    let plan = fixture.after(SECOND);
    assert!(events(&plan).contains(&FleetEvent::RebootForced));
}

#[test]
fn instance_that_does_not_return_counts_as_failing_and_waits_longer_each_time() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    let mut waits = Vec::new();
    for _ in 0..3 {
        fixture.until(false, |fixture| phase(fixture, &id) == Some(Phase::Rebooting));
        fixture.answer_all();
        fixture.after(SECOND);
        let plan = fixture.after(10 * MINUTE);
        assert!(events(&plan).contains(&FleetEvent::InstanceNotReturned));
        let failure = fixture.placement(&id).failure.clone().expect("the failure is noted");
        assert_eq!(failure.symptom, Symptom::NotReturned);
        waits.push(failure.retry_at.duration_since(fixture.now).expect("it lies ahead"));
    }
    assert_eq!(waits, [5 * MINUTE, 10 * MINUTE, 20 * MINUTE]);
}

#[test]
fn request_id_of_a_reboot_differs_between_steps_and_not_between_rounds() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    fixture.after(MINUTE);
    let first = fixture.step(&id).expect("a step is in progress").request_id(&id);
    fixture.after(MINUTE);
    assert_eq!(fixture.step(&id).map(|step| step.request_id(&id)), Some(first.clone()));
    fixture.answer_all();
    fixture.after(SECOND);
    fixture.after(11 * MINUTE);
    fixture.until(false, |fixture| fixture.step(&id).is_some());
    assert_ne!(fixture.step(&id).map(|step| step.request_id(&id)), Some(first));
}

#[test]
fn step_ends_when_its_instance_is_gone_for_long() {
    let (mut fixture, id) = draining();
    fixture.listed.remove(&id);
    fixture.after(MINUTE);
    assert!(fixture.step(&id).is_some());
    fixture.after(15 * MINUTE);
    assert!(fixture.step(&id).is_none());
    fixture.after(24 * 60 * MINUTE);
    assert!(!fixture.document.placements.contains_key(&id));
}
