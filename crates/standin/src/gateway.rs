//! JSON gateway of etcd v3 in front of the stand-in store, for use by other processes.
//!
//! Clients are identified by their user agent. `POST /fault` accepts a [`FaultCommand`], and
//! `GET /counts` returns the call counts of each client. A call is completed even if its client
//! disconnects.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cassiafold_platform::etcd::convert::{MessageError, prefix_end, prefix_start};
use cassiafold_platform::etcd::message::{
    Base64, ErrorBody, Header, Int64, KeyValue, LeaseGrantRequest, LeaseRequest, LeaseResponse,
    RangeRequest, RangeResponse, StreamMessage, TxnRequest, TxnResponse, WatchRequest,
    WatchResponse,
};
use cassiafold_platform::etcd::{NO_LEADER, grpc};
use cassiafold_platform::{Change, Revision, Store, StoreError, Write, WriteOutcome};
use futures_util::stream;
use http::request::Parts;
use http::{StatusCode, header};
use tokio::time::Instant;

use crate::command::FaultCommand;
use crate::server::Server;
use crate::store::{MemoryStore, MemoryWatch};

/// Timeout of the gateway for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which an idle watch reports its revision.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a request, in bytes.
const REQUEST_BYTES_MAX: usize = 2 * 1024 * 1024;

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    server: Server,
}

impl Gateway {
    /// Starts serving `store` at `address`.
    pub async fn start(address: SocketAddr, store: MemoryStore) -> std::io::Result<Self> {
        let router = router(store.with_timeout(CALL_TIMEOUT));
        Ok(Self { server: Server::start(address, router).await? })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops listening and closes all connections. The store keeps its state.
    pub async fn close(self) {
        self.server.close().await;
    }
}

fn router(store: MemoryStore) -> Router {
    Router::new()
        .route("/v3/kv/range", post(range))
        .route("/v3/kv/txn", post(txn))
        .route("/v3/lease/grant", post(grant))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke))
        .route("/v3/watch", post(watch))
        .route("/fault", post(fault))
        .route("/counts", get(counts))
        .layer(DefaultBodyLimit::max(REQUEST_BYTES_MAX))
        .with_state(store)
}

/// Store handle of the client that sent a request.
struct ClientStore(MemoryStore);

impl axum::extract::FromRequestParts<MemoryStore> for ClientStore {
    type Rejection = std::convert::Infallible;

    async fn from_request_parts(
        parts: &mut Parts,
        store: &MemoryStore,
    ) -> Result<Self, Self::Rejection> {
        let agent = parts.headers.get(header::USER_AGENT);
        let client = agent.and_then(|agent| agent.to_str().ok()).unwrap_or_default();
        Ok(Self(store.client(client)))
    }
}

impl ClientStore {
    fn header(&self) -> Option<Header> {
        Some(Header { revision: self.0.faults().revision().into() })
    }
}

/// A store error, returned as an etcd gateway error response.
struct GatewayError(StoreError);

impl From<StoreError> for GatewayError {
    fn from(error: StoreError) -> Self {
        Self(error)
    }
}

impl From<MessageError> for GatewayError {
    fn from(error: MessageError) -> Self {
        Self(error.into())
    }
}

impl IntoResponse for GatewayError {
    fn into_response(self) -> Response {
        let (status, code, message) = match self.0 {
            StoreError::Unavailable(_) => {
                (StatusCode::SERVICE_UNAVAILABLE, grpc::UNAVAILABLE, NO_LEADER)
            }
            StoreError::OutcomeUnknown(_) => (
                StatusCode::SERVICE_UNAVAILABLE,
                grpc::UNAVAILABLE,
                "etcdserver: request timed out",
            ),
            StoreError::LeaseExpired => {
                (StatusCode::NOT_FOUND, grpc::NOT_FOUND, "etcdserver: requested lease not found")
            }
            StoreError::Compacted => (
                StatusCode::BAD_REQUEST,
                grpc::OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted",
            ),
            StoreError::TooLarge { .. } | StoreError::Malformed(_) => {
                (StatusCode::BAD_REQUEST, grpc::INVALID_ARGUMENT, "etcdserver: invalid request")
            }
        };
        (status, Json(ErrorBody { code, message: message.into() })).into_response()
    }
}

type ApiResult<T> = Result<Json<T>, GatewayError>;

/// Completes a call even if its client disconnects.
async fn complete<T: Send + 'static>(
    call: impl Future<Output = Result<T, StoreError>> + Send + 'static,
) -> Result<T, StoreError> {
    let task_failed = |_| Err(StoreError::OutcomeUnknown("call failed".into()));
    tokio::spawn(call).await.unwrap_or_else(task_failed)
}

async fn range(client: ClientStore, Json(request): Json<RangeRequest>) -> ApiResult<RangeResponse> {
    let store = client.0.clone();
    if request.range_end.0.is_empty() {
        let key: std::sync::Arc<str> = (&request.key).try_into()?;
        let record = complete(async move { store.get(&key).await }).await?;
        let kvs = record.into_iter().map(KeyValue::from).collect();
        return Ok(Json(RangeResponse { header: client.header(), kvs, more: false }));
    }
    let at = Revision::try_from(request.revision)?;
    let at = Some(at).filter(|at| *at > 0);
    let snapshot = complete(async move { store.list_at("", at).await }).await?;
    let within = |key: &[u8]| key >= &request.key.0[..] && is_before(key, &request.range_end);
    let mut records = snapshot.records;
    records.retain(|record| within(record.key.as_bytes()));
    let limit = usize::try_from(request.limit.0).ok().filter(|limit| *limit > 0);
    let limit = limit.unwrap_or(records.len());
    let more = records.len() > limit;
    records.truncate(limit);
    let header = Some(Header { revision: snapshot.revision.into() });
    Ok(Json(RangeResponse { header, kvs: records.into_iter().map(KeyValue::from).collect(), more }))
}

