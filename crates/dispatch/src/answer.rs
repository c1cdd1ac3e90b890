//! Body of an answer on its way to the caller.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use crate::connection::Connection;
use crate::core::End;
use crate::edge::Edges;
use crate::flight::Flight;
use crate::health::AttemptResult;
use crate::pool::ConnectionPool;

/// Why an answer's body broke off. The caller sees a broken transfer.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// The connection to the backend server broke.
    #[error("connection to the backend server broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The caller's deadline passed.
    #[error("deadline passed")]
    Timeout,
}

/// Body of an answer, with the connection on which it comes.
///
/// When the body has ended, slot and permit are given back and the connection returns to the
/// pool. When it breaks off or is dropped before, the connection is closed.
pub struct AnswerBody<E: Edges> {
    inner: Incoming,
    carrier: Option<Carrier<E>>,
    deadline: Pin<Box<Sleep>>,
    flight: Option<Flight>,
}

/// The connection of an answer and where it goes afterwards.
pub struct Carrier<E: Edges> {
    /// The connection.
    pub connection: Connection<E>,
    /// The pool to which it returns.
    pub pool: ConnectionPool<E>,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// What a whole answer shows about the instance.
    pub result: AttemptResult,
}

impl<E: Edges> Carrier<E> {
    fn finish(mut self) {
        if let Some(running) = self.connection.finish() {
            running.record(self.result);
            running.close(End::Completed);
        }
        if !self.connection.is_closed() {
            self.pool.put(self.address, self.connection);
        }
    }

    fn fail(self, result: AttemptResult) {
        self.connection.with_running(|running| running.record(result));
    }
}

impl<E: Edges> AnswerBody<E> {
    /// The body `inner`, which comes over `carrier` until `deadline`.
    pub fn new(inner: Incoming, carrier: Carrier<E>, deadline: Instant) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        let mut body = Self { inner, carrier: Some(carrier), deadline, flight: None };
        body.finish_at_end();
        body
    }

    /// Keeps `flight` until the body has ended.
    pub fn with_flight(mut self, flight: Flight) -> Self {
        self.flight = Some(flight);
        self
    }

    /// Whether the length of the answer is known or its end is marked.
    pub fn has_ended(&self) -> bool {
        self.carrier.is_none()
    }

    fn finish_at_end(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(carrier) = self.carrier.take() {
            carrier.finish();
        }
    }

    fn fail(&mut self, result: AttemptResult) {
        if let Some(carrier) = self.carrier.take() {
            carrier.fail(result);
        }
    }
}

impl<E: Edges> Body for AnswerBody<E> {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
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
                self.carrier = None;
                Poll::Ready(Some(Err(AnswerError::Timeout)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
