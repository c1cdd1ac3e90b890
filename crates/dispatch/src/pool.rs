//! Pool of open connections to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection::Connection;
use crate::dependencies::Dependencies;

/// Time after its last response for which a connection counts as recently verified.
pub const VERIFIED_MAX_AGE: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Which idle connections a request may reuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any connection that is not known to be closed.
    Any,
    /// Connections opened, or that completed a response, within [`VERIFIED_MAX_AGE`].
    RecentlyVerified,
    /// None; a new connection is opened.
    Never,
}

/// Why no connection could be provided.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// All connections that this entry instance may open to the backend server are in use.
    #[error("all connections of the backend server are in use")]
    Exhausted,
    /// The connection was not opened in time.
    #[error("connect timed out")]
    Timeout,
    /// The connection could not be opened.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Open connections by address of the backend server. Clones share their state.
pub struct ConnectionPool<E: Dependencies> {
    shared: Arc<Shared<E>>,
}

impl<E: Dependencies> Clone for ConnectionPool<E> {
    fn clone(&self) -> Self {
        Self { shared: self.shared.clone() }
    }
}

struct Shared<E: Dependencies> {
    servers: Mutex<HashMap<SocketAddr, ServerConnections<E>>>,
    closed: Notify,
}

/// Connections to one backend server.
struct ServerConnections<E: Dependencies> {
    /// Number of open connections, idle or in use.
    open: u32,
    /// Unused connections, the one that was returned last at the end.
    idle: Vec<Connection<E>>,
}

impl<E: Dependencies> Default for ServerConnections<E> {
    fn default() -> Self {
        Self { open: 0, idle: Vec::new() }
    }
}

impl<E: Dependencies> Shared<E> {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, ServerConnections<E>>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one open connection of a backend server until dropped.
struct OpenCount<E: Dependencies> {
    shared: Weak<Shared<E>>,
    address: SocketAddr,
}

impl<E: Dependencies> Drop for OpenCount<E> {
    fn drop(&mut self) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        let mut servers = shared.lock();
        if let Some(server) = servers.get_mut(&self.address) {
            server.open -= 1;
            if server.open == 0 && server.idle.is_empty() {
                servers.remove(&self.address);
            }
        }
        drop(servers);
        shared.closed.notify_waiters();
    }
}

impl<E: Dependencies> ConnectionPool<E> {
    /// Creates an empty pool and starts its cleanup task. Must be called within a Tokio runtime.
    pub fn start() -> Self {
        let shared = Arc::new(Shared { servers: Mutex::default(), closed: Notify::new() });
        tokio::spawn(prune(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Returns an idle connection to `address` that `reuse` allows, or opens one if fewer than
    /// `open_max` are open.
    pub async fn get(
        &self,
        address: SocketAddr,
        reuse: Reuse,
        open_max: u32,
    ) -> Result<Connection<E>, OpenError> {
        while let Some(mut connection) = self.take_idle(address, reuse) {
            if connection.ready().await {
                return Ok(connection);
            }
        }
        let count = self.reserve_or_wait(address, open_max).await?;
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, Connection::open(address, count)).await;
        opened.map_err(|_| OpenError::Timeout)?.map_err(OpenError::Io)
    }

    /// Takes the idle connection that was returned last, if `reuse` allows it.
    fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection<E>> {
        let mut servers = self.shared.lock();
        let idle = &mut servers.get_mut(&address)?.idle;
        idle.retain(|connection| !connection.is_closed());
        let usable = |connection: &Connection<E>| match reuse {
            Reuse::Any => true,
            Reuse::RecentlyVerified => connection.verified_at.elapsed() <= VERIFIED_MAX_AGE,
            Reuse::Never => false,
        };
        let is_newest_usable = idle.last().is_some_and(usable);
        if is_newest_usable { idle.pop() } else { None }
    }

    /// Reserves a new connection. At the bound, closes an idle one and waits until it is closed.
    async fn reserve_or_wait(
        &self,
        address: SocketAddr,
        open_max: u32,
    ) -> Result<OpenCount<E>, OpenError> {
        loop {
            let closed = self.shared.closed.notified();
            if let Some(count) = self.reserve(address, open_max) {
                return Ok(count);
            }
            if !self.evict(address) {
                return Err(OpenError::Exhausted);
            }
            let waited = tokio::time::timeout(CONNECT_TIMEOUT, closed).await;
            waited.map_err(|_| OpenError::Timeout)?;
        }
    }

    /// Reserves a new connection unless `open_max` are open.
    fn reserve(&self, address: SocketAddr, open_max: u32) -> Option<OpenCount<E>> {
        let mut servers = self.shared.lock();
        let server = servers.entry(address).or_default();
        if server.open >= open_max {
            return None;
        }
        server.open += 1;
        Some(OpenCount { shared: Arc::downgrade(&self.shared), address })
    }

    /// Closes the idle connection that was returned first. Returns false if there is none.
    fn evict(&self, address: SocketAddr) -> bool {
        let mut servers = self.shared.lock();
        let idle = servers.get_mut(&address).map(|server| &mut server.idle);
        let Some(idle) = idle.filter(|idle| !idle.is_empty()) else {
            return false;
        };
        idle.remove(0);
        true
    }

    /// Returns a connection that can be reused to the pool.
    pub fn put(&self, address: SocketAddr, connection: Connection<E>) {
        let mut servers = self.shared.lock();
        servers.entry(address).or_default().idle.push(connection);
    }

    /// Closes the idle connections to `address` that have completed no response since `since`.
    /// Called when another connection got no response.
    pub fn close_unverified_since(&self, address: SocketAddr, since: Instant) {
        let mut servers = self.shared.lock();
        if let Some(server) = servers.get_mut(&address) {
            server.idle.retain(|connection| connection.verified_at >= since);
        }
    }

    /// Number of open connections to `address`.
    pub fn open_count(&self, address: SocketAddr) -> u32 {
        self.shared.lock().get(&address).map_or(0, |server| server.open)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for server in self.shared.lock().values_mut() {
            server.idle.clear();
        }
    }
}

/// Closes expired idle connections at intervals until the pool is dropped.
async fn prune<E: Dependencies>(weak: Weak<Shared<E>>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        let Some(shared) = weak.upgrade() else {
            return;
        };
        shared.lock().retain(|_, server| {
            server.idle.retain(|connection| {
                !connection.is_closed() && connection.verified_at.elapsed() < IDLE_TIMEOUT
            });
            server.open > 0 || !server.idle.is_empty()
        });
    }
}
