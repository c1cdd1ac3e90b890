//! HTTP server of the caller API, and its graceful stop.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use cassiafold_event::emit;
use cassiafold_ingress::{Connection, Ingress, http1_builder, tracked};
use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use crate::accepted_request::AcceptedRequest;
use crate::caller_api::{CallerApi, Phase, router};
use crate::dependencies::Dependencies;
use crate::event::DispatchEvent;

/// Longest time to receive the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest wait for callers' connections to close after all requests have ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running server of the caller API.
pub struct Server<E: Dependencies> {
    caller_api: CallerApi<E>,
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Result of a stop.
#[derive(Debug, Clone, Default)]
pub struct StopReport {
    /// Requests aborted by a forced stop.
    pub aborted: Vec<Arc<AcceptedRequest>>,
}

/// Serves `routes` on `listener` until `stop`, then until the open connections have ended.
async fn serve(
    listener: TcpListener,
    routes: Router,
    ingress: Ingress,
    stop: impl Future<Output = ()>,
) {
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(connection) = ingress.admit() {
                    serve_caller(stream, connection, routes.clone(), &graceful);
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_caller(
    stream: TcpStream,
    admitted: Arc<Connection>,
    routes: Router,
    graceful: &GracefulShutdown,
) {
    let caller = admitted.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let routes = routes.clone();
        tracked(caller.clone(), request, move |request| routes.oneshot(request.map(Body::new)))
    });
    let connection = http1_builder(HEADER_TIMEOUT).serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    // Errors of a connection that the caller closes are ignored.
    tokio::spawn(async move { drop(admitted.run(connection).await) });
}

impl<E: Dependencies> Server<E> {
    /// Serves the caller API on `listener`. Must be called within a Tokio runtime.
    pub fn start(listener: TcpListener, caller_api: CallerApi<E>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let signal = stop.clone().cancelled_owned();
        let routes = router(caller_api.clone());
        let task = tokio::spawn(serve(listener, routes, Ingress::default(), signal));
        Ok(Self { caller_api, address, stop, task })
    }

    /// Local address of the caller API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the request path behind the server.
    pub fn caller_api(&self) -> &CallerApi<E> {
        &self.caller_api
    }

    /// Stops gracefully: reports not ready, refuses new requests after `wait`, and finishes the
    /// accepted ones. If `forced` completes first, the remaining requests are aborted.
    pub async fn close(self, wait: Duration, forced: impl Future<Output = ()>) -> StopReport {
        self.caller_api.set_phase(Phase::Leaving);
        emit!(DispatchEvent::StopStarted);
        let abort = self.task.abort_handle();
        let graceful = async {
            tokio::time::sleep(wait).await;
            self.caller_api.set_phase(Phase::Draining);
            emit!(DispatchEvent::StopDraining);
            self.stop.cancel();
            self.caller_api.in_flight().all_ended().await;
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.task).await;
        };
        tokio::select! {
            () = graceful => {}
            () = forced => {}
        }
        abort.abort();
        let aborted = self.caller_api.in_flight().list();
        for accepted in &aborted {
            let (request, team) = (&accepted.id, &accepted.team);
            emit!(DispatchEvent::StopCutOff, request = request, team = team);
        }
        self.caller_api.proxy().pool().close_idle();
        emit!(DispatchEvent::StopFinished, cut_off = aborted.len());
        StopReport { aborted }
    }
}
