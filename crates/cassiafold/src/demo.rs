//! Demo: the stand-in platform, backend servers and entry instances in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{ActiveConfig, Config, InstanceState};
use cassiafold_dispatch::Sources;
use cassiafold_platform::ListedInstance;
use cassiafold_standin::{Backend, BackendCounts, MemoryInstances};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::command::DemoOptions;
use crate::entry;
use crate::error::{Error, Result};

const DEMO_CONFIG: &str = include_str!("demo.yaml");
const DEMO_KEY: &str = "demo-key";
const ZONES: [&str; 3] = ["a", "b", "c"];
const INSTANCES: usize = 6;

/// Runs the demo until it is interrupted, or for one request.
pub fn run(options: &DemoOptions) -> Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_fleet(options))
}

async fn run_fleet(options: &DemoOptions) -> Result<ExitCode> {
    let config = load_config(options)?;
    let active = ActiveConfig::default();
    active.offer(Arc::new(config));
    let instances = start_backends().await?;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let mut listed = entry::follow_instances(instances, Arc::new(|_| Some("portal".into())));
    let _ = listed.changed().await;
    let server = entry::serve(listener, active, listed, <Sources>::default(), ZONES[0].into())?;
    println!("callers: http://{address}/queues/portal/ with key {DEMO_KEY}");
    if options.once {
        print!("{}", fetch(address).await?);
        server.close(Duration::ZERO, std::future::pending()).await;
        return Ok(ExitCode::SUCCESS);
    }
    tokio::signal::ctrl_c().await?;
    let forced = async { tokio::signal::ctrl_c().await.unwrap_or_default() };
    server.close(Duration::ZERO, forced).await;
    Ok(ExitCode::SUCCESS)
}

fn load_config(options: &DemoOptions) -> Result<Config> {
    let text = match &options.config {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|source| Error::ReadFile { path: path.clone(), source })?,
        None => DEMO_CONFIG.to_owned(),
    };
    let raw: RawConfig =
        serde_saphyr::from_str(&text).map_err(|error| Error::Usage(error.to_string()))?;
    Ok(Config::try_from(raw)?)
}

async fn start_backends() -> Result<MemoryInstances> {
    let instances = MemoryInstances::default();
    for index in 0..INSTANCES {
        let id: Arc<str> = format!("portal-{index}").into();
        let zone: Arc<str> = ZONES[index % ZONES.len()].into();
        let backend = Backend::start(id.clone(), BackendCounts::default()).await?;
        let rack = format!("{zone}-1").into();
        let (address, state) = (backend.address, InstanceState::Live);
        instances.put(ListedInstance { id, address, zone, rack, state });
    }
    Ok(instances)
}

async fn fetch(address: SocketAddr) -> Result<String> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = http::Request::get("/queues/portal/")
        .header(http::header::HOST, address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {DEMO_KEY}"))
        .body(Empty::<bytes::Bytes>::new())
        .map_err(|error| Error::Usage(error.to_string()))?;
    let answer = sender.send_request(request).await?;
    let body = answer.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}
