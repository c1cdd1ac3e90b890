//! Whether the store is available to callers.
//!
//! A failed call, or one that waits for longer than expected, starts checks. If no call is answered
//! for a time after that, all calls are refused until one is. What is expected follows the latest
//! responses: a slow store is available.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{Store, StoreError};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use super::reason::{StoreLoss, StoreOperation};
use crate::event::JobsEvent;
use crate::metrics::JobsMetrics;
use crate::record::WAITING_KEY;
use crate::response_times::ResponseTimes;
use crate::task_panic::restart_on_panic;

/// Shortest time without a response after which the store is suspected, while the call goes on.
const SUSPICION_TIME_MIN: Duration = Duration::from_millis(200);
/// Longest such time: a third of the three seconds that callers wait who name no deadline.
const SUSPICION_TIME_MAX: Duration = Duration::from_secs(1);
/// Shortest time from the first failure until the store counts as unavailable if no call is
/// answered: a quarter of those three seconds, so that queries outlast both times.
const LOSS_TIME_MIN: Duration = Duration::from_millis(750);
/// Longest such time: half of those three seconds.
const LOSS_TIME_MAX: Duration = Duration::from_millis(1_500);
/// Multiple of the latest response times that a response is not expected to exceed.
const EXPECTED_FACTOR: f64 = 1.5;
/// Longest time for which a check waits.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time from the first check to the second one, which uses another connection.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(200);
/// Time between two later checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(750);
/// Time from a check that failed to the next one.
const FAILED_CHECK_DELAY: Duration = Duration::from_millis(60);
/// Divisor of the time to a caller's deadline that gives the longest wait for the checks.
const WAIT_DIVISOR: u32 = 4;
/// User of the store that the log names.
const USER: &str = "callers";

/// A check of the store that has ended.
struct Check {
    sent: Instant,
    result: Result<(), StoreError>,
}

/// What the calls so far say about the store.
#[derive(Debug, Clone, Default)]
enum Phase {
    /// The last call was answered.
    #[default]
    Available,
    /// A call failed, and no other has been answered since.
    Suspected(StoreLoss),
    /// A call failed, and no other was answered in time.
    Unavailable(StoreLoss),
}

/// State that the clones share.
#[derive(Debug, Default)]
struct SharedState {
    phase: watch::Sender<Phase>,
    response_times: Mutex<ResponseTimes>,
    /// Checks since the store was last available.
    checks: AtomicU32,
}

/// Whether the store is available, by the calls that callers cause. Clones share it.
#[derive(Debug, Clone)]
pub(super) struct StoreAvailability<S> {
    store: S,
    shared: Arc<SharedState>,
    metrics: JobsMetrics,
}

impl<S: Store> StoreAvailability<S> {
    pub(super) fn new(store: S, metrics: JobsMetrics) -> Self {
        Self { store, shared: Arc::default(), metrics }
    }

    /// Why the store counts as unavailable, if it does.
    pub(super) fn loss(&self) -> Option<StoreLoss> {
        self.shared.phase.borrow().loss()
    }

    /// Whether a call failed and none has been answered since.
    pub(super) fn is_suspected(&self) -> bool {
        !matches!(*self.shared.phase.borrow(), Phase::Available)
    }

    /// Waits while a failed call is being checked, for a part of the time to a caller's deadline.
    /// Fails if the store counts as unavailable.
    pub(super) async fn wait_for_checks(&self, deadline: Instant) -> Result<(), StoreLoss> {
        if !self.is_suspected() {
            return Ok(());
        }
        let now = Instant::now();
        let left = deadline.saturating_duration_since(now);
        let mut phases = self.shared.phase.subscribe();
        let decision = phases.wait_for(|phase| !matches!(phase, Phase::Suspected(_)));
        let _ = timeout_at(now + left / WAIT_DIVISOR, decision).await;
        self.loss().map_or(Ok(()), Err)
    }

    /// Watches a call that waits for its response, until the store counts as unavailable. A call
    /// that waits for longer than expected has failed for others, and goes on for its caller.
    pub(super) async fn watch_call(&self, operation: StoreOperation) -> StoreLoss {
        if let Ok(loss) = timeout(self.suspicion_time(), self.wait_for_loss()).await {
            return loss;
        }
        self.record_failure(operation, &StoreError::no_response());
        self.wait_for_loss().await
    }

