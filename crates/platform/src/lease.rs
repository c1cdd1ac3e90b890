//! Renews a lease of the store and tracks locally until when the lease is certainly valid.
//!
//! The validity counts from the time at which a renewal was sent, so it ends before the store ends
//! the lease, however long the holder or the response is delayed. The elapsed time is the larger of
//! the monotonic time and the time since boot, because the monotonic clock stops while the machine
//! is suspended. Check the validity immediately before each use: a holder that was paused may find
//! that its lease has expired.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::backoff::jitter;
use crate::clock::{Moment, since_boot};
use crate::event::PlatformEvent;
use crate::store::{LeaseId, Store, StoreError};

/// Divisor of the time to live that gives the safety margin for clocks of different rates.
const TTL_MARGIN_DIVISOR: u32 = 10;
/// Number of renewals per time to live while renewals succeed and the store is fast.
const RENEWALS_PER_TTL: u32 = 3;
/// Largest number of renewals per time to live while the store is slow.
const SLOW_RENEWALS_PER_TTL: u32 = 16;
/// Number of renewals per time to live after a failure.
const RETRIES_PER_TTL: u32 = 10;
/// Renewals that are sent while the validity outlasts a round trip. One of them may be lost.
const RENEWALS_PER_SLACK: u32 = 2;
/// Timeout of a renewal in times to live. A response after the end of the lease extends nothing,
/// but it shows how long a round trip takes.
const ATTEMPT_TTLS: u32 = 2;
/// Divisor of the part of the estimated round trip by which it falls with each faster one.
const ROUND_TRIP_DECAY: u32 = 8;

/// Validity of a lease. Clones are cheap and share one state.
#[derive(Debug, Clone)]
pub struct LeaseValidity {
    start: Stamp,
    /// End of the validity, in nanoseconds after `start`.
    valid_until_ns: Arc<AtomicU64>,
}

/// A point in time on the monotonic clock, which stops while the machine is suspended, and on the
/// boot-time clock, which does not.
#[derive(Debug, Clone, Copy)]
pub struct Stamp {
    monotonic: Instant,
    boot: Moment,
}

impl Stamp {
    /// Returns the current time.
    pub fn now() -> Self {
        Self { monotonic: Instant::now(), boot: since_boot() }
    }

    /// Returns the time elapsed since `earlier` on the clock that advanced more.
    pub fn since(&self, earlier: &Self) -> Duration {
        let monotonic = self.monotonic.duration_since(earlier.monotonic);
        monotonic.max(self.boot.saturating_sub(earlier.boot))
    }
}

impl LeaseValidity {
    fn new(start: Stamp) -> Self {
        Self { start, valid_until_ns: Arc::default() }
    }

    /// Returns whether the lease is certainly valid now.
    pub fn is_valid(&self) -> bool {
        !self.remaining().is_zero()
    }

    /// Returns the time for which the lease is certainly still valid.
    pub fn remaining(&self) -> Duration {
        let valid = Duration::from_nanos(self.valid_until_ns.load(Ordering::Acquire));
        valid.saturating_sub(Stamp::now().since(&self.start))
    }

    /// Extends the validity by a renewal that was sent at `sent` and returned the time to live
    /// `ttl`.
    fn extend(&self, sent: Stamp, ttl: Duration) {
        let until = sent.since(&self.start) + certain_ttl(ttl);
        let until_ns = u64::try_from(until.as_nanos()).unwrap_or(u64::MAX);
        self.valid_until_ns.fetch_max(until_ns, Ordering::AcqRel);
    }

    fn invalidate(&self) {
        self.valid_until_ns.store(0, Ordering::Release);
    }
}

/// Returns the time for which a lease is certainly valid after a renewal was sent.
fn certain_ttl(ttl: Duration) -> Duration {
    ttl - ttl / TTL_MARGIN_DIVISOR
}

/// Renews a lease until the keeper is closed or dropped, or the lease has ended.
#[derive(Debug)]
pub struct LeaseKeeper<S: Store> {
    store: S,
    id: LeaseId,
    ttl: Duration,
    validity: LeaseValidity,
    ended: watch::Receiver<bool>,
    renewal_task: AbortOnDropHandle<()>,
}

impl<S: Store> LeaseKeeper<S> {
    /// Requests a lease and starts to renew it.
    pub async fn start(store: S, ttl: Duration) -> Result<Self, StoreError> {
        let sent = Stamp::now();
        let id = store.grant_lease(ttl).await?;
        let validity = LeaseValidity::new(sent);
        validity.extend(sent, ttl);
        let (sender, ended) = watch::channel(false);
        let pace = RenewalPace { ttl, round_trip: Stamp::now().since(&sent) };
        let task = renew(store.clone(), id, pace, validity.clone(), sender);
        let renewal_task = AbortOnDropHandle::new(tokio::spawn(task));
        Ok(Self { store, id, ttl, validity, ended, renewal_task })
    }

    /// Returns the identifier of the lease, to which keys can be bound.
    pub fn id(&self) -> LeaseId {
        self.id
    }

