//! Regression tests: steps that need tickets, with a placement policy that handles one query at a
//! time, in virtual time.

mod emulator;
mod harness;

use std::collections::{HashMap, HashSet, VecDeque};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use self::emulator::{QUEUE, config, job, ms, step};
use self::harness::{REVISION_AFTER_TAKEOVER, SchedulerHarness};
use cassiafold_jobs::clients::{
    CommandOutcome, EndedRun, PolicyError, PolicyResponse, PollResponse, Refusal, RunEnd, Ticket,
};
use cassiafold_jobs::cluster::{PlacementPolicy, Queue, Service, WorkerEntry, WorkerId};
use cassiafold_jobs::job::Job;
use cassiafold_jobs::policy_queue::PolicyQueue;
use cassiafold_jobs::record::JobRecord;
use cassiafold_jobs::scheduler::{Command, OwnerTerm, PolicyQuery, WriteBatch};
use cassiafold_jobs::spec::{JobId, Resources, StepId, StepSpec};

/// Queries that may wait; a further one is refused.
const WAITING_MAX: usize = 32;
/// Validity of a ticket.
const VALID_FOR: Duration = Duration::from_secs(3);
/// Jobs of a burst, which are submitted at once.
const BURST_JOBS: u64 = 8;
/// A step, for tests of the queue of calls alone.
const STEP: StepId = StepId { job: 1, occurrence: 0, step: 0 };
/// Longest time for which a job may have nothing running while there is room for it.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// A service beside that of the harness.
const OTHER_SERVICE: &str = "other";
/// A queue without a placement policy.
const FREE_QUEUE: &str = "free";
/// Workers of a play.
const WORKERS: usize = 14;

/// A query that the policy has received.
struct Waiting {
    query: PolicyQuery,
    sent: Duration,
    /// Whether the owner no longer waits for the response.
    is_given_up: bool,
    /// Whether the owner no longer expects the response, though it waits for it.
    is_late: bool,
}

/// A ticket that the policy has made.
struct Issued {
    step: StepId,
    worker: WorkerId,
    expires: Duration,
}

/// A placement policy that handles one query at a time, also those that were given up. Workers
/// refuse a start without a valid ticket.
struct Policy {
    times: PlacementPolicy,
    /// Whether it makes the tickets when it begins to handle a query, not when it responds.
    makes_tickets_first: bool,
    issued: HashMap<Arc<str>, Issued>,
    /// Starts that were refused for want of a valid ticket.
    refused_starts: usize,
    /// Queries that were handled.
    handled: usize,
    waiting: VecDeque<Waiting>,
    /// When the first query in turn is handled.
    handled_at: Option<Duration>,
    /// Workers that may not run any step.
    refused: HashSet<WorkerId>,
    refusals: usize,
    given_up: usize,
    late: usize,
    /// Whether the next response is lost.
    loses_next: bool,
    /// Time that the store takes for a write.
    write_time: Duration,
    /// The write in flight, and when it is stored.
    write: Option<(Duration, WriteBatch)>,
}

