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

use crate::record::OrderedRecord;

/// Who ordered a machine last.
#[derive(Debug)]
struct Holder {
    /// The owner's instance.
    instance: Arc<str>,
    /// Until when others must not order it.
    until: Moment,
    /// Whether the store says so.
    is_stored: bool,
}

/// Who ordered which machine lately.
#[derive(Debug)]
pub(super) struct Holders {
    instance: Arc<str>,
    lease: Duration,
    holders: HashMap<InstanceId, Holder>,
    /// What lies in the store, or is on its way there.
    written: OrderedRecord,
}

impl Holders {
    /// The machines that earlier owners may have ordered until `now`.
    pub(super) fn new(
        instance: Arc<str>,
        lease: Duration,
        stored: OrderedRecord,
        now: Moment,
    ) -> Self {
        let inherit = |(machine, instance): (&InstanceId, &Arc<str>)| {
            let holder =
                Holder { instance: Arc::clone(instance), until: now + lease, is_stored: true };
            (machine.clone(), holder)
        };
        let holders = stored.iter().map(inherit).collect();
        Self { instance, lease, holders, written: stored }
    }

    /// Whether another instance may have ordered a machine less than a lease ago.
    pub(super) fn is_held(&self, machine: &str, now: Moment) -> bool {
        let holder = self.holders.get(machine);
        holder.is_some_and(|holder| holder.instance != self.instance && now <= holder.until)
    }

    /// Whether a machine may be ordered now. If not, its name is stored with the next write,
    /// unless another instance holds it.
    pub(super) fn may_order(&mut self, machine: &InstanceId, now: Moment) -> bool {
        if self.is_held(machine, now) {
            return false;
        }
        let until = now + self.lease;
        let instance = &self.instance;
        let wanted = || Holder { instance: Arc::clone(instance), until, is_stored: false };
        let holder = self.holders.entry(machine.clone()).or_insert_with(wanted);
        if holder.instance != self.instance {
            *holder = wanted();
        }
        holder.until = holder.until.max(until);
        holder.is_stored
    }

    /// Notes that an order may still be carried out until `until`.
    pub(super) fn extend(&mut self, machine: &str, until: Moment) {
        if let Some(holder) = self.holders.get_mut(machine) {
            holder.until = holder.until.max(until + self.lease);
        }
    }

    /// Whether a name waits for the next write.
    pub(super) fn is_write_wanted(&self) -> bool {
        self.holders.values().any(|holder| !holder.is_stored)
    }

    /// The record that is to be stored; `None` if the stored one is right.
    pub(super) fn take_record(&mut self, now: Moment) -> Option<OrderedRecord> {
        self.holders.retain(|_, holder| now <= holder.until);
        let entries = self.holders.iter();
        let record: OrderedRecord = entries
            .map(|(machine, holder)| (machine.clone(), Arc::clone(&holder.instance)))
            .collect();
        if record == self.written {
            return None;
        }
        self.written = record.clone();
        Some(record)
    }

    /// Takes in that a record has been stored.
    pub(super) fn note_stored(&mut self, record: &OrderedRecord) {
        for (machine, instance) in record {
            if let Some(holder) = self.holders.get_mut(machine) {
                holder.is_stored |= holder.instance == *instance;
            }
        }
    }
}
