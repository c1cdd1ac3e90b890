//! The stored tasks, changed in batches by compare-and-swap.
//!
//! Tasks are distributed over shards by a hash of team and id. Transitions of one shard that arrive
//! within a batch window share one write, which limits the load on the key-value service.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cassiafold_platform::{Compare, Store, StoreError, Write, WriteOutcome};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::record::Task;
use crate::shard::{Shard, TaskKey, TransitionError};
use crate::transition::{Applied, Transition};
use crate::wire::{WireError, WireShard};

/// Number of shards.
pub const SHARD_COUNT: usize = 32;
/// Time for which a shard collects transitions before it writes them.
const BATCH_WINDOW: Duration = Duration::from_millis(100);
/// Maximum number of transitions queued for one shard.
const QUEUE_LENGTH_MAX: usize = 4_096;
/// Delay between two attempts of a write.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Size limit of a stored shard; the key-value service accepts values of up to 1 MB.
const SHARD_BYTES_MAX: usize = 1_000_000;

/// Source of the timestamps of transitions.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current wall-clock time.
    fn now(&self) -> SystemTime;
}

/// The wall clock of the system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Why a transition failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TaskStoreError {
    /// The store could not be reached and the transition had no effect.
    #[error("key-value store unavailable; nothing was changed")]
    Unavailable,
    /// The transition may have taken effect; it can safely be applied again.
    #[error("outcome of the write is unknown")]
    OutcomeUnknown,
    /// The state of the task does not allow the transition.
    #[error(transparent)]
    Refused(#[from] TransitionError),
    /// The shard has reached the size limit of a stored value.
    #[error("too many tasks are stored; nothing was changed")]
    Full,
    /// The stored shard cannot be decoded.
    #[error(transparent)]
    Malformed(#[from] WireError),
}

/// A queued transition whose result goes to `reply`.
struct PendingTransition {
    key: TaskKey,
    transition: Transition,
    reply: oneshot::Sender<Result<Applied, TaskStoreError>>,
}

/// Client of the stored tasks. Clones share the write queues of the shards.
#[derive(Clone)]
pub struct TaskStore<S> {
    store: S,
    shards: Arc<[mpsc::Sender<PendingTransition>]>,
}

impl<S: Store> TaskStore<S> {
    /// Spawns one writer for each shard. A transition fails if it is not written within `timeout`.
    pub fn start<C: Clock>(store: S, clock: C, timeout: Duration) -> Self {
        let start = |index| {
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH_MAX);
            let (store, clock) = (store.clone(), clock.clone());
            let writer = ShardWriter { store, clock, key: shard_key(index), timeout, cached: None };
            tokio::spawn(writer.run(receiver));
            sender
        };
        Self { shards: (0..SHARD_COUNT).map(start).collect(), store }
    }

    /// Stores a new task. Returns [`Applied::AlreadyExists`] if its id was accepted before.
    pub async fn submit(&self, task: Task) -> Result<Applied, TaskStoreError> {
        let key = (task.team.clone(), task.id.clone());
        self.apply(key, Transition::Submit(task)).await
    }

    /// Applies a transition and waits until it is stored.
    pub async fn apply(
        &self,
        key: TaskKey,
        transition: Transition,
    ) -> Result<Applied, TaskStoreError> {
        let (reply, receiver) = oneshot::channel();
        let shard = &self.shards[shard_index(&key)];
        let pending = PendingTransition { key, transition, reply };
        shard.try_send(pending).map_err(|_| TaskStoreError::Unavailable)?;
        receiver.await.unwrap_or(Err(TaskStoreError::OutcomeUnknown))
    }

    /// Reads every task of a shard.
    pub async fn list(&self, shard: usize) -> Result<Vec<Task>, TaskStoreError> {
        let (shard, _) = read(&self.store, &shard_key(shard)).await?;
        Ok(shard.tasks.into_values().collect())
    }

    /// Reads one task.
    pub async fn get(&self, key: &TaskKey) -> Result<Option<Task>, TaskStoreError> {
        let (shard, _) = read(&self.store, &shard_key(shard_index(key))).await?;
        Ok(shard.tasks.get(key).cloned())
    }
}

/// Writes the transitions of one shard in batches.
struct ShardWriter<S, C> {
    store: S,
    clock: C,
    key: Arc<str>,
    timeout: Duration,
    /// The shard as last read or written; cleared after a conflict with another writer.
    cached: Option<(Shard, Compare)>,
}

