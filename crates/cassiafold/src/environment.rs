//! Environment of the fleet's control loop in an entry instance.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cassiafold_config::{ActiveConfig, Config};
use cassiafold_fleet::{Environment, Observations};
use cassiafold_membership::ControlLease;
use cassiafold_platform::{InstanceControl, InstanceList, ListedInstance, Store};
use http::header::HOST;
use http_body_util::Empty;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::observer::Observer;

/// Timeout of a trial request.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Environment of the control loop.
#[derive(Debug, Clone)]
pub struct EntryEnvironment<S, I, K> {
    /// Client of the key-value service.
    pub store: S,
    /// Client of the instance list.
    pub list: I,
    /// Client of the instance control.
    pub control: K,
    /// Configuration in force.
    pub config: ActiveConfig,
    /// Merged reports of the entry instances.
    pub observer: Observer,
    /// Lease on the control role.
    pub lease: ControlLease,
}

impl<S: Store, I: InstanceList, K: InstanceControl> Environment for EntryEnvironment<S, I, K> {
    type Store = S;
    type List = I;
    type Control = K;

    fn store(&self) -> &S {
        &self.store
    }

    fn list(&self) -> &I {
        &self.list
    }

    fn control(&self) -> &K {
        &self.control
    }

    fn config(&self) -> Option<Arc<Config>> {
        self.config.load()
    }

    fn observations(&self) -> Option<Observations> {
        Some(self.observer.observe())
    }

    async fn send_trial_request(&self, instance: &ListedInstance) -> bool {
        timeout(TRIAL_TIMEOUT, succeeds(instance)).await.unwrap_or(false)
    }

    fn holds_control(&self) -> bool {
        self.lease.held().is_some()
    }
}

/// Sends a HEAD request and returns whether a response other than a server error was received.
async fn succeeds(instance: &ListedInstance) -> bool {
    let Ok(stream) = TcpStream::connect(instance.address).await else { return false };
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let Ok((mut sender, connection)) = handshake else { return false };
    let connection = tokio::spawn(connection);
    let request = http::Request::head("/").header(HOST, instance.address.to_string());
    let Ok(request) = request.body(Empty::<Bytes>::new()) else { return false };
    let response = sender.send_request(request).await;
    connection.abort();
    response.is_ok_and(|response| !response.status().is_server_error())
}
