//! Room for commands on the way: which tasks are placed now, and which wait.
//!
//! A task for whose start there is no room stays a waiting task. Only the members of a gang are
//! placed together even if there is not room for all of their starts at once.

use std::collections::HashMap;
use std::sync::Arc;

use cassiafold_config::TeamId;
use cassiafold_platform::Moment;

use super::{Command, Scheduler};
use crate::command_budget::{
    CommandBudget, CommandId, CommandKind, CommandReport, NewCommand, json_bytes,
};
use crate::job::{Job, WorkerSlot};
use crate::placement::{Candidate, TaskRequirements};
use crate::spec::{JobId, RunNumber, StepId, TaskId};
use crate::worker::RunPhase;

/// A placed run whose start command waits for room.
#[derive(Debug)]
pub(super) struct UnsentStart {
    worker: WorkerSlot,
    task: TaskId,
    run: RunNumber,
    ticket: Option<Arc<str>>,
    bytes: u64,
}

/// Where a task may start now.
pub(super) enum Choice {
    /// On this worker.
    Worker(WorkerSlot),
    /// On a worker that must first answer the commands on the way to it.
    Saturated,
    /// On no worker: there is no capacity.
    None,
}

impl Scheduler {
    /// Memory that a start command of a step takes beside its task's checkpoint, in bytes.
    pub(super) fn start_bytes(&self, step: StepId) -> u64 {
        let payload_bytes = self.jobs.get(&step.job).map_or(0, Job::payload_json_bytes);
        CommandBudget::command_bytes(payload_bytes)
    }

    /// Memory that the start command of a task takes, given that of its step.
    pub(super) fn start_bytes_of_task(&self, task: TaskId, step_bytes: u64) -> u64 {
        let job = self.jobs.get(&task.step.job);
        let checkpoint = job.and_then(|job| job.task(task)?.checkpoint.as_deref());
        let checkpoint_bytes = checkpoint.map_or(0, json_bytes);
        step_bytes + CommandBudget::command_bytes(checkpoint_bytes)
            - CommandBudget::command_bytes(0)
    }

    /// Returns what is on the way to workers, and the most that was since the last call.
    pub fn take_command_report(&mut self, now: Moment) -> CommandReport {
        self.command_budget.take_report(now)
    }

    pub(super) fn team_of(&self, job: JobId) -> Option<&TeamId> {
        self.jobs.get(&job)?.record.team.as_ref()
    }

    /// Returns whether the client account of a step may have another start command on the way. If
    /// not, the service is planned again soon.
    pub(super) fn may_send_starts(&mut self, step: StepId, bytes: u64) -> bool {
        let team = self.team_of(step.job);
        let may_send = self.command_budget.admits_team(CommandKind::Start, team, bytes);
        if !may_send {
            self.await_command_room(step);
        }
        may_send
    }

    /// Plans the service of a step again as soon as commands have had outcomes.
    fn await_command_room(&mut self, step: StepId) {
        if let Some(job) = self.jobs.get(&step.job) {
            self.awaiting_commands.insert(job.record.service.clone());
        }
    }

    /// Chooses the worker for a task among those to which its start command may be sent now.
    pub(super) fn choose_open_worker(
        &mut self,
        task: TaskId,
        requirements: &TaskRequirements,
        candidates: &[Candidate],
        tickets: Option<&HashMap<WorkerSlot, Arc<str>>>,
        bytes: u64,
        now: Moment,
    ) -> Choice {
        let team = self.team_of(task.step.job).cloned();
        loop {
            let saturated = self.saturated_workers.get(&team);
            let is_open =
                |one: &&Candidate| saturated.is_none_or(|slots| !slots.contains(&one.slot));
            let open = candidates.iter().filter(is_open);
            let Some(slot) = self.choose_worker_for(task, requirements, open, tickets) else {
                break;
            };
            if self.may_send(CommandKind::Start, slot, task, 0, bytes, now) {
                return Choice::Worker(slot);
            }
            self.saturated_workers.entry(team.clone()).or_default().insert(slot);
        }
        let is_saturated = self.saturated_workers.contains_key(&team)
            && self.choose_worker_for(task, requirements, candidates.iter(), tickets).is_some();
        if !is_saturated {
            return Choice::None;
        }
        self.await_command_room(task.step);
        Choice::Saturated
    }

    /// Returns whether a command may be sent to a worker now.
    pub(super) fn may_send(
        &self,
        kind: CommandKind,
        worker: WorkerSlot,
        task: TaskId,
        run: RunNumber,
        bytes: u64,
        now: Moment,
    ) -> bool {
        let id = CommandId { kind, worker, task, run };
        self.command_budget.admits(&self.new_command(id, bytes, now))
    }

    fn new_command(&self, id: CommandId, bytes: u64, now: Moment) -> NewCommand<'_> {
        NewCommand {
            id,
            team: self.team_of(id.task.step.job),
            bytes,
            is_worker_unanswered: self.is_unanswered(id.worker, now),
        }
    }

    /// Counts a command that is sent now.
    pub(super) fn count_sent(&mut self, id: CommandId, bytes: u64, now: Moment) {
        let team = self.team_of(id.task.step.job).cloned();
        let is_worker_unanswered = self.is_unanswered(id.worker, now);
        let command = NewCommand { id, team: team.as_ref(), bytes, is_worker_unanswered };
        self.command_budget.add(command, now);
    }

    /// Sends the start command of a placed run, or keeps it until there is room.
    pub(super) fn send_or_keep_start(
        &mut self,
        start: UnsentStart,
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        let UnsentStart { worker, task, run, bytes, .. } = start;
        if !self.may_send(CommandKind::Start, worker, task, run, bytes, now) {
            self.unsent_starts.push_back(start);
            return;
        }
        let known_run = self.workers[worker].runs.get_mut(&task);
        let Some(known_run) = known_run.filter(|known| known.number == run) else { return };
        known_run.phase = RunPhase::Starting;
        known_run.since = now;
        self.count_sent(CommandId { kind: CommandKind::Start, worker, task, run }, bytes, now);
        commands.push(Command::Start { worker, task, run, ticket: start.ticket });
    }

    /// Sends the start commands of placed runs for which there is room now.
    pub(super) fn send_unsent_starts(&mut self, now: Moment, commands: &mut Vec<Command>) {
        for start in std::mem::take(&mut self.unsent_starts) {
            let run = self.workers[start.worker].runs.get(&start.task);
            if run.is_some_and(|run| run.number == start.run && !run.is_sent()) {
                self.send_or_keep_start(start, now, commands);
            }
        }
    }

    /// Returns the start command of a run that has just been placed.
    pub(super) fn unsent_start(
        &self,
        worker: WorkerSlot,
        task: TaskId,
        run: RunNumber,
        ticket: Option<Arc<str>>,
    ) -> UnsentStart {
        let bytes = self.start_bytes_of_task(task, self.start_bytes(task.step));
        UnsentStart { worker, task, run, ticket, bytes }
    }
}
