//! What surrounds the controller.

use std::future::Future;
use std::sync::Arc;
use std::time::SystemTime;

use cassiafold_config::Config;
use cassiafold_platform::{InstanceControl, InstanceList, ListedInstance, Store};

use crate::view::Observations;

/// What surrounds the controller: the platform, the entry instances' reports and the lease.
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

    /// Operators' configuration in force.
    fn config(&self) -> Option<Arc<Config>>;

    /// Reports of the entry instances; `None` when they are too old to plan on.
    fn observations(&self) -> Option<Observations>;

    /// Sends one idempotent trial request to an instance that takes no other work.
    fn send_trial_request(&self, instance: &ListedInstance) -> impl Future<Output = bool> + Send;

    /// Whether this process surely holds the control lease at this moment.
    fn holds_control(&self) -> bool;

    /// Wall clock.
    fn now(&self) -> SystemTime {
        SystemTime::now()
    }
}
