//! Queries to the placement policy: which steps can use one, and which of them are sent.

use std::cmp::Reverse;
use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::tickets::StepTickets;
use super::{Command, Scheduler};
use crate::cluster::{PlacementPolicy, WorkerId};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::placement::{Candidate, TaskRequirements};
use crate::policy_queue::NewCall;
use crate::spec::StepId;

/// A job whose last query was sent this long ago, or that has waited as long for its first one, is
/// asked about before jobs that come first otherwise.
const TURN_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of workers that the policy accepts in one query.
const QUERY_WORKERS_MAX: usize = 100;

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

/// A query that a step can use.
#[derive(Debug)]
pub(super) struct WantedQuery {
    step: StepId,
    policy: PlacementPolicy,
    workers: Vec<WorkerSlot>,
    /// Whether no worker has room for a task yet.
    is_ahead: bool,
}

/// Order in which wanted queries are sent; the least comes first. Those of a planning pass that are
/// equal follow the order of placement.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueryRank {
    is_ahead: bool,
    /// When the job had its last turn; [`Moment::MAX`] unless that is long ago.
    overdue_since: Moment,
    /// Whether the response to an earlier query about the step is late.
    awaits_late: bool,
    last_query: Option<Moment>,
}

impl Scheduler {
    pub(super) fn placement_policy(&self, step: StepId) -> Option<PlacementPolicy> {
        let job = self.jobs.get(&step.job)?;
        self.queue_of(job)?.placement_policy
    }

    /// Plans the services in which steps wait for the placement policy, if it can be queried.
    pub(super) fn plan_services_awaiting_policy(&mut self, now: Moment) {
        let policy_queue = &self.policy_queue;
        let may_query = |policy: &PlacementPolicy| policy_queue.may_send(policy, now);
        for (service, _) in self.awaiting_policy.extract_if(|_, policy| may_query(policy)) {
            self.next_placement.remove(&service);
            self.changed_services.insert(service);
        }
    }

    /// Returns the services in which something has changed, those first that were not asked about
    /// for longest: queries that are equal otherwise are sent in this order.
    pub(super) fn take_changed_services(&mut self) -> Vec<ServiceId> {
        let mut services: Vec<ServiceId> =
            std::mem::take(&mut self.changed_services).into_iter().collect();
        services.sort_by_key(|service| self.policy_service_turns.get(service).copied());
        services
    }

    /// Notes a query to the placement policy about workers that a step needs, if it can be sent.
    pub(super) fn want_query(
        &mut self,
        step: StepId,
        requirements: &TaskRequirements,
        candidates: &[Candidate],
        now: Moment,
    ) {
        let Some(policy) = self.placement_policy(step) else { return };
        if self.policy_queue.awaits(step, now) {
            return;
        }
        self.policy_turns.entry(step.job).or_insert(now);
        if !self.policy_queue.may_send(&policy, now) {
            self.await_policy(step, policy);
            return;
        }
        let is_gang = self.spec(step).is_some_and(|spec| spec.gang);
        let members = match is_gang {
            true => self.gang_workers_to_query(step, &policy, requirements, candidates, now),
            false => Some(Vec::new()),
        };
        let has_room = |one: &Candidate| one.tasks_that_fit(requirements) > 0;
        let undecided = self.undecided_candidates(step, requirements, candidates, now);
        let is_ahead = match &members {
            Some(members) => members.is_empty() && !undecided.iter().any(|one| has_room(one)),
            None => true,
        };
        let step_tickets = self.step_tickets.entry(step).or_default();
        if is_ahead && !step_tickets.may_query_ahead(now) {
            return;
        }
        let workers_max = step_tickets.named_max(&policy);
        let mut workers = members.unwrap_or_default();
        let others = undecided.iter().map(|one| one.slot);
        let others: Vec<WorkerSlot> = others.filter(|slot| !workers.contains(slot)).collect();
        workers.extend(others.into_iter().take(workers_max.saturating_sub(workers.len())));
        workers.truncate(QUERY_WORKERS_MAX);
        if !workers.is_empty() {
            self.wanted_queries.push(WantedQuery { step, policy, workers, is_ahead });
        }
    }