type ApplyResults = Vec<Result<Applied, TaskStoreError>>;

impl<S: Store, C: Clock> ShardWriter<S, C> {
    async fn run(mut self, mut receiver: mpsc::Receiver<PendingTransition>) {
        while let Some(first) = receiver.recv().await {
            tokio::time::sleep(BATCH_WINDOW).await;
            let mut batch = vec![first];
            while let Ok(next) = receiver.try_recv() {
                batch.push(next);
            }
            let results = self.write(&batch).await;
            for (pending, result) in batch.into_iter().zip(results) {
                let _ = pending.reply.send(result);
            }
        }
    }

    /// Writes a batch and returns one result for each transition.
    async fn write(&mut self, batch: &[PendingTransition]) -> ApplyResults {
        let deadline = Instant::now() + self.timeout;
        let mut failure = TaskStoreError::Unavailable;
        loop {
            match self.try_write(batch).await {
                Ok(Some(results)) => return results,
                Ok(None) => continue,
                Err(TaskStoreError::OutcomeUnknown) => failure = TaskStoreError::OutcomeUnknown,
                Err(TaskStoreError::Unavailable) => {}
                Err(error) => return vec![Err(error); batch.len()],
            }
            if Instant::now() + RETRY_INTERVAL >= deadline {
                return vec![Err(failure); batch.len()];
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Attempts one compare-and-swap. Returns `None` if another writer may have changed the shard.
    ///
    /// Results that need no write, and refusals, are returned only after a fresh read of the
    /// shard, because the cached copy may be out of date.
    async fn try_write(
        &mut self,
        batch: &[PendingTransition],
    ) -> Result<Option<ApplyResults>, TaskStoreError> {
        let from_cache = self.cached.is_some();
        let (mut shard, compare) = match self.cached.take() {
            Some(cached) => cached,
            None => read(&self.store, &self.key).await?,
        };
        let before = shard.clone();
        let now = self.clock.now();
        shard.remove_expired(now);
        let results = apply_all(&mut shard, batch, now);
        if shard == before || (from_cache && results.iter().any(Result::is_err)) {
            let confirmed = !from_cache;
            self.cached = confirmed.then_some((before, compare));
            return Ok(confirmed.then_some(results));
        }
        let value = serde_json::to_vec(&WireShard::from(&shard))
            .map_err(|error| WireError::Malformed(error.to_string()))?;
        if value.len() > SHARD_BYTES_MAX {
            return Err(TaskStoreError::Full);
        }
        match self.store.write(Write::put(self.key.clone(), compare, value)).await {
            Ok(WriteOutcome::Written(revision)) => {
                self.cached = Some((shard, Compare::Revision(revision)));
                Ok(Some(results))
            }
            Ok(WriteOutcome::Conflict) => Ok(None),
            Err(error) => Err(write_error(&error)),
        }
    }
}

fn apply_all(shard: &mut Shard, batch: &[PendingTransition], now: SystemTime) -> ApplyResults {
    let apply = |pending: &PendingTransition| {
        pending.transition.apply(shard, &pending.key, now).map_err(TaskStoreError::Refused)
    };
    batch.iter().map(apply).collect()
}

async fn read<S: Store>(store: &S, key: &str) -> Result<(Shard, Compare), TaskStoreError> {
    let record = store.get(key).await.map_err(|_| TaskStoreError::Unavailable)?;
    let Some(record) = record else { return Ok((Shard::default(), Compare::Absent)) };
    let shard = Shard::try_from(WireShard::parse(&record.value)?)?;
    Ok((shard, Compare::Revision(record.revision)))
}

fn write_error(error: &StoreError) -> TaskStoreError {
    match error {
        StoreError::Unavailable(_) => TaskStoreError::Unavailable,
        _ => TaskStoreError::OutcomeUnknown,
    }
}

/// Returns the index of the shard that stores a task.
pub fn shard_index(key: &TaskKey) -> usize {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.0.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.1.as_bytes());
    usize::from(hasher.finalize().as_bytes()[0]) % SHARD_COUNT
}

fn shard_key(index: usize) -> Arc<str> {
    format!("cassiafold/tasks/{index:02}").into()
}

#[cfg(test)]
mod tests;
