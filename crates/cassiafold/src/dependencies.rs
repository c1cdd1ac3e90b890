//! What the request path asks of the rest of the entry instance.

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

/// Time between two updates of weights and of the load by others.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Part of a request by which a sum of targets may miss the capacity that it takes up.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The bundle of sources of the request path.
pub type EntryDependencies = Sources<EscrowLimits, ShareWeights, ReportedLoad, FailureDomains>;

/// Upper limits by escrow. Anonymous work at open queues has none.
#[derive(Debug, Clone)]
pub struct EscrowLimits {
    escrow: Escrow,
    isolation: Isolation,
    changes: watch::Sender<()>,
}

impl EscrowLimits {
    /// Limits by `escrow`; keyed work stops when `isolation` has lasted too long.
    pub fn new(escrow: Escrow, isolation: Isolation) -> Self {
        Self { escrow, isolation, changes: watch::Sender::new(()) }
    }

    /// Passes changes of the escrow and of the suspension on until the escrow has gone.
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

/// Part of a service that falls to a team at this entry instance.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TeamShare {
    weight: f64,
    /// Most requests that run here while teams want more slots than there are.
    running_max: Option<u32>,
}

/// Local weights that steer towards weighted max-min over all entry instances.
#[derive(Debug, Clone, Default)]
pub struct ShareWeights {
    table: Arc<ArcSwap<WeightTable>>,
    changes: watch::Sender<()>,
}

impl ShareWeights {
    /// Keeps the weights up to date until dropped.
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
    let compute_weights = |(service, capacity): (&ServiceId, u32)| {
        let weights = shares.weights(service, capacity, &local);
        (!weights.is_empty()).then(|| (service.clone(), team_shares(capacity, weights)))
    };
    capacities.into_iter().filter_map(compute_weights).collect()
}

/// Requests that each service runs at once on the instances that take work now.
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

/// Parts of the teams of a service that runs `capacity` requests at once. When their targets take
/// up all of it, each team is held to its part, so that those at other entry instances find slots.
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

/// Load that other entry instances put on backend servers.
#[derive(Debug, Clone, Default)]
pub struct ReportedLoad {
    table: Arc<ArcSwap<LoadTable>>,
    changes: watch::Sender<()>,
}

impl ReportedLoad {
    /// Keeps the load up to date until dropped.
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

/// Suspected failure domains, as the fleet has learned them.
#[derive(Debug, Clone)]
pub struct FailureDomains {
    fleet: FleetHandle,
}

impl FailureDomains {
    /// Domains of `fleet`.
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
