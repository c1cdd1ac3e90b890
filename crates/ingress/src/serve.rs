//! HTTP connections within the limits.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;

use crate::connections::{Connection, Phase};
use crate::limits::HEAD_BUFFER_BYTES;

/// A builder of connections that buffer a bounded head, which must come within `head_timeout`.
pub fn http1_builder(head_timeout: Duration) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(HEAD_BUFFER_BYTES);
    builder
}

/// Handles one request of a connection, which is not closed for another one while this instance
/// prepares the response.
pub async fn tracked<B, F, T, E>(
    connection: Arc<Connection>,
    request: Request<B>,
    handle: impl FnOnce(Request<TrackedBody<B>>) -> F,
) -> Result<Response<T>, E>
where
    F: Future<Output = Result<Response<T>, E>>,
{
    connection.set_phase(Phase::Responding);
    let inner = connection.clone();
    let mut response = handle(request.map(|body| TrackedBody { body, connection: inner })).await;
    if let Ok(response) = &mut response
        && connection.ends_with_response()
    {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    connection.set_phase(Phase::Waiting);
    response
}

/// A request's body. While it is being read, its connection waits for the caller.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    connection: Arc<Connection>,
}

impl<B: Body<Data = Bytes> + Unpin> Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let this = self.get_mut();
        this.connection.set_phase(Phase::ReadingBody);
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        if frame.is_none() || this.body.is_end_stream() {
            this.connection.set_phase(Phase::Responding);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
