//! Processor time per request: directly to a backend server, through a minimal forwarder on axum
//! and hyper, and through the request path. Caller and backend server run in the same process, so
//! only the differences between the three are meaningful.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use cassiafold_config::raw::RawConfig;
use cassiafold_config::{ActiveConfig, Config, Instance, InstanceState, KeyHash};
use cassiafold_dispatch::{CallerApi, Metrics, Server, Sources};
use criterion::{Criterion, criterion_group, criterion_main};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rustix::time::{ClockId, clock_gettime};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

const CALLERS: usize = 8;
const KEY: &str = "bench-key";
const PATH: &str = "/queues/portal/work";

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

async fn listen() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free")
}

async fn serve(router: Router) -> SocketAddr {
    let listener = listen().await;
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

async fn start_backend() -> SocketAddr {
    let response = |request: Request| async move {
        let mut response = Response::new(Body::from("done\n"));
        if let Some(id) = request.headers().get("x-request-id") {
            response.headers_mut().insert("x-request-id", id.clone());
        }
        response
    };
    serve(Router::new().fallback(response)).await
}

async fn connect<B>(address: SocketAddr) -> SendRequest<B>
where
    B: http_body::Body<Data = bytes::Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = TcpStream::connect(address).await.expect("the server accepts connections");
    stream.set_nodelay(true).expect("the socket option is supported");
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.expect("the handshake succeeds");
    tokio::spawn(connection);
    sender
}

/// Idle connections of the minimal forwarder.
#[derive(Clone)]
struct Forwarder {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<SendRequest<Body>>>>,
}

async fn forward(State(forwarder): State<Forwarder>, request: Request) -> Response {
    let idle = forwarder.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let mut sender = match idle {
        Some(sender) => sender,
        None => connect(forwarder.address).await,
    };
    sender.ready().await.expect("the connection is open");
    let response = sender.send_request(request).await.expect("the backend server responds");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("the response is complete").to_bytes();
    forwarder.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
    Response::from_parts(parts, Body::from(body))
}

async fn start_forwarder(address: SocketAddr) -> SocketAddr {
    let forwarder = Forwarder { address, idle: Arc::default() };
    serve(Router::new().fallback(forward).with_state(forwarder)).await
}

async fn start_request_path(address: SocketAddr) -> SocketAddr {
    let raw: RawConfig = serde_json::from_value(serde_json::json!({
        "version": 1,
        "zones": {"a": {"region": "n"}},
        "services": {"portal": {"floor_share": 0.5}},
        "pools": {"portal": {"service": "portal"}},
        "teams": {"team": {
            "share": 1, "upper_limit": 100, "key_hashes": [KeyHash::of(KEY).to_hex()]
        }},
    }))
    .expect("the configuration is well formed");
    let config = ActiveConfig::default();
    config.offer(Arc::new(Config::try_from(raw).expect("the configuration is valid")));
    let instance = Instance {
        id: "i".into(),
        address,
        zone: "a".into(),
        rack: "r".into(),
        pool: "portal".into(),
        state: InstanceState::Live,
    };
    let (sender, instances) = watch::channel(Arc::new(vec![instance]));
    let dependencies = <Sources>::default();
    let caller_api =
        CallerApi::start(dependencies, config, instances, "a".into(), Metrics::default());
    let server = Server::start(listen().await, caller_api).expect("the server starts");
    let address = server.address();
    tokio::spawn(async move {
        let _kept = (server, sender);
        std::future::pending::<()>().await
    });
    address
}

async fn call(sender: &mut SendRequest<Empty<bytes::Bytes>>) {
    let request = http::Request::post(PATH)
        .header("host", "entry")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Empty::new())
        .expect("the request is well formed");
    sender.ready().await.expect("the connection is open");
    let response = sender.send_request(request).await.expect("there is a response");
    assert!(response.status().is_success(), "{}", response.status());
    response.into_body().collect().await.expect("the response is complete");
}

/// Sends `count` requests from callers that each keep a connection.
async fn call_all(address: SocketAddr, count: u64) {
    let each = count.div_ceil(CALLERS as u64);
    let callers = (0..CALLERS).map(|_| {
        tokio::spawn(async move {
            let mut sender = connect(address).await;
            for _ in 0..each {
                call(&mut sender).await;
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("the caller ends");
    }
}

fn runtime() -> Runtime {
    Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime starts")
}

fn processor_time_per_request(criterion: &mut Criterion) {
    let runtime = runtime();
    let (direct, forwarder, request_path) = runtime.block_on(async {
        let backend = start_backend().await;
        (backend, start_forwarder(backend).await, start_request_path(backend).await)
    });
    let mut group = criterion.benchmark_group("processor time");
    group.sample_size(20);
    for (name, address) in
        [("straight", direct), ("thin forwarder", forwarder), ("request path", request_path)]
    {
        group.bench_function(name, |bench| {
            bench.iter_custom(|count| {
                let before = processor_time();
                runtime.block_on(call_all(address, count.max(CALLERS as u64)));
                let spent = processor_time() - before;
                let sent = count.max(CALLERS as u64).next_multiple_of(CALLERS as u64);
                spent.mul_f64(count as f64 / sent as f64)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, processor_time_per_request);
criterion_main!(benches);
