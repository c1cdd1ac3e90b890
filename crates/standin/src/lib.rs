//! Stand-ins of the platform and of backend servers, with fault injection, for tests, the demo and
//! the load tool.

pub mod backend;
pub mod calls;
pub mod command;
pub mod control;
pub mod faults;
pub mod gateway;
pub mod instances;
mod keyspace;
pub mod platform;
pub mod server;
mod state;
pub mod store;

pub use backend::{Backend, BackendCounts, BackendOptions, Fault, FaultPlan};
pub use calls::{CallCounts, CallKind};
pub use command::{FaultCommand, WriteFaultCommand};
pub use control::{ControlServer, InstanceCommand, ListServer, RebootFaultCommand, RebootMessage};
pub use faults::{ClientId, Partition, StoreFaults, WriteFault};
pub use gateway::Gateway;
pub use instances::{MemoryInstances, Reboot, RebootFault};
pub use platform::{Platform, PlatformAddresses};
pub use server::Server;
pub use store::{MemoryStore, MemoryWatch};
