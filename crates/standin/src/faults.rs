//! Fault injection for the stand-in store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{Record, Revision};

use crate::calls::CallCounts;
use crate::store::Shared;

/// Identifies a client of the stand-in store.
pub type ClientId = Arc<str>;

/// Fault of one write, whose outcome is reported to the client as unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFault {
    /// The write takes effect and its response is lost.
    LostAnswer,
    /// The request is lost and the write has no effect.
    LostRequest,
    /// The response is lost and the write takes effect after this time.
    Late(Duration),
}

/// How a partition keeps one client from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Partition {
    /// Requests do not reach the store.
    Requests,
    /// Requests take effect and their responses are lost.
    Answers,
    /// Requests are refused at once, while other clients are served.
    Refused,
}

/// Fault of the lists of one prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListFault {
    /// The response is lost.
    NoResponse,
    /// The response takes this time to arrive.
    Slow(Duration),
}

#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) outage: bool,
    pub(crate) delay: Duration,
    pub(crate) stale_revision: Option<Revision>,
    pub(crate) silent_watches: bool,
    partitions: BTreeMap<ClientId, Partition>,
    /// Clients whose revocations of leases are lost.
    lost_revocations: BTreeSet<ClientId>,
    /// Faults of lists, by client and prefix.
    list_faults: BTreeMap<(ClientId, Arc<str>), ListFault>,
    planned_faults: VecDeque<Option<WriteFault>>,
    periodic_fault: Option<(u64, WriteFault)>,
    writes: u64,
}

impl Faults {
    /// Counts a write and returns its fault, if any.
    pub(crate) fn next_write(&mut self) -> Option<WriteFault> {
        self.writes += 1;
        if let Some(planned_faults) = self.planned_faults.pop_front() {
            return planned_faults;
        }
        let (interval, fault) = self.periodic_fault?;
        self.writes.is_multiple_of(interval).then_some(fault)
    }

    pub(crate) fn loses_revocations(&self, client: &str) -> bool {
        self.lost_revocations.contains(client)
    }

    pub(crate) fn list_fault(&self, client: &ClientId, prefix: &str) -> Option<ListFault> {
        self.list_faults.get(&(client.clone(), prefix.into())).copied()
    }

    pub(crate) fn partition(&self, client: &str) -> Option<Partition> {
        self.partitions.get(client).copied()
    }
}

/// Handle that injects faults into a [`MemoryStore`](crate::MemoryStore) and reads its call counts.
///
/// Leases continue to expire during an outage.
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

    /// Makes the next `count` writes fail with `fault`.
    pub fn fail_writes(&self, count: usize, fault: WriteFault) {
        self.plan_writes(vec![Some(fault); count]);
    }

    /// Queues the faults of the next writes, one per write; `None` is a write without a fault.
    pub fn plan_writes(&self, plan: impl IntoIterator<Item = Option<WriteFault>>) {
        self.set(|faults| faults.planned_faults.extend(plan));
    }

    /// Makes each write fail whose number is a multiple of `interval`; 0 ends the fault.
    pub fn fail_every(&self, interval: u64, fault: WriteFault) {
        self.set(|faults| faults.periodic_fault = (interval > 0).then_some((interval, fault)));
    }

    /// Serves reads from an older revision; `None` ends the fault.
    pub fn set_stale_reads(&self, revision: Option<Revision>) {
        self.set(|faults| faults.stale_revision = revision);
    }

    /// Starts or ends a fault under which watches, open and new, stay open without deliveries.
    pub fn set_silent_watches(&self, silent: bool) {
        self.set(|faults| faults.silent_watches = silent);
    }

    /// Permanently stops deliveries of the watches that are open now; new watches work.
    pub fn silence_open_watches(&self) {
        self.shared.lock().silence_watches();
        self.shared.notify_watches();
    }

    /// Compacts the history, so that a watch from an older revision fails as compacted.
    pub fn compact(&self) {
        self.shared.lock().keys.compact();
        self.shared.notify_watches();
    }

    /// Sets the maximum number of changes in the history.
    pub fn limit_history(&self, changes: usize) {
        self.shared.lock().keys.limit_history(changes);
    }

    /// Rolls the store back to `revision` and ends open watches. Returns false, without effect, if
    /// the history does not contain `revision`.
    pub fn roll_back(&self, revision: Revision) -> bool {
        let mut state = self.shared.lock();
        let restored = state.roll_back(revision);
        drop(state);
        self.shared.notify_watches();
        restored
    }

    /// Partitions one client from the store in one direction.
    pub fn cut_off(&self, client: impl Into<ClientId>, partition: Partition) {
        self.set(|faults| {
            faults.partitions.insert(client.into(), partition);
        });
    }

    /// Loses the revocations of leases of one client, which then end by themselves.
    pub fn lose_revocations(&self, client: impl Into<ClientId>) {
        self.set(|faults| {
            faults.lost_revocations.insert(client.into());
        });
    }

    /// Makes the lists of a prefix fail for one client.
    pub fn fail_lists(&self, client: impl Into<ClientId>, prefix: impl Into<Arc<str>>) {
        self.set(|faults| {
            faults.list_faults.insert((client.into(), prefix.into()), ListFault::NoResponse);
        });
    }

    /// Delays the lists of a prefix for one client, whatever its timeout: the response arrives, but
    /// slowly.
    pub fn delay_lists(
        &self,
        client: impl Into<ClientId>,
        prefix: impl Into<Arc<str>>,
        delay: Duration,
    ) {
        self.set(|faults| {
            faults.list_faults.insert((client.into(), prefix.into()), ListFault::Slow(delay));
        });
    }

    /// Ends the partition of one client.
    pub fn reconnect(&self, client: &str) {
        self.set(|faults| {
            faults.partitions.remove(client);
        });
    }

    /// Ends outage, delay, stale reads, silent watches, partitions and write faults.
    pub fn clear(&self) {
        self.set(|faults| *faults = Faults { writes: faults.writes, ..Faults::default() });
    }

    /// Returns one key, unaffected by faults and not counted as a call.
    pub fn peek(&self, key: &str) -> Option<Record> {
        self.shared.lock().keys.get(key, None)
    }

    /// Returns the revision of the store, unaffected by faults.
    pub fn revision(&self) -> Revision {
        self.shared.lock().keys.revision()
    }

    /// Returns the call counts of one client.
    pub fn counts(&self, client: &str) -> CallCounts {
        self.shared.lock().counts.get(client).copied().unwrap_or_default()
    }

    /// Returns the call counts of each client.
    pub fn all_counts(&self) -> BTreeMap<ClientId, CallCounts> {
        self.shared.lock().counts.clone()
    }

    /// Returns the sum of the call counts of all clients.
    pub fn total_counts(&self) -> CallCounts {
        self.shared.lock().counts.values().copied().sum()
    }
}

#[cfg(test)]
mod tests;
