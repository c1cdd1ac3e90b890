//! How long this entry instance may have missed a change of the configuration.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cassiafold_config::{ActiveConfig, ZoneId};
use cassiafold_membership::{Roster, StoreContact};
use tokio::time::Instant;

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time since this entry instance was surely up to date. Clones share it.
///
/// It is up to date while it, or an entry instance that it hears, reaches the key-value service;
/// and also while it hears entry instances of every zone, as then nobody can have changed the
/// configuration.
#[derive(Debug, Clone)]
pub struct Isolation {
    start: Instant,
    last_contact_ms: Arc<AtomicU64>,
    keyed_requests_max: Duration,
}

impl Isolation {
    /// Keyed work is forbidden after `keyed_requests_max` without touch.
    pub fn new(keyed_requests_max: Duration) -> Self {
        Self { start: Instant::now(), last_contact_ms: Arc::default(), keyed_requests_max }
    }

    /// Time since this entry instance was surely up to date.
    pub fn time_since_contact(&self) -> Duration {
        let last = Duration::from_millis(self.last_contact_ms.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(last)
    }

    /// Whether keys may have been withdrawn too long ago for keyed work to start.
    pub fn rejects_keyed_requests(&self) -> bool {
        self.time_since_contact() > self.keyed_requests_max
    }

    /// Notes touch.
    fn record_contact(&self) {
        let now_ms = self.start.elapsed().as_millis() as u64;
        self.last_contact_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Looks at an interval until dropped.
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
