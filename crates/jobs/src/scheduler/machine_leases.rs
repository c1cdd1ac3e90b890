//! Leases of owner instances on the machines to which they send commands.
//!
//! Commands of two instances to the same machine must be at least one lease apart. An owner
//! therefore stores the name of a machine before its first command, so that the next owner waits
//! only for the named machines and not for all. It also stores the wave for which a machine is
//! maintained: the next owner counts the machine as down while that command may be executed late.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_platform::Moment;

use crate::clients::LATE_COMMAND_MAX;
use crate::cluster::WaveNumber;
use crate::record::{CommandedMachine, CommandedMachinesRecord};

/// Lease of the instance that last sent a command to a machine.
#[derive(Debug)]
struct MachineLease {
    /// The command, with the instance that holds the lease.
    command: CommandedMachine,
    /// Until when other instances must not send commands.
    until: Moment,
    /// Whether the lease is stored with this command.
    is_stored: bool,
    /// Until when a command of an earlier owner may be executed, so that it stays recorded.
    inherited_until: Option<Moment>,
}

impl MachineLease {
    fn is_needed(&self, now: Moment) -> bool {
        now <= self.until || self.inherited_until.is_some_and(|until| now < until)
    }
}

/// Leases by machine.
#[derive(Debug)]
pub(super) struct MachineLeases {
    instance: Arc<str>,
    lease_duration: Duration,
    leases: HashMap<InstanceId, MachineLease>,
    /// Until when other instances may hold leases on any machine.
    others_until: Option<Moment>,
    /// Until when commands that are not known may be executed.
    unknown_until: Option<Moment>,
    /// Record that is stored or in flight.
    last_record: CommandedMachinesRecord,
    /// Record that is stored.
    stored_record: CommandedMachinesRecord,
}

impl MachineLeases {
    /// Creates the leases that previous owners may have held at `now`.
    pub(super) fn new(
        instance: Arc<str>,
        lease_duration: Duration,
        stored: CommandedMachinesRecord,
        now: Moment,
    ) -> Self {
        let inherit = |(machine, command): (&InstanceId, &CommandedMachine)| {
            let lease = MachineLease {
                command: command.clone(),
                until: now + lease_duration,
                is_stored: true,
                inherited_until: command.wave().map(|_| now + LATE_COMMAND_MAX),
            };
            (machine.clone(), lease)
        };
        let leases = stored.iter().map(inherit).collect();
        Self {
            instance,
            lease_duration,
            leases,
            others_until: None,
            unknown_until: None,
            last_record: stored.clone(),
            stored_record: stored,
        }
    }

    /// Treats all machines as leased to other instances at `now`, since it is not known which are.
    pub(super) fn lease_all_to_others(&mut self, now: Moment) {
        self.others_until = Some(now + self.lease_duration);
        self.unknown_until = Some(now + LATE_COMMAND_MAX);
    }

    /// Returns whether an earlier owner may have commanded any machine, so that it may still go
    /// down.
    pub(super) fn has_unknown_commands(&self, now: Moment) -> bool {
        self.unknown_until.is_some_and(|until| now < until)
    }

    /// Returns whether another instance may have sent a command to a machine within the last lease.
    pub(super) fn is_leased_to_other(&self, machine: &str, now: Moment) -> bool {
        let lease = self.leases.get(machine);
        let is_other =
            |lease: &MachineLease| *lease.command.instance() != self.instance && now <= lease.until;
        lease.is_some_and(is_other) || self.others_until.is_some_and(|until| now <= until)
    }

    /// Returns the waves for which a machine is recorded as commanded: a later owner would have to
    /// count it as down.
    pub(super) fn recorded_waves(&self, machine: &str) -> impl Iterator<Item = WaveNumber> {
        let lease = self.leases.get(machine).and_then(|lease| lease.command.wave());
        let stored = self.stored_record.get(machine).and_then(CommandedMachine::wave);
        lease.into_iter().chain(stored)
    }

    /// Returns whether an earlier owner may have commanded the maintenance of a machine, so that the
    /// command may still be executed.
    pub(super) fn is_inherited(&self, machine: &str, now: Moment) -> bool {
        let until = self.leases.get(machine).and_then(|lease| lease.inherited_until);
        until.is_some_and(|until| now < until)
    }

    /// Records that the maintenance of a machine for a wave has been carried out.
    pub(super) fn end_maintenance(&mut self, machine: &str, wave: WaveNumber) {
        let Some(lease) = self.leases.get_mut(machine) else { return };
        if lease.command.wave() == Some(wave) {
            lease.command = CommandedMachine::new(Arc::clone(lease.command.instance()), None);
            lease.inherited_until = None;
        }
    }

    /// Acquires or renews the lease on a machine for a move, or for its maintenance in a wave, unless
    /// another instance holds it. Returns whether the lease is stored, so that commands may be sent;
    /// if not, the next write stores it.
    pub(super) fn acquire(
        &mut self,
        machine: &InstanceId,
        wave: Option<WaveNumber>,
        now: Moment,
    ) -> bool {
        if self.is_leased_to_other(machine, now) {
            return false;
        }
        let until = now + self.lease_duration;
        let command = CommandedMachine::new(Arc::clone(&self.instance), wave);
        let lease = self.leases.entry(machine.clone()).or_insert_with(|| MachineLease {
            command: command.clone(),
            until,
            is_stored: false,
            inherited_until: None,
        });
        let is_own = *lease.command.instance() == self.instance;
        // Maintenance stays recorded when the machine is moved: its command may still be executed.
        if !is_own || (wave.is_some() && lease.command != command) {
            lease.command = command;
            lease.is_stored = false;
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
        self.leases.retain(|_, lease| lease.is_needed(now));
        let entries = self.leases.iter();
        let record: CommandedMachinesRecord =
            entries.map(|(machine, lease)| (machine.clone(), lease.command.clone())).collect();
        if record == self.last_record {
            return None;
        }
        self.last_record = record.clone();
        Some(record)
    }

    /// Marks the leases of a stored record as stored.
    pub(super) fn mark_stored(&mut self, record: &CommandedMachinesRecord) {
        self.stored_record = record.clone();
        for (machine, command) in record {
            if let Some(lease) = self.leases.get_mut(machine) {
                lease.is_stored |= lease.command == *command;
            }
        }
    }
}
