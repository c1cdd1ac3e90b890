//! The `demo` command: a stand-in platform, backend servers and entry instances in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cassiafold_config::raw::{CURRENT_KEY, RawConfig};
use cassiafold_config::{Config, InstanceState, KeyHash, Settings};
use cassiafold_platform::{Compare, ListedInstance, Store, Write};
use cassiafold_standin::{Backend, BackendCounts, MemoryInstances, MemoryStore};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use prometheus_client::registry::Registry;
use tokio::net::TcpStream;

use crate::command::DemoOptions;
use crate::entry::{Entry, Platform};
use crate::error::{Error, Result};

const DEMO_CONFIG: &str = include_str!("demo.yaml");
const DEMO_KEY: &str = "demo-key";
const DEMO_CREDENTIAL: &str = "demo-credential";
const ZONES: [&str; 3] = ["a", "b", "c"];
const ENTRY_COUNT: usize = 3;
const INSTANCE_COUNT: usize = 6;
/// Timeout for all entry instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which readiness and the first response are polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for the first response of a backend server.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

type DemoPlatform = Platform<MemoryStore, MemoryInstances, MemoryInstances>;

/// Runs the demo until it is interrupted, or for one request if `options.once` is set.
pub fn run(options: &DemoOptions) -> Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_fleet(options))
}

async fn run_fleet(options: &DemoOptions) -> Result<ExitCode> {
    let config = load_config(options)?;
    let store = MemoryStore::default();
    store_config(&store, &config).await?;
    let instances = start_backends().await?;
    let mut entries = Vec::new();
    for index in 0..ENTRY_COUNT {
        let settings = settings(index)?;
        let client = store.client(settings.instance_id.clone());
        let platform: DemoPlatform =
            Platform { store: client, list: instances.clone(), control: instances.clone() };
        entries.push(Entry::start(&settings, platform, Registry::default()).await?);
    }
    wait_ready(&entries).await?;
    for entry in &entries {
        let (callers, operators) = (entry.callers_address(), entry.operators_address());
        println!("callers: http://{callers}/queues/portal/ with key {DEMO_KEY}");
        println!("operators: {operators} with credential {DEMO_CREDENTIAL}");
    }
    if options.once {
        print!("{}", first_response(entries[0].callers_address()).await?);
    } else {
        tokio::signal::ctrl_c().await?;
    }
    for entry in entries {
        let forced = async { tokio::signal::ctrl_c().await.unwrap_or_default() };
        entry.close(Duration::ZERO, forced).await;
    }
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

async fn store_config(store: &MemoryStore, config: &Config) -> Result<()> {
    let value = serde_json::to_vec(&RawConfig::from(config))?;
    let write = Write::put(CURRENT_KEY, Compare::Absent, value);
    let outcome = store.write(write).await;
    outcome.map_err(|error| Error::Usage(error.to_string()))?;
    Ok(())
}

fn settings(index: usize) -> Result<Settings> {
    let zone = ZONES[index % ZONES.len()];
    let hash = KeyHash::of(DEMO_CREDENTIAL).to_hex();
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let text = format!(
        "instance_id: entry-{zone}{index}\nzone: {zone}\nregion: north\n\
         callers_address: {loopback}\noperators_address: {loopback}\npeers_address: {loopback}\n\
         store_addresses: [{loopback}]\ninstance_list_address: {loopback}\n\
         instance_control_address: {loopback}\noperators_key_hash: {hash}\n"
    );
    Ok(Settings::from_yaml(&text)?)
}

async fn start_backends() -> Result<MemoryInstances> {
    let instances = MemoryInstances::default();
    for index in 0..INSTANCE_COUNT {
        let id: Arc<str> = format!("portal-{index}").into();
        let zone: Arc<str> = ZONES[index % ZONES.len()].into();
        let backend = Backend::start(id.clone(), BackendCounts::default()).await?;
        let rack = format!("{zone}-1").into();
        let (address, state) = (backend.address, InstanceState::Live);
        instances.put(ListedInstance { id, address, zone, rack, state });
    }
    Ok(instances)
}

async fn wait_ready(entries: &[Entry]) -> Result<()> {
    let ready = async {
        while !entries.iter().all(Entry::is_ready) {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    let ready = tokio::time::timeout(READY_TIMEOUT, ready).await;
    ready.map_err(|_| Error::Usage("the entry instances did not become ready".into()))
}

/// Retries a request until a backend server responds with success and returns the body.
async fn first_response(address: SocketAddr) -> Result<String> {
    let response = async {
        loop {
            let (status, body) = fetch(address).await?;
            if status.is_success() {
                return Ok(body);
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    let response = tokio::time::timeout(FIRST_RESPONSE_TIMEOUT, response).await;
    response.unwrap_or_else(|_| Err(Error::Usage("no backend server answered".into())))
}

async fn fetch(address: SocketAddr) -> Result<(http::StatusCode, String)> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = http::Request::get("/queues/portal/")
        .header(http::header::HOST, address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {DEMO_KEY}"))
        .body(Empty::<Bytes>::new())
        .map_err(|error| Error::Usage(error.to_string()))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
