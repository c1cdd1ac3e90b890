//! Call counts of the stand-in store.

use std::iter::Sum;

use serde::{Deserialize, Serialize};

/// Kind of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one key.
    Get,
    /// Read of all keys with a prefix.
    List,
    /// Conditional write.
    Write,
    /// Grant of a lease.
    GrantLease,
    /// Renewal of a lease.
    KeepAlive,
    /// Revocation of a lease.
    RevokeLease,
    /// Start of a watch; deliveries are not counted.
    Watch,
}

/// Number of calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of one key.
    pub gets: u64,
    /// Reads of all keys with a prefix.
    pub lists: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Grants of leases.
    pub grants: u64,
    /// Renewals of leases.
    pub keep_alives: u64,
    /// Revocations of leases.
    pub revokes: u64,
    /// Starts of watches; deliveries are not counted.
    pub watches: u64,
}

impl CallCounts {
    pub(crate) fn add(&mut self, kind: CallKind) {
        let count = match kind {
            CallKind::Get => &mut self.gets,
            CallKind::List => &mut self.lists,
            CallKind::Write => &mut self.writes,
            CallKind::GrantLease => &mut self.grants,
            CallKind::KeepAlive => &mut self.keep_alives,
            CallKind::RevokeLease => &mut self.revokes,
            CallKind::Watch => &mut self.watches,
        };
        *count += 1;
    }

    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.gets
            + self.lists
            + self.writes
            + self.grants
            + self.keep_alives
            + self.revokes
            + self.watches
    }
}

impl Sum for CallCounts {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::default(), |a, b| Self {
            gets: a.gets + b.gets,
            lists: a.lists + b.lists,
            writes: a.writes + b.writes,
            grants: a.grants + b.grants,
            keep_alives: a.keep_alives + b.keep_alives,
            revokes: a.revokes + b.revokes,
            watches: a.watches + b.watches,
        })
    }
}
