//! Commands on the way to workers: what legal jobs ask for at once may not take the owner's memory.

mod emulator;
mod harness;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::clients::{CommandOutcome, StartRequest};
use cassiafold_jobs::cluster::Team;
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::record::JobRecord;
use cassiafold_jobs::scheduler::{Command, OwnerTerm};
use cassiafold_jobs::spec::{JobId, JobSpec, Resources, RunNumber, StepSpec, TaskId};

use self::emulator::{config, job, ms, step};
use self::harness::{REVISION_AFTER_TAKEOVER, SchedulerHarness};

/// What the texts of all commands on the way may take: a sixteenth of the memory of the smallest
/// machine.
const TEXT_BYTES_MAX: usize = (160 << 20) / 16;
/// Longest text of a job that callers may submit, in bytes.
const JOB_TEXT_BYTES: usize = 4_000;
/// Most tasks of a step.
const STEP_TASKS: u32 = 10_000;
const WORKERS: usize = 8;
const OTHER_TEAM: &str = "other";
/// Memory that a stop on the way takes, at least: its request, encoded and written, and its outcome.
const STOP_BYTES: usize = 1_024;
/// Tasks of each step of a job whose runs are to be stopped.
const STOPPED_TASKS: u32 = 3_000;
/// Time in which runs of a cancelled job are told to stop, on workers that respond.
const STOP_TIME_MAX: Duration = ms(3_000);
/// Passes after which a job whose start is stored has started on a calm day.
const CALM_PASSES: usize = 3;

/// A step of tasks that take a thousandth of a core each.
fn small_tasks(tasks: u32) -> StepSpec {
    let task_resources = Resources { processors_milli: 1, memory_bytes: 1, accelerators: 0 };
    StepSpec { tasks, task_resources, estimate: ms(5_000), ..StepSpec::default() }
}

/// A job of the most tasks with the longest text.
fn large_job() -> JobRecord {
    let steps = vec![small_tasks(STEP_TASKS), small_tasks(STEP_TASKS)];
    let payload: Arc<str> = "x".repeat(JOB_TEXT_BYTES).into();
    JobRecord { spec: JobSpec { payload, steps, schedule: None }, ..job(Vec::new()) }
}

/// An owner whose workers have been polled, and which gets no outcome of a start or stop unless the
/// test passes it on.
struct Owner {
    harness: SchedulerHarness,
    /// Starts on the way.
    starts: Vec<(WorkerSlot, StartRequest)>,
    /// Stops on the way, in the order in which they were sent.
    stops: Vec<(WorkerSlot, TaskId, RunNumber)>,
    /// Whether polls are answered.
    answers_polls: bool,
    /// Polls on the way beside the long polls.
    out_of_band_polls: Vec<WorkerSlot>,
}

impl Owner {
    fn new() -> Self {
        Self::with_workers(WORKERS)
    }

    fn with_workers(workers: usize) -> Self {
        let mut harness = SchedulerHarness::new(workers, OwnerTerm::default());
        let mut config = (*config(Resources::default())).clone();
        let team = Team { weight: 100.0, limit: Resources::default() };
        config.teams.insert(OTHER_TEAM.into(), team);
        harness.scheduler.set_config(Arc::new(config));
        Self {
            harness,
            starts: Vec::new(),
            stops: Vec::new(),
            answers_polls: true,
            out_of_band_polls: Vec::new(),
        }
    }

    fn submit(&mut self, id: JobId, record: JobRecord) {
        let (revision, now) = (REVISION_AFTER_TAKEOVER, self.harness.now);
        self.harness.scheduler.add_job(id, record, revision, None, now);
    }

    /// One pass of the owner's loop, 10 ms after the one before.
    fn pass(&mut self) {
        let (unix, now) = (self.harness.unix, self.harness.now);
        for command in self.harness.scheduler.plan(unix, now) {
            match command {
                Command::Start { worker, task, run, ticket } => {
                    let scheduler = &mut self.harness.scheduler;
                    let request = scheduler.start_request(worker, task, run, ticket, now);
                    self.starts.push((worker, request.expect("a start")));
                }
                Command::Stop { worker, task, run } => self.stops.push((worker, task, run)),
                Command::Poll { worker, is_out_of_band } if !self.answers_polls => {
                    let _ = self.harness.scheduler.poll_request(worker, is_out_of_band, now);
                    self.out_of_band_polls.extend(is_out_of_band.then_some(worker));
                }
                other => self.harness.execute(other),
            }
        }
        self.harness.commit_writes();
        self.harness.now += ms(10);
    }

    fn passes(&mut self, count: usize) {
        (0..count).for_each(|_| self.pass());
    }