impl Policy {
    fn new(decide_ms: u64, each_ms: u64) -> Self {
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

    fn harness(&self) -> SchedulerHarness {
        self.harness_of(WORKERS)
    }

    fn harness_of(&self, workers: usize) -> SchedulerHarness {
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
    fn harness_of_two_services(&self) -> SchedulerHarness {
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
    fn run(&mut self, harness: &mut SchedulerHarness, length: Duration) {
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
fn tiny_step(tasks: u32) -> StepSpec {
    let task_resources = Resources { processors_milli: 10, memory_bytes: 1 << 20, accelerators: 0 };
    StepSpec { task_resources, ..step(tasks, 1, &[]) }
}

/// A step whose tasks run only together.
fn gang(tasks: u32, cores_each: u32) -> StepSpec {
    StepSpec { gang: true, ..step(tasks, cores_each, &[]) }
}

fn workers(numbers: Range<usize>) -> HashSet<WorkerId> {
    numbers.map(|number| format!("w{number}").into()).collect()
}

/// Times of a policy whose tickets are valid for `valid_ms`.
fn valid_for(valid_ms: u64) -> PlacementPolicy {
    PlacementPolicy { base: ms(300), per_worker: ms(200), valid_for: ms(valid_ms) }
}

/// Ends all runs of the first workers.
fn end_runs(harness: &mut SchedulerHarness, workers: usize) {
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
fn has_started(harness: &SchedulerHarness, job: JobId) -> bool {
    harness.running.values().flatten().any(|(task, _)| task.step.job == job)
}

/// Jobs of which a task has started.
fn started(harness: &SchedulerHarness) -> usize {
    let runs = harness.running.values().flatten();
    runs.map(|(task, _)| task.step.job).collect::<HashSet<JobId>>().len()
}

/// Submits a burst of jobs of four tasks, and checks that each one starts, at the latest when the
/// policy can have handled a query of twelve workers for each and a little later.
fn check_burst(decide_ms: u64, each_ms: u64) {
    check_burst_of(Policy::new(decide_ms, each_ms));
}

fn check_burst_of(mut policy: Policy) {
    let mut harness = policy.harness();
    for job in 1..=BURST_JOBS {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    let per_query = policy.times.handling_time(12) + ms(100);
    policy.run(&mut harness, per_query * BURST_JOBS as u32);
    assert_eq!(started(&harness), BURST_JOBS as usize);
    assert_eq!((policy.late, policy.given_up, policy.refusals), (0, 0, 0));
}

macro_rules! bursts {
    ($($name:ident: $decide_ms:expr, $each_ms:expr;)+) => {
        $(#[test] fn $name() {
            check_burst($decide_ms, $each_ms);
        })+
    };
}

// They guard against queries that are given up while the policy prepares the response.
bursts! {
    every_job_of_a_burst_starts_at_50_ms_and_5_ms_a_worker: 50, 5;
    every_job_of_a_burst_starts_at_50_ms_and_60_ms_a_worker: 50, 60;
    every_job_of_a_burst_starts_at_300_ms_and_5_ms_a_worker: 300, 5;
    every_job_of_a_burst_starts_at_300_ms_and_40_ms_a_worker: 300, 40;
    every_job_of_a_burst_starts_at_300_ms_and_60_ms_a_worker: 300, 60;
    every_job_of_a_burst_starts_at_1_000_ms_and_5_ms_a_worker: 1_000, 5;
    every_job_of_a_burst_starts_at_1_000_ms_and_60_ms_a_worker: 1_000, 60;
}

/// Guards against a response that is thrown away because handling it took most of the time for
/// which its tickets are valid.
#[test]
fn every_job_of_a_burst_starts_with_tickets_that_are_valid_for_700_ms() {
    let mut policy = Policy::new(300, 40);
    policy.times.valid_for = ms(700);
    check_burst_of(policy);
}

/// Guards against the same where tickets are valid for less time than the policy takes.
#[test]
fn every_job_of_a_burst_starts_with_tickets_that_are_valid_for_100_ms() {
    let mut policy = Policy::new(300, 40);
    policy.times.valid_for = ms(100);
    check_burst_of(policy);
}

/// Guards against the same where the policy makes the tickets before it takes its time: with so
/// many workers in a query they expire, and fewer have to be named.
#[test]
fn every_job_starts_with_tickets_that_expire_while_many_workers_are_checked() {
    let mut policy = Policy::new(300, 40);
    policy.times.valid_for = ms(500);
    policy.makes_tickets_first = true;
    let mut harness = policy.harness();
    for job in 1..=BURST_JOBS {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    policy.run(&mut harness, policy.times.handling_time(12) * 2 * BURST_JOBS as u32);
    assert_eq!(started(&harness), BURST_JOBS as usize);
}

/// Guards against responses that are thrown away because the policy takes longer than tickets are
/// valid.
#[test]
fn every_job_of_a_burst_starts_although_the_policy_takes_longer_than_tickets_are_valid() {
    check_burst_of(Policy::new(3_200, 40));
}

/// Guards against fewer named workers that are all refused.
#[test]
fn a_step_starts_on_the_only_worker_that_the_policy_allows() {
    let mut policy = Policy::new(50, 60);
    policy.refused = (1..WORKERS).map(|number| format!("w{number}").into()).collect();
    let mut harness = policy.harness();
    harness.submit(1, vec![step(1, 1, &[])]);
    policy.run(&mut harness, ms(2_000));
    assert_eq!(harness.running.get(&0).map(Vec::len), Some(1));
}

/// Guards against a policy that is slower than its configuration says, whose responses are all
/// thrown away.
#[test]
fn jobs_start_although_the_policy_takes_four_times_as_long_as_configured() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    policy.times = PlacementPolicy { base: ms(1_200), per_worker: ms(160), ..policy.times };
    for job in 1..=BURST_JOBS {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    policy.run(&mut harness, policy.times.handling_time(12) * 2 * BURST_JOBS as u32);
    assert_eq!(started(&harness), BURST_JOBS as usize);
}

/// Guards against a response that is thrown away because it comes later than the configuration says.
#[test]
fn a_job_starts_with_the_first_response_although_it_takes_30_times_as_long_as_configured() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    policy.times = PlacementPolicy { base: ms(9_000), per_worker: ms(1_200), ..policy.times };
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, policy.times.handling_time(7) + ms(100));
    assert_eq!((started(&harness), policy.given_up), (1, 0));
}

/// Guards against a policy that is asked again about a step whose response is late, while no other
/// step is asked about.
#[test]
fn each_response_starts_a_job_although_it_takes_30_times_as_long_as_configured() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    policy.times = PlacementPolicy { base: ms(9_000), per_worker: ms(1_200), ..policy.times };
    for job in 1..=3 {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    for job in 1..=3 {
        policy.run(&mut harness, policy.times.handling_time(7) + ms(100));
        assert_eq!(started(&harness), job);
    }
}

/// Submits a job of many steps, each of which needs a query of its own, and then one small job a
/// second, and checks that each of these starts in time.
#[test]
fn a_job_of_300_steps_leaves_every_other_job_its_turn() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    harness.submit(100, vec![tiny_step(1); 300]);
    harness.submit(101, vec![tiny_step(1_000)]);
    policy.run(&mut harness, ms(1_000));
    for job in 1..=6 {
        harness.submit(job, vec![step(4, 1, &[])]);
        policy.run(&mut harness, ms(1_000));
    }
    policy.run(&mut harness, IDLE_MAX - ms(1_000));
    let missing: Vec<JobId> = (1..=6).filter(|job| !has_started(&harness, *job)).collect();
    assert_eq!(missing, Vec::<JobId>::new());
    assert!(has_started(&harness, 100) && has_started(&harness, 101));
}

/// Guards against queries about a service that follow one another, while another service waits.
#[test]
fn the_steps_of_one_service_leave_another_service_its_turn() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness_of_two_services();
    harness.submit(100, vec![tiny_step(1); 300]);
    policy.run(&mut harness, ms(1_000));
    let other = JobRecord { service: OTHER_SERVICE.into(), ..job(vec![step(4, 1, &[])]) };
    harness.scheduler.add_job(1, other, REVISION_AFTER_TAKEOVER, None, harness.now);
    policy.run(&mut harness, IDLE_MAX);
    assert!(has_started(&harness, 1));
}

/// Guards against queries about steps that no worker can ever run.
#[test]
fn the_policy_is_not_asked_about_steps_that_are_larger_than_every_worker() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    for job in 101..=106 {
        harness.submit(job, vec![step(1, 90, &[])]);
    }
    policy.run(&mut harness, ms(10_000));
    assert_eq!(policy.handled, 0);
}

/// Guards against a step that waits for room and is asked about again whenever its tickets expire.
#[test]
fn a_step_without_room_is_asked_about_ever_more_rarely_and_starts_once_there_is_room() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    harness.submit(100, vec![step(WORKERS as u32, 16, &[])]);
    policy.run(&mut harness, ms(3_000));
    assert_eq!(harness.running(), WORKERS);
    harness.submit(1, vec![step(4, 1, &[])]);
    let handled = policy.handled;
    policy.run(&mut harness, ms(30_000));
    // At once, and 3, 9 and 21 s later.
    assert_eq!(policy.handled - handled, 4);
    end_runs(&mut harness, 4);
    policy.run(&mut harness, policy.times.handling_time(12) + ms(100));
    assert!(has_started(&harness, 1));
}

/// Submits a gang with a member on each of twelve workers every six seconds, and checks that each
/// one starts: all of its members need a valid ticket at the same time.
fn check_gangs(mut policy: Policy, gang: &StepSpec) {
    let mut harness = policy.harness();
    for job in 1..=3 {
        harness.submit(job, vec![gang.clone()]);
        policy.run(&mut harness, ms(6_000));
        assert!(has_started(&harness, job), "gang {job}");
        end_runs(&mut harness, WORKERS);
    }
    assert_eq!(policy.refused_starts, 0);
}

macro_rules! gangs {
    ($($name:ident: $policy:expr, $gang:expr;)+) => {
        $(#[test] fn $name() {
            check_gangs($policy, &$gang);
        })+
    };
}

