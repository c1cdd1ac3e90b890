//! Test harness of the scheduler, with workers that execute every command immediately.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::clients::{
    CommandOutcome, MachineOutcome, PollError, PollResponse, RunningRun,
};
use cassiafold_jobs::cluster::{Machine, MachineState, Service, Wave, WorkerEntry};
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::record::{JobState, StateRecord, TaskRecord, WorkerRecord};
use cassiafold_jobs::scheduler::{Command, MachineAttempt, MachineCommand, OwnerTerm, Scheduler};
use cassiafold_jobs::spec::{JobId, Resources, StepId, StepSpec, TaskId};
use cassiafold_jobs::worker::Worker;

use crate::emulator::worker::EmulatedWorker;
use crate::emulator::{SERVICE, config, cores, job, ms, settings, step};

/// Store revision of jobs that were accepted after the owner's term started.
pub const REVISION_AFTER_TAKEOVER: u64 = u64::MAX;

/// A scheduler and workers that execute its commands immediately.
pub struct SchedulerHarness {
    pub scheduler: Scheduler,
    pub now: Duration,
    /// Unix time that every planning pass is told.
    pub unix: Duration,
    pub running: HashMap<WorkerSlot, Vec<(TaskId, u32)>>,
    pub machine_commands: Vec<MachineCommand>,
    /// All commands to machines, with the numbers of their attempts.
    pub machine_attempts: Vec<MachineAttempt>,
    pub listed_machines: Vec<Machine>,
    /// Workers that respond to no poll.
    pub silent: HashSet<WorkerSlot>,
    /// Load that workers report of tasks; 0 if not given.
    pub load_metrics: HashMap<TaskId, u32>,
}

impl SchedulerHarness {
    /// Creates a harness whose workers have been polled.
    pub fn new(workers: usize, term: OwnerTerm) -> Self {
        let mut harness = Self::at_term_start(workers, term);
        harness.run_for(ms(3_500));
        harness
    }

    /// Creates a harness at the start of an owner's term.
    pub fn at_term_start(workers: usize, term: OwnerTerm) -> Self {
        Self::at_time(workers, term, ms(100_000))
    }

    /// Creates a harness at `now`, when an owner's term starts.
    pub fn at_time(workers: usize, term: OwnerTerm, now: Duration) -> Self {
        let mut scheduler = Scheduler::new(settings(), term, now);
        let mut config = (*config(Resources::default())).clone();
        let spare = Service { is_spare: true, ..Service::default() };
        config.services.insert("spare".into(), spare);
        scheduler.set_config(Arc::new(config));
        let capacity = Resources { memory_bytes: 64 << 30, ..cores(16) };
        let make = |number| EmulatedWorker::new(number, capacity).entry();
        scheduler.set_workers((0..workers).map(make).collect(), now);
        Self::from_scheduler(scheduler, now)
    }

    /// Creates a harness for an existing scheduler.
    pub fn from_scheduler(scheduler: Scheduler, now: Duration) -> Self {
        let running = HashMap::new();
        Self {
            scheduler,
            now,
            unix: Duration::ZERO,
            running,
            machine_commands: Vec::new(),
            machine_attempts: Vec::new(),
            listed_machines: Vec::new(),
            silent: HashSet::new(),
            load_metrics: HashMap::new(),
        }
    }

    /// Machines of the service, each with the worker of the same number.
    pub fn machines(count: usize, state: MachineState) -> Vec<Machine> {
        let make = |number: usize| Machine {
            id: format!("m{number}").into(),
            service: SERVICE.into(),
            state,
            zone: "z".into(),
            worker: Some(format!("w{number}").into()),
            labels: Vec::new(),
            capacity: cores(16),
        };
        (0..count).map(make).collect()
    }

    /// Machines of the spare pool, which run no workers.
    pub fn spare_machines(count: usize) -> Vec<Machine> {
        let spare = |machine| Machine { service: "spare".into(), worker: None, ..machine };
        Self::machines(count, MachineState::Up).into_iter().map(spare).collect()
    }

    /// Passes a list of machines to the scheduler.
    pub fn set_machines(&mut self, machines: Vec<Machine>) {
        self.listed_machines = machines.clone();
        self.scheduler.set_machines(machines, self.now, self.now);
    }

    /// Adds a job that was accepted in the current term.
    pub fn submit(&mut self, id: JobId, steps: Vec<StepSpec>) {
        self.scheduler.add_job(id, job(steps), REVISION_AFTER_TAKEOVER, None, self.now);
    }

    /// Adds a job of two long-running tasks that a previous owner started, one on each of the first
    /// two workers, which report them. One of them may be unavailable at a time.
    pub fn adopt_two_tasks(&mut self) {
        let stored = state_from_previous_owner(Vec::new());
        let record = job(vec![long_running(2, Some(1))]);
        self.scheduler.add_job(1, record, 40, Some(&stored), self.now);
        for (slot, index) in [(0, 0), (1, 1)] {
            let task = TaskId { step: StepId { job: 1, occurrence: 0, step: 0 }, index };
            self.running.insert(slot, vec![(task, 1)]);
            let row = RunningRun { task, run: 1, checkpoint: None, percent: 100, load_metric: 0 };
            let poll =
                PollResponse { clock: self.now, running: vec![row], ..PollResponse::default() };
            self.scheduler.handle_poll_response(slot, false, self.now, self.now, poll);
        }
    }

