//! One HTTP/1.1 connection to a backend server, driven by its own task.
//!
//! The connection counts the bytes written, so that a failure before the first byte of a request
//! can be reported as "not run". When a request is abandoned, the connection is shut down for
//! writing and read until the backend server closes it or [`OUTCOME_TIMEOUT`] has passed. Slot and
//! permit of the request are held until then, because the backend server may still be running it.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use cassiafold_event::emit;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::body::RequestBody;
use crate::dependencies::Dependencies;
use crate::event::DispatchEvent;
use crate::running_request::RunningRequest;
use crate::slot_grant::EndReason;

/// Longest time for which slot and permit of an abandoned request are held.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);
const DRAIN_BUFFER_BYTES: usize = 4 << 10;

/// A connection to a backend server, closed on drop.
pub struct Connection<E: Dependencies> {
    sender: http1::SendRequest<RequestBody>,
    state: Arc<ConnectionState<E>>,
    /// When the connection was opened or last completed a response.
    pub verified_at: Instant,
    /// Whether the connection has completed a request before.
    pub reused: bool,
}

/// State shared by the connection and its task.
struct ConnectionState<E: Dependencies> {
    written_bytes: Arc<AtomicU64>,
    in_flight: Mutex<Option<RunningRequest<E>>>,
    /// Value of `written_bytes` before the request in flight.
    written_bytes_before: AtomicU64,
    /// Cancelled to stop the task.
    close: CancellationToken,
    /// Cancelled by the task once it writes nothing more.
    stopped: CancellationToken,
}

impl<E: Dependencies> ConnectionState<E> {
    fn put(&self, running: RunningRequest<E>) {
        self.written_bytes_before.store(self.written_bytes(), Ordering::Release);
        *self.in_flight.lock().unwrap_or_else(PoisonError::into_inner) = Some(running);
    }

    fn take(&self) -> Option<RunningRequest<E>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    fn is_busy(&self) -> bool {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Acquire)
    }

    /// Whether any byte of the request in flight was written.
    fn has_written(&self) -> bool {
        self.written_bytes() != self.written_bytes_before.load(Ordering::Acquire)
    }
}

/// A request without a response.
pub enum SendError<E: Dependencies> {
    /// No byte of the request was written.
    NotWritten(RunningRequest<E>),
    /// The backend server may have received the request.
    Written,
}

impl<E: Dependencies> Connection<E> {
    /// Connects to `address`; `connection_count` is dropped when the connection is closed.
    pub async fn open(
        address: SocketAddr,
        connection_count: impl Send + 'static,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let written_bytes = Arc::new(AtomicU64::new(0));
        let stream = CountingStream { stream, written_bytes: written_bytes.clone() };
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let state = Arc::new(ConnectionState {
            written_bytes,
            in_flight: Mutex::new(None),
            written_bytes_before: AtomicU64::new(0),
            close: CancellationToken::new(),
            stopped: CancellationToken::new(),
        });
        tokio::spawn(drive(connection, state.clone(), connection_count));
        Ok(Self { sender, state, verified_at: Instant::now(), reused: false })
    }

    /// Waits until the connection can send a request. Returns false if it is closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.state.close.is_cancelled()
    }

    /// Sends a request and waits for status and headers of the response. The connection keeps
    /// `running` until [`Connection::finish`] is called or the connection is closed.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
        running: RunningRequest<E>,
    ) -> Result<Response<Incoming>, SendError<E>> {
        self.state.put(running);
        match self.sender.send_request(request).await {
            Ok(response) => Ok(response),
            Err(_) => Err(self.send_error().await),
        }
    }

    /// Stops the task, then returns whether any byte of the request was written.
    async fn send_error(&self) -> SendError<E> {
        self.state.close.cancel();
        self.state.stopped.cancelled().await;
        if self.state.has_written() {
            return SendError::Written;
        }
        self.state.take().map_or(SendError::Written, SendError::NotWritten)
    }

    /// Takes back the request whose response is complete.
    pub fn finish(&mut self) -> Option<RunningRequest<E>> {
        self.verified_at = Instant::now();
        self.reused = true;
        self.state.take()
    }

    /// Calls `inspect` with the request in flight, if there is one.
    pub fn with_running(&self, inspect: impl FnOnce(&RunningRequest<E>)) {
        let in_flight = self.state.in_flight.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(running) = in_flight.as_ref() {
            inspect(running);
        }
    }
}

impl<E: Dependencies> Drop for Connection<E> {
    fn drop(&mut self) {
        self.state.close.cancel();
    }
}

async fn drive<E: Dependencies>(
    mut connection: http1::Connection<TokioIo<CountingStream>, RequestBody>,
    state: Arc<ConnectionState<E>>,
    connection_count: impl Send,
) {
    tokio::select! {
        _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {}
        () = state.close.cancelled() => {}
    }
    let mut io = connection.into_parts().io.into_inner();
    state.stopped.cancel();
    // If nothing was written, `send_error` takes the request for another attempt.
    let may_run = state.is_busy() && state.has_written();
    if may_run {
        emit!(DispatchEvent::OutcomeHeld);
        wait_until_closed(&mut io).await;
    }
    drop(io);
    drop(connection_count);
    if may_run && let Some(running) = state.take() {
        running.close(EndReason::Abandoned);
    }
}

/// Shuts down for writing, then reads until the peer closes or [`OUTCOME_TIMEOUT`] has passed.
async fn wait_until_closed(io: &mut CountingStream) {
    let closed = async {
        io.shutdown().await?;
        let mut buffer = [0; DRAIN_BUFFER_BYTES];
        while io.read(&mut buffer).await? > 0 {}
        io::Result::Ok(())
    };
    if tokio::time::timeout(OUTCOME_TIMEOUT, closed).await.is_err() {
        emit!(DispatchEvent::OutcomeUnsettled);
    }
}

/// A stream that counts the bytes written to it.
#[derive(Debug)]
struct CountingStream {
    stream: TcpStream,
    written_bytes: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl CountingStream {
    fn add_written(&self, written: &io::Result<usize>) {
        if let Ok(written) = written {
            self.written_bytes.fetch_add(*written as u64, Ordering::Release);
        }
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buffer));
        self.add_written(&written);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, buffers));
        self.add_written(&written);
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
