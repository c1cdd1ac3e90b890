//! Open connections of a listener, and which of them is closed for another one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cassiafold_event::emit;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::event::IngressEvent;
use crate::limits::IngressLimits;
use crate::metrics::IngressMetrics;

/// Time that a caller has for the first bytes of a request before its connection may be closed for
/// another one.
const WAITING_GRACE: Duration = Duration::from_millis(250);
/// Time that a caller has for a body before its connection may be closed for another one.
const BODY_GRACE: Duration = Duration::from_secs(1);
/// Bytes of a body that are reserved at once.
pub(crate) const UNIT_BYTES: usize = 8 << 10;
/// Time until a closed connection has released what it holds.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections that are closed for one body, at most.
const CLOSED_FOR_BODY_MAX: usize = 8;
/// Time between two log lines about the same limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Divisor of the highest number of connections that gives those that are kept free, by closing
/// connections after a response.
const FREE_DIVISOR: usize = 8;
/// Requests after which a connection may be closed with a response.
const REQUESTS_MIN: u64 = 16;
/// Limit of the number of connections, as a metric label.
const CONNECTIONS: &str = "connections";
/// Limit of the bytes of bodies, as a metric label.
const BODIES: &str = "bodies";

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The caller's next request, or that it reads a response.
    Waiting,
    /// The rest of a request's body.
    ReadingBody,
    /// The response of this instance.
    Responding,
}

#[derive(Debug)]
struct OpenConnection {
    phase: Phase,
    since: Instant,
    /// Requests that it has sent.
    requests: u64,
    /// Whether it is closed after its next response.
    ends_with_response: bool,
    close: CancellationToken,
}

#[derive(Debug, Default)]
struct Table {
    next_id: u64,
    open: HashMap<u64, OpenConnection>,
    /// When each limit was logged last.
    logged: HashMap<&'static str, Instant>,
}

#[derive(Debug)]
struct Shared {
    limits: IngressLimits,
    metrics: IngressMetrics,
    /// Units of [`UNIT_BYTES`] that bodies may still take.
    body_units: Arc<Semaphore>,
    table: Mutex<Table>,
}

/// The connections of a listener and what they hold. Clones share it.
#[derive(Debug, Clone)]
pub struct Ingress(Arc<Shared>);

/// An admitted connection; it is no longer counted once all clones of its handle are dropped.
#[derive(Debug)]
pub struct Connection {
    id: u64,
    ingress: Ingress,
    close: CancellationToken,
}

impl Default for Ingress {
    fn default() -> Self {
        Self::new(IngressLimits::default(), IngressMetrics::default())
    }
}

