//! Clients of what the platform gives: the key-value service, the list of instances and the
//! control of instances. Each is a small trait, so that tests can put a fake in its place.

pub mod instances;
pub mod store;

pub use instances::{ControlError, InstanceControl, InstanceList, ListError, ListedInstance};
pub use store::{
    Change, Compare, LeaseId, Operation, Record, Revision, Snapshot, Store, StoreError,
    VALUE_BYTES_MAX, Watch, Write, WriteOutcome,
};