    /// Waits until the store counts as unavailable.
    async fn wait_for_loss(&self) -> StoreLoss {
        let mut phases = self.shared.phase.subscribe();
        loop {
            if let Some(loss) = phases.borrow_and_update().loss() {
                return loss;
            }
            if phases.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until a call has been answered since this loss.
    async fn wait_for_response(&self, loss: &StoreLoss) {
        let mut phases = self.shared.phase.subscribe();
        if phases.wait_for(|phase| !phase.is_same_loss(loss)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Records whether a call that was sent at `sent` got a response. If not, checks the store until
    /// it is available.
    pub(super) fn record_result<T>(
        &self,
        operation: StoreOperation,
        sent: Instant,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        match &result {
            Err(error) if error.is_transient() => self.record_failure(operation, error),
            _ => self.record_response(sent),
        }
        result
    }

    /// Records a call that its caller's deadline has ended. That a response takes longer than a
    /// caller with little time waits says nothing about the store.
    pub(super) fn record_timeout(&self, operation: StoreOperation, sent: Instant) -> StoreError {
        let error = StoreError::OutcomeUnknown("no response before the deadline".into());
        if sent.elapsed() >= self.suspicion_time() {
            self.record_failure(operation, &error);
        }
        error
    }

    /// Time without a response after which a call has failed for others.
    fn suspicion_time(&self) -> Duration {
        self.expected_time_max().clamp(SUSPICION_TIME_MIN, SUSPICION_TIME_MAX)
    }

    /// Time after a failed call in which another one has to be answered.
    fn loss_time(&self) -> Duration {
        self.expected_time_max().clamp(LOSS_TIME_MIN, LOSS_TIME_MAX)
    }

    /// Time that a response is not expected to exceed; zero if too few are known.
    pub(super) fn expected_time_max(&self) -> Duration {
        let times = &self.shared.response_times;
        let times = times.lock().unwrap_or_else(PoisonError::into_inner);
        times.shorter_of_latest_two().mul_f64(EXPECTED_FACTOR)
    }

    fn record_response(&self, sent: Instant) {
        let times = &self.shared.response_times;
        times.lock().unwrap_or_else(PoisonError::into_inner).record(sent.elapsed());
        let mut loss = None;
        self.shared.phase.send_if_modified(|phase| {
            let is_new = !matches!(phase, Phase::Available);
            loss = phase.loss();
            *phase = Phase::Available;
            is_new
        });
        if let Some(loss) = loss {
            self.metrics.set_store_unavailable(false);
            let checks = self.shared.checks.load(Ordering::Relaxed);
            let lost_ms = loss.since.elapsed().as_millis();
            emit!(JobsEvent::StoreRegained, user = USER, lost_ms = lost_ms, checks = checks);
        }
    }

    fn record_failure(&self, operation: StoreOperation, error: &StoreError) {
        let loss = StoreLoss { since: Instant::now(), operation, error: error.clone() };
        let is_new = self.shared.phase.send_if_modified(|phase| {
            let is_new = matches!(phase, Phase::Available);
            if is_new {
                *phase = Phase::Suspected(loss.clone());
            }
            is_new
        });
        if is_new {
            let availability = self.clone();
            let check = move || availability.clone().check(loss.clone());
            tokio::spawn(restart_on_panic("check of the store", check));
        }
    }

    /// Checks the store until a call is answered.
    async fn check(self, loss: StoreLoss) {
        self.shared.checks.store(0, Ordering::Relaxed);
        let check_error = Mutex::new(StoreError::no_response());
        tokio::select! {
            () = self.wait_for_response(&loss) => {}
            () = self.repeat_checks(&check_error) => {}
            () = self.declare_loss(&loss, &check_error) => {}
        }
    }

    /// Makes checks until one is answered. Earlier ones go on beside the later ones: they were sent
    /// to a store that may be slow, and the later ones find out soon that it is back.
    async fn repeat_checks(&self, check_error: &Mutex<StoreError>) {
        let mut checks = FuturesUnordered::new();
        let mut interval = SECOND_CHECK_DELAY;
        loop {
            checks.push(self.check_once());
            self.shared.checks.fetch_add(1, Ordering::Relaxed);
            let mut next_at = Instant::now() + interval;
            interval = CHECK_INTERVAL;
            loop {
                let check = tokio::select! {
                    Some(check) = checks.next() => check,
                    () = sleep_until(next_at) => break,
                };
                match check.result {
                    Ok(()) => return self.record_response(check.sent),
                    Err(error) => {
                        *check_error.lock().unwrap_or_else(PoisonError::into_inner) = error;
                        next_at = next_at.min(Instant::now() + FAILED_CHECK_DELAY);
                    }
                }
            }
        }
    }

    async fn check_once(&self) -> Check {
        let sent = Instant::now();
        let result = match timeout(CHECK_TIMEOUT, self.store.get(WAITING_KEY)).await {
            Ok(Err(error)) if error.is_transient() => Err(error),
            Ok(_) => Ok(()),
            Err(_) => Err(StoreError::no_response()),
        };
        Check { sent, result }
    }

    /// Refuses all calls once the loss time is over. Never returns: a response ends the check.
    async fn declare_loss(&self, loss: &StoreLoss, check_error: &Mutex<StoreError>) {
        sleep_until(loss.since + self.loss_time()).await;
        let is_changed = self.shared.phase.send_if_modified(|phase| {
            let is_suspected = matches!(phase, Phase::Suspected(_)) && phase.is_same_loss(loss);
            if is_suspected {
                *phase = Phase::Unavailable(loss.clone());
            }
            is_suspected
        });
        if is_changed {
            self.metrics.set_store_unavailable(true);
            emit!(
                JobsEvent::StoreLost,
                user = USER,
                call = loss.operation,
                error = loss.error,
                check_error = check_error.lock().unwrap_or_else(PoisonError::into_inner),
                lost_ms = loss.since.elapsed().as_millis()
            );
        }
        std::future::pending().await
    }
}

impl Phase {
    /// Why the store counts as unavailable, if it does.
    fn loss(&self) -> Option<StoreLoss> {
        match self {
            Self::Unavailable(loss) => Some(loss.clone()),
            Self::Available | Self::Suspected(_) => None,
        }
    }

    /// Whether the phase still belongs to this loss.
    fn is_same_loss(&self, loss: &StoreLoss) -> bool {
        match self {
            Self::Available => false,
            Self::Suspected(current) | Self::Unavailable(current) => current.since == loss.since,
        }
    }
}