fn is_before(key: &[u8], range_end: &Base64) -> bool {
    *range_end == prefix_end("") || key < &range_end.0[..]
}

async fn txn(client: ClientStore, Json(request): Json<TxnRequest>) -> ApiResult<TxnResponse> {
    let write = Write::try_from(request)?;
    let store = client.0.clone();
    let outcome = complete(async move { store.write(write).await }).await?;
    Ok(Json(match outcome {
        WriteOutcome::Written(revision) => {
            TxnResponse { header: Some(Header { revision: revision.into() }), succeeded: true }
        }
        WriteOutcome::Conflict => TxnResponse { header: client.header(), succeeded: false },
    }))
}

async fn grant(
    client: ClientStore,
    Json(request): Json<LeaseGrantRequest>,
) -> ApiResult<LeaseResponse> {
    let ttl_s = u64::try_from(request.ttl_s.0).map_err(|_| MessageError::TimeToLive)?;
    let store = client.0.clone();
    let granting = async move { store.grant_lease(Duration::from_secs(ttl_s)).await };
    let id = Int64(complete(granting).await?);
    Ok(Json(LeaseResponse { header: client.header(), id, ttl_s: request.ttl_s }))
}

async fn keep_alive(
    client: ClientStore,
    Json(request): Json<LeaseRequest>,
) -> ApiResult<StreamMessage<LeaseResponse>> {
    let store = client.0.clone();
    let ttl = match complete(async move { store.keep_alive(request.id.0).await }).await {
        Err(StoreError::LeaseExpired) => Duration::ZERO,
        result => result?,
    };
    let (header, ttl_s) = (client.header(), ttl.as_secs().into());
    Ok(Json(StreamMessage::Result(LeaseResponse { header, id: request.id, ttl_s })))
}

async fn revoke(
    client: ClientStore,
    Json(request): Json<LeaseRequest>,
) -> ApiResult<LeaseResponse> {
    let store = client.0.clone();
    complete(async move { store.revoke_lease(request.id.0).await }).await?;
    Ok(Json(LeaseResponse { header: client.header(), ..LeaseResponse::default() }))
}

async fn watch(
    client: ClientStore,
    Json(request): Json<WatchRequest>,
) -> Result<Response, GatewayError> {
    let request = request.create_request;
    let prefix: std::sync::Arc<str> = match request.key == prefix_start("") {
        true => "".into(),
        false => (&request.key).try_into()?,
    };
    if request.range_end != prefix_end(&prefix) {
        return Err(MessageError::Part.into());
    }
    let start = Revision::try_from(request.start_revision)?;
    let after = start.checked_sub(1).unwrap_or_else(|| client.0.faults().revision());
    let opened = client.0.watch(&prefix, after).await;
    let header = client.header();
    let created = WatchResponse { header, created: true, ..WatchResponse::default() };
    let body = match opened {
        Ok(watch) => {
            let stream = stream::unfold(WatchStreamState::Created(created, watch), next_line);
            Body::from_stream(stream)
        }
        Err(StoreError::Compacted) => {
            let header = created.header.clone();
            let compact_revision = client.0.faults().revision().max(1).into();
            let canceled = WatchResponse {
                header,
                canceled: true,
                compact_revision,
                ..WatchResponse::default()
            };
            Body::from([encode_line(created), encode_line(canceled)].concat())
        }
        Err(error) => return Err(error.into()),
    };
    Ok(([(header::CONTENT_TYPE, "application/json")], body).into_response())
}

/// State of a watch response stream: what is written next.
enum WatchStreamState {
    Created(WatchResponse, MemoryWatch),
    Changes(MemoryWatch),
    End,
}

type Line = Result<Vec<u8>, std::io::Error>;

async fn next_line(stream_state: WatchStreamState) -> Option<(Line, WatchStreamState)> {
    let mut watch = match stream_state {
        WatchStreamState::Created(created, watch) => {
            return Some((Ok(encode_line(created)), WatchStreamState::Changes(watch)));
        }
        WatchStreamState::Changes(watch) => watch,
        WatchStreamState::End => return None,
    };
    loop {
        let changes = match watch.next_until(Instant::now() + PROGRESS_INTERVAL).await {
            Ok(changes) => changes,
            Err(StoreError::Compacted) => {
                let canceled = WatchResponse {
                    header: Some(Header::default()),
                    canceled: true,
                    compact_revision: Int64(1),
                    ..WatchResponse::default()
                };
                return Some((Ok(encode_line(canceled)), WatchStreamState::End));
            }
            Err(error) => return Some((Err(std::io::Error::other(error)), WatchStreamState::End)),
        };
        let progress = watch.progress();
        if progress.is_some() || !changes.is_empty() {
            let line = encode_line(changes_response(changes, progress.unwrap_or_default()));
            return Some((Ok(line), WatchStreamState::Changes(watch)));
        }
    }
}

fn changes_response(changes: Vec<Change>, progress: Revision) -> WatchResponse {
    let header = Some(Header { revision: progress.into() });
    let events = changes.into_iter().map(Into::into).collect();
    WatchResponse { header, events, ..WatchResponse::default() }
}

fn encode_line(response: WatchResponse) -> Vec<u8> {
    let mut line = serde_json::to_vec(&StreamMessage::Result(response)).unwrap_or_default();
    line.push(b'\n');
    line
}

async fn fault(State(store): State<MemoryStore>, Json(command): Json<FaultCommand>) -> StatusCode {
    match command.apply(&store.faults()) {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::CONFLICT,
    }
}

async fn counts(State(store): State<MemoryStore>) -> impl IntoResponse {
    Json(store.faults().all_counts())
}
