//! Workers as listed by the platform, and their incarnations.

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
use crate::incarnation::IncarnationEnd;
use crate::job::WorkerSlot;
use crate::record::WorkerShard;
use crate::spec::Resources;
use crate::worker::{PollPhase, Worker};

/// Time from the start of a term in which the entries of known workers may be missing: after an
/// outage of the store they are back within two seconds.
const ENTRY_RETURN_TIME: Duration = Duration::from_millis(2_300);

/// An incarnation that has ended although it is still listed.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedIncarnation {
    /// When the end was detected.
    ended_at: Moment,
    /// Unix time at which the incarnation started.
    started_unix: Option<Duration>,
}

impl Scheduler {
    /// Adds the workers to which previous owners assigned tasks, listed or not.
    pub(super) fn add_known_workers(&mut self, now: Moment) {
        for record in self.term.known_workers.clone() {
            let entry = WorkerEntry {
                id: record.id,
                started_unix: None,
                service: record.service,
                address: record.address,
                zone: record.zone,
                labels: Arc::default(),
                capacity: Resources::default(),
                is_draining: false,
            };
            let slot = self.add_worker(entry, now);
            let worker = &mut self.workers[slot];
            worker.recorded_capacity = record.capacity.map(Resources::from);
            worker.is_listed = false;
            worker.entry_due = Some(now + ENTRY_RETURN_TIME);
            worker.is_recorded = true;
            worker.may_have_earlier_runs = true;
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

    /// Requests the write that records a worker; it gets no tasks before that.
    fn mark_unrecorded(&mut self, slot: WorkerSlot) {
        self.stale_shards.insert(self.workers[slot].shard);
        self.raise_write_urgency(WriteUrgency::High);
    }

    /// Replaces the list of workers.
    pub fn set_workers(&mut self, entries: Vec<WorkerEntry>, now: Moment) {
        let ids: HashSet<WorkerId> = entries.iter().map(|entry| entry.id.clone()).collect();
        self.ended_incarnations.retain(|id, _| ids.contains(id));
        self.odd_entries.retain(|id| ids.contains(id));
        let mut listed: HashSet<WorkerId> = HashSet::with_capacity(ids.len());
        for entry in entries {
            match self.entry_fault(&entry) {
                Some(fault) => self.ignore_entry(&entry, fault),
                None => {
                    self.odd_entries.remove(&entry.id);
                    listed.insert(entry.id.clone());
                    self.update_worker(entry, now);
                }
            }
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

    fn update_worker(&mut self, entry: WorkerEntry, now: Moment) {
        let Some(slot) = self.current_slots.get(&entry.id).copied() else {
            if self.is_ended_incarnation(&entry) {
                return;
            }
            let slot = self.add_worker(entry, now);
            self.mark_unrecorded(slot);
            log_listed(&self.workers[slot], slot);
            return;
        };
        let worker = &mut self.workers[slot];
        let has_moved = worker.entry.service != entry.service && worker.is_older_than(&entry);
        let is_same_place =
            worker.entry.address == entry.address && (!has_moved || !worker.is_listed);
        if worker.is_gone || !is_same_place {
            let end = match worker.entry.service == entry.service {
                true => IncarnationEnd::EntryReplaced,
                false => IncarnationEnd::MachineOrdered,
            };
            self.retire_worker(slot, end, now);
            let slot = self.add_worker(entry, now);
            self.mark_unrecorded(slot);
            return;
        }
        // A list entry may be older than the last poll.
        if worker.is_older_than(&entry) {
            self.start_incarnation(slot, entry.started_unix, now);
            self.await_first_poll(slot, now);
        }
        let worker = &mut self.workers[slot];
        let started_unix = worker.entry.started_unix;
        let has_changed = !worker.is_listed || worker.entry != entry;
        let starts_draining = entry.is_draining && !worker.entry.is_draining;
        let is_listed_again = !worker.is_listed;
        if worker.known_capacity() != Some(entry.capacity) {
            self.stale_shards.insert(worker.shard);
        }
        worker.is_listed = true;
        worker.entry_due = None;
        // An entry without a start may be that of any incarnation.
        worker.is_entry_outdated &=
            entry.started_unix.is_some() && entry.started_unix < started_unix;
        let previous = std::mem::replace(
            &mut worker.entry,
            WorkerEntry { started_unix: started_unix.or(entry.started_unix), ..entry },
        );
        if previous.service != worker.entry.service {
            let service = worker.entry.service.clone();
            self.remove_from_service(&previous.service, slot);
            self.slots_by_service.entry(service).or_default().push(slot);
        }
        let worker = &self.workers[slot];
        if is_listed_again {
            log_listed(worker, slot);
        }
        if starts_draining {
            emit!(JobsEvent::WorkerDraining, worker = worker.entry.id, runs = worker.runs.len());
        }
        if has_changed {
            self.mark_worker_service_changed(slot);
        }
    }

    /// Returns whether a list entry describes an incarnation that has ended.
    fn is_ended_incarnation(&self, entry: &WorkerEntry) -> bool {
        let Some(ended) = self.ended_incarnations.get(&entry.id) else { return false };
        // A list of machines that was requested later may show that the worker is up.
        let is_seen_up = self.machines_listed_at.is_some_and(|at| at > ended.ended_at)
            && self.machines.has_running_worker(&entry.id);
        !is_seen_up && entry.started_unix == ended.started_unix
    }

    /// Takes what the entries of known workers would tell from the list of machines, as long as
    /// they may be missing because the store was away.
    ///
    /// Such a worker may be given tasks once it has responded. Otherwise a new owner could start
    /// nothing in the first seconds after an outage, when callers send what was refused meanwhile.
    pub(super) fn complete_missing_entries(&mut self, now: Moment) {
        for slot in 0..self.workers.len() {
            let worker = &mut self.workers[slot];
            if worker.is_gone || worker.entry_due.is_none_or(|due| now >= due) {
                continue;
            }
            let machine = self.machines.machine_running(&worker.entry.id);
            let machine = machine.filter(|machine| machine.service == worker.entry.service);
            worker.is_on_machine = machine.is_some();
            if let Some(machine) = machine {
                worker.entry.labels = machine.labels.clone().into();
                // The list tells the capacity of the machine, not what is left of it.
                let recorded = worker.recorded_capacity.unwrap_or(machine.capacity);
                worker.entry.capacity = machine.capacity.min(&recorded);
                self.mark_worker_service_changed(slot);
            }
        }
    }

    /// Ends the incarnation of a worker and removes its runs; `sign` is how that was learned.
    pub(super) fn retire_worker(&mut self, slot: WorkerSlot, sign: IncarnationEnd, now: Moment) {
        let end = self.incarnation_end(slot, sign);
        let worker = &mut self.workers[slot];
        if worker.is_gone {
            return;
        }
        worker.is_gone = true;
        worker.is_listed = false;
        self.stale_shards.insert(worker.shard);
        let id = worker.entry.id.clone();
        self.retired_addresses.push(worker.address.clone());
        let ended = EndedIncarnation { ended_at: now, started_unix: worker.entry.started_unix };
        self.ended_incarnations.insert(id.clone(), ended);
        let worker = &self.workers[slot];
        emit!(JobsEvent::WorkerLost, worker = id, runs = worker.runs.len(), reason = end);
        self.judge_lost_runs(slot, end, now);
        self.release_all_runs(slot, now);
        let service = self.workers[slot].entry.service.clone();
        self.remove_from_service(&service, slot);
        if self.current_slots.get(&id) == Some(&slot) {
            self.current_slots.remove(&id);
        }
    }

    /// Starts a new incarnation of a worker that has restarted under its id.
    ///
    /// Runs that were started before the last poll of the previous incarnation ran there and have
    /// ended. Later commands may have reached the new incarnation: a poll decides about their runs.
    pub(super) fn start_incarnation(
        &mut self,
        slot: WorkerSlot,
        started_unix: Option<Duration>,
        now: Moment,
    ) {
        let end = self.incarnation_end(slot, IncarnationEnd::Restarted);
        let worker = &self.workers[slot];
        emit!(JobsEvent::WorkerReborn, worker = worker.entry.id, runs = worker.runs.len());
        self.judge_lost_runs(slot, end, now);
        let worker = &self.workers[slot];
        let last_poll_sent = worker.poll_sent;
        self.release_runs_if(slot, now, |run| run.since <= last_poll_sent);
        let lease_max = self.lease_max_with_skew();
        let worker = &mut self.workers[slot];
        worker.start_incarnation(started_unix, now);
        if !worker.runs.is_empty() {
            worker.lease_expires = now + lease_max;
        } else if worker.may_have_earlier_runs {
            // It may have restarted before this term, and have been given runs since.
            worker.lease_expires = now.max(self.inherited_runs_expire);
        }
    }

    /// Returns how an incarnation ended, by the sign of it and what the worker was about to do.
    fn incarnation_end(&self, slot: WorkerSlot, sign: IncarnationEnd) -> IncarnationEnd {
        let worker = &self.workers[slot];
        match sign {
            _ if worker.is_leaving => IncarnationEnd::MachineOrdered,
            _ if worker.entry.is_draining => IncarnationEnd::Drained,
            sign => sign,
        }
    }

    /// Withholds new tasks from a worker until a poll has confirmed its new incarnation.
    fn await_first_poll(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot];
        worker.is_confirmed = false;
        worker.was_confirmed = false;
        worker.poll = PollPhase::DueAt(now);
        self.poll_queue.push(Reverse((now, slot)));
    }

    fn remove_from_service(&mut self, service: &str, slot: WorkerSlot) {
        if let Some(slots) = self.slots_by_service.get_mut(service) {
            slots.retain(|other| *other != slot);
        }
    }

    /// Returns the active incarnations of a service's workers.
    pub(super) fn service_slots(&self, service: &str) -> &[WorkerSlot] {
        self.slots_by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether the runs of previous owners are known, or have expired, on all workers of a
    /// service.
    pub(super) fn are_inherited_runs_known(&self, service: &str, now: Moment) -> bool {
        let has_unknown_workers =
            self.term.has_unreadable_workers && now < self.inherited_runs_expire;
        let are_known = |slot: &WorkerSlot| self.workers[*slot].are_earlier_runs_known(now);
        !has_unknown_workers && self.service_slots(service).iter().all(are_known)
    }

    /// Returns the addresses of the incarnations that have ended since the last call.
    pub fn take_retired_addresses(&mut self) -> Vec<WorkerAddress> {
        std::mem::take(&mut self.retired_addresses)
    }

    /// Returns the addresses of the active incarnations.
    pub fn active_addresses(&self) -> impl Iterator<Item = &WorkerAddress> {
        self.active_slots().map(|slot| &self.workers[slot].address)
    }

    /// Returns the active incarnations in no particular order.
    pub(super) fn active_slots(&self) -> impl Iterator<Item = WorkerSlot> {
        self.current_slots.values().copied()
    }

    /// Returns the workers of a shard, as they are to be stored.
    pub(super) fn shard_members(&self, shard: WorkerShard) -> Vec<WorkerSlot> {
        let mut slots: Vec<WorkerSlot> =
            self.active_slots().filter(|slot| self.workers[*slot].shard == shard).collect();
        slots.sort_unstable();
        slots
    }
}

/// Logs that the list of workers contains a worker that the previous one did not.
fn log_listed(worker: &Worker, slot: WorkerSlot) {
    let entry = &worker.entry;
    emit!(JobsEvent::WorkerListed, worker = entry.id, service = entry.service, slot = slot);
}
