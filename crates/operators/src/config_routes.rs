//! `GET /config`, `PATCH /config` and `GET /config/history`.

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::{BytesRejection, QueryRejection};
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use cassiafold_config::id::is_valid_id;
use cassiafold_config::key::new_write_id;
use cassiafold_config::patch::{JSON_PATCH, MERGE_PATCH};
use cassiafold_config::raw::RawConfig;
use cassiafold_config::{Patch, Version};
use cassiafold_event::emit;
use http::HeaderMap;
use http::header::{CONTENT_TYPE, ETAG, IF_MATCH};
use serde::Deserialize;
use serde_json::Value;

use crate::code::OperatorsCode;
use crate::confirm;
use crate::event::OperatorsEvent;
use crate::history::{self, HistoryRecord};
use crate::problem::Problem;
use crate::router::{OperatorApi, read_json};
use crate::source::Sources;
use crate::versions::{PatchError, PatchOutcome, PatchRequest};
use crate::wire::{ChangeResponse, HistoryResponse, SOURCE_HEADER, WRITE_ID_HEADER};

/// Number of changes that `GET /config/history` returns by default.
const HISTORY_LIMIT: usize = 20;

/// Returns the newest known configuration: the stored one, or the one in force at this entry
/// instance when the store is unreachable.
pub(crate) async fn get<S: Sources>(
    State(api): State<OperatorApi<S>>,
) -> Result<Response, Problem> {
    let deadline = api.limits.change_deadline();
    let (config, source) = match api.configs.newest_before(deadline).await {
        Ok(config) => (config, "store"),
        Err(PatchError::Unavailable(_)) => (api.active.load(), "entry"),
        Err(error) => return Err(error.into()),
    };
    let config = config.ok_or(OperatorsCode::NotReady)?;
    let version = format!("\"{}\"", config.version);
    let headers = [(ETAG.as_str(), version.as_str()), (SOURCE_HEADER, source)];
    Ok((headers, Json(RawConfig::from(&*config))).into_response())
}

/// Creates the next version of the configuration from a patch.
pub(crate) async fn patch<S: Sources>(
    State(api): State<OperatorApi<S>>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<ChangeResponse>, Problem> {
    let base_version = base_version(&headers)?;
    let write_id = write_id(&headers)?;
    let patch = read_patch(&headers, body)?;
    let context = api.edit_context(&headers).await?;
    let request = PatchRequest {
        base_version,
        patch,
        write_id,
        operator: context.operator,
        unix_s: context.unix_s,
        known_version: context.known_version,
    };
    let outcome = api.configs.patch(&request, api.limits.change_deadline()).await;
    match outcome {
        Ok(PatchOutcome::Accepted { version, repeated }) => {
            let operator = &request.operator;
            emit!(OperatorsEvent::PatchAccepted, version = version, operator = operator);
            Ok(Json(api.change_response(version, false, repeated).await))
        }
        Ok(PatchOutcome::Stale { current }) => {
            emit!(OperatorsEvent::PatchRefused, base = base_version, current = current);
            Err(Problem::stale(current))
        }
        Ok(PatchOutcome::Invalid(faults)) => {
            emit!(OperatorsEvent::PatchRefused, base = base_version, faults = faults.list.len());
            Err(Problem::invalid(faults))
        }
        Err(error) => Err(patch_problem(error, request)),
    }
}

fn patch_problem(error: PatchError, request: PatchRequest) -> Problem {
    if error == PatchError::OutcomeUnknown {
        emit!(OperatorsEvent::PatchUnsettled, write_id = request.write_id);
    }
    Problem { write_id: Some(request.write_id), ..error.into() }
}

impl<S: Sources> OperatorApi<S> {
    /// Waits a bounded time until `version` is in force at all entry instances, and returns the
    /// response to the change that made it.
    pub(crate) async fn change_response(
        &self,
        version: Version,
        unchanged: bool,
        repeated: bool,
    ) -> ChangeResponse {
        let limit = self.limits.confirm_wait;
        let unconfirmed = confirm::wait(self.sources.status(), version, limit).await;
        ChangeResponse { version, unchanged, repeated, unconfirmed }
    }
}

fn base_version(headers: &HeaderMap) -> Result<Version, Problem> {
    let value = headers.get(IF_MATCH).ok_or(OperatorsCode::VersionMissing)?;
    let text = value.to_str().map_err(Problem::malformed)?.trim().trim_matches('"');
    text.parse().map_err(|_| Problem::malformed("If-Match must be a version, as \"8\""))
}

fn write_id(headers: &HeaderMap) -> Result<String, Problem> {
    let Some(value) = headers.get(WRITE_ID_HEADER) else { return Ok(new_write_id()) };
    let id = value.to_str().ok().filter(|id| is_valid_id(id));
    id.map(str::to_owned)
        .ok_or_else(|| Problem::malformed(format!("{WRITE_ID_HEADER} must be an id")))
}

fn read_patch(headers: &HeaderMap, body: Result<Bytes, BytesRejection>) -> Result<Patch, Problem> {
    let media_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = media_type.and_then(|value| value.split(';').next()).map(str::trim);
    match media_type {
        Some(MERGE_PATCH) => Ok(Patch::Merge(read_json(body)?)),
        Some(JSON_PATCH) => {
            Patch::from_operations(read_json::<Value>(body)?).map_err(Problem::malformed)
        }
        _ => Err(OperatorsCode::MediaTypeUnknown.into()),
    }
}

/// Query parameters of `GET /config/history`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HistoryQuery {
    limit: Option<usize>,
}

/// Returns the changes that made the latest versions, newest first.
pub(crate) async fn history<S: Sources>(
    State(api): State<OperatorApi<S>>,
    query: Result<Query<HistoryQuery>, QueryRejection>,
) -> Result<Json<HistoryResponse>, Problem> {
    let limit = query.map_err(Problem::malformed)?.limit.unwrap_or(HISTORY_LIMIT);
    let deadline = api.limits.change_deadline();
    let current = api.configs.newest_before(deadline).await?;
    let mut versions: Vec<HistoryRecord> =
        current.iter().map(|config| HistoryRecord::from(&**config)).collect();
    let older = history::list(api.configs.store(), limit).await;
    versions.extend(older.map_err(PatchError::Unavailable)?);
    versions.dedup_by_key(|record| record.version);
    versions.truncate(limit);
    Ok(Json(HistoryResponse { versions }))
}
