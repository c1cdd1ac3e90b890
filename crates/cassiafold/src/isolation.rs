//! Tracks how long this entry instance may have missed configuration changes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cassiafold_config::{ActiveConfig, ZoneId};
use cassiafold_membership::{Roster, StoreContact};
use tokio::time::Instant;

/// Interval at which contact is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time since the configuration of this entry instance was known to be current. Clones share it.
///
/// The configuration is current while this instance, or a peer from which it receives reports,
/// reaches the key-value service. It is also current while reports arrive from every zone, because
/// then no entry instance can have changed it.
#[derive(Debug, Clone)]
pub struct Isolation {
    start: Instant,
    last_contact_ms: Arc<AtomicU64>,
    keyed_requests_max: Duration,
}

impl Isolation {
    /// Creates a tracker that rejects requests with a key after `keyed_requests_max` without
    /// contact.
    pub fn new(keyed_requests_max: Duration) -> Self {
        Self { start: Instant::now(), last_contact_ms: Arc::default(), keyed_requests_max }
    }

    /// Returns the time since the configuration was known to be current.
    pub fn time_since_contact(&self) -> Duration {
        let last = Duration::from_millis(self.last_contact_ms.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(last)
    }

    /// Returns whether requests with a key must be rejected, because a withdrawal of the key may
    /// have been missed for longer than the bound.
    pub fn rejects_keyed_requests(&self) -> bool {
        self.time_since_contact() > self.keyed_requests_max
    }

    fn record_contact(&self) {
        let now_ms = self.start.elapsed().as_millis() as u64;
        self.last_contact_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Checks contact at an interval. Never returns.
    pub async fn run_updates(self, contact: StoreContact, roster: Roster, config: ActiveConfig) {
        loop {
            if contact.is_reachable() || has_peer_contact(&roster, &config) {
                self.record_contact();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn has_peer_contact(roster: &Roster, config: &ActiveConfig) -> bool {
    let others = roster.usages();
    if others.iter().any(|(id, usage)| *id != roster.me().id && usage.store_reachable) {
        return true;
    }
    let live_zones: BTreeSet<ZoneId> =
        roster.live(None).into_iter().map(|entry| entry.zone).collect();
    let Some(config) = config.load() else { return false };
    config.zones.keys().all(|zone| live_zones.contains(zone))
}

#[cfg(test)]
mod tests;
