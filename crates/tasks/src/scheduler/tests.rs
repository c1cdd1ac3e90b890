use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_config::{TeamId, ZoneId};
use cassiafold_standin::MemoryStore;
use tokio::time::Instant;

use super::{Admission, Scheduler};
use crate::estimate::Usage;
use crate::record::{ClaimId, Outcome, Resources, Task, TaskState, WorkerId};
use crate::shard::TaskKey;
use crate::task_store::{Clock, TaskStore, shard_index};
use crate::worker::{RunState, StartRequest, WorkerClient, WorkerError, WorkerReport};

const LEASE: Duration = Duration::from_secs(20);
const RUN_TIME: Duration = Duration::from_secs(3);
const RUN_TIME_LONG: Duration = Duration::from_secs(40);

/// Clock driven by the paused time of tokio.
#[derive(Clone, Copy)]
struct TestClock(Instant);

impl Clock for TestClock {
    fn now(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_secs(1_000_000) + self.0.elapsed()
    }
}

struct TestAdmission;

impl Admission for TestAdmission {
    fn team_may_start(&self, _team: &TeamId, running: usize) -> bool {
        running < 4
    }

    fn zone_open(&self, zone: &ZoneId) -> bool {
        &**zone != "out"
    }

    fn share(&self, _team: &TeamId) -> u32 {
        1
    }
}

/// Point at which the process that calls the workers crashes or is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crash {
    Never,
    BeforeCall(usize),
    AfterCall(usize),
    /// The process is paused before the call for the given time.
    PauseBeforeCall(usize, Duration),
}

#[derive(Default)]
struct Fleet {
    started: BTreeMap<ClaimId, (StartRequest, Instant)>,
    runs: BTreeMap<String, u32>,
    unreachable: bool,
    run_time: Duration,
}

/// Fake workers that count the runs of each task. Each clone can crash at a different call.
#[derive(Clone)]
struct TestWorkers {
    fleet: Arc<Mutex<Fleet>>,
    clock: TestClock,
    zone: ZoneId,
    crash: Crash,
    calls: Arc<Mutex<usize>>,
}

impl TestWorkers {
    fn new(clock: TestClock) -> Self {
        let fleet = Fleet { run_time: RUN_TIME, ..Fleet::default() };
        let (fleet, calls) = (Arc::new(Mutex::new(fleet)), Arc::default());
        Self { fleet, clock, zone: "a".into(), crash: Crash::Never, calls }
    }

    fn crashing(&self, crash: Crash) -> Self {
        Self { crash, calls: Arc::default(), ..self.clone() }
    }

    async fn call<T>(
        &self,
        effect: impl FnOnce(&mut Fleet) -> Result<T, WorkerError>,
    ) -> Result<T, WorkerError> {
        let number = {
            let mut calls = self.calls.lock().unwrap();
            *calls += 1;
            *calls
        };
        if self.crash == Crash::BeforeCall(number) {
            std::future::pending::<()>().await;
        }
        if let Crash::PauseBeforeCall(paused, time) = self.crash
            && paused == number
        {
            tokio::time::sleep(time).await;
        }
        let result = {
            let mut fleet = self.fleet.lock().unwrap();
            if fleet.unreachable { Err(WorkerError::Unreachable) } else { effect(&mut fleet) }
        };
        if self.crash == Crash::AfterCall(number) {
            std::future::pending::<()>().await;
        }
        result
    }

    fn runs(&self, task: &str) -> u32 {
        self.fleet.lock().unwrap().runs.get(task).copied().unwrap_or(0)
    }
}

impl WorkerClient for TestWorkers {
    async fn list(&self) -> Result<Vec<WorkerReport>, WorkerError> {
        let capacity =
            Resources { processors_milli: 8_000, memory_bytes: 8 << 30, accelerators: 0 };
        let report = |index: usize| WorkerReport {
            id: format!("w{index}").into(),
            zone: self.zone.clone(),
            rack: "r".into(),
            capacity,
            used: Resources::default(),
            counted_claims: Vec::new(),
            accepts: true,
        };
        self.call(|_| Ok((0..4).map(report).collect())).await
    }

