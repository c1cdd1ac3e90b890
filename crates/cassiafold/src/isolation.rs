//! How long this entry instance may have missed a change of the configuration.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cassiafold_config::{ActiveConfig, ZoneId};
use cassiafold_membership::{Roster, StoreContact};
use tokio::time::Instant;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Time since this entry instance was surely up to date. Clones share it.
///
/// It is up to date while it, or an entry instance that it hears, reaches the key-value service;
/// and also while it hears entry instances of every zone, as then nobody can have changed the
/// configuration.
#[derive(Debug, Clone)]
pub struct Isolation {
    start: Instant,
    last_in_touch_ms: Arc<AtomicU64>,
    keys_max: Duration,
}

impl Isolation {
    /// Keyed work is forbidden after `keys_max` without touch.
    pub fn new(keys_max: Duration) -> Self {
        Self { start: Instant::now(), last_in_touch_ms: Arc::default(), keys_max }
    }

    /// Time since this entry instance was surely up to date.
    pub fn age(&self) -> Duration {
        let last = Duration::from_millis(self.last_in_touch_ms.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(last)
    }

    /// Whether keys may have been withdrawn too long ago for keyed work to start.
    pub fn forbids_keys(&self) -> bool {
        self.age() > self.keys_max
    }

    /// Notes touch.
    fn touch(&self) {
        let now_ms = self.start.elapsed().as_millis() as u64;
        self.last_in_touch_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Looks at an interval until dropped.
    pub async fn follow(self, contact: StoreContact, roster: Roster, config: ActiveConfig) {
        loop {
            if contact.is_reachable() || is_in_touch(&roster, &config) {
                self.touch();
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}

fn is_in_touch(roster: &Roster, config: &ActiveConfig) -> bool {
    let others = roster.usages();
    if others.iter().any(|(id, usage)| *id != roster.me().id && usage.store_reachable) {
        return true;
    }
    let heard: BTreeSet<ZoneId> = roster.live(None).into_iter().map(|entry| entry.zone).collect();
    let Some(config) = config.load() else { return false };
    config.zones.keys().all(|zone| heard.contains(zone))
}

#[cfg(test)]
mod tests;
