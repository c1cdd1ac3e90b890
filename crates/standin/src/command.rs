//! Commands that set faults of the stand-in store over HTTP.

use std::time::Duration;

use cassiafold_platform::Revision;
use serde::{Deserialize, Serialize};

use crate::faults::{ClientId, Partition, StoreFaults, WriteFault};

/// What goes wrong with one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteFaultCommand {
    /// The write takes effect and its answer is lost.
    LostAnswer,
    /// The write is lost and has no effect.
    LostRequest,
    /// The answer is lost and the write takes effect after this many milliseconds.
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
    /// Requests take effect and their answers are lost.
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
    /// Lets the next writes fail.
    FailWrites {
        /// Number of writes.
        count: usize,
        /// What goes wrong.
        fault: WriteFaultCommand,
    },
    /// Lets writes fail at an interval.
    FailEvery {
        /// Number of writes from one failure to the next; 0 ends it.
        interval: u64,
        /// What goes wrong.
        fault: WriteFaultCommand,
    },
    /// Answers reads as of an older revision.
    StaleReads(Option<Revision>),
    /// Keeps all watches from delivering, until it is ended.
    SilentWatches(bool),
    /// Silences the watches that are open now for good.
    SilenceOpenWatches,
    /// Forgets the history.
    Compact,
    /// Restores an older revision.
    RollBack(Revision),
    /// Cuts one client off.
    CutOff {
        /// The client, known by its user agent.
        client: ClientId,
        /// Direction that is cut off.
        partition: PartitionCommand,
    },
    /// Ends the partition of one client.
    Reconnect(ClientId),
    /// Ends all faults that last.
    Clear,
}

impl FaultCommand {
    /// Carries the command out. Returns false where it cannot be.
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