    /// Lets the workers for which `responds` holds accept the starts on the way.
    fn accept_starts(&mut self, responds: impl Fn(WorkerSlot) -> bool) {
        for (worker, start) in self.starts.extract_if(.., |(worker, _)| responds(*worker)) {
            let (task, run) = (start.task, start.run);
            self.harness.execute(Command::Start { worker, task, run, ticket: None });
        }
    }

    /// Lets the workers for which `responds` holds accept the stops on the way.
    fn accept_stops(&mut self, responds: impl Fn(WorkerSlot) -> bool) {
        for (worker, task, run) in self.stops.extract_if(.., |(worker, ..)| responds(*worker)) {
            self.harness.execute(Command::Stop { worker, task, run });
        }
    }

    fn text_bytes(&self) -> usize {
        self.starts.iter().map(|(_, start)| start.payload.len()).sum()
    }

    fn has_started(&self, id: JobId) -> bool {
        self.starts.iter().any(|(_, start)| start.task.step.job == id)
    }
}

/// Guards against an owner that exceeds its memory since a pass sends all starts of all jobs at
/// once, each with the text of its job (review/11).
#[test]
fn the_starts_of_large_jobs_on_the_way_take_a_bounded_memory() {
    let mut owner = Owner::new();
    (1..=8).for_each(|id| owner.submit(id, large_job()));
    owner.passes(20);
    assert!(owner.has_started(1), "no start");
    let bytes = owner.text_bytes();
    assert!(bytes <= TEXT_BYTES_MAX, "{bytes} bytes in {} starts", owner.starts.len());
}

/// Guards against starts that wait for ever once they have waited for room.
#[test]
fn all_tasks_of_a_large_job_start_as_workers_respond() {
    let mut owner = Owner::new();
    owner.submit(1, large_job());
    for _ in 0..200 {
        owner.pass();
        owner.accept_starts(|_| true);
    }
    assert_eq!(owner.harness.running(), 2 * STEP_TASKS as usize);
}

/// Guards against a client account whose job waits until those of another one are started.
#[test]
fn a_job_of_another_team_starts_at_once_beside_starts_without_response() {
    let mut owner = Owner::new();
    (1..=8).for_each(|id| owner.submit(id, large_job()));
    owner.passes(20);
    let others = JobRecord { team: Some(OTHER_TEAM.into()), ..job(vec![small_tasks(1)]) };
    owner.submit(9, others);
    owner.passes(CALM_PASSES);
    assert!(owner.has_started(9));
}

/// Guards against a client account that can't start a task on a worker to which another one has sent
/// all that it may.
#[test]
fn a_job_of_another_team_starts_at_once_on_the_only_worker() {
    let mut owner = Owner::with_workers(1);
    let small = JobSpec { payload: "work".into(), ..large_job().spec };
    owner.submit(1, JobRecord { spec: small, ..large_job() });
    owner.passes(20);
    // Jobs with less work are placed first.
    let long = StepSpec { estimate: ms(200_000), ..step(1, 1, &[]) };
    owner.submit(9, JobRecord { team: Some(OTHER_TEAM.into()), ..job(vec![long]) });
    owner.passes(CALM_PASSES);
    assert!(owner.has_started(9));
}

/// Starts on the last worker within a second in which these workers respond.
fn starts_on_last_worker(responds: impl Fn(WorkerSlot) -> bool + Copy) -> usize {
    let mut owner = Owner::new();
    (1..=2).for_each(|id| owner.submit(id, large_job()));
    for _ in 0..100 {
        owner.pass();
        owner.accept_starts(responds);
    }
    owner.harness.running.get(&(WORKERS - 1)).map_or(0, Vec::len)
}

/// Guards against workers without responses that take the room of the others.
#[test]
fn workers_without_responses_leave_the_others_their_share_of_starts() {
    let beside_silent = starts_on_last_worker(|worker| worker == WORKERS - 1);
    let beside_others = starts_on_last_worker(|_| true);
    assert!(beside_silent >= beside_others / 2, "{beside_silent} of {beside_others}");
    assert!(beside_silent > 0);
}

/// Guards against a gang that can't start since its starts together exceed the room for them.
#[test]
fn all_members_of_a_gang_that_exceeds_the_room_start() {
    let mut owner = Owner::new();
    let steps = vec![StepSpec { gang: true, ..small_tasks(STEP_TASKS) }];
    let spec = JobSpec { steps, ..large_job().spec };
    owner.submit(1, JobRecord { spec, ..large_job() });
    let mut bytes_max = 0;
    for _ in 0..300 {
        owner.pass();
        bytes_max = bytes_max.max(owner.text_bytes());
        owner.accept_starts(|_| true);
    }
    assert!(bytes_max <= TEXT_BYTES_MAX, "{bytes_max} bytes");
    assert_eq!(owner.harness.running(), STEP_TASKS as usize);
}