// They guard against tickets that expire while the others of a gang are asked for.
gangs! {
    gangs_start_with_40_ms_a_worker: Policy::new(300, 40), gang(12, 9);
    gangs_start_with_200_ms_a_worker: Policy::new(300, 200), gang(12, 9);
    gangs_start_with_200_ms_a_worker_and_tickets_that_are_valid_for_500_ms:
        Policy { times: valid_for(500), ..Policy::new(300, 200) }, gang(12, 9);
    gangs_in_one_rack_start_with_200_ms_a_worker:
        Policy::new(300, 200), StepSpec { same_rack: true, ..gang(12, 9) };
    gangs_start_with_200_ms_a_worker_and_one_task_a_worker:
        Policy::new(300, 200), StepSpec { per_worker_max: Some(1), ..gang(12, 1) };
    gangs_start_although_two_workers_are_refused:
        Policy { refused: workers(0..2), ..Policy::new(300, 200) }, gang(12, 9);
}

/// Guards against jobs that wait for the policy and look as if they waited for capacity.
#[test]
fn the_delays_of_a_job_tell_how_long_it_waited_for_the_policy() {
    let mut policy = Policy::new(300, 40);
    let mut harness = policy.harness();
    for job in 1..=2 {
        harness.submit(job, vec![step(4, 1, &[])]);
    }
    policy.run(&mut harness, policy.times.handling_time(7) * 2);
    let delays = harness.scheduler.job(2).expect("the job").delays.to_string();
    // The first 50 ms are counted before the pass that queries the policy.
    assert_eq!(delays, "store=0 former_owner=0 retry=0 limit=0 policy=1150 room=50");
}

