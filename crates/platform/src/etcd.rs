//! Client of a key-value service with the JSON gateway of etcd v3.
//!
//! The client uses ranges, transactions of one condition and one operation, leases and watches.
//! Every call has a deadline. A read whose reused connection broke is retried once on a new
//! connection; a write is sent at most once. A failed write is reported as without effect only if
//! no part of it was sent or the service refused it; every other failure is an unknown outcome.

pub mod convert;
pub mod message;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use self::convert::{granted_lease, prefix_end, prefix_start, renewed_ttl, revision};
use self::message::{
    Base64, ErrorBody, Int64, LeaseGrantRequest, LeaseRequest, LeaseResponse, RangeRequest,
    RangeResponse, StreamMessage, TxnRequest, TxnResponse,
};
pub use self::watch::EtcdWatch;
use crate::http::{Answer, CallError, HttpClient};
use crate::metrics::{CallOutcome, StoreCall, StoreMetrics};
use crate::store::{
    LeaseId, Operation, Record, Revision, Snapshot, Store, StoreError, VALUE_BYTES_MAX, Write,
    WriteOutcome,
};

/// Maximum size of a response, in bytes.
const RESPONSE_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Initial number of keys per page.
const PAGE_KEYS: u32 = 512;
/// Minimum number of keys per page; values of the maximum size fit into one response.
const PAGE_KEYS_MIN: u32 = 4;
/// Divisor of the number of keys per page after a response was too large.
const PAGE_DIVISOR: u32 = 8;

const RANGE_PATH: &str = "/v3/kv/range";
const TXN_PATH: &str = "/v3/kv/txn";
const GRANT_PATH: &str = "/v3/lease/grant";
const KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
const REVOKE_PATH: &str = "/v3/lease/revoke";

/// Error message of the service while it has no leader; a call that gets it had no effect.
pub const NO_LEADER: &str = "etcdserver: no leader";

/// Status codes of gRPC that the client distinguishes.
pub mod grpc {
    /// An argument is invalid.
    pub const INVALID_ARGUMENT: i32 = 3;
    /// The lease does not exist.
    pub const NOT_FOUND: i32 = 5;
    /// The caller lacks permission.
    pub const PERMISSION_DENIED: i32 = 7;
    /// The service accepts no more requests.
    pub const RESOURCE_EXHAUSTED: i32 = 8;
    /// The state of the service does not allow the call.
    pub const FAILED_PRECONDITION: i32 = 9;
    /// The revision was compacted.
    pub const OUT_OF_RANGE: i32 = 11;
    /// The service does not implement the call.
    pub const UNIMPLEMENTED: i32 = 12;
    /// The service could not complete the call.
    pub const UNAVAILABLE: i32 = 14;
    /// The caller is not authenticated.
    pub const UNAUTHENTICATED: i32 = 16;
}

/// Settings of an [`EtcdStore`].
#[derive(Debug, Clone)]
pub struct EtcdSettings {
    /// Addresses of the service.
    pub addresses: Vec<SocketAddr>,
    /// Name of this client, sent as user agent.
    pub client: Arc<str>,
    /// Timeout of each call.
    pub timeout: Duration,
    /// Time without any message, progress reports included, after which a watch is resumed on a new
    /// connection.
    pub watch_silence: Duration,
}

impl EtcdSettings {
    /// Default timeout of each call.
    pub const TIMEOUT: Duration = Duration::from_secs(1);
    /// Default of [`EtcdSettings::watch_silence`].
    pub const WATCH_SILENCE: Duration = Duration::from_secs(3);

    /// Creates settings with the default timeouts.
    pub fn new(addresses: Vec<SocketAddr>, client: impl Into<Arc<str>>) -> Self {
        Self {
            addresses,
            client: client.into(),
            timeout: Self::TIMEOUT,
            watch_silence: Self::WATCH_SILENCE,
        }
    }
}

/// Client of the key-value service. Clones share connections and metrics.
#[derive(Debug, Clone)]
pub struct EtcdStore {
    http: HttpClient,
    metrics: StoreMetrics,
    timeout: Duration,
    watch_silence: Duration,
}

/// Reason why an attempt failed.
enum Failure {
    Call(CallError),
    Status(Answer),
    Malformed(Arc<str>),
}

