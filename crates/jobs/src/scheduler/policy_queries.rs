//! Queries to the placement policy and the tickets that it grants.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::Moment;

use super::{Command, Scheduler};
use crate::clients::PolicyResponse;
use crate::cluster::{PlacementPolicy, WorkerId};
use crate::job::WorkerSlot;
use crate::placement::Candidate;
use crate::spec::StepId;

/// Maximum number of workers in one query.
const WORKERS_MAX: usize = 12;
/// Maximum number of open queries; the policy processes one at a time.
const OPEN_QUERIES_MAX: usize = 2;
/// A ticket is not used within this time before it expires.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// Delay before the next query about a step after one without a response.
const QUERY_RETRY: Duration = Duration::from_millis(200);

/// A query to the placement policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyQuery {
    /// The step.
    pub step: StepId,
    /// Workers to check.
    pub workers: Vec<WorkerId>,
}

/// Tickets and refusals that the placement policy has returned for a step.
#[derive(Debug, Default)]
pub(super) struct StepTickets {
    tickets: HashMap<WorkerSlot, (Arc<str>, Moment)>,
    refused: HashSet<WorkerSlot>,
    is_asking: bool,
    next_ask: Moment,
}

impl Scheduler {
    pub(super) fn placement_policy(&self, step: StepId) -> Option<PlacementPolicy> {
        let job = self.jobs.get(&step.job)?;
        self.config.queues.get(&job.record.queue)?.placement_policy
    }

    /// Returns the tickets of a step that are valid now.
    pub(super) fn valid_tickets(&self, step: StepId, now: Moment) -> HashMap<WorkerSlot, Arc<str>> {
        let known = self.tickets.get(&step).map(|known| &known.tickets);
        let valid = known.into_iter().flatten().filter(|(_, (_, until))| now < *until);
        valid.map(|(slot, (proof, _))| (*slot, proof.clone())).collect()
    }

    /// Queries the placement policy about the candidates that have neither a valid ticket nor a
    /// refusal.
    pub(super) fn query_policy(
        &mut self,
        step: StepId,
        candidates: &[Candidate],
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        if self.open_queries >= OPEN_QUERIES_MAX {
            return;
        }
        let known = self.tickets.entry(step).or_default();
        if known.is_asking || now < known.next_ask {
            return;
        }
        let mut open: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| {
                let valid = known.tickets.get(&candidate.slot).is_some_and(|(_, at)| now < *at);
                !valid && !known.refused.contains(&candidate.slot)
            })
            .collect();
        if open.is_empty() {
            return;
        }
        open.sort_by_key(|candidate| std::cmp::Reverse(candidate.free.processors_milli));
        open.truncate(WORKERS_MAX);
        known.is_asking = true;
        self.open_queries += 1;
        let workers = open.iter().map(|one| self.workers[one.slot].entry.id.clone()).collect();
        commands.push(Command::QueryPolicy(PolicyQuery { step, workers }));
    }

    /// Handles the response to a query that was sent at `sent`.
    pub fn handle_policy_response(
        &mut self,
        query: &PolicyQuery,
        response: Option<PolicyResponse>,
        sent: Moment,
        now: Moment,
    ) {
        self.open_queries = self.open_queries.saturating_sub(1);
        self.mark_job_service_changed(query.step.job);
        let current_slots = &self.current_slots;
        let Some(known) = self.tickets.get_mut(&query.step) else { return };
        known.is_asking = false;
        let Some(response) = response else {
            known.next_ask = now + QUERY_RETRY;
            return;
        };
        let until = sent + response.valid_for.saturating_sub(TICKET_MARGIN);
        for id in &query.workers {
            let Some(slot) = current_slots.get(id).copied() else { continue };
            match response.tickets.iter().find(|ticket| ticket.worker == *id) {
                Some(ticket) => {
                    known.tickets.insert(slot, (ticket.proof.clone(), until));
                }
                None => {
                    known.refused.insert(slot);
                }
            }
        }
    }

    /// Removes a ticket that a worker refused.
    pub(super) fn discard_ticket(&mut self, step: StepId, slot: WorkerSlot) {
        if let Some(known) = self.tickets.get_mut(&step) {
            known.tickets.remove(&slot);
        }
    }
}
