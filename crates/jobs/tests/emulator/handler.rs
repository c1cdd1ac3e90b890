//! What each event does to the workers and to the owner.

use std::time::Duration;

use cassiafold_jobs::clients::{CommandOutcome, PollError, PollResponse, RunEnd, StartRequest};
use cassiafold_jobs::spec::{RunNumber, TaskId};
use rand::RngExt;

use super::event::{Event, Incarnation, SentPoll};
use super::worker::EmulatedWorker;
use super::{Emulator, ms};

/// Interval at which the scheduler receives the list of workers, so that it lags behind restarts.
const LIST_INTERVAL: Duration = Duration::from_millis(900);

impl Emulator {
    /// Carries out an event, or lets the current owner have it.
    pub(super) fn handle_event(&mut self, event: Event) {
        let owner = self.owner;
        let now = self.now;
        match event {
            Event::Tick => {
                self.expire_leases();
                if now >= self.last_listed_at + LIST_INTERVAL {
                    self.last_listed_at = now;
                    let entries = self.entries();
                    if let Some(scheduler) = &mut self.scheduler {
                        scheduler.set_workers(entries, now);
                    }
                    self.list_machines();
                }
                self.schedule(ms(20), Event::Tick);
            }
            Event::Poll(poll) => self.poll(poll),
            Event::PollDone { owner: sender, slot, is_out_of_band, sent, result }
                if sender == owner =>
            {
                let Some(scheduler) = &mut self.scheduler else { return };
                match result {
                    Ok(poll) => {
                        let failed = poll.ended.iter().filter(|row| row.end == RunEnd::Failed);
                        self.heard_failures.extend(failed.map(|row| (row.task, row.run)));
                        scheduler.handle_poll_response(slot, is_out_of_band, sent, now, poll)
                    }
                    Err(error) => scheduler.handle_poll_failure(slot, false, &error, now),
                }
            }
            Event::Start { owner, slot, target, request, responds } => {
                self.start(owner, slot, target, request, responds);
            }
            Event::StartDone { owner: sender, slot, task, run, outcome } if sender == owner => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.handle_start_outcome(slot, task, run, outcome, now);
                }
            }
            Event::Stop { owner, slot, target, task, run, responds } => {
                let outcome = match self.is_current(target) {
                    true => self.workers[target.worker].stop(task, run, owner, now),
                    false => CommandOutcome::NotSent,
                };
                if responds {
                    let latency = self.latency();
                    self.schedule(latency, Event::StopDone { owner, slot, task, run, outcome });
                }
            }
            Event::StopDone { owner: sender, slot, task, run, outcome } if sender == owner => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.handle_stop_outcome(slot, task, run, outcome, now);
                }
            }
            Event::WriteCommitted { owner: sender, batch } if sender == owner => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.handle_write_committed(&batch, now);
                }
            }
            Event::RunFinished { worker, task, run } => self.end_run(worker, task, run),
            Event::Crash { worker } => {
                self.count_crash(worker);
                self.forget_unheard_failures(worker);
                self.workers[worker].crash();
            }
            Event::Restart { worker } => self.restart(worker),
            Event::OwnerCrash => self.scheduler = None,
            Event::OwnerStart => {
                self.owner += 1;
                self.start_owner();
            }
            // Responses to a previous owner.
            Event::PollDone { .. }
            | Event::StartDone { .. }
            | Event::StopDone { .. }
            | Event::WriteCommitted { .. } => {}
        }
    }

    fn poll(&mut self, poll: SentPoll) {
        let SentPoll { owner, slot, is_out_of_band, worker, worker_id, request, sent } = poll;
        let (delay, responds) = self.faults.poll_delivery(&mut self.random);
        let now = self.now;
        let is_other = self.workers[worker].is_up && self.workers[worker].id != worker_id;
        let result = match responds {
            true if is_other => Err(PollError::OtherLife),
            true => self.workers[worker].poll(request, now),
            false => Err(PollError::NoAnswer("lost".into())),
        };
        if let Ok(poll) = &result {
            self.count_redundant(worker, poll);
            let done = poll.ended.iter().filter(|row| row.end == RunEnd::Done);
            self.reported_done.extend(done.map(|row| (owner, row.task)));
            for row in &poll.ended {
                if row.number <= request.acknowledged {
                    self.violations
                        .push(format!("{}: poll response lists an acknowledged run end", row.task));
                }
            }
        }
        for end in self.workers[worker].take_acknowledged() {
            self.check_acknowledged(end);
        }
        self.schedule(delay, Event::PollDone { owner, slot, is_out_of_band, sent, result });
    }

    fn count_redundant(&mut self, worker: usize, poll: &PollResponse) {
        let Some(last) = poll.ended.last().map(|row| row.number) else { return };
        let last_reported_ends =
            self.last_reported_ends.entry((worker, self.workers[worker].started_at)).or_default();
        self.redundant_polls += usize::from(last <= *last_reported_ends);
        *last_reported_ends = last.max(*last_reported_ends);
    }

    fn start(
        &mut self,
        owner: u64,
        slot: usize,
        target: Incarnation,
        request: StartRequest,
        responds: bool,
    ) {
        let (task, run, now) = (request.task, request.run, self.now);
        let worker = target.worker;
        let outcome = match self.is_current(target) {
            true => self.workers[worker].start(&request, now, &self.jobs),
            false => CommandOutcome::NotSent,
        };
        if outcome == CommandOutcome::Accepted
            && self.workers[worker].has_just_started(task, run, now)
        {
            self.start_count += 1;
            self.check_start(worker, task);
            self.crash_worker_of_deadly_task(worker, task);
            let spec = &self.jobs[&task.step.job].spec;
            let is_deadly = self.crashes.deadly.contains_key(&task);
            if !spec.steps[usize::from(task.step.step)].long_running && !is_deadly {
                let length = ms(self.random.random_range(200..1_500));
                self.schedule(length, Event::RunFinished { worker, task, run });
            }
        }
        if responds {
            let latency = self.latency();
            self.schedule(latency, Event::StartDone { owner, slot, task, run, outcome });
        }
    }

    fn end_run(&mut self, worker: usize, task: TaskId, run: RunNumber) {
        if !self.is_gang_complete(task, run) {
            self.workers[worker].break_run(task, run, self.now);
            return;
        }
        let is_failure = self.random.random_bool(self.faults.run_failed);
        if self.workers[worker].finish(task, run, is_failure, self.now) && is_failure {
            *self.failure_counts.entry(task).or_default() += 1;
        }
    }

    /// Forgets the failures that no owner has heard of and that are lost with their worker: they
    /// don't count as attempts.
    fn forget_unheard_failures(&mut self, worker: usize) {
        for failure in self.workers[worker].listed_failures() {
            if !self.heard_failures.contains(&failure) {
                *self.failure_counts.entry(failure.0).or_default() -= 1;
            }
        }
    }

    /// Whether a task is no member of a gang, or all members run under the same number or are done.
    fn is_gang_complete(&self, task: TaskId, run: RunNumber) -> bool {
        let spec = &self.jobs[&task.step.job].spec.steps[usize::from(task.step.step)];
        let mut members = (0..spec.tasks).map(|index| TaskId { index, ..task });
        !spec.gang
            || members.all(|member| {
                let is_present = |worker: &EmulatedWorker| {
                    worker.runs.get(&member).is_some_and(|one| one.number == run)
                        || worker.has_completed(member)
                };
                self.workers.iter().any(is_present)
            })
    }

    fn expire_leases(&mut self) {
        for worker in &mut self.workers {
            worker.expire_lease(self.now);
        }
    }
}
