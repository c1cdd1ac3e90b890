//! Workers as the platform lists them.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::{Scheduler, WriteUrgency};
use crate::clients::WorkerAddress;
use crate::cluster::{WorkerEntry, WorkerId};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::record::WorkerShard;
use crate::spec::Resources;
use crate::worker::{PollPhase, Worker};

/// A life that is over though it is still listed.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedIncarnation {
    /// When it was found to be over.
    at: Moment,
    /// Its begin.
    started_unix: Option<Duration>,
}

impl Scheduler {
    /// Adds the workers to which earlier owners gave tasks, listed or not.
    pub(super) fn add_known_workers(&mut self, now: Moment) {
        for known in self.term.known_workers.clone() {
            let entry = WorkerEntry {
                id: known.id,
                started_unix: None,
                service: known.service,
                address: known.address,
                zone: known.zone,
                labels: Arc::default(),
                capacity: Resources::default(),
                is_draining: false,
            };
            let slot = self.add_worker(entry, now);
            self.workers[slot].is_listed = false;
            self.workers[slot].is_recorded = true;
            self.workers[slot].may_have_earlier_runs = true;
        }
    }

    fn add_worker(&mut self, entry: WorkerEntry, now: Moment) -> WorkerSlot {
        let slot = self.workers.len();
        self.current_slots.insert(entry.id.clone(), slot);
        self.slots_by_service.entry(entry.service.clone()).or_default().push(slot);
        self.poll_queue.push(Reverse((now, slot)));
        self.workers.push(Worker::new(entry, self.inherited_runs_expire, now));
        slot
    }

    /// Notes that the store does not name a worker yet, which therefore gets no work.
    fn mark_unrecorded(&mut self, slot: WorkerSlot) {
        self.stale_shards.insert(self.workers[slot].shard);
        self.raise_urgency(WriteUrgency::High);
    }

    /// Takes over the list of workers.
    pub fn set_workers(&mut self, entries: Vec<WorkerEntry>, now: Moment) {
        let listed: HashSet<WorkerId> = entries.iter().map(|entry| entry.id.clone()).collect();
        self.ended_incarnations.retain(|id, _| listed.contains(id));
        for entry in entries {
            self.note_entry(entry, now);
        }
        for slot in 0..self.workers.len() {
            let worker = &mut self.workers[slot];
            if worker.is_listed && !listed.contains(&worker.entry.id) {
                worker.is_listed = false;
                emit!(JobsEvent::WorkerUnlisted, worker = worker.entry.id);
                self.mark_worker_service_changed(slot);
            }
        }
    }

    fn note_entry(&mut self, entry: WorkerEntry, now: Moment) {
        let Some(slot) = self.current_slots.get(&entry.id).copied() else {
            if self.is_ended_incarnation(&entry) {
                return;
            }
            let (id, service) = (entry.id.clone(), entry.service.clone());
            let slot = self.add_worker(entry, now);
            self.mark_unrecorded(slot);
            emit!(JobsEvent::WorkerListed, worker = id, service = service, slot = slot);
            return;
        };
        let worker = &mut self.workers[slot];
        let same_place = worker.entry.address == entry.address
            && (worker.entry.service == entry.service || !worker.is_listed);
        if worker.is_gone || !same_place {
            self.retire_worker(slot, now);
            let slot = self.add_worker(entry, now);
            self.mark_unrecorded(slot);
            return;
        }
        let born = worker.entry.started_unix;
        // A report may be older than the last look.
        if born.is_some() && entry.started_unix > born {
            self.start_incarnation(slot, entry.started_unix, now);
            self.await_first_look(slot, now);
        }
        let worker = &mut self.workers[slot];
        let born = worker.entry.started_unix;
        let changed = !worker.is_listed || worker.entry != entry;
        let drains = entry.is_draining && !worker.entry.is_draining;
        worker.is_listed = true;
        let former = std::mem::replace(
            &mut worker.entry,
            WorkerEntry { started_unix: born.or(entry.started_unix), ..entry },
        );
        if former.service != worker.entry.service {
            let service = worker.entry.service.clone();
            self.leave_service(&former.service, slot);
            self.slots_by_service.entry(service).or_default().push(slot);
        }
        let worker = &self.workers[slot];
        if drains {
            emit!(JobsEvent::WorkerDraining, worker = worker.entry.id, runs = worker.runs.len());
        }
        if changed {
            self.mark_worker_service_changed(slot);
        }
    }

