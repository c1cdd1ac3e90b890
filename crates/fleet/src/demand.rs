//! Moves that serve demand and restore the availability budgets.
//!
//! A service with a shortage gets idle spare instances immediately, and borrowed instances from
//! services with a surplus after a drain. If the shortage lasts, it also gets instances from the
//! home pools of services with a surplus. If the service is below its floor, it does so
//! immediately and may use the reserves of other services. A borrowed instance returns to its home
//! pool only after its service has had a surplus for some time, or when the home pool needs it.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use cassiafold_config::{InstanceId, PoolId, ServiceId};

use crate::decision::Inputs;
use crate::document::{Placement, StepKind};
use crate::event::FleetEvent;
use crate::plan::Round;
use crate::view::View;

/// Since when each service has had a shortage or a surplus. Kept in memory by the controller
/// between rounds; losing it only delays moves.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Trends {
    short_since: BTreeMap<ServiceId, SystemTime>,
    surplus_since: BTreeMap<ServiceId, SystemTime>,
}

/// Number of instances that a service needs and has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Instances whose slots cover the running and waiting requests.
    pub demand: usize,
    /// Floor of the availability budget.
    pub floor: usize,
    /// Floor plus the reserve for a failure of the worst domain.
    pub floor_with_reserve: usize,
    /// Available instances, including those moving to the service.
    pub available: usize,
}

impl Need {
    fn target(&self) -> usize {
        self.demand.max(self.floor_with_reserve)
    }

    fn shortfall(&self) -> usize {
        self.target().saturating_sub(self.available)
    }

    /// Whether the demand or the floor is not covered, rather than only the reserve.
    fn urgent(&self) -> bool {
        self.available < self.demand.max(self.floor)
    }

    /// Whether the service is below its floor, which has priority over the reserve and the demand
    /// of other services.
    fn below_floor(&self) -> bool {
        self.available < self.floor
    }

    /// Instances that may be moved to the service with the need `receiver`.
    fn surplus_for(&self, receiver: &Self, factor: f64) -> usize {
        match receiver.below_floor() {
            true => self.available.saturating_sub(self.floor),
            false => self.surplus(factor),
        }
    }

    fn surplus(&self, factor: f64) -> usize {
        let kept = (self.demand as f64 * factor).ceil() as usize;
        self.available.saturating_sub(kept.max(self.floor_with_reserve))
    }

    fn inputs(&self) -> Inputs {
        Inputs::Demand { need: self.target(), available: self.available, floor: self.floor }
    }
}

/// Number of instances whose slots cover the demand for a service.
pub fn demand_instances(view: &View<'_>, id: &ServiceId) -> usize {
    let Some(service) = view.config.services.get(id) else {
        return 0;
    };
    let demand = view.observations.demand.get(id).copied().unwrap_or_default();
    let requests = demand.running.saturating_add(demand.waiting);
    requests.div_ceil(service.slots_per_instance.max(1)) as usize
}

/// Starts moves.
pub(crate) fn start(round: &mut Round<'_>) {
    let needs = needs(round);
    update_trends(round, &needs);
    let mut short: Vec<(&ServiceId, &Need)> =
        needs.iter().filter(|(_, need)| need.shortfall() > 0).collect();
    short.sort_by_key(|(_, need)| (need.available >= need.floor, !need.urgent(), need.available));
    let mut spares = IdleSpares::new(round);
    let movable = MovableInstances::new(round);
    let sources = Sources { needs: &needs, movable: &movable };
    for (service, need) in short {
        fill_shortfall(round, service, *need, &sources, &mut spares);
    }
    for (service, need) in &needs {
        return_borrowed(round, service, need, &movable);
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
            floor_with_reserve: budget.floor + budget.reserve(&[]).0,
            available: budget.available + incoming.get(id).copied().unwrap_or(0),
        };
        (id.clone(), need)
    };
    round.budgets.iter().map(need).collect()
}