    /// Returns the candidates that could run a task of a step and have neither a valid ticket nor a
    /// refusal, those with room first.
    fn undecided_candidates<'a>(
        &self,
        step: StepId,
        requirements: &TaskRequirements,
        candidates: &'a [Candidate],
        now: Moment,
    ) -> Vec<&'a Candidate> {
        let step_tickets = self.step_tickets.get(&step);
        let is_decided = |slot| step_tickets.is_some_and(|known| known.is_decided(slot, now));
        let could_run = |one: &&Candidate| one.can_run(requirements) && !is_decided(one.slot);
        let mut undecided: Vec<&Candidate> = candidates.iter().filter(could_run).collect();
        undecided.sort_by_key(|one| {
            Reverse((one.tasks_that_fit(requirements) > 0, one.free.processors_milli))
        });
        undecided
    }

    /// Returns the workers on which the members of a gang could start now and whose tickets do not
    /// last until the response to a query about them; `None` if it fits nowhere.
    fn gang_workers_to_query(
        &self,
        step: StepId,
        policy: &PlacementPolicy,
        requirements: &TaskRequirements,
        candidates: &[Candidate],
        now: Moment,
    ) -> Option<Vec<WorkerSlot>> {
        let spec = self.spec(step)?;
        let not_refused = candidates.iter().filter(|one| !self.is_refused(step, one.slot));
        let not_refused: Vec<Candidate> = not_refused.cloned().collect();
        let valid = self.valid_tickets(step, now);
        let mut workers =
            self.choose_gang_workers(step, spec, requirements, &not_refused, |task, rest| {
                let with_ticket =
                    self.choose_worker_for(task, requirements, rest.iter(), Some(&valid));
                with_ticket
                    .or_else(|| self.choose_worker_for(task, requirements, rest.iter(), None))
            })?;
        workers.sort_unstable();
        workers.dedup();
        let step_tickets = self.step_tickets.get(&step);
        let lasts = |slot, at| step_tickets.is_some_and(|known| known.is_valid(slot, at));
        // The more workers are named, the later the response comes.
        let mut named = 0;
        loop {
            let response_at = now.saturating_add(self.policy_queue.expected_time(policy, named));
            let to_query = workers.iter().filter(|slot| !lasts(**slot, response_at));
            let to_query: Vec<WorkerSlot> = to_query.copied().collect();
            if to_query.len() <= named {
                return Some(to_query);
            }
            named = to_query.len();
        }
    }

    /// Whether a step waits for the placement policy: for its response, or until it can be queried.
    pub(super) fn awaits_policy(&self, step: StepId, now: Moment) -> bool {
        let Some(policy) = self.placement_policy(step) else { return false };
        let is_query_open = self.policy_queue.awaits(step, now)
            || self.policy_queue.late_since(step, now).is_some();
        is_query_open || !self.policy_queue.may_send(&policy, now)
    }

    fn await_policy(&mut self, step: StepId, policy: PlacementPolicy) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        self.awaiting_policy.insert(job.record.service.clone(), policy);
    }

    /// Sends the queries that this planning pass wants, as many as the placement policy should get.
    pub(super) fn send_wanted_queries(&mut self, now: Moment, commands: &mut Vec<Command>) {
        let mut wanted = std::mem::take(&mut self.wanted_queries);
        wanted.sort_by_cached_key(|query| self.rank(query, now));
        for query in wanted {
            if self.policy_queue.awaits(query.step, now) {
                continue;
            }
            match self.policy_queue.may_send(&query.policy, now) {
                true => commands.push(self.send_query(query, now)),
                false => self.await_policy(query.step, query.policy),
            }
        }
    }

    /// Queries about steps that can start now come first, then those of jobs that have waited long
    /// for their turn, then the others in the order of placement. While a response may still come,
    /// the job has its turn.
    fn rank(&self, query: &WantedQuery, now: Moment) -> QueryRank {
        let late_since = self.policy_queue.late_since(query.step, now);
        let turn = self.policy_turns.get(&query.step.job).copied().max(late_since);
        let overdue_turn = turn.filter(|at| now.saturating_sub(*at) >= TURN_INTERVAL);
        let step_tickets = self.step_tickets.get(&query.step);
        QueryRank {
            is_ahead: query.is_ahead,
            overdue_since: overdue_turn.unwrap_or(Moment::MAX),
            awaits_late: late_since.is_some(),
            last_query: step_tickets.and_then(StepTickets::last_query),
        }
    }

    fn send_query(&mut self, query: WantedQuery, now: Moment) -> Command {
        if !query.is_ahead {
            // Stored by the time of the response, or soon after, so that tasks can start with it.
            self.ensure_start_stored(query.step);
        }
        self.policy_turns.insert(query.step.job, now);
        if let Some(job) = self.jobs.get(&query.step.job) {
            self.policy_service_turns.insert(job.record.service.clone(), now);
        }
        let WantedQuery { step, policy, workers, is_ahead } = query;
        let step_tickets = self.step_tickets.entry(step).or_default();
        step_tickets.note_query(workers.len(), now);
        if is_ahead {
            step_tickets.note_query_ahead(&policy, now);
        }
        let late = self.policy_queue.late_calls(now);
        if late > 0 {
            emit!(JobsEvent::PolicyLate, step = step, late = late);
        }
        let call = self.policy_queue.send(step, &policy, workers.len(), now);
        let id = |slot: &WorkerSlot| self.workers[*slot].entry.id.clone();
        let workers = workers.iter().map(id).collect();
        Command::QueryPolicy(PolicyQuery { step, workers, call })
    }
}
