//! `GET /status` and `GET /metrics`.

use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use http::header::CONTENT_TYPE;

use crate::confirm;
use crate::router::OperatorApi;
use crate::source::{Sources, StatusSource};
use crate::wire::StatusResponse;

/// Media type of the OpenMetrics text format.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Returns the state of the entry instances as known to this one.
pub(crate) async fn status<S: Sources>(State(api): State<OperatorApi<S>>) -> Json<StatusResponse> {
    let status = api.sources.status().status().await;
    let version = api.active.version();
    let newest_version = version.max(confirm::highest_version(&status));
    let unconfirmed = confirm::unconfirmed(&status, newest_version);
    Json(StatusResponse { version, newest_version, unconfirmed, status })
}

/// Returns the metrics of this entry instance.
pub(crate) async fn metrics<S: Sources>(State(api): State<OperatorApi<S>>) -> Response {
    ([(CONTENT_TYPE, OPENMETRICS)], api.sources.metrics()).into_response()
}
