//! Watches over the JSON gateway of etcd v3.
//!
//! A watch asks for progress reports. Where neither a change nor a report arrives for a while, its
//! connection is taken for silent and the watch is resumed from its last revision on a new one, so
//! that nothing is missed. Reports carry the position forward past changes of other keys.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout_at};

use super::convert::{prefix_end, prefix_start, revision};
use super::message::{StreamMessage, WatchCreateRequest, WatchRequest, WatchResponse};
use super::{EtcdStore, Failure, grpc, malformed, post, read_error};
use crate::backoff::jitter;
use crate::event::PlatformEvent;
use crate::http::{Answer, Connection};
use crate::metrics::{CallOutcome, StoreCall};
use crate::store::{Change, Revision, StoreError, Watch};

const WATCH_PATH: &str = "/v3/watch";
/// Size of the largest message of a watch, in bytes.
const MESSAGE_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Size of the largest error answer, in bytes.
const ERROR_BYTES_MAX: usize = 64 * 1024;
/// Longest wait before a broken watch is resumed.
const RESUME_DELAY_MAX: Duration = Duration::from_millis(100);

/// A watch that resumes by itself.
///
/// A failure to resume is returned once by `next`; the watch stays usable, and the next call of
/// `next` tries to resume again. A message too large to read counts as a compacted position.
#[derive(Debug)]
pub struct EtcdWatch {
    store: EtcdStore,
    prefix: Arc<str>,
    after: Revision,
    stream: Option<Stream>,
}

/// Open stream of messages.
#[derive(Debug)]
struct Stream {
    body: Incoming,
    buffer: BytesMut,
    scanned_bytes: usize,
    heard: Instant,
    _connection: Connection,
}

/// What ended a stream.
enum Broken {
    Connection(Arc<str>),
    TooLarge,
    Malformed(Arc<str>),
}

impl From<Broken> for StoreError {
    fn from(broken: Broken) -> Self {
        match broken {
            Broken::Connection(reason) => Self::Unavailable(reason),
            Broken::TooLarge => Self::Compacted,
            Broken::Malformed(reason) => Self::Malformed(reason),
        }
    }
}

