//! Advances steps in progress: drain, reboot and trial request, or drain and move.
//!
//! A drain completes when every entry instance has confirmed it and no request runs on the
//! instance. If the drain of a healthy instance times out, the instance goes back into service and
//! its requests continue. If the drain of a failing instance times out, which takes at least the
//! longest deadline of its requests, the instance is rebooted as soon as the drain is confirmed.

use std::time::Duration;

use cassiafold_config::InstanceId;

use crate::decision::Inputs;
use crate::document::{Failure, Phase, Placement, Step, StepKind, Symptom};
use crate::event::FleetEvent;
use crate::plan::Round;

/// Advances every step in progress.
pub(crate) fn steps(round: &mut Round<'_>) {
    let in_progress = round.placements().filter(|(_, placement)| placement.step.is_some());
    let ids: Vec<InstanceId> = in_progress.map(|(id, _)| id.clone()).collect();
    for id in ids {
        advance_step(round, &id);
    }
}

fn advance_step(round: &mut Round<'_>, id: &InstanceId) {
    let Some(placement) = round.next.placements.get(id).cloned() else {
        return;
    };
    let Some(step) = placement.step.clone() else {
        return;
    };
    match step.phase {
        Phase::Draining => advance_drain(round, id, placement, step),
        Phase::Rebooting => advance_reboot(round, id, placement, step),
        Phase::Trying => advance_trial(round, id, placement, step),
    }
}

/// Progress of a drain.
enum DrainState {
    Waiting,
    Completed,
    TimedOut,
    TimedOutFailing,
}

fn drain_state(
    round: &Round<'_>,
    id: &InstanceId,
    placement: &Placement,
    step: &Step,
) -> DrainState {
    let waited = round.now.duration_since(step.started).unwrap_or_default();
    let confirmed =
        round.view.observations.confirmed >= step.document_number && !zone_unconfirmed(round, id);
    let empty = round.view.observations.running(id) == 0;
    if confirmed && empty && waited >= round.policy.drain_min {
        return DrainState::Completed;
    }
    if waited < drain_timeout(round, placement, step) {
        return DrainState::Waiting;
    }
    match placement.failure.is_some() {
        true if confirmed => DrainState::TimedOutFailing,
        true => DrainState::Waiting,
        false => DrainState::TimedOut,
    }
}

fn zone_unconfirmed(round: &Round<'_>, id: &InstanceId) -> bool {
    let zone = round.view.listed.get(id).map(|listed| &listed.zone);
    zone.is_some_and(|zone| round.view.observations.unconfirmed_zones.contains(zone))
}

/// Timeout of a drain; for a failing instance at least the longest deadline of its requests.
fn drain_timeout(round: &Round<'_>, placement: &Placement, step: &Step) -> Duration {
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

fn advance_drain(round: &mut Round<'_>, id: &InstanceId, placement: Placement, step: Step) {
    let event = match drain_state(round, id, &placement, &step) {
        DrainState::Waiting => return,
        DrainState::TimedOut => return cancel_drain(round, id, &step),
        DrainState::Completed => FleetEvent::RebootDecided,
        DrainState::TimedOutFailing => FleetEvent::RebootForced,
    };
    match &step.kind {
        StepKind::Move { to, permanent } => {
            update(round, id, |placement| {
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
            set_phase(round, id, &step, Phase::Rebooting);
            record(round, event, id, &step, inputs);
        }
    }
}

fn drain_inputs(round: &Round<'_>, id: &InstanceId, step: &Step) -> Inputs {
    let waited = round.now.duration_since(step.started).unwrap_or_default();
    let running = round.view.observations.running(id);
    Inputs::Drain { running, waited_ms: waited.as_millis() as u64 }
}

fn cancel_drain(round: &mut Round<'_>, id: &InstanceId, step: &Step) {
    let retry = round.now + round.policy.maintenance_retry;
    update(round, id, |placement| {
        placement.step = None;
        placement.not_before = Some(retry);
    });
    let inputs = drain_inputs(round, id, step);
    record(round, FleetEvent::DrainGivenUp, id, step, inputs);
}

fn advance_reboot(round: &mut Round<'_>, id: &InstanceId, placement: Placement, step: Step) {
    if !round.view.completed.reboots.contains(&step.request_id(id)) {
        return check_reboot_timeout(round, id, &placement, &step);
    }
    set_phase(round, id, &step, Phase::Trying);
    record(round, FleetEvent::TrialStarted, id, &step, Inputs::None);
}

fn advance_trial(round: &mut Round<'_>, id: &InstanceId, placement: Placement, step: Step) {
    if round.view.completed.trials.contains(&step.request_id(id)) {
        return complete_step(round, id, &step);
    }
    check_reboot_timeout(round, id, &placement, &step);
}

/// Ends a step whose instance has not returned in time. The instance stays out of service as
/// failing, so that a late reboot interrupts no request.
fn check_reboot_timeout(
    round: &mut Round<'_>,
    id: &InstanceId,
    placement: &Placement,
    step: &Step,
) {
    let waited = round.now.duration_since(step.phase_started).unwrap_or_default();
    if waited < round.policy.reboot_timeout {
        return;
    }
    let failure = next_failure(round, placement);
    let inputs = Inputs::Failure {
        symptom: failure.symptom,
        attempts: failure.attempts,
        failing_in_zone: 0,
    };
    update(round, id, |placement| {
        placement.step = None;
        placement.failure = Some(failure);
    });
    record(round, FleetEvent::InstanceNotReturned, id, step, inputs);
}

fn complete_step(round: &mut Round<'_>, id: &InstanceId, step: &Step) {
    let now = round.now;
    let maintained = matches!(step.kind, StepKind::Maintain { .. });
    update(round, id, |placement| {
        placement.step = None;
        placement.failure = None;
        placement.not_before = None;
        if maintained {
            placement.maintained_at = Some(now);
        }
    });
    record(round, FleetEvent::InstanceReturned, id, step, Inputs::None);
}

fn next_failure(round: &Round<'_>, placement: &Placement) -> Failure {
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

fn set_phase(round: &mut Round<'_>, id: &InstanceId, step: &Step, phase: Phase) {
    let step = Step { phase, phase_started: round.now, ..step.clone() };
    update(round, id, |placement| placement.step = Some(step));
}

fn update(round: &mut Round<'_>, id: &InstanceId, change: impl FnOnce(&mut Placement)) {
    if let Some(placement) = round.next.placements.get_mut(id) {
        change(placement);
    }
}

fn record(round: &mut Round<'_>, event: FleetEvent, id: &InstanceId, step: &Step, inputs: Inputs) {
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
