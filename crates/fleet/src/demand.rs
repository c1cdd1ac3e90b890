//! Moves for demand and for the availability budgets.
//!
//! A service that is short takes spare instances at once. When it stays short it takes instances
//! that other services do not need, which must drain first. Instances go back to their home pool
//! only after their service has asked for little for some time, or when home needs them.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use cassiafold_config::{InstanceId, PoolId, ServiceId};

use crate::decision::Inputs;
use crate::document::{Placement, StepKind};
use crate::event::FleetEvent;
use crate::plan::Round;
use crate::view::View;

/// Since when each service has been short of instances, or asked for little. Kept by the
/// controller between rounds; losing it only delays moves.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Trends {
    short: BTreeMap<ServiceId, SystemTime>,
    quiet: BTreeMap<ServiceId, SystemTime>,
}

/// Instances that a service needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Instances whose slots hold the running and waiting requests.
    pub demand: usize,
    /// Floor of the availability budget.
    pub floor: usize,
    /// Floor and the reserve for the worst failure domain.
    pub cover: usize,
    /// Instances available, with those on their way.
    pub available: usize,
}

impl Need {
    fn target(&self) -> usize {
        self.demand.max(self.cover)
    }

    fn short(&self) -> usize {
        self.target().saturating_sub(self.available)
    }

    /// Whether more than the reserve is missing.
    fn urgent(&self) -> bool {
        self.available < self.demand.max(self.floor)
    }

    fn surplus(&self, factor: f64) -> usize {
        let kept = (self.demand as f64 * factor).ceil() as usize;
        self.available.saturating_sub(kept.max(self.cover))
    }

    fn inputs(&self) -> Inputs {
        Inputs::Demand { need: self.target(), available: self.available, floor: self.floor }
    }
}

/// Instances whose slots hold the demand for a service.
pub fn demand_instances(view: &View<'_>, id: &ServiceId) -> usize {
    let Some(service) = view.config.services.get(id) else {
        return 0;
    };
    let demand = view.observed.demand.get(id).copied().unwrap_or_default();
    let requests = demand.running.saturating_add(demand.waiting);
    requests.div_ceil(service.slots_per_instance.max(1)) as usize
}

/// Starts moves.
pub(crate) fn start(round: &mut Round<'_>) {
    let needs = needs(round);
    note_trends(round, &needs);
    let mut short: Vec<(&ServiceId, &Need)> =
        needs.iter().filter(|(_, need)| need.short() > 0).collect();
    short.sort_by_key(|(_, need)| (need.available >= need.floor, !need.urgent(), need.available));
    let mut spares = Spares::new(round);
    for (service, need) in short {
        fill(round, service, *need, &needs, &mut spares);
    }
    for (service, need) in &needs {
        return_one(round, service, need);
    }
}

fn needs(round: &Round<'_>) -> BTreeMap<ServiceId, Need> {
    let mut incoming: BTreeMap<&ServiceId, usize> = BTreeMap::new();
    for placement in round.next.placements.values() {
        if let Some(StepKind::Move { to, .. }) = placement.step.as_ref().map(|step| &step.kind)
            && let Some(service) = round.view.config.service_of_pool(to)
        {
            *incoming.entry(service).or_default() += 1;
        }
    }
    let need = |(id, budget): (&ServiceId, &crate::budget::Budget)| {
        let need = Need {
            demand: demand_instances(round.view, id),
            floor: budget.floor,
            cover: budget.floor + budget.reserve(&[]).0,
            available: budget.available + incoming.get(id).copied().unwrap_or(0),
        };
        (id.clone(), need)
    };
    round.budgets.iter().map(need).collect()
}

fn note_trends(round: &mut Round<'_>, needs: &BTreeMap<ServiceId, Need>) {
    let mut trends = Trends::default();
    let known = &round.view.trends;
    for (id, need) in needs {
        let since =
            |times: &BTreeMap<ServiceId, SystemTime>| times.get(id).copied().unwrap_or(round.now);
        if need.short() > 0 {
            trends.short.insert(id.clone(), since(&known.short));
        }
        if need.surplus(round.policy.surplus_factor) > 1 {
            trends.quiet.insert(id.clone(), since(&known.quiet));
        }
    }
    round.trends = trends;
}

fn lasted(round: &Round<'_>, since: Option<&SystemTime>, wait: Duration) -> bool {
    since.is_some_and(|since| round.now.duration_since(*since).unwrap_or_default() >= wait)
}

/// Idle spare instances of a round.
struct Spares {
    ids: Vec<InstanceId>,
}

impl Spares {
    fn new(round: &Round<'_>) -> Self {
        let config = round.view.config;
        let idle = round.placements().filter(|(id, placement)| {
            config.pools.get(&placement.pool).is_some_and(|pool| pool.service.is_none())
                && round.view.available(id, placement)
                && steady(round, id)
        });
        Self { ids: idle.map(|(id, _)| id.clone()).collect() }
    }

    /// Takes the instance that shares the fewest failure domains with the service.
    fn take(&mut self, round: &Round<'_>, service: &ServiceId, kept: usize) -> Option<InstanceId> {
        if self.ids.len() <= kept {
            return None;
        }
        let shared = |id: &InstanceId| round.budgets.neighbours(service, id);
        let (best, _) = self.ids.iter().enumerate().min_by_key(|(_, id)| shared(id))?;
        Some(self.ids.swap_remove(best))
    }
}

