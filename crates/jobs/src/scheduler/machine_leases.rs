//! Leases of owner instances on the machines to which they send commands.
//!
//! Commands of two instances to the same machine must be at least one lease apart. An owner
//! therefore stores the name of a machine before its first command, so that the next owner waits
//! only for the named machines and not for all.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_platform::Moment;

use crate::record::CommandedMachinesRecord;

/// Lease of the instance that last sent a command to a machine.
#[derive(Debug)]
struct MachineLease {
    /// Instance that holds the lease.
    instance: Arc<str>,
    /// Until when other instances must not send commands.
    until: Moment,
    /// Whether the lease is stored.
    is_stored: bool,
}

/// Leases by machine.
#[derive(Debug)]
pub(super) struct MachineLeases {
    instance: Arc<str>,
    lease_duration: Duration,
    leases: HashMap<InstanceId, MachineLease>,
    /// Until when other instances may hold leases on any machine.
    others_until: Option<Moment>,
    /// Record that is stored or in flight.
    last_record: CommandedMachinesRecord,
}

impl MachineLeases {
    /// Creates the leases that previous owners may have held at `now`.
    pub(super) fn new(
        instance: Arc<str>,
        lease_duration: Duration,
        stored: CommandedMachinesRecord,
        now: Moment,
    ) -> Self {
        let inherit = |(machine, instance): (&InstanceId, &Arc<str>)| {
            let lease = MachineLease {
                instance: Arc::clone(instance),
                until: now + lease_duration,
                is_stored: true,
            };
            (machine.clone(), lease)
        };
        let leases = stored.iter().map(inherit).collect();
        Self { instance, lease_duration, leases, others_until: None, last_record: stored }
    }

    /// Treats all machines as leased to other instances at `now`, since it is not known which are.
    pub(super) fn lease_all_to_others(&mut self, now: Moment) {
        self.others_until = Some(now + self.lease_duration);
    }

    /// Returns whether another instance may have sent a command to a machine within the last lease.
    pub(super) fn is_leased_to_other(&self, machine: &str, now: Moment) -> bool {
        let lease = self.leases.get(machine);
        let is_other = |lease: &MachineLease| lease.instance != self.instance && now <= lease.until;
        lease.is_some_and(is_other) || self.others_until.is_some_and(|until| now <= until)
    }

    /// Acquires or renews the lease on a machine, unless another instance holds it. Returns whether
    /// the lease is stored, so that commands may be sent; if not, the next write stores it.
    pub(super) fn acquire(&mut self, machine: &InstanceId, now: Moment) -> bool {
        if self.is_leased_to_other(machine, now) {
            return false;
        }
        let until = now + self.lease_duration;
        let instance = &self.instance;
        let new_lease = || MachineLease { instance: Arc::clone(instance), until, is_stored: false };
        let lease = self.leases.entry(machine.clone()).or_insert_with(new_lease);
        if lease.instance != self.instance {
            *lease = new_lease();
        }
        lease.until = lease.until.max(until);
        lease.is_stored
    }

    /// Extends the lease for a command that may be executed as late as `until`.
    pub(super) fn extend(&mut self, machine: &str, until: Moment) {
        if let Some(lease) = self.leases.get_mut(machine) {
            lease.until = lease.until.max(until + self.lease_duration);
        }
    }

    /// Returns whether a lease is not stored yet.
    pub(super) fn needs_write(&self) -> bool {
        self.leases.values().any(|lease| !lease.is_stored)
    }

    /// Returns the record to store; `None` if the stored one is up to date.
    pub(super) fn take_record(&mut self, now: Moment) -> Option<CommandedMachinesRecord> {
        self.leases.retain(|_, lease| now <= lease.until);
        let entries = self.leases.iter();
        let record: CommandedMachinesRecord = entries
            .map(|(machine, lease)| (machine.clone(), Arc::clone(&lease.instance)))
            .collect();
        if record == self.last_record {
            return None;
        }
        self.last_record = record.clone();
        Some(record)
    }

    /// Marks the leases of a stored record as stored.
    pub(super) fn mark_stored(&mut self, record: &CommandedMachinesRecord) {
        for (machine, instance) in record {
            if let Some(lease) = self.leases.get_mut(machine) {
                lease.is_stored |= lease.instance == *instance;
            }
        }
    }
}
