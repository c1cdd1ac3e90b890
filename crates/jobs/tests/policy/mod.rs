//! A placement policy that handles one query at a time, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{HashMap, HashSet, VecDeque};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::clients::{
    CommandOutcome, EndedRun, PolicyError, PolicyResponse, PollResponse, Refusal, RunEnd, Ticket,
};
use cassiafold_jobs::cluster::{PlacementPolicy, Queue, Service, WorkerEntry, WorkerId};
use cassiafold_jobs::job::Job;
use cassiafold_jobs::scheduler::{Command, OwnerTerm, PolicyQuery, WriteBatch};
use cassiafold_jobs::spec::{JobId, Resources, StepId, StepSpec};

use crate::emulator::{QUEUE, config, ms, step};
use crate::harness::SchedulerHarness;

/// Queries that may wait; a further one is refused.
const WAITING_MAX: usize = 32;
/// Validity of a ticket.
const VALID_FOR: Duration = Duration::from_secs(3);
/// Jobs of a burst, which are submitted at once.
pub const BURST_JOBS: u64 = 8;
/// Longest time for which a job may have nothing running while there is room for it.
pub const IDLE_MAX: Duration = Duration::from_secs(3);
/// A service beside that of the harness.
pub const OTHER_SERVICE: &str = "other";
/// A queue without a placement policy.
pub const FREE_QUEUE: &str = "free";
/// Workers of a play.
pub const WORKERS: usize = 14;

/// A query that the policy has received.
pub struct Waiting {
    query: PolicyQuery,
    sent: Duration,
    /// Whether the owner no longer waits for the response.
    is_given_up: bool,
    /// Whether the owner no longer expects the response, though it waits for it.
    is_late: bool,
}

/// A ticket that the policy has made.
pub struct Issued {
    step: StepId,
    worker: WorkerId,
    expires: Duration,
}

/// A placement policy that handles one query at a time, also those that were given up. Workers
/// refuse a start without a valid ticket.
pub struct Policy {
    pub times: PlacementPolicy,
    /// Whether it makes the tickets when it begins to handle a query, not when it responds.
    pub makes_tickets_first: bool,
    pub issued: HashMap<Arc<str>, Issued>,
    /// Starts that were refused for want of a valid ticket.
    pub refused_starts: usize,
    /// Queries that were handled.
    pub handled: usize,
    pub waiting: VecDeque<Waiting>,
    /// When the first query in turn is handled.
    pub handled_at: Option<Duration>,
    /// Workers that may not run any step.
    pub refused: HashSet<WorkerId>,
    pub refusals: usize,
    pub given_up: usize,
    pub late: usize,
    /// Whether the next response is lost.
    pub loses_next: bool,
    /// Time that the store takes for a write.
    pub write_time: Duration,
    /// The write in flight, and when it is stored.
    pub write: Option<(Duration, WriteBatch)>,
}

impl Policy {
    pub fn new(decide_ms: u64, each_ms: u64) -> Self {
        Self {
            times: PlacementPolicy {
                base: ms(decide_ms),
                per_worker: ms(each_ms),
                valid_for: VALID_FOR,
            },
            makes_tickets_first: false,
            issued: HashMap::new(),
            refused_starts: 0,
            handled: 0,
            waiting: VecDeque::new(),
            handled_at: None,
            refused: HashSet::new(),
            refusals: 0,
            given_up: 0,
            late: 0,
            loses_next: false,
            write_time: Duration::ZERO,
            write: None,
        }
    }

    pub fn harness(&self) -> SchedulerHarness {
        self.harness_of(WORKERS)
    }

    pub fn harness_of(&self, workers: usize) -> SchedulerHarness {
        let mut harness = SchedulerHarness::new(workers, OwnerTerm::default());
        let mut config = (*config(Resources::default())).clone();
        let free = Queue { id: FREE_QUEUE.into(), ..config.queues[QUEUE].clone() };
        for queue in config.queues.values_mut() {
            queue.placement_policy = Some(self.times);
        }
        config.queues.insert(FREE_QUEUE.into(), free);
        config.services.insert(OTHER_SERVICE.into(), Service::default());
        harness.scheduler.set_config(Arc::new(config));
        harness
    }

    /// A harness in which every other worker belongs to [`OTHER_SERVICE`].
    pub fn harness_of_two_services(&self) -> SchedulerHarness {
        let mut harness = self.harness();
        let entry = |slot: usize| harness.scheduler.worker(slot).entry.clone();
        let mut entries: Vec<WorkerEntry> = (0..WORKERS).map(entry).collect();
        for entry in entries.iter_mut().step_by(2) {
            entry.id = format!("{}-{OTHER_SERVICE}", entry.id).into();
            entry.service = OTHER_SERVICE.into();
        }
        harness.scheduler.set_workers(entries, harness.now);
        harness.run_for(ms(3_500));
        harness
    }

    /// Advances the time by `length`.
    pub fn run(&mut self, harness: &mut SchedulerHarness, length: Duration) {
        let end = harness.now + length;
        while harness.now < end {
            self.give_up(harness);
            self.respond(harness);
            for command in harness.scheduler.plan(harness.unix, harness.now) {
                match command {
                    Command::QueryPolicy(query) => self.receive(harness, query),
                    Command::Start { worker, task, run, ticket }
                        if harness.scheduler.job(task.step.job).is_some_and(needs_ticket)
                            && !self.admits(harness, worker, task.step, ticket.as_deref()) =>
                    {
                        self.refused_starts += 1;
                        let outcome = CommandOutcome::Refused(Refusal::NoTicket);
                        let now = harness.now;
                        harness.scheduler.handle_start_outcome(worker, task, run, outcome, now);
                    }
                    command => harness.execute(command),
                }
            }
            self.write(harness);
            harness.now += ms(5);
        }
    }

