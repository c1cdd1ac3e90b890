//! Operators' interface of an entry instance: HTTP with a credential of its own.
//!
//! - [`versions`]: patches of the numbered configuration in the store.
//! - [`history`]: who made which version.

pub mod code;
pub mod edit;
pub mod event;
pub mod history;
pub mod versions;

pub use code::OperatorsCode;
pub use event::OperatorsEvent;
pub use versions::{ConfigStore, PatchError, PatchOutcome, PatchRequest};
