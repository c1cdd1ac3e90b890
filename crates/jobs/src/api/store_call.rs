//! Calls to the store that a caller waits for, bounded by the caller's deadline.

use std::time::Duration;

use cassiafold_platform::{Record, Store, StoreError};
use tokio::pin;
use tokio::time::{Instant, timeout_at};

use super::reason::{StoreOperation, UnknownReason};
use super::{JobApi, RETRY_DELAY};
use crate::platform_clients::PlatformClients;

/// Longest delay of the second attempt after the first one.
const HEDGE_DELAY_MAX: Duration = Duration::from_millis(200);
/// Divisor of the time to the deadline that gives a shorter delay for callers with little time.
const HEDGE_DELAY_DIVISOR: u32 = 4;
/// Shortest time without a response that counts as a failure of the store.
const EVIDENCE_WAIT_MIN: Duration = Duration::from_millis(200);

impl<S: PlatformClients> JobApi<S> {
    /// Reads a key for a caller who waits until `deadline`.
    pub(super) async fn read_key(
        &self,
        operation: StoreOperation,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<Record>, UnknownReason> {
        self.call_store(operation, deadline, || self.platform.store().get(key)).await
    }

    /// Makes a call for a caller who waits until `deadline`. The call must be one that may be
    /// repeated.
    pub(super) async fn call_store<T, F>(
        &self,
        operation: StoreOperation,
        deadline: Instant,
        call: impl FnMut() -> F,
    ) -> Result<T, UnknownReason>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        if let Err(loss) = self.availability.wait_for_checks(deadline).await {
            return Err(UnknownReason::StoreUnavailable(loss));
        }
        let started = Instant::now();
        if started >= deadline {
            return Err(UnknownReason::DeadlineTooShort);
        }
        let response = tokio::select! {
            response = timeout_at(deadline, call_hedged(call, deadline)) => response,
            loss = self.availability.watch_call(operation) => {
                return Err(UnknownReason::StoreUnavailable(loss));
            }
        };
        let result = match response {
            Ok(result) => self.availability.record_result(operation, result),
            Err(_) => {
                let no_response =
                    Err(StoreError::OutcomeUnknown("no response before the deadline".into()));
                // That a response takes longer than a caller with little time waits says nothing
                // about the store.
                match started.elapsed() >= EVIDENCE_WAIT_MIN {
                    true => self.availability.record_result(operation, no_response),
                    false => no_response,
                }
            }
        };
        result.map_err(UnknownReason::StoreFailed)
    }
}

/// Whether a call that failed for this reason may succeed before the deadline.
pub(super) fn may_retry(reason: &UnknownReason, deadline: Instant) -> bool {
    let is_transient =
        !matches!(reason, UnknownReason::StoreUnavailable(_) | UnknownReason::DeadlineTooShort);
    is_transient && Instant::now() + RETRY_DELAY < deadline
}

/// Makes a call, and once more on another connection if there is no response in time. Returns the
/// first response.
///
/// The first attempt goes on beside the second one, so that a slow store has time to respond.
pub(super) async fn call_hedged<T, F>(
    mut call: impl FnMut() -> F,
    deadline: Instant,
) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let now = Instant::now();
    let left = deadline.saturating_duration_since(now);
    let second_at = now + HEDGE_DELAY_MAX.min(left / HEDGE_DELAY_DIVISOR);
    let first = call();
    pin!(first);
    if let Ok(result) = timeout_at(second_at, &mut first).await {
        return result;
    }
    let second = call();
    pin!(second);
    tokio::select! {
        result = &mut first => match result {
            Ok(response) => Ok(response),
            Err(_) => second.await,
        },
        result = &mut second => match result {
            Ok(response) => Ok(response),
            Err(_) => first.await,
        },
    }
}
