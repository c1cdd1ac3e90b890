//! Slows opportunistic tasks down where they disturb tasks that serve users.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::{Command, Scheduler};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::spec::TaskId;
use crate::throttle::next_speed_percent;
use crate::worker::RunPhase;

/// Time between two changes on one worker: a reading covers the half second before it.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(600);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::pace";

impl Scheduler {
    /// Orders the changes of pace that are due.
    pub(super) fn plan_throttling(&mut self, now: Moment, commands: &mut Vec<Command>) {
        for slot in 0..self.workers.len() {
            let worker = &self.workers[slot];
            let is_due =
                worker.is_confirmed && now >= worker.throttle_due && !worker.runs.is_empty();
            if !is_due {
                continue;
            }
            self.workers[slot].throttle_due = now + THROTTLE_INTERVAL;
            self.throttle_worker(slot, commands);
        }
    }

    fn throttle_worker(&mut self, slot: WorkerSlot, commands: &mut Vec<Command>) {
        let mut load = 0.0_f64;
        let mut fillers: Vec<TaskId> = Vec::new();
        for (task, run) in &self.workers[slot].runs {
            let Some(spec) = self.spec(task.step) else { continue };
            if run.phase != RunPhase::Running {
                continue;
            }
            if let Some(target) = spec.tail_target {
                let target_ms = target.as_secs_f64() * 1_000.0;
                load = load.max(f64::from(run.load_metric) / target_ms.max(1.0));
            }
            if spec.opportunistic {
                fillers.push(*task);
            }
        }
        for task in fillers {
            let worker = &mut self.workers[slot];
            let Some(run) = worker.runs.get_mut(&task) else { continue };
            let percent = next_speed_percent(run.speed_percent, load);
            if percent == run.speed_percent {
                continue;
            }
            run.speed_percent = percent;
            let number = run.number;
            emit!(
                target: LOG_TARGET,
                JobsEvent::PaceChanged,
                task = task,
                worker = worker.entry.id,
                load = format_args!("{load:.2}"),
                percent = percent
            );
            commands.push(Command::Throttle { worker: slot, task, run: number, percent });
        }
    }
}
