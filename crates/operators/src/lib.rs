//! Operators' interface of an entry instance: HTTP with a credential of its own.
//!
//! - [`router`]: the routes.
//! - [`serve`](mod@serve): the server.
//! - [`source`]: what the interface asks of the rest of the entry instance.
//! - [`wire`]: bodies of requests and answers.
//! - [`versions`]: patches of the numbered configuration in the store.
//! - [`history`]: who made which version.

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
