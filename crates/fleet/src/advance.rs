//! Steps in progress: drain, reboot, trial and return, or drain and reassign.
//!
//! A drain ends when every entry instance has acted on it and nothing runs on the instance. A
//! healthy instance whose drain takes too long goes back into service; none of its requests is
//! cut off. A failing one is rebooted once the longest deadline of its requests has passed.

use std::time::Duration;

use cassiafold_config::InstanceId;

use crate::decision::Inputs;
use crate::document::{Failure, Phase, Placement, Step, StepKind, Symptom};
use crate::event::FleetEvent;
use crate::plan::Round;

/// Moves every step in progress forward.
pub(crate) fn steps(round: &mut Round<'_>) {
    let stepping = round.placements().filter(|(_, placement)| placement.step.is_some());
    let ids: Vec<InstanceId> = stepping.map(|(id, _)| id.clone()).collect();
    for id in ids {
        advance(round, &id);
    }
}

fn advance(round: &mut Round<'_>, id: &InstanceId) {
    let Some(placement) = round.next.placements.get(id).cloned() else {
        return;
    };
    let Some(step) = placement.step.clone() else {
        return;
    };
    match step.phase {
        Phase::Draining => drain(round, id, placement, step),
        Phase::Rebooting => note_reboot(round, id, placement, step),
        Phase::Trying => note_trial(round, id, placement, step),
    }
}

/// How far a drain is.
enum Drain {
    Waiting,
    Empty,
    Overdue,
    OverdueFailing,
}

fn drain_state(round: &Round<'_>, id: &InstanceId, placement: &Placement, step: &Step) -> Drain {
    let waited = round.now.duration_since(step.started).unwrap_or_default();
    let confirmed =
        round.view.observations.confirmed >= step.document_number && !zone_silent(round, id);
    let empty = round.view.observations.running(id) == 0;
    if confirmed && empty && waited >= round.policy.drain_min {
        return Drain::Empty;
    }
    if waited < drain_max(round, placement, step) {
        return Drain::Waiting;
    }
    match placement.failure.is_some() {
        true if confirmed => Drain::OverdueFailing,
        true => Drain::Waiting,
        false => Drain::Overdue,
    }
}

fn zone_silent(round: &Round<'_>, id: &InstanceId) -> bool {
    let zone = round.view.listed.get(id).map(|listed| &listed.zone);
    zone.is_some_and(|zone| round.view.observations.unconfirmed_zones.contains(zone))
}

/// Longest wait for a drain; a failing instance gets at least the longest deadline of a request.
fn drain_max(round: &Round<'_>, placement: &Placement, step: &Step) -> Duration {
    let config = round.view.config;
    let wait = match &step.kind {
        StepKind::Maintain { wave } => config.waves.get(wave).map(|wave| wave.drain_max),
        StepKind::Repair | StepKind::Move { .. } => None,
    };
    let wait = wait.unwrap_or(round.policy.drain_max);
    if placement.failure.is_none() {
        return wait;
    }
    let service = round.view.service_of(placement).and_then(|id| config.services.get(id));
    service.map_or(wait, |service| wait.max(service.deadline_max))
}

fn drain(round: &mut Round<'_>, id: &InstanceId, placement: Placement, step: Step) {
    let event = match drain_state(round, id, &placement, &step) {
        Drain::Waiting => return,
        Drain::Overdue => return give_up(round, id, &step),
        Drain::Empty => FleetEvent::RebootDecided,
        Drain::OverdueFailing => FleetEvent::RebootForced,
    };
    match &step.kind {
        StepKind::Move { to, permanent } => {
            set(round, id, |placement| {
                placement.pool = to.clone();
                if *permanent {
                    placement.home = to.clone();
                }
                placement.step = None;
            });
            let inputs = drain_inputs(round, id, &step);
            round.record(FleetEvent::InstanceMoved, id, to, inputs);
        }
        StepKind::Maintain { .. } | StepKind::Repair => {
            let inputs = drain_inputs(round, id, &step);
            enter(round, id, &step, Phase::Rebooting);
            push(round, event, id, &step, inputs);
        }
    }
}