    async fn start(&self, start: StartRequest) -> Result<(), WorkerError> {
        self.call(|fleet| {
            if self.clock.now() >= start.start_before {
                return Err(WorkerError::Refused);
            }
            if !fleet.started.contains_key(&start.claim) {
                *fleet.runs.entry(start.task.to_string()).or_default() += 1;
                fleet.started.insert(start.claim.clone(), (start, Instant::now()));
            }
            Ok(())
        })
        .await
    }

    async fn state(&self, _worker: &WorkerId, claim: &ClaimId) -> Result<RunState, WorkerError> {
        self.call(|fleet| {
            let Some((start, at)) = fleet.started.get(claim) else {
                return Ok(RunState::NotStarted);
            };
            if at.elapsed() < fleet.run_time {
                return Ok(RunState::Running);
            }
            let usage = Usage { peak: start.resources, run_time: fleet.run_time };
            Ok(RunState::Succeeded { output: "ok".into(), usage })
        })
        .await
    }

    async fn stop(&self, _worker: &WorkerId, _claim: &ClaimId) -> Result<(), WorkerError> {
        self.call(|_| Ok(())).await
    }

    async fn checkpoint(&self, _worker: &WorkerId, _claim: &ClaimId) -> Result<(), WorkerError> {
        self.call(|_| Ok(())).await
    }

    fn lease_duration(&self) -> Duration {
        LEASE
    }
}

fn task(id: &str, idempotent: bool) -> Task {
    Task {
        id: id.into(),
        team: "muscat".into(),
        kind: "sweep".into(),
        idempotent,
        urgent: false,
        declared: Resources { processors_milli: 1_000, memory_bytes: 1 << 30, accelerators: 0 },
        declared_run_time: RUN_TIME,
        cancel_requested: false,
        submission: id.into(),
        last_ended_claim: None,
        failed_on: Vec::new(),
        state: TaskState::Waiting { not_before: UNIX_EPOCH },
    }
}

fn key(id: &str) -> TaskKey {
    ("muscat".into(), id.into())
}

struct Fixture {
    store: MemoryStore,
    workers: TestWorkers,
    clock: TestClock,
}

impl Fixture {
    fn new() -> Self {
        let clock = TestClock(Instant::now());
        Self { store: MemoryStore::default(), workers: TestWorkers::new(clock), clock }
    }

    fn task_store(&self) -> TaskStore<MemoryStore> {
        TaskStore::start(self.store.clone(), self.clock, Duration::from_secs(2))
    }

