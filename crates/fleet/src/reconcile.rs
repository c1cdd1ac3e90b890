//! Reconciles the document with the platform and the reports: adds new instances, records failures
//! and removes instances that are gone.

use cassiafold_config::{Config, InstanceId, PoolId};

use crate::decision::Inputs;
use crate::document::{Failure, Phase, Placement, Symptom};
use crate::event::FleetEvent;
use crate::plan::Round;

/// Pool of a new instance: the pool with the longest id that, followed by `-`, is a prefix of the
/// instance id; otherwise the first spare pool. The instance id is the label that operators set
/// when they create an instance.
pub fn initial_pool<'a>(config: &'a Config, id: &str) -> Option<&'a PoolId> {
    let matching = config
        .pools
        .keys()
        .filter(|pool| id.strip_prefix(&***pool).is_some_and(|rest| rest.starts_with('-')));
    matching.max_by_key(|pool| pool.len()).or_else(|| spare_pool(config))
}

/// First pool without a service.
pub fn spare_pool(config: &Config) -> Option<&PoolId> {
    config.pools.iter().find(|(_, pool)| pool.service.is_none()).map(|(id, _)| id)
}

/// Updates the instances in the next document from the platform's list and the observed symptoms.
pub(crate) fn instances(round: &mut Round<'_>) {
    add_new(round);
    let ids: Vec<InstanceId> = round.next.placements.keys().cloned().collect();
    for id in &ids {
        update_presence(round, id);
        update_failure(round, id);
    }
}

fn add_new(round: &mut Round<'_>) {
    let view = round.view;
    for id in view.listed.keys() {
        if round.next.placements.contains_key(id) {
            continue;
        }
        let Some(pool) = initial_pool(view.config, id) else {
            continue;
        };
        remove_replaced(round, pool);
        round.next.placements.insert(id.clone(), Placement::new(pool.clone()));
        round.record(FleetEvent::InstanceAdopted, id, pool, Inputs::None);
    }
}

/// Removes the instance of `pool` that has been missing longest: the new instance replaces it.
fn remove_replaced(round: &mut Round<'_>, pool: &PoolId) {
    let longest_missing = round
        .placements()
        .filter(|(_, placement)| placement.home == *pool)
        .filter_map(|(id, placement)| Some((placement.missing_since?, id.clone())))
        .min();
    if let Some((_, id)) = longest_missing {
        remove(round, &id);
    }
}

fn remove(round: &mut Round<'_>, id: &InstanceId) {
    if let Some(placement) = round.next.placements.remove(id) {
        round.record(FleetEvent::InstanceForgotten, id, &placement.pool, Inputs::None);
    }
}

fn update_presence(round: &mut Round<'_>, id: &InstanceId) {
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
            let missing_for = now.duration_since(since).unwrap_or_default();
            if missing_for >= round.policy.missing_step_timeout && placement.step.take().is_some() {
                round.record(FleetEvent::StepDropped, id, &pool, Inputs::None);
            }
            if missing_for >= round.policy.forget_after {
                remove(round, id);
            }
        }
        (true, None) => {}
    }
}

fn update_failure(round: &mut Round<'_>, id: &InstanceId) {
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