fn steady(round: &Round<'_>, id: &InstanceId) -> bool {
    round.view.listed.get(id).is_some_and(|listed| round.view.zone_steady(listed))
}

fn fill(
    round: &mut Round<'_>,
    service: &ServiceId,
    need: Need,
    needs: &BTreeMap<ServiceId, Need>,
    spares: &mut Spares,
) {
    let since = round.trends.short.get(service);
    if !need.urgent() && !lasted(round, since, round.policy.return_after) {
        return;
    }
    let donate = need.available < need.floor || lasted(round, since, round.policy.donate_after);
    let Some(pool) = receiving_pool(round, service) else {
        return;
    };
    let mut need = need;
    while need.short() > 0 {
        let kept = if need.available < need.cover { 0 } else { round.policy.spare_kept };
        if let Some(id) = spares.take(round, service, kept) {
            assign(round, &id, &pool, service, &need);
        } else if !donate || !take_from_donor(round, &pool, &need, needs, service) {
            return;
        }
        need.available += 1;
    }
}

/// Pool of the service with the fewest instances against its home count.
fn receiving_pool(round: &Round<'_>, service: &ServiceId) -> Option<PoolId> {
    let config = round.view.config;
    let pools = config.pools.iter().filter(|(_, pool)| pool.service.as_ref() == Some(service));
    let balance = |id: &PoolId| {
        let present = round.placements().filter(|(_, placement)| placement.pool == *id).count();
        let home = round.placements().filter(|(_, placement)| placement.home == *id).count();
        present as i64 - home as i64
    };
    let mut ids: Vec<&PoolId> = pools.map(|(id, _)| id).collect();
    if ids.len() > 1 {
        ids.sort_by_cached_key(|id| balance(id));
    }
    ids.first().map(|id| (*id).clone())
}

/// Moves an idle spare instance at once: nothing runs on it.
fn assign(round: &mut Round<'_>, id: &InstanceId, pool: &PoolId, service: &ServiceId, need: &Need) {
    if let Some(placement) = round.next.placements.get_mut(id) {
        placement.pool = pool.clone();
        round.budgets.give(service, id);
        round.decide(FleetEvent::InstanceAssigned, id, pool, need.inputs());
    }
}

fn take_from_donor(
    round: &mut Round<'_>,
    pool: &PoolId,
    need: &Need,
    needs: &BTreeMap<ServiceId, Need>,
    receiver: &ServiceId,
) -> bool {
    let factor = round.policy.surplus_factor;
    let donors = needs.iter().filter(|(id, need)| *id != receiver && need.surplus(factor) > 0);
    let mut donors: Vec<(&ServiceId, usize)> = donors
        .filter_map(|(id, need)| {
            let taken = need.available.checked_sub(round.budgets.get(id)?.available)?;
            let left = need.surplus(factor).checked_sub(taken)?;
            (left > 0).then_some((id, left))
        })
        .collect();
    donors.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
    let found = donors.into_iter().find_map(|(id, _)| donated(round, id, pool));
    let Some(id) = found else {
        return false;
    };
    round.start_step(&id, StepKind::Move { to: pool.clone(), settle: false });
    round.decide(FleetEvent::MoveStarted, &id, pool, need.inputs());
    true
}

/// Instance of `donor` that moves at the least cost: at home in `pool`, on loan, or little used.
fn donated(round: &Round<'_>, donor: &ServiceId, pool: &PoolId) -> Option<InstanceId> {
    let movable = round.placements().filter(|(id, placement)| {
        round.view.service_of(placement) == Some(donor) && movable(round, id, placement, donor)
    });
    let cost = |id: &InstanceId, placement: &Placement| {
        let at_home = placement.home == placement.pool;
        (placement.home != *pool, at_home, round.view.observed.running(id))
    };
    movable.min_by_key(|(id, placement)| cost(id, placement)).map(|(id, _)| id.clone())
}

fn movable(round: &Round<'_>, id: &InstanceId, placement: &Placement, service: &ServiceId) -> bool {
    let retry = placement.not_before.is_some_and(|time| time > round.now);
    !retry
        && round.view.available(id, placement)
        && steady(round, id)
        && round.budgets.check(service, id).is_ok()
}

/// Sends one instance on loan back home when its service has asked for little for some time.
fn return_one(round: &mut Round<'_>, service: &ServiceId, need: &Need) {
    if !lasted(round, round.trends.quiet.get(service), round.policy.return_after) {
        return;
    }
    let loaned = round.placements().filter(|(id, placement)| {
        placement.home != placement.pool
            && round.view.service_of(placement) == Some(service)
            && movable(round, id, placement, service)
    });
    let running = |id: &InstanceId| round.view.observed.running(id);
    let Some((id, home)) = loaned
        .min_by_key(|(id, _)| running(id))
        .map(|(id, placement)| (id.clone(), placement.home.clone()))
    else {
        return;
    };
    round.start_step(&id, StepKind::Move { to: home.clone(), settle: false });
    round.decide(FleetEvent::MoveStarted, &id, &home, need.inputs());
}

#[cfg(test)]
mod tests;
