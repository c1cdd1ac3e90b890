//! Live entry instances, spread of configuration, escrowed upper limits and shares.
//!
//! - [`escrow`]: upper limits of teams over all entry instances.
//! - [`usage`]: running and waiting requests.
//! - [`roster`]: what is known of all entry instances.
//! - [`relay`]: to whom an entry instance reports.
//! - [`exchange`]: reports as changes only.

pub mod escrow;
pub mod event;
pub mod exchange;
pub mod identity;
pub mod relay;
pub mod roster;
pub mod usage;

pub use escrow::{Escrow, EscrowSettings, Permit};
pub use event::MembershipEvent;
pub use identity::Identity;
pub use roster::{Confirmation, Confirmations, LiveEntry, Roster};
pub use usage::{QueueId, TeamUsage, Usage, UsageSource};
