//! Number of a queue's waiting jobs, as counted by the owner.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_platform::since_boot;
use futures_util::{FutureExt, TryFutureExt};
use tokio::time::Instant;
use tokio::try_join;

use super::call_log::OpenCall;
use super::reason::{StoreOperation, UnknownReason, unreadable};
use super::{Call, CallKind, CountResponse, JobApi};
use crate::cluster::QueueId;
use crate::platform_clients::PlatformClients;
use crate::record::{WAITING_KEY, WaitingRecord};

/// How long a count is cached.
const WAITING_AGE_MAX: Duration = Duration::from_millis(400);
/// Age from which a count is not reported. The owner counts every second; the clocks of instances
/// differ.
const COUNT_AGE_MAX: Duration = Duration::from_millis(4_000);

impl<S: PlatformClients> JobApi<S> {
    /// Returns the number of a queue's waiting jobs.
    pub async fn waiting_jobs(&self, call: &Call) -> CountResponse {
        let open_call = OpenCall::new(self, CallKind::Count, call);
        let response = self.waiting_jobs_once(call).await;
        open_call.close("count", response.no_result());
        response
    }

    async fn waiting_jobs_once(&self, call: &Call) -> CountResponse {
        let auth = self.authorize_fresh(call).map_err(CountResponse::Denied);
        let waiting = self.read_waiting_record(call.respond_by()).map(Ok);
        let (auth, waiting) = match try_join!(auth, waiting) {
            Ok(responses) => responses,
            Err(denied) => return denied,
        };
        match waiting {
            Ok(waiting) if is_outdated(&waiting, unix_now()) => {
                CountResponse::Unknown(UnknownReason::CountOutdated)
            }
            Ok(waiting) => CountResponse::Waiting(count_of(&waiting, &auth.queue.id)),
            Err(reason) => CountResponse::Unknown(reason),
        }
    }

    async fn read_waiting_record(
        &self,
        deadline: Instant,
    ) -> Result<Arc<WaitingRecord>, UnknownReason> {
        let now = since_boot();
        let cached = self.cached_waiting.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some((at, record)) = cached
            && now.saturating_sub(at) < WAITING_AGE_MAX
        {
            return Ok(record);
        }
        let record = match self.read_key(StoreOperation::ReadCount, WAITING_KEY, deadline).await? {
            None => WaitingRecord::default(),
            Some(record) => serde_json::from_slice(&record.value)
                .map_err(|error| UnknownReason::RecordUnreadable(unreadable(&record, &error)))?,
        };
        let record = Arc::new(record);
        let mut cached = self.cached_waiting.lock().unwrap_or_else(PoisonError::into_inner);
        *cached = Some((now, record.clone()));
        Ok(record)
    }
}

/// Whether the count is too old to be reported.
fn is_outdated(waiting: &WaitingRecord, unix: Duration) -> bool {
    unix > Duration::from_millis(waiting.counted_unix_ms) + COUNT_AGE_MAX
}

/// The current Unix time.
fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn count_of(waiting: &WaitingRecord, queue: &QueueId) -> u32 {
    waiting.jobs.get(queue).copied().unwrap_or_default()
}
