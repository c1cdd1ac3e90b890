//! HTTP server that closes its connections when it stops.

use std::net::SocketAddr;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accept_task: AbortOnDropHandle<()>,
}

impl Server {
    /// Starts serving `router` at `address`.
    pub async fn start(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let accept_task = AbortOnDropHandle::new(tokio::spawn(accept(listener, router)));
        Ok(Self { address, accept_task })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    pub async fn close(self) {
        self.accept_task.abort();
        let _ = self.accept_task.await;
    }
}

async fn accept(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        connections.spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}
