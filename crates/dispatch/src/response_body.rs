//! Response body, forwarded from a backend server to the caller.
//!
//! A short body of declared length is buffered until it is complete, so that the request can still
//! be refused or retried if the body ends early. All other bodies are streamed.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use crate::connection::Connection;
use crate::dependencies::Dependencies;
use crate::health::AttemptResult;
use crate::in_flight::InFlightGuard;
use crate::pool::ConnectionPool;
use crate::slot_grant::EndReason;

/// Longest response body that is buffered.
pub const BUFFERED_MAX_BYTES: u64 = 16 << 10;

/// Why a response body ended early. The caller gets an incomplete response.
#[derive(Debug, thiserror::Error)]
pub enum ResponseBodyError {
    /// The connection to the backend server broke.
    #[error("connection to the backend server broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The caller's deadline passed.
    #[error("deadline passed")]
    Timeout,
}

/// Response body, with the connection from which it is read.
///
/// When the body is complete, slot and permit are released and the connection returns to the pool.
/// When it fails or is dropped earlier, the connection is closed.
pub struct ResponseBody<E: Dependencies> {
    source: Source,
    connection: Option<ResponseConnection<E>>,
    deadline: Pin<Box<Sleep>>,
    guard: Option<InFlightGuard>,
}

enum Source {
    Stream(Incoming),
    Buffered(Option<Bytes>),
}

/// The connection of a response and the pool to which it returns.
pub struct ResponseConnection<E: Dependencies> {
    /// The connection.
    pub connection: Connection<E>,
    /// The pool to which it returns.
    pub pool: ConnectionPool<E>,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Result to record when the response is complete.
    pub result: AttemptResult,
}

impl<E: Dependencies> ResponseConnection<E> {
    fn finish(mut self) {
        if let Some(running) = self.connection.finish() {
            running.record(self.result);
            running.close(EndReason::Completed);
        }
        if !self.connection.is_closed() {
            self.pool.put(self.address, self.connection);
        }
    }

    fn fail(self, result: AttemptResult) {
        self.connection.with_running(|running| running.record(result));
    }
}

impl<E: Dependencies> ResponseBody<E> {
    /// Wraps the body `inner`, which is read from `connection` until `deadline`.
    pub fn new(inner: Incoming, connection: ResponseConnection<E>, deadline: Instant) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        let source = Source::Stream(inner);
        let mut body = Self { source, connection: Some(connection), deadline, guard: None };
        body.finish_at_end();
        body
    }

    /// Keeps `guard` until the body is dropped.
    pub fn with_in_flight_guard(mut self, guard: InFlightGuard) -> Self {
        self.guard = Some(guard);
        self
    }

    /// Reads the complete body if its declared length is at most [`BUFFERED_MAX_BYTES`].
    pub async fn buffer(mut self) -> Result<Self, ResponseBodyError> {
        let length = self.size_hint().exact();
        if self.is_end_stream() || length.is_none_or(|length| length > BUFFERED_MAX_BYTES) {
            return Ok(self);
        }
        let mut data = BytesMut::new();
        while let Some(frame) = self.frame().await {
            if let Ok(chunk) = frame?.into_data() {
                data.extend_from_slice(&chunk);
            }
        }
        self.source = Source::Buffered(Some(data.freeze()));
        Ok(self)
    }

    fn finish_at_end(&mut self) {
        if self.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.finish();
        }
    }

    fn fail(&mut self, result: AttemptResult) {
        if let Some(connection) = self.connection.take() {
            connection.fail(result);
        }
    }
}

impl<E: Dependencies> Body for ResponseBody<E> {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        let inner = match &mut self.source {
            Source::Stream(inner) => inner,
            Source::Buffered(data) => {
                return Poll::Ready(data.take().map(|data| Ok(Frame::data(data))));
            }
        };
        match Pin::new(inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.finish_at_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.fail(AttemptResult::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => {
                self.connection = None;
                Poll::Ready(Some(Err(ResponseBodyError::Timeout)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Stream(inner) => inner.is_end_stream(),
            Source::Buffered(data) => data.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Stream(inner) => inner.size_hint(),
            Source::Buffered(data) => {
                SizeHint::with_exact(data.as_ref().map_or(0, |data| data.len() as u64))
            }
        }
    }
}
