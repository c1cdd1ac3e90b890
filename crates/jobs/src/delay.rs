//! Time for which ready tasks of a job wait, by cause.

use std::fmt;
use std::time::Duration;

/// What a ready task waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DelayCause {
    /// The store doesn't record yet that the job has started.
    Store,
    /// It is not known which runs a previous owner has started.
    PreviousOwner,
    /// The delay after a failed or refused run has not passed.
    Retry,
    /// The team has reached its quota.
    Limit,
    /// The placement policy has yet to allow a worker.
    Policy,
    /// No worker that may run the task has enough free capacity.
    Capacity,
}

/// Time for which a job had waiting ready tasks, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Delays {
    store: Duration,
    previous_owner: Duration,
    retry: Duration,
    limit: Duration,
    policy: Duration,
    capacity: Duration,
}

impl Delays {
    /// Adds to the time of a cause.
    pub fn add(&mut self, cause: DelayCause, time: Duration) {
        let sum = match cause {
            DelayCause::Store => &mut self.store,
            DelayCause::PreviousOwner => &mut self.previous_owner,
            DelayCause::Retry => &mut self.retry,
            DelayCause::Limit => &mut self.limit,
            DelayCause::Policy => &mut self.policy,
            DelayCause::Capacity => &mut self.capacity,
        };
        *sum += time;
    }
}

impl fmt::Display for Delays {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { store, previous_owner, retry, limit, policy, capacity } = self;
        let ms = Duration::as_millis;
        write!(f, "store={} former_owner={} ", ms(store), ms(previous_owner))?;
        write!(f, "retry={} limit={} ", ms(retry), ms(limit))?;
        write!(f, "policy={} room={}", ms(policy), ms(capacity))
    }
}