impl EtcdStore {
    /// Creates a client, which connects when it is first used.
    pub fn new(settings: EtcdSettings, metrics: StoreMetrics) -> Self {
        Self {
            http: HttpClient::new(&settings.addresses, settings.client),
            metrics,
            timeout: settings.timeout,
            watch_silence: settings.watch_silence,
        }
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }

    async fn attempt<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: StoreCall,
        path: &str,
        request: &Q,
        deadline: Instant,
    ) -> Result<A, Failure> {
        let sent = Instant::now();
        let request = post(path, request).map_err(Failure::Malformed)?;
        let response = self.http.call(request, deadline, RESPONSE_BYTES_MAX).await;
        self.metrics.record(call, outcome(&response), sent.elapsed());
        let response = response.map_err(Failure::Call)?;
        if !response.status.is_success() {
            return Err(Failure::Status(response));
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| Failure::Malformed(error.to_string().into()))
    }

    /// Sends an idempotent call, with one retry if a reused connection broke.
    async fn read<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        call: StoreCall,
        path: &str,
        request: &Q,
        deadline: Instant,
    ) -> Result<A, Failure> {
        match self.attempt(call, path, request, deadline).await {
            Err(Failure::Call(CallError::Unanswered { stale_connection: true, .. })) => {
                self.attempt(call, path, request, deadline).await
            }
            result => result,
        }
    }

    /// Reads one page, with a smaller page size if the response is too large.
    async fn page(
        &self,
        request: &mut RangeRequest,
        deadline: Instant,
    ) -> Result<RangeResponse, Failure> {
        loop {
            let page = self.read(StoreCall::List, RANGE_PATH, request, deadline).await;
            match page {
                Err(Failure::Call(CallError::TooLarge { .. }))
                    if request.limit.0 > i64::from(PAGE_KEYS_MIN) =>
                {
                    let smaller = request.limit.0 / i64::from(PAGE_DIVISOR);
                    request.limit = Int64(smaller.max(i64::from(PAGE_KEYS_MIN)));
                }
                page => return page,
            }
        }
    }
}

/// Builds a request with a JSON body.
fn post<Q: Serialize>(path: &str, body: &Q) -> Result<Request<Bytes>, Arc<str>> {
    let body = serde_json::to_vec(body).map_err(|error| error.to_string())?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(body.into())
        .map_err(|error| error.to_string())?;
    Ok(request)
}

fn outcome(response: &Result<Answer, CallError>) -> CallOutcome {
    match response {
        Ok(_) | Err(CallError::TooLarge { .. }) => CallOutcome::Answered,
        Err(CallError::NotSent(_)) => CallOutcome::Failed,
        Err(CallError::Unanswered { .. }) => CallOutcome::Unknown,
    }
}

/// Maps the failure of a read to an error.
fn read_error(failure: Failure) -> StoreError {
    match failure {
        Failure::Call(CallError::TooLarge { .. }) => {
            StoreError::Malformed("answer is too large".into())
        }
        Failure::Call(error) => StoreError::Unavailable(error.to_string().into()),
        Failure::Malformed(reason) => StoreError::Malformed(reason),
        Failure::Status(response) => {
            let error = error_body(&response);
            match error.code {
                grpc::OUT_OF_RANGE => StoreError::Compacted,
                grpc::NOT_FOUND => StoreError::LeaseExpired,
                _ => StoreError::Unavailable(error.message.into()),
            }
        }
    }
}

/// Maps the failure of a write to an error, which says that the write had no effect only if that is
/// certain.
fn write_error(failure: Failure) -> StoreError {
    match failure {
        Failure::Call(CallError::NotSent(reason)) => StoreError::Unavailable(reason),
        Failure::Call(error) => StoreError::OutcomeUnknown(error.to_string().into()),
        Failure::Malformed(reason) => StoreError::OutcomeUnknown(reason),
        Failure::Status(response) => {
            let error = error_body(&response);
            match error.code {
                grpc::NOT_FOUND => StoreError::LeaseExpired,
                _ if is_refusal(&error) => StoreError::Unavailable(error.message.into()),
                _ => StoreError::OutcomeUnknown(error.message.into()),
            }
        }
    }
}

