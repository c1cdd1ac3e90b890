//! History of the configuration in the store.
//!
//! The change that made a version is saved when that version is replaced; the change that made the
//! current version is part of the current document.

use std::sync::Arc;

use cassiafold_config::Config;
use cassiafold_config::id::Version;
use cassiafold_config::raw::{HISTORY_PREFIX, RawChange, history_key};
use cassiafold_event::emit;
use cassiafold_platform::{Compare, Operation, Record, Store, StoreError, Write};
use serde::{Deserialize, Serialize};

use crate::event::OperatorsEvent;

/// Number of replaced versions whose change is kept.
pub const VERSIONS_KEPT: Version = 200;

/// Number of new versions after which old history is removed again.
const TRIM_INTERVAL: Version = 16;

/// The change that made one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Version that the change made.
    pub version: Version,
    /// Id of the write that stored it.
    pub write_id: String,
    /// Operator, time and patch; `None` for a version that was not made by a patch.
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

/// Saves the changes that made `configs`, except those that are already saved.
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

/// Returns the change that made a replaced version.
pub async fn get<S: Store>(
    store: &S,
    version: Version,
) -> Result<Option<HistoryRecord>, StoreError> {
    let record = store.get(&history_key(version)).await?;
    record.map(|record| decode(&record)).transpose()
}

/// Returns the changes that made the latest `limit` replaced versions, newest first.
pub async fn list<S: Store>(store: &S, limit: usize) -> Result<Vec<HistoryRecord>, StoreError> {
    let snapshot = store.list(HISTORY_PREFIX).await?;
    snapshot.records.iter().rev().take(limit).map(decode).collect()
}

/// Removes old history once every `TRIM_INTERVAL` versions. After a failure, the next run
/// removes what is left.
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
