//! HTTP API for callers.
//!
//! `/queues/{service}/{path}` accepts requests of any method. The platform's load balancer checks
//! `/ready` and `/live`.

use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get};
use cassiafold_config::{ActiveConfig, Config, Service, ServiceId, TeamId, ZoneId};
use cassiafold_event::emit;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, StatusCode};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::accepted_request::{ANONYMOUS_TEAM, AcceptedRequest};
use crate::attempt::PreparedRequest;
use crate::body::PreparedBody;
use crate::code::DispatchCode;
use crate::dependencies::Dependencies;
use crate::dispatcher::{Dispatcher, Instances};
use crate::event::DispatchEvent;
use crate::in_flight::InFlightRequests;
use crate::metrics::Metrics;
use crate::problem::Problem;
use crate::proxy::Proxy;
use crate::request::{self, REQUEST_ID};

/// Log target of this module, which operators' log filters match.
const LOG_TARGET: &str = "cassiafold_dispatch::callers";

/// Lifecycle phase of an entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests and is ready.
    Serving,
    /// Accepts requests, but reports not ready so that the load balancer sends no more.
    Leaving,
    /// Refuses new requests and finishes the accepted ones.
    Draining,
}

/// The request path of one entry instance. Clones share their state.
pub struct CallerApi<E: Dependencies> {
    shared: Arc<Shared<E>>,
}

impl<E: Dependencies> Clone for CallerApi<E> {
    fn clone(&self) -> Self {
        Self { shared: self.shared.clone() }
    }
}

struct Shared<E: Dependencies> {
    config: ActiveConfig,
    dispatcher: Dispatcher<E>,
    proxy: Proxy<E>,
    in_flight: InFlightRequests,
    phase: watch::Sender<Phase>,
}

impl<E: Dependencies> CallerApi<E> {
    /// Starts the request path of an entry instance in zone `home`. Must be called within a Tokio
    /// runtime.
    pub fn start(
        dependencies: E,
        config: ActiveConfig,
        instances: Instances,
        home: ZoneId,
        metrics: Metrics,
    ) -> Self {
        let in_flight = InFlightRequests::new(metrics.clone());
        let dispatcher = Dispatcher::start(dependencies.clone(), &config, instances, home, metrics);
        let proxy = Proxy::start(dependencies, dispatcher.clone());
        let phase = watch::Sender::new(Phase::Serving);
        Self { shared: Arc::new(Shared { config, dispatcher, proxy, in_flight, phase }) }
    }

    /// Returns the dispatcher, which owns queues and slots.
    pub fn dispatcher(&self) -> &Dispatcher<E> {
        &self.shared.dispatcher
    }

    /// Returns the proxy, which makes the attempts and owns the connections.
    pub fn proxy(&self) -> &Proxy<E> {
        &self.shared.proxy
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> &InFlightRequests {
        &self.shared.in_flight
    }

    /// Sets the lifecycle phase.
    pub fn set_phase(&self, phase: Phase) {
        self.shared.phase.send_replace(phase);
    }

    /// Whether the load balancer should send requests here: the instance is serving and has a
    /// configuration and a list of backend servers.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.shared.config.load().is_some()
            && self.shared.dispatcher.has_instances()
    }

    fn phase(&self) -> Phase {
        *self.shared.phase.borrow()
    }
}

/// Returns the routes of the caller API.
pub fn router<E: Dependencies>(caller_api: CallerApi<E>) -> Router {
    Router::new()
        .route("/queues/{service}", any(handle_root::<E>))
        .route("/queues/{service}/", any(handle_root::<E>))
        .route("/queues/{service}/{*path}", any(handle_path::<E>))
        .route("/ready", get(ready::<E>))
        .route("/live", get(live))
        .with_state(caller_api)
}

async fn live() -> &'static str {
    "live\n"
}

