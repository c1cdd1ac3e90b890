//! One HTTP/1.1 connection to a backend server, driven by a task of its own.
//!
//! The connection knows how many bytes of a request it has written, so that a failure before the
//! first byte can truly be called "not run". When a request is given up, the connection is
//! closed for writing and read until the backend server closes it or a bound has passed; slot
//! and permit of the request are held until then, since the backend server may still run it.

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

/// Longest time for which slot and permit of a request that was given up are held.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);
const DRAIN_BUFFER_BYTES: usize = 4 << 10;

/// A connection to a backend server. Dropping it closes it.
pub struct Connection<E: Dependencies> {
    sender: http1::SendRequest<RequestBody>,
    state: Arc<ConnectionState<E>>,
    /// When the connection last proved that it works.
    pub verified_at: Instant,
    /// Whether the connection has carried a request before.
    pub reused: bool,
}

/// What the connection shares with its task.
struct ConnectionState<E: Dependencies> {
    written_bytes: Arc<AtomicU64>,
    in_flight: Mutex<Option<RunningRequest<E>>>,
    /// Bytes that were written before the request in flight.
    written_bytes_before: AtomicU64,
    /// Asks the task to end.
    close: CancellationToken,
    /// Set by the task once nothing more is written.
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

/// A request that got no answer.
pub enum SendError<E: Dependencies> {
    /// No byte of the request was written.
    NotWritten(RunningRequest<E>),
    /// The backend server may have seen the request.
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

    /// Waits until the connection can take a request. Returns whether it can.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.state.close.is_cancelled()
    }

    /// Sends a request and waits for the head of its answer. `running` stays with the connection
    /// until [`Connection::finish`] or until the connection is closed.
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

    /// Tells whether any byte was written, once nothing more can be.
    async fn send_error(&self) -> SendError<E> {
        self.state.close.cancel();
        self.state.stopped.cancelled().await;
        if self.state.has_written() {
            return SendError::Written;
        }
        self.state.take().map_or(SendError::Written, SendError::NotWritten)
    }

    /// Takes the request back whose answer has ended.
    pub fn finish(&mut self) -> Option<RunningRequest<E>> {
        self.verified_at = Instant::now();
        self.reused = true;
        self.state.take()
    }

    /// Shows the request that the connection carries to `inspect`.
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
    // A request of which nothing was written stays for its sender to send elsewhere.
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

/// Closes for writing, then reads until the other end closes or the bound has passed.
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
