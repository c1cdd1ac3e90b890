//! Durable tasks placed on workers.
//!
//! - [`record`]: a task and its states.
//! - [`shard`]: state transitions of tasks within one stored document.
//! - [`transition`]: the same transitions as idempotent messages.
//! - [`task_store`]: the stored tasks, changed in batches by compare-and-swap.
//! - [`worker`]: client interface of the workers.
//! - [`scheduler`]: starts waiting tasks on workers and tracks the running ones.
//! - [`wire`]: JSON form of a shard as stored.
//! - [`estimate`]: resource and run time estimates from usage reports.
//! - [`placement`]: choice of a worker for a task.
//! - [`preempt`]: choice of running tasks to checkpoint for an urgent task.
//! - [`outlier`]: detection of workers that fail more runs than their peers.

pub mod estimate;
pub mod outlier;
pub mod placement;
pub mod preempt;
pub mod record;
pub mod scheduler;
pub mod shard;
pub mod task_store;
pub mod transition;
pub mod wire;
pub mod worker;

pub use record::{
    Claim, ClaimId, KindId, Outcome, Resources, SubmissionId, Task, TaskId, TaskState, WorkerId,
};
pub use shard::{Loss, Shard, SubmitResponse, TaskKey, TransitionError};
pub use task_store::{TaskStore, TaskStoreError};
pub use transition::{Applied, Transition};
