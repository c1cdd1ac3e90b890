//! Commands that inject faults into the stand-in store over HTTP.

use std::time::Duration;

use cassiafold_platform::Revision;
use serde::{Deserialize, Serialize};

use crate::faults::{ClientId, Partition, StoreFaults, WriteFault};

/// Fault of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteFaultCommand {
    /// The write takes effect and its response is lost.
    LostAnswer,
    /// The request is lost and the write has no effect.
    LostRequest,
    /// The response is lost and the write takes effect after this many milliseconds.
    LateMs(u64),
}

impl From<WriteFaultCommand> for WriteFault {
    fn from(command: WriteFaultCommand) -> Self {
        match command {
            WriteFaultCommand::LostAnswer => Self::LostAnswer,
            WriteFaultCommand::LostRequest => Self::LostRequest,
            WriteFaultCommand::LateMs(ms) => Self::Late(Duration::from_millis(ms)),
        }
    }
}

/// Direction of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartitionCommand {
    /// Requests do not reach the store.
    Requests,
    /// Requests take effect and their responses are lost.
    Answers,
}

impl From<PartitionCommand> for Partition {
    fn from(command: PartitionCommand) -> Self {
        match command {
            PartitionCommand::Requests => Self::Requests,
            PartitionCommand::Answers => Self::Answers,
        }
    }
}

/// A command as sent to `POST /fault`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultCommand {
    /// Starts or ends an outage.
    Outage(bool),
    /// Delays each call by this many milliseconds.
    DelayMs(u64),
    /// Makes the next writes fail.
    FailWrites {
        /// Number of writes.
        count: usize,
        /// Fault of each such write.
        fault: WriteFaultCommand,
    },
    /// Makes every n-th write fail.
    FailEvery {
        /// Number of writes from one failure to the next; 0 ends the fault.
        interval: u64,
        /// Fault of each such write.
        fault: WriteFaultCommand,
    },
    /// Serves reads from an older revision; `None` ends the fault.
    StaleReads(Option<Revision>),
    /// Starts or ends a fault under which no watch delivers changes.
    SilentWatches(bool),
    /// Permanently stops deliveries of the watches that are open now.
    SilenceOpenWatches,
    /// Compacts the history.
    Compact,
    /// Rolls the store back to an older revision.
    RollBack(Revision),
    /// Partitions one client from the store.
    CutOff {
        /// The client, identified by its user agent.
        client: ClientId,
        /// Direction in which messages are dropped.
        partition: PartitionCommand,
    },
    /// Ends the partition of one client.
    Reconnect(ClientId),
    /// Ends outage, delay, stale reads, silent watches, partitions and write faults.
    Clear,
}

impl FaultCommand {
    /// Applies the command. Returns false for a rollback to a revision that is not in the history.
    pub fn apply(self, faults: &StoreFaults) -> bool {
        match self {
            Self::Outage(outage) => faults.set_outage(outage),
            Self::DelayMs(ms) => faults.set_delay(Duration::from_millis(ms)),
            Self::FailWrites { count, fault } => faults.fail_writes(count, fault.into()),
            Self::FailEvery { interval, fault } => faults.fail_every(interval, fault.into()),
            Self::StaleReads(revision) => faults.set_stale_reads(revision),
            Self::SilentWatches(silent) => faults.set_silent_watches(silent),
            Self::SilenceOpenWatches => faults.silence_open_watches(),
            Self::Compact => faults.compact(),
            Self::RollBack(revision) => return faults.roll_back(revision),
            Self::CutOff { client, partition } => faults.cut_off(client, partition.into()),
            Self::Reconnect(client) => faults.reconnect(&client),
            Self::Clear => faults.clear(),
        }
        true
    }
}

#[cfg(test)]
mod tests;