/// Returns whether the service refused a call before it took effect.
fn is_refusal(error: &ErrorBody) -> bool {
    match error.code {
        grpc::INVALID_ARGUMENT
        | grpc::PERMISSION_DENIED
        | grpc::RESOURCE_EXHAUSTED
        | grpc::FAILED_PRECONDITION
        | grpc::OUT_OF_RANGE
        | grpc::UNIMPLEMENTED
        | grpc::UNAUTHENTICATED => true,
        grpc::UNAVAILABLE => error.message == NO_LEADER,
        _ => false,
    }
}

fn error_body(response: &Answer) -> ErrorBody {
    serde_json::from_slice(&response.body)
        .unwrap_or_else(|_| ErrorBody { code: 0, message: format!("status {}", response.status) })
}

fn malformed(reason: &str) -> StoreError {
    StoreError::Malformed(reason.into())
}

/// Maps a malformed response to a write to an unknown outcome.
fn unknown(error: impl ToString) -> StoreError {
    StoreError::OutcomeUnknown(error.to_string().into())
}

impl Store for EtcdStore {
    type Watch = EtcdWatch;

    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        let request = RangeRequest { key: key.into(), ..RangeRequest::default() };
        let result = self.read(StoreCall::Get, RANGE_PATH, &request, self.deadline()).await;
        let response: RangeResponse = result.map_err(read_error)?;
        revision(&response.header)?;
        let mut records = Vec::<Record>::try_from(response)?;
        let record = records.pop();
        if !records.is_empty() || record.as_ref().is_some_and(|record| &*record.key != key) {
            return Err(malformed("answer holds another key"));
        }
        Ok(record)
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let deadline = self.deadline();
        let mut request = RangeRequest {
            key: prefix_start(prefix),
            range_end: prefix_end(prefix),
            limit: Int64(PAGE_KEYS.into()),
            ..RangeRequest::default()
        };
        let mut snapshot: Option<Snapshot> = None;
        loop {
            let page = self.page(&mut request, deadline).await.map_err(read_error)?;
            let (more, at) = (page.more, revision(&page.header)?);
            let snapshot = snapshot.get_or_insert(Snapshot { revision: at, records: Vec::new() });
            for record in Vec::<Record>::try_from(page)? {
                let last = snapshot.records.last();
                let ordered = last.is_none_or(|last| last.key < record.key);
                if !ordered || !record.key.starts_with(prefix) {
                    return Err(malformed("answer holds unexpected keys"));
                }
                snapshot.records.push(record);
            }
            let last = snapshot.records.last().map(|record| record.key.clone());
            let Some(last) = last.filter(|_| more) else { return Ok(snapshot.clone()) };
            request.key = Base64([last.as_bytes(), b"\0"].concat().into());
            request.revision = snapshot.revision.into();
        }
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        if let Operation::Put { value, .. } = &write.operation
            && value.len() > VALUE_BYTES_MAX
        {
            return Err(StoreError::Unavailable("value exceeds one megabyte".into()));
        }
        let request = TxnRequest::from(&write);
        let result = self.attempt(StoreCall::Write, TXN_PATH, &request, self.deadline()).await;
        let response: TxnResponse = result.map_err(write_error)?;
        response.try_into().map_err(unknown)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let ttl_s = i64::try_from(ttl.as_millis().div_ceil(1_000)).unwrap_or(i64::MAX);
        let request = LeaseGrantRequest { ttl_s: Int64(ttl_s) };
        let result =
            self.attempt(StoreCall::GrantLease, GRANT_PATH, &request, self.deadline()).await;
        let response: LeaseResponse = result.map_err(write_error)?;
        granted_lease(&response).map_err(unknown)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let request = LeaseRequest { id: Int64(lease) };
        let result =
            self.read(StoreCall::KeepAlive, KEEP_ALIVE_PATH, &request, self.deadline()).await;
        let response: StreamMessage<LeaseResponse> = result.map_err(write_error)?;
        match response {
            StreamMessage::Result(response) => {
                renewed_ttl(&response).map_err(unknown)?.ok_or(StoreError::LeaseExpired)
            }
            StreamMessage::Error(error) => Err(unknown(error.message)),
        }
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = LeaseRequest { id: Int64(lease) };
        let result =
            self.attempt(StoreCall::RevokeLease, REVOKE_PATH, &request, self.deadline()).await;
        let response: LeaseResponse = result.map_err(write_error)?;
        revision(&response.header).map_err(unknown)?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<EtcdWatch, StoreError> {
        EtcdWatch::open(self.clone(), prefix.into(), after).await
    }
}

#[cfg(test)]
mod tests;
