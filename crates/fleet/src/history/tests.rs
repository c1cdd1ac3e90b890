use std::time::Duration;

use super::{History, RawSegment, SEGMENT_MAX, SEGMENTS};
use crate::decision::{Decision, Inputs};
use crate::event::FleetEvent;
use crate::operator::plan_move;
use crate::tests::fixture::{Fixture, SMALL, monday};

fn decision(number: u64) -> Decision {
    Decision {
        at: monday() + Duration::from_secs(number),
        event: FleetEvent::InstanceMoved,
        instance: Some(format!("i{}", number % 7).into()),
        pool: Some("s0".into()),
        wave: None,
        inputs: Inputs::Demand { need: 3, available: 2, floor: 1 },
    }
}

#[test]
fn history_is_bounded_and_restored_from_its_segments() {
    let mut history = History::default();
    let mut stored = std::collections::BTreeMap::new();
    for number in 0..5_000 {
        history.extend([decision(number)]);
        if number % 97 == 0 {
            stored.extend(history.unsaved());
            history.mark_saved();
        }
    }
    stored.extend(history.unsaved());
    assert!(stored.len() <= SEGMENTS as usize);
    assert!(stored.values().all(|segment: &RawSegment| segment.decisions.len() <= SEGMENT_MAX));
    let restored = History::restore(stored.into_values().collect());
    let kept: Vec<&Decision> = history.iter().collect();
    let found: Vec<&Decision> = restored.iter().rev().take(kept.len()).collect();
    assert_eq!(found.into_iter().rev().collect::<Vec<_>>(), kept);
    assert!(kept.len() <= SEGMENT_MAX * SEGMENTS as usize);
}

#[test]
fn save_writes_only_changed_segments() {
    let mut history = History::default();
    history.extend((0..1_000).map(decision));
    history.mark_saved();
    assert!(history.unsaved().is_empty());
    history.extend([decision(1_000)]);
    assert_eq!(history.unsaved().len(), 1);
}

#[test]
fn latest_decisions_are_ordered_newest_first() {
    let mut history = History::default();
    history.extend((0..20).map(decision));
    let last = history.of_instance(&"i1".into(), 2);
    let times: Vec<_> = last.iter().map(|decision| decision.at).collect();
    assert_eq!(times, [15, 8].map(|seconds| monday() + Duration::from_secs(seconds)));
}

#[test]
fn move_is_recorded_once_whether_by_operators_or_by_a_round() {
    let mut fixture = Fixture::new(&SMALL);
    let mut history = History::default();
    let placements = fixture.document.placements.iter();
    let spare =
        placements.filter(|(_, placement)| fixture.config.pools[&placement.pool].service.is_none());
    let ids: Vec<_> = spare.map(|(id, _)| id.clone()).take(2).collect();
    assert_eq!(ids.len(), 2);
    let pools = &fixture.config.pools;
    let other = pools.iter().find(|(_, pool)| pool.service.is_some()).unwrap().0.clone();
    for id in &ids {
        let plan = plan_move(&fixture.view(), &fixture.policy, id, &other).unwrap();
        fixture.document = plan.next;
        if *id == ids[1] {
            history.extend(plan.decisions);
        }
    }
    for _ in 0..2 {
        history.record_operator_moves(&fixture.document);
    }
    for id in &ids {
        let recorded = history.of_instance(id, 9);
        let events: Vec<_> = recorded.iter().map(|decision| decision.event).collect();
        assert_eq!(events, [FleetEvent::MoveStarted], "{id}");
        assert_eq!(recorded[0].at, fixture.now);
    }
}

#[test]
fn every_event_of_a_decision_is_restored() {
    for number in 1400..1422 {
        let event = FleetEvent::from_number(number);
        assert_eq!(event.map(|event| event.row().number), Some(number));
    }
}
