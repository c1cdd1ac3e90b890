//! Routes of the operators' interface.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::Router;
use axum::extract::rejection::BytesRejection;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::Response;
use axum::routing::{get, post};
use cassiafold_config::id::is_valid_id;
use cassiafold_config::{ActiveConfig, KeyHash, Settings};
use cassiafold_event::emit;
use cassiafold_platform::VALUE_BYTES_MAX;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout};

use crate::code::OperatorsCode;
use crate::confirm;
use crate::edit::EditContext;
use crate::event::OperatorsEvent;
use crate::problem::{PROBLEM_JSON, Problem};
use crate::source::Sources;
use crate::versions::ConfigStore;
use crate::wire::OPERATOR_HEADER;
use crate::{config_routes, fleet_routes, key_routes, status_routes};

/// Operator name recorded for requests without the operator header.
const UNNAMED_OPERATOR: &str = "unnamed";

/// Time added to the request timeout before the whole request is aborted, so that a handler which
/// reaches its own deadline can still respond.
const TIMEOUT_GRACE: Duration = Duration::from_millis(500);

/// The operators' interface of one entry instance.
#[derive(Debug, Clone)]
pub struct OperatorApi<S: Sources> {
    pub(crate) sources: S,
    pub(crate) configs: ConfigStore<S::Store>,
    pub(crate) active: ActiveConfig,
    pub(crate) limits: Limits,
    credential: KeyHash,
}

/// Time limits of the operators' interface.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest wait for all entry instances to confirm an accepted change.
    pub confirm_wait: Duration,
    /// Longest duration of one request.
    pub timeout: Duration,
}

impl Limits {
    /// Returns the deadline for a configuration change that starts now: the request timeout without
    /// the wait for confirmation.
    pub(crate) fn change_deadline(&self) -> Instant {
        Instant::now() + self.timeout.saturating_sub(self.confirm_wait)
    }
}

impl From<&Settings> for Limits {
    fn from(settings: &Settings) -> Self {
        Self { confirm_wait: settings.confirm_wait, timeout: settings.operators_timeout }
    }
}

impl<S: Sources> OperatorApi<S> {
    /// Creates the interface over `sources` for requests that present the credential.
    pub fn new(sources: S, active: ActiveConfig, credential: KeyHash, limits: Limits) -> Self {
        let configs = ConfigStore::new(sources.store().clone(), active.clone());
        Self { sources, configs, active, limits, credential }
    }

    /// Returns the routes of the interface. Each request must present the credential.
    pub fn router(self) -> Router {
        Router::new()
            .route("/config", get(config_routes::get::<S>).patch(config_routes::patch::<S>))
            .route("/config/history", get(config_routes::history::<S>))
            .route("/keys", post(key_routes::grant::<S>).delete(key_routes::withdraw::<S>))
            .route("/zones/{zone}/out", post(fleet_routes::zone_out::<S>))
            .route("/zones/{zone}/in", post(fleet_routes::zone_in::<S>))
            .route("/status", get(status_routes::status::<S>))
            .route("/metrics", get(status_routes::metrics::<S>))
            .route("/explain/{subject}/{id}", get(fleet_routes::explain::<S>))
            .route("/report", get(fleet_routes::report::<S>))
            .route("/pools", get(fleet_routes::pools::<S>))
            .route("/pools/{pool}/move", post(fleet_routes::move_instances::<S>))
            .route("/waves", get(fleet_routes::waves::<S>))
            .route("/waves/{wave}/start", post(fleet_routes::wave_start::<S>))
            .route("/waves/{wave}/pause", post(fleet_routes::wave_pause::<S>))
            .route("/waves/{wave}/resume", post(fleet_routes::wave_resume::<S>))
            .fallback(unknown_path)
            .method_not_allowed_fallback(unknown_path)
            .layer(DefaultBodyLimit::max(VALUE_BYTES_MAX))
            .layer(from_fn_with_state(self.clone(), guard::<S>))
            .with_state(self)
    }

    /// Returns the context of a change that starts now.
    ///
    /// Fails when the operator header is not a valid id.
    pub(crate) async fn edit_context(&self, headers: &HeaderMap) -> Result<EditContext, Problem> {
        Ok(EditContext {
            operator: operator_name(headers)?,
            unix_s: unix_s_now(),
            known_version: confirm::known_version(self.sources.status()).await,
        })
    }
}

/// Checks the credential, applies the timeout and turns error responses of the HTTP library into
/// problem documents.
async fn guard<S: Sources>(
    State(api): State<OperatorApi<S>>,
    request: Request,
    next: Next,
) -> Result<Response, Problem> {
    if !is_authorized(request.headers(), api.credential) {
        emit!(OperatorsEvent::CredentialRefused, path = request.uri().path());
        return Err(OperatorsCode::CredentialInvalid.into());
    }
    let limit = api.limits.timeout + TIMEOUT_GRACE;
    let response = timeout(limit, next.run(request)).await.map_err(|_| OperatorsCode::TimedOut)?;
    if response.status().is_client_error() && !is_problem(&response) {
        return Err(Problem::malformed(response.status()));
    }
    Ok(response)
}

/// Returns whether an error response is already a problem document, rather than one that the HTTP
/// library produced.
fn is_problem(response: &Response) -> bool {
    response.headers().get(CONTENT_TYPE).is_some_and(|value| value == PROBLEM_JSON)
}

fn is_authorized(headers: &HeaderMap, credential: KeyHash) -> bool {
    let presented = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let presented = presented.and_then(|value| value.strip_prefix("Bearer "));
    presented.is_some_and(|presented| KeyHash::of(presented) == credential)
}

async fn unknown_path() -> Problem {
    OperatorsCode::PathUnknown.into()
}

fn operator_name(headers: &HeaderMap) -> Result<Arc<str>, Problem> {
    let Some(value) = headers.get(OPERATOR_HEADER) else { return Ok(UNNAMED_OPERATOR.into()) };
    let name = value.to_str().ok().filter(|name| is_valid_id(name));
    name.map(Arc::from)
        .ok_or_else(|| Problem::malformed(format!("{OPERATOR_HEADER} must be an id")))
}

/// Parses a JSON body.
pub(crate) fn read_json<T: DeserializeOwned>(
    body: Result<axum::body::Bytes, BytesRejection>,
) -> Result<T, Problem> {
    let body = body.map_err(|rejection| match rejection.status() {
        StatusCode::PAYLOAD_TOO_LARGE => Problem::from(OperatorsCode::RequestTooLarge),
        _ => Problem::malformed(rejection),
    })?;
    serde_json::from_slice(&body).map_err(Problem::malformed)
}

fn unix_s_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
