//! Machines that owners have ordered lately.
//!
//! Orders of two instances to one machine must lie a lease apart. An owner therefore stores the
//! name of a machine before it orders it, and the next owner waits only for the machines that
//! are named, not for all.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_platform::Moment;

use crate::record::CommandedMachinesRecord;

/// Who ordered a machine last.
#[derive(Debug)]
struct MachineLease {
    /// The owner's instance.
    instance: Arc<str>,
    /// Until when others must not order it.
    until: Moment,
    /// Whether the store says so.
    is_stored: bool,
}

/// Who ordered which machine lately.
#[derive(Debug)]
pub(super) struct MachineLeases {
    instance: Arc<str>,
    lease: Duration,
    leases: HashMap<InstanceId, MachineLease>,
    /// What lies in the store, or is on its way there.
    written: CommandedMachinesRecord,
}

impl MachineLeases {
    /// The machines that earlier owners may have ordered until `now`.
    pub(super) fn new(
        instance: Arc<str>,
        lease: Duration,
        stored: CommandedMachinesRecord,
        now: Moment,
    ) -> Self {
        let inherit = |(machine, instance): (&InstanceId, &Arc<str>)| {
            let lease = MachineLease {
                instance: Arc::clone(instance),
                until: now + lease,
                is_stored: true,
            };
            (machine.clone(), lease)
        };
        let leases = stored.iter().map(inherit).collect();
        Self { instance, lease, leases, written: stored }
    }

    /// Whether another instance may have ordered a machine less than a lease ago.
    pub(super) fn is_leased_to_other(&self, machine: &str, now: Moment) -> bool {
        let lease = self.leases.get(machine);
        lease.is_some_and(|lease| lease.instance != self.instance && now <= lease.until)
    }

    /// Whether a machine may be ordered now. If not, its name is stored with the next write,
    /// unless another instance holds it.
    pub(super) fn acquire(&mut self, machine: &InstanceId, now: Moment) -> bool {
        if self.is_leased_to_other(machine, now) {
            return false;
        }
        let until = now + self.lease;
        let instance = &self.instance;
        let wanted = || MachineLease { instance: Arc::clone(instance), until, is_stored: false };
        let lease = self.leases.entry(machine.clone()).or_insert_with(wanted);
        if lease.instance != self.instance {
            *lease = wanted();
        }
        lease.until = lease.until.max(until);
        lease.is_stored
    }

    /// Notes that an order may still be carried out until `until`.
    pub(super) fn extend(&mut self, machine: &str, until: Moment) {
        if let Some(lease) = self.leases.get_mut(machine) {
            lease.until = lease.until.max(until + self.lease);
        }
    }

    /// Whether a name waits for the next write.
    pub(super) fn is_write_wanted(&self) -> bool {
        self.leases.values().any(|lease| !lease.is_stored)
    }

    /// The record that is to be stored; `None` if the stored one is right.
    pub(super) fn take_record(&mut self, now: Moment) -> Option<CommandedMachinesRecord> {
        self.leases.retain(|_, lease| now <= lease.until);
        let entries = self.leases.iter();
        let record: CommandedMachinesRecord = entries
            .map(|(machine, lease)| (machine.clone(), Arc::clone(&lease.instance)))
            .collect();
        if record == self.written {
            return None;
        }
        self.written = record.clone();
        Some(record)
    }

    /// Takes in that a record has been stored.
    pub(super) fn note_stored(&mut self, record: &CommandedMachinesRecord) {
        for (machine, instance) in record {
            if let Some(lease) = self.leases.get_mut(machine) {
                lease.is_stored |= lease.instance == *instance;
            }
        }
    }
}
