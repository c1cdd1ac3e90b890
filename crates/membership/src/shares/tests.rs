use std::collections::BTreeMap;

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{Config, TeamId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{TeamDemand, WEIGHT_MIN, sum, water_fill, weights};
use crate::usage::TeamUsage;

/// Reference implementation: raises the parts of all teams in small steps until the capacity is
/// used.
fn water_fill_in_steps(capacity: f64, teams: &[TeamDemand]) -> Vec<f64> {
    let steps = 20_000;
    let mut parts = vec![0.0; teams.len()];
    let mut remaining = capacity;
    for _ in 0..steps {
        let unsatisfied: Vec<usize> =
            (0..teams.len()).filter(|team| parts[*team] < teams[*team].demand - 1e-9).collect();
        let shares: f64 = unsatisfied.iter().map(|team| teams[*team].share).sum();
        if unsatisfied.is_empty() || remaining <= 1e-9 {
            break;
        }
        let step = (capacity / f64::from(steps) * 10.0).min(remaining);
        for team in unsatisfied {
            let added = (step * teams[team].share / shares).min(teams[team].demand - parts[team]);
            parts[team] += added;
            remaining -= added;
        }
    }
    parts
}

fn demand() -> impl Strategy<Value = TeamDemand> {
    (1u32..10, 0u32..100).prop_map(|(share, demand)| TeamDemand {
        share: f64::from(share),
        demand: f64::from(demand),
    })
}

fn config(shares: &[u32], limit: u32) -> Config {
    let mut text = String::from("version: 1\nzones: {}\npools: {}\nservices: {}\nteams:\n");
    for (index, share) in shares.iter().enumerate() {
        text += &format!("  t{index}: {{share: {share}, upper_limit: {limit}}}\n");
    }
    let raw: RawConfig = serde_saphyr::from_str(&text).unwrap();
    Config::try_from(raw).unwrap()
}

fn team(index: usize) -> TeamId {
    format!("t{index}").into()
}

fn usage(demands: &[u32]) -> BTreeMap<TeamId, TeamUsage> {
    let usage = |waiting: &u32| TeamUsage { running: 0, waiting: *waiting };
    demands.iter().enumerate().map(|(index, demand)| (team(index), usage(demand))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn water_fill_matches_a_stepwise_reference(
        capacity in 1u32..300,
        teams in prop::collection::vec(demand(), 1..8),
    ) {
        let capacity = f64::from(capacity);
        let (parts, expected) =
            (water_fill(capacity, &teams), water_fill_in_steps(capacity, &teams));
        for (part, expected) in parts.iter().zip(expected) {
            prop_assert!((part - expected).abs() < 0.01 * capacity, "{part} {expected}");
        }
        let demand_total: f64 = teams.iter().map(|team| team.demand).sum();
        prop_assert!((parts.iter().sum::<f64>() - demand_total.min(capacity)).abs() < 1e-6);
    }

    #[test]
    fn local_weights_of_all_entries_add_up_to_the_targets(
        capacity in 1u32..200,
        demands in prop::collection::vec(prop::collection::vec(0u32..40, 4), 1..6),
    ) {
        let config = config(&[1, 2, 3, 4], 30);
        let locals: Vec<_> = demands.iter().map(|demands| usage(demands)).collect();
        let total = sum(&locals);
        let central: Vec<TeamDemand> = total
            .iter()
            .map(|(team, usage)| TeamDemand {
                share: f64::from(config.teams[team].share),
                demand: f64::from(usage.demand().min(30)),
            })
            .collect();
        let targets = water_fill(f64::from(capacity), &central);
        let all: Vec<_> =
            locals.iter().map(|local| weights(&config, capacity, local, &total)).collect();
        for (index, target) in targets.iter().enumerate() {
            let sum_of_weights: f64 = all.iter().map(|weights| weights[index].weight).sum();
            let tolerance = WEIGHT_MIN * locals.len() as f64 + 1e-6;
            prop_assert!((sum_of_weights - target).abs() <= tolerance, "{sum_of_weights} {target}");
        }
    }
}
