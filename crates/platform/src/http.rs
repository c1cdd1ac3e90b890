//! HTTP client for a service of the platform that listens on several addresses.
//!
//! A request is sent at most once, and the error of a call says whether the service may have
//! received it. Connections are reused only for a short time after a response, because an idle
//! connection may have been dropped without notice. After a failed connect an address is skipped
//! for an exponential delay with jitter; after a lost response the next address is preferred.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use crate::backoff::Backoff;

/// Maximum age of the last response on a connection that is reused.
const IDLE_REUSE_MAX: Duration = Duration::from_secs(1);
/// Maximum number of idle connections.
const IDLE_CONNECTIONS_MAX: usize = 4;
/// Divisor of the time to the deadline that gives the connect timeout while other addresses remain.
const CONNECT_TIMEOUT_DIVISOR: u32 = 3;
/// Initial delay after a failed connect.
const CONNECT_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Default maximum delay after failed connects.
const CONNECT_BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Reason why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No part of the request was sent.
    #[error("request not sent: {0}")]
    NotSent(Arc<str>),
    /// The service may have received the request, but no response arrived.
    #[error("no answer: {reason}")]
    Unanswered {
        /// Description of the failure.
        reason: Arc<str>,
        /// Whether a reused connection broke, which may have been closed while it was idle.
        stale_connection: bool,
    },
    /// The response body exceeds the limit of the caller.
    #[error("answer exceeds {max_bytes} bytes")]
    TooLarge {
        /// Limit of the caller, in bytes.
        max_bytes: usize,
    },
}

/// A complete HTTP response.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Entity tag.
    pub etag: Option<HeaderValue>,
    /// Complete body.
    pub body: Bytes,
}

/// Limits of a response that may take long to arrive.
#[derive(Debug, Clone, Copy)]
pub struct DownloadLimits {
    /// Longest pause between two parts of the body.
    pub pause_max: Duration,
    /// Size of the largest body, in bytes.
    pub max_bytes: usize,
}

/// Client of one service. Clones share connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    state: Arc<Mutex<ClientState>>,
    user_agent: Arc<str>,
    /// Whether connections are closed with a TCP reset.
    reset_on_close: bool,
    /// Size of the connections' receive buffers, in bytes; `None` leaves it to the kernel.
    receive_buffer_bytes: Option<u32>,
}

#[derive(Debug)]
struct ClientState {
    endpoints: Vec<Endpoint>,
    preferred: usize,
    idle: Vec<Connection>,
}

#[derive(Debug)]
struct Endpoint {
    address: SocketAddr,
    backoff: Backoff,
    not_before: Option<Instant>,
}

impl Endpoint {
    fn new(address: SocketAddr) -> Self {
        let backoff = Backoff::new(CONNECT_BACKOFF_MIN, CONNECT_BACKOFF_MAX);
        Self { address, backoff, not_before: None }
    }
}

/// An open connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    endpoint: usize,
    last_response_at: Option<Instant>,
    _task: AbortOnDropHandle<()>,
}

/// A response that has begun to arrive.
#[derive(Debug)]
pub struct Download {
    client: HttpClient,
    connection: Connection,
    parts: Parts,
    body: Incoming,
}

impl Download {
    /// Size of the body, in bytes, if the response says it.
    pub fn body_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the complete response, however long it takes, as long as it keeps arriving.
    pub async fn complete(self, limits: DownloadLimits) -> Result<Answer, CallError> {
        let Self { client, connection, parts, mut body } = self;
        let DownloadLimits { pause_max, max_bytes } = limits;
        let failure = |reason: Arc<str>| client.no_response(connection.endpoint, reason, false);
        let mut received = BytesMut::new();
        loop {
            let frame = match timeout(pause_max, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(failure(to_text(error))),
                Ok(None) => break,
                Err(_) => return Err(failure("timeout".into())),
            };
            let Ok(data) = frame.into_data() else { continue };
            if received.len() + data.len() > max_bytes {
                return Err(CallError::TooLarge { max_bytes });
            }
            received.extend_from_slice(&data);
        }
        Ok(client.complete(connection, parts, received.freeze()))
    }
}

