//! Keeps a lease of the store alive and knows, without asking, until when it surely holds.
//!
//! The validity is measured from before each renewal was sent, so that it ends before the store
//! ends the lease, however long the holder or the answer is delayed. Both the monotonic clock and
//! the time since boot are consulted and the later one counts, since the monotonic clock stands
//! still while a machine is suspended. Check the validity at the moment of use: a holder that was
//! paused finds it over when it wakes up.

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

/// Part of the time to live that is left unused, against clocks that run at different rates.
const MARGIN_DIVISOR: u32 = 10;
/// Renewals per time to live while they succeed.
const RENEWALS_PER_TTL: u32 = 3;
/// Renewals per time to live after one has failed.
const RETRIES_PER_TTL: u32 = 10;
/// Part of the time to live that an attempt may take: the rest of it would be of little use.
const ATTEMPT_PART: f64 = 0.75;

/// Tells whether a lease holds now. Clones are cheap and share the same lease.
#[derive(Debug, Clone)]
pub struct LeaseValidity {
    start: Stamp,
    valid_ns: Arc<AtomicU64>,
}

/// A moment on the monotonic clock, which stands still while a machine is suspended, and on the
/// one that counts suspensions.
#[derive(Debug, Clone, Copy)]
pub struct Stamp {
    monotonic: Instant,
    boot: Moment,
}

impl Stamp {
    /// The present moment.
    pub fn now() -> Self {
        Self { monotonic: Instant::now(), boot: since_boot() }
    }

    /// Time from `earlier` to this moment on the clock that advanced more.
    pub fn since(&self, earlier: &Self) -> Duration {
        let monotonic = self.monotonic.duration_since(earlier.monotonic);
        monotonic.max(self.boot.saturating_sub(earlier.boot))
    }
}

impl LeaseValidity {
    fn new(start: Stamp) -> Self {
        Self { start, valid_ns: Arc::default() }
    }

    /// Whether the lease surely holds at this moment.
    pub fn is_valid(&self) -> bool {
        !self.remaining().is_zero()
    }

    /// How long the lease surely holds from now on.
    pub fn remaining(&self) -> Duration {
        let valid = Duration::from_nanos(self.valid_ns.load(Ordering::Acquire));
        valid.saturating_sub(Stamp::now().since(&self.start))
    }

    /// Notes a renewal that was sent at `sent` and answered with a time to live.
    fn renew(&self, sent: Stamp, ttl: Duration) {
        let until = sent.since(&self.start) + (ttl - ttl / MARGIN_DIVISOR);
        let until_ns = u64::try_from(until.as_nanos()).unwrap_or(u64::MAX);
        self.valid_ns.fetch_max(until_ns, Ordering::AcqRel);
    }

    fn end(&self) {
        self.valid_ns.store(0, Ordering::Release);
    }
}

/// A lease that is renewed until it is closed, dropped or has expired in the store.
#[derive(Debug)]
pub struct LeaseKeeper<S: Store> {
    store: S,
    id: LeaseId,
    validity: LeaseValidity,
    ended: watch::Receiver<bool>,
    renewals: AbortOnDropHandle<()>,
}

impl<S: Store> LeaseKeeper<S> {
    /// Grants a lease and starts to renew it.
    pub async fn start(store: S, ttl: Duration) -> Result<Self, StoreError> {
        let sent = Stamp::now();
        let id = store.grant_lease(ttl).await?;
        let validity = LeaseValidity::new(sent);
        validity.renew(sent, ttl);
        let (sender, ended) = watch::channel(false);
        let task = renew(store.clone(), id, ttl, validity.clone(), sender);
        let renewals = AbortOnDropHandle::new(tokio::spawn(task));
        Ok(Self { store, id, validity, ended, renewals })
    }

    /// Identifier of the lease, to bind keys to it.
    pub fn id(&self) -> LeaseId {
        self.id
    }

    /// Whether the lease surely holds at this moment.
    pub fn is_valid(&self) -> bool {
        self.validity.is_valid()
    }

    /// A handle on the validity, for the places where it is used.
    pub fn validity(&self) -> LeaseValidity {
        self.validity.clone()
    }

    /// Waits until the store says that the lease has expired. It never holds again after that.
    pub async fn ended(&self) {
        let _ = self.ended.clone().wait_for(|ended| *ended).await;
    }

    /// Ends the lease and removes the keys bound to it. It is invalid at once, whatever the
    /// outcome in the store.
    pub async fn close(self) -> Result<(), StoreError> {
        self.renewals.abort();
        let _ = self.renewals.await;
        self.validity.end();
        self.store.revoke_lease(self.id).await
    }
}

/// An attempt to renew a lease.
struct Renewal {
    sent: Stamp,
    /// `None` if it has taken too long.
    answer: Option<Result<Duration, StoreError>>,
}

async fn attempt<S: Store>(store: &S, id: LeaseId, ttl: Duration) -> Renewal {
    let sent = Stamp::now();
    let answer = timeout(ttl.mul_f64(ATTEMPT_PART), store.keep_alive(id)).await.ok();
    Renewal { sent, answer }
}

/// Renews a lease until the store says that it has expired.
///
/// An attempt does not wait for the one before it: a slow store or a connection on which an
/// answer was lost delays that attempt alone.
async fn renew<S: Store>(
    store: S,
    id: LeaseId,
    ttl: Duration,
    validity: LeaseValidity,
    ended: watch::Sender<bool>,
) {
    let interval = || jitter(ttl / RENEWALS_PER_TTL);
    let mut attempts = FuturesUnordered::new();
    let mut next = Instant::now() + interval();
    loop {
        let renewal = tokio::select! {
            () = sleep_until(next) => {
                attempts.push(attempt(&store, id, ttl));
                next = Instant::now() + interval();
                continue;
            }
            Some(renewal) = attempts.next() => renewal,
        };
        match renewal.answer {
            Some(Ok(granted)) => {
                validity.renew(renewal.sent, granted.min(ttl));
                continue;
            }
            Some(Err(StoreError::LeaseExpired)) => break,
            Some(Err(error)) => {
                cassiafold_event::emit!(PlatformEvent::LeaseRenewalFailed, error = error);
            }
            None => {
                cassiafold_event::emit!(PlatformEvent::LeaseRenewalFailed, error = "timeout");
            }
        }
        next = next.min(Instant::now() + jitter(ttl / RETRIES_PER_TTL));
    }
    validity.end();
    ended.send_replace(true);
    cassiafold_event::emit!(PlatformEvent::LeaseExpired, lease = id);
}