    fn write(&mut self, harness: &mut SchedulerHarness) {
        let now = harness.now;
        if self.write.is_none() {
            let batch = harness.scheduler.next_write_batch(now);
            self.write = batch.map(|batch| (now + self.write_time, batch));
        }
        if let Some((_, batch)) = self.write.take_if(|(stored_at, _)| *stored_at <= now) {
            harness.scheduler.handle_write_committed(&batch, now);
        }
    }

    /// Whether a worker starts a task of `step` with this ticket.
    fn admits(
        &self,
        harness: &SchedulerHarness,
        worker: usize,
        step: StepId,
        ticket: Option<&str>,
    ) -> bool {
        let issued = ticket.and_then(|ticket| self.issued.get(ticket));
        issued.is_some_and(|issued| {
            let id = &harness.scheduler.worker(worker).entry.id;
            issued.step == step && issued.worker == *id && harness.now <= issued.expires
        })
    }

    fn receive(&mut self, harness: &mut SchedulerHarness, query: PolicyQuery) {
        if self.waiting.len() > WAITING_MAX {
            self.refusals += 1;
            let (error, now) = (PolicyError::Busy, harness.now);
            harness.scheduler.handle_policy_response(&query, Err(error), now, now);
            return;
        }
        self.waiting.push_back(Waiting {
            query,
            sent: harness.now,
            is_given_up: false,
            is_late: false,
        });
    }

    fn give_up(&mut self, harness: &mut SchedulerHarness) {
        let now = harness.now;
        for waiting in &mut self.waiting {
            let is_late = now >= waiting.sent + waiting.query.call.late_after;
            self.late += usize::from(is_late && !waiting.is_late);
            waiting.is_late = is_late;
            if waiting.is_given_up || now < waiting.sent + waiting.query.call.timeout {
                continue;
            }
            waiting.is_given_up = true;
            self.given_up += 1;
            let error = Err(PolicyError::Unanswered);
            harness.scheduler.handle_policy_response(&waiting.query, error, waiting.sent, now);
        }
    }

    fn respond(&mut self, harness: &mut SchedulerHarness) {
        let now = harness.now;
        let Some(first) = self.waiting.front() else { return };
        let handling = self.times.handling_time(first.query.workers.len());
        let handled_at = *self.handled_at.get_or_insert(now + handling);
        if now < handled_at {
            return;
        }
        self.handled_at = None;
        self.handled += 1;
        let Some(first) = self.waiting.pop_front().filter(|first| !first.is_given_up) else {
            return;
        };
        if std::mem::take(&mut self.loses_next) {
            return;
        }
        let allowed = first.query.workers.iter().filter(|worker| !self.refused.contains(*worker));
        let made = if self.makes_tickets_first { handled_at - handling } else { handled_at };
        let expires = made + self.times.valid_for;
        let mut tickets = Vec::new();
        for worker in allowed {
            let proof: Arc<str> = format!("ticket-{}", self.issued.len()).into();
            tickets.push(Ticket { worker: worker.clone(), proof: Arc::clone(&proof) });
            let (step, worker) = (first.query.step, worker.clone());
            self.issued.insert(proof, Issued { step, worker, expires });
        }
        let response = Ok(PolicyResponse { tickets, valid_for: self.times.valid_for });
        harness.scheduler.handle_policy_response(&first.query, response, first.sent, now);
    }
}

/// A step whose tasks take next to nothing.
pub fn tiny_step(tasks: u32) -> StepSpec {
    let task_resources = Resources { processors_milli: 10, memory_bytes: 1 << 20, accelerators: 0 };
    StepSpec { task_resources, ..step(tasks, 1, &[]) }
}

/// A step whose tasks run only together.
pub fn gang(tasks: u32, cores_each: u32) -> StepSpec {
    StepSpec { gang: true, ..step(tasks, cores_each, &[]) }
}

/// Ids of the workers of these numbers.
pub fn workers(numbers: Range<usize>) -> HashSet<WorkerId> {
    numbers.map(|number| format!("w{number}").into()).collect()
}

/// Times of a policy whose tickets are valid for `valid_ms`.
pub fn valid_for(valid_ms: u64) -> PlacementPolicy {
    PlacementPolicy { base: ms(300), per_worker: ms(200), valid_for: ms(valid_ms) }
}

/// Ends all runs of the first workers.
pub fn end_runs(harness: &mut SchedulerHarness, workers: usize) {
    // Numbers rise from call to call.
    let first = harness.now.as_millis() as u64;
    for worker in 0..workers {
        let runs = harness.running.remove(&worker).unwrap_or_default();
        let end = |(number, (task, run))| EndedRun {
            number,
            task,
            run,
            end: RunEnd::Done,
            checkpoint: None,
        };
        let ended = (first..).zip(runs).map(end).collect();
        let poll = PollResponse { clock: harness.now, ended, ..PollResponse::default() };
        harness.scheduler.handle_poll_response(worker, false, harness.now, harness.now, poll);
    }
}

fn needs_ticket(job: &Job) -> bool {
    *job.record.queue != *FREE_QUEUE
}

/// Whether a task of a job runs.
pub fn has_started(harness: &SchedulerHarness, job: JobId) -> bool {
    harness.running.values().flatten().any(|(task, _)| task.step.job == job)
}

/// Jobs of which a task has started.
pub fn started(harness: &SchedulerHarness) -> usize {
    let runs = harness.running.values().flatten();
    runs.map(|(task, _)| task.step.job).collect::<HashSet<JobId>>().len()
}
