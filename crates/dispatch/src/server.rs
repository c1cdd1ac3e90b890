//! HTTP server of the caller API, and its graceful stop.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::accepted_request::AcceptedRequest;
use crate::caller_api::{CallerApi, Phase, router};
use crate::dependencies::Dependencies;
use crate::event::DispatchEvent;

/// Longest wait for callers' connections to close after all requests have ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running server of the caller API.
pub struct Server<E: Dependencies> {
    caller_api: CallerApi<E>,
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<io::Result<()>>,
}

/// Result of a stop.
#[derive(Debug, Clone, Default)]
pub struct StopReport {
    /// Requests aborted by a forced stop.
    pub aborted: Vec<Arc<AcceptedRequest>>,
}

impl<E: Dependencies> Server<E> {
    /// Serves the caller API on `listener`. Must be called within a Tokio runtime.
    pub fn start(listener: TcpListener, caller_api: CallerApi<E>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let signal = stop.clone().cancelled_owned();
        let routes = router(caller_api.clone());
        let task = tokio::spawn(async move {
            axum::serve(listener, routes).with_graceful_shutdown(signal).await
        });
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
