//! Request path with stand-in backend servers, and a client for it.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod faults;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cassiafold_config::raw::RawConfig;
use cassiafold_config::{ActiveConfig, Config, Instance, InstanceState, KeyHash};
use cassiafold_dispatch::{CallerApi, Dependencies, Metrics, Server, Sources};
use cassiafold_standin::{Backend, BackendCounts, BackendOptions, FaultPlan};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Key of the team `parishes`.
pub const KEY: &str = "key-of-parishes";
/// Key of the team `families`.
pub const OTHER_KEY: &str = "key-of-families";
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Configuration with two services, two teams and three zones. `change` edits the document before
/// it is validated.
pub fn config(version: u64, change: impl FnOnce(&mut Value)) -> Arc<Config> {
    let mut document = json!({
        "version": version,
        "zones": {"a": {"region": "north"}, "b": {"region": "north"}, "c": {"region": "north"}},
        "services": {
            "portal": {"floor_share": 0.5, "body_max_bytes": 100_000},
            "lookup": {"floor_share": 0.5, "open": true},
        },
        "pools": {"portal": {"service": "portal"}, "lookup": {"service": "lookup"}, "spare": {}},
        "teams": {
            "parishes": {
                "share": 3, "upper_limit": 100, "key_hashes": [KeyHash::of(KEY).to_hex()]
            },
            "families": {
                "share": 1, "upper_limit": 100, "key_hashes": [KeyHash::of(OTHER_KEY).to_hex()]
            },
        },
    });
    change(&mut document);
    let raw: RawConfig = serde_json::from_value(document).expect("the document is well formed");
    Arc::new(Config::try_from(raw).expect("the document is valid"))
}

/// A request path with stand-in backend servers.
pub struct Fleet<E: Dependencies = Sources> {
    pub server: Server<E>,
    pub config: ActiveConfig,
    pub instances: watch::Sender<Arc<Vec<Instance>>>,
    pub backends: Vec<Backend>,
    pub counts: BackendCounts,
    /// Fault plan of the first backend server and of all that share it.
    pub faults: FaultPlan,
}

impl Fleet {
    /// Starts two backend servers of `portal` in one zone, each in its own rack.
    pub async fn start() -> Self {
        Self::start_with(
            &vec![BackendOptions::default(); 2],
            <Sources>::default(),
            config(1, |_| {}),
        )
        .await
    }
}

impl<E: Dependencies> Fleet<E> {
    /// Starts one backend server of `portal` for each of `options`, each in its own rack. The first
    /// two are in zone a; from the third on, zones follow in turn by index.
    pub async fn start_with(
        options: &[BackendOptions],
        dependencies: E,
        document: Arc<Config>,
    ) -> Self {
        let (counts, faults) = (BackendCounts::default(), options[0].faults.clone());
        let mut backends = Vec::new();
        for (index, options) in options.iter().enumerate() {
            let id = format!("portal-{index}").into();
            let started = Backend::start_with(id, counts.clone(), options.clone()).await;
            backends.push(started.expect("a backend server starts"));
        }
        let list_instance =
            backends.iter().enumerate().map(|(index, backend)| list_instance(index, backend));
        let (instances, receiver) = watch::channel(Arc::new(list_instance.collect()));
        let config = ActiveConfig::default();
        config.offer(document);
        let caller_api = CallerApi::start(
            dependencies,
            config.clone(),
            receiver,
            "a".into(),
            Metrics::default(),
        );
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
        let server = Server::start(listener, caller_api).expect("the server starts");
        Self { server, config, instances, backends, counts, faults }
    }

    /// Changes the list of instances.
    pub fn edit(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        self.instances.send_modify(|list| change(Arc::make_mut(list)));
    }

    /// Prepares a call to `/queues/portal{path}` with the key of `parishes`.
    pub fn call(&self, method: Method, path: &str, id: &str) -> Call {
        Call::new(self.server.address(), method, &format!("/queues/portal{path}"))
            .header("authorization", &format!("Bearer {KEY}"))
            .header("x-request-id", id)
    }
}

fn list_instance(index: usize, backend: &Backend) -> Instance {
    let zone = if index < 2 { "a" } else { ["a", "b", "c"][index % 3] };
    Instance {
        id: format!("portal-{index}").into(),
        address: backend.address,
        zone: zone.into(),
        rack: format!("{zone}-{index}").into(),
        pool: "portal".into(),
        state: InstanceState::Live,
    }
}

/// A call to an entry instance.
#[derive(Clone)]
pub struct Call {
    address: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

/// Response received by a caller.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The complete body; `None` if it ended early.
    pub body: Option<Bytes>,
    pub trailers: Option<HeaderMap>,
}

impl CallerResponse {
    /// Returns a member of the problem document.
    pub fn problem(&self, member: &str) -> Option<Value> {
        let is_problem = self.headers.get("content-type")? == "application/problem+json";
        let document: Value = serde_json::from_slice(self.body.as_ref()?).ok()?;
        document.get(member).filter(|_| is_problem).cloned()
    }

    /// Returns the result code of a problem document, or zero for another response.
    pub fn code(&self) -> u64 {
        self.problem("code").and_then(|code| code.as_u64()).unwrap_or(0)
    }

    /// Returns the run state of a problem document, or an empty string for another response.
    pub fn run_state(&self) -> String {
        let state = self.problem("run_state");
        state.and_then(|state| state.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// Returns status, code and run state in one line.
    pub fn summary(&self) -> String {
        let status = self.status.as_u16();
        match (&self.body, self.code()) {
            (None, _) => format!("{status}, broken transfer"),
            (Some(_), 0) => format!("{status}, whole"),
            (Some(_), code) => format!("{status}, code {code}, {}", self.run_state()),
        }
    }
}

impl Call {
    pub fn new(address: SocketAddr, method: Method, path: &str) -> Self {
        let (headers, body) = (Vec::new(), Bytes::new());
        Self { address, method, path: path.to_owned(), headers, body }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn key(mut self, key: &str) -> Self {
        self.headers.retain(|(name, _)| name != "authorization");
        self.header("authorization", &format!("Bearer {key}"))
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    pub fn deadline_ms(self, deadline_ms: u64) -> Self {
        self.header("x-deadline-ms", &deadline_ms.to_string())
    }

    /// Sends the request over a new connection.
    pub async fn send(self) -> CallerResponse {
        let response = tokio::time::timeout(CALL_TIMEOUT, self.exchange()).await;
        response.expect("the call gets a response")
    }

    async fn exchange(self) -> CallerResponse {
        let stream = TcpStream::connect(self.address).await.expect("the entry instance listens");
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.expect("the handshake succeeds");
        let task = tokio::spawn(connection);
        let mut request =
            Request::builder().method(self.method).uri(&self.path).header("host", "entry");
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(self.body)).expect("the request is well formed");
        let response = sender.send_request(request).await.expect("the entry instance responds");
        let (status, headers) = (response.status(), response.headers().clone());
        let collected = response.into_body().collect().await.ok();
        let trailers = collected.as_ref().and_then(|body| body.trailers().cloned());
        task.abort();
        CallerResponse { status, headers, body: collected.map(|body| body.to_bytes()), trailers }
    }
}
