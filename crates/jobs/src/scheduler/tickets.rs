//! Tickets of the placement policy: what it has allowed and refused for each step.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::{PolicyQuery, Scheduler};
use crate::clients::{PolicyError, PolicyResponse};
use crate::cluster::PlacementPolicy;
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::spec::{JobId, StepId};

/// A ticket is not used within this time before it expires, or the last quarter of its validity if
/// that is shorter.
const TICKET_MARGIN_MAX: Duration = Duration::from_millis(250);
/// For this long a ticket is used whatever its validity: a start that is refused costs less than a
/// response that is never used.
const TICKET_USE_MIN: Duration = Duration::from_millis(50);
/// Shortest time between two queries for a step while no worker has room.
const AHEAD_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Number of queries ahead of room for a step after which the time to the next one is no longer
/// doubled.
const AHEAD_DOUBLINGS_MAX: u32 = 5;

/// Tickets and refusals that the placement policy has returned for a step.
#[derive(Debug, Default)]
pub(super) struct StepTickets {
    tickets: HashMap<WorkerSlot, (Arc<str>, Moment)>,
    refused: HashSet<WorkerSlot>,
    /// When the last query was sent.
    last_query: Option<Moment>,
    /// Workers that the last query named.
    last_named: usize,
    /// Maximum number of workers in a query, if tickets of a longer one were refused.
    named_max: Option<usize>,
    /// Queries that were sent while no worker had room.
    ahead: u32,
    /// When the next one may be sent while no worker has room.
    next_ahead: Moment,
}

impl StepTickets {
    /// Whether a ticket of a worker is valid at `at`.
    pub(super) fn is_valid(&self, slot: WorkerSlot, at: Moment) -> bool {
        self.tickets.get(&slot).is_some_and(|(_, until)| at < *until)
    }

    /// Whether the policy need not be asked about a worker at `at`.
    pub(super) fn is_decided(&self, slot: WorkerSlot, at: Moment) -> bool {
        self.refused.contains(&slot) || self.is_valid(slot, at)
    }

    /// When the last query was sent.
    pub(super) fn last_query(&self) -> Option<Moment> {
        self.last_query
    }

    /// Maximum number of workers in the next query.
    pub(super) fn named_max(&self, policy: &PlacementPolicy) -> usize {
        self.named_max.unwrap_or(policy.workers_max())
    }

    /// Whether a query may be sent while no worker has room.
    pub(super) fn may_query_ahead(&self, now: Moment) -> bool {
        now >= self.next_ahead
    }

    /// Notes that a query about this number of workers is sent.
    pub(super) fn note_query(&mut self, workers: usize, now: Moment) {
        self.last_query = Some(now);
        self.last_named = workers;
    }

    /// Notes that the query is sent while no worker has room.
    pub(super) fn note_query_ahead(&mut self, policy: &PlacementPolicy, now: Moment) {
        let doubled = 1 << self.ahead.min(AHEAD_DOUBLINGS_MAX);
        let delay = policy.valid_for.max(AHEAD_INTERVAL_MIN).saturating_mul(doubled);
        self.next_ahead = now.saturating_add(delay);
        self.ahead = self.ahead.saturating_add(1);
    }
}

impl Scheduler {
    /// Returns the tickets of a step that are valid now.
    pub(super) fn valid_tickets(&self, step: StepId, now: Moment) -> HashMap<WorkerSlot, Arc<str>> {
        let tickets = self.step_tickets.get(&step).map(|step_tickets| &step_tickets.tickets);
        let valid = tickets.into_iter().flatten().filter(|(_, (_, until))| now < *until);
        valid.map(|(slot, (proof, _))| (*slot, proof.clone())).collect()
    }

    /// Whether the placement policy has refused a worker for a step.
    pub(super) fn is_refused(&self, step: StepId, slot: WorkerSlot) -> bool {
        self.step_tickets.get(&step).is_some_and(|tickets| tickets.refused.contains(&slot))
    }

    /// Removes what is known of a job that has ended.
    pub(super) fn forget_tickets(&mut self, job: JobId) {
        self.step_tickets.retain(|step, _| step.job != job);
        self.policy_turns.remove(&job);
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
