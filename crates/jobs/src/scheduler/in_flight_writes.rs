//! Which writes are under way, and when another one begins beside them.

use std::collections::HashMap;

use crate::record::{ChainNumber, FIRST_WRITE_CHAIN, WRITE_CHAINS};
use crate::spec::JobId;

/// States and removals that wait for each write under way before another one begins: most writes
/// are full.
const WAITING_PER_WRITE: usize = 32;

/// Writes that have begun and are not known to have taken effect.
#[derive(Debug, Default)]
pub(super) struct InFlightWrites {
    busy: [bool; WRITE_CHAINS],
    /// Jobs whose states they hold, with the order of the first end that each state tells of.
    states: HashMap<JobId, u64>,
}

impl InFlightWrites {
    /// The chain on which a write may begin while so much waits for one.
    ///
    /// Answers the load pattern of a backlog beside a slow store or a busy owner: how many states
    /// are written in a second must not fall as each write takes longer.
    pub(super) fn next_write_chain(&self, waiting: impl FnOnce() -> usize) -> Option<ChainNumber> {
        let free = self.busy.iter().position(|busy| !busy)?;
        let writes = self.busy.iter().filter(|busy| **busy).count();
        (free == FIRST_WRITE_CHAIN || waiting() >= writes * WAITING_PER_WRITE).then_some(free)
    }

    /// Notes that a write has begun on a chain.
    pub(super) fn begin(&mut self, chain: ChainNumber) {
        self.busy[chain] = true;
    }

    /// Notes that the write of a chain is over.
    pub(super) fn end(&mut self, chain: ChainNumber) {
        self.busy[chain] = false;
    }

    /// Adds a state to a write that begins.
    pub(super) fn add(&mut self, job: JobId, first_end: u64) {
        self.states.insert(job, first_end);
    }

    /// Notes that a job's state is in the store.
    pub(super) fn remove(&mut self, job: JobId) {
        self.states.remove(&job);
    }

    /// Whether a state of the job is under way: no other one may overtake it.
    pub(super) fn contains(&self, job: JobId) -> bool {
        self.states.contains_key(&job)
    }

    /// The first end whose effect is under way.
    pub(super) fn first_end(&self) -> Option<u64> {
        self.states.values().min().copied()
    }
}