    /// Advances the time by `length`, with every command executed immediately.
    pub fn run_for(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            for command in self.scheduler.plan(self.unix, self.now) {
                self.execute(command);
            }
            self.commit_writes();
            self.now += ms(10);
        }
    }

    /// Advances the time by `length`, with no response to any poll.
    pub fn run_without_responses(&mut self, length: Duration) {
        let error = PollError::NoAnswer("timeout".into());
        self.run_with_polls(length, |scheduler, worker, now| {
            scheduler.handle_poll_failure(worker, false, &error, now);
        });
    }

    /// Advances the time by `length`, while the workers hold each poll open.
    pub fn run_with_open_polls(&mut self, length: Duration) {
        self.run_with_polls(length, |_, _, _| {});
    }

    /// Advances the time by `length`, where `respond` is called for each poll that is sent.
    fn run_with_polls(
        &mut self,
        length: Duration,
        mut respond: impl FnMut(&mut Scheduler, WorkerSlot, Duration),
    ) {
        let end = self.now + length;
        while self.now < end {
            for command in self.scheduler.plan(self.unix, self.now) {
                match command {
                    Command::Poll { worker, .. } => {
                        let _ = self.scheduler.poll_request(worker, false, self.now);
                        respond(&mut self.scheduler, worker, self.now);
                    }
                    command => self.execute(command),
                }
            }
            self.commit_writes();
            self.now += ms(10);
        }
    }

    /// Commits the next write, if there is one.
    pub fn commit_writes(&mut self) {
        if let Some(batch) = self.scheduler.next_write_batch(self.now) {
            self.scheduler.handle_write_committed(&batch, self.now);
        }
    }

    /// Executes one command and passes its outcome to the scheduler.
    pub fn execute(&mut self, command: Command) {
        match command {
            Command::Poll { worker, is_out_of_band } => {
                let _ = self.scheduler.poll_request(worker, is_out_of_band, self.now);
                if self.silent.contains(&worker) {
                    let error = PollError::NoAnswer("timeout".into());
                    let now = self.now;
                    return self.scheduler.handle_poll_failure(worker, is_out_of_band, &error, now);
                }
                let rows = self.running.get(&worker).cloned().unwrap_or_default();
                let row = |(task, run)| RunningRun {
                    task,
                    run,
                    checkpoint: None,
                    percent: 100,
                    load_metric: self.load_metrics.get(&task).copied().unwrap_or_default(),
                };
                let running = rows.into_iter().map(row).collect();
                let poll = PollResponse { clock: self.now, running, ..PollResponse::default() };
                self.scheduler.handle_poll_response(
                    worker,
                    is_out_of_band,
                    self.now,
                    self.now,
                    poll,
                );
            }
            Command::Start { worker, task, run, .. } => {
                self.running.entry(worker).or_default().push((task, run));
                self.scheduler.handle_start_outcome(
                    worker,
                    task,
                    run,
                    CommandOutcome::Accepted,
                    self.now,
                );
            }
            Command::Stop { worker, task, run } => {
                self.running.entry(worker).or_default().retain(|(other, _)| *other != task);
                self.scheduler.handle_stop_outcome(
                    worker,
                    task,
                    run,
                    CommandOutcome::Accepted,
                    self.now,
                );
            }
            Command::Machine(attempt) => {
                self.machine_commands.push(attempt.command.clone());
                self.machine_attempts.push(attempt);
            }
            Command::Throttle { .. } | Command::QueryPolicy(_) => {}
        }
    }

    /// Passes the outcome of the last attempt of a command to the scheduler.
    pub fn answer(&mut self, command: &MachineCommand, outcome: MachineOutcome) {
        let sent = self.machine_attempts.iter().rfind(|attempt| attempt.command == *command);
        let unsent = || MachineAttempt { number: 0, command: command.clone() };
        let attempt = sent.cloned().unwrap_or_else(unsent);
        self.scheduler.handle_machine_outcome(&attempt, outcome, self.now);
    }

    /// Number of runs on all workers.
    pub fn running(&self) -> usize {
        self.running.values().map(Vec::len).sum()
    }

    /// Sets a wave for these machines with a time limit of 20 s.
    pub fn set_wave(&mut self, machines: &[usize], concurrent_max: usize) {
        let machines = machines.iter().map(|number| format!("m{number}").into()).collect();
        let wave = Wave { number: 1, machines, time_limit: ms(20_000), concurrent_max };
        self.scheduler.set_waves(&[wave], self.now);
    }
}

/// The record that an owner stores of a worker with this entry.
pub fn worker_record(entry: WorkerEntry) -> WorkerRecord {
    Worker::new(entry, ms(0), ms(0)).to_record()
}

/// A step of long-running tasks, one of which may be unavailable at a time.
pub fn long_running(tasks: u32, per_worker_max: Option<u32>) -> StepSpec {
    StepSpec { long_running: true, unavailable_max: Some(1), per_worker_max, ..step(tasks, 2, &[]) }
}

/// Stored state of a job that a previous owner may have started, with the records of its tasks.
pub fn state_from_previous_owner(tasks: Vec<TaskRecord>) -> StateRecord {
    StateRecord { state: JobState::Running, team: None, ended: Vec::new(), tasks }
}
