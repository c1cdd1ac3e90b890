//! The `standin` command, which runs a stand-in platform and backend servers.

mod settings;

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use cassiafold_config::check::from_yaml;
use cassiafold_config::{InstanceId, InstanceState, RackId, ZoneId};
use cassiafold_platform::ListedInstance;
use cassiafold_standin::{Backend, BackendCounts, BackendOptions, Platform, PlatformAddresses};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

use self::settings::{BackendGroup, RawStandinSettings, StandinSettings};
use crate::error::{Error, Result};

/// Message printed as one line of JSON once all servers listen.
#[derive(Debug, Serialize)]
struct ReadyMessage {
    platform: PlatformAddresses,
    backends: Vec<ReadyBackend>,
}

/// A started backend server.
#[derive(Debug, Serialize)]
struct ReadyBackend {
    id: InstanceId,
    address: SocketAddr,
    zone: ZoneId,
    rack: RackId,
}

/// Runs the stand-ins until SIGINT or SIGTERM.
pub fn run(path: &Path) -> Result<ExitCode> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::ReadFile { path: path.to_owned(), source })?;
    let settings = from_yaml::<RawStandinSettings, StandinSettings>(&text)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: StandinSettings) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let platform = Platform::start(settings.addresses).await?;
    let mut backends = Vec::new();
    for group in &settings.backends {
        for index in 0..group.count {
            backends.push(start_backend(&platform, group, index).await?);
        }
    }
    let (backends, listed): (Vec<_>, Vec<_>) = backends.into_iter().unzip();
    print_line(&ReadyMessage { platform: platform.addresses(), backends: listed })?;
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        _ = terminate.recv() => {}
    }
    backends.into_iter().for_each(Backend::close);
    platform.close().await;
    Ok(ExitCode::SUCCESS)
}

async fn start_backend(
    platform: &Platform,
    group: &BackendGroup,
    index: usize,
) -> Result<(Backend, ReadyBackend)> {
    let identity = group.identity(index);
    let options = BackendOptions {
        slots: group.slots,
        run_time: group.run_time,
        ..BackendOptions::default()
    };
    let backend =
        Backend::start_with(identity.id.clone(), BackendCounts::default(), options).await?;
    platform.instances.put(ListedInstance {
        id: identity.id.clone(),
        address: backend.address,
        zone: identity.zone.clone(),
        rack: identity.rack.clone(),
        state: InstanceState::Live,
    });
    let address = backend.address;
    Ok((
        backend,
        ReadyBackend { id: identity.id, address, zone: identity.zone, rack: identity.rack },
    ))
}

fn print_line(ready: &ReadyMessage) -> Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", serde_json::to_string(ready)?)?;
    out.flush()?;
    Ok(())
}
