//! Watches the accepted jobs, the cancellations and the workers' entries in the store.

use std::collections::HashMap;
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
const RETRY: Duration = Duration::from_millis(100);
/// Delay after changes of accepted jobs, so that the next ones are received together.
const INBOX_GAP: Duration = Duration::from_millis(15);
/// Delay after changes of workers' entries.
const WORKERS_GAP: Duration = Duration::from_millis(250);
/// How long workers are kept whose entries are missing after a store outage.
const RETURN_GRACE: Duration = Duration::from_millis(2_300);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::owner::follow";

/// An update from the store.
pub(super) enum Followed {
    /// A job was accepted.
    Job { id: JobId, record: Box<JobRecord>, revision: Revision },
    /// A job was cancelled.
    Cancel(JobId),
    /// Workers' entries have changed.
    WorkerEntries(WorkersChange),
}

/// A change of the workers' entries.
pub(super) enum WorkersChange {
    /// All entries, listed after a store outage.
    All(Vec<(Arc<str>, WorkerEntry)>),
    /// Entries that were written or removed.
    Some(Vec<(Arc<str>, Option<WorkerEntry>)>),
}

/// A prefix that is watched.
pub(super) trait Feed: Send + 'static {
    /// Prefix of the keys.
    const PREFIX: &'static str;
    /// Delay after changes, so that the next ones are received together.
    const GAP: Duration;

    /// Updates from a list of all records, after a store outage.
    fn all(&self, records: &[Record]) -> Vec<Followed>;

    /// Updates from changes.
    fn some(&self, changes: &[Change]) -> Vec<Followed>;
}

/// Accepted jobs and cancellations.
pub(super) struct Inbox;

/// Entries of the workers.
pub(super) struct Reports<S: PlatformClients> {
    pub(super) platform: S,
}

/// Sends the updates of a prefix after a revision, until the channel is closed.
pub(super) async fn watch_store<S: PlatformClients, F: Feed>(
    platform: S,
    feed: F,
    from: Revision,
    sender: mpsc::Sender<Message>,
) {
    let mut after = Some(from);
    let mut outage = OutageLog::new(F::PREFIX);
    while !sender.is_closed() {
        if let Err(error) = follow_once(&platform, &feed, &mut after, &sender, &mut outage).await {
            outage.record_failure(&error);
        }
        sleep(RETRY).await;
    }
}

async fn follow_once<S: PlatformClients, F: Feed>(
    platform: &S,
    feed: &F,
    after: &mut Option<Revision>,
    sender: &mpsc::Sender<Message>,
    outage: &mut OutageLog,
) -> Result<(), StoreError> {
    let from = match after.take() {
        Some(revision) => revision,
        None => {
            let snapshot = platform.store().list(F::PREFIX).await?;
            send(feed.all(&snapshot.records), sender).await;
            snapshot.revision
        }
    };
    let mut changes = platform.store().watch(F::PREFIX, from).await?;
    while !sender.is_closed() {
        let news = changes.next().await?;
        outage.record_success();
        send(feed.some(&news), sender).await;
        sleep(F::GAP).await;
    }
    Ok(())
}

async fn send(news: Vec<Followed>, sender: &mpsc::Sender<Message>) {
    for followed in news {
        // The loop may have ended.
        let _ = sender.send(Message::Followed(followed)).await;
    }
}

impl Feed for Inbox {
    const PREFIX: &'static str = INBOX_PREFIX;
    const GAP: Duration = INBOX_GAP;

    fn all(&self, records: &[Record]) -> Vec<Followed> {
        records.iter().filter_map(read_inbox).collect()
    }

    fn some(&self, changes: &[Change]) -> Vec<Followed> {
        changes.iter().filter_map(|change| read_inbox(change.record.as_ref()?)).collect()
    }
}

impl<S: PlatformClients> Feed for Reports<S> {
    const PREFIX: &'static str = S::Formats::WORKERS_PREFIX;
    const GAP: Duration = WORKERS_GAP;

    fn all(&self, records: &[Record]) -> Vec<Followed> {
        vec![Followed::WorkerEntries(WorkersChange::All(read_all(&self.platform, records)))]
    }

    fn some(&self, changes: &[Change]) -> Vec<Followed> {
        let some = changes.iter().map(|change| read_change(&self.platform, change)).collect();
        vec![Followed::WorkerEntries(WorkersChange::Some(some))]
    }
}

fn read_inbox(record: &Record) -> Option<Followed> {
    if let Some(id) = parse_job_key(&record.key, CANCEL_PREFIX) {
        return Some(Followed::Cancel(id));
    }
    let id = parse_job_key(&record.key, JOB_PREFIX)?;
    match JobRecord::try_from(&record.value[..]) {
        Ok(job) => Some(Followed::Job { id, record: Box::new(job), revision: record.revision }),
        Err(error) => {
            emit!(target: LOG_TARGET, JobsEvent::ItemUnreadable, key = record.key, error = error);
            None
        }
    }
}

fn read_all<S: PlatformClients>(platform: &S, records: &[Record]) -> Vec<(Arc<str>, WorkerEntry)> {
    let read = records
        .iter()
        .filter_map(|record| Some((record.key.clone(), read_worker(platform, record)?)));
    read.collect()
}

fn read_change<S: PlatformClients>(
    platform: &S,
    change: &Change,
) -> (Arc<str>, Option<WorkerEntry>) {
    let entry = change.record.as_ref().and_then(|record| read_worker(platform, record));
    (change.key.clone(), entry)
}

fn read_worker<S: PlatformClients>(platform: &S, record: &Record) -> Option<WorkerEntry> {
    match platform.formats().worker_entry(record) {
        Ok(entry) => Some(entry),
        Err(error) => {
            emit!(target: LOG_TARGET, JobsEvent::ItemUnreadable, key = record.key, error = error);
            None
        }
    }
}

/// The workers' entries, including those that the store lost during an outage.
pub(super) struct Listing {
    entries: HashMap<Arc<str>, WorkerEntry>,
    /// Entries that are missing after an outage, and until when they are kept.
    missing: HashMap<Arc<str>, WorkerEntry>,
    missing_until: Option<Moment>,
    first: Vec<Record>,
}

impl Listing {
    pub(super) fn new(first: Vec<Record>) -> Self {
        Self { entries: HashMap::new(), missing: HashMap::new(), missing_until: None, first }
    }

    /// Decodes the entries with which the term started.
    pub(super) fn read_first<S: PlatformClients>(&mut self, platform: &S) {
        let records = std::mem::take(&mut self.first);
        self.entries = read_all(platform, &records).into_iter().collect();
    }

    pub(super) fn apply(&mut self, change: WorkersChange, now: Moment) {
        match change {
            WorkersChange::Some(changes) => {
                for (key, entry) in changes {
                    self.missing.remove(&key);
                    match entry {
                        Some(entry) => drop(self.entries.insert(key, entry)),
                        None => drop(self.entries.remove(&key)),
                    }
                }
            }
            WorkersChange::All(all) => {
                let former = std::mem::replace(&mut self.entries, all.into_iter().collect());
                self.missing.extend(former);
                self.missing.retain(|key, _| !self.entries.contains_key(key));
                self.missing_until = Some(now + RETURN_GRACE);
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
