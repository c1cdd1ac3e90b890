//! Durable tasks placed on workers.
//!
//! - [`record`]: a task and its states.
//! - [`shard`]: the transitions of a task, applied to one document of tasks.
//! - [`transition`]: the same transitions as messages that may be applied again.
//! - [`task_store`]: the stored tasks, changed in batches by compare-and-swap.
//! - [`worker`]: control of workers.
//! - [`scheduler`]: starts waiting tasks at workers and follows the running ones.
//! - [`wire`]: JSON form of a shard as stored.
//! - [`estimate`]: sizes and run times learned from reports.
//! - [`placement`]: choice of a worker for a task.
//! - [`preempt`]: choice of running tasks to checkpoint for urgent work.
//! - [`outlier`]: separation of bad tasks from bad workers.

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
