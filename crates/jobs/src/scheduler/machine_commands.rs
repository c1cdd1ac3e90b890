//! Commands to machines.

use std::fmt;

use cassiafold_config::{InstanceId, ServiceId};

use crate::cluster::WaveNumber;

/// Number of an attempt to execute a command; it rises with each attempt of an owner.
pub type AttemptNumber = u64;

/// A command to a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineCommand {
    /// Maintains it.
    Maintain {
        /// The machine.
        machine: InstanceId,
        /// The wave.
        wave: WaveNumber,
    },
    /// Moves it to another service.
    Move {
        /// The machine.
        machine: InstanceId,
        /// The service.
        service: ServiceId,
    },
}

impl MachineCommand {
    /// Returns the machine to which the command applies.
    pub fn machine(&self) -> &InstanceId {
        match self {
            Self::Maintain { machine, .. } | Self::Move { machine, .. } => machine,
        }
    }
}

impl fmt::Display for MachineCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Maintain { wave, .. } => write!(formatter, "maintain for wave {wave}"),
            Self::Move { service, .. } => write!(formatter, "move to {service}"),
        }
    }
}

/// A command as it is sent once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineAttempt {
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// The command.
    pub command: MachineCommand,
}
