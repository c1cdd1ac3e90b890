//! HTTP interface for operators of an entry instance, with its own credential.
//!
//! - [`router`]: the routes.
//! - [`serve`](mod@serve): the server.
//! - [`source`]: traits through which the interface reaches the rest of the entry instance.
//! - [`wire`]: request and response bodies.
//! - [`versions`]: patches of the versioned configuration in the store.
//! - [`history`]: the change that made each version.

pub mod code;
mod config_routes;
pub mod confirm;
pub mod edit;
pub mod event;
mod fleet_routes;
mod fleet_wire;
pub mod history;
mod key_routes;
pub mod problem;
pub mod router;
pub mod serve;
pub mod source;
mod status_routes;
pub mod versions;
pub mod wire;

pub use code::OperatorsCode;
pub use event::OperatorsEvent;
pub use router::{Limits, OperatorApi};
pub use serve::serve;
pub use source::{FleetSource, Sources, StatusSource};
pub use versions::{ConfigStore, PatchError, PatchOutcome, PatchRequest};
