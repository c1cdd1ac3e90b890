//! Limit of the time for which an owner reads the state, so that an instance with a better
//! connection to the store can take its place.
//!
//! The limit doubles with each reading in a row that reached it, at whichever instance. An instance
//! that is alone, or one of many with slow connections, finishes its reading in the end. The number
//! of these readings lies in the store, where the next owner finds it.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{
    Compare, Store, StoreError, Transaction, TransactionOutcome, TransactionalStore,
};
use tokio::sync::OnceCell;
use tokio::time::{Instant, sleep_until, timeout};

use super::load::read_json;
use crate::clients::FencingToken;
use crate::event::JobsEvent;
use crate::platform_clients::PlatformClients;
use crate::record::{OWNER_KEY, UNFINISHED_LOADS_KEY, UnfinishedLoads};

/// Limit after a reading that was finished.
const SHORTEST_LIMIT: Duration = Duration::from_secs(6);
/// Number of doublings after which the limit stays as it is.
const DOUBLINGS_MAX: u32 = 16;

/// Limit of one owner's reading.
pub(super) struct LoadLimit<'a, S: PlatformClients> {
    platform: &'a S,
    token: FencingToken,
    /// Unfinished readings of this instance that the store does not count.
    uncounted: UnfinishedLoads,
    /// Unfinished readings in a row that the store counts, once they have been read.
    counted: OnceCell<UnfinishedLoads>,
}

impl<'a, S: PlatformClients> LoadLimit<'a, S> {
    pub(super) fn new(platform: &'a S, token: FencingToken, uncounted: UnfinishedLoads) -> Self {
        Self { platform, token, uncounted, counted: OnceCell::new() }
    }

    /// Reads how many unfinished readings in a row the store counts.
    pub(super) async fn counted(&self) -> Result<UnfinishedLoads, StoreError> {
        let read = async || {
            let record = self.platform.store().get(UNFINISHED_LOADS_KEY).await?;
            Ok(record.as_ref().and_then(read_json).unwrap_or_default())
        };
        self.counted.get_or_try_init(read).await.copied()
    }

    /// Waits until the limit is reached, and returns it.
    pub(super) async fn reached(&self) -> Duration {
        let begun = Instant::now();
        loop {
            let limit = self.limit();
            sleep_until(begun + limit).await;
            // The number in the store may have become known.
            if self.limit() <= limit {
                return limit;
            }
        }
    }

    fn limit(&self) -> Duration {
        let unfinished = self.counted.get().unwrap_or(&0).saturating_add(self.uncounted);
        SHORTEST_LIMIT * (1 << unfinished.min(DOUBLINGS_MAX))
    }

    /// Counts this reading as unfinished, if the store responds within `time_max`; returns the number
    /// that the store does not count.
    pub(super) async fn count_unfinished(&self, time_max: Duration) -> UnfinishedLoads {
        let uncounted = self.uncounted.saturating_add(1);
        let Some(counted) = self.counted.get() else { return uncounted };
        let write = timeout(time_max, self.write(counted.saturating_add(uncounted))).await;
        match write.unwrap_or_else(|_| Err(StoreError::no_response())) {
            Ok(TransactionOutcome::Written(_)) => 0,
            // The ownership is over.
            Ok(TransactionOutcome::Conflict(_)) => uncounted,
            Err(error) => {
                emit!(JobsEvent::StoreLost, user = "count of unfinished loads", error = error);
                uncounted
            }
        }
    }

    async fn write(&self, number: UnfinishedLoads) -> Result<TransactionOutcome, StoreError> {
        let transaction = Transaction::default()
            .expect(OWNER_KEY, Compare::Revision(self.token))
            .put(UNFINISHED_LOADS_KEY, number.to_string(), None);
        self.platform.store().commit(transaction).await
    }
}

/// Adds to a transaction that a reading was finished, if unfinished ones are counted.
pub(super) fn reset(transaction: Transaction, counted: UnfinishedLoads) -> Transaction {
    match counted {
        0 => transaction,
        _ => transaction.put(UNFINISHED_LOADS_KEY, UnfinishedLoads::MIN.to_string(), None),
    }
}
