//! Sends the requests of the load tool sequentially over one connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::stats::{Outcome, RunState};
use crate::error::{Error, Result};

/// Maximum size of a response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 1024 * 1024;
/// Media type of a problem document (RFC 9457).
const PROBLEM_JSON: &str = "application/problem+json";

/// Content shared by all requests of a run.
#[derive(Debug, Clone)]
pub struct RequestTemplate {
    method: Method,
    uri: Uri,
    authorization: Option<HeaderValue>,
}

impl RequestTemplate {
    /// Creates a template for requests to a queue, with the key of a team if one is given.
    ///
    /// Returns `Error::Usage` if the queue or the key cannot be used in an HTTP request.
    pub fn new(method: Method, queue: &str, key: Option<&str>) -> Result<Self> {
        let uri = format!("/queues/{queue}/").parse();
        let uri = uri.map_err(|_| Error::Usage("the queue is not valid in a URL path".into()))?;
        let header = |key: &str| HeaderValue::try_from(format!("Bearer {key}"));
        let authorization = key.map(header).transpose();
        let authorization = authorization
            .map_err(|_| Error::Usage("the key is not valid in an HTTP header".into()))?;
        Ok(Self { method, uri, authorization })
    }
}

/// Fields of a problem document that are counted.
#[derive(Deserialize)]
struct Problem {
    code: u16,
    run_state: ProblemRunState,
}

#[derive(Deserialize)]
enum ProblemRunState {
    #[serde(rename = "not run")]
    NotRun,
    #[serde(rename = "outcome unknown")]
    OutcomeUnknown,
}

impl From<ProblemRunState> for RunState {
    fn from(state: ProblemRunState) -> Self {
        match state {
            ProblemRunState::NotRun => Self::NotRun,
            ProblemRunState::OutcomeUnknown => Self::OutcomeUnknown,
        }
    }
}

type Connection = SendRequest<Empty<Bytes>>;

/// Sends requests to one entry instance and reconnects when needed.
pub struct Sender {
    address: SocketAddr,
    template: RequestTemplate,
    timeout: Duration,
    connection: Option<Connection>,
}

impl Sender {
    /// Creates a sender that connects on first use.
    pub fn new(address: SocketAddr, template: RequestTemplate, timeout: Duration) -> Self {
        Self { address, template, timeout, connection: None }
    }

    /// Sends one request and reads the whole response.
    pub async fn send(&mut self) -> Outcome {
        let deadline = Instant::now() + self.timeout;
        let mut connection = match timeout_at(deadline, self.connection()).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => return Outcome::NotConnected,
        };
        match timeout_at(deadline, exchange(&mut connection, self.request())).await {
            Ok(Ok(outcome)) => {
                self.connection = Some(connection);
                outcome
            }
            Ok(Err(_)) => Outcome::Broken,
            Err(_) => Outcome::TimedOut,
        }
    }

    /// Returns the open connection, or opens a new one.
    async fn connection(&mut self) -> Result<Connection> {
        if let Some(mut connection) = self.connection.take()
            && connection.ready().await.is_ok()
        {
            return Ok(connection);
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn request(&self) -> Request<Empty<Bytes>> {
        let mut request = Request::new(Empty::new());
        *request.method_mut() = self.template.method.clone();
        *request.uri_mut() = self.template.uri.clone();
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::try_from(self.address.to_string()) {
            headers.insert(HOST, host);
        }
        if let Some(authorization) = &self.template.authorization {
            headers.insert(AUTHORIZATION, authorization.clone());
        }
        request
    }

    /// Closes the connection.
    pub fn close(self) {}
}

type ExchangeError = Box<dyn std::error::Error + Send + Sync>;

async fn exchange(
    connection: &mut Connection,
    request: Request<Empty<Bytes>>,
) -> std::result::Result<Outcome, ExchangeError> {
    let response = connection.send_request(request).await?;
    let status = response.status();
    let is_problem =
        response.headers().get(CONTENT_TYPE).is_some_and(|media_type| media_type == PROBLEM_JSON);
    let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX).collect().await?.to_bytes();
    Ok(match is_problem {
        true => refusal(status, &body),
        false => {
            Outcome::Answered { status: status.as_u16(), code: None, run: RunState::Unspecified }
        }
    })
}

fn refusal(status: StatusCode, body: &[u8]) -> Outcome {
    let problem = serde_json::from_slice::<Problem>(body).ok();
    let (code, run) = match problem {
        Some(problem) => (Some(problem.code), problem.run_state.into()),
        None => (None, RunState::Unspecified),
    };
    Outcome::Answered { status: status.as_u16(), code, run }
}