/// Guards against a gang whose workers do not fit into one query, and whose first tickets expire
/// while it is asked about the rest.
#[test]
fn a_gang_on_more_workers_than_one_query_names_starts() {
    let mut policy = Policy { times: valid_for(600), ..Policy::new(300, 5) };
    policy.times.per_worker = ms(5);
    let mut harness = policy.harness_of(130);
    harness.submit(1, vec![gang(125, 9)]);
    policy.run(&mut harness, policy.times.handling_time(100) * 2 + ms(100));
    assert!(has_started(&harness, 1));
}

/// Guards against tickets that expire while the start of their job is stored.
#[test]
fn a_job_starts_with_its_first_tickets_although_writes_take_longer_than_they_are_valid() {
    let mut policy = Policy { write_time: ms(550), ..Policy::new(300, 40) };
    policy.times.valid_for = ms(500);
    let mut harness = policy.harness();
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, policy.times.handling_time(12));
    assert_eq!((started(&harness), policy.handled), (1, 1));
}

/// Guards against parts of a gang that are asked about for ever while it fits nowhere.
#[test]
fn a_gang_without_room_leaves_the_policy_to_others() {
    let mut policy = Policy { refused: workers(0..3), ..Policy::new(300, 200) };
    let mut harness = policy.harness();
    harness.submit(100, vec![gang(12, 9)]);
    policy.run(&mut harness, ms(5_000));
    let handled = policy.handled;
    policy.run(&mut harness, ms(30_000));
    assert!(policy.handled - handled <= 4, "{}", policy.handled - handled);
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, IDLE_MAX);
    assert!(has_started(&harness, 1));
}

