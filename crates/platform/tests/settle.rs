//! Updates under lost responses, lost requests, late writes and outages.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_platform::{
    Compare, Document, Envelope, LeaseId, NotApplied, Record, Revision, Snapshot, Store,
    StoreError, UpdateOutcome, VALUE_BYTES_MAX, Write, WriteLog, WriteOutcome, Writer, update,
};
use cassiafold_standin::{MemoryStore, MemoryWatch, StoreFaults, WriteFault};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

const KEY: &str = "tokens";
const DEADLINE: Duration = Duration::from_secs(30);
/// Delay of a write that arrives late.
const LATE: Duration = Duration::from_millis(300);

/// The tokens that updates have added, in order.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct Tokens(Vec<u32>);

impl Document for Tokens {
    type Wire = Self;
}

type Outcome = UpdateOutcome<Tokens, ()>;

async fn add<S: Store>(store: &S, writer: &Writer, token: u32) -> Outcome {
    let deadline = Instant::now() + DEADLINE;
    update(store, writer, KEY, deadline, |tokens: Option<&Tokens>| {
        let mut tokens = tokens.cloned().unwrap_or_default();
        tokens.0.push(token);
        Ok(tokens)
    })
    .await
}

fn stored(faults: &StoreFaults) -> Tokens {
    let record = faults.peek(KEY);
    record.map_or_else(Tokens::default, |record| {
        Envelope::<Tokens>::decode(&record.value).unwrap().value
    })
}

/// Asserts that the outcome of the update that added `token` agrees with the stored value.
fn assert_outcome_matches(outcome: &Outcome, token: u32, stored: &Tokens) {
    let times = stored.0.iter().filter(|stored| **stored == token).count();
    match outcome {
        UpdateOutcome::Applied { .. } => assert_eq!(times, 1, "applied, stored {stored:?}"),
        UpdateOutcome::NotApplied(_) => assert_eq!(times, 0, "not applied, stored {stored:?}"),
        UpdateOutcome::StillUnknown { .. } => assert!(times <= 1, "unknown, stored {stored:?}"),
    }
}

/// Order of the first calls of two clients to the store. Later calls are not ordered.
#[derive(Debug)]
struct Schedule {
    turns: Mutex<VecDeque<usize>>,
    finished: Mutex<[bool; 2]>,
    changed: watch::Sender<()>,
}

impl Schedule {
    fn new(turns: impl IntoIterator<Item = usize>) -> Arc<Self> {
        let turns = Mutex::new(turns.into_iter().collect());
        Arc::new(Self { turns, finished: Mutex::default(), changed: watch::Sender::new(()) })
    }

    fn may_call(&self, client: usize) -> bool {
        let finished = *self.finished.lock().unwrap();
        let mut turns = self.turns.lock().unwrap();
        while turns.front().is_some_and(|turn| finished[*turn]) {
            turns.pop_front();
        }
        turns.front().is_none_or(|turn| *turn == client)
    }

    async fn wait(&self, client: usize) {
        let mut changed = self.changed.subscribe();
        while !self.may_call(client) {
            changed.changed().await.unwrap();
        }
    }

    fn end_turn(&self) {
        self.turns.lock().unwrap().pop_front();
        self.changed.send_replace(());
    }

    fn finish(&self, client: usize) {
        self.finished.lock().unwrap()[client] = true;
        self.changed.send_replace(());
    }
}

/// A store whose reads and writes follow a schedule.
#[derive(Debug, Clone)]
struct Scheduled {
    store: MemoryStore,
    schedule: Arc<Schedule>,
    client: usize,
}

impl Store for Scheduled {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Record>, StoreError> {
        self.schedule.wait(self.client).await;
        let result = self.store.get(key).await;
        self.schedule.end_turn();
        result
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        self.store.list(prefix).await
    }