impl Stream {
    /// Waits for the next message. Cancellation loses nothing.
    async fn message(&mut self) -> Result<StreamMessage<WatchResponse>, Broken> {
        loop {
            if let Some(line) = self.take_line() {
                self.heard = Instant::now();
                return serde_json::from_slice(&line)
                    .map_err(|error| Broken::Malformed(error.to_string().into()));
            }
            if self.buffer.len() > MESSAGE_BYTES_MAX {
                return Err(Broken::TooLarge);
            }
            let frame = self.body.frame().await;
            let frame = frame.ok_or_else(|| Broken::Connection("watch ended".into()))?;
            let frame = frame.map_err(|error| Broken::Connection(error.to_string().into()))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let unscanned = &self.buffer[self.scanned_bytes..];
        let Some(end) = unscanned.iter().position(|byte| *byte == b'\n') else {
            self.scanned_bytes = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(self.scanned_bytes + end);
        self.scanned_bytes = 0;
        self.buffer.advance(1);
        Some(line)
    }
}

impl EtcdWatch {
    pub(super) async fn open(
        store: EtcdStore,
        prefix: Arc<str>,
        after: Revision,
    ) -> Result<Self, StoreError> {
        let mut watch = Self { store, prefix, after, stream: None };
        watch.resume().await?;
        Ok(watch)
    }

    /// Opens the stream at the position of this watch.
    async fn resume(&mut self) -> Result<(), StoreError> {
        let deadline = self.store.deadline();
        let sent = Instant::now();
        let result = timeout_at(deadline, self.start(deadline)).await;
        let result = result.unwrap_or_else(|_| Err(StoreError::Unavailable("timeout".into())));
        let outcome = match &result {
            Ok(_) | Err(StoreError::Compacted | StoreError::Malformed(_)) => CallOutcome::Answered,
            Err(_) => CallOutcome::Failed,
        };
        self.store.metrics.record(StoreCall::Watch, outcome, sent.elapsed());
        self.stream = Some(result?);
        Ok(())
    }

    async fn start(&self, deadline: Instant) -> Result<Stream, StoreError> {
        let create_request = WatchCreateRequest {
            key: prefix_start(&self.prefix),
            range_end: prefix_end(&self.prefix),
            start_revision: (self.after + 1).into(),
            progress_notify: true,
        };
        let request = post(WATCH_PATH, &WatchRequest { create_request })
            .map_err(|reason| malformed(&reason))?;
        let (connection, parts, body) = self
            .store
            .http
            .open(request, deadline)
            .await
            .map_err(Failure::Call)
            .map_err(read_error)?;
        if !parts.status.is_success() {
            let body = Limited::new(body, ERROR_BYTES_MAX).collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            return Err(read_error(Failure::Status(Answer {
                status: parts.status,
                etag: None,
                body,
            })));
        }
        let mut stream = Stream {
            body,
            buffer: BytesMut::new(),
            scanned_bytes: 0,
            heard: Instant::now(),
            _connection: connection,
        };
        let first = stream.message().await?;
        self.check_created(first)?;
        Ok(stream)
    }

    fn check_created(&self, first: StreamMessage<WatchResponse>) -> Result<(), StoreError> {
        let response = result(first)?;
        check_open(&response)?;
        if !response.created || !response.events.is_empty() {
            return Err(malformed("watch does not start with its creation"));
        }
        match revision(&response.header)? < self.after {
            true => Err(StoreError::Compacted),
            false => Ok(()),
        }
    }

    /// Changes of a message, which move the position of the watch.
    fn changes(&mut self, response: WatchResponse) -> Result<Vec<Change>, StoreError> {
        check_open(&response)?;
        if response.events.is_empty() {
            let progress = revision(&response.header)?;
            self.after = self.after.max(progress);
            return Ok(Vec::new());
        }
        let mut changes = Vec::with_capacity(response.events.len());
        let mut last = self.after;
        for event in response.events {
            let change = Change::try_from(event)?;
            if !change.key.starts_with(&*self.prefix) || change.revision < last {
                return Err(malformed("watch delivers unexpected changes"));
            }
            last = change.revision;
            if change.revision > self.after {
                changes.push(change);
            }
        }
        self.after = last;
        Ok(changes)
    }

    async fn wait(&mut self) -> Result<Vec<Change>, StoreError> {
        loop {
            let Some(stream) = &mut self.stream else {
                sleep(jitter(RESUME_DELAY_MAX)).await;
                self.resume().await?;
                continue;
            };
            let silent_at = stream.heard + self.store.watch_silence;
            let message = match timeout_at(silent_at, stream.message()).await {
                Ok(Ok(message)) => message,
                Ok(Err(Broken::Connection(_))) => {
                    self.stream = None;
                    continue;
                }
                Ok(Err(broken)) => return Err(broken.into()),
                Err(_) => {
                    cassiafold_event::emit!(PlatformEvent::WatchSilent, prefix = self.prefix);
                    self.stream = None;
                    continue;
                }
            };
            let changes = self.changes(result(message)?)?;
            if !changes.is_empty() {
                return Ok(changes);
            }
        }
    }
}

fn result(message: StreamMessage<WatchResponse>) -> Result<WatchResponse, StoreError> {
    match message {
        StreamMessage::Result(response) => Ok(response),
        StreamMessage::Error(error) if error.grpc_code == grpc::OUT_OF_RANGE => {
            Err(StoreError::Compacted)
        }
        StreamMessage::Error(error) => Err(StoreError::Unavailable(error.message.into())),
    }
}

fn check_open(response: &WatchResponse) -> Result<(), StoreError> {
    match (response.compact_revision.0, response.canceled) {
        (1.., _) => Err(StoreError::Compacted),
        (_, true) => Err(StoreError::Unavailable("watch was canceled".into())),
        _ => Ok(()),
    }
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        let result = self.wait().await;
        if result.is_err() {
            self.stream = None;
        }
        result
    }

    fn close(self) {}
}