    async fn run(&self, id: &str, crash: Crash, time: Duration) {
        let workers = self.workers.crashing(crash);
        let mut scheduler = Scheduler::new(self.task_store(), workers, self.clock);
        let shard = shard_index(&key(id));
        let rounds = async {
            loop {
                let _ = scheduler.run_round(std::iter::once(shard), &TestAdmission).await;
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        };
        let _ = tokio::time::timeout(time, rounds).await;
    }

    async fn state(&self, id: &str) -> TaskState {
        self.task_store().get(&key(id)).await.unwrap().unwrap().state
    }
}

fn succeeded(state: &TaskState) -> bool {
    matches!(state, TaskState::Finished { outcome: Outcome::Succeeded { .. }, .. })
}

/// Upper bound of the calls to workers for one task, from its placement to its end.
const CALLS: usize = 8;

#[tokio::test(start_paused = true)]
async fn a_crash_at_any_call_to_a_worker_leaves_exactly_one_run() {
    for idempotent in [false, true] {
        for number in 1..=CALLS {
            for crash in [Crash::BeforeCall(number), Crash::AfterCall(number)] {
                let fixture = Fixture::new();
                fixture.task_store().submit(task("t", idempotent)).await.unwrap();
                fixture.run("t", crash, Duration::from_secs(5)).await;
                fixture.run("t", Crash::Never, Duration::from_secs(60)).await;
                let state = fixture.state("t").await;
                assert!(succeeded(&state), "{crash:?}: {state:?}");
                assert_eq!(fixture.workers.runs("t"), 1, "{crash:?}");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn two_concurrent_schedulers_run_each_task_once() {
    let fixture = Fixture::new();
    fixture.store.faults().set_delay(Duration::from_millis(7));
    fixture.task_store().submit(task("t", false)).await.unwrap();
    let time = Duration::from_secs(20);
    tokio::join!(fixture.run("t", Crash::Never, time), fixture.run("t", Crash::Never, time));
    assert!(succeeded(&fixture.state("t").await));
    assert_eq!(fixture.workers.runs("t"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_scheduler_paused_at_any_call_does_not_run_a_task_twice() {
    let short = super::START_TIMEOUT - Duration::from_secs(2);
    let long = super::START_TIMEOUT + super::CLOCK_SKEW_MAX + Duration::from_secs(1);
    for (number, pause) in (1..=CALLS).flat_map(|number| [(number, short), (number, long)]) {
        for run_time in [RUN_TIME, RUN_TIME_LONG] {
            let crash = Crash::PauseBeforeCall(number, pause);
            let fixture = Fixture::new();
            fixture.workers.fleet.lock().unwrap().run_time = run_time;
            fixture.task_store().submit(task("t", false)).await.unwrap();
            let time = Duration::from_secs(90);
            let paused = fixture.run("t", crash, time);
            let other = async {
                tokio::time::sleep(Duration::from_millis(500)).await;
                fixture.run("t", Crash::Never, time).await;
            };
            tokio::join!(paused, other);
            assert!(succeeded(&fixture.state("t").await), "{crash:?}");
            assert_eq!(fixture.workers.runs("t"), 1, "{crash:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_left_by_a_crash_is_started_before_it_expires() {
    let fixture = Fixture::new();
    fixture.task_store().submit(task("t", false)).await.unwrap();
    fixture.run("t", Crash::BeforeCall(2), Duration::from_secs(1)).await;
    assert!(matches!(fixture.state("t").await, TaskState::Claimed(_)));
    fixture.run("t", Crash::Never, super::START_TIMEOUT).await;
    assert!(succeeded(&fixture.state("t").await));
}

#[tokio::test(start_paused = true)]
async fn a_task_that_is_not_idempotent_ends_unknown_when_its_worker_stays_unreachable() {
    let fixture = Fixture::new();
    fixture.task_store().submit(task("t", false)).await.unwrap();
    fixture.run("t", Crash::Never, Duration::from_secs(1)).await;
    fixture.workers.fleet.lock().unwrap().unreachable = true;
    fixture.run("t", Crash::Never, LEASE).await;
    assert!(matches!(fixture.state("t").await, TaskState::Claimed(_)));
    fixture.run("t", Crash::Never, 3 * LEASE).await;
    let state = fixture.state("t").await;
    assert!(matches!(state, TaskState::Finished { outcome: Outcome::Unknown, .. }), "{state:?}");
    fixture.workers.fleet.lock().unwrap().unreachable = false;
    fixture.run("t", Crash::Never, 3 * LEASE).await;
    assert_eq!(fixture.workers.runs("t"), 1);
}

#[tokio::test(start_paused = true)]
async fn no_task_starts_in_a_closed_zone() {
    let mut fixture = Fixture::new();
    fixture.workers.zone = "out".into();
    fixture.task_store().submit(task("t", true)).await.unwrap();
    fixture.run("t", Crash::Never, Duration::from_secs(20)).await;
    assert!(matches!(fixture.state("t").await, TaskState::Waiting { .. }));
    assert_eq!(fixture.workers.runs("t"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_task_that_exceeds_every_worker_ends_as_unschedulable() {
    let fixture = Fixture::new();
    let mut large = task("t", true);
    large.declared.accelerators = 1;
    fixture.task_store().submit(large).await.unwrap();
    fixture.run("t", Crash::Never, Duration::from_secs(5)).await;
    let state = fixture.state("t").await;
    assert!(matches!(state, TaskState::Finished { outcome: Outcome::Unschedulable, .. }));
}
