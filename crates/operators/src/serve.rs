//! Server of the operators' interface.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use cassiafold_event::emit;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::event::OperatorsEvent;

/// Highest number of concurrent connections.
const CONNECTIONS_MAX: usize = 64;
/// Longest time to receive the header section of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for requests in flight at shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves `router` on `listener` until `stop` completes, then waits up to `STOP_TIMEOUT` for the
/// requests in flight.
pub async fn serve(listener: TcpListener, router: Router, stop: impl Future<Output = ()>) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            emit!(OperatorsEvent::ConnectionRefused, connections = CONNECTIONS_MAX);
            continue;
        };
        let connection = graceful.watch(connection(stream, router.clone()));
        tokio::spawn(async move {
            let _ = connection.await;
            drop(slot);
        });
    }
    drop(listener);
    let _ = timeout(STOP_TIMEOUT, graceful.shutdown()).await;
}

type Connection = http1::Connection<TokioIo<TcpStream>, TowerToHyperService<Router>>;

fn connection(stream: TcpStream, router: Router) -> Connection {
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router))
}
