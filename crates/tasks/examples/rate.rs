//! Measures the load that stored tasks put on the key-value service, by rate of tasks.
//!
//! Each task is submitted, claimed and finished. Time is simulated. Prints one JSON object per rate
//! with the number of calls and of stored bytes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_platform::Store;
use cassiafold_standin::MemoryStore;
use cassiafold_tasks::task_store::{Clock, SHARD_COUNT, TaskStore};
use cassiafold_tasks::{Claim, Outcome, Resources, Task, TaskKey, TaskState, Transition};
use serde_json::json;

const RATES_PER_S: [u32; 6] = [1, 10, 50, 100, 200, 400];
const DURATION: Duration = Duration::from_secs(10);
const STORE_DELAY: Duration = Duration::from_millis(3);
const TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy)]
struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_secs(1_000_000)
    }
}

fn task(index: u32) -> Task {
    Task {
        id: format!("sweep-{index:08}").into(),
        team: format!("branch-{:03}", index % 200).into(),
        kind: "tolerance-sweep".into(),
        idempotent: true,
        urgent: false,
        declared: Resources { processors_milli: 4_000, memory_bytes: 8 << 30, accelerators: 1 },
        declared_run_time: Duration::from_secs(600),
        cancel_requested: false,
        submission: format!("{index:016x}").into(),
        last_ended_claim: None,
        failed_on: Vec::new(),
        state: TaskState::Waiting { not_before: UNIX_EPOCH },
    }
}

async fn run_task(task_store: TaskStore<MemoryStore>, index: u32) {
    let task = task(index);
    let key: TaskKey = (task.team.clone(), task.id.clone());
    let claim = Claim {
        id: format!("{index:016x}").into(),
        worker: "worker-001".into(),
        start_before: FixedClock.now() + Duration::from_secs(10),
    };
    let outcome = Outcome::Succeeded { output: "ok".into() };
    let finish = Transition::Finish { claim: claim.id.clone(), outcome };
    for transition in [Transition::Submit(task), Transition::Claim(claim), finish] {
        task_store.apply(key.clone(), transition).await.expect("the store answers");
    }
}

async fn measure(rate_per_s: u32) {
    let store = MemoryStore::default();
    store.faults().set_delay(STORE_DELAY);
    let task_store = TaskStore::start(store.clone(), FixedClock, TIMEOUT);
    let mut arrivals = tokio::time::interval(Duration::from_secs(1) / rate_per_s);
    let tasks = rate_per_s * DURATION.as_secs() as u32;
    let mut running = Vec::new();
    for index in 0..tasks {
        arrivals.tick().await;
        running.push(tokio::spawn(run_task(task_store.clone(), index)));
    }
    for run in running {
        run.await.expect("the task ends");
    }
    let calls = store.faults().total_counts().total();
    let stored = store.list("cassiafold/tasks/").await.expect("the store answers");
    let bytes: usize = stored.records.iter().map(|record| record.value.len()).sum();
    let line = json!({
        "measure": "tasks_store_load",
        "tasks_per_s": rate_per_s,
        "store_calls_per_s": calls as f64 / DURATION.as_secs_f64(),
        "store_calls_per_task": calls as f64 / f64::from(tasks),
        "stored_bytes_per_task": bytes as f64 / f64::from(tasks),
        "shards": SHARD_COUNT,
    });
    println!("{line}");
}

#[tokio::main(flavor = "current_thread", start_paused = true)]
async fn main() {
    for rate_per_s in RATES_PER_S {
        measure(rate_per_s).await;
    }
}
