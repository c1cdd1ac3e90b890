//! The platform's lagging list of instances and its control of instances.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use cassiafold_config::{InstanceId, InstanceState, RackId, ZoneId};

/// One instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Availability zone in which it stands.
    pub zone: ZoneId,
    /// Declared rack.
    pub rack: RackId,
    /// Life cycle as listed.
    pub state: InstanceState,
}

/// Failure to read the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The list could not be read.
    #[error("instance list unavailable: {0}")]
    Unavailable(Arc<str>),
    /// The list cannot be understood.
    #[error("malformed instance list: {0}")]
    Malformed(Arc<str>),
}

/// Client of the list of instances.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list, which lags behind what happens.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedInstance>, ListError>> + Send;
}

/// Failure to control an instance.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The request had no effect.
    #[error("instance control unavailable: {0}")]
    Unavailable(Arc<str>),
    /// The answer was lost; the instance may have been rebooted.
    #[error("outcome of the instance control request is unknown: {0}")]
    OutcomeUnknown(Arc<str>),
}

/// Client of the control of instances.
pub trait InstanceControl: Clone + Send + Sync + 'static {
    /// Reboots an instance. `request_id` makes a repeat find the first request.
    fn reboot(
        &self,
        instance: &InstanceId,
        request_id: &str,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;
}
