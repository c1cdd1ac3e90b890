//! Watches the accepted jobs, the cancellations and the workers' entries in the store.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{Change, Moment, Record, Revision, Store, StoreError, Watch};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::Message;
use crate::cluster::WorkerEntry;
use crate::event::JobsEvent;
use crate::outage::OutageLog;
use crate::platform_clients::{Formats, PlatformClients};
use crate::record::{CANCEL_PREFIX, INBOX_PREFIX, JOB_PREFIX, JobRecord, parse_job_key};
use crate::spec::JobId;

/// Delay between two attempts to reach the store.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after changes of accepted jobs, so that the next ones are received together.
const INBOX_DELAY: Duration = Duration::from_millis(15);
/// Delay after changes of workers' entries.
const WORKERS_DELAY: Duration = Duration::from_millis(250);
/// How long workers are kept whose entries are missing after a store outage.
const MISSING_ENTRY_RETENTION: Duration = Duration::from_millis(2_300);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::owner::follow";

/// An update from the store.
pub(super) enum StoreUpdate {
    /// A job was accepted.
    Job { id: JobId, record: Box<JobRecord>, revision: Revision },
    /// A job was cancelled.
    Cancel(JobId),
    /// Workers' entries have changed.
    WorkerEntries(EntriesChange),
}

/// Key of an entry and what it names: no worker if it was removed or can't be read.
type KeyedEntry = (Arc<str>, Option<WorkerEntry>);

/// A change of the workers' entries.
pub(super) enum EntriesChange {
    /// All entries, listed after a store outage.
    Listed(Vec<KeyedEntry>),
    /// Entries that were written or removed.
    Changed(Vec<KeyedEntry>),
}

/// A prefix that is watched.
pub(super) trait WatchedPrefix: Send + 'static {
    /// Prefix of the keys.
    const PREFIX: &'static str;
    /// Delay after changes, so that the next ones are received together.
    const CHANGE_DELAY: Duration;
    /// Whether all records are listed after any failure, and not only when changes were missed.
    const LISTS_AFTER_FAILURE: bool;
    /// Whether the updates from a list say which records are missing, so that all parts of the list
    /// are needed at once.
    const NEEDS_WHOLE_LIST: bool;

    /// Updates from a list of all records, after changes were sent up to a revision.
    fn updates_from_list(&self, records: &[Record], sent_until: Revision) -> Vec<StoreUpdate>;

    /// Updates from changes.
    fn updates_from_changes(&self, changes: &[Change]) -> Vec<StoreUpdate>;
}

/// Accepted jobs and cancellations.
pub(super) struct InboxPrefix;

/// Entries of the workers.
pub(super) struct WorkersPrefix<S: PlatformClients> {
    pub(super) platform: S,
}

