//! Settings of a process and the operators' versioned configuration.
//!
//! - [`settings`]: settings of one process, read from a YAML file at start.
//! - [`check`]: validation of settings and configuration files; reports each fault with its line.
//! - [`document`]: the validated configuration, shared by the whole fleet.
//! - [`active`]: the configuration in force in this process; its version never decreases.
//! - [`patch`]: patches that produce the next version of the configuration.
//! - [`key`]: API keys of teams, stored only as hashes.

pub mod active;
pub mod check;
mod decode;
pub mod document;
pub mod error;
pub mod id;
pub mod instance;
pub mod key;
mod node;
pub mod patch;
pub mod raw;
pub mod settings;
mod wire;

pub use active::ActiveConfig;
pub use check::{FileKind, check_file};
pub use document::{Config, Floor, Pool, Service, Team, Wave, Zone};
pub use error::{Fault, Faults};
pub use id::{InstanceId, PoolId, RackId, RegionId, ServiceId, TeamId, Version, WaveId, ZoneId};
pub use instance::{Instance, InstanceState};
pub use key::KeyHash;
pub use patch::Patch;
pub use settings::Settings;
