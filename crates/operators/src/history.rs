//! History of the configuration in the store.
//!
//! The change of each version is kept when that version is replaced; the change of the current
//! version stands in the current document.

use std::sync::Arc;

use cassiafold_config::Config;
use cassiafold_config::id::Version;
use cassiafold_config::raw::{HISTORY_PREFIX, RawChange, history_key};
use cassiafold_event::emit;
use cassiafold_platform::{Compare, Operation, Record, Store, StoreError, Write};
use serde::{Deserialize, Serialize};

use crate::event::OperatorsEvent;

/// Versions whose change is kept.
pub const VERSIONS_KEPT: Version = 200;

/// Old versions are removed each time this many new ones were made.
const TRIM_INTERVAL: Version = 16;

/// The change that made one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Version that the change made.
    pub version: Version,
    /// Write that stored it.
    pub write_id: String,
    /// Who made it and how; unknown for a version that was not made by a patch.
    pub change: Option<RawChange>,
}

impl From<&Config> for HistoryRecord {
    fn from(config: &Config) -> Self {
        Self {
            version: config.version,
            write_id: config.write_id.clone(),
            change: config.change.clone(),
        }
    }
}

/// Keeps the changes that made `configs`, unless they are kept already.
pub async fn save<S: Store>(
    store: &S,
    configs: impl Iterator<Item = &Arc<Config>>,
) -> Result<(), StoreError> {
    let mut kept = None;
    for config in configs.filter(|config| config.version > 0) {
        if kept.replace(config.version) == Some(config.version) {
            continue;
        }
        let record = HistoryRecord::from(&**config);
        let value = serde_json::to_vec(&record).map_err(malformed)?;
        store.write(Write::put(history_key(config.version), Compare::Absent, value)).await?;
    }
    Ok(())
}

/// The change that made a version that has been replaced.
pub async fn get<S: Store>(
    store: &S,
    version: Version,
) -> Result<Option<HistoryRecord>, StoreError> {
    let record = store.get(&history_key(version)).await?;
    record.map(|record| decode(&record)).transpose()
}

/// The changes that made the last `limit` replaced versions, newest first.
pub async fn list<S: Store>(store: &S, limit: usize) -> Result<Vec<HistoryRecord>, StoreError> {
    let snapshot = store.list(HISTORY_PREFIX).await?;
    snapshot.records.iter().rev().take(limit).map(decode).collect()
}

/// Removes old history from time to time. A failure leaves it to the next time.
pub async fn trim<S: Store>(store: &S, version: Version) {
    if !version.is_multiple_of(TRIM_INTERVAL) {
        return;
    }
    if let Err(error) = remove_before(store, version.saturating_sub(VERSIONS_KEPT)).await {
        emit!(OperatorsEvent::HistoryNotTrimmed, error = error);
    }
}

async fn remove_before<S: Store>(store: &S, version: Version) -> Result<(), StoreError> {
    let first_kept = history_key(version);
    let snapshot = store.list(HISTORY_PREFIX).await?;
    for record in snapshot.records.into_iter().filter(|record| *record.key < *first_kept) {
        let compare = Compare::Revision(record.revision);
        store.write(Write { key: record.key, compare, operation: Operation::Delete }).await?;
    }
    Ok(())
}

fn decode(record: &Record) -> Result<HistoryRecord, StoreError> {
    serde_json::from_slice(&record.value).map_err(malformed)
}

fn malformed(error: serde_json::Error) -> StoreError {
    StoreError::Malformed(error.to_string().into())
}
