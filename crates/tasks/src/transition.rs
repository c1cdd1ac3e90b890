//! Transitions of tasks as messages.
//!
//! Transitions are idempotent: a transition whose write has an unknown outcome can be applied again
//! to the current document.

use std::time::SystemTime;

use crate::record::{Claim, ClaimId, Outcome, Task, TaskState};
use crate::shard::{Loss, Shard, SubmitResponse, TaskKey, TransitionError};

/// A state change of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// Adds a new task.
    Submit(Task),
    /// Claims a waiting task for a worker.
    Claim(Claim),
    /// Records the end of a run.
    Finish {
        /// Claim under which the task ran.
        claim: ClaimId,
        /// How the task ended.
        outcome: Outcome,
    },
    /// Records that the worker of a claim was lost.
    MarkLost {
        /// Claim of the lost worker.
        claim: ClaimId,
        /// Whether the claim may have started.
        loss: Loss,
    },
    /// Cancels the task.
    Cancel,
    /// Ends a task that is too large for every worker.
    EndUnschedulable,
}

/// Effect of a transition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The transition has taken effect, with this call or an earlier one.
    Done,
    /// A task of the same team and id was accepted before.
    AlreadyExists,
}

impl Transition {
    /// Applies the transition to the task `key` at the time `now`.
    pub fn apply(
        &self,
        shard: &mut Shard,
        key: &TaskKey,
        now: SystemTime,
    ) -> Result<Applied, TransitionError> {
        if self.has_taken_effect(shard, key) {
            return Ok(Applied::Done);
        }
        match self {
            Self::Submit(task) => match shard.submit(task.clone()) {
                SubmitResponse::Created => return Ok(Applied::Done),
                SubmitResponse::AlreadyExists => return Ok(Applied::AlreadyExists),
            },
            Self::Claim(claim) => shard.claim(key, claim.clone(), now),
            Self::Finish { claim, outcome } => shard.finish(key, claim, outcome.clone(), now),
            Self::MarkLost { claim, loss } => shard.mark_lost(key, claim, *loss, now),
            Self::Cancel => shard.cancel(key, now),
            Self::EndUnschedulable => shard.end_unschedulable(key, now),
        }?;
        Ok(Applied::Done)
    }

    fn has_taken_effect(&self, shard: &Shard, key: &TaskKey) -> bool {
        let Some(task) = shard.tasks.get(key) else { return false };
        match self {
            Self::Submit(submitted) => task.submission == submitted.submission,
            Self::Claim(claim) => {
                matches!(&task.state, TaskState::Claimed(current) if current.id == claim.id)
            }
            Self::Finish { claim, .. } | Self::MarkLost { claim, .. } => {
                task.last_ended_claim.as_ref() == Some(claim)
            }
            Self::Cancel => false,
            Self::EndUnschedulable => {
                matches!(&task.state, TaskState::Finished { outcome: Outcome::Unschedulable, .. })
            }
        }
    }
}
