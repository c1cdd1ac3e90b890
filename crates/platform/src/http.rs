//! HTTP calls to a service of the platform that listens at several addresses.
//!
//! A call is sent at most once. Its error tells whether any byte of it may have reached the
//! service. Connections are reused only within a short time after an answer, because an idle
//! connection may have gone silent. After a failed connect an address is left alone for a random
//! time that grows from failure to failure; after a lost answer the next address comes first.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use crate::backoff::Backoff;

/// How long after an answer a connection is used again.
const REUSE_MAX: Duration = Duration::from_secs(1);
/// Number of idle connections that are kept.
const IDLE_MAX: usize = 4;
/// Part of the time to the deadline that one connect may take, as long as other addresses remain.
const CONNECT_TIMEOUT_DIVISOR: u32 = 3;
const CONNECT_DELAY_MIN: Duration = Duration::from_millis(50);
const CONNECT_DELAY_MAX: Duration = Duration::from_secs(2);

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was sent.
    #[error("request not sent: {0}")]
    NotSent(Arc<str>),
    /// The request may have been received.
    #[error("no answer: {reason}")]
    Unanswered {
        /// What went wrong.
        reason: Arc<str>,
        /// Whether the connection had been used before and broke.
        stale_connection: bool,
    },
    /// The answer exceeds what the caller takes.
    #[error("answer exceeds {max_bytes} bytes")]
    TooLarge {
        /// The most that the caller takes.
        max_bytes: usize,
    },
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Its entity tag.
    pub etag: Option<HeaderValue>,
    /// Its whole body.
    pub body: Bytes,
}

/// Client of one service. Clones share its connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    shared: Arc<Mutex<Shared>>,
    user_agent: Arc<str>,
    /// Whether closed connections are reset.
    resets: bool,
}

#[derive(Debug)]
struct Shared {
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
        let backoff = Backoff::new(CONNECT_DELAY_MIN, CONNECT_DELAY_MAX);
        Self { address, backoff, not_before: None }
    }
}

/// An open connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    endpoint: usize,
    answered: Option<Instant>,
    _task: AbortOnDropHandle<()>,
}

impl HttpClient {
    /// A client of the service at `addresses`, which starts with a random one.
    pub fn new(addresses: &[SocketAddr], user_agent: impl Into<Arc<str>>) -> Self {
        let endpoints: Vec<Endpoint> = addresses.iter().copied().map(Endpoint::new).collect();
        let preferred = rand::random_range(0..endpoints.len().max(1));
        let shared = Shared { endpoints, preferred, idle: Vec::new() };
        Self { shared: Arc::new(Mutex::new(shared)), user_agent: user_agent.into(), resets: false }
    }

    /// Leaves an address alone for at most `delay_max` after failed connects.
    pub fn with_delay_max(self, delay_max: Duration) -> Self {
        for endpoint in &mut self.lock().endpoints {
            endpoint.backoff = Backoff::new(CONNECT_DELAY_MIN.min(delay_max), delay_max);
        }
        self
    }

    /// Resets connections where others are closed. What a partition holds up of a call that was
    /// given up is then never delivered.
    pub fn with_resets(self) -> Self {
        Self { resets: true, ..self }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request and reads its whole answer of at most `max_bytes`.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        deadline: Instant,
        max_bytes: usize,
    ) -> Result<Answer, CallError> {
        let (mut connection, parts, body) = self.open(request, deadline).await?;
        let reading = Limited::new(body, max_bytes).collect();
        let body = match timeout_at(deadline, reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(CallError::TooLarge { max_bytes });
            }
            Ok(Err(error)) => return Err(self.unanswered(connection.endpoint, error, false)),
            Err(_) => return Err(self.unanswered(connection.endpoint, "timeout", false)),
        };
        connection.answered = Some(Instant::now());
        self.keep(connection);
        let etag = parts.headers.get(header::ETAG).cloned();
        Ok(Answer { status: parts.status, etag, body })
    }

    /// Sends a request and returns its answer with the body still to be read.
    pub async fn open(
        &self,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<(Connection, Parts, Incoming), CallError> {
        loop {
            let mut connection = self.connection(deadline).await?;
            let request = self.addressed(&request, connection.endpoint);
            let reused = connection.answered.is_some();
            let sending = connection.sender.try_send_request(request);
            let mut error = match timeout_at(deadline, sending).await {
                Err(_) => return Err(self.unanswered(connection.endpoint, "timeout", false)),
                Ok(Ok(answer)) => {
                    self.note_success(connection.endpoint);
                    let (parts, body) = answer.into_parts();
                    return Ok((connection, parts, body));
                }
                Ok(Err(error)) => error,
            };
            let unsent = error.take_message().is_some();
            let error = error.into_error();
            match (unsent, reused) {
                (false, _) => return Err(self.unanswered(connection.endpoint, error, reused)),
                (true, false) => {
                    self.note_failure(connection.endpoint);
                    return Err(CallError::NotSent(error.to_string().into()));
                }
                (true, true) => {}
            }
        }
    }

    fn addressed(&self, request: &Request<Bytes>, endpoint: usize) -> Request<Full<Bytes>> {
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

    /// Takes an idle connection that has answered a short time ago, or opens a new one.
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
            self.note_failure(*endpoint);
        }
        Err(CallError::NotSent(reason))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut shared = self.lock();
        shared.idle.retain(|connection| {
            let fresh = connection.answered.is_some_and(|time| time.elapsed() < REUSE_MAX);
            fresh && connection.sender.is_ready()
        });
        shared.idle.pop()
    }

    fn keep(&self, connection: Connection) {
        let mut shared = self.lock();
        if shared.idle.len() < IDLE_MAX {
            shared.idle.push(connection);
        }
    }

    /// Endpoints that may be tried now, the preferred one first.
    fn candidates(&self) -> Vec<usize> {
        let now = Instant::now();
        let shared = self.lock();
        let count = shared.endpoints.len();
        let order = (0..count).map(|offset| (shared.preferred + offset) % count);
        let may_try = |endpoint: &usize| {
            shared.endpoints[*endpoint].not_before.is_none_or(|not_before| not_before <= now)
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
        let connecting = timeout_at(limit, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| "connect timeout")?.map_err(text)?;
        let _ = stream.set_nodelay(true);
        if self.resets {
            stream.set_zero_linger().map_err(text)?;
        }
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(text)?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        let _task = AbortOnDropHandle::new(task);
        Ok(Connection { sender, endpoint, answered: None, _task })
    }

    fn note_success(&self, endpoint: usize) {
        let mut shared = self.lock();
        shared.preferred = endpoint;
        shared.endpoints[endpoint].backoff.reset();
        shared.endpoints[endpoint].not_before = None;
    }

    /// Leaves an endpoint alone for a while after it could not be reached.
    fn note_failure(&self, endpoint: usize) {
        let mut shared = self.lock();
        let failed = &mut shared.endpoints[endpoint];
        failed.not_before = Some(Instant::now() + failed.backoff.next_delay());
    }

    /// Forgets the idle connections to an endpoint and prefers the next one, unless just one
    /// connection was closed while it was idle.
    fn unanswered(
        &self,
        endpoint: usize,
        reason: impl ToString,
        stale_connection: bool,
    ) -> CallError {
        let mut shared = self.lock();
        shared.idle.retain(|connection| connection.endpoint != endpoint);
        if !stale_connection {
            shared.preferred = (endpoint + 1) % shared.endpoints.len();
        }
        CallError::Unanswered { reason: reason.to_string().into(), stale_connection }
    }
}

fn text(error: impl ToString) -> Arc<str> {
    error.to_string().into()
}