    /// Returns the time to live that was requested.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Returns whether the lease is certainly valid now.
    pub fn is_valid(&self) -> bool {
        self.validity.is_valid()
    }

    /// Returns a handle with which other components can check the validity.
    pub fn validity(&self) -> LeaseValidity {
        self.validity.clone()
    }

    /// Waits until the store reports that the lease has expired, or until it is given up because
    /// renewals take longer than it lasts. Both are final.
    pub async fn ended(&self) {
        let _ = self.ended.clone().wait_for(|ended| *ended).await;
    }

    /// Revokes the lease, which removes the keys bound to it. The validity ends before the call to
    /// the store, whatever its outcome.
    pub async fn close(self) -> Result<(), StoreError> {
        self.renewal_task.abort();
        let _ = self.renewal_task.await;
        self.validity.invalidate();
        self.store.revoke_lease(self.id).await
    }
}

/// Interval of the renewals, which follows the time that they take.
#[derive(Debug)]
struct RenewalPace {
    ttl: Duration,
    /// Estimated round trip of a renewal.
    round_trip: Duration,
}

impl RenewalPace {
    /// Records the round trip of a renewal. The estimate rises at once and falls slowly.
    fn record(&mut self, round_trip: Duration) {
        let decayed = self.round_trip - self.round_trip / ROUND_TRIP_DECAY;
        self.round_trip = round_trip.max(decayed);
    }

    /// Returns the time until the next renewal: a third of the time to live, or less if the
    /// validity does not outlast a round trip by that much.
    fn interval(&self) -> Duration {
        let slack = certain_ttl(self.ttl).saturating_sub(self.round_trip);
        let bound = (slack / RENEWALS_PER_SLACK).min(self.ttl / RENEWALS_PER_TTL);
        jitter(bound.max(self.ttl / SLOW_RENEWALS_PER_TTL))
    }

    fn retry_delay(&self) -> Duration {
        jitter(self.ttl / RETRIES_PER_TTL)
    }
}

/// Result of one attempt to renew a lease.
struct RenewalAttempt {
    sent: Stamp,
    round_trip: Duration,
    /// `None` if the attempt timed out.
    result: Option<Result<Duration, StoreError>>,
}

/// Detects that renewals take longer than the lease lasts. The store holds such a lease, and its
/// holder can never be certain of it.
#[derive(Debug, Default)]
struct Lateness {
    /// When the first response came since which the lease has not been valid.
    since: Option<Stamp>,
}

impl Lateness {
    /// Records a successful renewal. Returns whether it and another one before it came too late.
    fn record(&mut self, renewal: &RenewalAttempt, validity: &LeaseValidity) -> bool {
        if validity.is_valid() {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert_with(Stamp::now);
        renewal.sent.monotonic > since.monotonic
    }
}

async fn attempt<S: Store>(store: &S, id: LeaseId, ttl: Duration) -> RenewalAttempt {
    let sent = Stamp::now();
    let result = timeout(ttl * ATTEMPT_TTLS, store.keep_alive(id)).await.ok();
    RenewalAttempt { sent, round_trip: Stamp::now().since(&sent), result }
}

/// Renews a lease until the store reports that it has expired, or gives it up.
///
/// Attempts run concurrently, so a slow store or a connection on which a response was lost delays
/// only the affected attempt.
async fn renew<S: Store>(
    store: S,
    id: LeaseId,
    mut pace: RenewalPace,
    validity: LeaseValidity,
    ended: watch::Sender<bool>,
) {
    let ttl = pace.ttl;
    let mut lateness = Lateness::default();
    let mut attempts = FuturesUnordered::new();
    let mut next_attempt = Instant::now() + pace.interval();
    let end = loop {
        let renewal = tokio::select! {
            () = sleep_until(next_attempt) => {
                attempts.push(attempt(&store, id, ttl));
                next_attempt = Instant::now() + pace.interval();
                continue;
            }
            Some(renewal) = attempts.next() => renewal,
        };
        match renewal.result {
            Some(Ok(granted)) => {
                validity.extend(renewal.sent, granted.min(ttl));
                pace.record(renewal.round_trip);
                if lateness.record(&renewal, &validity) {
                    break PlatformEvent::LeaseTooShort;
                }
            }
            Some(Err(StoreError::LeaseExpired)) => break PlatformEvent::LeaseExpired,
            Some(Err(error)) => {
                cassiafold_event::emit!(PlatformEvent::LeaseRenewalFailed, error = error);
                next_attempt = next_attempt.min(Instant::now() + pace.retry_delay());
            }
            None => {
                cassiafold_event::emit!(PlatformEvent::LeaseRenewalFailed, error = "timeout");
                next_attempt = next_attempt.min(Instant::now() + pace.retry_delay());
            }
        }
    };
    validity.invalidate();
    ended.send_replace(true);
    cassiafold_event::emit!(end, lease = id, round_trip_ms = pace.round_trip.as_millis());
}