/// An owner of which jobs with all of their tasks run: a large one of each team, and another one of
/// the second team with a single task.
fn owner_of_running_jobs() -> Owner {
    let mut owner = Owner::new();
    let others = |record| JobRecord { team: Some(OTHER_TEAM.into()), ..record };
    let steps = vec![small_tasks(STOPPED_TASKS), small_tasks(STOPPED_TASKS)];
    owner.submit(1, job(steps.clone()));
    owner.submit(2, others(job(steps)));
    owner.submit(3, others(job(vec![small_tasks(1)])));
    while owner.harness.running() < 4 * STOPPED_TASKS as usize + 1 {
        owner.pass();
        owner.accept_starts(|_| true);
    }
    owner.passes(CALM_PASSES);
    owner
}

/// Guards against an owner that exceeds its memory since it sends the stops of all runs of a
/// cancelled job at once, and each again while the one before is on the way (review/15).
#[test]
fn the_stops_of_large_jobs_on_the_way_are_bounded_and_one_for_each_run() {
    let mut owner = owner_of_running_jobs();
    (1..=2).for_each(|id| owner.harness.scheduler.cancel(id, owner.harness.now));
    owner.passes(60);
    let runs: HashSet<(TaskId, RunNumber)> =
        owner.stops.iter().map(|(_, task, run)| (*task, *run)).collect();
    assert!(!runs.is_empty(), "no stop");
    assert_eq!(runs.len(), owner.stops.len(), "a run has several stops on the way");
    assert!(runs.len() <= TEXT_BYTES_MAX / STOP_BYTES, "{} stops", runs.len());
}

/// Guards against stops that wait for ever once they have waited for room.
#[test]
fn all_runs_of_large_cancelled_jobs_are_stopped_in_time_as_workers_respond() {
    let mut owner = owner_of_running_jobs();
    (1..=2).for_each(|id| owner.harness.scheduler.cancel(id, owner.harness.now));
    let cancelled_at = owner.harness.now;
    while owner.harness.running() > 1 {
        owner.pass();
        owner.accept_stops(|_| true);
        assert!(owner.harness.now <= cancelled_at + STOP_TIME_MAX, "{}", owner.harness.running());
    }
}

/// Guards against a run whose stop waits until those of another client account are sent.
#[test]
fn a_run_of_another_team_is_stopped_at_once_beside_stops_without_response() {
    let mut owner = owner_of_running_jobs();
    owner.harness.scheduler.cancel(1, owner.harness.now);
    owner.passes(20);
    owner.harness.scheduler.cancel(3, owner.harness.now);
    owner.passes(CALM_PASSES);
    assert!(owner.stops.iter().any(|(_, task, _)| task.step.job == 3));
}

/// Guards against workers without responses that take the room of the others.
#[test]
fn workers_without_responses_leave_the_others_their_stops() {
    let mut owner = owner_of_running_jobs();
    (1..=2).for_each(|id| owner.harness.scheduler.cancel(id, owner.harness.now));
    let last = WORKERS - 1;
    for _ in 0..STOP_TIME_MAX.as_millis() / 10 {
        owner.pass();
        owner.accept_stops(|worker| worker == last);
    }
    let left = owner.harness.running[&last].iter().filter(|(task, _)| task.step.job != 3).count();
    assert_eq!(left, 0);
}

/// Guards against a stop without a response that is never sent again.
#[test]
fn a_stop_without_a_response_is_sent_again_after_its_outcome() {
    let mut owner = owner_of_running_jobs();
    owner.harness.scheduler.cancel(3, owner.harness.now);
    owner.passes(60);
    let [(worker, task, run)] = owner.stops[..] else { panic!("{:?}", owner.stops) };
    let now = owner.harness.now;
    owner.harness.scheduler.handle_stop_outcome(worker, task, run, CommandOutcome::Unknown, now);
    owner.passes(20);
    assert_eq!(owner.stops, [(worker, task, run); 2]);
}

/// Guards against a poll in each pass, beside those on the way, while starts on a worker get no
/// responses.
#[test]
fn few_polls_are_on_the_way_to_a_worker_that_answers_nothing() {
    let mut owner = Owner::new();
    owner.answers_polls = false;
    owner.submit(1, large_job());
    for _ in 0..50 {
        owner.pass();
        for (worker, start) in std::mem::take(&mut owner.starts) {
            let (task, run, now) = (start.task, start.run, owner.harness.now);
            let unknown = CommandOutcome::Unknown;
            owner.harness.scheduler.handle_start_outcome(worker, task, run, unknown, now);
        }
    }
    let polls = owner.out_of_band_polls.len();
    assert!(polls > 0 && polls <= 4 * WORKERS, "{polls} polls");
}
