//! Interfaces of the platform's instance list and instance control. The list lags behind the actual
//! state.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use cassiafold_config::{InstanceId, InstanceState, RackId, ZoneId};

/// An entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Declared rack.
    pub rack: RackId,
    /// Listed life-cycle state.
    pub state: InstanceState,
}

/// Failure to read the instance list.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The list could not be read.
    #[error("instance list unavailable: {0}")]
    Unavailable(Arc<str>),
    /// The list cannot be decoded.
    #[error("malformed instance list: {0}")]
    Malformed(Arc<str>),
}

/// Client of the instance list.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list, which lags behind the actual state.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedInstance>, ListError>> + Send;
}

/// Failure to control an instance.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The request had no effect.
    #[error("instance control unavailable: {0}")]
    Unavailable(Arc<str>),
    /// The response was lost; the instance may have been rebooted.
    #[error("outcome of the instance control request is unknown: {0}")]
    OutcomeUnknown(Arc<str>),
}

/// Client of the instance control.
pub trait InstanceControl: Clone + Send + Sync + 'static {
    /// Reboots an instance. `request_id` is an idempotency key: a retry with the same id does not
    /// reboot the instance again.
    fn reboot(
        &self,
        instance: &InstanceId,
        request_id: &str,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;
}
