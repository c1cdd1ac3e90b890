//! How the incarnation of a worker ends.

use std::fmt;

/// How the owner learned that an incarnation of a worker has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationEnd {
    /// The worker reports a later start.
    Restarted,
    /// Its entry names another address.
    EntryReplaced,
    /// Another worker responds at its address.
    AddressReused,
    /// It did not respond, and its machine is listed as down.
    MachineDown,
    /// It did not respond, and its machine is listed as running another worker.
    MachineRunsOther,
    /// It did not respond, and no machine is listed that ran it.
    MachineUnlisted,
    /// Its entry moved to another service, or its machine was moved or maintained.
    MachineOrdered,
    /// It was draining.
    Drained,
    /// Its entry went, and the lease of its runs expired without a response.
    LeaseExpired,
}

impl IncarnationEnd {
    /// Whether the worker crashed: it ended though nobody wanted it to, and not only contact was
    /// lost.
    pub fn is_crash(self) -> bool {
        matches!(
            self,
            Self::Restarted
                | Self::EntryReplaced
                | Self::AddressReused
                | Self::MachineDown
                | Self::MachineRunsOther
        )
    }
}

impl fmt::Display for IncarnationEnd {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Restarted => "restarted",
            Self::EntryReplaced => "entry_replaced",
            Self::AddressReused => "address_reused",
            Self::MachineDown => "machine_down",
            Self::MachineRunsOther => "machine_runs_other",
            Self::MachineUnlisted => "machine_unlisted",
            Self::MachineOrdered => "machine_ordered",
            Self::Drained => "drained",
            Self::LeaseExpired => "lease_expired",
        })
    }
}
