//! Availability zones, pools, maintenance waves and explanations.

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{Path, State};
use cassiafold_config::key::new_write_id;
use cassiafold_config::{Config, PoolId, WaveId, ZoneId};
use cassiafold_event::emit;
use http::HeaderMap;
use serde_json::{Value, json};

use crate::code::OperatorsCode;
use crate::edit::EditContext;
use crate::event::OperatorsEvent;
use crate::problem::Problem;
use crate::router::{OperatorApi, read_json};
use crate::source::{Explanation, FleetSource, MoveRequest, MoveResponse, Sources, Subject};
use crate::wire::{
    ChangeResponse, MoveBody, PoolsResponse, ReportResponse, WRITE_ID_HEADER, WavesResponse,
};

type JsonResult<T> = Result<Json<T>, Problem>;

/// Returns an HTML report of the fleet over time.
pub(crate) async fn report<S: Sources>(
    State(api): State<OperatorApi<S>>,
) -> JsonResult<ReportResponse> {
    let page = api.sources.fleet().report().await;
    Ok(Json(ReportResponse { page: page.ok_or(OperatorsCode::StoreUnavailable)? }))
}

/// Takes an availability zone out of service.
pub(crate) async fn zone_out<S: Sources>(
    State(api): State<OperatorApi<S>>,
    Path(zone): Path<ZoneId>,
    headers: HeaderMap,
) -> JsonResult<ChangeResponse> {
    api.set_zone(zone, true, &headers).await
}

/// Returns an availability zone to service.
pub(crate) async fn zone_in<S: Sources>(
    State(api): State<OperatorApi<S>>,
    Path(zone): Path<ZoneId>,
    headers: HeaderMap,
) -> JsonResult<ChangeResponse> {
    api.set_zone(zone, false, &headers).await
}

/// Starts a wave now instead of at its planned start, and resumes it if it is paused.
pub(crate) async fn wave_start<S: Sources>(
    State(api): State<OperatorApi<S>>,
    Path(wave): Path<WaveId>,
    headers: HeaderMap,
) -> JsonResult<ChangeResponse> {
    let context = api.edit_context(&headers).await?;
    let now_unix_s = context.unix_s;
    let merge_patch = |config: &Config| start_patch(config, &wave, now_unix_s);
    api.change(&context, merge_patch).await
}

/// Pauses a wave: no further step of it starts.
pub(crate) async fn wave_pause<S: Sources>(
    State(api): State<OperatorApi<S>>,
    Path(wave): Path<WaveId>,
    headers: HeaderMap,
) -> JsonResult<ChangeResponse> {
    let context = api.edit_context(&headers).await?;
    api.change(&context, |config| pause_patch(config, &wave, true)).await
}

/// Resumes a paused wave.
pub(crate) async fn wave_resume<S: Sources>(
    State(api): State<OperatorApi<S>>,
    Path(wave): Path<WaveId>,
    headers: HeaderMap,
) -> JsonResult<ChangeResponse> {
    let context = api.edit_context(&headers).await?;
    api.change(&context, |config| pause_patch(config, &wave, false)).await
}

impl<S: Sources> OperatorApi<S> {
    async fn set_zone(
        &self,
        zone: ZoneId,
        out: bool,
        headers: &HeaderMap,
    ) -> JsonResult<ChangeResponse> {
        let context = self.edit_context(headers).await?;
        let merge_patch = |config: &Config| {
            let current = config.zones.get(&zone).ok_or(OperatorsCode::ZoneUnknown)?;
            Ok((current.out != out).then(|| json!({"zones": {&*zone: {"out": out}}})))
        };
        self.change(&context, merge_patch).await
    }

    async fn change(
        &self,
        context: &EditContext,
        merge_patch: impl Fn(&Config) -> Result<Option<Value>, Problem>,
    ) -> JsonResult<ChangeResponse> {
        let deadline = self.limits.change_deadline();
        let outcome = self.configs.edit(context, deadline, merge_patch).await?;
        let (version, operator) = (outcome.version, &context.operator);
        if !outcome.unchanged {
            emit!(OperatorsEvent::PatchAccepted, version = version, operator = operator);
        }
        Ok(Json(self.change_response(version, outcome.unchanged, false).await))
    }
}

fn start_patch(config: &Config, wave: &WaveId, now_unix_s: u64) -> Result<Option<Value>, Problem> {
    let current = config.waves.get(wave).ok_or(OperatorsCode::WaveUnknown)?;
    let now = std::time::UNIX_EPOCH + std::time::Duration::from_secs(now_unix_s);
    if current.start <= now && !current.paused {
        return Ok(None);
    }
    let mut fields = json!({"paused": false});
    if current.start > now {
        fields["start_unix_s"] = now_unix_s.into();
    }
    Ok(Some(json!({"waves": {&**wave: fields}})))
}

fn pause_patch(config: &Config, wave: &WaveId, paused: bool) -> Result<Option<Value>, Problem> {
    let current = config.waves.get(wave).ok_or(OperatorsCode::WaveUnknown)?;
    Ok((current.paused != paused).then(|| json!({"waves": {&**wave: {"paused": paused}}})))
}

/// Returns the pools with the counts of their instances.
pub(crate) async fn pools<S: Sources>(State(api): State<OperatorApi<S>>) -> Json<PoolsResponse> {
    Json(PoolsResponse { pools: api.sources.fleet().pools().await })
}

/// Returns the maintenance waves with their progress.
pub(crate) async fn waves<S: Sources>(State(api): State<OperatorApi<S>>) -> Json<WavesResponse> {
    Json(WavesResponse { waves: api.sources.fleet().waves().await })
}

/// Returns the latest decisions about an instance, a pool, a team or a wave.
pub(crate) async fn explain<S: Sources>(
    State(api): State<OperatorApi<S>>,
    Path((subject, id)): Path<(String, String)>,
) -> JsonResult<Explanation> {
    let subject = Subject::ALL.into_iter().find(|known| known.name() == subject);
    let subject = subject.ok_or(OperatorsCode::PathUnknown)?;
    let explanation = api.sources.fleet().explain(subject, &id).await;
    Ok(Json(explanation.ok_or(OperatorsCode::NotExplained)?))
}

/// Requests a move of instances to another pool.
pub(crate) async fn move_instances<S: Sources>(
    State(api): State<OperatorApi<S>>,
    Path(from): Path<PoolId>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> JsonResult<MoveResponse> {
    let MoveBody { to, selection } = read_json(body)?;
    let config = api.active.load().ok_or(OperatorsCode::NotReady)?;
    if let Some(pool) = [&from, &to].into_iter().find(|pool| !config.pools.contains_key(*pool)) {
        return Err(Problem::from(OperatorsCode::PoolUnknown).with_detail(pool));
    }
    if from == to {
        return Err(Problem::from(OperatorsCode::MoveRefused).with_detail("the pools are the same"));
    }
    let operator = api.edit_context(&headers).await?.operator;
    let request_id = headers.get(WRITE_ID_HEADER).and_then(|value| value.to_str().ok());
    let request_id = request_id.map_or_else(new_write_id, str::to_owned).into();
    emit!(OperatorsEvent::MoveRequested, from = from, to = to, operator = operator);
    let request = MoveRequest { request_id, operator, from, to, selection };
    Ok(Json(api.sources.fleet().move_instances(request).await?))
}
