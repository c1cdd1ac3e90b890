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
    line: Arc<Line<E>>,
    /// When the connection last proved that it works.
    pub verified_at: Instant,
    /// Whether the connection has carried a request before.
    pub reused: bool,
}

/// What the connection shares with its task.
struct Line<E: Dependencies> {
    written_bytes: Arc<AtomicU64>,
    in_flight: Mutex<Option<RunningRequest<E>>>,
    /// Bytes that were written before the request in flight.
    written_before: AtomicU64,
    /// Asks the task to end.
    close: CancellationToken,
    /// Set by the task once nothing more is written.
    stopped: CancellationToken,
}

impl<E: Dependencies> Line<E> {
    fn put(&self, running: RunningRequest<E>) {
        self.written_before.store(self.written_bytes(), Ordering::Release);
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
        self.written_bytes() != self.written_before.load(Ordering::Acquire)
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
    /// Connects to `address`; `count` is dropped when the connection is closed.
    pub async fn open(address: SocketAddr, count: impl Send + 'static) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let written_bytes = Arc::new(AtomicU64::new(0));
        let counted = Counted { stream, written_bytes: written_bytes.clone() };
        let handshake = http1::handshake(TokioIo::new(counted)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let line = Arc::new(Line {
            written_bytes,
            in_flight: Mutex::new(None),
            written_before: AtomicU64::new(0),
            close: CancellationToken::new(),
            stopped: CancellationToken::new(),
        });
        tokio::spawn(drive(connection, line.clone(), count));
        Ok(Self { sender, line, verified_at: Instant::now(), reused: false })
    }

    /// Waits until the connection can take a request. Returns whether it can.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.line.close.is_cancelled()
    }

    /// Sends a request and waits for the head of its answer. `running` stays with the connection
    /// until [`Connection::finish`] or until the connection is closed.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
        running: RunningRequest<E>,
    ) -> Result<Response<Incoming>, SendError<E>> {
        self.line.put(running);
        match self.sender.send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(_) => Err(self.settle_error().await),
        }
    }

    /// Tells whether any byte was written, once nothing more can be.
    async fn settle_error(&self) -> SendError<E> {
        self.line.close.cancel();
        self.line.stopped.cancelled().await;
        if self.line.has_written() {
            return SendError::Written;
        }
        self.line.take().map_or(SendError::Written, SendError::NotWritten)
    }

    /// Takes the request back whose answer has ended.
    pub fn finish(&mut self) -> Option<RunningRequest<E>> {
        self.verified_at = Instant::now();
        self.reused = true;
        self.line.take()
    }

    /// Shows the request that the connection carries to `look`.
    pub fn with_running(&self, look: impl FnOnce(&RunningRequest<E>)) {
        let in_flight = self.line.in_flight.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(running) = in_flight.as_ref() {
            look(running);
        }
    }
}

impl<E: Dependencies> Drop for Connection<E> {
    fn drop(&mut self) {
        self.line.close.cancel();
    }
}

async fn drive<E: Dependencies>(
    mut connection: http1::Connection<TokioIo<Counted>, RequestBody>,
    line: Arc<Line<E>>,
    count: impl Send,
) {
    tokio::select! {
        _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {}
        () = line.close.cancelled() => {}
    }
    let mut io = connection.into_parts().io.into_inner();
    line.stopped.cancel();
    // A request of which nothing was written stays for its sender to send elsewhere.
    let may_run = line.is_busy() && line.has_written();
    if may_run {
        emit!(DispatchEvent::OutcomeHeld);
        settle(&mut io).await;
    }
    drop(io);
    drop(count);
    if may_run && let Some(running) = line.take() {
        running.close(EndReason::Abandoned);
    }
}

/// Closes for writing, then reads until the other end closes or the bound has passed.
async fn settle(io: &mut Counted) {
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
struct Counted {
    stream: TcpStream,
    written_bytes: Arc<AtomicU64>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Counted {
    fn count(&self, written: &io::Result<usize>) {
        if let Ok(written) = written {
            self.written_bytes.fetch_add(*written as u64, Ordering::Release);
        }
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buffer));
        self.count(&written);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, buffers));
        self.count(&written);
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
