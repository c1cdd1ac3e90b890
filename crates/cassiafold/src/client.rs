//! HTTP client of the operators' interface.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use cassiafold_config::id::is_valid_id;
use cassiafold_config::key::new_write_id;
use cassiafold_operators::OperatorsCode;
use cassiafold_operators::problem::{PROBLEM_JSON, WireProblem};
use cassiafold_operators::wire::{OPERATOR_HEADER, WRITE_ID_HEADER};
use clap::ArgMatches;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, IF_MATCH};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{Error, Result};

/// Environment variable that holds the operators' credential.
const CREDENTIAL_VARIABLE: &str = "CASSIAFOLD_CREDENTIAL";

/// Sends each request to the configured entry instances in turn until one responds.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    credential_file: Option<PathBuf>,
    operator: Option<String>,
    timeout: Duration,
}

/// A request to the operators' interface.
///
/// The write id identifies a retry of the same write at another entry instance.
#[derive(Debug, Clone)]
pub struct ApiRequest {
    method: Method,
    path: String,
    write_id: String,
    base_version: Option<u64>,
    media_type: &'static str,
    body: Bytes,
}

impl ApiRequest {
    /// Creates a request without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            write_id: new_write_id(),
            base_version: None,
            media_type: "application/json",
            body: Bytes::new(),
        }
    }

    /// Creates a GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    /// Creates a POST request.
    pub fn post(path: impl Into<String>) -> Self {
        Self::new(Method::POST, path)
    }

    /// Sets the JSON body.
    pub fn with_body(mut self, body: &impl Serialize) -> Result<Self> {
        self.body = serde_json::to_vec(body)?.into();
        Ok(self)
    }

    /// Makes the request a patch of configuration version `base_version`.
    pub fn with_patch(mut self, base_version: u64, media_type: &'static str) -> Self {
        self.base_version = Some(base_version);
        self.media_type = media_type;
        self
    }

    /// Replaces the write id, if one is given, to retry an earlier request.
    pub fn with_write_id(mut self, write_id: Option<&str>) -> Self {
        if let Some(write_id) = write_id {
            self.write_id = write_id.to_owned();
        }
        self
    }
}

/// Failure of one attempt to send a request.
enum AttemptError {
    /// The request was not sent.
    NotSent(String),
    /// The request was sent, but no usable response was received.
    ResponseLost(String),
    /// The entry instance refused the request.
    Refused(Box<WireProblem>),
}

