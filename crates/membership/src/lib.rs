//! Live entry instances, spread of configuration, escrowed upper limits and shares.
//!
//! - [`escrow`]: upper limits of teams over all entry instances.
//! - [`usage`]: running and waiting requests.

pub mod escrow;
pub mod event;
pub mod usage;

pub use escrow::{Escrow, EscrowSettings, Permit};
pub use event::MembershipEvent;
pub use usage::{QueueId, TeamUsage, Usage, UsageSource};
