//! An emulated worker: fencing, leases, runs and their ends.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::clients::{
    CommandOutcome, EndedRun, Listing, PollError, PollRequest, PollResponse, Refusal, RunEnd,
    RunningRun, StartRequest,
};
use cassiafold_jobs::cluster::WorkerEntry;
use cassiafold_jobs::record::JobRecord;
use cassiafold_jobs::spec::{JobId, Resources, RunNumber, TaskId};

use super::{LEASE_MAX, SERVICE};

/// Run ends in one poll response, unless a test sets fewer.
const ENDS_PER_RESPONSE: usize = 500;

/// A run on an emulated worker.
#[derive(Debug, Clone)]
pub struct EmulatedRun {
    pub number: RunNumber,
    pub started_at: Duration,
    pub task_resources: Resources,
}

/// One emulated worker.
#[derive(Debug)]
pub struct EmulatedWorker {
    pub id: Arc<str>,
    pub capacity: Resources,
    pub is_up: bool,
    pub runs: BTreeMap<TaskId, EmulatedRun>,
    pub started_at: Duration,
    /// Most run ends in one poll response.
    pub ends_per_response: usize,
    /// Earlier capacities, and until when each of them counts.
    past_capacities: Vec<(Resources, Duration)>,
    /// Ids of earlier incarnations.
    past_ids: Vec<Arc<str>>,
    token: u64,
    ended: Vec<EndedRun>,
    next_number: u64,
    highest_run: HashMap<TaskId, RunNumber>,
    lease_until: Duration,
    /// Number of the last run end before the lease last expired.
    last_end_before_expiry: u64,
    acknowledged: Vec<AcknowledgedEnd>,
}

/// A task that ended as done and whose end was acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct AcknowledgedEnd {
    pub task: TaskId,
    /// Whether the lease expired between the end and its acknowledgement.
    pub is_expired: bool,
}

impl EmulatedWorker {
    pub fn new(number: usize, capacity: Resources) -> Self {
        Self {
            id: format!("w{number}").into(),
            capacity,
            is_up: true,
            runs: BTreeMap::new(),
            started_at: Duration::from_secs(1),
            ends_per_response: ENDS_PER_RESPONSE,
            past_capacities: Vec::new(),
            past_ids: Vec::new(),
            token: 0,
            ended: Vec::new(),
            next_number: 1,
            highest_run: HashMap::new(),
            lease_until: Duration::ZERO,
            last_end_before_expiry: 0,
            acknowledged: Vec::new(),
        }
    }

    /// The entry that the worker writes to the store.
    pub fn entry(&self) -> WorkerEntry {
        WorkerEntry {
            id: self.id.clone(),
            started_unix: Some(self.started_at),
            service: SERVICE.into(),
            address: "127.0.0.1:1".parse().expect("address"),
            zone: "z".into(),
            labels: ["a".into(), "r1".into()].into(),
            capacity: self.capacity,
            is_draining: false,
        }
    }

    /// Time since the start of the incarnation.
    fn clock(&self, now: Duration) -> Duration {
        now - self.started_at
    }

