//! Preemption: choice of running tasks to checkpoint so that an urgent task can start.

use std::time::Duration;

use crate::placement::Worker;
use crate::record::{Resources, TaskId};

/// A running task that may be preempted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// Identifier of the task.
    pub task: TaskId,
    /// Index of its worker.
    pub worker: usize,
    /// Resources that its checkpoint releases.
    pub resources: Resources,
    /// Whether the worker can checkpoint the task, which preserves its progress.
    pub checkpointable: bool,
    /// Whether the task is itself urgent.
    pub urgent: bool,
    /// Duration of a checkpoint.
    pub checkpoint_time: Duration,
}

/// Tasks to checkpoint on one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreemptionPlan {
    /// Index of the worker.
    pub worker: usize,
    /// Indexes of the running tasks to checkpoint.
    pub checkpoints: Vec<usize>,
    /// Time until the resources are free; the checkpoints run in parallel.
    pub wait: Duration,
}

/// Chooses the worker and the set of checkpoints that release `needed` within `limit` at the lowest
/// cost.
///
/// The cost is the number of checkpoints, then the wait. Only tasks that are not urgent and can be
/// checkpointed are preempted. Returns `None` if no worker can release enough resources in time.
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

/// Returns how much of `missing` an amount covers, in parts per thousand of each resource, added
/// up.
fn coverage_per_mille(amount: &Resources, missing: &Resources) -> u64 {
    let per_mille = |amount: u64, missing: u64| {
        amount.min(missing).saturating_mul(1_000).checked_div(missing).unwrap_or(0)
    };
    per_mille(amount.processors_milli.into(), missing.processors_milli.into())
        + per_mille(amount.memory_bytes, missing.memory_bytes)
        + per_mille(amount.accelerators.into(), missing.accelerators.into())
}

#[cfg(test)]
mod tests;
