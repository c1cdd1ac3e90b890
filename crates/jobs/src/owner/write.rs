//! The owner's writes, in several concurrent chains.
//!
//! Each write is conditional on the one before it in its chain, by the revision of the chain's
//! sequence key. A write without a response is sent again; if it was committed, the sequence key
//! contains its number. A write that arrives late finds the key changed and is not committed.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{
    Compare, Moment, Record, Revision, StoreError, Transaction, TransactionOutcome,
    TransactionalStore, since_boot,
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::{ENDS_WRITE_INTERVAL, Message, OwnerLoop, URGENT_WRITE_INTERVAL, WRITE_INTERVAL};
use crate::clients::FencingToken;
use crate::outage::OutageLog;
use crate::platform_clients::{Formats, PlatformClients};
use crate::record::{ChainNumber, OWNER_KEY, sequence_key};
use crate::scheduler::{WriteBatch, WriteUrgency};
use crate::task_panic::catch_panic;

/// Delay between two attempts of a write.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout of the first attempt of a write; the next attempt uses another connection. The timeout
/// doubles with each attempt, so that a slow store has time to respond.
const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest timeout of an attempt.
const ATTEMPT_TIMEOUT_MAX: Duration = Duration::from_millis(1_200);

/// Position in a write chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Sequence {
    /// Fencing token of the owner.
    pub(super) token: FencingToken,
    /// Number of previous owners.
    pub(super) tenure: u64,
    /// Number of the write.
    pub(super) number: u64,
    /// Revision of the sequence key.
    #[serde(skip)]
    pub(super) revision: Revision,
}

impl Sequence {
    pub(super) fn read(record: &Record) -> Result<Self, StoreError> {
        let sequence: Self = serde_json::from_slice(&record.value)
            .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
        Ok(Self { revision: record.revision, ..sequence })
    }

    pub(super) fn encode(&self) -> Result<Vec<u8>, StoreError> {
        serde_json::to_vec(self).map_err(|error| StoreError::Malformed(error.to_string().into()))
    }
}

/// Outcome of a write.
pub(super) enum WriteOutcome {
    /// It was committed.
    Committed { batch: Box<WriteBatch>, sequence: Sequence },
    /// Another instance has become the owner.
    Superseded,
}

/// A write chain.
struct Chain {
    sequence: Sequence,
    /// When its write in flight was started.
    started: Option<Moment>,
}

/// Writer of one owner.
pub(super) struct Writer<S: PlatformClients> {
    platform: S,
    token: FencingToken,
    chains: Vec<Chain>,
}

impl<S: PlatformClients> Writer<S> {
    /// A writer that continues the chains from `first_sequences`.
    pub(super) fn new(platform: S, token: FencingToken, first_sequences: Vec<Sequence>) -> Self {
        let chain = |sequence| Chain { sequence, started: None };
        Self { platform, token, chains: first_sequences.into_iter().map(chain).collect() }
    }

    /// Whether a write is in flight.
    pub(super) fn is_busy(&self) -> bool {
        self.chains.iter().any(|chain| chain.started.is_some())
    }

    fn start(&mut self, batch: Box<WriteBatch>, sender: mpsc::Sender<Message>) {
        let chain = &mut self.chains[batch.chain];
        chain.started = Some(since_boot());
        let (platform, token, sequence) = (self.platform.clone(), self.token, chain.sequence);
        tokio::spawn(async move {
            let writing = write(&platform, token, sequence, batch);
            let outcome = catch_panic("write of the owner", writing).await;
            let message = outcome.map_or(Message::TaskPanicked, Message::WriteOutcome);
            // The loop may have ended.
            let _ = sender.send(message).await;
        });
    }

    /// Records that a write was committed, and returns how long it took.
    fn record_done(&mut self, chain: ChainNumber, sequence: Sequence) -> Duration {
        let chain = &mut self.chains[chain];
        chain.sequence = sequence;
        since_boot().saturating_sub(chain.started.take().unwrap_or_else(since_boot))
    }
}

