use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_standin::MemoryStore;
use cassiafold_standin::faults::WriteFault;

use super::{BATCH_WINDOW, Clock, SHARD_COUNT, TaskStore, TaskStoreError, shard_index};
use crate::record::{Claim, Outcome, Resources, Task, TaskState};
use crate::shard::{Loss, TaskKey, TransitionError};
use crate::transition::{Applied, Transition};

const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Copy)]
struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_secs(1_000_000)
    }
}

fn task_store(store: &MemoryStore) -> TaskStore<MemoryStore> {
    TaskStore::start(store.clone(), FixedClock, TIMEOUT)
}

fn task(id: &str, submission: &str) -> Task {
    Task {
        id: id.into(),
        team: "muscat".into(),
        kind: "sweep".into(),
        idempotent: false,
        urgent: false,
        declared: Resources::default(),
        declared_run_time: Duration::from_secs(60),
        cancel_requested: false,
        submission: submission.into(),
        last_ended_claim: None,
        failed_on: Vec::new(),
        state: TaskState::Waiting { not_before: UNIX_EPOCH },
    }
}

fn key() -> TaskKey {
    ("muscat".into(), "sweep-1".into())
}

fn claim(id: &str) -> Transition {
    Transition::Claim(Claim {
        id: id.into(),
        worker: "w1".into(),
        start_before: FixedClock.now() + Duration::from_secs(30),
    })
}

/// Returns the transitions of one run, in order.
fn run() -> [Transition; 3] {
    let outcome = Outcome::Succeeded { output: "ok".into() };
    let finish = Transition::Finish { claim: "c1".into(), outcome };
    [Transition::Submit(task("sweep-1", "s1")), claim("c1"), finish]
}

macro_rules! fault_cases {
    ($($name:ident: $fault:expr, $position:literal;)+) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let store = MemoryStore::default();
            let task_store = task_store(&store);
            for (index, transition) in run().into_iter().enumerate() {
                if index == $position {
                    store.faults().fail_writes(1, $fault);
                }
                assert_eq!(task_store.apply(key(), transition).await, Ok(Applied::Done));
            }
            let stored = task_store.get(&key()).await.unwrap().unwrap();
            let outcome = Outcome::Succeeded { output: "ok".into() };
            assert_eq!(stored.state, TaskState::Finished { outcome, at: FixedClock.now() });
        }
    )+};
}

fault_cases! {
    a_submission_whose_response_is_lost_is_accepted_once: WriteFault::LostAnswer, 0;
    a_claim_whose_response_is_lost_takes_effect: WriteFault::LostAnswer, 1;
    a_report_whose_response_is_lost_takes_effect: WriteFault::LostAnswer, 2;
    a_submission_whose_write_is_lost_is_retried: WriteFault::LostRequest, 0;
    a_claim_whose_write_is_lost_is_retried: WriteFault::LostRequest, 1;
    a_report_whose_write_is_lost_is_retried: WriteFault::LostRequest, 2;
}

#[tokio::test(start_paused = true)]
async fn a_second_submission_with_the_same_id_is_not_stored() {
    let task_store = task_store(&MemoryStore::default());
    assert_eq!(task_store.submit(task("sweep-1", "s1")).await, Ok(Applied::Done));
    assert_eq!(task_store.submit(task("sweep-1", "s2")).await, Ok(Applied::AlreadyExists));
    assert_eq!(&*task_store.get(&key()).await.unwrap().unwrap().submission, "s1");
}

#[tokio::test(start_paused = true)]
async fn a_submission_during_an_outage_fails_and_is_not_stored() {
    let store = MemoryStore::default();
    let task_store = task_store(&store);
    store.faults().set_outage(true);
    assert_eq!(task_store.submit(task("sweep-1", "s1")).await, Err(TaskStoreError::Unavailable));
    store.faults().set_outage(false);
    assert_eq!(task_store.get(&key()).await, Ok(None));
}

#[tokio::test(start_paused = true)]
async fn only_one_of_two_entry_instances_claims_a_task() {
    let store = MemoryStore::default();
    let (first, second) = (task_store(&store), task_store(&store));
    store.faults().set_delay(Duration::from_millis(10));
    first.submit(task("sweep-1", "s1")).await.unwrap();
    let (one, other) =
        tokio::join!(first.apply(key(), claim("c1")), second.apply(key(), claim("c2")));
    let refused = Err(TaskStoreError::Refused(TransitionError::NotClaimable));
    assert!(
        (one == Ok(Applied::Done) && other == refused)
            || (other == Ok(Applied::Done) && one == refused)
    );
}

#[tokio::test(start_paused = true)]
async fn a_repeated_loss_does_not_end_the_next_claim() {
    let store = MemoryStore::default();
    let task_store = task_store(&store);
    task_store.submit(task("sweep-1", "s1")).await.unwrap();
    task_store.apply(key(), claim("c1")).await.unwrap();
    let mark_lost = Transition::MarkLost { claim: "c1".into(), loss: Loss::NeverStarted };
    task_store.apply(key(), mark_lost.clone()).await.unwrap();
    task_store.apply(key(), claim("c2")).await.unwrap();
    assert_eq!(task_store.apply(key(), mark_lost).await, Ok(Applied::Done));
    let state = task_store.get(&key()).await.unwrap().unwrap().state;
    assert!(matches!(state, TaskState::Claimed(claim) if &*claim.id == "c2"));
}

#[tokio::test(start_paused = true)]
async fn many_cancellations_need_at_most_one_write_for_each_shard() {
    const TASKS: usize = 2_000;
    let store = MemoryStore::default();
    let task_store = task_store(&store);
    let submit_all = (0..TASKS).map(|index| {
        let (task_store, id) = (task_store.clone(), format!("t{index}"));
        tokio::spawn(async move { task_store.submit(task(&id, &id)).await })
    });
    for submitted in submit_all.collect::<Vec<_>>() {
        assert_eq!(submitted.await.unwrap(), Ok(Applied::Done));
    }
    let before = store.faults().total_counts().total();
    let cancel_all = (0..TASKS).map(|index| {
        let (task_store, id) = (task_store.clone(), format!("t{index}"));
        tokio::spawn(async move {
            task_store.apply(("muscat".into(), id.as_str().into()), Transition::Cancel).await
        })
    });
    for cancelled in cancel_all.collect::<Vec<_>>() {
        assert_eq!(cancelled.await.unwrap(), Ok(Applied::Done));
    }
    let calls = store.faults().total_counts().total() - before;
    assert!(calls <= 2 * SHARD_COUNT as u64, "{calls} calls");
}

#[tokio::test(start_paused = true)]
async fn transitions_within_the_batch_window_share_writes() {
    const ARRIVAL: Duration = Duration::from_millis(1);
    const TASKS: usize = 200;
    let store = MemoryStore::default();
    let task_store = task_store(&store);
    let ids = (0..).map(|index| format!("t{index}"));
    let same_shard = ids.filter(|id| shard_index(&("muscat".into(), id.as_str().into())) == 0);
    let mut submissions = Vec::new();
    for id in same_shard.take(TASKS) {
        let task_store = task_store.clone();
        submissions.push(tokio::spawn(async move { task_store.submit(task(&id, &id)).await }));
        tokio::time::sleep(ARRIVAL).await;
    }
    for submitted in submissions {
        assert_eq!(submitted.await.unwrap(), Ok(Applied::Done));
    }
    let batches = TASKS as u128 / (BATCH_WINDOW.as_millis() / ARRIVAL.as_millis()) + 1;
    let calls = u128::from(store.faults().total_counts().total());
    assert!(calls <= 2 * batches, "{calls} calls");
}
