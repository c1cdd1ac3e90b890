//! Stand-in of a backend server, which counts the requests it runs and injects faults.

mod connection;
mod fault;
mod http;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiafold_config::InstanceId;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use fault::{Fault, FaultPlan};

/// Header that carries the id of a request in both directions.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Number of runs of each request id. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct BackendCounts {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl BackendCounts {
    /// Counts one run of `request_id`.
    pub fn record_run(&self, request_id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(request_id.to_owned()).or_default() += 1;
    }

    /// Returns the number of runs of `request_id`.
    pub fn runs(&self, request_id: &str) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(request_id).copied().unwrap_or(0)
    }

    /// Returns the number of runs of all requests.
    pub fn total(&self) -> u32 {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).values().sum()
    }
}

/// Options of a stand-in backend server.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// Maximum number of concurrent runs; further requests are rejected as not run.
    pub slots: u32,
    /// Duration of a run.
    pub run_time: Duration,
    /// Faults to inject; several backend servers can share one plan.
    pub faults: FaultPlan,
}

impl Default for BackendOptions {
    fn default() -> Self {
        Self { slots: u32::MAX, run_time: Duration::ZERO, faults: FaultPlan::default() }
    }
}

/// A running stand-in backend server.
#[derive(Debug)]
pub struct Backend {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Counts of its runs.
    pub counts: BackendCounts,
    /// Faults that it injects.
    pub faults: FaultPlan,
    load: Arc<Load>,
    interruption: watch::Sender<Interruption>,
    server: JoinHandle<()>,
}

/// Current and maximum numbers of concurrent runs and connections.
#[derive(Debug, Default)]
struct Load {
    running: AtomicU32,
    running_max: AtomicU32,
    connections: AtomicU32,
    connections_max: AtomicU32,
}

impl Load {
    /// Acquires a slot for a run. Returns false if all `slots` are in use.
    fn start_run(&self, slots: u32) -> bool {
        let increment = |running| (running < slots).then_some(running + 1);
        let Ok(before) = self.running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, increment)
        else {
            return false;
        };
        self.running_max.fetch_max(before + 1, Ordering::SeqCst);
        true
    }

    fn start_connection(&self) {
        let open = self.connections.fetch_add(1, Ordering::SeqCst) + 1;
        self.connections_max.fetch_max(open, Ordering::SeqCst);
    }
}

/// State that the connections of one stand-in backend server share.
#[derive(Debug, Clone)]
struct Shared {
    id: InstanceId,
    counts: BackendCounts,
    options: BackendOptions,
    load: Arc<Load>,
    /// Receives the interruptions of the connections that are open at the time.
    interruption: watch::Receiver<Interruption>,
}

/// Interruption of all open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Interruption {
    Silence,
    Reset,
}

impl Backend {
    /// Starts a backend server on a free port of the loopback interface.
    pub async fn start(id: InstanceId, counts: BackendCounts) -> std::io::Result<Self> {
        Self::start_with(id, counts, BackendOptions::default()).await
    }

    /// Starts a backend server with `options` on a free port of the loopback interface.
    pub async fn start_with(
        id: InstanceId,
        counts: BackendCounts,
        options: BackendOptions,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (faults, load) = (options.faults.clone(), Arc::new(Load::default()));
        let (interruption, receiver) = watch::channel(Interruption::Silence);
        let shared = Shared {
            id,
            counts: counts.clone(),
            options,
            load: load.clone(),
            interruption: receiver,
        };
        let server = tokio::spawn(accept(listener, shared));
        Ok(Self { address, counts, faults, load, interruption, server })
    }

    /// Makes all connections that are open now unresponsive permanently; new ones work.
    pub fn silence_connections(&self) {
        self.interruption.send_replace(Interruption::Silence);
    }

    /// Resets all connections that are open now; new ones work.
    pub fn reset_connections(&self) {
        self.interruption.send_replace(Interruption::Reset);
    }

    /// Returns the number of requests that run now.
    pub fn running(&self) -> u32 {
        self.load.running.load(Ordering::SeqCst)
    }

    /// Returns the maximum number of requests that ran concurrently.
    pub fn running_max(&self) -> u32 {
        self.load.running_max.load(Ordering::SeqCst)
    }

    /// Returns the maximum number of connections that were open concurrently.
    pub fn connections_max(&self) -> u32 {
        self.load.connections_max.load(Ordering::SeqCst)
    }

    /// Stops the server immediately; further connection attempts are refused.
    pub fn close(self) {
        self.server.abort();
    }
}

async fn accept(listener: TcpListener, shared: Shared) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        connections.spawn(async move {
            shared.load.start_connection();
            connection::serve(stream, &shared).await;
            shared.load.connections.fetch_sub(1, Ordering::SeqCst);
        });
        while connections.try_join_next().is_some() {}
    }
}

#[cfg(test)]
mod tests;
