use std::fmt::Write;
use std::time::Duration;

use expect_test::{Expect, expect};

use super::{Explanation, Subject, explain};
use crate::code::FleetCode;
use crate::document::Symptom;
use crate::history::History;
use crate::tests::fixture::{Fixture, SMALL};

const MINUTE: Duration = Duration::from_secs(60);

fn text(explanation: &Explanation) -> String {
    let mut text = String::new();
    for fact in &explanation.facts {
        let _ = writeln!(text, "{}: {}", fact.name, fact.value);
    }
    for blocked in &explanation.blocked_steps {
        let _ = writeln!(text, "no {}: {}", blocked.step, blocked.refusal);
    }
    for decision in &explanation.decisions {
        let _ = writeln!(text, "{:?}: {}", decision.event, decision.inputs);
    }
    text
}

fn check(fixture: &Fixture, history: &History, subject: &Subject, expected: Expect) {
    let explanation = explain(&fixture.view(), &fixture.policy, history, subject);
    expected.assert_eq(&text(&explanation.expect("the subject is known")));
}

/// A fleet in which one instance failed and was repaired, and a service had peak demand.
fn fixture_after_repair_and_peak() -> (Fixture, History) {
    let mut fixture = Fixture::with_wave(&SMALL);
    let mut history = History::default();
    fixture.fail("s0-4", Symptom::Hanging);
    history.extend(fixture.round().decisions);
    fixture.demand("s1", 80);
    for _ in 0..4 {
        history.extend(fixture.round_after(MINUTE).decisions);
        fixture.complete_requests();
    }
    (fixture, history)
}

#[test]
fn instance_explains_its_repair_and_why_it_is_not_maintained() {
    let (fixture, history) = fixture_after_repair_and_peak();
    check(
        &fixture,
        &history,
        &Subject::Instance("s0-4".into()),
        expect![[r#"
            pool: s0
            home pool: s0
            zone: z1
            rack: r0
            failure domain: z1/r0
            available: false
            no maintenance: 415 Failing: the instance is failing and is left to repair
            no repair: 424 NotFailing: the instance is not failing
            InstanceReturned: -
            TrialStarted: -
            RebootDecided: 0 requests running after 60000 ms
            RepairStarted: Hanging, 0 repairs so far, 1 failing in the zone
            InstanceFailed: Hanging, 0 repairs so far, 0 failing in the zone
        "#]],
    );
}

#[test]
fn waiting_instance_explains_the_rule() {
    let (mut fixture, history) = fixture_after_repair_and_peak();
    let service = fixture.config.services.get_mut("s0").expect("the service exists");
    service.floor = cassiafold_config::Floor::Count(9);
    check(
        &fixture,
        &history,
        &Subject::Instance("s0-3".into()),
        expect![[r#"
        pool: s0
        home pool: s0
        zone: z0
        rack: r0
        failure domain: z0/r0
        available: true
        no maintenance: 418 BudgetShort: the availability budget does not allow it (available 8, floor 9, reserve 0 for z2/r0)
        no repair: 424 NotFailing: the instance is not failing
    "#]],
    );
}

#[test]
fn pool_explains_its_budget_and_moves() {
    let (fixture, history) = fixture_after_repair_and_peak();
    check(
        &fixture,
        &history,
        &Subject::Pool("s1".into()),
        expect![[r#"
        instances: 11
        instances at home here: 9
        service: s1
        instances for demand: 10
        available: 10
        floor: 5
        reserve: 3
        worst failure domain: z2/r1
        RebootDecided: 0 requests running after 60000 ms
        MaintenanceStarted: available 11, floor 5, reserve 3 for z2/r1
        InstanceReturned: -
        TrialStarted: -
        InstanceAssigned: need 10, available 9, floor 5
        InstanceAssigned: need 10, available 8, floor 5
        RebootDecided: 0 requests running after 60000 ms
        MaintenanceStarted: available 9, floor 5, reserve 2 for z0/r1
    "#]],
    );
}

#[test]
fn wave_explains_its_progress() {
    let (mut fixture, history) = fixture_after_repair_and_peak();
    fixture.config.waves.get_mut("w").expect("the wave exists").paused = true;
    check(
        &fixture,
        &history,
        &Subject::Wave("w".into()),
        expect![[r#"
        instances: 21
        done: 1
        in progress: 1
        set back: 0
        overdue: 20
        late: false
        no wave: 406 WavePaused: operators have paused the maintenance wave
        RebootDecided: 0 requests running after 60000 ms
        MaintenanceStarted: available 11, floor 5, reserve 3 for z2/r1
        InstanceReturned: -
        TrialStarted: -
        RebootDecided: 0 requests running after 60000 ms
        MaintenanceStarted: available 9, floor 5, reserve 2 for z0/r1
    "#]],
    );
}

#[test]
fn unknown_subjects_give_a_result_code() {
    let fixture = Fixture::new(&SMALL);
    let code =
        |subject| explain(&fixture.view(), &fixture.policy, &History::default(), &subject).err();
    assert_eq!(code(Subject::Instance("x".into())), Some(FleetCode::UnknownInstance));
    assert_eq!(code(Subject::Pool("x".into())), Some(FleetCode::UnknownPool));
    assert_eq!(code(Subject::Team("x".into())), Some(FleetCode::UnknownTeam));
    assert_eq!(code(Subject::Wave("x".into())), Some(FleetCode::UnknownWave));
}