async fn write<S: PlatformClients>(
    platform: &S,
    token: FencingToken,
    previous: Sequence,
    batch: Box<WriteBatch>,
) -> WriteOutcome {
    let next = Sequence { number: previous.number + 1, ..previous };
    let transaction = transaction(platform, token, previous, next, &batch);
    let mut outage = OutageLog::new("owner's writes");
    let mut attempt_timeout = FIRST_ATTEMPT_TIMEOUT;
    loop {
        let attempt = timeout(attempt_timeout, platform.store().commit(transaction.clone())).await;
        attempt_timeout = (attempt_timeout * 2).min(ATTEMPT_TIMEOUT_MAX);
        match attempt.unwrap_or_else(|_| Err(StoreError::no_response())) {
            Ok(TransactionOutcome::Written(revision)) => {
                outage.record_success();
                return WriteOutcome::Committed { batch, sequence: Sequence { revision, ..next } };
            }
            Ok(TransactionOutcome::Conflict(records)) => {
                return match committed_sequence(token, batch.chain, next, &records) {
                    Some(sequence) => WriteOutcome::Committed { batch, sequence },
                    None => WriteOutcome::Superseded,
                };
            }
            Err(error) => outage.record_failure(&error),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Sequence of a write whose conditions failed because an earlier attempt of it was committed;
/// `None` if another owner changed the keys.
fn committed_sequence(
    token: FencingToken,
    chain: ChainNumber,
    next: Sequence,
    records: &[Record],
) -> Option<Sequence> {
    let find = |key: &str| records.iter().find(|record| *record.key == *key);
    let owner = find(OWNER_KEY)?;
    let stored = Sequence::read(find(&sequence_key(chain))?).ok()?;
    let is_own = owner.revision == token && stored.token == token && stored.number == next.number;
    is_own.then_some(stored)
}

fn transaction<S: PlatformClients>(
    platform: &S,
    token: FencingToken,
    previous: Sequence,
    next: Sequence,
    batch: &WriteBatch,
) -> Transaction {
    let sequence = match next.encode() {
        Ok(bytes) => bytes,
        // Three numbers can always be encoded as JSON.
        Err(error) => unreachable!("sequence: {error}"),
    };
    let sequence_key = sequence_key(batch.chain);
    let mut transaction = Transaction::default()
        .expect(OWNER_KEY, Compare::Revision(token))
        .expect(Arc::clone(&sequence_key), Compare::Revision(previous.revision))
        .put(sequence_key, sequence, None);
    for (key, value) in &batch.puts {
        transaction = transaction.put(Arc::clone(key), value.clone(), None);
    }
    for (number, is_complete) in &batch.waves {
        let (key, value) = platform.formats().wave_status(*number, *is_complete);
        transaction = transaction.put(key, value, None);
    }
    for key in &batch.deletions {
        transaction = transaction.delete(Arc::clone(key));
    }
    transaction
}

impl<S: PlatformClients> OwnerLoop<S> {
    /// Starts the writes that are due.
    pub(super) fn write(&mut self, now: Moment) {
        if !self.scheduler.may_write(now) {
            return;
        }
        let interval = match self.scheduler.write_urgency() {
            WriteUrgency::High => URGENT_WRITE_INTERVAL,
            WriteUrgency::Normal => ENDS_WRITE_INTERVAL,
            WriteUrgency::Low => WRITE_INTERVAL,
        };
        if now.saturating_sub(self.last_write) < interval {
            return;
        }
        self.last_write = now;
        while let Some(batch) = self.scheduler.next_write_batch(now) {
            self.writer.start(Box::new(batch), self.sender.clone());
        }
    }

    pub(super) fn handle_write_outcome(&mut self, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Committed { batch, sequence } => {
                let latency = self.writer.record_done(batch.chain, sequence);
                self.loop_stats.record_write(batch.states(), latency);
                self.scheduler.handle_write_committed(&batch, since_boot());
            }
            WriteOutcome::Superseded => self.is_fenced = true,
        }
    }
}