    async fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        self.schedule.wait(self.client).await;
        let result = self.store.write(write).await;
        self.schedule.end_turn();
        result
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.store.grant_lease(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.store.keep_alive(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.revoke_lease(lease).await
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<MemoryWatch, StoreError> {
        self.store.watch(prefix, after).await
    }
}

const FAULTS: [Option<WriteFault>; 4] = [
    None,
    Some(WriteFault::LostAnswer),
    Some(WriteFault::LostRequest),
    Some(WriteFault::Late(LATE)),
];
const PLANNED_WRITES: u32 = 4;
const SCHEDULED_CALLS: u32 = 7;

async fn race(turns: u32, plan: u32) {
    let store = MemoryStore::default();
    let planned = (0..PLANNED_WRITES).map(|write| FAULTS[(plan >> (2 * write)) as usize % 4]);
    store.faults().plan_writes(planned);
    let schedule = Schedule::new((0..SCHEDULED_CALLS).map(|call| (turns >> call) as usize % 2));
    let run = async |client: usize| {
        let (store, schedule) = (store.clone(), schedule.clone());
        let scheduled = Scheduled { store, schedule: schedule.clone(), client };
        let writer = Writer::new(format!("entry-{client}"));
        let outcome = add(&scheduled, &writer, client as u32).await;
        schedule.finish(client);
        outcome
    };
    let (first, second) = tokio::join!(run(0), run(1));
    sleep(LATE).await;
    let stored = stored(&store.faults());
    for (token, outcome) in [(0, &first), (1, &second)] {
        assert!(matches!(outcome, UpdateOutcome::Applied { .. }), "{turns:b} {plan:b} {outcome:?}");
        assert_outcome_matches(outcome, token, &stored);
    }
}

#[tokio::test(start_paused = true)]
async fn two_updates_apply_once_in_every_interleaving_with_faults() {
    for turns in 0..1 << SCHEDULED_CALLS {
        for plan in 0..1 << (2 * PLANNED_WRITES) {
            race(turns, plan).await;
        }
    }
}

/// Runs one update during which an outage starts and ends at the given times.
async fn update_during_outage(fault: Option<WriteFault>, start_ms: u64, end_ms: u64) {
    let store = MemoryStore::default();
    let faults = store.faults();
    faults.set_delay(Duration::from_millis(20));
    faults.plan_writes([fault]);
    let outage = async {
        sleep(Duration::from_millis(start_ms)).await;
        faults.set_outage(true);
        sleep(Duration::from_millis(end_ms - start_ms)).await;
        faults.set_outage(false);
    };
    let writer = Writer::new("entry");
    let (outcome, ()) = tokio::join!(add(&store, &writer, 1), outage);
    sleep(LATE).await;
    assert_outcome_matches(&outcome, 1, &stored(&faults));
    let ends_in_time = Duration::from_millis(end_ms) < DEADLINE / 2;
    assert!(!ends_in_time || matches!(outcome, UpdateOutcome::Applied { .. }), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_at_any_time_gives_a_true_outcome() {
    for fault in FAULTS {
        for start_ms in (0..100).step_by(5) {
            for length_ms in [5, 50, 5_000, 60_000] {
                update_during_outage(fault, start_ms, start_ms + length_ms).await;
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_response_lost_in_a_long_outage_leaves_the_outcome_unknown() {
    let store = MemoryStore::default();
    store.faults().plan_writes([Some(WriteFault::LostAnswer)]);
    let writer = Writer::new("entry");
    let outage = async {
        tokio::task::yield_now().await;
        store.faults().set_outage(true);
    };
    let (outcome, ()) = tokio::join!(add(&store, &writer, 1), outage);
    assert!(matches!(outcome, UpdateOutcome::StillUnknown { .. }), "{outcome:?}");
    assert_eq!(stored(&store.faults()), Tokens(vec![1]));
}

#[tokio::test(start_paused = true)]
async fn an_update_in_an_outage_until_the_deadline_is_not_applied() {
    let store = MemoryStore::default();
    store.faults().set_outage(true);
    let outcome = add(&store, &Writer::new("entry"), 1).await;
    assert!(matches!(outcome, UpdateOutcome::NotApplied(NotApplied::Unavailable(_))));
}

#[tokio::test(start_paused = true)]
async fn stale_reads_do_not_cause_a_second_write() {
    let store = MemoryStore::default();
    let writer = Writer::new("entry");
    add(&store, &writer, 1).await;
    store.faults().set_stale_reads(Some(1));
    store.faults().plan_writes([Some(WriteFault::LostAnswer)]);
    let fresh = async {
        sleep(Duration::from_secs(3)).await;
        store.faults().set_stale_reads(None);
    };
    let (outcome, ()) = tokio::join!(add(&store, &writer, 2), fresh);
    assert!(matches!(outcome, UpdateOutcome::Applied { .. }), "{outcome:?}");
    assert_eq!(stored(&store.faults()), Tokens(vec![1, 2]));
}

#[tokio::test(start_paused = true)]
async fn a_write_beyond_the_log_stays_unknown() {
    let store = MemoryStore::default();
    let writer = Writer::new("entry");
    add(&store, &writer, 1).await;
    store.faults().plan_writes([Some(WriteFault::LostRequest)]);
    let others = async {
        let current = store.faults().peek(KEY).unwrap();
        let writes = (0..100).fold(WriteLog::default(), |log, _| log.followed_by("other".into()));
        let value = Envelope { value: Tokens(vec![7]), writes }.encode().unwrap();
        store.write(Write::put(KEY, Compare::Revision(current.revision), value)).await.unwrap();
    };
    let (outcome, ()) = tokio::join!(add(&store, &writer, 2), others);
    assert!(matches!(outcome, UpdateOutcome::StillUnknown { .. }), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn a_refusal_and_a_large_value_write_nothing() {
    let store = MemoryStore::default();
    let writer = Writer::new("entry");
    let deadline = Instant::now() + DEADLINE;
    let refused: UpdateOutcome<Tokens, &str> =
        update(&store, &writer, KEY, deadline, |_| Err("stale version")).await;
    assert_eq!(refused, UpdateOutcome::NotApplied(NotApplied::Refused("stale version")));
    let large: Outcome = update(&store, &writer, KEY, deadline, |_: Option<&Tokens>| {
        Ok(Tokens(vec![0; VALUE_BYTES_MAX]))
    })
    .await;
    assert!(matches!(large, UpdateOutcome::NotApplied(NotApplied::TooLarge { .. })));
    assert_eq!(store.faults().counts("default").writes, 0);
}
