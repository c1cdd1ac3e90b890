//! Enforces upper limits of teams over all entry instances by escrow: each instance holds a slice
//! of each limit.
//!
//! The ledger in the key-value service records how many tokens of each team's upper limit each
//! entry instance holds. It is changed by compare-and-swap only. Only the holder lowers its own
//! slices, and it stops using the tokens before it writes the change. A holder that cannot reach
//! the service keeps using its slices for [`EscrowSettings::slice_validity`] after its last write
//! of the ledger, checked against its monotonic clock whenever it starts work. The other holders
//! reclaim the slices once the ledger has contained no new write of that holder for this time plus
//! the longest deadline of its work.
//!
//! - [`ledger`]: the stored document.
//! - [`plan`]: changes that one holder makes to the ledger.
//! - [`max_min`]: integer max-min division of tokens.
//! - [`local`]: permits for the request path.
//! - [`demand`]: demand of each team at the holder.
//! - [`expiry`]: detects holders whose slices have expired.
//! - [`restore`]: handles a ledger that was restored to an older state.
//! - [`keeper`]: reads and writes the ledger.

pub mod demand;
pub mod expiry;
pub mod keeper;
pub mod ledger;
pub mod local;
pub mod max_min;
pub mod plan;
pub mod restore;

use std::time::Duration;

pub use keeper::Keeper;
pub use ledger::{Holder, HolderId, Incarnation, LEDGER_KEY, Ledger, LedgerError, Slice};
pub use local::{Escrow, Permit};

/// Durations that govern the escrow.
#[derive(Debug, Clone, Copy)]
pub struct EscrowSettings {
    /// Time for which slices may be used after the last confirmed write of the ledger.
    pub slice_validity: Duration,
    /// Longest pause of the process after which slices stay valid; after a longer one, a write of
    /// the ledger has to confirm them.
    pub pause_max: Duration,
    /// Interval at which demand and ledger are checked.
    pub interval: Duration,
}

impl Default for EscrowSettings {
    fn default() -> Self {
        Self {
            slice_validity: Duration::from_secs(3_600),
            pause_max: Duration::from_secs(10),
            interval: Duration::from_secs(1),
        }
    }
}
