//! State transitions of tasks within one shard.
//!
//! A shard is one document in the key-value service. Transitions are functions on it without side
//! effects; callers read the document, apply one or more transitions, and write it by
//! compare-and-swap.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use cassiafold_config::TeamId;

use crate::record::{Claim, ClaimId, Outcome, Task, TaskId, TaskState, WorkerId};

/// Delay before the first retry of an idempotent task; it doubles with each further worker on which
/// the task failed.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay between retries.
pub const RETRY_DELAY_MAX: Duration = Duration::from_secs(300);
/// Number of distinct workers on which a task fails before it ends as failed.
pub const FAILED_WORKERS_MAX: usize = 3;
/// Time for which finished tasks are kept.
pub const FINISHED_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Key of a task within its shard.
pub type TaskKey = (TeamId, TaskId);

/// A document of tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shard {
    /// Tasks by team and id.
    pub tasks: BTreeMap<TaskKey, Task>,
}

/// Result of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResponse {
    /// The task was added.
    Created,
    /// A task of the same team and id was accepted before.
    AlreadyExists,
}

/// Reason why a transition was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// The task does not exist.
    #[error("no such task")]
    TaskNotFound,
    /// The task is not waiting, or its retry delay has not passed yet.
    #[error("task cannot be claimed now")]
    NotClaimable,
    /// The task is not claimed under this claim.
    #[error("claim has been replaced or has ended")]
    StaleClaim,
}

/// Whether a lost claim may have started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The worker states that it never started the claim and can no longer start it.
    NeverStarted,
    /// The claim may have started.
    MayHaveRun,
}

impl Shard {
    /// Adds a task unless its team already has one with the same id.
    pub fn submit(&mut self, task: Task) -> SubmitResponse {
        let key = (task.team.clone(), task.id.clone());
        if self.tasks.contains_key(&key) {
            return SubmitResponse::AlreadyExists;
        }
        self.tasks.insert(key, task);
        SubmitResponse::Created
    }

    /// Claims a waiting task for a worker.
    pub fn claim(
        &mut self,
        key: &TaskKey,
        claim: Claim,
        now: SystemTime,
    ) -> Result<(), TransitionError> {
        let task = self.task_mut(key)?;
        let TaskState::Waiting { not_before } = task.state else {
            return Err(TransitionError::NotClaimable);
        };
        if not_before > now {
            return Err(TransitionError::NotClaimable);
        }
        task.state = TaskState::Claimed(claim);
        Ok(())
    }

    /// Records the end of a run.
    pub fn finish(
        &mut self,
        key: &TaskKey,
        claim: &ClaimId,
        outcome: Outcome,
        now: SystemTime,
    ) -> Result<(), TransitionError> {
        let task = self.claimed_mut(key, claim)?;
        task.last_ended_claim = Some(claim.clone());
        task.state = TaskState::Finished { outcome, at: now };
        Ok(())
    }

    /// Records that the worker of a claim was lost, or that the run of an idempotent task failed.
    ///
    /// A task that never started returns to the waiting state. An idempotent task is retried after
    /// an exponential delay, until it has failed on [`FAILED_WORKERS_MAX`] distinct workers. Any
    /// other task ends with an unknown outcome.
    pub fn mark_lost(
        &mut self,
        key: &TaskKey,
        claim: &ClaimId,
        loss: Loss,
        now: SystemTime,
    ) -> Result<(), TransitionError> {
        let task = self.claimed_mut(key, claim)?;
        task.last_ended_claim = Some(claim.clone());
        task.state = state_after_loss(task, loss, now);
        Ok(())
    }

    /// Cancels a waiting task, or requests the cancellation of a claimed one.
    pub fn cancel(&mut self, key: &TaskKey, now: SystemTime) -> Result<(), TransitionError> {
        let task = self.task_mut(key)?;
        match task.state {
            TaskState::Waiting { .. } => {
                task.state = TaskState::Finished { outcome: Outcome::Cancelled, at: now };
            }
            TaskState::Claimed(_) => task.cancel_requested = true,
            TaskState::Finished { .. } => {}
        }
        Ok(())
    }

    /// Ends a waiting task that is too large for every worker.
    pub fn end_unschedulable(
        &mut self,
        key: &TaskKey,
        now: SystemTime,
    ) -> Result<(), TransitionError> {
        let task = self.task_mut(key)?;
        if !matches!(task.state, TaskState::Waiting { .. }) {
            return Err(TransitionError::NotClaimable);
        }
        task.state = TaskState::Finished { outcome: Outcome::Unschedulable, at: now };
        Ok(())
    }

    /// Removes tasks that ended at least [`FINISHED_RETENTION`] ago.
    pub fn remove_expired(&mut self, now: SystemTime) {
        self.tasks.retain(|_, task| match &task.state {
            TaskState::Finished { at, .. } => *at + FINISHED_RETENTION > now,
            TaskState::Waiting { .. } | TaskState::Claimed(_) => true,
        });
    }

    /// Returns the number of claimed tasks of a team, which count towards its quota.
    pub fn running_count(&self, team: &TeamId) -> usize {
        let of_team = self.tasks.values().filter(|task| task.team == *team);
        of_team.filter(|task| matches!(task.state, TaskState::Claimed(_))).count()
    }

    fn task_mut(&mut self, key: &TaskKey) -> Result<&mut Task, TransitionError> {
        self.tasks.get_mut(key).ok_or(TransitionError::TaskNotFound)
    }

    fn claimed_mut(
        &mut self,
        key: &TaskKey,
        claim: &ClaimId,
    ) -> Result<&mut Task, TransitionError> {
        let task = self.task_mut(key)?;
        match &task.state {
            TaskState::Claimed(current) if current.id == *claim => Ok(task),
            _ => Err(TransitionError::StaleClaim),
        }
    }
}

fn state_after_loss(task: &mut Task, loss: Loss, now: SystemTime) -> TaskState {
    if loss == Loss::NeverStarted {
        return waiting_or_cancelled(task, now, now);
    }
    if !task.idempotent {
        return TaskState::Finished { outcome: Outcome::Unknown, at: now };
    }
    if let TaskState::Claimed(claim) = &task.state {
        add_failed_worker(&mut task.failed_on, claim.worker.clone());
    }
    if task.failed_on.len() >= FAILED_WORKERS_MAX {
        let reason = "failed on several distinct workers".into();
        return TaskState::Finished { outcome: Outcome::Failed { reason }, at: now };
    }
    waiting_or_cancelled(task, now + retry_delay(task.failed_on.len()), now)
}

fn add_failed_worker(failed_on: &mut Vec<WorkerId>, worker: WorkerId) {
    if !failed_on.contains(&worker) {
        failed_on.push(worker);
    }
}

fn retry_delay(failures: usize) -> Duration {
    let exponent = failures.saturating_sub(1).min(16) as u32;
    RETRY_DELAY.saturating_mul(1 << exponent).min(RETRY_DELAY_MAX)
}

fn waiting_or_cancelled(task: &Task, not_before: SystemTime, now: SystemTime) -> TaskState {
    if task.cancel_requested {
        return TaskState::Finished { outcome: Outcome::Cancelled, at: now };
    }
    TaskState::Waiting { not_before }
}

#[cfg(test)]
mod tests;