/// Sends the updates of a prefix after a revision, until the channel is closed.
pub(super) async fn watch_store<S: PlatformClients, F: WatchedPrefix>(
    platform: S,
    prefix: F,
    from: Revision,
    sender: mpsc::Sender<Message>,
) {
    let mut position = Position { sent_until: from, must_list: false };
    let mut outage = OutageLog::new(F::PREFIX);
    while !sender.is_closed() {
        let watching = watch_once(&platform, &prefix, &mut position, &sender, &mut outage).await;
        if let Err(error) = watching {
            position.must_list |= F::LISTS_AFTER_FAILURE || error == StoreError::Compacted;
            outage.record_failure(&error);
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Position in the changes of a prefix.
struct Position {
    /// Revision up to which all changes have been sent.
    sent_until: Revision,
    /// Whether the prefix must be listed before it is watched again.
    must_list: bool,
}

async fn watch_once<S: PlatformClients, F: WatchedPrefix>(
    platform: &S,
    prefix: &F,
    position: &mut Position,
    sender: &mpsc::Sender<Message>,
    outage: &mut OutageLog,
) -> Result<(), StoreError> {
    if position.must_list {
        let revision = list(platform, prefix, position.sent_until, sender).await?;
        *position = Position { sent_until: revision, must_list: false };
    }
    let mut changes = platform.store().watch(F::PREFIX, position.sent_until).await?;
    while !sender.is_closed() {
        let updates = changes.next().await?;
        outage.record_success();
        send(prefix.updates_from_changes(&updates), sender).await;
        let latest = updates.iter().map(|change| change.revision).max();
        position.sent_until = position.sent_until.max(latest.unwrap_or_default());
        sleep(F::CHANGE_DELAY).await;
    }
    Ok(())
}

/// Sends the updates of a list of all records, part by part unless the prefix needs them together.
/// Returns the revision of the list.
async fn list<S: PlatformClients, F: WatchedPrefix>(
    platform: &S,
    prefix: &F,
    sent_until: Revision,
    sender: &mpsc::Sender<Message>,
) -> Result<Revision, StoreError> {
    if F::NEEDS_WHOLE_LIST {
        let snapshot = platform.store().list(F::PREFIX).await?;
        send(prefix.updates_from_list(&snapshot.records, sent_until), sender).await;
        return Ok(snapshot.revision);
    }
    let mut page = platform.store().list_page(F::PREFIX, None).await?;
    let revision = page.revision;
    loop {
        send(prefix.updates_from_list(&page.records, sent_until), sender).await;
        let Some(after) = page.next_after else { return Ok(revision) };
        drop(page.records);
        page = platform.store().list_page(F::PREFIX, Some(&after)).await?;
    }
}

async fn send(updates: Vec<StoreUpdate>, sender: &mpsc::Sender<Message>) {
    for update in updates {
        // The loop may have ended.
        let _ = sender.send(Message::StoreUpdate(update)).await;
    }
}

impl WatchedPrefix for InboxPrefix {
    const PREFIX: &'static str = INBOX_PREFIX;
    const CHANGE_DELAY: Duration = INBOX_DELAY;
    const LISTS_AFTER_FAILURE: bool = false;
    const NEEDS_WHOLE_LIST: bool = false;

    /// Records that were sent before are left out: the jobs that are no longer known have ended, and
    /// were deleted while the list was read.
    fn updates_from_list(&self, records: &[Record], sent_until: Revision) -> Vec<StoreUpdate> {
        let new = records.iter().filter(|record| record.revision > sent_until);
        new.filter_map(decode_inbox_record).collect()
    }

    fn updates_from_changes(&self, changes: &[Change]) -> Vec<StoreUpdate> {
        changes.iter().filter_map(|change| decode_inbox_record(change.record.as_ref()?)).collect()
    }
}

impl<S: PlatformClients> WatchedPrefix for WorkersPrefix<S> {
    const PREFIX: &'static str = S::Formats::WORKERS_PREFIX;
    const CHANGE_DELAY: Duration = WORKERS_DELAY;
    /// The store may have lost entries of live workers while it was away.
    const LISTS_AFTER_FAILURE: bool = true;
    const NEEDS_WHOLE_LIST: bool = true;

    fn updates_from_list(&self, records: &[Record], _sent_until: Revision) -> Vec<StoreUpdate> {
        vec![StoreUpdate::WorkerEntries(EntriesChange::Listed(decode_entries(
            &self.platform,
            records,
        )))]
    }

    fn updates_from_changes(&self, changes: &[Change]) -> Vec<StoreUpdate> {
        let changed =
            changes.iter().map(|change| decode_entry_change(&self.platform, change)).collect();
        vec![StoreUpdate::WorkerEntries(EntriesChange::Changed(changed))]
    }
}

fn decode_inbox_record(record: &Record) -> Option<StoreUpdate> {
    if let Some(id) = parse_job_key(&record.key, CANCEL_PREFIX) {
        return Some(StoreUpdate::Cancel(id));
    }
    let id = parse_job_key(&record.key, JOB_PREFIX)?;
    match JobRecord::try_from(&record.value[..]) {
        Ok(job) => Some(StoreUpdate::Job { id, record: Box::new(job), revision: record.revision }),
        Err(error) => {
            emit!(target: LOG_TARGET, JobsEvent::ItemUnreadable, key = record.key, error = error);
            None
        }
    }
}

fn decode_entries<S: PlatformClients>(platform: &S, records: &[Record]) -> Vec<KeyedEntry> {
    records.iter().map(|record| (record.key.clone(), decode_entry(platform, record))).collect()
}

fn decode_entry_change<S: PlatformClients>(platform: &S, change: &Change) -> KeyedEntry {
    let entry = change.record.as_ref().and_then(|record| decode_entry(platform, record));
    (change.key.clone(), entry)
}

/// The entries that name a worker, by key.
fn named_workers(entries: Vec<KeyedEntry>) -> HashMap<Arc<str>, WorkerEntry> {
    entries.into_iter().filter_map(|(key, entry)| Some((key, entry?))).collect()
}

fn decode_entry<S: PlatformClients>(platform: &S, record: &Record) -> Option<WorkerEntry> {
    match platform.formats().worker_entry(record) {
        Ok(entry) => Some(entry),
        Err(error) => {
            emit!(target: LOG_TARGET, JobsEvent::ItemUnreadable, key = record.key, error = error);
            None
        }
    }
}

/// The workers' entries, including those that the store lost during an outage.
pub(super) struct WorkerList {
    entries: HashMap<Arc<str>, WorkerEntry>,
    /// Entries that are missing after an outage, and until when they are kept. One that is there
    /// and can't be read isn't missing.
    missing: HashMap<Arc<str>, WorkerEntry>,
    missing_until: Option<Moment>,
    initial: Vec<Record>,
}

impl WorkerList {
    pub(super) fn new(initial: Vec<Record>) -> Self {
        Self { entries: HashMap::new(), missing: HashMap::new(), missing_until: None, initial }
    }

    /// Decodes the entries with which the term started.
    pub(super) fn decode_initial<S: PlatformClients>(&mut self, platform: &S) {
        let records = std::mem::take(&mut self.initial);
        self.entries = named_workers(decode_entries(platform, &records));
    }

    pub(super) fn apply(&mut self, change: EntriesChange, now: Moment) {
        match change {
            EntriesChange::Changed(changes) => {
                for (key, entry) in changes {
                    self.missing.remove(&key);
                    match entry {
                        Some(entry) => drop(self.entries.insert(key, entry)),
                        None => drop(self.entries.remove(&key)),
                    }
                }
            }
            EntriesChange::Listed(listed) => {
                let keys: HashSet<Arc<str>> = listed.iter().map(|(key, _)| key.clone()).collect();
                let previous = std::mem::replace(&mut self.entries, named_workers(listed));
                self.missing.extend(previous);
                self.missing.retain(|key, _| !keys.contains(key));
                self.missing_until = Some(now + MISSING_ENTRY_RETENTION);
            }
        }
    }

    /// Whether missing entries have been kept long enough.
    pub(super) fn is_due(&self, now: Moment) -> bool {
        self.missing_until.is_some_and(|until| now >= until)
    }

    /// The current entries.
    pub(super) fn entries(&mut self, now: Moment) -> Vec<WorkerEntry> {
        if self.is_due(now) {
            self.missing.clear();
            self.missing_until = None;
        }
        self.entries.values().chain(self.missing.values()).cloned().collect()
    }
}
