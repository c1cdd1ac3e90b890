//! A naive planner as the baseline of the measurements: it considers only the floor, maintains
//! instances in the order of the list, and moves spare instances to services with unmet demand and
//! back as soon as the demand is gone.

use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_fleet::budget::home_service;
use cassiafold_fleet::demand::demand_instances;
use cassiafold_fleet::{FleetDocument, Phase, Placement, Policy, Step, StepKind, View};

/// Plans one round; returns the next document and the number of moves.
pub fn plan(view: &View<'_>, policy: &Policy) -> (FleetDocument, u32) {
    let mut next = view.document.clone();
    let mut moves = 0;
    for id in view.listed.keys() {
        if !next.placements.contains_key(id) {
            let pool = cassiafold_fleet::reconcile::initial_pool(view.config, id);
            let pool = pool.expect("there is a spare pool").clone();
            next.placements.insert(id.clone(), Placement::new(pool));
        }
        moves += advance_step(view, &mut next, id);
    }
    for service in view.config.services.keys() {
        moves += move_for_demand(view, &mut next, service);
    }
    let ids: Vec<InstanceId> = next.placements.keys().cloned().collect();
    for id in &ids {
        if view.observations.symptoms.contains_key(id) && next.placements[id].step.is_none() {
            start_step(view, &mut next, id, StepKind::Repair);
        }
    }
    let limit = (policy.maintenance_share_max * ids.len() as f64) as usize;
    let maintaining = |placement: &&Placement| {
        placement.step.as_ref().is_some_and(|it| matches!(it.kind, StepKind::Maintain { .. }))
    };
    let mut maintained = next.placements.values().filter(maintaining).count();
    for id in &ids {
        if maintained >= limit.max(1) {
            break;
        }
        let placement = &next.placements[id];
        if placement.maintained_at.is_none()
            && view.available(id, placement)
            && above_floor(view, &next, id)
        {
            start_step(view, &mut next, id, StepKind::Maintain { wave: "w".into() });
            maintained += 1;
        }
    }
    (next, moves)
}

fn above_floor(view: &View<'_>, next: &FleetDocument, id: &InstanceId) -> bool {
    let Some(service) = view.service_of(&next.placements[id]) else {
        return true;
    };
    let serving = next.placements.iter().filter(|(id, placement)| {
        view.service_of(placement) == Some(service) && view.available(id, placement)
    });
    let home = next.placements.values().filter(|it| home_service(view, it) == Some(service));
    serving.count() > view.config.services[service].floor.instances(home.count())
}

fn start_step(view: &View<'_>, next: &mut FleetDocument, id: &InstanceId, kind: StepKind) {
    let step = Step {
        kind,
        phase: Phase::Draining,
        document_number: view.document.number + 1,
        started: view.now,
        phase_started: view.now,
    };
    next.placements.get_mut(id).expect("placed").step = Some(step);
}

fn advance_step(view: &View<'_>, next: &mut FleetDocument, id: &InstanceId) -> u32 {
    let placement = next.placements.get_mut(id).expect("placed");
    let Some(step) = &mut placement.step else { return 0 };
    let waited = view.now.duration_since(step.phase_started).unwrap_or_default();
    let request = step.request_id(id);
    match step.phase {
        Phase::Draining
            if waited >= Duration::from_secs(2) && view.observations.running(id) == 0 =>
        {
            if let StepKind::Move { to, .. } = &step.kind {
                placement.pool = to.clone();
                placement.step = None;
                return 1;
            }
            (step.phase, step.phase_started) = (Phase::Rebooting, view.now);
        }
        Phase::Rebooting if view.completed.reboots.contains(&request) => {
            (step.phase, step.phase_started) = (Phase::Trying, view.now);
        }
        Phase::Trying if view.completed.trials.contains(&request) => {
            if matches!(step.kind, StepKind::Maintain { .. }) {
                placement.maintained_at = Some(view.now);
            }
            placement.step = None;
        }
        _ => {}
    }
    0
}

fn move_for_demand(
    view: &View<'_>,
    next: &mut FleetDocument,
    service: &std::sync::Arc<str>,
) -> u32 {
    let need = demand_instances(view, service);
    let serving: Vec<InstanceId> = next
        .placements
        .iter()
        .filter(|(id, placement)| {
            view.service_of(placement) == Some(service) && view.available(id, placement)
        })
        .map(|(id, _)| id.clone())
        .collect();
    if serving.len() < need {
        let spare = next.placements.iter().find(|(id, placement)| {
            view.service_of(placement).is_none() && view.available(id, placement)
        });
        let Some(id) = spare.map(|(id, _)| id.clone()) else { return 0 };
        next.placements.get_mut(&id).expect("placed").pool = service.clone();
        return 1;
    }
    let borrowed = serving.iter().find(|id| next.placements[*id].home != next.placements[*id].pool);
    if let Some(id) = borrowed.filter(|_| serving.len() > need).cloned() {
        let to = next.placements[&id].home.clone();
        start_step(view, next, &id, StepKind::Move { to, permanent: false });
    }
    0
}
