use std::time::Duration;

use cassiafold_platform::{NotApplied, UpdateOutcome, Writer, update};
use cassiafold_standin::MemoryStore;
use cassiafold_standin::faults::WriteFault;
use tokio::time::Instant;

use super::{move_instance, plan_move};
use crate::code::FleetCode;
use crate::document::{DOCUMENT_KEY, FleetDocument};
use crate::tests::fixture::{Fixture, SMALL};

fn code(fixture: &Fixture, id: &str, pool: &str) -> Option<FleetCode> {
    let result = plan_move(&fixture.view(), &fixture.policy, &id.into(), &pool.into());
    result.err().map(|refusal| refusal.code)
}

#[test]
fn refusals_carry_the_result_code_of_the_rule() {
    let mut fixture = Fixture::with_wave(&SMALL);
    assert_eq!(code(&fixture, "s0-0", "s1"), None);
    assert_eq!(code(&fixture, "nobody", "s1"), Some(FleetCode::UnknownInstance));
    assert_eq!(code(&fixture, "s0-0", "nowhere"), Some(FleetCode::UnknownPool));
    assert_eq!(code(&fixture, "s0-0", "s0"), Some(FleetCode::SamePool));
    fixture.round();
    let id = fixture.maintaining().first().cloned().expect("maintenance has started");
    assert_eq!(code(&fixture, &id, "s1"), Some(FleetCode::StepInProgress));
    let service = fixture.config.services.get_mut("s0").expect("the service exists");
    service.floor = cassiafold_config::Floor::Count(9);
    assert_eq!(code(&fixture, "s0-3", "s1"), Some(FleetCode::BudgetShort));
}

#[tokio::test(start_paused = true)]
async fn move_is_permanent_and_survives_a_lost_response() {
    let mut fixture = Fixture::new(&SMALL);
    let store = MemoryStore::default();
    let writer = Writer::new("operator");
    let deadline = Instant::now() + Duration::from_secs(60);
    let first = fixture.document.clone();
    let change = |_: Option<&FleetDocument>| Ok::<_, ()>(first.clone());
    update(&store, &writer, DOCUMENT_KEY, deadline, change).await;
    store.faults().fail_writes(1, WriteFault::LostAnswer);
    let (id, pool) = ("s0-0".into(), "s1".into());
    let (view, policy) = (fixture.view(), &fixture.policy);
    let outcome = move_instance(&store, &writer, deadline, &view, policy, &id, &pool).await;
    let UpdateOutcome::Applied { value, .. } = outcome else { panic!("{outcome:?}") };
    let again = move_instance(&store, &writer, deadline, &view, policy, &id, &pool).await;
    let UpdateOutcome::NotApplied(NotApplied::Refused(refusal)) = again else {
        panic!("{again:?}")
    };
    assert_eq!(refusal.code, FleetCode::StepInProgress);
    fixture.document = value;
    fixture.observations.confirmed = fixture.document.number;
    fixture.round_after(Duration::from_secs(5));
    let placement = fixture.placement("s0-0");
    assert_eq!((&*placement.pool, &*placement.home, &placement.step), ("s1", "s1", &None));
}
