//! Clients of the services of the platform: the key-value service, the instance list and the
//! instance control. Each is a trait, so that tests can use a fake.

pub mod backoff;
pub mod clock;
pub mod discovery;
pub mod document;
pub mod etcd;
pub mod event;
pub mod hedge;
pub mod http;
pub mod instances;
pub mod lease;
pub mod metrics;
pub mod redfish;
pub mod store;
pub mod update;

pub use backoff::Backoff;
pub use clock::{Moment, since_boot};
pub use discovery::HttpInstanceList;
pub use document::{Document, DocumentError, Envelope, WriteId, WriteLog, Writer};
pub use etcd::{EtcdSettings, EtcdStore, EtcdWatch};
pub use event::PlatformEvent;
pub use hedge::Hedge;
pub use http::{Answer, CallError, Download, DownloadLimits, HttpClient};
pub use instances::{ControlError, InstanceControl, InstanceList, ListError, ListedInstance};
pub use lease::{LeaseKeeper, LeaseValidity, Stamp};
pub use metrics::{CallOutcome, StoreCall, StoreMetrics};
pub use redfish::HttpInstanceControl;
pub use store::{
    Change, Compare, Effect, Expectation, LeaseId, Operation, Page, Record, Revision, Snapshot,
    Store, StoreError, Transaction, TransactionOutcome, TransactionalStore, VALUE_BYTES_MAX, Watch,
    Write, WriteOutcome,
};
pub use update::{NotApplied, UpdateOutcome, update};
