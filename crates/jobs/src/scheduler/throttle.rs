//! Throttles opportunistic tasks that slow down tasks that serve users.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::{Command, Scheduler};
use crate::clients::CommandOutcome;
use crate::command_budget::{CommandBudget, CommandId, CommandKind};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::spec::{RunNumber, TaskId};
use crate::worker::RunPhase;

/// Time between two changes on one worker: a load metric covers the preceding half second.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(600);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::pace";

impl Scheduler {
    /// Issues the throttle commands that are due.
    pub(super) fn plan_throttling(&mut self, now: Moment, commands: &mut Vec<Command>) {
        for slot in 0..self.workers.len() {
            let worker = &self.workers[slot];
            let is_due =
                worker.is_confirmed && now >= worker.throttle_due && !worker.runs.is_empty();
            if !is_due {
                continue;
            }
            self.workers[slot].throttle_due = now + THROTTLE_INTERVAL;
            self.throttle_worker(slot, now, commands);
        }
    }

    /// Handles the outcome of a throttle command.
    pub fn handle_throttle_outcome(
        &mut self,
        slot: WorkerSlot,
        task: TaskId,
        number: RunNumber,
        percent: u8,
        outcome: CommandOutcome,
        now: Moment,
    ) {
        let id = CommandId { kind: CommandKind::Throttle, worker: slot, task, run: number };
        self.command_budget.remove(id);
        let run = self.workers[slot].runs.get_mut(&task).filter(|run| run.number == number);
        if let Some(run) = run {
            run.speed.handle_outcome(percent, outcome, now);
        }
    }

    fn throttle_worker(&mut self, slot: WorkerSlot, now: Moment, commands: &mut Vec<Command>) {
        let mut load: Option<f64> = None;
        let mut opportunistic_tasks: Vec<TaskId> = Vec::new();
        for (task, run) in &self.workers[slot].runs {
            let Some(spec) = self.spec(task.step) else { continue };
            if run.phase != RunPhase::Running {
                continue;
            }
            if let Some(target) = spec.tail_target {
                let target_ms = target.as_secs_f64() * 1_000.0;
                let ratio = f64::from(run.load_metric) / target_ms.max(1.0);
                load = Some(load.unwrap_or(0.0).max(ratio));
            }
            if spec.opportunistic {
                opportunistic_tasks.push(*task);
            }
        }
        let bytes = CommandBudget::command_bytes(0);
        for task in opportunistic_tasks {
            let Some(number) = self.workers[slot].runs.get(&task).map(|run| run.number) else {
                continue;
            };
            if !self.may_send(CommandKind::Throttle, slot, task, number, bytes, now) {
                // The speeds that wait are decided anew in the next pass.
                self.workers[slot].throttle_due = now;
                return;
            }
            let worker = &mut self.workers[slot];
            let Some(run) = worker.runs.get_mut(&task) else { continue };
            let Some(percent) = run.speed.next_command(load, now) else { continue };
            emit!(
                target: LOG_TARGET,
                JobsEvent::PaceChanged,
                task = task,
                worker = worker.entry.id,
                load = format_args!("{:.2}", load.unwrap_or(0.0)),
                percent = percent
            );
            let id = CommandId { kind: CommandKind::Throttle, worker: slot, task, run: number };
            self.count_sent(id, bytes, now);
            commands.push(Command::Throttle { worker: slot, task, run: number, percent });
        }
    }
}
