//! Watches over the JSON gateway of etcd v3.
//!
//! A watch requests progress reports. If neither a change nor a report arrives within
//! [`EtcdSettings::watch_silence`](super::EtcdSettings::watch_silence), the watch is resumed from
//! its last revision on a new connection, so that no change is missed. Progress reports also
//! advance the revision of a watch whose keys do not change, which keeps it from being compacted.

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
/// Maximum size of a watch message, in bytes.
const MESSAGE_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Maximum size of an error response, in bytes.
const ERROR_BYTES_MAX: usize = 64 * 1024;
/// Maximum delay before a failed watch is resumed.
const RESUME_DELAY_MAX: Duration = Duration::from_millis(100);

/// A watch that resumes automatically.
///
/// `next` returns a failure to resume once; the watch stays usable, and the next call of `next`
/// resumes again. A message that exceeds the size limit is reported as [`StoreError::Compacted`],
/// so that the caller restarts from a snapshot.
#[derive(Debug)]
pub struct EtcdWatch {
    store: EtcdStore,
    prefix: Arc<str>,
    /// Revision after which the watch continues.
    after: Revision,
    stream: Option<Stream>,
}

/// An open stream of messages, one JSON object per line.
#[derive(Debug)]
struct Stream {
    body: Incoming,
    buffer: BytesMut,
    /// Length of the start of `buffer` that contains no line end.
    scanned_bytes: usize,
    last_message_at: Instant,
    _connection: Connection,
}

/// Reason why a stream failed.
enum StreamFailure {
    Connection(Arc<str>),
    TooLarge,
    Malformed(Arc<str>),
}

impl From<StreamFailure> for StoreError {
    fn from(failure: StreamFailure) -> Self {
        match failure {
            StreamFailure::Connection(reason) => Self::Unavailable(reason),
            StreamFailure::TooLarge => Self::Compacted,
            StreamFailure::Malformed(reason) => Self::Malformed(reason),
        }
    }
}

impl Stream {
    /// Waits for the next message. Cancel-safe.
    async fn next_message(&mut self) -> Result<StreamMessage<WatchResponse>, StreamFailure> {
        loop {
            if let Some(line) = self.take_line() {
                self.last_message_at = Instant::now();
                return serde_json::from_slice(&line)
                    .map_err(|error| StreamFailure::Malformed(error.to_string().into()));
            }
            if self.buffer.len() > MESSAGE_BYTES_MAX {
                return Err(StreamFailure::TooLarge);
            }
            let frame = self.body.frame().await;
            let frame =
                frame.ok_or_else(|| StreamFailure::Connection("watch stream ended".into()))?;
            let frame =
                frame.map_err(|error| StreamFailure::Connection(error.to_string().into()))?;
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

    /// Opens the stream at the revision of this watch.
    async fn resume(&mut self) -> Result<(), StoreError> {
        let deadline = self.store.deadline();
        let sent = Instant::now();
        let result = timeout_at(deadline, self.open_stream(deadline)).await;
        let result = result.unwrap_or_else(|_| Err(StoreError::Unavailable("timeout".into())));
        let outcome = match &result {
            Ok(_) | Err(StoreError::Compacted | StoreError::Malformed(_)) => CallOutcome::Answered,
            Err(_) => CallOutcome::Failed,
        };
        self.store.metrics.record(StoreCall::Watch, outcome, sent.elapsed());
        self.stream = Some(result?);
        Ok(())
    }

    async fn open_stream(&self, deadline: Instant) -> Result<Stream, StoreError> {
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
            last_message_at: Instant::now(),
            _connection: connection,
        };
        let first = stream.next_message().await?;
        self.check_created(first)?;
        Ok(stream)
    }

    fn check_created(&self, first: StreamMessage<WatchResponse>) -> Result<(), StoreError> {
        let response = result(first)?;
        check_not_canceled(&response)?;
        if !response.created || !response.events.is_empty() {
            return Err(malformed("first message of the watch does not confirm its creation"));
        }
        match revision(&response.header)? < self.after {
            true => Err(StoreError::Compacted),
            false => Ok(()),
        }
    }

    /// Returns the new changes of a message and advances the revision of the watch.
    fn changes(&mut self, response: WatchResponse) -> Result<Vec<Change>, StoreError> {
        check_not_canceled(&response)?;
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
                return Err(malformed("watch delivered changes out of order or of other keys"));
            }
            last = change.revision;
            if change.revision > self.after {
                changes.push(change);
            }
        }
        self.after = last;
        Ok(changes)
    }

    async fn next_changes(&mut self) -> Result<Vec<Change>, StoreError> {
        loop {
            let Some(stream) = &mut self.stream else {
                sleep(jitter(RESUME_DELAY_MAX)).await;
                self.resume().await?;
                continue;
            };
            let silent_at = stream.last_message_at + self.store.watch_silence;
            let message = match timeout_at(silent_at, stream.next_message()).await {
                Ok(Ok(message)) => message,
                Ok(Err(StreamFailure::Connection(_))) => {
                    self.stream = None;
                    continue;
                }
                Ok(Err(failure)) => return Err(failure.into()),
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

fn check_not_canceled(response: &WatchResponse) -> Result<(), StoreError> {
    match (response.compact_revision.0, response.canceled) {
        (1.., _) => Err(StoreError::Compacted),
        (_, true) => Err(StoreError::Unavailable("watch was canceled".into())),
        _ => Ok(()),
    }
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        let result = self.next_changes().await;
        if result.is_err() {
            self.stream = None;
        }
        result
    }

    fn close(self) {}
}
