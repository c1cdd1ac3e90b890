//! `POST /keys` and `DELETE /keys`: granting and withdrawing the keys of teams.

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::{BytesRejection, QueryRejection};
use axum::extract::{Query, State};
use cassiafold_config::{Config, KeyHash, Team, TeamId};
use cassiafold_event::emit;
use http::HeaderMap;
use serde_json::{Value, json};

use crate::code::OperatorsCode;
use crate::event::OperatorsEvent;
use crate::problem::Problem;
use crate::router::{OperatorApi, read_json};
use crate::source::Sources;
use crate::wire::{ChangeResponse, KeyBody, KeyQuery};

/// Grants a key to a team. The body contains only the hash of the key.
pub(crate) async fn grant<S: Sources>(
    State(api): State<OperatorApi<S>>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<ChangeResponse>, Problem> {
    let body: KeyBody = read_json(body)?;
    let hash = parse_hash(&body.key_hash)?;
    let context = api.edit_context(&headers).await?;
    let deadline = api.limits.change_deadline();
    let outcome = api
        .configs
        .edit(&context, deadline, |config| {
            let team = find_team(config, &body.team)?;
            if team.key_hashes.contains(&hash) {
                return Ok(None);
            }
            Ok(Some(hashes_patch(&body.team, team.key_hashes.iter().chain([&hash]))))
        })
        .await?;
    emit!(OperatorsEvent::KeyGranted, team = body.team, version = outcome.version);
    Ok(Json(api.change_response(outcome.version, outcome.unchanged, false).await))
}

/// Withdraws one key of a team, or all of them.
pub(crate) async fn withdraw<S: Sources>(
    State(api): State<OperatorApi<S>>,
    headers: HeaderMap,
    query: Result<Query<KeyQuery>, QueryRejection>,
) -> Result<Json<ChangeResponse>, Problem> {
    let Query(query) = query.map_err(Problem::malformed)?;
    let hash = query.key_hash.as_deref().map(parse_hash).transpose()?;
    let context = api.edit_context(&headers).await?;
    let deadline = api.limits.change_deadline();
    let outcome = api
        .configs
        .edit(&context, deadline, |config| {
            let team = find_team(config, &query.team)?;
            let kept = team.key_hashes.iter().filter(|key| hash.is_some_and(|hash| hash != **key));
            let kept: Vec<&KeyHash> = kept.collect();
            if kept.len() == team.key_hashes.len() {
                return Ok(None);
            }
            Ok(Some(hashes_patch(&query.team, kept.into_iter())))
        })
        .await?;
    emit!(OperatorsEvent::KeyWithdrawn, team = query.team, version = outcome.version);
    Ok(Json(api.change_response(outcome.version, outcome.unchanged, false).await))
}

fn parse_hash(text: &str) -> Result<KeyHash, Problem> {
    KeyHash::from_hex(text)
        .ok_or_else(|| Problem::malformed("key_hash must be 64 hexadecimal digits"))
}

fn find_team<'a>(config: &'a Config, team: &TeamId) -> Result<&'a Team, Problem> {
    config.teams.get(team).ok_or_else(|| OperatorsCode::TeamUnknown.into())
}

fn hashes_patch<'a>(team: &TeamId, hashes: impl Iterator<Item = &'a KeyHash>) -> Value {
    let hashes: Vec<String> = hashes.map(|hash| hash.to_hex()).collect();
    json!({"teams": {&**team: {"key_hashes": hashes}}})
}