fn update_trends(round: &mut Round<'_>, needs: &BTreeMap<ServiceId, Need>) {
    let mut trends = Trends::default();
    let known = &round.view.trends;
    for (id, need) in needs {
        let since =
            |times: &BTreeMap<ServiceId, SystemTime>| times.get(id).copied().unwrap_or(round.now);
        if need.shortfall() > 0 {
            trends.short_since.insert(id.clone(), since(&known.short_since));
        }
        if need.surplus(round.policy.surplus_factor) > 1 {
            trends.surplus_since.insert(id.clone(), since(&known.surplus_since));
        }
    }
    round.trends = trends;
}

fn has_lasted(round: &Round<'_>, since: Option<&SystemTime>, wait: Duration) -> bool {
    since.is_some_and(|since| round.now.duration_since(*since).unwrap_or_default() >= wait)
}

/// Idle spare instances that have not been assigned in this round.
struct IdleSpares {
    ids: Vec<InstanceId>,
}

impl IdleSpares {
    fn new(round: &Round<'_>) -> Self {
        let config = round.view.config;
        let idle = round.placements().filter(|(id, placement)| {
            config.pools.get(&placement.pool).is_some_and(|pool| pool.service.is_none())
                && round.view.available(id, placement)
                && zone_allows_steps(round, id)
        });
        Self { ids: idle.map(|(id, _)| id.clone()).collect() }
    }

    /// Removes the instance that shares a failure domain with the fewest instances of the service,
    /// unless only `kept` instances are left.
    fn take_best(
        &mut self,
        round: &Round<'_>,
        service: &ServiceId,
        kept: usize,
    ) -> Option<InstanceId> {
        if self.ids.len() <= kept {
            return None;
        }
        let shared = |id: &InstanceId| round.budgets.shared_domain_count(service, id);
        let (best, _) = self.ids.iter().enumerate().min_by_key(|(_, id)| shared(id))?;
        Some(self.ids.swap_remove(best))
    }
}

fn zone_allows_steps(round: &Round<'_>, id: &InstanceId) -> bool {
    round.view.listed.get(id).is_some_and(|listed| round.view.zone_allows_steps(listed))
}

/// Sources of instances other than the spare pool.
struct Sources<'a> {
    needs: &'a BTreeMap<ServiceId, Need>,
    movable: &'a MovableInstances,
}

/// A service with a shortage of instances.
struct Shortfall<'a> {
    service: &'a ServiceId,
    /// Pool that receives the instances.
    pool: PoolId,
    need: Need,
    /// Whether other services also give up instances of their home pools.
    donate: bool,
}

fn fill_shortfall(
    round: &mut Round<'_>,
    service: &ServiceId,
    need: Need,
    sources: &Sources<'_>,
    spares: &mut IdleSpares,
) {
    let since = round.trends.short_since.get(service);
    if !need.urgent() && !has_lasted(round, since, round.policy.return_after) {
        return;
    }
    let donate = need.below_floor() || has_lasted(round, since, round.policy.reassign_after);
    let Some(pool) = receiving_pool(round, service) else {
        return;
    };
    let mut shortfall = Shortfall { service, pool, need, donate };
    while shortfall.need.shortfall() > 0 {
        let need = &shortfall.need;
        let kept =
            if need.available < need.floor_with_reserve { 0 } else { round.policy.spare_reserved };
        if let Some(id) = spares.take_best(round, service, kept) {
            assign_spare(round, &id, &shortfall);
        } else if !move_from_donor(round, &shortfall, sources) {
            return;
        }
        shortfall.need.available += 1;
    }
}

/// Pool of the service with the fewest instances compared to the number at home there.
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

/// Moves an idle spare instance without a drain: no request runs on it.
fn assign_spare(round: &mut Round<'_>, id: &InstanceId, shortfall: &Shortfall<'_>) {
    if let Some(placement) = round.next.placements.get_mut(id) {
        placement.pool = shortfall.pool.clone();
        round.budgets.add(shortfall.service, id);
        let inputs = shortfall.need.inputs();
        round.record(FleetEvent::InstanceAssigned, id, &shortfall.pool, inputs);
    }
}

