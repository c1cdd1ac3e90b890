//! Client of the operators' interface.

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

/// Variable that holds the operators' credential.
const CREDENTIAL_VARIABLE: &str = "CASSIAFOLD_CREDENTIAL";

/// Sends requests to the first entry instance that answers.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    credential_file: Option<PathBuf>,
    operator: Option<String>,
    timeout: Duration,
}

/// One request. A repeat at another entry instance finds the first by the write id.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    write_id: String,
    base_version: Option<u64>,
    media_type: &'static str,
    body: Bytes,
}

impl Call {
    /// A request without a body.
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

    /// A request that reads.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    /// A request that changes something.
    pub fn post(path: impl Into<String>) -> Self {
        Self::new(Method::POST, path)
    }

    /// Adds a JSON body.
    pub fn with_body(mut self, body: &impl Serialize) -> Result<Self> {
        self.body = serde_json::to_vec(body)?.into();
        Ok(self)
    }

    /// Makes the request a patch of `base_version`.
    pub fn with_patch(mut self, base_version: u64, media_type: &'static str) -> Self {
        self.base_version = Some(base_version);
        self.media_type = media_type;
        self
    }

    /// Repeats an earlier request.
    pub fn with_write_id(mut self, write_id: Option<&str>) -> Self {
        if let Some(write_id) = write_id {
            self.write_id = write_id.to_owned();
        }
        self
    }
}

/// How one try of a request failed.
enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// The answer was lost.
    AnswerLost(String),
    /// The entry instance refused.
    Refused(Box<WireProblem>),
}

impl Client {
    /// Sends a request and reads its answer.
    pub async fn call<T: DeserializeOwned>(&self, call: &Call) -> Result<T> {
        let bytes = self.send(call).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    async fn send(&self, call: &Call) -> Result<Bytes> {
        let credential = self.credential()?;
        let mut lost = false;
        let mut last = Error::Unreachable("no address of an entry instance is given".into());
        for address in &self.addresses {
            let attempt = timeout(self.timeout, self.attempt(*address, &credential, call)).await;
            let late = || Err(Failure::AnswerLost("no answer in time".into()));
            match attempt.unwrap_or_else(|_| late()) {
                Ok(bytes) => return Ok(bytes),
                Err(Failure::NotSent(reason)) => {
                    last = Error::Unreachable(format!("{address}: {reason}"));
                }
                Err(Failure::AnswerLost(reason)) => {
                    lost = true;
                    last = Error::Unreachable(format!("{address}: {reason}"));
                }
                Err(Failure::Refused(problem)) if is_final(&problem, lost) => {
                    return Err(Error::Refused(problem));
                }
                Err(Failure::Refused(problem)) => {
                    lost |= problem.status == StatusCode::GATEWAY_TIMEOUT;
                    last = Error::Refused(problem);
                }
            }
        }
        if lost && call.method != Method::GET {
            let (write_id, reason) = (call.write_id.clone(), last.to_string());
            return Err(Error::OutcomeUnknown { write_id, reason });
        }
        Err(last)
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        credential: &str,
        call: &Call,
    ) -> std::result::Result<Bytes, Failure> {
        let request = self.request(address, credential, call);
        let request = request.map_err(|error| Failure::NotSent(error.to_string()))?;
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| Failure::NotSent(error.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Failure::NotSent(error.to_string()))?;
        tokio::spawn(connection);
        let lost = |error: hyper::Error| Failure::AnswerLost(error.to_string());
        let (parts, body) = sender.send_request(request).await.map_err(lost)?.into_parts();
        let bytes = body.collect().await.map_err(lost)?.to_bytes();
        if parts.status.is_success() {
            return Ok(bytes);
        }
        let is_problem = parts.headers.get(CONTENT_TYPE).is_some_and(|kind| kind == PROBLEM_JSON);
        let problem = serde_json::from_slice(&bytes).ok().filter(|_| is_problem);
        let problem = problem.map(Failure::Refused);
        Err(problem.unwrap_or_else(|| Failure::AnswerLost(format!("status {}", parts.status))))
    }

    fn request(
        &self,
        address: SocketAddr,
        credential: &str,
        call: &Call,
    ) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(HOST, address.to_string())
            .header(AUTHORIZATION, format!("Bearer {credential}"))
            .header(WRITE_ID_HEADER, &call.write_id);
        if let Some(operator) = self.operator.as_deref().filter(|name| is_valid_id(name)) {
            request = request.header(OPERATOR_HEADER, operator);
        }
        if let Some(version) = call.base_version {
            request = request.header(IF_MATCH, format!("\"{version}\""));
        }
        if !call.body.is_empty() {
            request = request.header(CONTENT_TYPE, call.media_type);
        }
        request.body(Full::new(call.body.clone()))
    }

    fn credential(&self) -> Result<String> {
        if let Some(path) = &self.credential_file {
            return read_secret(path);
        }
        let missing = format!("give --credential-file or set {CREDENTIAL_VARIABLE}");
        std::env::var(CREDENTIAL_VARIABLE).map_err(|_| Error::Usage(missing))
    }
}

/// Whether a refusal settles the request. Once an answer was lost, only the one does that finds
/// the version replaced by another write.
fn is_final(problem: &WireProblem, lost: bool) -> bool {
    let stale = OperatorsCode::VersionStale.row().number;
    problem.status < 500 && (!lost || problem.code == stale)
}

/// Reads a secret from a file, without the line end.
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