    /// Resources of all runs.
    pub fn reserved(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.plus(&run.task_resources))
    }

    /// Changes the capacity; the one before counts until `until`.
    pub fn resize(&mut self, capacity: Resources, until: Duration) {
        let previous = std::mem::replace(&mut self.capacity, capacity);
        self.past_capacities.push((previous, until));
    }

    /// Whether the runs fit into the capacity, or into an earlier one that still counts.
    pub fn is_within_capacity(&self, now: Duration) -> bool {
        let mut counting = self.past_capacities.iter().filter(|(_, until)| now <= *until);
        self.reserved().fits(&self.capacity)
            || counting.any(|(capacity, _)| self.reserved().fits(capacity))
    }

    /// Ends the incarnation and discards its runs and their unacknowledged ends.
    pub fn crash(&mut self) {
        self.is_up = false;
        self.runs.clear();
        self.ended.clear();
        self.highest_run.clear();
        self.next_number = 1;
        self.token = 0;
        self.lease_until = Duration::ZERO;
        self.last_end_before_expiry = 0;
    }

    /// Whether this is or was the worker's id.
    pub fn has_or_had_id(&self, id: &str) -> bool {
        *self.id == *id || self.past_ids.iter().any(|past| **past == *id)
    }

    /// Starts a new incarnation under another id.
    pub fn restart_as_another(&mut self, now: Duration) {
        let id = format!("{}-{}", self.id, now.as_millis()).into();
        self.past_ids.push(std::mem::replace(&mut self.id, id));
        self.restart(now);
    }

    /// Starts a new incarnation.
    pub fn restart(&mut self, now: Duration) {
        self.is_up = true;
        self.started_at = now;
    }

    /// Refuses every owner's token, as after a call with a higher one.
    pub fn refuse_owners(&mut self) {
        self.token = u64::MAX;
    }

    /// Handles a poll: extends the lease, drops acknowledged ends and reports the runs.
    pub fn poll(&mut self, request: PollRequest, now: Duration) -> Result<PollResponse, PollError> {
        if !self.is_up {
            return Err(PollError::Closed("down".into()));
        }
        if request.token < self.token {
            return Err(PollError::Fenced);
        }
        self.token = request.token;
        self.extend_lease(request.lease_until, now);
        let (acknowledged_ends, unacknowledged_ends): (Vec<_>, Vec<_>) =
            self.ended.drain(..).partition(|row| row.number <= request.acknowledged);
        self.ended = unacknowledged_ends;
        let done = acknowledged_ends.iter().filter(|row| row.end == RunEnd::Done);
        self.acknowledged.extend(done.map(|row| AcknowledgedEnd {
            task: row.task,
            is_expired: row.number <= self.last_end_before_expiry,
        }));
        let running = self.runs.iter().map(|(task, run)| RunningRun {
            task: *task,
            run: run.number,
            checkpoint: None,
            percent: 50,
            load_metric: 0,
        });
        Ok(PollResponse {
            clock: self.clock(now),
            started_unix: Some(self.started_at),
            running: running.collect(),
            ended: self.ended.iter().take(self.ends_per_response).cloned().collect(),
            ended_listing: match self.ended.len() < self.ends_per_response {
                true => Listing::Whole,
                false => Listing::FirstPage,
            },
            ..PollResponse::default()
        })
    }

    /// Removes and returns the done tasks whose ends were acknowledged since the last call.
    pub fn take_acknowledged(&mut self) -> Vec<AcknowledgedEnd> {
        std::mem::take(&mut self.acknowledged)
    }

    fn extend_lease(&mut self, lease_until: Option<Duration>, now: Duration) {
        let Some(lease_until) = lease_until else { return };
        let latest_end = self.clock(now) + LEASE_MAX;
        self.lease_until = self.lease_until.max(lease_until.min(latest_end));
    }

    /// Handles a start command.
    pub fn start(
        &mut self,
        request: &StartRequest,
        now: Duration,
        jobs: &BTreeMap<JobId, JobRecord>,
    ) -> CommandOutcome {
        if !self.is_up {
            return CommandOutcome::NotSent;
        }
        if request.token < self.token {
            return CommandOutcome::Refused(Refusal::Fenced);
        }
        self.token = request.token;
        if request.lease_until <= self.clock(now) {
            return CommandOutcome::Refused(Refusal::TooLate);
        }
        self.extend_lease(Some(request.lease_until), now);
        let running = self.runs.get(&request.task).map(|run| run.number);
        if running == Some(request.run) {
            return CommandOutcome::Accepted;
        }
        let highest_run = self.highest_run.get(&request.task).copied().unwrap_or(0);
        if running.is_some() || request.run <= highest_run {
            return CommandOutcome::Refused(Refusal::Outdated);
        }
        let step = usize::from(request.task.step.step);
        let task_resources = jobs[&request.task.step.job].spec.steps[step].task_resources;
        let run = EmulatedRun { number: request.run, started_at: now, task_resources };
        self.runs.insert(request.task, run);
        CommandOutcome::Accepted
    }

    /// Whether a run was started at the current time.
    pub fn has_just_started(&self, task: TaskId, run: RunNumber, now: Duration) -> bool {
        self.runs.get(&task).is_some_and(|one| one.number == run && one.started_at == now)
    }

    /// Handles a stop command, which also bars later starts of the run.
    pub fn stop(
        &mut self,
        task: TaskId,
        run: RunNumber,
        token: u64,
        now: Duration,
    ) -> CommandOutcome {
        if !self.is_up {
            return CommandOutcome::NotSent;
        }
        if token < self.token {
            return CommandOutcome::Refused(Refusal::Fenced);
        }
        self.token = token;
        let highest_run = self.highest_run.entry(task).or_default();
        *highest_run = (*highest_run).max(run);
        if self.runs.get(&task).is_some_and(|one| one.number <= run) {
            self.end_run(task, RunEnd::Stopped, now);
        }
        CommandOutcome::Accepted
    }

    fn end_run(&mut self, task: TaskId, end: RunEnd, _now: Duration) {
        let Some(run) = self.runs.remove(&task) else { return };
        let highest_run = self.highest_run.entry(task).or_default();
        *highest_run = (*highest_run).max(run.number);
        let number = self.next_number;
        self.next_number += 1;
        self.ended.push(EndedRun { number, task, run: run.number, end, checkpoint: None });
    }

    /// Ends a run as completed or failed; false if it is not running.
    pub fn finish(
        &mut self,
        task: TaskId,
        run: RunNumber,
        is_failure: bool,
        now: Duration,
    ) -> bool {
        let is_running = self.runs.get(&task).is_some_and(|one| one.number == run);
        if is_running {
            let end = if is_failure { RunEnd::Failed } else { RunEnd::Done };
            self.end_run(task, end, now);
        }
        is_running
    }

    /// Ends a run because another member of its gang is missing.
    pub fn break_run(&mut self, task: TaskId, run: RunNumber, now: Duration) {
        if self.runs.get(&task).is_some_and(|one| one.number == run) {
            self.end_run(task, RunEnd::Broken, now);
        }
    }

    /// Ends all runs if the lease has expired.
    pub fn expire_lease(&mut self, now: Duration) {
        if !self.is_up || self.lease_until > self.clock(now) {
            return;
        }
        self.last_end_before_expiry = self.next_number - 1;
        let tasks: Vec<TaskId> = self.runs.keys().copied().collect();
        for task in tasks {
            self.end_run(task, RunEnd::Expired, now);
        }
    }

    /// Failed runs whose ends have not been acknowledged.
    pub fn listed_failures(&self) -> Vec<(TaskId, RunNumber)> {
        let failed = self.ended.iter().filter(|row| row.end == RunEnd::Failed);
        failed.map(|row| (row.task, row.run)).collect()
    }

    /// Whether the worker keeps ends of runs that are not acknowledged.
    pub fn has_ended_runs(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Whether a successful end of the task is not acknowledged yet.
    pub fn has_completed(&self, task: TaskId) -> bool {
        self.ended.iter().any(|row| row.task == task && row.end == RunEnd::Done)
    }
}
