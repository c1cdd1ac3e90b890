use std::collections::BTreeMap;

use proptest::prelude::{Strategy, prop};
use proptest::test_runner::{Config as RunnerConfig, RngSeed, TestRunner};

use super::{Budget, Budgets};
use crate::document::Symptom;
use crate::domain::DomainIndex;
use crate::tests::fixture::{Fixture, SMALL};

fn budgets(fixture: &Fixture) -> Budgets {
    let index = DomainIndex::new(&fixture.listed, &fixture.domains);
    Budgets::new(&fixture.view(), &fixture.document, index)
}

fn budget(fixture: &Fixture) -> Budget {
    budgets(fixture).get(&"s0".into()).cloned().expect("the service has a budget")
}

#[test]
fn failing_instances_and_zones_out_of_service_are_not_available() {
    let mut fixture = Fixture::new(&SMALL);
    assert_eq!((budget(&fixture).available, budget(&fixture).floor), (9, 5));
    fixture.fail("s0-0", Symptom::Unreachable);
    assert_eq!(budget(&fixture).available, 8);
    let zone = fixture.config.zones.get_mut("z1").expect("the zone exists");
    zone.out = true;
    assert_eq!(budget(&fixture).available, 5);
}

#[test]
fn floor_counts_instances_by_home_pool() {
    let mut fixture = Fixture::new(&SMALL);
    for id in ["s0-0", "s0-1", "s0-2"] {
        fixture.document.placements.get_mut(id).expect("placed").pool = "s1".into();
    }
    assert_eq!((budget(&fixture).available, budget(&fixture).floor), (6, 5));
}

/// Tries the failure of each domain with the domains of the available instances.
fn brute_force_allows(available: &[Vec<usize>], taken: usize, floor: usize, home: usize) -> bool {
    let rest: Vec<&Vec<usize>> =
        available.iter().enumerate().filter(|(at, _)| *at != taken).map(|(_, it)| it).collect();
    let lost = |domain: usize| rest.iter().filter(|positions| positions.contains(&domain)).count();
    let worst = (0..8).map(lost).max().unwrap_or(0);
    // With all home instances available, one may always be taken out of service.
    let reserve = worst.min(home.saturating_sub(floor + 1));
    rest.len() >= floor + reserve
}

#[test]
fn check_matches_brute_force_over_domains() {
    let positions = prop::collection::btree_set(0_usize..8, 1..3);
    let members = prop::collection::vec(positions, 1..14);
    let strategy = (members, 0_usize..14, 0_usize..4);
    let config = RunnerConfig {
        rng_seed: RngSeed::Fixed(51),
        cases: 2_000,
        failure_persistence: None,
        ..RunnerConfig::default()
    };
    let strategy = strategy.prop_map(|(members, floor, missing)| {
        let members: Vec<Vec<usize>> =
            members.into_iter().map(|positions| positions.into_iter().collect()).collect();
        (members, floor, missing)
    });
    let mut runner = TestRunner::new(config);
    let result = runner.run(&strategy, |(members, floor, missing)| {
        let home = members.len() + missing;
        let mut budget = Budget { home, floor, ..Budget::default() };
        members.iter().for_each(|positions| budget.add(positions));
        for (at, positions) in members.iter().enumerate() {
            assert_eq!(budget.allows(positions), brute_force_allows(&members, at, floor, home));
        }
        Ok(())
    });
    result.expect("the budget matches the brute-force check");
}

#[test]
fn removing_and_adding_an_instance_restores_the_budget() {
    let fixture = Fixture::new(&SMALL);
    let mut budgets = budgets(&fixture);
    let before: BTreeMap<_, _> = budgets.iter().map(|(id, b)| (id.clone(), b.clone())).collect();
    budgets.remove(&"s0".into(), &"s0-3".into());
    assert_eq!(budgets.get(&"s0".into()).map(|budget| budget.available), Some(8));
    budgets.add(&"s0".into(), &"s0-3".into());
    let after: BTreeMap<_, _> = budgets.iter().map(|(id, b)| (id.clone(), b.clone())).collect();
    assert_eq!(before, after);
}
