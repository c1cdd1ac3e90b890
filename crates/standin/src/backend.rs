//! Stand-in of a backend server, which counts what it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use cassiafold_config::InstanceId;
use http::HeaderValue;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Header that carries the id of a request in both directions.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// How often each request id was run. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct BackendCounts {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl BackendCounts {
    /// Notes one run of `request_id`.
    pub fn note(&self, request_id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(request_id.to_owned()).or_default() += 1;
    }

    /// How often `request_id` was run.
    pub fn runs(&self, request_id: &str) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(request_id).copied().unwrap_or(0)
    }

    /// Number of runs of all requests.
    pub fn total(&self) -> u32 {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).values().sum()
    }
}

/// A running stand-in backend server.
#[derive(Debug)]
pub struct Backend {
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// What it has run.
    pub counts: BackendCounts,
    server: JoinHandle<()>,
}

#[derive(Clone)]
struct Shared {
    id: InstanceId,
    counts: BackendCounts,
}

impl Backend {
    /// Starts a backend server on a free port of the loopback interface.
    pub async fn start(id: InstanceId, counts: BackendCounts) -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Shared { id, counts: counts.clone() };
        let router = Router::new().fallback(answer).with_state(shared);
        let server = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, counts, server })
    }

    /// Stops the server at once.
    pub fn close(self) {
        self.server.abort();
    }
}

async fn answer(State(shared): State<Shared>, request: Request) -> Response {
    let header = request.headers().get(REQUEST_ID_HEADER).cloned();
    let request_id = header.unwrap_or_else(|| HeaderValue::from_static("none"));
    shared.counts.note(request_id.to_str().unwrap_or("invalid"));
    let mut response = Response::new(Body::from(format!("served by {}\n", shared.id)));
    response.headers_mut().insert(REQUEST_ID_HEADER, request_id);
    response
}
