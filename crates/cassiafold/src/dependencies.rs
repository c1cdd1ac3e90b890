//! Sources from which the request path reads limits, shares, peer load and failure domains.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use cassiafold_config::{
    ActiveConfig, Config, Instance, InstanceId, InstanceState, ServiceId, TeamId,
};
use cassiafold_dispatch::{
    ANONYMOUS_TEAM, FailureDomainSource, LimitSource, PeerLoad, ShareSource, Sources,
};
use cassiafold_fleet::FleetHandle;
use cassiafold_membership::{Escrow, Permit, Roster, Shares, TeamWeight};
use cassiafold_platform::ListedInstance;
use tokio::sync::watch;

use crate::instances::InstanceView;
use crate::isolation::Isolation;
use crate::usage::LocalUsage;

/// Interval at which weights and peer load are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Tolerance, in requests, when a sum of targets is compared with the capacity.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Sources of the request path.
pub type EntryDependencies = Sources<EscrowLimits, ShareWeights, ReportedLoad, FailureDomains>;

/// Upper limits of teams, enforced through the escrow. Anonymous requests to open queues have none.
#[derive(Debug, Clone)]
pub struct EscrowLimits {
    escrow: Escrow,
    isolation: Isolation,
    changes: watch::Sender<()>,
}

impl EscrowLimits {
    /// Creates limits on `escrow`. Requests with a key are rejected while `isolation` has lasted
    /// longer than its bound.
    pub fn new(escrow: Escrow, isolation: Isolation) -> Self {
        Self { escrow, isolation, changes: watch::Sender::new(()) }
    }

    /// Notifies subscribers when the escrow or the suspension changes, until the escrow is dropped.
    pub async fn run_updates(self) {
        let mut changed = self.escrow.changed();
        let mut suspended = self.are_suspended();
        loop {
            tokio::select! {
                changed = changed.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = tokio::time::sleep(UPDATE_INTERVAL) => {
                    if self.are_suspended() == suspended {
                        continue;
                    }
                }
            }
            suspended = self.are_suspended();
            self.changes.send_replace(());
        }
    }
}

impl LimitSource for EscrowLimits {
    type Permit = Option<Permit>;

    fn try_acquire(&self, team: &TeamId) -> Option<Option<Permit>> {
        if &**team == ANONYMOUS_TEAM {
            return Some(None);
        }
        if self.isolation.rejects_keyed_requests() {
            return None;
        }
        self.escrow.try_acquire(team).map(Some)
    }

    fn are_suspended(&self) -> bool {
        self.isolation.rejects_keyed_requests() || !self.escrow.is_open()
    }

    fn is_valid(&self, permit: &Option<Permit>) -> bool {
        permit.as_ref().is_none_or(Permit::is_valid)
    }

    fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

type WeightTable = HashMap<ServiceId, HashMap<TeamId, TeamShare>>;

/// Share of a service for one team at this entry instance.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TeamShare {
    weight: f64,
    /// Maximum number of running requests while demand exceeds the slots.
    running_max: Option<u32>,
}

/// Local weights that converge to weighted max-min fairness over all entry instances.
#[derive(Debug, Clone, Default)]
pub struct ShareWeights {
    table: Arc<ArcSwap<WeightTable>>,
    changes: watch::Sender<()>,
}

impl ShareWeights {
    /// Updates the weights at an interval. Never returns.
    pub async fn run_updates(
        self,
        shares: Shares,
        config: ActiveConfig,
        instances: InstanceView,
        usage: LocalUsage,
    ) {
        loop {
            if let Some(config) = config.load() {
                let table = compute_weights(&shares, &config, &instances.load(), &usage);
                if **self.table.load() != table {
                    self.table.store(Arc::new(table));
                    self.changes.send_replace(());
                }
            }
            tokio::time::sleep(UPDATE_INTERVAL).await;
        }
    }
}

fn compute_weights(
    shares: &Shares,
    config: &Config,
    instances: &[Instance],
    usage: &LocalUsage,
) -> WeightTable {
    let local = usage.load();
    let capacities = capacities(config, instances);
    let service_weights = |(service, capacity): (&ServiceId, u32)| {
        let weights = shares.weights(service, capacity, &local);
        (!weights.is_empty()).then(|| (service.clone(), team_shares(capacity, weights)))
    };
    capacities.into_iter().filter_map(service_weights).collect()
}