fn drain_inputs(round: &Round<'_>, id: &InstanceId, step: &Step) -> Inputs {
    let waited = round.now.duration_since(step.started).unwrap_or_default();
    let running = round.view.observations.running(id);
    Inputs::Drain { running, waited_ms: waited.as_millis() as u64 }
}

fn give_up(round: &mut Round<'_>, id: &InstanceId, step: &Step) {
    let retry = round.now + round.policy.maintenance_retry;
    set(round, id, |placement| {
        placement.step = None;
        placement.not_before = Some(retry);
    });
    let inputs = drain_inputs(round, id, step);
    push(round, FleetEvent::DrainGivenUp, id, step, inputs);
}

fn note_reboot(round: &mut Round<'_>, id: &InstanceId, placement: Placement, step: Step) {
    if !round.view.completed.reboots.contains(&step.request_id(id)) {
        return give_up_return(round, id, &placement, &step);
    }
    enter(round, id, &step, Phase::Trying);
    push(round, FleetEvent::TrialStarted, id, &step, Inputs::None);
}

fn note_trial(round: &mut Round<'_>, id: &InstanceId, placement: Placement, step: Step) {
    if round.view.completed.trials.contains(&step.request_id(id)) {
        return bring_back(round, id, &step);
    }
    give_up_return(round, id, &placement, &step);
}

/// Ends a step whose instance has not come back for long. It stays out of service as failing, so
/// that a reboot carried out late cuts nothing off.
fn give_up_return(round: &mut Round<'_>, id: &InstanceId, placement: &Placement, step: &Step) {
    let waited = round.now.duration_since(step.phase_started).unwrap_or_default();
    if waited < round.policy.reboot_timeout {
        return;
    }
    let failure = failed_again(round, placement);
    let inputs = Inputs::Failure {
        symptom: failure.symptom,
        attempts: failure.attempts,
        failing_in_zone: 0,
    };
    set(round, id, |placement| {
        placement.step = None;
        placement.failure = Some(failure);
    });
    push(round, FleetEvent::InstanceNotReturned, id, step, inputs);
}

fn bring_back(round: &mut Round<'_>, id: &InstanceId, step: &Step) {
    let now = round.now;
    let maintained = matches!(step.kind, StepKind::Maintain { .. });
    set(round, id, |placement| {
        placement.step = None;
        placement.failure = None;
        placement.not_before = None;
        if maintained {
            placement.maintained_at = Some(now);
        }
    });
    push(round, FleetEvent::InstanceReturned, id, step, Inputs::None);
}

fn failed_again(round: &Round<'_>, placement: &Placement) -> Failure {
    let known = placement.failure.as_ref();
    let attempts = known.map_or(0, |failure| failure.attempts) + 1;
    let doublings = (attempts - 1).min(16);
    let wait = round.policy.repair_retry * 2_u32.pow(doublings);
    Failure {
        since: known.map_or(round.now, |failure| failure.since),
        symptom: Symptom::NotReturned,
        attempts,
        retry_at: round.now + wait.min(round.policy.repair_retry_max),
    }
}

fn enter(round: &mut Round<'_>, id: &InstanceId, step: &Step, phase: Phase) {
    let step = Step { phase, phase_started: round.now, ..step.clone() };
    set(round, id, |placement| placement.step = Some(step));
}

fn set(round: &mut Round<'_>, id: &InstanceId, change: impl FnOnce(&mut Placement)) {
    if let Some(placement) = round.next.placements.get_mut(id) {
        change(placement);
    }
}

fn push(round: &mut Round<'_>, event: FleetEvent, id: &InstanceId, step: &Step, inputs: Inputs) {
    let wave = match &step.kind {
        StepKind::Maintain { wave } => Some(wave.clone()),
        StepKind::Repair | StepKind::Move { .. } => None,
    };
    let Some(pool) = round.next.placements.get(id).map(|placement| placement.pool.clone()) else {
        return;
    };
    round.record_in_wave(event, id, &pool, wave, inputs);
}

#[cfg(test)]
mod tests;
