use std::time::Duration;

use cassiafold_platform::Envelope;
use cassiafold_platform::WriteLog;

use super::{FleetDocument, StepKind, Symptom};
use crate::raw::{FleetDocumentError, RawDocument};
use crate::tests::fixture::{Fixture, Layout, SMALL};

/// Maximum size of a value in the store.
const STORE_MAX_BYTES: usize = 1_000_000;

#[test]
fn serialized_document_round_trips() {
    let mut fixture = Fixture::with_wave(&SMALL);
    fixture.fail("s0-1", Symptom::Hanging);
    fixture.demand("s1", 1_000);
    fixture.round_after(Duration::from_secs(60));
    fixture.listed.remove("s0-2");
    fixture.round_after(Duration::from_secs(60));
    let raw = RawDocument::from(&fixture.document);
    assert!(!raw.failures.is_empty() && !raw.steps.is_empty() && !raw.homes.is_empty());
    assert!(!raw.vanished_unix_s.is_empty());
    assert_eq!(FleetDocument::try_from(raw), Ok(fixture.document));
}

#[test]
fn instance_in_two_pools_is_rejected() {
    let fixture = Fixture::new(&SMALL);
    let mut raw = RawDocument::from(&fixture.document);
    let members = raw.pools.get_mut("s1").expect("the pool exists");
    members.ids[0] = "s0-0".into();
    let result = FleetDocument::try_from(raw);
    assert_eq!(result, Err(FleetDocumentError::DuplicateInstance("s0-0".into())));
}

#[test]
fn entry_for_an_unknown_instance_is_rejected() {
    let fixture = Fixture::new(&SMALL);
    let mut raw = RawDocument::from(&fixture.document);
    raw.homes.insert("nobody".into(), "s0".into());
    let result = FleetDocument::try_from(raw);
    assert_eq!(result, Err(FleetDocumentError::UnplacedInstance("nobody".into())));
}

#[test]
fn document_of_870_instances_with_a_step_and_a_failure_each_fits_the_store() {
    let layout = Layout { zones: 4, services: 43, per_service: 20, spare: 10, floor_share: 0.5 };
    let mut fixture = Fixture::with_wave(&layout);
    assert_eq!(fixture.document.placements.len(), 870);
    for placement in fixture.document.placements.values_mut() {
        placement.maintained_at = Some(fixture.now);
    }
    let idle = encoded(&fixture.document);
    fixture.document.placements.values_mut().for_each(|placement| placement.maintained_at = None);
    fixture.policy.maintenance_share_max = 1.0;
    fixture.round();
    let step = fixture.step("s0-0").cloned().expect("maintenance has started");
    fixture.fail("s0-0", Symptom::FailingAll);
    fixture.round();
    let failure = fixture.placement("s0-0").failure.clone().expect("the failure is recorded");
    for placement in fixture.document.placements.values_mut() {
        placement.step = Some(step.clone());
        placement.failure = Some(failure.clone());
        placement.maintained_at = Some(fixture.now);
        placement.missing_since = Some(fixture.now);
        placement.home = "s1".into();
    }
    let worst_case = encoded(&fixture.document);
    println!("idle {} bytes, worst case {} bytes for 870 instances", idle, worst_case);
    assert!(worst_case < STORE_MAX_BYTES);
}

fn encoded(document: &FleetDocument) -> usize {
    let envelope = Envelope { value: document.clone(), writes: WriteLog::default() };
    envelope.encode().expect("the document is encodable").len()
}

#[test]
fn step_kinds_are_displayed_as_text() {
    let shown = [
        StepKind::Maintain { wave: "weekly".into() },
        StepKind::Repair,
        StepKind::Move { to: "portal".into(), permanent: true },
        StepKind::Move { to: "portal".into(), permanent: false },
    ]
    .map(|kind| kind.to_string());
    assert_eq!(
        shown,
        [
            "maintenance in wave weekly",
            "repair",
            "move to portal for good",
            "move to portal while it is needed",
        ]
    );
}
