//! Stop commands: which runs are to be stopped, and when each is sent its next one.
//!
//! Load that it answers: callers cancel jobs with tens of thousands of runs, on workers that may be
//! slow. Of each run one stop is on the way at a time; the others wait here.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_platform::Moment;

use super::{Command, Scheduler};
use crate::clients::{CommandOutcome, Refusal};
use crate::command_budget::{CommandBudget, CommandId, CommandKind};
use crate::incarnation::IncarnationEnd;
use crate::job::WorkerSlot;
use crate::spec::{JobId, RunNumber, TaskId};
use crate::worker::RunPhase;

/// Pause after a stop command that got no response.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(30);
/// Pause after a stop command that was refused or not sent.
const REFUSED_PAUSE: Duration = Duration::from_millis(120);
/// Pause after a confirmed stop command, within which the run should end.
const CONFIRMED_PAUSE: Duration = Duration::from_millis(2_400);

/// The client account for which runs are stopped, and their worker.
type Group = (Option<TeamId>, WorkerSlot);

/// Runs that are being stopped.
#[derive(Debug, Default)]
pub(super) struct Stops {
    /// Runs whose next stop command is not sent yet, by the time at which it is due.
    waiting: BTreeMap<Group, BTreeSet<(Moment, TaskId)>>,
    /// Number of runs of each job that are being stopped.
    runs_by_job: HashMap<JobId, usize>,
}

impl Stops {
    /// Whether a run of a job is being stopped.
    pub(super) fn contains_job(&self, job: JobId) -> bool {
        self.runs_by_job.contains_key(&job)
    }

    fn schedule(&mut self, team: Option<TeamId>, worker: WorkerSlot, due: Moment, task: TaskId) {
        self.waiting.entry((team, worker)).or_default().insert((due, task));
    }

    fn next_due(&self, group: &Group, now: Moment) -> Option<TaskId> {
        let (due, task) = self.waiting.get(group)?.first()?;
        (*due <= now).then_some(*task)
    }

    fn remove_first(&mut self, group: &Group) {
        let Some(runs) = self.waiting.get_mut(group) else { return };
        runs.pop_first();
        if runs.is_empty() {
            self.waiting.remove(group);
        }
    }

    /// Notes that a run that was being stopped is gone.
    pub(super) fn forget_run(&mut self, job: JobId) {
        let Some(runs) = self.runs_by_job.get_mut(&job) else { return };
        *runs -= 1;
        if *runs == 0 {
            self.runs_by_job.remove(&job);
        }
    }
}

impl Scheduler {
    /// Marks a run to be stopped.
    pub(super) fn stop_run(&mut self, slot: WorkerSlot, task: TaskId, now: Moment) {
        let Some(run) = self.workers[slot].runs.get_mut(&task) else { return };
        if run.is_stopping() {
            return;
        }
        run.phase = RunPhase::Stopping { confirmed: None };
        *self.stops.runs_by_job.entry(task.step.job).or_default() += 1;
        let team = self.team_of(task.step.job).cloned();
        self.stops.schedule(team, slot, now, task);
    }

    /// Sends the stop commands that are due and for which there is room.
    pub(super) fn send_due_stops(&mut self, now: Moment, commands: &mut Vec<Command>) {
        let groups: Vec<Group> = self.stops.waiting.keys().cloned().collect();
        for group in groups {
            if !self.workers[group.1].has_refused_token {
                self.send_due_stops_of(&group, now, commands);
            }
        }
    }

    fn send_due_stops_of(&mut self, group: &Group, now: Moment, commands: &mut Vec<Command>) {
        let worker = group.1;
        let bytes = CommandBudget::command_bytes(0);
        while let Some(task) = self.stops.next_due(group, now) {
            let run = self.workers[worker].runs.get(&task).filter(|run| run.is_stopping());
            let Some(run) = run.map(|run| run.number) else {
                self.stops.remove_first(group);
                continue;
            };
            if !self.may_send(CommandKind::Stop, worker, task, run, bytes, now) {
                return;
            }
            self.stops.remove_first(group);
            self.count_sent(CommandId { kind: CommandKind::Stop, worker, task, run }, bytes, now);
            commands.push(Command::Stop { worker, task, run });
        }
    }

    /// Handles the outcome of a stop command.
    pub fn handle_stop_outcome(
        &mut self,
        slot: WorkerSlot,
        task: TaskId,
        run: RunNumber,
        outcome: CommandOutcome,
        now: Moment,
    ) {
        self.command_budget.remove(CommandId { kind: CommandKind::Stop, worker: slot, task, run });
        if outcome == CommandOutcome::Refused(Refusal::OtherLife) {
            self.retire_worker(slot, IncarnationEnd::AddressReused, now);
            return;
        }
        if outcome == CommandOutcome::Unknown {
            self.record_unanswered(slot, now);
        }
        let known_run = self.workers[slot].runs.get_mut(&task);
        let Some(known_run) = known_run.filter(|known_run| known_run.number == run) else { return };
        let RunPhase::Stopping { confirmed } = &mut known_run.phase else { return };
        if outcome == CommandOutcome::Accepted && confirmed.is_none() {
            *confirmed = Some(now);
            // A run that never started reports no end: the next poll shows that it is absent.
            self.out_of_band_polls_due.insert(slot);
        }
        let team = self.team_of(task.step.job).cloned();
        self.stops.schedule(team, slot, now + pause_after(outcome), task);
    }
}

/// Time between the outcome of a stop command and the next one to the same run.
fn pause_after(outcome: CommandOutcome) -> Duration {
    match outcome {
        CommandOutcome::Accepted => CONFIRMED_PAUSE,
        CommandOutcome::Unknown => UNANSWERED_PAUSE,
        CommandOutcome::Refused(_) | CommandOutcome::NotSent => REFUSED_PAUSE,
    }
}
