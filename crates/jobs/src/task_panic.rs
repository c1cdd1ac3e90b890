//! Panics of tasks, which the runtime would keep to itself.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use futures_util::FutureExt;
use tokio::time::sleep;

use crate::event::JobsEvent;

/// Delay before a task that panicked starts again, so that one that panics each time takes little
/// processor time and writes few lines.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// A task that ended by a panic.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{task} panicked: {reason}")]
pub struct TaskPanicked {
    /// Name of the task.
    pub task: &'static str,
    /// Message of the panic.
    pub reason: Arc<str>,
}

/// Runs a task, and logs its panic if there is one.
///
/// What the task owned is dropped. What it shares with others must stay usable if a change of it is
/// left undone.
pub async fn catch_panic<T>(
    task: &'static str,
    work: impl Future<Output = T>,
) -> Result<T, TaskPanicked> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|payload| {
        let reason = panic_message(&*payload);
        emit!(JobsEvent::TaskPanicked, task = task, reason = reason);
        TaskPanicked { task, reason }
    })
}

/// Runs a task, and starts it again after each panic, until it returns.
pub async fn restart_on_panic<T, F: Future<Output = T>>(
    task: &'static str,
    mut start: impl FnMut() -> F,
) -> T {
    loop {
        match catch_panic(task, start()).await {
            Ok(output) => return output,
            Err(_) => sleep(RESTART_DELAY).await,
        }
    }
}

fn panic_message(payload: &(dyn Any + Send)) -> Arc<str> {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message").into()
}
