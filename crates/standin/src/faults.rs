//! Faults of the stand-in store, set on command.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{Record, Revision};

use crate::calls::CallCounts;
use crate::store::Shared;

/// Identifies a client of the stand-in store.
pub type ClientId = Arc<str>;

/// What goes wrong with one write. The caller is told that the outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFault {
    /// The write takes effect and its answer is lost.
    LostAnswer,
    /// The write is lost and has no effect.
    LostRequest,
    /// The answer is lost and the write takes effect after this time.
    Late(Duration),
}

/// Direction in which a partition drops messages of one client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Partition {
    /// Requests do not reach the store.
    Requests,
    /// Requests take effect and their answers are lost.
    Answers,
}

#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) outage: bool,
    pub(crate) delay: Duration,
    pub(crate) stale_revision: Option<Revision>,
    pub(crate) silent_watches: bool,
    partitions: BTreeMap<ClientId, Partition>,
    planned_faults: VecDeque<Option<WriteFault>>,
    periodic_fault: Option<(u64, WriteFault)>,
    writes: u64,
}

impl Faults {
    /// The fault of the next write.
    pub(crate) fn next_write(&mut self) -> Option<WriteFault> {
        self.writes += 1;
        if let Some(planned_faults) = self.planned_faults.pop_front() {
            return planned_faults;
        }
        let (interval, fault) = self.periodic_fault?;
        self.writes.is_multiple_of(interval).then_some(fault)
    }

    pub(crate) fn partition(&self, client: &str) -> Option<Partition> {
        self.partitions.get(client).copied()
    }
}

/// Handle that sets the faults of a [`MemoryStore`](crate::MemoryStore) and reads its counts.
///
/// Leases go on expiring during an outage.
#[derive(Debug, Clone)]
pub struct StoreFaults {
    shared: Arc<Shared>,
}

impl StoreFaults {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
        self.shared.notify_watches();
    }

    /// Starts or ends an outage: calls fail as unavailable and open watches end.
    pub fn set_outage(&self, outage: bool) {
        let mut state = self.shared.lock();
        state.faults.outage = outage;
        if outage {
            state.end_watches();
        }
        drop(state);
        self.shared.notify_watches();
    }

    /// Delays each call, half of it before and half of it after the effect.
    pub fn set_delay(&self, delay: Duration) {
        self.set(|faults| faults.delay = delay);
    }

    /// Lets the next `count` writes fail with `fault`.
    pub fn fail_writes(&self, count: usize, fault: WriteFault) {
        self.plan_writes(vec![Some(fault); count]);
    }

    /// Plans the faults of the next writes, one for each; `None` is a write without a fault.
    pub fn plan_writes(&self, plan: impl IntoIterator<Item = Option<WriteFault>>) {
        self.set(|faults| faults.planned_faults.extend(plan));
    }

    /// Lets each write whose number is a multiple of `interval` fail; 0 ends it.
    pub fn fail_every(&self, interval: u64, fault: WriteFault) {
        self.set(|faults| faults.periodic_fault = (interval > 0).then_some((interval, fault)));
    }

    /// Answers reads as of an older revision; `None` ends it.
    pub fn set_stale_reads(&self, revision: Option<Revision>) {
        self.set(|faults| faults.stale_revision = revision);
    }

    /// Keeps all watches, present and new, open without a delivery until it is ended.
    pub fn set_silent_watches(&self, silent: bool) {
        self.set(|faults| faults.silent_watches = silent);
    }

    /// Silences the watches that are open now for good; new watches work.
    pub fn silence_open_watches(&self) {
        self.shared.lock().silence_watches();
        self.shared.notify_watches();
    }

    /// Forgets the history of changes, so that older watch positions are compacted.
    pub fn compact(&self) {
        self.shared.lock().keys.compact();
        self.shared.notify_watches();
    }

    /// Sets how many changes the history keeps.
    pub fn limit_history(&self, changes: usize) {
        self.shared.lock().keys.limit_history(changes);
    }

    /// Restores the store from its snapshot of `revision` and ends open watches. Returns false,
    /// without effect, where the history does not reach back that far.
    pub fn roll_back(&self, revision: Revision) -> bool {
        let mut state = self.shared.lock();
        let restored = state.roll_back(revision);
        drop(state);
        self.shared.notify_watches();
        restored
    }

    /// Cuts one client off in a direction.
    pub fn cut_off(&self, client: impl Into<ClientId>, partition: Partition) {
        self.set(|faults| {
            faults.partitions.insert(client.into(), partition);
        });
    }

    /// Ends the partition of one client.
    pub fn reconnect(&self, client: &str) {
        self.set(|faults| {
            faults.partitions.remove(client);
        });
    }

    /// Ends all faults that last.
    pub fn clear(&self) {
        self.set(|faults| *faults = Faults { writes: faults.writes, ..Faults::default() });
    }

    /// Reads one key, whatever the faults, without a count.
    pub fn peek(&self, key: &str) -> Option<Record> {
        self.shared.lock().keys.get(key, None)
    }

    /// Revision of the store, whatever its faults.
    pub fn revision(&self) -> Revision {
        self.shared.lock().keys.revision()
    }

    /// Calls made by one client.
    pub fn counts(&self, client: &str) -> CallCounts {
        self.shared.lock().counts.get(client).copied().unwrap_or_default()
    }

    /// Calls made by each client.
    pub fn all_counts(&self) -> BTreeMap<ClientId, CallCounts> {
        self.shared.lock().counts.clone()
    }

    /// Calls made by all clients.
    pub fn total_counts(&self) -> CallCounts {
        self.shared.lock().counts.values().copied().sum()
    }
}

#[cfg(test)]
mod tests;