async fn ready<E: Dependencies>(State(caller_api): State<CallerApi<E>>) -> Response {
    if caller_api.is_ready() {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
}

async fn handle_root<E: Dependencies>(
    State(caller_api): State<CallerApi<E>>,
    Path(service): Path<ServiceId>,
    request: Request,
) -> Response {
    handle(&caller_api, service, request).await
}

async fn handle_path<E: Dependencies>(
    State(caller_api): State<CallerApi<E>>,
    Path((service, _)): Path<(ServiceId, String)>,
    request: Request,
) -> Response {
    handle(&caller_api, service, request).await
}

/// Handles one request. Responses and refusals carry the request id, unless the caller's id is
/// invalid.
async fn handle<E: Dependencies>(
    caller_api: &CallerApi<E>,
    service_id: ServiceId,
    request: Request,
) -> Response {
    let id = request::request_id(request.headers());
    let result = match &id {
        Ok(id) => serve(caller_api, service_id, id.clone(), request).await,
        Err(code) => Err(Problem::not_run(*code)),
    };
    let mut response = result.unwrap_or_else(|problem| {
        caller_api.dispatcher().metrics().count_refusal(&problem);
        let id = id.as_ref().map_or("", |id| id);
        emit!(
            target: LOG_TARGET,
            DispatchEvent::RequestRefused,
            code = problem.code.row().number,
            request = id
        );
        problem.into_response()
    });
    if let Ok(value) = HeaderValue::from_str(id.as_ref().map_or("", |id| id))
        && !value.is_empty()
    {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// Checks a request, waits for its body and has the proxy run it.
async fn serve<E: Dependencies>(
    caller_api: &CallerApi<E>,
    service_id: ServiceId,
    id: request::RequestId,
    request: Request,
) -> Result<Response, Problem> {
    let not_run = Problem::not_run;
    if caller_api.phase() == Phase::Draining {
        return Err(not_run(DispatchCode::Stopping).with_retry_after(STOPPING_RETRY_AFTER));
    }
    let config = caller_api.shared.config.load().ok_or(not_run(DispatchCode::NotReady))?;
    let service = config.services.get(&service_id).ok_or(not_run(DispatchCode::UnknownQueue))?;
    let (parts, body) = request.into_parts();
    let caller =
        authorize(&config, service, &parts.headers).ok_or(not_run(DispatchCode::InvalidKey))?;
    let uri = request::forward_uri(&parts.uri).map_err(not_run)?;
    let deadline = Instant::now() + request::deadline(&parts.headers, service).map_err(not_run)?;
    let accepted = Arc::new(AcceptedRequest {
        id,
        service: service_id,
        team: caller.team,
        key: caller.key,
        checked_version: config.version,
        idempotent: request::is_idempotent(&parts.method),
        deadline,
    });
    let guard = caller_api.in_flight().track(accepted.clone());
    let reading = PreparedBody::read(body, service.body_max_bytes);
    let body = match timeout_at(deadline, reading).await {
        Ok(body) => body.map_err(not_run)?,
        Err(_) => return Err(not_run(DispatchCode::BodyBroken)),
    };
    let prepared = PreparedRequest { method: parts.method, uri, headers: parts.headers, body };
    let mut response = caller_api.proxy().run(&accepted, prepared).await?;
    request::strip_hop_by_hop(response.headers_mut());
    Ok(response.map(|body| Body::new(body.with_in_flight_guard(guard))))
}

/// `Retry-After` of a stopping entry instance; the retry reaches another instance.
const STOPPING_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// An authorized caller.
struct Caller {
    team: TeamId,
    key: Option<Arc<str>>,
}

/// Determines the team of a caller from its bearer token. At an open queue, a caller without a key
/// belongs to [`ANONYMOUS_TEAM`].
fn authorize(config: &Config, service: &Service, headers: &HeaderMap) -> Option<Caller> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return service.open.then(|| Caller { team: ANONYMOUS_TEAM.into(), key: None });
    };
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return None;
    }
    let key = key.trim();
    let team = config.team_for_key(key)?.clone();
    Some(Caller { team, key: Some(key.into()) })
}
