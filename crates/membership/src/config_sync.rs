//! Receives the operators' configuration from the key-value service and from peers and puts it in
//! force.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cassiafold_config::active::Offer;
use cassiafold_config::raw::{CURRENT_KEY, RawConfig};
use cassiafold_config::{ActiveConfig, Config, Faults, Version};
use cassiafold_event::emit;
use cassiafold_platform::backoff::jitter;
use cassiafold_platform::{Backoff, Record, Revision, Store, StoreError, Watch};
use tokio::time::{Instant, timeout_at};

use crate::contact::StoreContact;
use crate::event::MembershipEvent;
use crate::roster::Roster;

/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_membership::spread";
/// Longest time between two reads by an entry instance that reads the configuration often.
const READER_REREAD_INTERVAL: Duration = Duration::from_secs(4);
/// Longest time between two reads by any other entry instance.
const OTHER_REREAD_INTERVAL: Duration = Duration::from_secs(60);
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Reason why a configuration was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigSyncError {
    /// The document is not valid JSON of the expected structure.
    #[error("configuration is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The configuration is invalid.
    #[error("configuration has faults: {0}")]
    Faults(#[from] Faults),
}

/// Counters of offered configurations.
#[derive(Debug, Default)]
struct Counts {
    adopted: AtomicU64,
    stale: AtomicU64,
    malformed: AtomicU64,
}

/// Snapshot of the counters of offered configurations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigSyncCounts {
    /// Configurations put in force.
    pub adopted: u64,
    /// Configurations rejected because their version is lower than the one in force.
    pub stale: u64,
    /// Configurations that are malformed or invalid.
    pub malformed: u64,
}

/// Puts received configurations in force in this process. Clones share the counters.
#[derive(Debug, Clone)]
pub struct ConfigSync {
    active: ActiveConfig,
    counts: Arc<Counts>,
}

impl ConfigSync {
    /// Creates a `ConfigSync` that offers configurations to `active`.
    pub fn new(active: ActiveConfig) -> Self {
        Self { active, counts: Arc::default() }
    }

    /// Returns the version in force; zero before the first configuration.
    pub fn version(&self) -> Version {
        self.active.version()
    }

    /// Returns the present counts.
    pub fn counts(&self) -> ConfigSyncCounts {
        ConfigSyncCounts {
            adopted: self.counts.adopted.load(Ordering::Relaxed),
            stale: self.counts.stale.load(Ordering::Relaxed),
            malformed: self.counts.malformed.load(Ordering::Relaxed),
        }
    }

    /// Offers a document received from `source`. A version lower than the one in force is rejected,
    /// counted and logged.
    pub fn offer(&self, document: &[u8], source: &str) -> Result<Offer, ConfigSyncError> {
        let config = match parse(document) {
            Ok(config) => config,
            Err(error) => {
                self.counts.malformed.fetch_add(1, Ordering::Relaxed);
                emit!(
                    target: LOG_TARGET,
                    MembershipEvent::ConfigMalformed,
                    source = source,
                    error = error
                );
                return Err(error);
            }
        };
        let version = config.version;
        let offer = self.active.offer(Arc::new(config));
        match offer {
            Offer::Adopted => {
                self.counts.adopted.fetch_add(1, Ordering::Relaxed);
                emit!(
                    target: LOG_TARGET,
                    MembershipEvent::ConfigAdopted,
                    version = version,
                    source = source
                );
            }
            Offer::Known => {}
            Offer::Stale { in_force } => {
                self.counts.stale.fetch_add(1, Ordering::Relaxed);
                emit!(
                    target: LOG_TARGET,
                    MembershipEvent::ConfigStale,
                    version = version,
                    in_force = in_force,
                    source = source
                );
            }
        }
        Ok(offer)
    }

    /// Returns the configuration in force as JSON if its version is higher than `after`.
    pub fn document(&self, after: Version) -> Option<(Version, Vec<u8>)> {
        let config = self.active.load().filter(|config| config.version > after)?;
        let document = serde_json::to_vec(&RawConfig::from(&*config)).ok()?;
        Some((config.version, document))
    }
}

fn parse(document: &[u8]) -> Result<Config, ConfigSyncError> {
    let raw: RawConfig = serde_json::from_slice(document)?;
    Ok(Config::try_from(raw)?)
}

const STORE_SOURCE: &str = "key-value service";

/// Follows the configuration in the key-value service with a watch. Also rereads it at intervals,
/// in case the watch no longer delivers changes. Runs until its task is aborted.
pub async fn follow<S: Store>(
    store: S,
    config_sync: ConfigSync,
    roster: Roster,
    contact: StoreContact,
) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        if let Ok(record) = store.get(CURRENT_KEY).await {
            contact.record_response();
            let revision = offer_record(&config_sync, record);
            if watch(&store, &config_sync, &roster, &contact, revision).await.is_ok() {
                backoff.reset();
                continue;
            }
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

fn offer_record(config_sync: &ConfigSync, record: Option<Record>) -> Revision {
    let Some(record) = record else { return 0 };
    let _ = config_sync.offer(&record.value, STORE_SOURCE);
    record.revision
}

/// Watches until it is time for the next read.
async fn watch<S: Store>(
    store: &S,
    config_sync: &ConfigSync,
    roster: &Roster,
    contact: &StoreContact,
    after: Revision,
) -> Result<(), StoreError> {
    let until = Instant::now() + jitter(reread_interval(roster));
    let mut watch = store.watch(CURRENT_KEY, after).await?;
    while let Ok(changes) = timeout_at(until, watch.next()).await {
        for change in changes? {
            contact.record_response();
            offer_record(config_sync, change.record);
        }
    }
    watch.close();
    Ok(())
}

/// Returns the longest time until the next read. Only a few entry instances read often; the others
/// receive new configurations from them.
fn reread_interval(roster: &Roster) -> Duration {
    if roster.is_config_reader() { READER_REREAD_INTERVAL } else { OTHER_REREAD_INTERVAL }
}

#[cfg(test)]
mod tests;