impl Ingress {
    /// A listener without connections.
    pub fn new(limits: IngressLimits, metrics: IngressMetrics) -> Self {
        let units = (limits.bodies_bytes_max / UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        let body_units = Arc::new(Semaphore::new(units));
        Self(Arc::new(Shared { limits, metrics, body_units, table: Mutex::default() }))
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection. At the limit, the one that has waited longest for its caller is closed
    /// for it; `None` if none has waited for long.
    pub fn admit(&self) -> Option<Arc<Connection>> {
        let mut table = self.table();
        let connections_max = self.0.limits.connections_max;
        if table.open.len() >= connections_max - connections_max / FREE_DIVISOR {
            table.end_busiest_with_response();
        }
        if table.open.len() >= connections_max {
            let closed = table.close_longest(&[
                (Phase::Waiting, WAITING_GRACE),
                (Phase::ReadingBody, BODY_GRACE),
            ]);
            table.log(CONNECTIONS, IngressEvent::ConnectionsFull, connections_max);
            if !closed {
                table.end_oldest_with_response();
                self.0.metrics.count_refused(CONNECTIONS);
                return None;
            }
            self.0.metrics.count_closed(CONNECTIONS);
        }
        let (id, close) = (table.next_id, CancellationToken::new());
        table.next_id += 1;
        let open = OpenConnection {
            phase: Phase::Waiting,
            since: Instant::now(),
            requests: 0,
            ends_with_response: false,
            close: close.clone(),
        };
        table.open.insert(id, open);
        self.0.metrics.set_connections(table.open.len());
        Some(Arc::new(Connection { id, ingress: self.clone(), close }))
    }
}

impl Table {
    /// Closes the connection that has been longest in one of these phases, and longer than the
    /// grace of the phase. Returns whether there is one.
    fn close_longest(&mut self, phases: &[(Phase, Duration)]) -> bool {
        let now = Instant::now();
        let may_close = |open: &OpenConnection| {
            let waited = now.saturating_duration_since(open.since);
            phases.iter().any(|(phase, grace)| open.phase == *phase && waited >= *grace)
        };
        let candidates = self.open.iter().filter(|(_, open)| may_close(open));
        let Some(id) = candidates.min_by_key(|(_, open)| open.since).map(|(id, _)| *id) else {
            return false;
        };
        if let Some(open) = self.open.remove(&id) {
            open.close.cancel();
        }
        true
    }

    /// Lets the connection that has sent most requests end with its next response: one that sends
    /// request after request never waits for its caller.
    fn end_busiest_with_response(&mut self) {
        let candidates = self.open.values_mut();
        let busy =
            candidates.filter(|open| !open.ends_with_response && open.requests >= REQUESTS_MIN);
        if let Some(open) = busy.max_by_key(|open| open.requests) {
            open.ends_with_response = true;
        }
    }

    /// Lets the connection that has been open for longest end with its next response: all are being
    /// answered, and callers that send request after request would keep others out.
    fn end_oldest_with_response(&mut self) {
        let candidates = self.open.iter_mut().filter(|(_, open)| !open.ends_with_response);
        if let Some((_, oldest)) = candidates.min_by_key(|(id, _)| **id) {
            oldest.ends_with_response = true;
        }
    }

    fn log(&mut self, limit: &'static str, event: IngressEvent, max: usize) {
        let now = Instant::now();
        let is_due = |last: &Instant| now.saturating_duration_since(*last) >= LOG_INTERVAL;
        if self.logged.get(limit).is_none_or(is_due) {
            self.logged.insert(limit, now);
            emit!(event, max = max, connections = self.open.len());
        }
    }
}

impl Connection {
    /// Drives a connection until it ends or is closed for another one.
    pub async fn run<T>(&self, connection: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            result = connection => Some(result),
            () = self.close.cancelled() => None,
        }
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        if let Some(open) = self.ingress.table().open.get_mut(&self.id)
            && open.phase != phase
        {
            open.requests += u64::from(open.phase == Phase::Waiting);
            open.phase = phase;
            open.since = Instant::now();
        }
    }

    /// Whether the connection is to be closed with the response that is being sent.
    pub(crate) fn ends_with_response(&self) -> bool {
        let table = self.ingress.table();
        table.open.get(&self.id).is_some_and(|open| open.ends_with_response)
    }

    /// Most bytes that the bodies of all connections hold together.
    pub(crate) fn bodies_bytes_max(&self) -> usize {
        self.ingress.0.limits.bodies_bytes_max
    }

    /// Reserves the next unit of a body; bodies that have stalled are closed for it.
    pub(crate) async fn reserve_unit(&self) -> Option<BodyUnit> {
        let shared = &self.ingress.0;
        for _ in 0..CLOSED_FOR_BODY_MAX {
            if let Ok(permit) = shared.body_units.clone().try_acquire_owned() {
                return Some(BodyUnit::new(permit, shared.metrics.clone()));
            }
            let closed = {
                let mut table = self.ingress.table();
                table.log(BODIES, IngressEvent::BodiesFull, shared.limits.bodies_bytes_max);
                table.close_longest(&[(Phase::ReadingBody, BODY_GRACE)])
            };
            if !closed {
                break;
            }
            shared.metrics.count_closed(BODIES);
            let released = shared.body_units.clone().acquire_owned();
            if let Ok(Ok(permit)) = timeout(RELEASE_TIMEOUT, released).await {
                return Some(BodyUnit::new(permit, shared.metrics.clone()));
            }
        }
        shared.metrics.count_refused(BODIES);
        None
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut table = self.ingress.table();
        table.open.remove(&self.id);
        self.ingress.0.metrics.set_connections(table.open.len());
    }
}

/// A reserved unit of a body.
#[derive(Debug)]
pub(crate) struct BodyUnit {
    _permit: OwnedSemaphorePermit,
    metrics: IngressMetrics,
}

impl BodyUnit {
    fn new(permit: OwnedSemaphorePermit, metrics: IngressMetrics) -> Self {
        metrics.add_body_bytes(UNIT_BYTES as i64);
        Self { _permit: permit, metrics }
    }
}

impl Drop for BodyUnit {
    fn drop(&mut self) {
        self.metrics.add_body_bytes(-(UNIT_BYTES as i64));
    }
}
