//! Why tasks that could run do not, and for how long.

use std::fmt;
use std::time::Duration;

/// What tasks that are ready wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DelayCause {
    /// The store has not yet been told that the job begins.
    Store,
    /// It is not known what an earlier owner has started.
    PreviousOwner,
    /// Too little time has passed since a run failed or was refused.
    Retry,
    /// The team has as much running as it may.
    Limit,
    /// No worker has room, or none may run the task.
    Capacity,
}

/// Time for which a job had ready tasks that waited, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Delays {
    store: Duration,
    previous_owner: Duration,
    retry: Duration,
    limit: Duration,
    capacity: Duration,
}

impl Delays {
    /// Adds a time.
    pub fn add(&mut self, cause: DelayCause, time: Duration) {
        let sum = match cause {
            DelayCause::Store => &mut self.store,
            DelayCause::PreviousOwner => &mut self.previous_owner,
            DelayCause::Retry => &mut self.retry,
            DelayCause::Limit => &mut self.limit,
            DelayCause::Capacity => &mut self.capacity,
        };
        *sum += time;
    }
}

impl fmt::Display for Delays {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { store, previous_owner, retry, limit, capacity } = self;
        let ms = Duration::as_millis;
        write!(f, "store={} former_owner={} ", ms(store), ms(previous_owner))?;
        write!(f, "retry={} limit={} room={}", ms(retry), ms(limit), ms(capacity))
    }
}