    /// Whether a report is the last one of a life that is over.
    fn is_ended_incarnation(&self, entry: &WorkerEntry) -> bool {
        let Some(ended) = self.ended_incarnations.get(&entry.id) else { return false };
        // A list of machines that was asked for since may show that the worker lives.
        let is_seen_up = self.machines_listed.is_some_and(|at| at > ended.at)
            && self.machines.has_running_worker(&entry.id);
        !is_seen_up && entry.started_unix == ended.started_unix
    }

    /// Ends a worker's life: everything that ran there is over.
    pub(super) fn retire_worker(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot];
        if worker.is_gone {
            return;
        }
        worker.is_gone = true;
        worker.is_listed = false;
        self.stale_shards.insert(worker.shard);
        let id = worker.entry.id.clone();
        self.retired_addresses.push(worker.address.clone());
        let ended = EndedIncarnation { at: now, started_unix: worker.entry.started_unix };
        self.ended_incarnations.insert(id.clone(), ended);
        let worker = &self.workers[slot];
        emit!(JobsEvent::WorkerLost, worker = id, runs = worker.runs.len());
        self.release_all_runs(slot, now);
        let service = self.workers[slot].entry.service.clone();
        self.leave_service(&service, slot);
        if self.current_slots.get(&id) == Some(&slot) {
            self.current_slots.remove(&id);
        }
    }

    /// Begins a new life of a worker that has started anew under its id.
    ///
    /// What was ordered before the former life last showed itself ran there, and is over. Later
    /// orders may have reached the new life: a look decides about them.
    pub(super) fn start_incarnation(
        &mut self,
        slot: WorkerSlot,
        born: Option<Duration>,
        now: Moment,
    ) {
        let worker = &self.workers[slot];
        emit!(JobsEvent::WorkerReborn, worker = worker.entry.id);
        let last_seen = worker.poll_sent;
        self.release_runs_if(slot, now, |run| run.since <= last_seen);
        let lease = self.lease_max();
        let worker = &mut self.workers[slot];
        worker.start_incarnation(born, now);
        if !worker.runs.is_empty() {
            worker.lease_expires = now + lease;
        }
    }

    /// Gives a worker no work until a look has shown its new life.
    fn await_first_look(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot];
        worker.is_confirmed = false;
        worker.was_confirmed = false;
        worker.poll = PollPhase::DueAt(now);
        self.poll_queue.push(Reverse((now, slot)));
    }

    fn leave_service(&mut self, service: &str, slot: WorkerSlot) {
        if let Some(slots) = self.slots_by_service.get_mut(service) {
            slots.retain(|other| *other != slot);
        }
    }

    /// Lives of a service's workers that are not over.
    pub(super) fn service_slots(&self, service: &str) -> &[WorkerSlot] {
        self.slots_by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether runs of an earlier owner are known for all workers of a service.
    pub(super) fn are_inherited_runs_known(&self, service: &str, now: Moment) -> bool {
        now >= self.inherited_runs_expire
            || self.service_slots(service).iter().all(|slot| {
                let worker = &self.workers[*slot];
                !worker.may_have_earlier_runs || worker.was_confirmed
            })
    }

    /// Addresses of the lives that were found over since the last call.
    pub fn take_retired_addresses(&mut self) -> Vec<WorkerAddress> {
        std::mem::take(&mut self.retired_addresses)
    }

    /// Addresses of the lives that are not over.
    pub fn active_addresses(&self) -> impl Iterator<Item = &WorkerAddress> {
        self.active_slots().map(|slot| &self.workers[slot].address)
    }

    /// Lives that are not over, in no particular order.
    pub(super) fn active_slots(&self) -> impl Iterator<Item = WorkerSlot> {
        self.current_slots.values().copied()
    }

    /// Workers of a part, as they are to be named in the store.
    pub(super) fn shard_members(&self, shard: WorkerShard) -> Vec<WorkerSlot> {
        let mut slots: Vec<WorkerSlot> =
            self.active_slots().filter(|slot| self.workers[*slot].shard == shard).collect();
        slots.sort_unstable();
        slots
    }
}
