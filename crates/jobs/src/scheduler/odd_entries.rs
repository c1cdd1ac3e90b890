//! Entries in the list of workers that name no worker to use, since another writer may have written
//! them.

use std::fmt;

use cassiafold_config::ServiceId;
use cassiafold_event::emit;

use super::Scheduler;
use crate::cluster::WorkerEntry;
use crate::event::JobsEvent;

/// Why an entry names no worker to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EntryFault {
    /// Neither the configuration nor a job names its service.
    UnknownService,
    /// It names another service for an incarnation whose service is known.
    OtherService,
    /// It names another address for an incarnation that has not started anew.
    OtherAddress,
}

impl fmt::Display for EntryFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::UnknownService => "unknown_service",
            Self::OtherService => "other_service",
            Self::OtherAddress => "other_address",
        })
    }
}

impl Scheduler {
    /// Returns why an entry names no worker to use, if so.
    pub(super) fn entry_fault(&self, entry: &WorkerEntry) -> Option<EntryFault> {
        if !self.is_known_service(&entry.service) {
            return Some(EntryFault::UnknownService);
        }
        let slot = self.current_slots.get(&entry.id)?;
        let worker = &self.workers[*slot];
        if worker.is_older_than(entry) {
            return None;
        }
        if worker.entry.address != entry.address {
            // A worker that was only recorded may have started anew since.
            let is_start_known = worker.entry.started_unix.is_some();
            return is_start_known.then_some(EntryFault::OtherAddress);
        }
        // Its service is not known by an entry of its own yet.
        let is_undecided = worker.entry_due.is_some() || worker.is_entry_outdated;
        let is_other = worker.entry.service != entry.service
            && !is_undecided
            && !self.is_machine_in_service(entry);
        is_other.then_some(EntryFault::OtherService)
    }

    /// Leaves a worker unlisted because of its entry; its runs go on, and polls tell of them.
    pub(super) fn ignore_entry(&mut self, entry: &WorkerEntry, fault: EntryFault) {
        if self.odd_entries.insert(entry.id.clone()) {
            emit!(
                JobsEvent::EntryIgnored,
                worker = entry.id,
                service = entry.service,
                reason = fault
            );
        }
    }

    fn is_known_service(&self, service: &ServiceId) -> bool {
        let config = &self.config;
        config.version == 0
            || config.services.contains_key(service)
            || config.queues.values().any(|queue| queue.service == *service)
            || self.jobs.values().any(|job| job.record.service == *service)
            || self.deferred.jobs().any(|job| job.service == *service)
    }

    /// Whether the list of machines shows an entry's worker on a machine of the entry's service.
    fn is_machine_in_service(&self, entry: &WorkerEntry) -> bool {
        let machine = self.machines.machine_running(&entry.id);
        machine.is_some_and(|machine| machine.service == entry.service)
    }
}
