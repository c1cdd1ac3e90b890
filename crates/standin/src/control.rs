//! HTTP servers of the stand-in instance list and the stand-in instance control.
//!
//! Both accept an [`InstanceCommand`] at `POST /fault`. The control returns the reboots that took
//! place at `GET /reboots`.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cassiafold_config::{InstanceId, InstanceState};
use cassiafold_platform::discovery::LIST_PATH;
use cassiafold_platform::discovery::message::{EndpointSlice, EndpointSliceList};
use cassiafold_platform::redfish::{REQUEST_ID_HEADER, ResetRequest};
use cassiafold_platform::{ControlError, InstanceControl, InstanceList};
use futures_util::stream;
use http::header::{CONTENT_TYPE, ETAG, IF_NONE_MATCH};
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

use crate::instances::{MemoryInstances, Reboot, RebootFault};
use crate::server::Server;

/// Fault of one reboot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RebootFaultCommand {
    /// The request is rejected and has no effect.
    Refused,
    /// The instance is rebooted and the response is lost.
    LostAnswer,
    /// The request is lost and has no effect.
    LostRequest,
}

impl From<RebootFaultCommand> for RebootFault {
    fn from(command: RebootFaultCommand) -> Self {
        match command {
            RebootFaultCommand::Refused => Self::Refused,
            RebootFaultCommand::LostAnswer => Self::LostAnswer,
            RebootFaultCommand::LostRequest => Self::LostRequest,
        }
    }
}

/// A command as sent to `POST /fault`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum InstanceCommand {
    /// Sets the listed state of an instance to leaving or live.
    SetLeaving {
        /// The instance.
        instance: InstanceId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Removes an instance from the list.
    Remove(InstanceId),
    /// Delays the appearance of changes in the list by this many milliseconds.
    LagMs(u64),
    /// Starts or ends an outage of the instance list.
    ListOutage(bool),
    /// Starts or ends an outage of the instance control.
    ControlOutage(bool),
    /// Makes the next reboots fail.
    FailReboots {
        /// Number of reboots.
        count: usize,
        /// Fault of each such reboot.
        fault: RebootFaultCommand,
    },
}

impl InstanceCommand {
    /// Applies the command.
    pub fn apply(self, instances: &MemoryInstances) {
        match self {
            Self::SetLeaving { instance, leaving } => {
                let state = if leaving { InstanceState::Leaving } else { InstanceState::Live };
                instances.set_state(&instance, state);
            }
            Self::Remove(instance) => instances.remove(&instance),
            Self::LagMs(ms) => instances.set_lag(Duration::from_millis(ms)),
            Self::ListOutage(outage) => instances.set_list_outage(outage),
            Self::ControlOutage(outage) => instances.set_control_outage(outage),
            Self::FailReboots { count, fault } => instances.fail_reboots(count, fault.into()),
        }
    }
}

/// A reboot as returned by `GET /reboots`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RebootMessage {
    /// The instance.
    pub instance: InstanceId,
    /// Id of the request.
    pub request_id: std::sync::Arc<str>,
}

impl From<Reboot> for RebootMessage {
    fn from(reboot: Reboot) -> Self {
        Self { instance: reboot.instance, request_id: reboot.request_id }
    }
}

/// A running server of the instance list.
#[derive(Debug)]
pub struct ListServer {
    server: Server,
}

impl ListServer {
    /// Starts serving the list at `address`.
    pub async fn start(address: SocketAddr, instances: MemoryInstances) -> std::io::Result<Self> {
        let router = Router::new()
            .route(LIST_PATH, get(list))
            .route("/fault", post(fault))
            .with_state(instances);
        Ok(Self { server: Server::start(address, router).await? })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops listening and closes all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

/// A running server of the instance control.
#[derive(Debug)]
pub struct ControlServer {
    server: Server,
}

impl ControlServer {
    /// Starts serving the control at `address`.
    pub async fn start(address: SocketAddr, instances: MemoryInstances) -> std::io::Result<Self> {
        let path = "/redfish/v1/Systems/{instance}/Actions/ComputerSystem.Reset";
        let router = Router::new()
            .route(path, post(reset))
            .route("/reboots", get(reboots))
            .route("/fault", post(fault))
            .with_state(instances);
        Ok(Self { server: Server::start(address, router).await? })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops listening and closes all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

async fn list(State(instances): State<MemoryInstances>, headers: HeaderMap) -> Response {
    let Ok(listed) = instances.list().await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let items = listed.iter().map(EndpointSlice::from).collect();
    let Ok(body) = serde_json::to_vec(&EndpointSliceList { items }) else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let etag = format!("\"{}\"", blake3::hash(&body).to_hex());
    if headers.get(IF_NONE_MATCH).is_some_and(|known| known.as_bytes() == etag.as_bytes()) {
        return (StatusCode::NOT_MODIFIED, [(ETAG, etag)]).into_response();
    }
    ([(ETAG, etag), (CONTENT_TYPE, "application/json".to_owned())], body).into_response()
}

async fn reset(
    State(instances): State<MemoryInstances>,
    Path(instance): Path<InstanceId>,
    headers: HeaderMap,
    Json(ResetRequest { reset_type: _ }): Json<ResetRequest>,
) -> Response {
    let request_id = headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
    let Some(request_id) = request_id else { return StatusCode::BAD_REQUEST.into_response() };
    match instances.reboot(&instance, request_id).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(ControlError::Unavailable(_)) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Err(ControlError::OutcomeUnknown(reason)) => {
            truncated_response(std::io::Error::other(reason.to_string()))
        }
    }
}

/// Returns a response whose connection is closed before its end.
fn truncated_response(error: std::io::Error) -> Response {
    Body::from_stream(stream::once(async move { Err::<Vec<u8>, _>(error) })).into_response()
}

async fn reboots(State(instances): State<MemoryInstances>) -> Json<Vec<RebootMessage>> {
    Json(instances.reboots().into_iter().map(RebootMessage::from).collect())
}

async fn fault(
    State(instances): State<MemoryInstances>,
    Json(command): Json<InstanceCommand>,
) -> StatusCode {
    command.apply(&instances);
    StatusCode::NO_CONTENT
}
