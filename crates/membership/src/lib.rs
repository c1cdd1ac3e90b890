//! State that entry instances share: live instances, configuration, escrowed upper limits and
//! shares.
//!
//! - [`membership`]: joins one entry instance to the fleet; the entry point of this crate.
//! - [`escrow`]: upper limits of teams over all entry instances.
//! - [`shares`]: weighted max-min over all entry instances.
//! - [`usage`]: running and waiting requests.
//! - [`roster`]: table of all known entry instances.
//! - [`directory`]: registrations in the key-value service.
//! - [`peers`]: connections between entry instances.
//! - [`relay`]: choice of the peers to which an entry instance reports.
//! - [`exchange`]: delta encoding of reports on a connection.
//! - [`config_sync`]: receives configurations from the key-value service and from peers.
//! - [`control`]: election of the entry instance that runs work for the whole fleet.

pub mod config_sync;
pub mod contact;
pub mod control;
pub mod directory;
pub mod escrow;
pub mod event;
pub mod exchange;
pub mod identity;
pub mod membership;
pub mod peers;
pub mod relay;
pub mod roster;
pub mod shares;
pub mod usage;

pub use config_sync::{ConfigSync, ConfigSyncCounts};
pub use contact::StoreContact;
pub use control::{ControlLease, ControlTerm};
pub use escrow::{Escrow, EscrowSettings, Permit};
pub use event::MembershipEvent;
pub use identity::Identity;
pub use membership::{Membership, MembershipSettings, Readiness};
pub use peers::{PeersSettings, Traffic};
pub use roster::{Confirmation, Confirmations, LiveEntry, Roster};
pub use shares::{Shares, TeamWeight};
pub use usage::{QueueId, TeamUsage, Usage, UsageSource};
