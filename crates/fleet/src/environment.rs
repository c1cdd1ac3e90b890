//! Interface of the controller to its dependencies.

use std::future::Future;
use std::sync::Arc;
use std::time::SystemTime;

use cassiafold_config::Config;
use cassiafold_platform::{InstanceControl, InstanceList, ListedInstance, Store};

use crate::view::Observations;

/// Dependencies of the controller: the platform, the reports of the entry instances and the control
/// lease.
pub trait Environment: Send + Sync + 'static {
    /// Client of the key-value service.
    type Store: Store;
    /// Client of the instance list.
    type List: InstanceList;
    /// Client of the instance control.
    type Control: InstanceControl;

    /// Client of the key-value service.
    fn store(&self) -> &Self::Store;

    /// Client of the instance list.
    fn list(&self) -> &Self::List;

    /// Client of the instance control.
    fn control(&self) -> &Self::Control;

    /// Current configuration set by the operators; `None` before it is known.
    fn config(&self) -> Option<Arc<Config>>;

    /// Merged reports of the entry instances; `None` if they are too old to plan with.
    fn observations(&self) -> Option<Observations>;

    /// Sends one idempotent trial request to an instance that gets no other work. Returns whether
    /// it succeeded.
    fn send_trial_request(&self, instance: &ListedInstance) -> impl Future<Output = bool> + Send;

    /// Whether this process is certain to hold the control lease now.
    fn holds_control(&self) -> bool;

    /// Current wall-clock time.
    fn now(&self) -> SystemTime {
        SystemTime::now()
    }
}
