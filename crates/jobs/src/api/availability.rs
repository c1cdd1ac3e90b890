//! Availability of the store for callers: whether calls to it are worth sending.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{Store, StoreError};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::reason::{StoreLoss, StoreOperation};
use crate::event::JobsEvent;
use crate::metrics::JobsMetrics;
use crate::record::WAITING_KEY;

/// Timeout of a read that checks whether the store is available.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two such reads.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// User of the store that the log names.
const USER: &str = "callers";

/// Whether the store is available, by the calls that callers cause. Clones share it.
#[derive(Debug, Clone)]
pub(super) struct StoreAvailability<S> {
    store: S,
    /// Why the store counts as unavailable, in which case it is being checked.
    loss: Arc<watch::Sender<Option<StoreLoss>>>,
    metrics: JobsMetrics,
}

impl<S: Store> StoreAvailability<S> {
    pub(super) fn new(store: S, metrics: JobsMetrics) -> Self {
        Self { store, loss: Arc::default(), metrics }
    }

    /// Why the store counts as unavailable: a call got no response and no check has succeeded
    /// since.
    pub(super) fn loss(&self) -> Option<StoreLoss> {
        self.loss.borrow().clone()
    }

    /// Records whether a call got a response. If not, checks the store until it is available.
    pub(super) fn track<T>(
        &self,
        operation: StoreOperation,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if let Err(error @ (StoreError::OutcomeUnknown(_) | StoreError::Unavailable(_))) = &result {
            self.record_loss(operation, error);
        }
        result
    }

    fn record_loss(&self, operation: StoreOperation, error: &StoreError) {
        let loss = StoreLoss { since: Instant::now(), operation, error: error.clone() };
        let is_new = self.loss.send_if_modified(|current| {
            let is_new = current.is_none();
            if is_new {
                *current = Some(loss);
            }
            is_new
        });
        if is_new {
            emit!(JobsEvent::StoreLost, user = USER, call = operation, error = error);
            self.metrics.set_store_unavailable(true);
            tokio::spawn(self.clone().wait_for_store());
        }
    }

    /// Reads from the store until it responds.
    async fn wait_for_store(self) {
        let since = Instant::now();
        let mut checks = 1;
        while !matches!(timeout(CHECK_TIMEOUT, self.store.get(WAITING_KEY)).await, Ok(Ok(_))) {
            sleep(CHECK_INTERVAL).await;
            checks += 1;
        }
        self.loss.send_replace(None);
        self.metrics.set_store_unavailable(false);
        let lost_ms = since.elapsed().as_millis();
        emit!(JobsEvent::StoreRegained, user = USER, lost_ms = lost_ms, checks = checks);
    }
}
