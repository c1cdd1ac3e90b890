//! Choice of running tasks to checkpoint, so that an urgent task can start.

use std::time::Duration;

use crate::placement::Worker;
use crate::record::{Resources, TaskId};

/// A running task that could make room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// Identifier of the task.
    pub task: TaskId,
    /// Index of its worker.
    pub worker: usize,
    /// Resources that it would free.
    pub resources: Resources,
    /// Whether the worker can checkpoint the task, so that no work is lost.
    pub checkpointable: bool,
    /// Whether the task is itself urgent.
    pub urgent: bool,
    /// Time that a checkpoint takes.
    pub checkpoint_time: Duration,
}

/// Tasks to checkpoint on one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreemptionPlan {
    /// Index of the worker.
    pub worker: usize,
    /// Indexes of the running tasks to checkpoint.
    pub checkpoints: Vec<usize>,
    /// Time until the room is free, as the checkpoints run side by side.
    pub wait: Duration,
}

/// Chooses the worker with the cheapest set of checkpoints that makes room within `limit`.
///
/// Cost is the number of checkpoints, then the wait. Only tasks that are not urgent and can be
/// checkpointed are taken. Returns `None` when no worker can make room in time.
pub fn plan_preemption(
    needed: &Resources,
    workers: &[Worker],
    running: &[RunningTask],
    limit: Duration,
) -> Option<PreemptionPlan> {
    let mut by_worker = vec![Vec::new(); workers.len()];
    for (index, task) in running.iter().enumerate() {
        let usable = task.checkpointable && !task.urgent && task.checkpoint_time <= limit;
        if usable && let Some(list) = by_worker.get_mut(task.worker) {
            list.push(index);
        }
    }
    let plans = workers.iter().enumerate().filter(|(_, worker)| worker.accepts).filter_map(
        |(worker, state)| plan_worker(needed, worker, state, &by_worker[worker], running),
    );
    plans.min_by_key(|plan| (plan.checkpoints.len(), plan.wait, plan.worker))
}

fn plan_worker(
    needed: &Resources,
    worker: usize,
    state: &Worker,
    candidates: &[usize],
    running: &[RunningTask],
) -> Option<PreemptionPlan> {
    if !needed.fits(&state.capacity) {
        return None;
    }
    let mut free = state.free();
    let mut checkpoints = Vec::new();
    let mut wait = Duration::ZERO;
    let mut remaining = candidates.to_vec();
    while !needed.fits(&free) {
        let missing = needed.minus(&free);
        let best = remaining.iter().enumerate().max_by_key(|(_, index)| {
            let task = &running[**index];
            (coverage_per_mille(&task.resources, &missing), std::cmp::Reverse(task.checkpoint_time))
        });
        let (position, index) = best.map(|(position, index)| (position, *index))?;
        let task = &running[index];
        if coverage_per_mille(&task.resources, &missing) == 0 {
            return None;
        }
        free = free.plus(&task.resources);
        wait = wait.max(task.checkpoint_time);
        checkpoints.push(index);
        remaining.swap_remove(position);
    }
    Some(PreemptionPlan { worker, checkpoints, wait })
}

/// How much of `missing` an amount covers, in parts per thousand of each kind, added.
fn coverage_per_mille(amount: &Resources, missing: &Resources) -> u64 {
    let part = |amount: u64, missing: u64| {
        amount.min(missing).saturating_mul(1_000).checked_div(missing).unwrap_or(0)
    };
    part(amount.processors_milli.into(), missing.processors_milli.into())
        + part(amount.memory_bytes, missing.memory_bytes)
        + part(amount.accelerators.into(), missing.accelerators.into())
}

#[cfg(test)]
mod tests;
