//! The deferred jobs, in the order of their turns.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use cassiafold_platform::Moment;

use super::DeferredJob;
use crate::spec::JobId;

/// Times its memory that a job takes while it is read and decoded.
const READ_COPIES: u64 = 2;

/// Number of a deferred job's turn, ascending.
type Turn = u64;

/// A deferred job, and what is kept of its earlier turns.
#[derive(Debug)]
struct Entry {
    job: DeferredJob,
    position: Position,
    first_seen: Moment,
    exceeds_share: bool,
}

/// Order of the next turns: first the jobs that some worker could run, then those that had fewer
/// turns, then by the priority of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    is_unplaceable: bool,
    turns_had: u32,
    priority: u32,
    turn: Turn,
}

/// What a job keeps while it is deferred, for its next turn.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kept {
    pub(crate) first_seen: Moment,
    pub(crate) exceeds_share: bool,
    pub(crate) turns_had: u32,
    /// Whether no worker of its service could run it when it was deferred.
    pub(crate) is_unplaceable: bool,
}

/// Accepted jobs that the owner does not hold.
#[derive(Debug, Default)]
pub(crate) struct DeferredJobs {
    entries: HashMap<JobId, Entry>,
    order: BTreeMap<Position, JobId>,
    by_turn: BTreeMap<Turn, JobId>,
    next_turn: Turn,
    /// Whether the next job to read is the one that has waited longest, whatever its position.
    pub(super) takes_oldest: bool,
    /// Those that are read whether or not there is room.
    pub(super) urgent: BTreeSet<JobId>,
    /// Those that are being read.
    pub(super) in_flight: HashSet<JobId>,
    /// Memory that the jobs in flight will take, in bytes.
    pub(super) in_flight_bytes: u64,
    /// Names of queues and services, so that entries share them.
    names: HashSet<Arc<str>>,
    /// Until when no job is read, because the last attempt failed.
    pub(super) paused_until: Moment,
    pub(super) last_search: Moment,
    pub(super) last_log: Moment,
    /// Whether the store says that no further jobs are accepted; unknown at the start of a term.
    pub(super) full_stored: Option<bool>,
    pub(super) is_full: bool,
}

impl DeferredJobs {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn contains(&self, id: JobId) -> bool {
        self.entries.contains_key(&id)
    }

    /// From when on jobs are read: at once, unless the last attempt has just failed.
    pub(crate) fn read_from(&self, now: Moment) -> Moment {
        now.max(self.paused_until)
    }

    /// Memory that a deferred job would take, in bytes.
    pub(super) fn bytes_of(&self, id: JobId) -> Option<u64> {
        self.entries.get(&id).map(|entry| entry.job.bytes)
    }

    /// The jobs that are deferred.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = &DeferredJob> {
        self.entries.values().map(|entry| &entry.job)
    }

    fn share_name(&mut self, name: &Arc<str>) -> Arc<str> {
        match self.names.get(name) {
            Some(known) => known.clone(),
            None => {
                self.names.insert(name.clone());
                name.clone()
            }
        }
    }

    pub(super) fn insert(&mut self, id: JobId, job: DeferredJob, kept: Kept, priority: u32) {
        let turn = self.next_turn;
        self.next_turn += 1;
        let Kept { first_seen, exceeds_share, turns_had, is_unplaceable } = kept;
        let position = Position { is_unplaceable, turns_had, priority, turn };
        let job = DeferredJob {
            queue: self.share_name(&job.queue),
            service: self.share_name(&job.service),
            ..job
        };
        let entry = Entry { job, position, first_seen, exceeds_share };
        self.entries.insert(id, entry);
        self.order.insert(position, id);
        self.by_turn.insert(turn, id);
    }

    pub(super) fn remove(&mut self, id: JobId) -> Option<Kept> {
        self.finish_read(id);
        self.urgent.remove(&id);
        let Entry { position, first_seen, exceeds_share, .. } = self.entries.remove(&id)?;
        self.order.remove(&position);
        self.by_turn.remove(&position.turn);
        let Position { is_unplaceable, turns_had, .. } = position;
        Some(Kept { first_seen, exceeds_share, turns_had, is_unplaceable })
    }

    /// Starts to read a job, which then takes no other turn.
    pub(super) fn start_read(&mut self, id: JobId) {
        let Some(entry) = self.entries.get(&id) else { return };
        if self.in_flight.insert(id) {
            self.in_flight_bytes += READ_COPIES * entry.job.bytes;
        }
        self.order.remove(&entry.position);
        self.by_turn.remove(&entry.position.turn);
        self.urgent.remove(&id);
    }

    pub(super) fn finish_read(&mut self, id: JobId) {
        let Some(entry) = self.entries.get(&id) else { return };
        if self.in_flight.remove(&id) {
            self.in_flight_bytes -= READ_COPIES * entry.job.bytes;
            self.order.insert(entry.position, id);
            self.by_turn.insert(entry.position.turn, id);
        }
    }

    /// The jobs in the order of their turns, with the memory that each would take, in bytes.
    pub(super) fn next(&self) -> impl Iterator<Item = (JobId, u64)> {
        let by_age = self.takes_oldest.then(|| self.by_turn.values());
        let by_position = (!self.takes_oldest).then(|| self.order.values());
        let ids = by_age.into_iter().flatten().chain(by_position.into_iter().flatten());
        ids.filter_map(|id| Some((*id, self.bytes_of(*id)?)))
    }
}
