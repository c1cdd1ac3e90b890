//! Maintenance waves: order, pauses and the checks for each instance.
//!
//! A wave maintains its zones one after another. Within a zone it goes by failure domain, so that
//! the instances under maintenance share as few domains as possible with the remaining ones.

use std::time::SystemTime;

use cassiafold_config::{InstanceId, Wave, WaveId, ZoneId};

use crate::code::FleetCode;
use crate::decision::{Inputs, Refusal};
use crate::demand::demand_instances;
use crate::document::{Placement, StepKind, Symptom};
use crate::domain::DomainId;
use crate::event::FleetEvent;
use crate::plan::Round;
use crate::policy::limit_for_share;
use crate::wave::blackout::in_blackout;

pub mod blackout;
mod status;

pub use status::WaveStatus;
pub(crate) use status::status;

/// Starts maintenance steps.
pub(crate) fn start(round: &mut Round<'_>) {
    let config = round.view.config;
    for (id, wave) in &config.waves {
        if pause_reason(round, wave).is_some() {
            continue;
        }
        let Some(zone) = active_zone(round, wave) else {
            continue;
        };
        for instance in candidates(round, wave, zone) {
            if parallel_limit_reached(round) {
                return;
            }
            if check_instance(round, &instance).is_ok() {
                start_maintenance(round, id, &instance);
            }
        }
    }
}

fn start_maintenance(round: &mut Round<'_>, wave: &WaveId, id: &InstanceId) {
    let Some(placement) = round.next.placements.get(id) else {
        return;
    };
    let pool = placement.pool.clone();
    let inputs = budget_inputs(round, id, placement);
    round.start_step(id, StepKind::Maintain { wave: wave.clone() });
    round.record_in_wave(FleetEvent::MaintenanceStarted, id, &pool, Some(wave.clone()), inputs);
}

fn budget_inputs(round: &Round<'_>, id: &InstanceId, placement: &Placement) -> Inputs {
    let service = round.view.service_of(placement);
    let Some(budget) = service.and_then(|service| round.budgets.get(service)) else {
        return Inputs::None;
    };
    let index = round.budgets.index();
    let (reserve, position) = budget.reserve(index.positions(id));
    Inputs::Budget {
        available: budget.available,
        floor: budget.floor,
        reserve,
        domain: position.map(|position| index.domain_id(position).clone()),
    }
}

/// Whether a wave covers an instance, by its zone and home pool.
pub(crate) fn covers(
    round: &Round<'_>,
    wave: &Wave,
    id: &InstanceId,
    placement: &Placement,
) -> bool {
    let listed = round.view.listed.get(id);
    listed.is_some_and(|listed| wave.zones.contains(&listed.zone))
        && (wave.pools.is_empty() || wave.pools.contains(&placement.home))
}

/// Whether the instance was maintained in this wave.
pub(crate) fn is_done(wave: &Wave, placement: &Placement) -> bool {
    placement.maintained_at.is_some_and(|time| time >= wave.start)
}

/// Reason why the whole wave is paused, if any.
pub(crate) fn pause_reason(round: &Round<'_>, wave: &Wave) -> Option<FleetCode> {
    if round.now < wave.start {
        return Some(FleetCode::WaveNotStarted);
    }
    if wave.paused {
        return Some(FleetCode::WavePaused);
    }
    if in_blackout(wave, round.now) || in_blackout(wave, round.now + wave.drain_max) {
        return Some(FleetCode::Blackout);
    }
    if recent_failures(round) >= pause_limit(round) {
        return Some(FleetCode::PausedByFailures);
    }
    let not_returned = |placement: &&Placement| {
        let failure = placement.failure.as_ref();
        failure.is_some_and(|failure| {
            failure.symptom == Symptom::NotReturned
                && failure.attempts < round.policy.repair_attempts_max
        })
    };
    let not_returned = round.next.placements.values().filter(not_returned).count();
    (not_returned >= round.policy.wave_failures_max).then_some(FleetCode::PausedByWave)
}

fn pause_limit(round: &Round<'_>) -> usize {
    let share = limit_for_share(round.policy.pause_share, round.next.placements.len());
    share.max(round.policy.pause_min)
}

fn recent_failures(round: &Round<'_>) -> usize {
    let recent = |placement: &&Placement| {
        placement.failure.as_ref().is_some_and(|failure| {
            let age = round.now.duration_since(failure.since).unwrap_or_default();
            failure.symptom != Symptom::NotReturned && age < round.policy.recent_failure
        })
    };
    round.next.placements.values().filter(recent).count()
}

/// First zone in the wave's order with an instance that is under maintenance or still to be
/// maintained. Instances that cannot be maintained now do not block later zones.
pub(crate) fn active_zone<'a>(round: &Round<'a>, wave: &'a Wave) -> Option<&'a ZoneId> {
    let blocks = |zone: &ZoneId| {
        round.placements().any(|(id, placement)| {
            round.view.listed.get(id).is_some_and(|listed| listed.zone == *zone)
                && covers(round, wave, id, placement)
                && !is_done(wave, placement)
                && blocks_zone(round, id, placement)
        })
    };
    wave.zones.iter().find(|zone| blocks(zone))
}

