//! Keys and values of the stand-in store, with a bounded history of changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use cassiafold_platform::{Change, Compare, LeaseId, Operation, Record, Revision, Snapshot};

/// Default maximum number of changes in the history.
const HISTORY_CHANGES_MAX: usize = 10_000;
/// Maximum total size of the values in the history, in bytes.
const HISTORY_BYTES_MAX: usize = 64 * 1024 * 1024;

type Values = BTreeMap<Arc<str>, StoredValue>;

#[derive(Debug, Clone)]
struct StoredValue {
    value: Bytes,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct HistoryEntry {
    change: Change,
    lease: Option<LeaseId>,
}

impl HistoryEntry {
    fn size(&self) -> usize {
        self.change.record.as_ref().map_or(0, |record| record.value.len())
    }
}

/// Current values, values at the start of the history (`base`), and the changes in between.
#[derive(Debug)]
pub(crate) struct Keyspace {
    revision: Revision,
    values: Values,
    base: Values,
    base_revision: Revision,
    history: VecDeque<HistoryEntry>,
    history_bytes: usize,
    history_limit: usize,
}

impl Default for Keyspace {
    fn default() -> Self {
        Self {
            revision: 0,
            values: Values::new(),
            base: Values::new(),
            base_revision: 0,
            history: VecDeque::new(),
            history_bytes: 0,
            history_limit: HISTORY_CHANGES_MAX,
        }
    }
}

impl Keyspace {
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies `operation` and returns the resulting revision.
    pub(crate) fn apply(&mut self, key: &Arc<str>, operation: Operation) -> Revision {
        self.apply_all([(key.clone(), operation)])
    }

    /// Applies several operations at one revision and returns the resulting revision.
    pub(crate) fn apply_all(
        &mut self,
        operations: impl IntoIterator<Item = (Arc<str>, Operation)>,
    ) -> Revision {
        let next = self.revision + 1;
        for (key, operation) in operations {
            self.apply_at(&key, operation, next);
        }
        self.trim();
        self.revision
    }

    fn apply_at(&mut self, key: &Arc<str>, operation: Operation, revision: Revision) {
        let (value, lease) = match operation {
            Operation::Put { value, lease } => (Some(value), lease),
            Operation::Delete => (None, None),
        };
        if value.is_none() && !self.values.contains_key(key) {
            return;
        }
        self.revision = revision;
        let record = value.map(|value| Record { key: key.clone(), value, revision });
        let entry = HistoryEntry { change: Change { key: key.clone(), record, revision }, lease };
        apply_to(&mut self.values, &entry);
        self.history_bytes += entry.size();
        self.history.push_back(entry);
    }

    /// Moves the oldest changes into the base until the history is within its limits.
    fn trim(&mut self) {
        while self.history.len() > self.history_limit || self.history_bytes > HISTORY_BYTES_MAX {
            self.fold_oldest_into_base();
        }
    }

    fn fold_oldest_into_base(&mut self) {
        if let Some(entry) = self.history.pop_front() {
            self.history_bytes -= entry.size();
            self.base_revision = entry.change.revision;
            apply_to(&mut self.base, &entry);
        }
    }

    /// Sets the maximum number of changes in the history.
    pub(crate) fn limit_history(&mut self, changes: usize) {
        self.history_limit = changes;
        self.trim();
    }

    /// Removes all changes from the history.
    pub(crate) fn compact(&mut self) {
        while !self.history.is_empty() {
            self.fold_oldest_into_base();
        }
    }

    /// Restores the values of `revision`. Returns false if the history does not contain it.
    pub(crate) fn roll_back(&mut self, revision: Revision) -> bool {
        if revision < self.base_revision || revision > self.revision {
            return false;
        }
        self.values = self.values_at(revision);
        self.revision = revision;
        self.history.retain(|entry| entry.change.revision <= revision);
        self.history_bytes = self.history.iter().map(HistoryEntry::size).sum();
        true
    }

    fn values_at(&self, revision: Revision) -> Values {
        let mut values = self.base.clone();
        for entry in self.history.iter().take_while(|entry| entry.change.revision <= revision) {
            apply_to(&mut values, entry);
        }
        values
    }

    /// Returns one key at revision `at`, or at the current revision if `None`.
    pub(crate) fn get(&self, key: &str, at: Option<Revision>) -> Option<Record> {
        match at {
            Some(revision) if revision < self.revision => record(&self.values_at(revision), key),
            _ => record(&self.values, key),
        }
    }

    /// Returns the keys with `prefix` at revision `at`, or at the current revision if `None`.
    pub(crate) fn list(&self, prefix: &str, at: Option<Revision>) -> Snapshot {
        match at {
            Some(revision) if revision < self.revision => {
                let revision = revision.max(self.base_revision);
                Snapshot { revision, records: records(&self.values_at(revision), prefix) }
            }
            _ => Snapshot { revision: self.revision, records: records(&self.values, prefix) },
        }
    }

    /// Returns whether the condition of a write is met.
    pub(crate) fn meets(&self, key: &str, compare: Compare) -> bool {
        let revision = self.values.get(key).map(|stored| stored.revision);
        match compare {
            Compare::Absent => revision.is_none(),
            Compare::Revision(expected) => revision == Some(expected),
        }
    }

    /// Returns the changes of keys with `prefix` after a revision, or `None` if the history does
    /// not contain them all.
    pub(crate) fn changes(&self, prefix: &str, after: Revision) -> Option<Vec<Change>> {
        if after < self.base_revision || after > self.revision {
            return None;
        }
        let first = self.history.partition_point(|entry| entry.change.revision <= after);
        let unseen = self.history.range(first..).map(|entry| &entry.change);
        Some(unseen.filter(|change| change.key.starts_with(prefix)).cloned().collect())
    }

    /// Returns the keys bound to a lease for which `matches` returns true.
    pub(crate) fn keys_bound_to(&self, matches: impl Fn(LeaseId) -> bool) -> Vec<Arc<str>> {
        let bound = self.values.iter().filter(|(_, stored)| stored.lease.is_some_and(&matches));
        bound.map(|(key, _)| key.clone()).collect()
    }
}

fn apply_to(values: &mut Values, entry: &HistoryEntry) {
    let key = entry.change.key.clone();
    match &entry.change.record {
        Some(record) => {
            let (value, revision) = (record.value.clone(), record.revision);
            values.insert(key, StoredValue { value, revision, lease: entry.lease });
        }
        None => {
            values.remove(&key);
        }
    }
}

fn record(values: &Values, key: &str) -> Option<Record> {
    let (key, stored) = values.get_key_value(key)?;
    Some(Record { key: key.clone(), value: stored.value.clone(), revision: stored.revision })
}

fn records(values: &Values, prefix: &str) -> Vec<Record> {
    let from =
        values.range::<str, _>((std::ops::Bound::Included(prefix), std::ops::Bound::Unbounded));
    let below = from.take_while(|(key, _)| key.starts_with(prefix));
    below
        .map(|(key, stored)| Record {
            key: key.clone(),
            value: stored.value.clone(),
            revision: stored.revision,
        })
        .collect()
}
