//! Writes that are in flight, and when another one may start in parallel.

use std::collections::HashMap;

use crate::record::{ChainNumber, FIRST_WRITE_CHAIN, WRITE_CHAINS};
use crate::spec::JobId;

/// Number of states and deletions that must wait per write in flight before another one starts, so
/// that most writes are full.
const WAITING_PER_WRITE: usize = 32;

/// Bytes of the states in flight from which on no further state is written.
const STATES_BYTES_MAX: usize = 512 << 10;

/// Writes that were started and are not known to be committed.
#[derive(Debug, Default)]
pub(super) struct InFlightWrites {
    busy: [bool; WRITE_CHAINS],
    /// Jobs whose states are in flight, with the sequence number of the first run end that each
    /// state contains.
    states: HashMap<JobId, u64>,
    /// Bytes of the states in each write.
    states_bytes: [usize; WRITE_CHAINS],
}

impl InFlightWrites {
    /// Returns the write chain on which a write may start, given the number of waiting entries.
    ///
    /// Parallel chains keep the number of states written per second steady when each write takes
    /// longer, as with a backlog and a slow store or a busy owner.
    pub(super) fn next_write_chain(&self, waiting: impl FnOnce() -> usize) -> Option<ChainNumber> {
        let idle = self.busy.iter().position(|busy| !busy)?;
        let busy_count = self.busy.iter().filter(|busy| **busy).count();
        (idle == FIRST_WRITE_CHAIN || waiting() >= busy_count * WAITING_PER_WRITE).then_some(idle)
    }

    /// Marks a chain as busy with a write.
    pub(super) fn start(&mut self, chain: ChainNumber) {
        self.busy[chain] = true;
    }

    /// Marks the write of a chain as completed.
    pub(super) fn finish(&mut self, chain: ChainNumber) {
        self.busy[chain] = false;
        self.states_bytes[chain] = 0;
    }

    /// Returns whether the states in flight take so much memory that no further one is written
    /// beside them: a write that waits for the store holds its states several times over.
    pub(super) fn are_states_full(&self) -> bool {
        self.states_bytes.iter().sum::<usize>() >= STATES_BYTES_MAX
    }

    /// Adds the state of a job, which takes this many bytes, to a write that starts.
    pub(super) fn add(&mut self, chain: ChainNumber, job: JobId, first_end: u64, bytes: usize) {
        self.states.insert(job, first_end);
        self.states_bytes[chain] += bytes;
    }

    /// Removes the state of a job that is stored.
    pub(super) fn remove(&mut self, job: JobId) {
        self.states.remove(&job);
    }

    /// Returns whether a state of the job is in flight; a later one must wait for it.
    pub(super) fn contains(&self, job: JobId) -> bool {
        self.states.contains_key(&job)
    }

    /// Returns the sequence number of the first run end whose effect is in flight.
    pub(super) fn first_end(&self) -> Option<u64> {
        self.states.values().min().copied()
    }
}
