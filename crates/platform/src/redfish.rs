//! Client of an instance control that follows Redfish.
//!
//! A reboot is the action `ComputerSystem.Reset`. The request id is sent in a header as idempotency
//! key, so a request whose response was lost can be retried without a second reboot.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cassiafold_config::InstanceId;
use http::{Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http::{CallError, HttpClient};
use crate::instances::{ControlError, InstanceControl};

/// Header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Maximum size of a response, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1024;

/// Body of the action `ComputerSystem.Reset`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResetRequest {
    /// Type of the reset.
    #[serde(rename = "ResetType")]
    pub reset_type: ResetType,
}

/// Type of a reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResetType {
    /// The system shuts down gracefully and starts again.
    GracefulRestart,
}

/// Client of the instance control. Clones share connections.
#[derive(Debug, Clone)]
pub struct HttpInstanceControl {
    http: HttpClient,
    timeout: Duration,
}

impl HttpInstanceControl {
    /// Creates a client that sends `client` as user agent and whose calls time out after `timeout`.
    pub fn new(address: SocketAddr, client: impl Into<Arc<str>>, timeout: Duration) -> Self {
        Self { http: HttpClient::new(&[address], client), timeout }
    }
}

impl InstanceControl for HttpInstanceControl {
    async fn reboot(&self, instance: &InstanceId, request_id: &str) -> Result<(), ControlError> {
        let request = reset_request(instance, request_id)?;
        let deadline = Instant::now() + self.timeout;
        match self.http.call(request, deadline, RESPONSE_BYTES_MAX).await {
            Ok(response) => response_result(response.status),
            Err(CallError::NotSent(reason)) => Err(ControlError::Unavailable(reason)),
            Err(error) => Err(ControlError::OutcomeUnknown(error.to_string().into())),
        }
    }
}

fn reset_request(instance: &str, request_id: &str) -> Result<Request<Bytes>, ControlError> {
    let refused = |reason: &str| ControlError::Unavailable(reason.into());
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if instance.is_empty() || instance.starts_with('.') || !instance.bytes().all(is_plain) {
        return Err(refused("instance id contains characters that are not allowed in a path"));
    }
    let body = ResetRequest { reset_type: ResetType::GracefulRestart };
    let body = serde_json::to_vec(&body).map_err(|error| refused(&error.to_string()))?;
    Request::post(format!("/redfish/v1/Systems/{instance}/Actions/ComputerSystem.Reset"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID_HEADER, request_id)
        .body(body.into())
        .map_err(|error| refused(&error.to_string()))
}

/// Maps the status of a response to a result. A request that the service refused had no effect; one
/// that failed within the service may have had one.
fn response_result(status: StatusCode) -> Result<(), ControlError> {
    let reason = || format!("status {status}").into();
    if status.is_success() {
        return Ok(());
    }
    match status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        true => Err(ControlError::Unavailable(reason())),
        false => Err(ControlError::OutcomeUnknown(reason())),
    }
}

#[cfg(test)]
mod tests;