/// Guards against a step whose response was lost and that is behind all steps without a late one.
#[test]
fn a_step_whose_response_was_lost_has_its_turn_while_others_keep_the_policy_busy() {
    let mut policy = Policy::new(300, 40);
    policy.loses_next = true;
    let mut harness = policy.harness();
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, ms(100));
    harness.submit(100, vec![tiny_step(1); 300]);
    // Until it is late, and then like a job that has just come.
    policy.run(&mut harness, policy.times.handling_time(7) * 2 + ms(1_000) + IDLE_MAX);
    assert!(has_started(&harness, 1));
}

/// Guards against a panic by times that are valid and that nothing can be added to.
#[test]
fn a_policy_with_the_longest_times_that_can_be_configured_is_queried() {
    let longest = ms(u64::MAX);
    let mut policy = Policy::new(300, 40);
    policy.times = PlacementPolicy { base: longest, per_worker: longest, valid_for: longest };
    let mut harness = policy.harness();
    harness.submit(100, vec![step(WORKERS as u32, 16, &[])]);
    harness.submit(101, vec![gang(WORKERS as u32, 16)]);
    harness.submit(1, vec![step(1, 16, &[])]);
    policy.times = PlacementPolicy { valid_for: longest, ..Policy::new(300, 40).times };
    policy.run(&mut harness, ms(200_000));
    assert!(has_started(&harness, 100));
}

/// Guards against a worker that gets no tasks for a while because one came without a valid ticket.
#[test]
fn a_start_that_is_refused_for_its_ticket_leaves_the_worker_to_others() {
    let mut policy = Policy::new(300, 40);
    policy.times.valid_for = ms(100);
    policy.makes_tickets_first = true;
    let mut harness = policy.harness_of(1);
    harness.submit(1, vec![step(1, 1, &[])]);
    while policy.refused_starts == 0 {
        policy.run(&mut harness, ms(5));
    }
    let other = JobRecord { queue: FREE_QUEUE.into(), ..job(vec![step(1, 1, &[])]) };
    harness.scheduler.add_job(2, other, REVISION_AFTER_TAKEOVER, None, harness.now);
    policy.run(&mut harness, ms(100));
    assert!(has_started(&harness, 2));
}

/// Guards against a worker that is kept for a step which the policy does not allow there.
#[test]
fn a_worker_that_the_policy_refuses_is_not_kept_for_a_waiting_step() {
    let mut policy = Policy::new(50, 5);
    policy.refused = HashSet::from(["w0".into()]);
    let mut harness = policy.harness();
    harness.submit(100, vec![step(WORKERS as u32 - 1, 16, &[])]);
    policy.run(&mut harness, ms(2_000));
    // It fits on the refused worker only.
    harness.submit(1, vec![StepSpec { long_running: true, ..step(1, 16, &[]) }]);
    policy.run(&mut harness, ms(2_000));
    let other = JobRecord { queue: FREE_QUEUE.into(), ..job(vec![step(4, 1, &[])]) };
    harness.scheduler.add_job(2, other, REVISION_AFTER_TAKEOVER, None, harness.now);
    policy.run(&mut harness, ms(500));
    assert!(has_started(&harness, 2));
}

