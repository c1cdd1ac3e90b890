//! The owner's writes, in several concurrent chains.
//!
//! Each write is conditional on the one before it in its chain, by the revision of the chain's
//! sequence key. A write without a response is sent again while the first attempt goes on; if one of
//! them was committed, the sequence key contains its number. A write that arrives late finds the key
//! changed and is not committed.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{
    Compare, Moment, Record, Revision, StoreError, Transaction, TransactionOutcome,
    TransactionalStore, since_boot,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::{ENDS_WRITE_INTERVAL, Message, OwnerLoop, URGENT_WRITE_INTERVAL, WRITE_INTERVAL};
use crate::clients::FencingToken;
use crate::outage::OutageLog;
use crate::platform_clients::{Formats, PlatformClients};
use crate::record::{ChainNumber, OWNER_KEY, sequence_key};
use crate::response_times::ResponseTimes;
use crate::scheduler::{WriteBatch, WriteUrgency};
use crate::task_panic::catch_panic;

/// Attempts of a write that wait for a response at the same time.
const ATTEMPTS_MAX: usize = 5;
/// Delay after an attempt of a write that failed.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Shortest time until a write without a response is sent again.
const FIRST_RESEND_DELAY_MIN: Duration = Duration::from_millis(150);
/// Longest time until a write without a response is sent again for the first time.
const FIRST_RESEND_DELAY_MAX: Duration = Duration::from_millis(1_500);
/// Longest time between two attempts of a write that get no response.
const RESEND_DELAY_MAX: Duration = Duration::from_millis(2_400);

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
    Committed { batch: Box<WriteBatch>, sequence: Sequence, response_time: Duration },
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
    response_times: ResponseTimes,
}

impl<S: PlatformClients> Writer<S> {
    /// A writer that continues the chains from `first_sequences`.
    pub(super) fn new(platform: S, token: FencingToken, first_sequences: Vec<Sequence>) -> Self {
        let chain = |sequence| Chain { sequence, started: None };
        let chains = first_sequences.into_iter().map(chain).collect();
        Self { platform, token, chains, response_times: ResponseTimes::default() }
    }

    /// Whether a write is in flight.
    pub(super) fn is_busy(&self) -> bool {
        self.chains.iter().any(|chain| chain.started.is_some())
    }

    fn start(&mut self, batch: Box<WriteBatch>, sender: mpsc::Sender<Message>) {
        let chain = &mut self.chains[batch.chain];
        chain.started = Some(since_boot());
        let (platform, token, sequence) = (self.platform.clone(), self.token, chain.sequence);
        let resend_delay = first_resend_delay(&self.response_times);
        tokio::spawn(async move {
            let writing = write(&platform, token, sequence, batch, resend_delay);
            let outcome = catch_panic("write of the owner", writing).await;
            let message = outcome.map_or(Message::TaskPanicked, Message::WriteOutcome);
            // The loop may have ended.
            let _ = sender.send(message).await;
        });
    }

    /// Records that a write was committed, and returns how long it took.
    fn record_done(
        &mut self,
        chain: ChainNumber,
        sequence: Sequence,
        response_time: Duration,
    ) -> Duration {
        self.response_times.record(response_time);
        let chain = &mut self.chains[chain];
        chain.sequence = sequence;
        since_boot().saturating_sub(chain.started.take().unwrap_or_else(since_boot))
    }
}

/// Returns the time after which a write without a response is sent again: half as much again as the
/// slowest of the latest writes took.
pub(super) fn first_resend_delay(times: &ResponseTimes) -> Duration {
    let slowest = times.longest();
    (slowest + slowest / 2).clamp(FIRST_RESEND_DELAY_MIN, FIRST_RESEND_DELAY_MAX)
}

/// Response to an attempt of a write.
struct Response {
    result: Result<TransactionOutcome, StoreError>,
    /// Time since the attempt.
    time: Duration,
}

async fn attempt<S: PlatformClients>(platform: &S, transaction: Transaction) -> Response {
    let sent = since_boot();
    let result = platform.store().commit(transaction).await;
    Response { result, time: since_boot().saturating_sub(sent) }
}

/// Writes until the store responds. An attempt without a response goes on while the next one uses
/// another connection: the store may be slow, or the connection may be silent.
async fn write<S: PlatformClients>(
    platform: &S,
    token: FencingToken,
    previous: Sequence,
    batch: Box<WriteBatch>,
    mut resend_delay: Duration,
) -> WriteOutcome {
    let next = Sequence { number: previous.number + 1, ..previous };
    let transaction = transaction(platform, token, previous, next, &batch);
    let mut outage = OutageLog::new("owner's writes");
    let mut attempts = FuturesUnordered::new();
    let mut next_attempt = Instant::now();
    loop {
        let response = tokio::select! {
            Some(response) = attempts.next() => response,
            () = sleep_until(next_attempt), if attempts.len() < ATTEMPTS_MAX => {
                if !attempts.is_empty() {
                    outage.record_failure(&StoreError::no_response());
                }
                attempts.push(attempt(platform, transaction.clone()));
                next_attempt = Instant::now() + resend_delay;
                resend_delay = (resend_delay * 2).min(RESEND_DELAY_MAX);
                continue;
            }
        };
        let sequence = match response.result {
            Ok(TransactionOutcome::Written(revision)) => {
                outage.record_success();
                Some(Sequence { revision, ..next })
            }
            Ok(TransactionOutcome::Conflict(records)) => {
                committed_sequence(token, batch.chain, next, &records)
            }
            Err(error) => {
                outage.record_failure(&error);
                next_attempt = next_attempt.min(Instant::now() + RETRY_DELAY);
                continue;
            }
        };
        return match sequence {
            Some(sequence) => {
                WriteOutcome::Committed { batch, sequence, response_time: response.time }
            }
            None => WriteOutcome::Superseded,
        };
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
            WriteOutcome::Committed { batch, sequence, response_time } => {
                let latency = self.writer.record_done(batch.chain, sequence, response_time);
                self.loop_stats.record_write(batch.states(), latency);
                self.scheduler.handle_write_committed(&batch, since_boot());
            }
            WriteOutcome::Superseded => self.is_fenced = true,
        }
    }
}

#[cfg(test)]
mod tests;
