//! Tickets of the placement policy.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::Moment;

use super::{Order, Scheduler};
use crate::cluster::{AdvicePolicy, WorkerId};
use crate::edges::Advice;
use crate::job::WorkerSlot;
use crate::placement::Candidate;
use crate::spec::StepId;

/// Workers in one question.
const WORKERS_MAX: usize = 12;
/// Questions that are open at once; the policy answers one at a time.
const QUESTIONS_MAX: usize = 2;
/// A ticket is not used this shortly before it expires.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// Time after an unanswered question until the next one about the same step.
const ASK_RETRY: Duration = Duration::from_millis(200);

/// A question to the placement policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// Workers that it is about.
    pub workers: Vec<WorkerId>,
}

/// What is known about the workers that may run a step.
#[derive(Debug, Default)]
pub(super) struct StepTickets {
    tickets: HashMap<WorkerSlot, (Arc<str>, Moment)>,
    refused: HashSet<WorkerSlot>,
    is_asking: bool,
    next_ask: Moment,
}

impl Scheduler {
    pub(super) fn advice_policy(&self, step: StepId) -> Option<AdvicePolicy> {
        let job = self.jobs.get(&step.job)?;
        self.config.queues.get(&job.record.queue)?.advice
    }

    /// Tickets of a step that can be used now.
    pub(super) fn valid_tickets(&self, step: StepId, now: Moment) -> HashMap<WorkerSlot, Arc<str>> {
        let known = self.tickets.get(&step).map(|known| &known.tickets);
        let valid = known.into_iter().flatten().filter(|(_, (_, until))| now < *until);
        valid.map(|(slot, (text, _))| (*slot, text.clone())).collect()
    }

    /// Asks about a step, if more tickets could help it.
    pub(super) fn ask(
        &mut self,
        step: StepId,
        candidates: &[Candidate],
        now: Moment,
        orders: &mut Vec<Order>,
    ) {
        if self.questions_open >= QUESTIONS_MAX {
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
        self.questions_open += 1;
        let workers = open.iter().map(|one| self.workers[one.slot].entry.id.clone()).collect();
        orders.push(Order::Ask(Question { step, workers }));
    }

    /// Takes in the answer to a question that was sent at `sent`.
    pub fn note_advice(
        &mut self,
        question: &Question,
        advice: Option<Advice>,
        sent: Moment,
        now: Moment,
    ) {
        self.questions_open = self.questions_open.saturating_sub(1);
        self.mark_service_changed(question.step.job);
        let present = &self.present;
        let Some(known) = self.tickets.get_mut(&question.step) else { return };
        known.is_asking = false;
        let Some(advice) = advice else {
            known.next_ask = now + ASK_RETRY;
            return;
        };
        let until = sent + advice.valid.saturating_sub(TICKET_MARGIN);
        for id in &question.workers {
            let Some(slot) = present.get(id).copied() else { continue };
            match advice.tickets.iter().find(|ticket| ticket.worker == *id) {
                Some(ticket) => {
                    known.tickets.insert(slot, (ticket.text.clone(), until));
                }
                None => {
                    known.refused.insert(slot);
                }
            }
        }
    }

    /// Forgets a ticket that a worker did not take.
    pub(super) fn drop_ticket(&mut self, step: StepId, slot: WorkerSlot) {
        if let Some(known) = self.tickets.get_mut(&step) {
            known.tickets.remove(&slot);
        }
    }
}
