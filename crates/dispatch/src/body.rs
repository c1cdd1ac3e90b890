//! Request bodies: short ones are buffered so that they can be sent again, long ones are streamed.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::code::DispatchCode;

/// Longest body that is buffered. Longer ones are streamed and sent at most once.
pub const REPLAY_MAX_BYTES: usize = 16 << 10;

/// A caller's body, ready to be sent.
#[derive(Debug)]
pub enum PreparedBody {
    /// A complete body, which can be sent any number of times.
    Buffered {
        /// Body data.
        data: Bytes,
        /// Trailer fields.
        trailers: Option<HeaderMap>,
    },
    /// A body that can be sent once; `None` after it was sent.
    Streamed(Option<Box<BodyStream>>),
}

/// A body that is streamed from a caller to a backend server.
#[derive(Debug)]
pub struct BodyStream {
    /// Data that was read while the body was checked for buffering.
    prefix: Option<Bytes>,
    rest: Body,
    /// Number of bytes of `rest` up to the limit.
    remaining_bytes: u64,
    failure: StreamFailure,
}

/// Reason why a streamed body ended early, shared with the attempt that sends it.
#[derive(Debug, Clone, Default)]
pub struct StreamFailure {
    code: Arc<Mutex<Option<DispatchCode>>>,
}

impl StreamFailure {
    /// Returns the reason if the body ended early.
    pub fn get(&self) -> Option<DispatchCode> {
        *self.code.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, code: DispatchCode) -> BodyError {
        *self.code.lock().unwrap_or_else(PoisonError::into_inner) = Some(code);
        BodyError { code }
    }
}

/// A request body that ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", code.row().meaning)]
pub struct BodyError {
    /// Result code for the caller.
    pub code: DispatchCode,
}

impl PreparedBody {
    /// Buffers the body if it is at most [`REPLAY_MAX_BYTES`] long, or else prepares it for
    /// streaming. Fails if the declared or buffered length exceeds `max_bytes`; a streamed body
    /// that exceeds it ends early.
    pub async fn read(mut body: Body, max_bytes: u64) -> Result<Self, DispatchCode> {
        let hint = body.size_hint();
        if hint.lower() > max_bytes {
            return Err(DispatchCode::BodyTooLarge);
        }
        let mut data = BytesMut::new();
        while hint.lower() <= REPLAY_MAX_BYTES as u64 && data.len() <= REPLAY_MAX_BYTES {
            let Some(frame) = body.frame().await else {
                return Self::buffered(data, None, max_bytes);
            };
            match frame.map_err(|_| DispatchCode::BodyBroken)?.into_data() {
                Ok(chunk) => data.extend_from_slice(&chunk),
                Err(frame) => return Self::buffered(data, frame.into_trailers().ok(), max_bytes),
            }
        }
        let remaining_bytes =
            max_bytes.checked_sub(data.len() as u64).ok_or(DispatchCode::BodyTooLarge)?;
        let prefix = (!data.is_empty()).then(|| data.freeze());
        let failure = StreamFailure::default();
        Ok(Self::Streamed(Some(Box::new(BodyStream {
            prefix,
            rest: body,
            remaining_bytes,
            failure,
        }))))
    }

    fn buffered(
        data: BytesMut,
        trailers: Option<HeaderMap>,
        max_bytes: u64,
    ) -> Result<Self, DispatchCode> {
        if data.len() as u64 > max_bytes {
            return Err(DispatchCode::BodyTooLarge);
        }
        Ok(Self::Buffered { data: data.freeze(), trailers })
    }

    /// Whether the body can be sent more than once.
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered { .. })
    }

    /// Copies a buffered body for a hedge attempt. The copy of a streamed body is unavailable.
    pub fn copy_for_hedge(&self) -> Self {
        match self {
            Self::Buffered { data, trailers } => {
                Self::Buffered { data: data.clone(), trailers: trailers.clone() }
            }
            Self::Streamed(_) => Self::Streamed(None),
        }
    }

    /// Whether the body is buffered or not yet sent.
    pub fn is_available(&self) -> bool {
        !matches!(self, Self::Streamed(None))
    }

    /// Returns the body for one attempt, or `None` if a streamed body was already sent.
    pub fn take_for_attempt(&mut self) -> Option<RequestBody> {
        match self {
            Self::Buffered { data, trailers } => {
                let data = (!data.is_empty()).then(|| data.clone());
                Some(RequestBody::Buffered { data, trailers: trailers.clone() })
            }
            Self::Streamed(stream) => stream.take().map(RequestBody::Stream),
        }
    }
}

/// Body of one attempt.
#[derive(Debug)]
pub enum RequestBody {
    /// A buffered body.
    Buffered {
        /// Data not yet sent.
        data: Option<Bytes>,
        /// Trailer fields not yet sent.
        trailers: Option<HeaderMap>,
    },
    /// A streamed body.
    Stream(Box<BodyStream>),
}

impl RequestBody {
    /// Returns the handle that receives the reason if the body ends early.
    pub fn failure(&self) -> StreamFailure {
        match self {
            Self::Buffered { .. } => StreamFailure::default(),
            Self::Stream(stream) => stream.failure.clone(),
        }
    }
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered { data, trailers } => {
                let frame = data.take().map(Frame::data);
                Poll::Ready(frame.or_else(|| trailers.take().map(Frame::trailers)).map(Ok))
            }
            Self::Stream(stream) => stream.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered { data, trailers } => data.is_none() && trailers.is_none(),
            Self::Stream(stream) => stream.prefix.is_none() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered { trailers: Some(_), .. } => SizeHint::default(),
            Self::Buffered { data, .. } => {
                SizeHint::with_exact(data.as_ref().map_or(0, |data| data.len() as u64))
            }
            Self::Stream(stream) => stream.size_hint(),
        }
    }
}

impl BodyStream {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let Some(frame) = ready!(Pin::new(&mut self.rest).poll_frame(cx)) else {
            return Poll::Ready(None);
        };
        let Ok(frame) = frame else {
            return Poll::Ready(Some(Err(self.failure.set(DispatchCode::BodyBroken))));
        };
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        match self.remaining_bytes.checked_sub(length) {
            Some(remaining_bytes) => {
                self.remaining_bytes = remaining_bytes;
                Poll::Ready(Some(Ok(frame)))
            }
            None => Poll::Ready(Some(Err(self.failure.set(DispatchCode::BodyTooLarge)))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, |data| data.len() as u64);
        match self.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(rest + prefix),
            None => SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
