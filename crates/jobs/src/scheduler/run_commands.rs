//! Start commands to workers, and the changes that their outcomes cause.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::clients::{CommandOutcome, Refusal, StartRequest};
use crate::command_budget::{CommandId, CommandKind};
use crate::event::JobsEvent;
use crate::incarnation::IncarnationEnd;
use crate::job::WorkerSlot;
use crate::spec::{RunNumber, TaskId};
use crate::worker::RunPhase;

/// How long a worker that was full or unhealthy gets no new tasks.
const BLOCK_DURATION: Duration = Duration::from_millis(300);
/// Added to a run number that a worker refused as outdated.
const RUN_NUMBER_INCREMENT: RunNumber = 8;
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::orders";

impl Scheduler {
    /// Returns the request that starts a run; `None` if the run is no longer to be started.
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
        let known_run = self.workers[slot].runs.get(&task)?;
        if known_run.number != run || known_run.phase != RunPhase::Starting {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.spec(task.step.step)?;
        let saved_checkpoint = match spec.gang {
            true => job.task(TaskId { index: 0, ..task })?.checkpoint.clone(),
            false => job.task(task)?.checkpoint.clone(),
        };
        let payload = job.record.spec.payload.clone();
        let checkpoint = saved_checkpoint.filter(|_| spec.checkpoints);
        let lease_until = self.workers[slot].extend_lease(lease_max, now)?;
        Some(StartRequest { token, task, run, payload, checkpoint, lease_until, ticket })
    }

    /// Handles the outcome of a start command.
    pub fn handle_start_outcome(
        &mut self,
        slot: WorkerSlot,
        task: TaskId,
        run: RunNumber,
        outcome: CommandOutcome,
        now: Moment,
    ) {
        let id = CommandId { kind: CommandKind::Start, worker: slot, task, run };
        self.command_budget.remove(id);
        let worker = &mut self.workers[slot];
        let worker_id = worker.entry.id.clone();
        let known_run = worker.runs.get_mut(&task);
        let Some(known_run) = known_run.filter(|known_run| known_run.number == run) else { return };
        if outcome != CommandOutcome::Accepted {
            emit!(
                target: LOG_TARGET,
                JobsEvent::StartNotAccepted,
                task = task,
                run = run,
                worker = worker_id,
                outcome = format_args!("{outcome:?}")
            );
        }
        match outcome {
            CommandOutcome::Accepted => {
                if known_run.phase == RunPhase::Starting {
                    known_run.phase = RunPhase::Running;
                }
                known_run.confirmed = known_run.confirmed.or(Some(now));
                self.mark_job_started(slot, task, now);
            }
            CommandOutcome::Unknown => self.handle_unanswered_start(slot, task, now),
            CommandOutcome::NotSent => self.cancel_start(slot, task, now),
            CommandOutcome::Refused(refusal) => self.handle_refused_start(slot, task, refusal, now),
        }
    }

    /// Marks a job as started, so that it no longer counts as waiting.
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

    /// Handles a start command without a response. The run may be active if this process was late
    /// to read the response, so a poll decides whether it is stopped.
    fn handle_unanswered_start(&mut self, slot: WorkerSlot, task: TaskId, now: Moment) {
        self.record_unanswered(slot, now);
        let worker = &mut self.workers[slot];
        if let Some(run) = worker.runs.get_mut(&task).filter(|run| run.phase == RunPhase::Starting)
        {
            run.start_unanswered_at = Some(now);
            self.out_of_band_polls_due.insert(slot);
        }
    }

    fn handle_refused_start(
        &mut self,
        slot: WorkerSlot,
        task: TaskId,
        refusal: Refusal,
        now: Moment,
    ) {
        if refusal == Refusal::OtherLife {
            self.retire_worker(slot, IncarnationEnd::AddressReused, now);
            return;
        }
        if refusal == Refusal::NoTicket {
            // Nothing is wrong with the worker.
            self.discard_ticket(task.step, slot);
            self.withdraw_start(slot, task, now);
            return;
        }
        if refusal == Refusal::Outdated {
            let job = self.jobs.get_mut(&task.step.job);
            if let Some(entry) = job.and_then(|job| job.task_mut(task)) {
                entry.last_run = entry.last_run.saturating_add(RUN_NUMBER_INCREMENT);
            }
        }
        if matches!(refusal, Refusal::NoRoom | Refusal::Unhealthy | Refusal::Malformed) {
            self.workers[slot].blocked_until = now + BLOCK_DURATION;
        }
        self.cancel_start(slot, task, now);
    }

    /// Removes a run that was not started.
    fn withdraw_start(&mut self, slot: WorkerSlot, task: TaskId, now: Moment) {
        if let Some(run) = self.workers[slot].runs.get(&task).map(|run| run.number) {
            self.settle_run(task, run);
        }
        self.release_run(slot, task, now);
    }

    /// Removes a run that was not started, and starts nothing on its worker for a while.
    fn cancel_start(&mut self, slot: WorkerSlot, task: TaskId, now: Moment) {
        self.withdraw_start(slot, task, now);
        self.workers[slot].blocked_until =
            self.workers[slot].blocked_until.max(now + BLOCK_DURATION);
    }
}