fn blocks_zone(round: &Round<'_>, id: &InstanceId, placement: &Placement) -> bool {
    let in_backoff = placement.not_before.is_some_and(|time| time > round.now);
    placement.step.is_some() || (round.view.healthy(id, placement) && !in_backoff)
}

/// Instances of `zone` still to be maintained, in order of their failure domains.
fn candidates(round: &Round<'_>, wave: &Wave, zone: &ZoneId) -> Vec<InstanceId> {
    let waiting = round.placements().filter(|(id, placement)| {
        round.view.listed.get(*id).is_some_and(|listed| listed.zone == *zone)
            && covers(round, wave, id, placement)
            && !is_done(wave, placement)
            && placement.step.is_none()
    });
    let mut waiting: Vec<(DomainId, InstanceId)> =
        waiting.map(|(id, _)| (primary_domain(round, id), id.clone())).collect();
    waiting.sort();
    waiting.into_iter().map(|(_, id)| id).collect()
}

/// Learned domain of an instance, or its rack if there is none.
fn primary_domain(round: &Round<'_>, id: &InstanceId) -> DomainId {
    let index = round.budgets.index();
    index
        .positions(id)
        .last()
        .map_or_else(|| "".into(), |position| index.domain_id(*position).clone())
}

fn parallel_limit_reached(round: &Round<'_>) -> bool {
    let limit = limit_for_share(round.policy.maintenance_share_max, round.next.placements.len());
    round.steps(|step| matches!(step.kind, StepKind::Maintain { .. })) >= limit
}

/// Checks whether maintenance of one instance may start now, regardless of the state of its wave.
fn check_instance(round: &Round<'_>, id: &InstanceId) -> Result<(), Refusal> {
    let placement = round.next.placements.get(id).ok_or(FleetCode::UnknownInstance)?;
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
    if placement.failure.is_some() || round.view.observations.symptoms.contains_key(id) {
        return Err(FleetCode::Failing.into());
    }
    if !round.view.healthy(id, placement) {
        return Err(FleetCode::NotListed.into());
    }
    if placement.not_before.is_some_and(|time| time > round.now) {
        return Err(FleetCode::RetryLater.into());
    }
    check_service(round, id, placement)
}

fn check_service(round: &Round<'_>, id: &InstanceId, placement: &Placement) -> Result<(), Refusal> {
    let Some(service) = round.view.service_of(placement) else {
        return check_spare(round, placement);
    };
    round.budgets.check(service, id)?;
    let available = round.budgets.get(service).map_or(0, |budget| budget.available);
    let floor = round.budgets.get(service).map_or(0, |budget| budget.floor);
    let need = demand_instances(round.view, service);
    if available <= need {
        let inputs = Inputs::Demand { need, available, floor };
        return Err(Refusal { code: FleetCode::DemandHigh, inputs });
    }
    Ok(())
}

fn check_spare(round: &Round<'_>, placement: &Placement) -> Result<(), Refusal> {
    let members = round.placements().filter(|(_, other)| other.pool == placement.pool);
    let (mut total, mut in_progress) = (0, 0);
    for (_, other) in members {
        total += 1;
        in_progress += usize::from(other.step.is_some());
    }
    if in_progress >= limit_for_share(round.policy.spare_share_max, total) {
        return Err(FleetCode::ParallelLimit.into());
    }
    Ok(())
}

/// Reason why maintenance of `id` does not start now; [`FleetCode::Due`] if it can start.
pub(crate) fn maintenance_refusal(round: &Round<'_>, id: &InstanceId) -> Refusal {
    let Some(placement) = round.next.placements.get(id) else {
        return FleetCode::UnknownInstance.into();
    };
    let waves = round.view.config.waves.values();
    let covering: Vec<&Wave> = waves.filter(|wave| covers(round, wave, id, placement)).collect();
    let Some(wave) = covering.iter().find(|wave| !is_done(wave, placement)).copied() else {
        let code = if covering.is_empty() { FleetCode::NoWave } else { FleetCode::Maintained };
        return code.into();
    };
    if placement.step.is_some() {
        return FleetCode::StepInProgress.into();
    }
    if let Some(code) = pause_reason(round, wave) {
        return code.into();
    }
    if let Err(refusal) = check_instance(round, id) {
        return refusal;
    }
    let zone = round.view.listed.get(id).map(|listed| &listed.zone);
    if active_zone(round, wave) != zone {
        return FleetCode::EarlierZone.into();
    }
    let code =
        if parallel_limit_reached(round) { FleetCode::ParallelLimit } else { FleetCode::Due };
    code.into()
}

/// Whether the last maintenance of the instance is longer ago than the maintenance period.
pub(crate) fn overdue(round: &Round<'_>, placement: &Placement) -> bool {
    let since = placement.maintained_at.unwrap_or(SystemTime::UNIX_EPOCH);
    let age = round.now.duration_since(since).unwrap_or_default();
    age > round.policy.maintenance_period
}

#[cfg(test)]
mod tests;
