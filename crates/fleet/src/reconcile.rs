//! Taking stock: adopts new instances, notes failures and forgets what has left.

use cassiafold_config::{Config, InstanceId, PoolId};

use crate::decision::Inputs;
use crate::document::{Failure, Phase, Placement, Symptom};
use crate::event::FleetEvent;
use crate::plan::Round;

/// Pool that adopts an instance: the longest pool id that is followed by `-` at the start of the
/// instance id, else the first spare pool. The instance id is the label that operators set when
/// they create an instance.
pub fn initial_pool<'a>(config: &'a Config, id: &str) -> Option<&'a PoolId> {
    let labelled = config
        .pools
        .keys()
        .filter(|pool| id.strip_prefix(&***pool).is_some_and(|rest| rest.starts_with('-')));
    labelled.max_by_key(|pool| pool.len()).or_else(|| spare_pool(config))
}

/// First pool that serves no service.
pub fn spare_pool(config: &Config) -> Option<&PoolId> {
    config.pools.iter().find(|(_, pool)| pool.service.is_none()).map(|(id, _)| id)
}

/// Brings the next document in line with the platform's list and what was observed.
pub(crate) fn instances(round: &mut Round<'_>) {
    adopt(round);
    let ids: Vec<InstanceId> = round.next.placements.keys().cloned().collect();
    for id in &ids {
        note_presence(round, id);
        note_health(round, id);
    }
}

fn adopt(round: &mut Round<'_>) {
    let view = round.view;
    for id in view.listed.keys() {
        if round.next.placements.contains_key(id) {
            continue;
        }
        let Some(pool) = initial_pool(view.config, id) else {
            continue;
        };
        take_vacancy(round, pool);
        round.next.placements.insert(id.clone(), Placement::new(pool.clone()));
        round.record(FleetEvent::InstanceAdopted, id, pool, Inputs::None);
    }
}

/// Forgets the instance of `pool` that vanished first: the new one takes its place.
fn take_vacancy(round: &mut Round<'_>, pool: &PoolId) {
    let vacant = round
        .placements()
        .filter(|(_, placement)| placement.home == *pool)
        .filter_map(|(id, placement)| Some((placement.missing_since?, id.clone())))
        .min();
    if let Some((_, id)) = vacant {
        forget(round, &id);
    }
}

fn forget(round: &mut Round<'_>, id: &InstanceId) {
    if let Some(placement) = round.next.placements.remove(id) {
        round.record(FleetEvent::InstanceForgotten, id, &placement.pool, Inputs::None);
    }
}

fn note_presence(round: &mut Round<'_>, id: &InstanceId) {
    let now = round.now;
    let listed = round.view.listed.contains_key(id);
    let Some(placement) = round.next.placements.get_mut(id) else {
        return;
    };
    let pool = placement.pool.clone();
    match (listed, placement.missing_since) {
        (true, Some(_)) => placement.missing_since = None,
        (false, None) => {
            placement.missing_since = Some(now);
            round.record(FleetEvent::InstanceVanished, id, &pool, Inputs::None);
        }
        (false, Some(since)) => {
            let gone = now.duration_since(since).unwrap_or_default();
            if gone >= round.policy.missing_step_timeout && placement.step.take().is_some() {
                round.record(FleetEvent::StepDropped, id, &pool, Inputs::None);
            }
            if gone >= round.policy.forget_after {
                forget(round, id);
            }
        }
        (true, None) => {}
    }
}

fn note_health(round: &mut Round<'_>, id: &InstanceId) {
    let now = round.now;
    let symptom = round.view.observations.symptoms.get(id).copied();
    let Some(placement) = round.next.placements.get_mut(id) else {
        return;
    };
    let rebooted = placement.step.as_ref().is_some_and(|step| step.phase != Phase::Draining);
    let pool = placement.pool.clone();
    match (symptom, &placement.failure) {
        (Some(symptom), None) if !rebooted => {
            placement.failure = Some(Failure { since: now, symptom, attempts: 0, retry_at: now });
            let inputs = Inputs::Failure { symptom, attempts: 0, failing_in_zone: 0 };
            round.record(FleetEvent::InstanceFailed, id, &pool, inputs);
        }
        (None, Some(failure))
            if placement.step.is_none() && failure.symptom != Symptom::NotReturned =>
        {
            placement.failure = None;
            round.record(FleetEvent::InstanceRecovered, id, &pool, Inputs::None);
        }
        _ => {}
    }
}
