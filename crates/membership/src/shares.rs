//! Shares of teams over all entry instances: weighted max-min fairness, and the local weights that
//! approximate it.

use std::collections::BTreeMap;
use std::sync::Arc;

use cassiafold_config::{ActiveConfig, Config, ServiceId, TeamId};

use crate::roster::Roster;
use crate::usage::{TeamUsage, Usage};

/// Smallest weight, so that a team without a known demand is not starved.
const WEIGHT_MIN: f64 = 1e-3;

/// Demand of one team for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamDemand {
    /// Weight of the team when the service is at capacity.
    pub share: f64,
    /// Number of requests that would run without contention, within the upper limit.
    pub demand: f64,
}

/// Divides `capacity` by weighted max-min fairness: no team gets more than its demand, and unused
/// capacity goes to the others in proportion to their shares.
pub fn water_fill(capacity: f64, teams: &[TeamDemand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..teams.len()).filter(|team| teams[*team].share > 0.0).collect();
    let level = |team: usize| teams[team].demand / teams[team].share;
    order.sort_by(|a, b| level(*a).total_cmp(&level(*b)));
    let mut parts = vec![0.0; teams.len()];
    let mut remaining = capacity;
    let mut shares: f64 = order.iter().map(|team| teams[*team].share).sum();
    for team in order {
        let part = teams[team].demand.min(remaining * teams[team].share / shares);
        parts[team] = part;
        remaining -= part;
        shares -= teams[team].share;
    }
    parts
}

/// Target of one team and its local weight.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamWeight {
    /// The team.
    pub team: TeamId,
    /// Number of the team's requests that should run in the whole service.
    pub target: f64,
    /// Part of `target` for this entry instance, used as the weight of the team's queue here.
    pub weight: f64,
}

/// Returns the weights of the teams at one entry instance. `local` is its own usage of the service
/// and `total` that of all entry instances, its own included; `capacity` is the number of requests
/// that the service runs concurrently.
///
/// The target of a team is divided among the entry instances in proportion to the demand at each.
pub fn weights(
    config: &Config,
    capacity: u32,
    local: &BTreeMap<TeamId, TeamUsage>,
    total: &BTreeMap<TeamId, TeamUsage>,
) -> Vec<TeamWeight> {
    let known =
        total.iter().filter_map(|(team, usage)| Some((team, usage, config.teams.get(team)?)));
    let known: Vec<_> = known.collect();
    let demands: Vec<TeamDemand> = known
        .iter()
        .map(|(_, usage, team)| TeamDemand {
            share: f64::from(team.share),
            demand: f64::from(usage.demand().min(team.upper_limit)),
        })
        .collect();
    let targets = water_fill(f64::from(capacity), &demands);
    let pairs = known.into_iter().zip(targets);
    pairs
        .map(|((team, usage, _), target)| {
            let own_demand = local.get(team).copied().unwrap_or_default().demand();
            let part = f64::from(own_demand) / f64::from(usage.demand().max(1));
            TeamWeight { team: team.clone(), target, weight: (target * part).max(WEIGHT_MIN) }
        })
        .collect()
}

/// Returns the number of slots that an entry instance should take when the service is at capacity:
/// the sum of its weights.
pub fn slots_target(weights: &[TeamWeight]) -> u32 {
    weights.iter().map(|weight| weight.weight).sum::<f64>().round() as u32
}

/// Returns the usage of one service by team.
pub fn service_usage(usage: &Usage, service: &ServiceId) -> BTreeMap<TeamId, TeamUsage> {
    let queues = usage.queues.iter().filter(|(queue, _)| queue.service == *service);
    queues.map(|(queue, usage)| (queue.team.clone(), *usage)).collect()
}

/// Returns the sum of the usage of several entry instances.
pub fn sum<'a>(
    usages: impl IntoIterator<Item = &'a BTreeMap<TeamId, TeamUsage>>,
) -> BTreeMap<TeamId, TeamUsage> {
    let mut total: BTreeMap<TeamId, TeamUsage> = BTreeMap::new();
    for (team, usage) in usages.into_iter().flatten() {
        let entry = total.entry(team.clone()).or_default();
        entry.running = entry.running.saturating_add(usage.running);
        entry.waiting = entry.waiting.saturating_add(usage.waiting);
    }
    total
}

/// Computes shares from the usage that entry instances exchange. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Shares {
    roster: Roster,
    config: ActiveConfig,
}

impl Shares {
    /// Creates shares over the live entry instances of `roster`.
    pub fn new(roster: Roster, config: ActiveConfig) -> Self {
        Self { roster, config }
    }

    /// Returns the weights of the teams for a service that runs `capacity` requests concurrently.
    /// `local` is the usage of this entry instance at this moment.
    pub fn weights(&self, service: &ServiceId, capacity: u32, local: &Usage) -> Vec<TeamWeight> {
        let Some(config) = self.config.load() else { return Vec::new() };
        let own_usage = service_usage(local, service);
        let total = self.total_usage(service, &own_usage);
        weights(&config, capacity, &own_usage, &total)
    }

    fn total_usage(
        &self,
        service: &ServiceId,
        own_usage: &BTreeMap<TeamId, TeamUsage>,
    ) -> BTreeMap<TeamId, TeamUsage> {
        let usages: Vec<(_, Arc<Usage>)> = self.roster.usages();
        let others = usages.iter().filter(|(id, _)| *id != self.roster.me().id);
        let others: Vec<_> = others.map(|(_, usage)| service_usage(usage, service)).collect();
        sum(others.iter().chain([own_usage]))
    }
}

#[cfg(test)]
mod tests;