fn move_from_donor(
    round: &mut Round<'_>,
    shortfall: &Shortfall<'_>,
    sources: &Sources<'_>,
) -> bool {
    let factor = round.policy.surplus_factor;
    let mut donors: Vec<(&ServiceId, usize)> = sources
        .needs
        .iter()
        .filter(|(id, _)| *id != shortfall.service)
        .filter_map(|(id, donor)| {
            let taken = donor.available.saturating_sub(round.budgets.get(id)?.available);
            let remaining = donor.surplus_for(&shortfall.need, factor).checked_sub(taken)?;
            (remaining > 0).then_some((id, remaining))
        })
        .collect();
    donors.sort_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
    let found = donors
        .into_iter()
        .find_map(|(id, _)| choose_donated(round, id, shortfall, sources.movable));
    let Some(id) = found else {
        return false;
    };
    let pool = &shortfall.pool;
    round.start_step(&id, StepKind::Move { to: pool.clone(), permanent: false });
    round.record(FleetEvent::MoveStarted, &id, pool, shortfall.need.inputs());
    true
}

/// Instance of `donor` that is cheapest to move: preferably at home in the receiving pool, then
/// borrowed, then with the fewest running requests. Without `donate` only borrowed instances are
/// considered.
fn choose_donated(
    round: &Round<'_>,
    donor: &ServiceId,
    shortfall: &Shortfall<'_>,
    movable: &MovableInstances,
) -> Option<InstanceId> {
    let candidates = movable.of_service(donor).iter().filter_map(|id| {
        let placement = round.next.placements.get(id)?;
        let borrowed = placement.home != placement.pool;
        (placement.step.is_none() && (shortfall.donate || borrowed)).then_some((id, placement))
    });
    let cost = |(id, placement): &(&InstanceId, &Placement)| {
        let at_home = placement.home == placement.pool;
        (placement.home != shortfall.pool, at_home, round.view.observations.running(id))
    };
    let mut candidates: Vec<_> = candidates.collect();
    candidates.sort_by_key(cost);
    let allowed =
        |id: &InstanceId| shortfall.need.below_floor() || round.budgets.check(donor, id).is_ok();
    candidates.into_iter().map(|(id, _)| id).find(|id| allowed(id)).cloned()
}

/// Instances that may move at the start of a round, by service.
#[derive(Debug, Default)]
struct MovableInstances {
    by_service: BTreeMap<ServiceId, Vec<InstanceId>>,
}

impl MovableInstances {
    fn new(round: &Round<'_>) -> Self {
        let mut by_service: BTreeMap<ServiceId, Vec<InstanceId>> = BTreeMap::new();
        for (id, placement) in round.placements() {
            if let Some(service) = round.view.service_of(placement)
                && movable(round, id, placement)
            {
                by_service.entry(service.clone()).or_default().push(id.clone());
            }
        }
        Self { by_service }
    }

    fn of_service(&self, service: &ServiceId) -> &[InstanceId] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}

fn movable(round: &Round<'_>, id: &InstanceId, placement: &Placement) -> bool {
    let in_backoff = placement.not_before.is_some_and(|time| time > round.now);
    !in_backoff && round.view.available(id, placement) && zone_allows_steps(round, id)
}

/// Starts the move of one borrowed instance to its home pool if its service has had a surplus for
/// some time.
fn return_borrowed(
    round: &mut Round<'_>,
    service: &ServiceId,
    need: &Need,
    movable: &MovableInstances,
) {
    if !has_lasted(round, round.trends.surplus_since.get(service), round.policy.return_after) {
        return;
    }
    let borrowed = movable.of_service(service).iter().filter_map(|id| {
        let placement = round.next.placements.get(id)?;
        let borrowed = placement.home != placement.pool && placement.step.is_none();
        (borrowed && round.budgets.check(service, id).is_ok()).then_some((id, placement))
    });
    let running = |id: &InstanceId| round.view.observations.running(id);
    let Some((id, home)) = borrowed
        .min_by_key(|(id, _)| running(id))
        .map(|(id, placement)| (id.clone(), placement.home.clone()))
    else {
        return;
    };
    round.start_step(&id, StepKind::Move { to: home.clone(), permanent: false });
    round.record(FleetEvent::MoveStarted, &id, &home, need.inputs());
}

#[cfg(test)]
mod tests;
