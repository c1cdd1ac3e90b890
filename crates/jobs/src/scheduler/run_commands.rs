//! Orders to workers and what their outcomes change.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::clients::{CommandOutcome, Refusal, StartRequest};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::spec::{RunNumber, TaskId};
use crate::worker::RunPhase;

/// How long a worker that had no room or was unwell gets no more work.
const BLOCKED: Duration = Duration::from_millis(300);
/// Time between two orders to stop the same run.
const STOP_RETRY: Duration = Duration::from_millis(120);
/// Added to a run number that a worker has called outdated.
const RUN_STEP: RunNumber = 8;
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::orders";

impl Scheduler {
    /// The order that starts a run; `None` when there is nothing to start any more.
    pub fn start_request(
        &mut self,
        slot: WorkerSlot,
        task: TaskId,
        run: RunNumber,
        ticket: Option<std::sync::Arc<str>>,
        now: Moment,
    ) -> Option<StartRequest> {
        let lease_max = self.settings.lease_max;
        let token = self.term.token;
        let ordered = self.workers[slot].runs.get(&task)?;
        if ordered.number != run || ordered.phase != RunPhase::Starting {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.spec(task.step.step)?;
        let saved = match spec.gang {
            true => job.task(TaskId { index: 0, ..task })?.checkpoint.clone(),
            false => job.task(task)?.checkpoint.clone(),
        };
        let payload = job.record.spec.payload.clone();
        let checkpoint = saved.filter(|_| spec.checkpoints);
        let lease_until = self.workers[slot].extend_lease(lease_max, now)?;
        Some(StartRequest { token, task, run, payload, checkpoint, lease_until, ticket })
    }

    /// Takes in the outcome of an order to start a run.
    pub fn handle_start_outcome(
        &mut self,
        slot: WorkerSlot,
        task: TaskId,
        run: RunNumber,
        outcome: CommandOutcome,
        now: Moment,
    ) {
        let worker = &mut self.workers[slot];
        let id = worker.entry.id.clone();
        let ordered = worker.runs.get_mut(&task);
        let Some(ordered) = ordered.filter(|ordered| ordered.number == run) else { return };
        if outcome != CommandOutcome::Accepted {
            emit!(
                target: LOG_TARGET,
                JobsEvent::StartNotAccepted,
                task = task,
                run = run,
                worker = id,
                outcome = format_args!("{outcome:?}")
            );
        }
        match outcome {
            CommandOutcome::Accepted => {
                if ordered.phase == RunPhase::Starting {
                    ordered.phase = RunPhase::Running;
                }
                ordered.confirmed = ordered.confirmed.or(Some(now));
                self.mark_job_started(slot, task, now);
            }
            CommandOutcome::Unknown => self.start_unanswered(slot, task, now),
            CommandOutcome::NotSent => self.start_failed(slot, task, now),
            CommandOutcome::Refused(refusal) => self.start_refused(slot, task, refusal, now),
        }
    }

    /// Notes that a task of a job has begun, which counts as waiting no more.
    pub(super) fn mark_job_started(&mut self, slot: WorkerSlot, task: TaskId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if std::mem::replace(&mut job.has_started, true) {
            return;
        }
        emit!(
            target: LOG_TARGET,
            JobsEvent::JobStarted,
            job = format_args!("{:016x}", job.id),
            waited_ms = now.saturating_sub(job.first_seen).as_millis(),
            worker = self.workers[slot].entry.id
        );
    }

    /// A run of which it is unknown whether it began. It may be at work already, where this process
    /// was late to read the answer; so a look decides whether it is stopped.
    fn start_unanswered(&mut self, slot: WorkerSlot, task: TaskId, now: Moment) {
        let worker = &mut self.workers[slot];
        if let Some(run) = worker.runs.get_mut(&task).filter(|run| run.phase == RunPhase::Starting)
        {
            run.start_unanswered_at = Some(now);
            self.out_of_band_polls_due.push(slot);
        }
    }

    fn start_refused(&mut self, slot: WorkerSlot, task: TaskId, refusal: Refusal, now: Moment) {
        if refusal == Refusal::OtherLife {
            self.retire_worker(slot, now);
            return;
        }
        if refusal == Refusal::NoTicket {
            self.discard_ticket(task.step, slot);
        }
        if refusal == Refusal::Outdated {
            let job = self.jobs.get_mut(&task.step.job);
            if let Some(entry) = job.and_then(|job| job.task_mut(task)) {
                entry.last_run += RUN_STEP;
            }
        }
        if matches!(refusal, Refusal::NoRoom | Refusal::Unhealthy | Refusal::Malformed) {
            self.workers[slot].blocked_until = now + BLOCKED;
        }
        self.start_failed(slot, task, now);
    }

    fn start_failed(&mut self, slot: WorkerSlot, task: TaskId, now: Moment) {
        self.release_run(slot, task, now);
        self.workers[slot].blocked_until = self.workers[slot].blocked_until.max(now + BLOCKED);
    }

    /// Takes in the outcome of an order to stop a run.
    pub fn handle_stop_outcome(
        &mut self,
        slot: WorkerSlot,
        task: TaskId,
        run: RunNumber,
        outcome: CommandOutcome,
        now: Moment,
    ) {
        if outcome == CommandOutcome::Refused(Refusal::OtherLife) {
            self.retire_worker(slot, now);
            return;
        }
        let ordered = self.workers[slot].runs.get_mut(&task);
        let Some(ordered) = ordered.filter(|ordered| ordered.number == run) else { return };
        let RunPhase::Stopping { confirmed, .. } = &mut ordered.phase else { return };
        if outcome == CommandOutcome::Accepted && confirmed.is_none() {
            *confirmed = Some(now);
            // A run that had never begun shows no end: the next look tells that it is not there.
            self.out_of_band_polls_due.push(slot);
        }
    }

    /// Orders to stop that are due.
    pub(super) fn due_stops(&mut self, now: Moment) -> Vec<super::Command> {
        let mut commands = Vec::new();
        let workers = &mut self.workers;
        self.stopping.retain(|(slot, task)| {
            let Some(run) = workers[*slot].runs.get_mut(task) else { return false };
            let RunPhase::Stopping { next_try, confirmed } = &mut run.phase else { return false };
            if *next_try > now {
                return true;
            }
            // A confirmed stop is repeated only if its run goes on past all bounds.
            *next_try = match confirmed {
                Some(_) => now + STOP_RETRY * 20,
                None => now + STOP_RETRY,
            };
            commands.push(super::Command::Stop { worker: *slot, task: *task, run: run.number });
            true
        });
        commands
    }
}