/// Returns the slots of each service on live instances in open zones.
fn capacities<'a>(config: &'a Config, instances: &[Instance]) -> HashMap<&'a ServiceId, u32> {
    let mut capacities = HashMap::new();
    let live = instances.iter().filter(|instance| {
        instance.state == InstanceState::Live && config.zone_open(&instance.zone)
    });
    for service in live.filter_map(|instance| config.service_of_pool(&instance.pool)) {
        let slots = config.services.get(service).map_or(0, |service| service.slots_per_instance);
        *capacities.entry(service).or_insert(0) += slots;
    }
    capacities
}

/// Returns the shares of the teams of a service with `capacity` slots.
///
/// If the targets use the whole capacity, each team is limited to its share, so that slots remain
/// for teams at other entry instances.
fn team_shares(capacity: u32, weights: Vec<TeamWeight>) -> HashMap<TeamId, TeamShare> {
    let target_sum: f64 = weights.iter().map(|weight| weight.target).sum();
    let contended = target_sum + ROUNDING_TOLERANCE >= f64::from(capacity);
    let team_share = |weight: TeamWeight| {
        let running_max = contended.then_some(weight.weight.ceil() as u32);
        (weight.team, TeamShare { weight: weight.weight, running_max })
    };
    weights.into_iter().map(team_share).collect()
}

impl ShareSource for ShareWeights {
    fn weight(&self, service: &ServiceId, team: &TeamId) -> Option<f64> {
        Some(self.table.load().get(service)?.get(team)?.weight)
    }

    fn running_max(&self, service: &ServiceId, team: &TeamId) -> Option<u32> {
        self.table.load().get(service)?.get(team)?.running_max
    }

    fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

#[derive(Debug, Default, PartialEq)]
struct LoadTable {
    running: HashMap<InstanceId, u32>,
    entry_count: u32,
}

/// Load on backend servers from other entry instances, as they report it.
#[derive(Debug, Clone, Default)]
pub struct ReportedLoad {
    table: Arc<ArcSwap<LoadTable>>,
    changes: watch::Sender<()>,
}

impl ReportedLoad {
    /// Updates the load at an interval. Never returns.
    pub async fn run_updates(self, roster: Roster) {
        loop {
            let table = load_of_others(&roster);
            if **self.table.load() != table {
                self.table.store(Arc::new(table));
                self.changes.send_replace(());
            }
            tokio::time::sleep(UPDATE_INTERVAL).await;
        }
    }
}

fn load_of_others(roster: &Roster) -> LoadTable {
    let usages = roster.usages();
    let mut running: HashMap<InstanceId, u32> = HashMap::new();
    for (_, usage) in usages.iter().filter(|(id, _)| *id != roster.me().id) {
        for (instance, count) in &usage.instances {
            *running.entry(instance.clone()).or_default() += count;
        }
    }
    LoadTable { running, entry_count: usages.len() as u32 }
}

impl PeerLoad for ReportedLoad {
    fn running(&self, instance: &InstanceId) -> u32 {
        self.table.load().running.get(instance).copied().unwrap_or(0)
    }

    fn entry_count(&self) -> u32 {
        self.table.load().entry_count.max(1)
    }

    fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

/// Failure domains that the fleet suspects.
#[derive(Debug, Clone)]
pub struct FailureDomains {
    fleet: FleetHandle,
}

impl FailureDomains {
    /// Creates a source that reads the domains of `fleet`.
    pub fn new(fleet: FleetHandle) -> Self {
        Self { fleet }
    }
}

impl FailureDomainSource for FailureDomains {
    fn same_domain(&self, one: &Instance, other: &Instance) -> bool {
        let state = self.fleet.load();
        let same_rack = one.zone == other.zone && one.rack == other.rack;
        same_rack || state.domain_of(&listed(one)) == state.domain_of(&listed(other))
    }
}

fn listed(instance: &Instance) -> ListedInstance {
    ListedInstance {
        id: instance.id.clone(),
        address: instance.address,
        zone: instance.zone.clone(),
        rack: instance.rack.clone(),
        state: instance.state,
    }
}

#[cfg(test)]
mod tests;
