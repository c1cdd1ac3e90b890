//! Whether the store is available to callers.
//!
//! A failed call starts checks, and later calls wait for them. If no check is answered within
//! [`CHECK_TIMEOUT`], all calls are refused until one is.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{Store, StoreError};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::reason::{StoreLoss, StoreOperation};
use super::store_call::call_hedged;
use crate::event::JobsEvent;
use crate::metrics::JobsMetrics;
use crate::record::WAITING_KEY;
use crate::task_panic::restart_on_panic;

/// Time in which a check has to be answered before the store counts as unavailable: a quarter of
/// the three seconds that callers wait who name no deadline, so that queries outlast it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(750);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Divisor of the time to a caller's deadline that gives the longest wait for the checks.
const WAIT_DIVISOR: u32 = 4;
/// User of the store that the log names.
const USER: &str = "callers";

/// What the calls so far say about the store.
#[derive(Debug, Clone, Default)]
enum Phase {
    /// The last call was answered.
    #[default]
    Available,
    /// A call failed, and the checks have not decided yet.
    Suspected,
    /// A call failed, and no check was answered in time.
    Unavailable(StoreLoss),
}

/// Whether the store is available, by the calls that callers cause. Clones share it.
#[derive(Debug, Clone)]
pub(super) struct StoreAvailability<S> {
    store: S,
    phase: Arc<watch::Sender<Phase>>,
    metrics: JobsMetrics,
}

impl<S: Store> StoreAvailability<S> {
    pub(super) fn new(store: S, metrics: JobsMetrics) -> Self {
        Self { store, phase: Arc::default(), metrics }
    }

    /// Why the store counts as unavailable, if it does.
    pub(super) fn loss(&self) -> Option<StoreLoss> {
        self.phase.borrow().loss()
    }

    /// Whether a call failed and no check has been answered since.
    pub(super) fn is_suspected(&self) -> bool {
        !matches!(*self.phase.borrow(), Phase::Available)
    }

    /// Waits while the checks have not decided, for a part of the time to a caller's deadline. Fails
    /// if the store counts as unavailable.
    pub(super) async fn wait_for_checks(&self, deadline: Instant) -> Result<(), StoreLoss> {
        if !self.is_suspected() {
            return Ok(());
        }
        let now = Instant::now();
        let left = deadline.saturating_duration_since(now);
        let mut phases = self.phase.subscribe();
        let decision = phases.wait_for(|phase| !matches!(phase, Phase::Suspected));
        let _ = timeout_at(now + left / WAIT_DIVISOR, decision).await;
        self.loss().map_or(Ok(()), Err)
    }

    /// Watches a call that waits for its response, until the store counts as unavailable. A call
    /// that waits as long as a check may take has failed for others, and goes on for its caller.
    pub(super) async fn watch_call(&self, operation: StoreOperation) -> StoreLoss {
        if let Ok(loss) = timeout(CHECK_TIMEOUT, self.wait_for_loss()).await {
            return loss;
        }
        self.record_failure(operation, &StoreError::no_response());
        self.wait_for_loss().await
    }

    /// Waits until the store counts as unavailable.
    async fn wait_for_loss(&self) -> StoreLoss {
        let mut phases = self.phase.subscribe();
        loop {
            if let Some(loss) = phases.borrow_and_update().loss() {
                return loss;
            }
            if phases.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records whether a call got a response. If not, checks the store until it is available.
    pub(super) fn record_result<T>(
        &self,
        operation: StoreOperation,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if let Err(error @ (StoreError::OutcomeUnknown(_) | StoreError::Unavailable(_))) = &result {
            self.record_failure(operation, error);
        }
        result
    }

    fn record_failure(&self, operation: StoreOperation, error: &StoreError) {
        let is_new = self.phase.send_if_modified(|phase| {
            let is_new = matches!(phase, Phase::Available);
            if is_new {
                *phase = Phase::Suspected;
            }
            is_new
        });
        if is_new {
            let loss = StoreLoss { since: Instant::now(), operation, error: error.clone() };
            let availability = self.clone();
            let check = move || availability.clone().check(loss.clone());
            tokio::spawn(restart_on_panic("check of the store", check));
        }
    }

    /// Checks the store until it answers.
    async fn check(self, loss: StoreLoss) {
        let decide_at = loss.since + CHECK_TIMEOUT;
        let mut checks = 1;
        loop {
            let now = Instant::now();
            let deadline = if now < decide_at { decide_at } else { now + CHECK_TIMEOUT };
            let Err(error) = self.check_once(deadline).await else { break };
            if self.loss().is_none() && Instant::now() + CHECK_INTERVAL >= decide_at {
                self.set_unavailable(&loss, &error);
            }
            sleep(CHECK_INTERVAL).await;
            checks += 1;
        }
        if self.phase.send_replace(Phase::Available).loss().is_some() {
            self.metrics.set_store_unavailable(false);
            let lost_ms = loss.since.elapsed().as_millis();
            emit!(JobsEvent::StoreRegained, user = USER, lost_ms = lost_ms, checks = checks);
        }
    }

    async fn check_once(&self, deadline: Instant) -> Result<(), StoreError> {
        let check = call_hedged(|| self.store.get(WAITING_KEY), deadline);
        match timeout_at(deadline, check).await {
            Ok(result) => result.map(drop),
            Err(_) => Err(StoreError::no_response()),
        }
    }

    fn set_unavailable(&self, loss: &StoreLoss, check_error: &StoreError) {
        self.phase.send_replace(Phase::Unavailable(loss.clone()));
        self.metrics.set_store_unavailable(true);
        emit!(
            JobsEvent::StoreLost,
            user = USER,
            call = loss.operation,
            error = loss.error,
            check_error = check_error,
            lost_ms = loss.since.elapsed().as_millis()
        );
    }
}

impl Phase {
    /// Why the store counts as unavailable, if it does.
    fn loss(&self) -> Option<StoreLoss> {
        match self {
            Self::Unavailable(loss) => Some(loss.clone()),
            Self::Available | Self::Suspected => None,
        }
    }
}
