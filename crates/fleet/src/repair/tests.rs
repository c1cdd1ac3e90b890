use std::time::Duration;

use crate::code::FleetCode;
use crate::document::{Failure, StepKind, Symptom};
use crate::plan::Round;
use crate::repair::check;
use crate::tests::fixture::{Fixture, Layout, SMALL};

const MINUTE: Duration = Duration::from_secs(60);

fn code(fixture: &Fixture, id: &str) -> Option<FleetCode> {
    let view = fixture.view();
    let mut round = Round::new(&view, &fixture.policy);
    round.count_budgets();
    check(&round, &id.into()).err().map(|refusal| refusal.code)
}

fn repairing(fixture: &Fixture) -> usize {
    fixture.with_step(|kind| *kind == StepKind::Repair).len()
}

#[test]
fn short_failure_ends_without_a_repair() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.fail("s0-0", Symptom::Unreachable);
    fixture.round();
    assert_eq!(code(&fixture, "s0-0"), Some(FleetCode::RepairTooSoon));
    fixture.observations.symptoms.clear();
    fixture.round_after(MINUTE);
    assert_eq!(code(&fixture, "s0-0"), Some(FleetCode::NotFailing));
    assert_eq!(repairing(&fixture), 0);
}

#[test]
fn repairs_run_one_at_a_time_in_a_small_fleet() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.fail("s0-0", Symptom::FailingAll);
    fixture.fail("s1-1", Symptom::FailingAll);
    fixture.round();
    fixture.round_after(MINUTE);
    assert_eq!(repairing(&fixture), 1);
    assert_eq!(code(&fixture, "s1-1"), Some(FleetCode::RepairLimit));
}

#[test]
fn zone_outage_starts_no_reboot() {
    let layout = Layout { per_service: 18, ..SMALL };
    let mut fixture = Fixture::new(&layout);
    let ids: Vec<_> = fixture.listed.values().filter(|it| &*it.zone == "z0").cloned().collect();
    for instance in ids.iter().take(ids.len() / 2) {
        fixture.fail(&instance.id, Symptom::Unreachable);
    }
    fixture.fail("s0-1", Symptom::Unreachable);
    fixture.round();
    fixture.round_after(MINUTE);
    assert_eq!(code(&fixture, &ids[0].id), Some(FleetCode::ZoneStorm));
    assert_eq!(fixture.with_step(|kind| *kind == StepKind::Repair), ["s0-1".into()]);
}

#[test]
fn zone_out_of_service_starts_no_repair() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.fail("s0-0", Symptom::Unreachable);
    fixture.round();
    fixture.config.zones.get_mut("z0").expect("the zone exists").out = true;
    fixture.round_after(MINUTE);
    assert_eq!(code(&fixture, "s0-0"), Some(FleetCode::ZoneOut));
}

#[test]
fn instance_is_replaced_by_a_spare_one_after_unsuccessful_repairs() {
    let mut fixture = Fixture::new(&SMALL);
    let failure = Failure {
        since: fixture.now,
        symptom: Symptom::NotReturned,
        attempts: 3,
        retry_at: fixture.now,
    };
    fixture.document.placements.get_mut("s0-0").expect("placed").failure = Some(failure);
    fixture.round_after(MINUTE);
    let home = |fixture: &Fixture| {
        fixture.document.placements.values().filter(|placement| &*placement.home == "s0").count()
    };
    fixture.round_after(MINUTE);
    assert_eq!(&*fixture.placement("s0-0").home, "spare");
    assert_eq!(&*fixture.placement("s0-0").pool, "spare");
    assert_eq!(home(&fixture), SMALL.per_service);
}

#[test]
fn successful_repair_clears_the_failure() {
    let mut fixture = Fixture::new(&SMALL);
    fixture.fail("s0-0", Symptom::Hanging);
    fixture.round();
    for _ in 0..4 {
        fixture.round_after(MINUTE);
        fixture.complete_requests();
    }
    fixture.observations.symptoms.clear();
    fixture.round_after(MINUTE);
    let placement = fixture.placement("s0-0");
    assert_eq!((placement.failure.clone(), placement.step.clone()), (None, None));
    assert_eq!(placement.maintained_at, None);
}
