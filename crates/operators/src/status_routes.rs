//! `GET /status` and `GET /metrics`.

use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use http::header::CONTENT_TYPE;

use crate::confirm;
use crate::router::OperatorApi;
use crate::source::{Sources, StatusSource};
use crate::wire::StatusAnswer;

/// Media type of metrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// State of the entry instances as this one knows it.
pub(crate) async fn status<S: Sources>(
    State(operators): State<OperatorApi<S>>,
) -> Json<StatusAnswer> {
    let status = operators.sources.status().status().await;
    let version = operators.active.version();
    let newest_version = version.max(confirm::highest_version(&status));
    let unconfirmed = confirm::unconfirmed(&status, newest_version);
    Json(StatusAnswer { version, newest_version, unconfirmed, status })
}

/// Metrics of this entry instance.
pub(crate) async fn metrics<S: Sources>(State(operators): State<OperatorApi<S>>) -> Response {
    ([(CONTENT_TYPE, OPENMETRICS)], operators.sources.metrics()).into_response()
}
