//! Detects holders that have not written the ledger for so long that others may reclaim their
//! slices.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::ledger::{Holder, HolderId, Ledger};

/// Allowance for different clock rates, added to the expiry time, as a divisor of it.
const CLOCK_RATE_DIVISOR: u32 = 100;
/// Allowance for the time between a permit and the first byte sent, added to the expiry time.
const START_MARGIN: Duration = Duration::from_secs(5);

/// Last observed state of a holder in the ledger, and since when on the local monotonic clock.
#[derive(Debug, Clone, Copy)]
struct Observation {
    writes: u64,
    retired: bool,
    since: Instant,
}

/// Last observed state of each holder in the ledger.
#[derive(Debug)]
pub struct HolderObservations {
    by_holder: HashMap<HolderId, Observation>,
    pause_max: Duration,
}

impl HolderObservations {
    /// Creates an empty table. `pause_max` is the pause after which a holder needs a confirmation
    /// before it uses its slices.
    pub fn new(pause_max: Duration) -> Self {
        Self { by_holder: HashMap::new(), pause_max }
    }

    /// Records a state of the ledger, which must not be older than the last one.
    pub fn observe(&mut self, ledger: &Ledger) {
        let now = Instant::now();
        self.by_holder.retain(|id, _| ledger.position(id).is_some());
        for holder in &ledger.holders {
            let (writes, retired) = (holder.writes, holder.retired);
            let latest = Observation { writes, retired, since: now };
            let known = self.by_holder.entry(holder.id.clone()).or_insert(latest);
            if known.writes != writes || known.retired != retired {
                *known = latest;
            }
        }
    }

    /// Returns the positions of the holders other than `me` whose slices have expired, in
    /// ascending order.
    pub fn expired(&self, ledger: &Ledger, me: &HolderId, deadline_max: Duration) -> Vec<usize> {
        let holders = ledger.holders.iter().enumerate().filter(|(_, holder)| holder.id != *me);
        let expired = holders.filter(|(_, holder)| self.has_expired(holder, deadline_max));
        expired.map(|(index, _)| index).collect()
    }

    fn has_expired(&self, holder: &Holder, deadline_max: Duration) -> bool {
        let Some(observation) = self.by_holder.get(&holder.id) else { return false };
        observation.since.elapsed() >= self.expiry_time(holder, deadline_max)
    }

    /// Returns the time without a write after which no work of the holder can still be running.
    fn expiry_time(&self, holder: &Holder, deadline_max: Duration) -> Duration {
        let use_max = if holder.retired { self.pause_max } else { holder.slice_validity };
        let expiry_time = use_max + holder.deadline_max.max(deadline_max);
        expiry_time + expiry_time / CLOCK_RATE_DIVISOR + START_MARGIN
    }
}