impl Client {
    /// Sends a request and decodes its JSON response.
    ///
    /// Returns `Error::OutcomeUnknown` if a write may have taken effect.
    pub async fn send<T: DeserializeOwned>(&self, api_request: &ApiRequest) -> Result<T> {
        let bytes = self.send_in_turn(api_request).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    async fn send_in_turn(&self, api_request: &ApiRequest) -> Result<Bytes> {
        let credential = self.credential()?;
        let mut response_lost = false;
        let mut last_error = Error::Unreachable("no address of an entry instance is given".into());
        for address in &self.addresses {
            let attempt =
                timeout(self.timeout, self.attempt(*address, &credential, api_request)).await;
            let timed_out =
                || Err(AttemptError::ResponseLost("no response before the timeout".into()));
            match attempt.unwrap_or_else(|_| timed_out()) {
                Ok(bytes) => return Ok(bytes),
                Err(AttemptError::NotSent(reason)) => {
                    last_error = Error::Unreachable(format!("{address}: {reason}"));
                }
                Err(AttemptError::ResponseLost(reason)) => {
                    response_lost = true;
                    last_error = Error::Unreachable(format!("{address}: {reason}"));
                }
                Err(AttemptError::Refused(problem)) if is_conclusive(&problem, response_lost) => {
                    return Err(Error::Refused(problem));
                }
                Err(AttemptError::Refused(problem)) => {
                    response_lost |= problem.status == StatusCode::GATEWAY_TIMEOUT;
                    last_error = Error::Refused(problem);
                }
            }
        }
        if response_lost && api_request.method != Method::GET {
            let (write_id, reason) = (api_request.write_id.clone(), last_error.to_string());
            return Err(Error::OutcomeUnknown { write_id, reason });
        }
        Err(last_error)
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        credential: &str,
        api_request: &ApiRequest,
    ) -> std::result::Result<Bytes, AttemptError> {
        let request = self.request(address, credential, api_request);
        let request = request.map_err(|error| AttemptError::NotSent(error.to_string()))?;
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| AttemptError::NotSent(error.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| AttemptError::NotSent(error.to_string()))?;
        tokio::spawn(connection);
        let response_lost = |error: hyper::Error| AttemptError::ResponseLost(error.to_string());
        let (parts, body) = sender.send_request(request).await.map_err(response_lost)?.into_parts();
        let bytes = body.collect().await.map_err(response_lost)?.to_bytes();
        if parts.status.is_success() {
            return Ok(bytes);
        }
        let is_problem = parts.headers.get(CONTENT_TYPE).is_some_and(|kind| kind == PROBLEM_JSON);
        let problem = serde_json::from_slice(&bytes).ok().filter(|_| is_problem);
        let problem = problem.map(AttemptError::Refused);
        Err(problem
            .unwrap_or_else(|| AttemptError::ResponseLost(format!("status {}", parts.status))))
    }

    fn request(
        &self,
        address: SocketAddr,
        credential: &str,
        api_request: &ApiRequest,
    ) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(api_request.method.clone())
            .uri(&api_request.path)
            .header(HOST, address.to_string())
            .header(AUTHORIZATION, format!("Bearer {credential}"))
            .header(WRITE_ID_HEADER, &api_request.write_id);
        if let Some(operator) = self.operator.as_deref().filter(|name| is_valid_id(name)) {
            request = request.header(OPERATOR_HEADER, operator);
        }
        if let Some(version) = api_request.base_version {
            request = request.header(IF_MATCH, format!("\"{version}\""));
        }
        if !api_request.body.is_empty() {
            request = request.header(CONTENT_TYPE, api_request.media_type);
        }
        request.body(Full::new(api_request.body.clone()))
    }

    fn credential(&self) -> Result<String> {
        if let Some(path) = &self.credential_file {
            return read_secret(path);
        }
        let missing = format!("give --credential-file or set {CREDENTIAL_VARIABLE}");
        std::env::var(CREDENTIAL_VARIABLE).map_err(|_| Error::Usage(missing))
    }
}

/// Returns whether a refusal ends the request without a further attempt.
///
/// After a lost response, an earlier attempt may have taken effect. Then only a stale base version
/// is conclusive, because another write has replaced that version.
fn is_conclusive(problem: &WireProblem, response_lost: bool) -> bool {
    let stale = OperatorsCode::VersionStale.row().number;
    problem.status < 500 && (!response_lost || problem.code == stale)
}

/// Reads a secret from a file, without trailing whitespace.
pub fn read_secret(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::ReadFile { path: path.to_owned(), source })?;
    Ok(text.trim_end().to_owned())
}

impl TryFrom<&ArgMatches> for Client {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        let addresses = matches.get_many::<SocketAddr>("address").unwrap_or_default();
        let addresses: Vec<SocketAddr> = addresses.copied().collect();
        if addresses.is_empty() {
            return Err(Error::Usage("give --address or set CASSIAFOLD_ADDRESS".into()));
        }
        let timeout_ms = matches.get_one::<u64>("timeout-ms").copied().unwrap_or_default();
        Ok(Self {
            addresses,
            credential_file: matches.get_one::<PathBuf>("credential-file").cloned(),
            operator: matches.get_one::<String>("operator").cloned(),
            timeout: Duration::from_millis(timeout_ms),
        })
    }
}