impl HttpClient {
    /// Creates a client of the service at `addresses`, which starts with a random one.
    pub fn new(addresses: &[SocketAddr], user_agent: impl Into<Arc<str>>) -> Self {
        let endpoints: Vec<Endpoint> = addresses.iter().copied().map(Endpoint::new).collect();
        let preferred = rand::random_range(0..endpoints.len().max(1));
        let state = ClientState { endpoints, preferred, idle: Vec::new() };
        Self {
            state: Arc::new(Mutex::new(state)),
            user_agent: user_agent.into(),
            reset_on_close: false,
            receive_buffer_bytes: None,
        }
    }

    /// Limits what the kernel holds of responses that nobody has read yet.
    pub fn with_receive_buffer(self, bytes: u32) -> Self {
        Self { receive_buffer_bytes: Some(bytes), ..self }
    }

    /// Limits the time for which an address is skipped after failed connects to `delay_max`.
    pub fn with_delay_max(self, delay_max: Duration) -> Self {
        for endpoint in &mut self.lock().endpoints {
            endpoint.backoff = Backoff::new(CONNECT_BACKOFF_MIN.min(delay_max), delay_max);
        }
        self
    }

    /// Closes connections with a TCP reset, so that a request that timed out during a network
    /// partition is not delivered when the partition ends.
    pub fn with_resets(self) -> Self {
        Self { reset_on_close: true, ..self }
    }

    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request and reads the complete response, whose body may have at most `max_bytes`.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        deadline: Instant,
        max_bytes: usize,
    ) -> Result<Answer, CallError> {
        let (connection, parts, body) = self.open(request, deadline).await?;
        let reading = Limited::new(body, max_bytes).collect();
        let body = match timeout_at(deadline, reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(CallError::TooLarge { max_bytes });
            }
            Ok(Err(error)) => return Err(self.no_response(connection.endpoint, error, false)),
            Err(_) => return Err(self.no_response(connection.endpoint, "timeout", false)),
        };
        Ok(self.complete(connection, parts, body))
    }

    /// Sends a request and returns the response as soon as it begins to arrive.
    pub async fn begin_download(
        &self,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<Download, CallError> {
        let (connection, parts, body) = self.open(request, deadline).await?;
        Ok(Download { client: self.clone(), connection, parts, body })
    }

    /// Keeps the connection of a complete response for the next request.
    fn complete(&self, mut connection: Connection, parts: Parts, body: Bytes) -> Answer {
        connection.last_response_at = Some(Instant::now());
        self.keep_idle(connection);
        let etag = parts.headers.get(header::ETAG).cloned();
        Answer { status: parts.status, etag, body }
    }

    /// Sends a request and returns the response with an unread body.
    pub async fn open(
        &self,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<(Connection, Parts, Incoming), CallError> {
        loop {
            let mut connection = self.connection(deadline).await?;
            let request = self.with_headers(&request, connection.endpoint);
            let reused = connection.last_response_at.is_some();
            let sending = connection.sender.try_send_request(request);
            let mut error = match timeout_at(deadline, sending).await {
                Err(_) => return Err(self.no_response(connection.endpoint, "timeout", false)),
                Ok(Ok(response)) => {
                    self.record_success(connection.endpoint);
                    let (parts, body) = response.into_parts();
                    return Ok((connection, parts, body));
                }
                Ok(Err(error)) => error,
            };
            let unsent = error.take_message().is_some();
            let error = error.into_error();
            match (unsent, reused) {
                (false, _) => return Err(self.no_response(connection.endpoint, error, reused)),
                (true, false) => {
                    self.record_failure(connection.endpoint);
                    return Err(CallError::NotSent(error.to_string().into()));
                }
                (true, true) => {}
            }
        }
    }

    fn with_headers(&self, request: &Request<Bytes>, endpoint: usize) -> Request<Full<Bytes>> {
        let address = self.lock().endpoints[endpoint].address;
        let mut request = request.clone().map(Full::new);
        let headers = request.headers_mut();
        for (name, value) in
            [(header::HOST, address.to_string()), (header::USER_AGENT, self.user_agent.to_string())]
        {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        }
        request
    }

    /// Returns an idle connection that can be reused, or opens a new one.
    async fn connection(&self, deadline: Instant) -> Result<Connection, CallError> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let candidates = self.candidates();
        let mut reason: Arc<str> = "waiting after failed connections".into();
        for (remaining, endpoint) in candidates.iter().rev().enumerate().rev() {
            match self.connect(*endpoint, remaining, deadline).await {
                Ok(connection) => return Ok(connection),
                Err(error) => reason = error,
            }
            self.record_failure(*endpoint);
        }
        Err(CallError::NotSent(reason))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut state = self.lock();
        state.idle.retain(|connection| {
            let fresh =
                connection.last_response_at.is_some_and(|time| time.elapsed() < IDLE_REUSE_MAX);
            fresh && connection.sender.is_ready()
        });
        state.idle.pop()
    }

    fn keep_idle(&self, connection: Connection) {
        let mut state = self.lock();
        if state.idle.len() < IDLE_CONNECTIONS_MAX {
            state.idle.push(connection);
        }
    }

    /// Returns the endpoints that are not in backoff, the preferred one first.
    fn candidates(&self) -> Vec<usize> {
        let now = Instant::now();
        let state = self.lock();
        let count = state.endpoints.len();
        let order = (0..count).map(|offset| (state.preferred + offset) % count);
        let may_try = |endpoint: &usize| {
            state.endpoints[*endpoint].not_before.is_none_or(|not_before| not_before <= now)
        };
        order.filter(may_try).collect()
    }

    async fn connect(
        &self,
        endpoint: usize,
        remaining: usize,
        deadline: Instant,
    ) -> Result<Connection, Arc<str>> {
        let address = self.lock().endpoints[endpoint].address;
        let now = Instant::now();
        let limit = match remaining {
            0 => deadline,
            _ => now + deadline.saturating_duration_since(now) / CONNECT_TIMEOUT_DIVISOR,
        };
        let connecting = timeout_at(limit, self.connect_stream(address)).await;
        let stream = connecting.map_err(|_| "connect timeout")?.map_err(to_text)?;
        let _ = stream.set_nodelay(true);
        if self.reset_on_close {
            stream.set_zero_linger().map_err(to_text)?;
        }
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(to_text)?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        let _task = AbortOnDropHandle::new(task);
        Ok(Connection { sender, endpoint, last_response_at: None, _task })
    }

    async fn connect_stream(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let Some(bytes) = self.receive_buffer_bytes else {
            return TcpStream::connect(address).await;
        };
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_recv_buffer_size(bytes)?;
        socket.connect(address).await
    }

    fn record_success(&self, endpoint: usize) {
        let mut state = self.lock();
        state.preferred = endpoint;
        state.endpoints[endpoint].backoff.reset();
        state.endpoints[endpoint].not_before = None;
    }

    /// Starts the backoff of an endpoint that could not be reached.
    fn record_failure(&self, endpoint: usize) {
        let mut state = self.lock();
        let failed = &mut state.endpoints[endpoint];
        failed.not_before = Some(Instant::now() + failed.backoff.next_delay());
    }

    /// Drops the idle connections to an endpoint. Prefers the next endpoint, unless the failure may
    /// only be that a reused connection was closed while it was idle.
    fn no_response(
        &self,
        endpoint: usize,
        reason: impl ToString,
        stale_connection: bool,
    ) -> CallError {
        let mut state = self.lock();
        state.idle.retain(|connection| connection.endpoint != endpoint);
        if !stale_connection {
            state.preferred = (endpoint + 1) % state.endpoints.len();
        }
        CallError::Unanswered { reason: reason.to_string().into(), stale_connection }
    }
}

fn to_text(error: impl ToString) -> Arc<str> {
    error.to_string().into()
}
