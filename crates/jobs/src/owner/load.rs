//! Reads the state that previous owners left in the store.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{
    Compare, Hedge, Record, Revision, Store, StoreError, Transaction, TransactionOutcome,
    TransactionalStore, since_boot,
};
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use super::load_limit::{self, LoadLimit};
use super::stored_jobs::{StoredInbox, StoredStates, add_stored_jobs};
use super::unix_now;
use super::write::Sequence;
use crate::clients::FencingToken;
use crate::event::JobsEvent;
use crate::outage::OutageLog;
use crate::platform_clients::{Formats, PlatformClients};
use crate::record::{
    COMMANDED_MACHINES_KEY, CommandedMachinesRecord, OWNER_KEY, SEQUENCE_KEY, UnfinishedLoads,
    WAVES_KEY, WORKERS_PREFIX, WRITE_CHAINS, WavesRecord, WorkerRecord, sequence_key,
};
use crate::scheduler::{OwnerTerm, Scheduler, SchedulerSettings};
use crate::spec::RunNumber;

/// Delay between two attempts to read the store.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which the owner gives up if no attempt has succeeded. An attempt in progress may take
/// longer, up to its [`LoadLimit`].
const LOAD_RETRY_TIME_MAX: Duration = Duration::from_secs(2);
/// Attempts of the first write of a term: its response may be lost, again and again.
const START_ATTEMPTS: Hedge =
    Hedge { interval: Duration::from_millis(300), growth: 2, attempts_max: 4 };
/// Number of run numbers per task that one owner may use.
const RUN_NUMBERS_PER_TERM: RunNumber = 1_000;

/// State with which an owner starts.
pub(super) struct Loaded {
    pub(super) scheduler: Scheduler,
    /// First sequence of each write chain.
    pub(super) sequences: Vec<Sequence>,
    pub(super) inbox_revision: Revision,
    pub(super) workers: Vec<Record>,
    pub(super) workers_revision: Revision,
}

