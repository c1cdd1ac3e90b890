//! Counts bytes and calls between entry instances.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counters of bytes and calls between this entry instance and others. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    calls: AtomicU64,
    failed_calls: AtomicU64,
}

impl Traffic {
    /// Returns the bytes sent, without TCP and IP headers.
    pub fn sent_bytes(&self) -> u64 {
        self.counts.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes received, without TCP and IP headers.
    pub fn received_bytes(&self) -> u64 {
        self.counts.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of calls made to other entry instances.
    pub fn calls(&self) -> u64 {
        self.counts.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that failed or timed out.
    pub fn failed_calls(&self) -> u64 {
        self.counts.failed_calls.load(Ordering::Relaxed)
    }

    pub(super) fn count_call(&self, succeeded: bool) {
        self.counts.calls.fetch_add(1, Ordering::Relaxed);
        if !succeeded {
            self.counts.failed_calls.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Wraps `inner` in a stream that counts its bytes.
    pub(super) fn counted<T>(&self, inner: T) -> Counted<T> {
        Counted { inner, traffic: self.clone() }
    }
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub(super) struct Counted<T> {
    inner: T,
    traffic: Traffic,
}

impl<T: AsyncRead + Unpin> AsyncRead for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.inner).poll_read(cx, buf));
        let read = (buf.filled().len() - before) as u64;
        self.traffic.counts.received_bytes.fetch_add(read, Ordering::Relaxed);
        Poll::Ready(result)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.traffic.counts.sent_bytes.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
