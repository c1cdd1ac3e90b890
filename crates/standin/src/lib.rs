//! Small stand-ins of the platform for tests, the demo and the load tool.

pub mod backend;
pub mod instances;
pub mod store;

pub use backend::{Backend, BackendCounts, BackendOptions, Fault, FaultPlan};
pub use instances::MemoryInstances;
pub use store::MemoryStore;