/// Reads the state; the last error if no attempt succeeds. Another instance may be able to read it.
pub(super) async fn load<S: PlatformClients>(
    platform: &S,
    settings: SchedulerSettings,
    token: FencingToken,
    instance: &Arc<str>,
    limit: &LoadLimit<'_, S>,
) -> Result<Loaded, StoreError> {
    let give_up_at = since_boot() + LOAD_RETRY_TIME_MAX;
    let mut outage = OutageLog::new("load");
    loop {
        match try_load(platform, settings, token, instance, limit).await {
            Ok(loaded) => {
                outage.record_success();
                return Ok(loaded);
            }
            Err(error) if since_boot() >= give_up_at => return Err(error),
            Err(error) => outage.record_failure(&error),
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn try_load<S: PlatformClients>(
    platform: &S,
    settings: SchedulerSettings,
    token: FencingToken,
    instance: &Arc<str>,
    limit: &LoadLimit<'_, S>,
) -> Result<Loaded, StoreError> {
    let store = platform.store();
    let job_memory = settings.job_memory;
    let (inbox, states, sequence, known, waves, commanded, listed, unfinished) = tokio::try_join!(
        StoredInbox::read(store, job_memory),
        StoredStates::read(store, job_memory),
        store.get(SEQUENCE_KEY),
        store.list(WORKERS_PREFIX),
        store.get(WAVES_KEY),
        store.get(COMMANDED_MACHINES_KEY),
        store.list(S::Formats::WORKERS_PREFIX),
        limit.counted(),
    )?;
    let sequence = start_chains(platform, token, sequence, unfinished).await?;
    let (known_workers, has_unreadable_workers) = read_workers(&known.records);
    // A wave whose progress is unknown starts anew: a machine whose maintenance is done is not
    // taken down again for the same wave.
    let waves: WavesRecord = waves.as_ref().and_then(read_json).unwrap_or_default();
    let commanded_machines: Option<CommandedMachinesRecord> =
        commanded.as_ref().map_or(Some(CommandedMachinesRecord::default()), read_json);
    let run_number_base = RunNumber::try_from(sequence.tenure).unwrap_or(0) * RUN_NUMBERS_PER_TERM;
    let now = since_boot();
    let instance = Arc::clone(instance);
    let term = OwnerTerm {
        token,
        run_number_base,
        known_workers,
        waves,
        has_unreadable_commands: commanded_machines.is_none(),
        commanded_machines: commanded_machines.unwrap_or_default(),
        has_unreadable_workers,
        instance,
        started_unix: unix_now(),
    };
    let mut scheduler = Scheduler::new(settings, term, now);
    let inbox_revision = add_stored_jobs(&mut scheduler, inbox, states, now).await;
    Ok(Loaded {
        scheduler,
        sequences: vec![sequence; WRITE_CHAINS],
        inbox_revision,
        workers: listed.records,
        workers_revision: listed.revision,
    })
}

/// Decodes a JSON record; `None` if it can't be read. Such a record must not keep each instance
/// that becomes the owner from starting; the caller substitutes what is safe.
pub(super) fn read_json<T: DeserializeOwned>(record: &Record) -> Option<T> {
    match serde_json::from_slice(&record.value) {
        Ok(value) => Some(value),
        Err(error) => {
            emit!(JobsEvent::ItemUnreadable, key = record.key, error = error);
            None
        }
    }
}

/// Decodes the records of workers; also returns whether one can't be read.
fn read_workers(records: &[Record]) -> (Vec<WorkerRecord>, bool) {
    let shards: Vec<Option<Vec<WorkerRecord>>> = records.iter().map(read_json).collect();
    let has_unreadable = shards.iter().any(Option::is_none);
    (shards.into_iter().flatten().flatten().collect(), has_unreadable)
}

/// Starts this owner's write chains, so that no late write of a previous owner is applied. All
/// chains start in one transaction, and therefore at one revision. It also resets the number of
/// unfinished readings.
async fn start_chains<S: PlatformClients>(
    platform: &S,
    token: FencingToken,
    stored: Option<Record>,
    unfinished: UnfinishedLoads,
) -> Result<Sequence, StoreError> {
    let previous = stored.as_ref().map(Sequence::read).transpose()?;
    let next = match previous {
        Some(previous) if previous.token == token => {
            Sequence { number: previous.number + 1, ..previous }
        }
        Some(previous) => Sequence { token, tenure: previous.tenure + 1, number: 0, revision: 0 },
        None => Sequence { token, tenure: 0, number: 0, revision: 0 },
    };
    let compare = stored.map_or(Compare::Absent, |record| Compare::Revision(record.revision));
    let mut transaction = Transaction::default()
        .expect(OWNER_KEY, Compare::Revision(token))
        .expect(SEQUENCE_KEY, compare);
    for chain in 0..WRITE_CHAINS {
        transaction = transaction.put(sequence_key(chain), next.encode()?, None);
    }
    let transaction = load_limit::reset(transaction, unfinished);
    let commit = || platform.store().commit(transaction.clone());
    match START_ATTEMPTS.run(commit).await? {
        TransactionOutcome::Written(revision) => Ok(Sequence { revision, ..next }),
        TransactionOutcome::Conflict(records) => {
            started_sequence(next, &records).ok_or_else(|| {
                StoreError::OutcomeUnknown("the sequence key was changed by another write".into())
            })
        }
    }
}

/// Sequence that an earlier attempt of the same transaction has stored, by the records with which a
/// later attempt conflicts.
fn started_sequence(next: Sequence, records: &[Record]) -> Option<Sequence> {
    let stored = records.iter().find(|record| *record.key == *SEQUENCE_KEY)?;
    let stored = Sequence::read(stored).ok()?;
    let is_own =
        (stored.token, stored.tenure, stored.number) == (next.token, next.tenure, next.number);
    is_own.then_some(stored)
}
