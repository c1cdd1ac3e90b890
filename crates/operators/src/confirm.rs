//! Confirmation that entry instances have a version in force.

use std::time::Duration;

use cassiafold_config::Version;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::source::{Status, StatusSource};
use crate::wire::Unconfirmed;

/// Interval between reads of the status while entry instances receive a version.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for the status of the entry instances.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the entry instances that are not known to have `version` in force.
pub fn unconfirmed(status: &Status, version: Version) -> Vec<Unconfirmed> {
    let behind = status.entries.iter().filter(|entry| entry.version < version);
    behind.map(Unconfirmed::from).collect()
}

/// Returns the highest version that any entry instance is known to have in force, or 0 when the
/// status is not available in time.
pub async fn known_version(source: &impl StatusSource) -> Version {
    let status = timeout(STATUS_TIMEOUT, source.status()).await.unwrap_or_default();
    highest_version(&status)
}

/// Returns the highest version that any entry instance has in force according to `status`.
pub fn highest_version(status: &Status) -> Version {
    status.entries.iter().map(|entry| entry.version).max().unwrap_or(0)
}

/// Waits at most `limit` until all entry instances have `version` in force, and returns those that
/// are not known to have it.
pub async fn wait(
    source: &impl StatusSource,
    version: Version,
    limit: Duration,
) -> Vec<Unconfirmed> {
    let deadline = Instant::now() + limit;
    let mut behind = Vec::new();
    while let Ok(status) = timeout_at(deadline, source.status()).await {
        behind = unconfirmed(&status, version);
        if behind.is_empty() || Instant::now() + CONFIRM_INTERVAL >= deadline {
            break;
        }
        sleep(CONFIRM_INTERVAL).await;
    }
    behind
}
