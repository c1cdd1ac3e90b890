//! Settings of a process and the operators' numbered configuration.
//!
//! - [`settings`]: what one process is told at start, from a YAML file.
//! - [`check`]: both, with every fault at its line.
//! - [`document`]: the operators' configuration, shared by the whole fleet.
//! - [`active`]: the configuration in force in this process, which never reverts.
//! - [`patch`]: patches that make the next version of the configuration.
//! - [`key`]: keys of teams, kept as hashes only.

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