/// Guards against a response that is lost and awaited for minutes.
#[test]
fn a_step_is_asked_about_again_once_the_response_is_late() {
    let mut policy = Policy::new(300, 40);
    policy.loses_next = true;
    let mut harness = policy.harness();
    harness.submit(1, vec![step(4, 1, &[])]);
    policy.run(&mut harness, policy.times.handling_time(12) * 4 + ms(1_000));
    assert_eq!((started(&harness), policy.handled), (1, 2));
}

/// Guards against a policy that is kept busy with calls that it refuses.
#[test]
fn after_a_refusal_for_too_many_calls_no_call_is_sent_for_a_while() {
    let policy = Policy::new(50, 5).times;
    let mut queue = PolicyQueue::default();
    assert!(queue.may_send(&policy, ms(0)));
    let call = queue.send(STEP, &policy, 4, ms(0));
    queue.handle_outcome(call.number, Some(&PolicyError::Busy), ms(10));
    assert!(!queue.may_send(&policy, ms(500)));
    assert!(queue.may_send(&policy, ms(510)));
}

/// Guards against an expectation that leaves out the calls that wait, failed or not.
#[test]
fn the_time_after_which_a_call_is_late_includes_the_calls_before_it() {
    let policy = Policy::new(300, 40).times;
    let mut queue = PolicyQueue::default();
    let first = queue.send(STEP, &policy, 5, ms(0));
    assert_eq!(first.late_after, ms(2_000));
    queue.handle_outcome(first.number, Some(&PolicyError::Unanswered), ms(100));
    // 900 ms are left of both, twice that and a second, doubled after the first failure.
    assert_eq!(queue.send(STEP, &policy, 5, ms(100)).late_after, ms(5_600));
}

/// Guards against a call that is sent beside one that is not late, and against none beside one that
/// is.
#[test]
fn a_second_long_call_is_sent_once_the_first_is_late_and_not_before() {
    let policy = Policy::new(300, 40).times;
    let mut queue = PolicyQueue::default();
    queue.send(STEP, &policy, 5, ms(0));
    assert!(queue.awaits(STEP, ms(1_999)) && !queue.may_send(&policy, ms(1_999)));
    assert!(!queue.awaits(STEP, ms(2_000)) && queue.may_send(&policy, ms(2_000)));
}

/// Guards against a lost response that is expected for as long as others come.
#[test]
fn a_call_is_late_once_a_call_that_was_sent_after_it_has_its_response() {
    let policy = Policy::new(50, 5).times;
    let mut queue = PolicyQueue::default();
    queue.send(STEP, &policy, 4, ms(0));
    let other = StepId { step: 1, ..STEP };
    let second = queue.send(other, &policy, 4, ms(0));
    queue.handle_outcome(second.number, None, ms(140));
    assert!(!queue.awaits(STEP, ms(140)));
    assert_eq!(queue.late_since(STEP, ms(140)), Some(ms(140)));
}

/// Guards against expectations that follow the stated times only.
#[test]
fn a_call_is_late_only_after_the_time_that_the_call_before_it_took() {
    let policy = Policy::new(300, 40).times;
    let mut queue = PolicyQueue::default();
    let first = queue.send(STEP, &policy, 5, ms(0));
    queue.handle_outcome(first.number, None, ms(5_000));
    assert_eq!(queue.send(STEP, &policy, 5, ms(5_000)).late_after, ms(11_000));
}

/// Guards against a pause that the failure of another open call ends early.
#[test]
fn the_failure_of_a_second_call_does_not_shorten_the_pause_after_a_refusal() {
    let policy = Policy::new(50, 5).times;
    let mut queue = PolicyQueue::default();
    let calls = [queue.send(STEP, &policy, 4, ms(0)), queue.send(STEP, &policy, 4, ms(0))];
    queue.handle_outcome(calls[0].number, Some(&PolicyError::Busy), ms(10));
    queue.handle_outcome(calls[1].number, Some(&PolicyError::Unanswered), ms(20));
    assert!(!queue.may_send(&policy, ms(500)));
    assert!(queue.may_send(&policy, ms(510)));
}
