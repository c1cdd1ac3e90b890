//! Which entry instances have a version in force.

use std::time::Duration;

use cassiafold_config::Version;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::source::{Status, StatusSource};
use crate::wire::Unconfirmed;

/// How often the state is read while a version spreads.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for the state of the entry instances.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Entry instances that are not known to have `version` in force.
pub fn unconfirmed(status: &Status, version: Version) -> Vec<Unconfirmed> {
    let behind = status.entries.iter().filter(|entry| entry.version < version);
    behind.map(Unconfirmed::from).collect()
}

/// Highest version that any entry instance is known to have in force.
pub async fn known_version(source: &impl StatusSource) -> Version {
    let status = timeout(STATUS_TIMEOUT, source.status()).await.unwrap_or_default();
    highest_version(&status)
}

/// Highest version that any entry instance has in force according to `status`.
pub fn highest_version(status: &Status) -> Version {
    status.entries.iter().map(|entry| entry.version).max().unwrap_or(0)
}

/// Waits until all entry instances have `version` in force, `limit` at most, and returns those
/// that have not.
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
