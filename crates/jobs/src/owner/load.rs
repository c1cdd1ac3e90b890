//! Reads the state that previous owners left in the store.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{
    Compare, Hedge, Moment, Record, Revision, Store, StoreError, Transaction, TransactionOutcome,
    TransactionalStore, since_boot,
};
use serde::de::DeserializeOwned;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::load_limit::{self, LoadLimit};
use super::unix_now;
use super::write::Sequence;
use crate::clients::FencingToken;
use crate::event::JobsEvent;
use crate::outage::OutageLog;
use crate::platform_clients::{Formats, PlatformClients};
use crate::record::{
    CANCEL_PREFIX, COMMANDED_MACHINES_KEY, CommandedMachinesRecord, INBOX_PREFIX, JOB_PREFIX,
    JobRecord, OWNER_KEY, SEQUENCE_KEY, STATE_PREFIX, StateRecord, UnfinishedLoads, WAVES_KEY,
    WORKERS_PREFIX, WRITE_CHAINS, WavesRecord, WorkerRecord, parse_job_key, sequence_key,
};
use crate::scheduler::{OwnerTerm, Scheduler, SchedulerSettings};
use crate::spec::{JobId, RunNumber};

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

/// Records that are decoded before the task yields, so that the lease is renewed in time.
const RECORDS_PER_YIELD: usize = 32;

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
    let (inbox, states, sequence, known, waves, commanded, listed, unfinished) = tokio::try_join!(
        store.list(INBOX_PREFIX),
        store.list(STATE_PREFIX),
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
    let states = read_states(&states.records, &mut scheduler).await;
    for (number, record) in inbox.records.iter().enumerate() {
        if number % RECORDS_PER_YIELD == 0 {
            yield_now().await;
        }
        let Some(id) = parse_job_key(&record.key, JOB_PREFIX) else { continue };
        match JobRecord::try_from(&record.value[..]) {
            Ok(job) => {
                let stored = states.get(&id);
                scheduler.add_job(id, job, record.revision, stored, now);
                if let Some(stored) = stored {
                    scheduler.restore_occurrences(id, stored, now);
                }
            }
            Err(error) => emit!(JobsEvent::ItemUnreadable, key = record.key, error = error),
        }
    }
    for record in &inbox.records {
        if let Some(id) = parse_job_key(&record.key, CANCEL_PREFIX) {
            scheduler.cancel(id, now);
        }
    }
    add_ended_jobs(&mut scheduler, &inbox.records, &states, now);
    Ok(Loaded {
        scheduler,
        sequences: vec![sequence; WRITE_CHAINS],
        inbox_revision: inbox.revision,
        workers: listed.records,
        workers_revision: listed.revision,
    })
}

/// Adds the ended jobs whose records are deleted already.
fn add_ended_jobs(
    scheduler: &mut Scheduler,
    inbox: &[Record],
    states: &HashMap<JobId, StateRecord>,
    now: Moment,
) {
    let recorded: HashSet<JobId> =
        inbox.iter().filter_map(|record| parse_job_key(&record.key, JOB_PREFIX)).collect();
    for (id, state) in states {
        if state.state.is_final() && !recorded.contains(id) {
            scheduler.add_ended_job(*id, now);
        }
    }
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

/// Decodes the states of jobs, and excludes the jobs whose state can't be read.
async fn read_states(records: &[Record], scheduler: &mut Scheduler) -> HashMap<JobId, StateRecord> {
    let mut states = HashMap::with_capacity(records.len());
    for (number, record) in records.iter().enumerate() {
        if number % RECORDS_PER_YIELD == 0 {
            yield_now().await;
        }
        let Some(id) = parse_job_key(&record.key, STATE_PREFIX) else { continue };
        match StateRecord::try_from(&record.value[..]) {
            Ok(state) => drop(states.insert(id, state)),
            Err(error) => {
                emit!(JobsEvent::ItemUnreadable, key = record.key, error = error);
                scheduler.exclude_job(id);
            }
        }
    }
    states
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
