//! Tracks when the key-value service last responded.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Time without a response after which the key-value service counts as unreachable.
const REACHABLE_MAX: Duration = Duration::from_secs(15);

/// Time of the last response of the key-value service. Clones share it.
#[derive(Debug, Clone)]
pub struct StoreContact {
    start: Instant,
    last_ms: Arc<AtomicU64>,
}

impl Default for StoreContact {
    fn default() -> Self {
        Self { start: Instant::now(), last_ms: Arc::new(AtomicU64::new(u64::MAX)) }
    }
}

impl StoreContact {
    /// Records a response.
    pub fn record_response(&self) {
        self.last_ms.store(self.start.elapsed().as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the time since the last response; `None` before the first one.
    pub fn age(&self) -> Option<Duration> {
        let last_ms = self.last_ms.load(Ordering::Relaxed);
        let last = (last_ms != u64::MAX).then(|| Duration::from_millis(last_ms))?;
        Some(self.start.elapsed().saturating_sub(last))
    }

    /// Returns whether the service has responded recently.
    pub fn is_reachable(&self) -> bool {
        self.age().is_some_and(|age| age < REACHABLE_MAX)
    }
}
