//! Connections to other entry instances. They run on a thread of their own, as Cap'n Proto objects
//! cannot leave the thread that created them.

mod client;
mod connection;
mod server;
mod traffic;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread::JoinHandle;
use std::time::Duration;

use cassiafold_config::Version;
use cassiafold_wire::Hello;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

pub use self::traffic::Traffic;
use crate::config_sync::ConfigSync;
use crate::identity::Identity;
use crate::relay::Target;
use crate::roster::Roster;

/// Interval at which the targets are updated.
const TARGETS_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait on close until all peers are notified that this entry instance leaves.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the connections.
#[derive(Debug, Clone)]
pub struct PeersSettings {
    /// Longest time between two reports to a peer.
    pub report_interval: Duration,
    /// Timeout of a call.
    pub call_timeout: Duration,
    /// Addresses of entry instances to contact while no other is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for PeersSettings {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
            seeds: Vec::new(),
        }
    }
}

/// State that the tasks of all connections share.
#[derive(Debug, Clone)]
struct Context {
    roster: Roster,
    config_sync: ConfigSync,
    ledger_revision_hint: Arc<AtomicU64>,
    settings: PeersSettings,
    traffic: Traffic,
    stop: CancellationToken,
}

/// Handle of the thread that runs the connections to other entry instances.
#[derive(Debug)]
pub struct Peers {
    thread: JoinHandle<()>,
    traffic: Traffic,
    stop: CancellationToken,
}

impl Peers {
    /// Accepts connections on `listener` and reports to the targets that `roster` chooses.
    pub fn start(
        listener: TcpListener,
        settings: PeersSettings,
        roster: Roster,
        config_sync: ConfigSync,
        ledger_revision_hint: Arc<AtomicU64>,
    ) -> io::Result<Self> {
        let listener = listener.into_std()?;
        let traffic = Traffic::default();
        let stop = CancellationToken::new();
        let context = Context {
            roster,
            config_sync,
            ledger_revision_hint,
            settings,
            traffic: traffic.clone(),
            stop: stop.clone(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let run = move || {
            let connections = run(listener, context);
            if let Err(error) = runtime.block_on(LocalSet::new().run_until(connections)) {
                log::error!("connections to other entry instances stopped: {error}");
            }
        };
        let thread = std::thread::Builder::new().name("peers".into()).spawn(run)?;
        Ok(Self { thread, traffic, stop })
    }

    /// Returns the counters of bytes and calls.
    pub fn traffic(&self) -> Traffic {
        self.traffic.clone()
    }

    /// Notifies the peers that this entry instance leaves, and closes the connections.
    pub async fn close(self) {
        self.stop.cancel();
        let _ = tokio::task::spawn_blocking(move || self.thread.join()).await;
    }
}

async fn run(listener: std::net::TcpListener, context: Context) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    spawn_local(server::serve(listener, context.clone()));
    let seeds = context.settings.seeds.clone();
    spawn_local(client::discover_entries(seeds, context.clone()));
    let mut tasks: BTreeMap<Target, tokio::task::JoinHandle<()>> = BTreeMap::new();
    while !context.stop.is_cancelled() {
        follow_targets(&mut tasks, &context);
        tokio::select! {
            () = sleep(TARGETS_INTERVAL) => {}
            () = context.stop.cancelled() => {}
        }
    }
    let sessions = futures_util::future::join_all(tasks.into_values());
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, sessions).await;
    Ok(())
}

/// Starts a task for each new target and aborts those of removed ones.
fn follow_targets(tasks: &mut BTreeMap<Target, tokio::task::JoinHandle<()>>, context: &Context) {
    let targets = context.roster.targets();
    tasks.retain(|target, task| {
        let wanted = targets.contains(target);
        if !wanted {
            task.abort();
        }
        wanted
    });
    for target in targets {
        let task = || spawn_local(client::report_to(target.clone(), context.clone()));
        tasks.entry(target.clone()).or_insert_with(task);
    }
}

fn hello_of(identity: &Identity, config_version: Version) -> Hello {
    Hello {
        id: identity.id.clone(),
        zone: identity.zone.clone(),
        region: identity.region.clone(),
        config_version,
        incarnation: identity.incarnation,
        address: identity.address,
    }
}

fn identity_of(hello: &Hello) -> Identity {
    Identity {
        id: hello.id.clone(),
        zone: hello.zone.clone(),
        region: hello.region.clone(),
        address: hello.address,
        incarnation: hello.incarnation,
    }
}
