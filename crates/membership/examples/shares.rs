//! Prints how far teams deviate from their shares, before and after entry instances exchange usage.
//!
//! In the model a service has `CAPACITY` slots. Entry instances take freed slots in proportion to
//! their backlog, in equal parts or by their targets, and divide them among the teams by local
//! weights. Before the exchange the local weights are the teams' shares; after it they are those of
//! `cassiafold_membership::shares::weights`. The error of a team is its deviation from the
//! result of central water-filling, relative to that result.
//!
//! `cargo run --release -p cassiafold-membership --example shares`

use std::collections::BTreeMap;

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{Config, TeamId};
use cassiafold_membership::TeamUsage;
use cassiafold_membership::shares::{TeamDemand, sum, water_fill, weights};
use serde_json::json;

type Error = Box<dyn std::error::Error>;
type Demands = Vec<Vec<u32>>;

const ENTRIES: usize = 7;
const CAPACITY: u32 = 80;
const SHARES: [u32; 6] = [1, 1, 1, 1, 2, 2];
const UPPER_LIMIT: u32 = 60;

/// Division of slots among entry instances.
#[derive(Debug, Clone, Copy)]
enum Slots {
    /// In proportion to their backlog.
    Backlog,
    /// In equal parts.
    Even,
    /// By the sum of the local targets of their teams.
    Target,
}

fn main() -> Result<(), Error> {
    let config = config()?;
    for (name, demands) in scenarios() {
        for slots in [Slots::Backlog, Slots::Even, Slots::Target] {
            let before = errors(&config, &demands, slots, false);
            let after = errors(&config, &demands, slots, true);
            let line = json!({
                "callers": name, "slots": format!("{slots:?}"),
                "before": round(&before), "before_worst": worst(&before),
                "after": round(&after), "after_worst": worst(&after),
            });
            println!("{line}");
        }
    }
    Ok(())
}

/// Returns the named scenarios with the demand of each team at each entry instance.
fn scenarios() -> Vec<(&'static str, Demands)> {
    let even = vec![vec![6; SHARES.len()]; ENTRIES];
    let mut one_entry = vec![vec![6; SHARES.len()]; ENTRIES];
    for (entry, demands) in one_entry.iter_mut().enumerate() {
        demands[0] = if entry == 0 { 42 } else { 0 };
    }
    let few_large: Demands = (0..ENTRIES)
        .map(|entry| vec![20, 14, 1, 1, u32::from(entry < 3), 2 * u32::from(entry == 1)])
        .collect();
    let mut all_uneven = vec![vec![0; SHARES.len()]; ENTRIES];
    for team in 0..SHARES.len() {
        all_uneven[team % ENTRIES][team] = 42;
    }
    let mut lost = few_large.clone();
    lost.pop();
    vec![
        ("even", even),
        ("all of one team at one entry", one_entry),
        ("each team at an entry of its own", all_uneven),
        ("six accounts, two large", few_large),
        ("six accounts, two large, one entry lost", lost),
    ]
}

fn errors(config: &Config, demands: &Demands, slots: Slots, exchanged: bool) -> Vec<f64> {
    let locals: Vec<BTreeMap<TeamId, TeamUsage>> = demands.iter().map(|d| usage(d)).collect();
    let total = sum(&locals);
    let targets = central(config, &total);
    let mut received = vec![0.0; SHARES.len()];
    let local_weights: Vec<Vec<f64>> = locals
        .iter()
        .map(|local| weights(config, CAPACITY, local, &total))
        .map(|weights| weights.iter().map(|weight| weight.weight).collect())
        .collect();
    let parts = capacities(demands, &local_weights, slots);
    for (entry, demands) in demands.iter().enumerate() {
        let teams: Vec<TeamDemand> = demands
            .iter()
            .enumerate()
            .map(|(team, demand)| TeamDemand {
                share: if exchanged { local_weights[entry][team] } else { f64::from(SHARES[team]) },
                demand: f64::from(*demand),
            })
            .collect();
        let divided = water_fill(parts[entry], &teams);
        received.iter_mut().zip(divided).for_each(|(received, part)| *received += part);
    }
    let pairs = received.iter().zip(&targets);
    pairs.map(|(received, target)| (received - target).abs() / target.max(1.0)).collect()
}

fn central(config: &Config, total: &BTreeMap<TeamId, TeamUsage>) -> Vec<f64> {
    let demands: Vec<TeamDemand> = total
        .iter()
        .map(|(team, usage)| TeamDemand {
            share: f64::from(config.teams[team].share),
            demand: f64::from(usage.demand().min(UPPER_LIMIT)),
        })
        .collect();
    water_fill(f64::from(CAPACITY), &demands)
}

/// Returns the slots of each entry instance. None exceeds its backlog; the others get unused slots.
fn capacities(demands: &Demands, weights: &[Vec<f64>], slots: Slots) -> Vec<f64> {
    let backlog: Vec<f64> = demands.iter().map(|d| f64::from(d.iter().sum::<u32>())).collect();
    let share = |entry: usize| match slots {
        Slots::Backlog => backlog[entry],
        Slots::Even => 1.0,
        Slots::Target => weights[entry].iter().sum(),
    };
    let claims: Vec<TeamDemand> = (0..demands.len())
        .map(|entry| TeamDemand { share: share(entry), demand: backlog[entry] })
        .collect();
    water_fill(f64::from(CAPACITY), &claims)
}

fn usage(demands: &[u32]) -> BTreeMap<TeamId, TeamUsage> {
    let team_usage = |demand: u32| TeamUsage { running: 0, waiting: demand };
    demands.iter().enumerate().map(|(index, demand)| (team(index), team_usage(*demand))).collect()
}

fn team(index: usize) -> TeamId {
    format!("account-{index}").into()
}

fn config() -> Result<Config, Error> {
    let teams = SHARES
        .iter()
        .enumerate()
        .map(|(index, share)| (team(index), json!({"share": share, "upper_limit": UPPER_LIMIT})));
    let teams: BTreeMap<_, _> = teams.collect();
    let value = json!({
        "version": 1, "zones": {}, "pools": {}, "services": {}, "teams": teams,
    });
    let raw: RawConfig = serde_json::from_value(value)?;
    Ok(Config::try_from(raw)?)
}

fn round(values: &[f64]) -> Vec<f64> {
    values.iter().map(|value| (value * 1e3).round() / 1e3).collect()
}

fn worst(values: &[f64]) -> f64 {
    round(&[values.iter().copied().fold(0.0, f64::max)])[0]
}
