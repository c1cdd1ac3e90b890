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

/// A fleet with one draining instance under maintenance.
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
fn maintenance_drains_reboots_and_waits_for_a_trial_request() {
    let (mut fixture, id) = draining();
    fixture.round_after(MINUTE);
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
    fixture.observations.running.clear();
    fixture.round_after(SECOND);
    assert_eq!(phase(&fixture, &id), Some(Phase::Rebooting));
    fixture.round_after(SECOND);
    assert_eq!(phase(&fixture, &id), Some(Phase::Rebooting));
    fixture.complete_requests();
    fixture.round_after(SECOND);
    assert_eq!(phase(&fixture, &id), Some(Phase::Trying));
    fixture.complete_requests();
    fixture.round_after(SECOND);
    let placement = fixture.placement(&id);
    assert_eq!((placement.step.clone(), placement.maintained_at), (None, Some(fixture.now)));
}

#[test]
fn drain_waits_for_confirmation_by_every_entry_instance() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    let number = fixture.step(&id).expect("a step is in progress").document_number;
    fixture.now += MINUTE;
    fixture.observations.confirmed = number - 1;
    fixture.round();
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
    fixture.round_after(SECOND);
    assert_eq!(phase(&fixture, &id), Some(Phase::Rebooting));
}

#[test]
fn drain_waits_for_an_unconfirmed_zone() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    fixture.observations.unconfirmed_zones.insert(fixture.listed[&id].zone.clone());
    fixture.round_after(MINUTE);
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
}

#[test]
fn drain_lasts_at_least_two_seconds() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    fixture.round_after(Duration::from_millis(1_999));
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
    fixture.round_after(Duration::from_millis(1));
    assert_eq!(phase(&fixture, &id), Some(Phase::Rebooting));
}

#[test]
fn drain_timeout_of_a_healthy_instance_cancels_the_step() {
    let (mut fixture, id) = draining();
    let plan = fixture.round_after(10 * MINUTE);
    assert!(events(&plan).contains(&FleetEvent::DrainGivenUp));
    assert_eq!(phase(&fixture, &id), None);
    assert_eq!(fixture.placement(&id).maintained_at, None);
    fixture.round_after(59 * MINUTE);
    assert_eq!(phase(&fixture, &id), None);
    fixture.observations.running.clear();
    fixture.config.waves.get_mut("w").expect("the wave exists").paused = false;
    fixture.round_after(MINUTE);
    assert_eq!(phase(&fixture, &id), Some(Phase::Draining));
}

#[test]
fn drain_timeout_of_a_hanging_instance_reboots_it_after_the_longest_deadline() {
    let mut fixture = Fixture::new(&SMALL);
    let service = fixture.config.services.get_mut("s0").expect("the service exists");
    service.deadline_max = 20 * MINUTE;
    fixture.observations.running.insert("s0-0".into(), 8);
    fixture.fail("s0-0", Symptom::Hanging);
    fixture.round();
    fixture.round_after(MINUTE);
    assert_eq!(fixture.step("s0-0").map(|step| step.kind.clone()), Some(StepKind::Repair));
    fixture.round_after(20 * MINUTE - SECOND);
    assert_eq!(phase(&fixture, "s0-0"), Some(Phase::Draining));
    let plan = fixture.round_after(SECOND);
    assert!(events(&plan).contains(&FleetEvent::RebootForced));
}

#[test]
fn instance_that_does_not_return_is_failing_with_increasing_backoff() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    let mut waits = Vec::new();
    for _ in 0..3 {
        fixture.run_until(false, |fixture| phase(fixture, &id) == Some(Phase::Rebooting));
        fixture.complete_requests();
        fixture.round_after(SECOND);
        let plan = fixture.round_after(10 * MINUTE);
        assert!(events(&plan).contains(&FleetEvent::InstanceNotReturned));
        let failure = fixture.placement(&id).failure.clone().expect("the failure is recorded");
        assert_eq!(failure.symptom, Symptom::NotReturned);
        waits.push(
            failure.retry_at.duration_since(fixture.now).expect("the retry is in the future"),
        );
    }
    assert_eq!(waits, [5 * MINUTE, 10 * MINUTE, 20 * MINUTE]);
}

#[test]
fn reboot_request_id_is_unique_per_step_and_stable_between_rounds() {
    let (mut fixture, id) = draining();
    fixture.observations.running.clear();
    fixture.round_after(MINUTE);
    let first = fixture.step(&id).expect("a step is in progress").request_id(&id);
    fixture.round_after(MINUTE);
    assert_eq!(fixture.step(&id).map(|step| step.request_id(&id)), Some(first.clone()));
    fixture.complete_requests();
    fixture.round_after(SECOND);
    fixture.round_after(11 * MINUTE);
    fixture.run_until(false, |fixture| fixture.step(&id).is_some());
    assert_ne!(fixture.step(&id).map(|step| step.request_id(&id)), Some(first));
}

#[test]
fn step_is_cancelled_when_its_instance_is_unlisted_for_long() {
    let (mut fixture, id) = draining();
    fixture.listed.remove(&id);
    fixture.round_after(MINUTE);
    assert!(fixture.step(&id).is_some());
    fixture.round_after(15 * MINUTE);
    assert!(fixture.step(&id).is_none());
    fixture.round_after(24 * 60 * MINUTE);
    assert!(!fixture.document.placements.contains_key(&id));
}
