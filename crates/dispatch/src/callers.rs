//! Callers' interface over HTTP.

use std::sync::Arc;

use axum::Router;
use axum::extract::{Path, Request, State};
use axum::response::Response;
use axum::routing::any;
use cassiafold_config::{ActiveConfig, Config, Instance, Service, ServiceId, TeamId, ZoneId};
use http::HeaderMap;
use http::header::{AUTHORIZATION, HOST};
use tokio::sync::watch;

use crate::code::DispatchCode;
use crate::limit::LimitSource;
use crate::problem::Problem;
use crate::{proxy, route};

/// Instances of the fleet as last known, each in its pool.
pub type Instances = watch::Receiver<Arc<Vec<Instance>>>;

/// What the callers' interface works with.
#[derive(Debug, Clone)]
pub struct Callers<L> {
    /// Configuration in force.
    pub config: ActiveConfig,
    /// Instances of the fleet.
    pub instances: Instances,
    /// Upper limits of teams.
    pub limits: L,
    /// Availability zone of this entry instance.
    pub home: ZoneId,
}

/// Team to which work of an open queue belongs when no key came with it.
pub const ANONYMOUS_TEAM: &str = "anonymous";

/// Routes of the callers' interface: `/queues/{service}/{path}`.
pub fn router<L: LimitSource>(callers: Callers<L>) -> Router {
    Router::new()
        .route("/queues/{service}", any(handle_root::<L>))
        .route("/queues/{service}/", any(handle_root::<L>))
        .route("/queues/{service}/{*path}", any(handle_path::<L>))
        .with_state(callers)
}

async fn handle_root<L: LimitSource>(
    State(callers): State<Callers<L>>,
    Path(service): Path<ServiceId>,
    request: Request,
) -> Result<Response, Problem> {
    handle(callers, service, "", request).await
}

async fn handle_path<L: LimitSource>(
    State(callers): State<Callers<L>>,
    Path((service, path)): Path<(ServiceId, String)>,
    request: Request,
) -> Result<Response, Problem> {
    handle(callers, service, &path, request).await
}

async fn handle<L: LimitSource>(
    callers: Callers<L>,
    service_id: ServiceId,
    path: &str,
    mut request: Request,
) -> Result<Response, Problem> {
    let not_run = Problem::not_run;
    let config = callers.config.load().ok_or(not_run(DispatchCode::NotReady))?;
    let service = config.services.get(&service_id).ok_or(not_run(DispatchCode::UnknownQueue))?;
    let team =
        authorize(&config, service, request.headers()).ok_or(not_run(DispatchCode::InvalidKey))?;
    let _permit = callers.limits.try_acquire(&team).ok_or(not_run(DispatchCode::LimitReached))?;
    let instances = callers.instances.borrow().clone();
    let instance = route::choose(&config, &instances, &service_id, &callers.home)
        .ok_or(not_run(DispatchCode::NoInstance))?;
    *request.uri_mut() =
        format!("/{path}").parse().map_err(|_| not_run(DispatchCode::UnknownQueue))?;
    request.headers_mut().remove(AUTHORIZATION);
    request.headers_mut().insert(HOST, http::HeaderValue::from_static("backend"));
    proxy::send(instance.address, request).await
}

fn authorize(config: &Config, service: &Service, headers: &HeaderMap) -> Option<TeamId> {
    let presented = headers.get(AUTHORIZATION).map(|value| value.to_str().ok());
    let Some(value) = presented else {
        return service.open.then(|| ANONYMOUS_TEAM.into());
    };
    let key = value?.strip_prefix("Bearer ")?;
    config.team_for_key(key).cloned()
}
