//! Calls to the store that a caller waits for, bounded by the caller's deadline.

use std::time::Duration;

use cassiafold_platform::{Hedge, Record, Store, StoreError};
use tokio::time::{Instant, sleep, timeout_at};

use super::reason::{StoreOperation, UnknownReason};
use super::{JobApi, RETRY_DELAY};
use crate::platform_clients::PlatformClients;

/// Most attempts of a call. The client of the store repeats reads as well, but no transaction.
const ATTEMPTS_MAX: u32 = 4;
/// Factor by which the delay of the next attempt grows.
const HEDGE_DELAY_GROWTH: u32 = 2;
/// Longest delay of the second attempt after the first one while the store is fast.
const FAST_HEDGE_DELAY_MAX: Duration = Duration::from_millis(200);
/// Divisor of the time to the deadline that gives a shorter delay for callers with little time.
const HEDGE_DELAY_DIVISOR: u32 = 4;

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

    /// Makes a call for a caller who waits until `deadline`, unless the store counts as unavailable.
    /// The call must be one that may be repeated. It waits for its turn if there are many.
    pub(super) async fn call_store<T, F>(
        &self,
        operation: StoreOperation,
        deadline: Instant,
        call: impl FnMut() -> F,
    ) -> Result<T, UnknownReason>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        if let Some(loss) = self.availability.loss() {
            return Err(UnknownReason::StoreUnavailable(loss));
        }
        let permit = timeout_at(deadline, self.store_calls.acquire()).await;
        // The semaphore is never closed.
        let _permit = permit.map_err(|_| UnknownReason::DeadlineTooShort)?;
        let sent = Instant::now();
        if sent >= deadline {
            return Err(UnknownReason::DeadlineTooShort);
        }
        let expected = self.availability.expected_time_max();
        let response = tokio::select! {
            response = timeout_at(deadline, call_hedged(call, deadline, expected)) => response,
            loss = self.availability.watch_call(operation) => {
                return Err(UnknownReason::StoreUnavailable(loss));
            }
        };
        let result = match response {
            Ok(result) => self.availability.record_result(operation, sent, result),
            Err(_) => Err(self.availability.record_timeout(operation, sent)),
        };
        result.map_err(UnknownReason::StoreFailed)
    }
}

impl<S: PlatformClients> JobApi<S> {
    /// Waits before a failed call is made again: for the retry delay, and then until the store is no
    /// longer suspected, for a part of the time left.
    pub(super) async fn wait_to_retry(&self, deadline: Instant) {
        sleep(RETRY_DELAY).await;
        // Whether the store is available is checked again by the call.
        let _ = self.availability.wait_for_checks(deadline).await;
    }
}

/// Whether a call that failed for this reason may succeed before the deadline.
pub(super) fn may_retry(reason: &UnknownReason, deadline: Instant) -> bool {
    let is_transient =
        !matches!(reason, UnknownReason::StoreUnavailable(_) | UnknownReason::DeadlineTooShort);
    is_transient && Instant::now() + RETRY_DELAY < deadline
}

/// Makes a call, and again on other connections while there is no response within the time that is
/// expected. Returns the first response.
async fn call_hedged<T, F>(
    call: impl FnMut() -> F,
    deadline: Instant,
    expected: Duration,
) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let left = deadline.saturating_duration_since(Instant::now());
    let interval = FAST_HEDGE_DELAY_MAX.min(left / HEDGE_DELAY_DIVISOR).max(expected);
    Hedge { interval, growth: HEDGE_DELAY_GROWTH, attempts_max: ATTEMPTS_MAX }.run(call).await
}
