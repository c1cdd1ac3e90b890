//! Small stand-ins of the platform for tests, the demo and the load tool.

pub mod backend;
pub mod calls;
pub mod faults;
pub mod instances;
mod keyspace;
mod state;
pub mod store;

pub use backend::{Backend, BackendCounts, BackendOptions, Fault, FaultPlan};
pub use calls::{CallCounts, CallKind};
pub use faults::{ClientId, Partition, StoreFaults, WriteFault};
pub use instances::MemoryInstances;
pub use store::{MemoryStore, MemoryWatch};
