//! Repair of failing instances by a reboot; replacement by a spare instance after repeated repairs.

use std::time::SystemTime;

use cassiafold_config::{InstanceId, PoolId};

use crate::code::FleetCode;
use crate::decision::{Inputs, Refusal};
use crate::document::{Failure, StepKind};
use crate::event::FleetEvent;
use crate::plan::Round;
use crate::policy::limit_for_share;
use crate::reconcile::spare_pool;

/// Starts repairs in the order of the start of the failures.
pub(crate) fn start(round: &mut Round<'_>) {
    let failing = round.placements().filter_map(|(id, placement)| {
        let failure = placement.failure.as_ref()?;
        Some((failure.since, id.clone()))
    });
    let mut ids: Vec<(SystemTime, InstanceId)> = failing.collect();
    ids.sort();
    for (_, id) in ids {
        if check(round, &id).is_ok() {
            repair(round, &id);
        }
    }
}

/// Checks whether a repair of `id` may start now; the error is the rule that prevents it.
pub(crate) fn check(round: &Round<'_>, id: &InstanceId) -> Result<(), Refusal> {
    let placement = round.next.placements.get(id).ok_or(FleetCode::UnknownInstance)?;
    let failure = placement.failure.as_ref().ok_or(FleetCode::NotFailing)?;
    let listed = round.view.listed.get(id).ok_or(FleetCode::NotListed)?;
    if placement.step.is_some() {
        return Err(FleetCode::StepInProgress.into());
    }
    if !round.view.config.zone_open(&listed.zone) {
        return Err(FleetCode::ZoneOut.into());
    }
    if !round.view.zone_allows_steps(listed) {
        return Err(FleetCode::ZoneSilent.into());
    }
    let inputs = failure_inputs(round, id, failure);
    if zone_outage(round, id) {
        return Err(Refusal { code: FleetCode::ZoneStorm, inputs });
    }
    if round.now < failure.since + round.policy.repair_after {
        return Err(FleetCode::RepairTooSoon.into());
    }
    if round.now < failure.retry_at {
        return Err(Refusal { code: FleetCode::RetryLater, inputs });
    }
    let limit = limit_for_share(round.policy.repair_share_max, round.next.placements.len());
    if round.steps(|step| step.kind == StepKind::Repair) >= limit {
        return Err(FleetCode::RepairLimit.into());
    }
    Ok(())
}

/// Whether such a large part of the zone of `id` fails that the instances cannot be the cause.
pub(crate) fn zone_outage(round: &Round<'_>, id: &InstanceId) -> bool {
    let Some(listed) = round.view.listed.get(id) else {
        return false;
    };
    let failing = round.failing.get(&listed.zone).copied().unwrap_or(0);
    let in_zone = round.view.listed.values().filter(|other| other.zone == listed.zone).count();
    failing >= round.policy.zone_outage_min
        && failing as f64 >= round.policy.zone_outage_share * in_zone as f64
}

fn failure_inputs(round: &Round<'_>, id: &InstanceId, failure: &Failure) -> Inputs {
    let zone = round.view.listed.get(id).map(|listed| &listed.zone);
    let failing_in_zone = zone.and_then(|zone| round.failing.get(zone)).copied().unwrap_or(0);
    Inputs::Failure { symptom: failure.symptom, attempts: failure.attempts, failing_in_zone }
}

fn repair(round: &mut Round<'_>, id: &InstanceId) {
    let Some(placement) = round.next.placements.get(id) else {
        return;
    };
    let Some(failure) = placement.failure.clone() else {
        return;
    };
    let home = placement.home.clone();
    if failure.attempts >= round.policy.repair_attempts_max && replace(round, id, &home) {
        return;
    }
    let inputs = failure_inputs(round, id, &failure);
    round.start_step(id, StepKind::Repair);
    round.record(FleetEvent::RepairStarted, id, &home, inputs);
}

/// Moves a spare instance to `home` and the failing instance `id` to the spare pool, both
/// permanently. Returns whether a spare instance was found.
fn replace(round: &mut Round<'_>, id: &InstanceId, home: &PoolId) -> bool {
    let Some(spare) = spare_pool(round.view.config).filter(|spare| *spare != home).cloned() else {
        return false;
    };
    let Some(replacement) = choose_spare(round, &spare, home) else {
        return false;
    };
    let Some(placement) = round.next.placements.get_mut(&replacement) else {
        return false;
    };
    placement.home = home.clone();
    placement.pool = home.clone();
    if let Some(service) = round.view.config.service_of_pool(home) {
        round.budgets.add(service, &replacement);
    }
    round.record(FleetEvent::InstanceReplaced, id, home, Inputs::None);
    round.record(FleetEvent::InstanceAssigned, &replacement, home, Inputs::None);
    round.start_step(id, StepKind::Move { to: spare, permanent: true });
    true
}

/// Idle spare instance that shares a failure domain with the fewest instances of the service.
fn choose_spare(round: &Round<'_>, spare: &PoolId, home: &PoolId) -> Option<InstanceId> {
    let service = round.view.config.service_of_pool(home)?;
    let idle = round.placements().filter(|(id, placement)| {
        placement.pool == *spare && placement.home == *spare && round.view.available(id, placement)
    });
    idle.min_by_key(|(id, _)| round.budgets.shared_domain_count(service, id))
        .map(|(id, _)| id.clone())
}

#[cfg(test)]
mod tests;
