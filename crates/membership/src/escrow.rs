//! Upper limits of teams over all entry instances, by escrowed slices.
//!
//! The ledger in the key-value service says how many tokens of each team's upper limit each entry
//! instance holds. It is changed by compare-and-swap only, and only a holder lowers its own
//! slices, after it has taken the tokens from its own use. A holder that cannot reach the service
//! goes on with what it holds for [`EscrowSettings::slice_validity`] after its last write of the ledger,
//! measured on its monotonic clock at each start of work. Its slices return to the others when the
//! ledger has shown no write of it for that time and the longest deadline of its work.
//!
//! - [`ledger`]: the document.
//! - [`plan`]: what one holder changes in it.
//! - [`local`]: tokens as the request path sees them.
//! - [`demand`]: what the holder needs.
//! - [`expiry`]: holders whose slices return.
//! - [`restore`]: a ledger that went back to an older state.
//! - [`keeper`]: reads and writes the document.

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

/// Times of the escrow.
#[derive(Debug, Clone, Copy)]
pub struct EscrowSettings {
    /// Time for which slices may be used after the last confirmed write of the ledger.
    pub slice_validity: Duration,
    /// Pause of the process after which slices need a new confirmation.
    pub pause_max: Duration,
    /// Time between two looks at demand and ledger.
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
