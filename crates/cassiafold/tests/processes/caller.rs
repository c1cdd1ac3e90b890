//! Test client that sends requests to an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Response to a request, or its absence.
#[derive(Debug, Clone, Default)]
pub struct CallerOutcome {
    /// Id of the request.
    pub request_id: String,
    /// HTTP status; zero without a response.
    pub status: u16,
    /// Result code, if the response is a problem document.
    pub code: Option<u64>,
    /// Run state, if the response is a problem document.
    pub run_state: Option<String>,
    /// Body of the response.
    pub body: String,
}

/// Sends one request on a new connection.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: String,
    key: String,
    request_id: String,
) -> CallerOutcome {
    let id = request_id.clone();
    let received = timeout(CALL_TIMEOUT, exchange(address, method, path, key, id)).await;
    let outcome = received.ok().flatten().unwrap_or_default();
    CallerOutcome { request_id, ..outcome }
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: String,
    key: String,
    request_id: String,
) -> Option<CallerOutcome> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(AUTHORIZATION, format!("Bearer {key}"))
        .header("x-request-id", request_id)
        .body(Full::new(Bytes::new()))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    let problem: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
    let code = problem["code"].as_u64();
    let run_state = problem["run_state"].as_str().map(str::to_owned);
    Some(CallerOutcome { request_id: String::new(), status, code, run_state, body })
}
