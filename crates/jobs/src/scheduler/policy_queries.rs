//! Queries to the placement policy and the tickets that it grants.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::{Command, Scheduler};
use crate::clients::{PolicyError, PolicyResponse};
use crate::cluster::{PlacementPolicy, WorkerId};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::placement::{Candidate, TaskRequirements};
use crate::policy_queue::NewCall;
use crate::spec::StepId;

/// A ticket is not used within this time before it expires, or the last quarter of its validity if
/// that is shorter.
const TICKET_MARGIN_MAX: Duration = Duration::from_millis(250);
/// For this long a ticket is used whatever its validity: a start that is refused costs less than a
/// response that is never used.
const TICKET_USE_MIN: Duration = Duration::from_millis(50);

/// A query to the placement policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyQuery {
    /// The step.
    pub step: StepId,
    /// Workers to check.
    pub workers: Vec<WorkerId>,
    /// Its number and how long its response is awaited.
    pub call: NewCall,
}

/// Tickets and refusals that the placement policy has returned for a step.
#[derive(Debug, Default)]
pub(super) struct StepTickets {
    tickets: HashMap<WorkerSlot, (Arc<str>, Moment)>,
    refused: HashSet<WorkerSlot>,
    /// Workers that the last query named.
    last_named: usize,
    /// Maximum number of workers in a query, if tickets of a longer one were refused.
    named_max: Option<usize>,
}

impl Scheduler {
    pub(super) fn placement_policy(&self, step: StepId) -> Option<PlacementPolicy> {
        let job = self.jobs.get(&step.job)?;
        self.queue_of(job)?.placement_policy
    }

    /// Returns the tickets of a step that are valid now.
    pub(super) fn valid_tickets(&self, step: StepId, now: Moment) -> HashMap<WorkerSlot, Arc<str>> {
        let tickets = self.step_tickets.get(&step).map(|step_tickets| &step_tickets.tickets);
        let valid = tickets.into_iter().flatten().filter(|(_, (_, until))| now < *until);
        valid.map(|(slot, (proof, _))| (*slot, proof.clone())).collect()
    }

    /// Queries the placement policy about the candidates that have neither a valid ticket nor a
    /// refusal, about those first that have room for a task.
    pub(super) fn query_policy(
        &mut self,
        step: StepId,
        requirements: &TaskRequirements,
        candidates: &[Candidate],
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        let Some(policy) = self.placement_policy(step) else { return };
        if !self.policy_queue.may_send(&policy, now) || self.policy_queue.awaits(step, now) {
            return;
        }
        let step_tickets = self.step_tickets.entry(step).or_default();
        let mut undecided: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| {
                let is_valid =
                    step_tickets.tickets.get(&candidate.slot).is_some_and(|(_, at)| now < *at);
                !is_valid && !step_tickets.refused.contains(&candidate.slot)
            })
            .collect();
        if undecided.is_empty() {
            return;
        }
        undecided.sort_by_key(|candidate| {
            let has_room = candidate.tasks_that_fit(requirements) > 0;
            Reverse((has_room, candidate.free.processors_milli))
        });
        undecided.truncate(step_tickets.named_max.unwrap_or(policy.workers_max()));
        step_tickets.last_named = undecided.len();
        let late = self.policy_queue.late_calls(now);
        if late > 0 {
            emit!(JobsEvent::PolicyLate, step = step, late = late);
        }
        let call = self.policy_queue.send(step, &policy, undecided.len(), now);
        let workers = undecided
            .iter()
            .map(|candidate| self.workers[candidate.slot].entry.id.clone())
            .collect();
        commands.push(Command::QueryPolicy(PolicyQuery { step, workers, call }));
    }

    /// Handles the response to a query that was sent at `sent`. The tickets count from `received`:
    /// the policy makes them when it has handled the query, however long that takes. If it made
    /// them earlier, workers refuse them.
    pub fn handle_policy_response(
        &mut self,
        query: &PolicyQuery,
        response: Result<PolicyResponse, PolicyError>,
        sent: Moment,
        received: Moment,
    ) {
        self.policy_queue.handle_outcome(query.call.number, response.as_ref().err(), received);
        self.mark_job_service_changed(query.step.job);
        let current_slots = &self.current_slots;
        let Some(step_tickets) = self.step_tickets.get_mut(&query.step) else { return };
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                log_failed_query(query, error, received.saturating_sub(sent));
                return;
            }
        };
        let until = received.saturating_add(usable_for(response.valid_for));
        for id in &query.workers {
            let Some(slot) = current_slots.get(id).copied() else { continue };
            match response.tickets.iter().find(|ticket| ticket.worker == *id) {
                Some(ticket) => {
                    step_tickets.tickets.insert(slot, (ticket.proof.clone(), until));
                }
                None => {
                    step_tickets.refused.insert(slot);
                }
            }
        }
    }

    /// Removes a ticket that a worker refused. It may have expired while the policy handled the
    /// query, so the next one about the step names fewer workers.
    pub(super) fn discard_ticket(&mut self, step: StepId, slot: WorkerSlot) {
        if let Some(step_tickets) = self.step_tickets.get_mut(&step) {
            step_tickets.tickets.remove(&slot);
            step_tickets.named_max = Some((step_tickets.last_named / 2).max(1));
        }
    }
}

/// Time from the receipt of a ticket for which it is used.
fn usable_for(valid_for: Duration) -> Duration {
    let margin = TICKET_MARGIN_MAX.min(valid_for / 4);
    (valid_for - margin).max(TICKET_USE_MIN)
}

fn log_failed_query(query: &PolicyQuery, error: PolicyError, elapsed: Duration) {
    emit!(
        JobsEvent::PolicyUnanswered,
        step = query.step,
        workers = query.workers.len(),
        elapsed_ms = elapsed.as_millis(),
        error = error
    );
}
