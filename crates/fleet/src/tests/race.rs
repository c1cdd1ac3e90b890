//! Two controllers on one store that both believe that they hold control: they run concurrently,
//! one is paused during a round, responses are lost, the store is unavailable.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use cassiafold_config::{Config, InstanceId};
use cassiafold_platform::{Change, Envelope, ListedInstance, Store, Watch};
use cassiafold_standin::faults::WriteFault;
use cassiafold_standin::{MemoryInstances, MemoryStore};
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof};
use proptest::test_runner::{Config as RunnerConfig, RngSeed, TestRunner};
use tokio::time::sleep;

use crate::controller::Controller;
use crate::document::{DOCUMENT_KEY, FleetDocument, Phase, Symptom};
use crate::environment::Environment;
use crate::handle::FleetHandle;
use crate::policy::Policy;
use crate::tests::fixture::{Layout, config, listed, monday};
use crate::tests::schedule::broken_by_plan;
use crate::view::{ListedInstances, Observations};

const LAYOUT: Layout = Layout { zones: 3, services: 2, per_service: 8, spare: 2, floor_share: 0.6 };

/// Conditions of the whole fleet.
#[derive(Debug, Clone, Default)]
pub(crate) struct Conditions {
    pub failing: BTreeSet<InstanceId>,
    elapsed: Duration,
}

/// Dependencies of one controller.
pub(crate) struct TestEnvironment {
    store: MemoryStore,
    instances: MemoryInstances,
    config: Arc<Config>,
    conditions: Arc<Mutex<Conditions>>,
    handle: FleetHandle,
}

impl Environment for TestEnvironment {
    type Store = MemoryStore;
    type List = MemoryInstances;
    type Control = MemoryInstances;

    fn store(&self) -> &MemoryStore {
        &self.store
    }

    fn list(&self) -> &MemoryInstances {
        &self.instances
    }

    fn control(&self) -> &MemoryInstances {
        &self.instances
    }

    fn config(&self) -> Option<Arc<Config>> {
        Some(self.config.clone())
    }

    fn observations(&self) -> Option<Observations> {
        let conditions = self.conditions.lock().expect("no test panics while it holds the lock");
        let failing = conditions.failing.iter().map(|id| (id.clone(), Symptom::Unreachable));
        let confirmed = self.handle.load().number();
        Some(Observations { confirmed, symptoms: failing.collect(), ..Observations::default() })
    }

    async fn send_trial_request(&self, instance: &ListedInstance) -> bool {
        let conditions = self.conditions.lock().expect("no test panics while it holds the lock");
        !conditions.failing.contains(&instance.id)
    }

    fn holds_control(&self) -> bool {
        true
    }

    fn now(&self) -> SystemTime {
        monday() + self.conditions.lock().expect("no test panics while it holds the lock").elapsed
    }
}

#[derive(Debug, Clone)]
enum Action {
    Round(bool),
    Race,
    /// The first controller is paused during its round while the other one continues.
    Pause(u64),
    FailWrite(WriteFault),
    Outage,
    Fail(Vec<usize>),
    Recover,
    Wait(u64),
}

fn action() -> impl Strategy<Value = Action> {
    let faults = prop_oneof![
        Just(WriteFault::LostAnswer),
        Just(WriteFault::LostRequest),
        (1_u64..5_000).prop_map(|wait| WriteFault::Late(Duration::from_millis(wait))),
    ];
    prop_oneof![
        any::<bool>().prop_map(Action::Round),
        Just(Action::Race),
        Just(Action::Race),
        (1_u64..20).prop_map(Action::Pause),
        faults.prop_map(Action::FailWrite),
        Just(Action::Outage),
        prop::collection::vec(0_usize..18, 1..3).prop_map(Action::Fail),
        Just(Action::Recover),
        (1_u64..300).prop_map(Action::Wait),
    ]
}

pub(crate) struct Race {
    pub first: Controller<TestEnvironment>,
    pub second: Controller<TestEnvironment>,
    pub store: MemoryStore,
    pub instances: MemoryInstances,
    conditions: Arc<Mutex<Conditions>>,
    config: Arc<Config>,
    listed: ListedInstances,
    /// Conditions since the last document was written.
    recent_conditions: Vec<Conditions>,
    document: FleetDocument,
    revision: u64,
    /// Request ids of all steps whose reboot was decided.
    reboots: BTreeSet<Arc<str>>,
}

impl Race {
    pub fn new() -> Self {
        let store = MemoryStore::default();
        let instances = MemoryInstances::default();
        let listed = listed(&LAYOUT);
        listed.values().for_each(|instance| instances.put(instance.clone()));
        let unpaused = |raw: &mut cassiafold_config::raw::RawConfig| {
            raw.waves.get_mut("w").expect("the wave exists").paused = false;
        };
        let config = Arc::new(config(&LAYOUT, unpaused));
        let conditions = Arc::new(Mutex::new(Conditions::default()));
        let controller = |name: &str| {
            let handle = FleetHandle::default();
            let client = store.client(name);
            let (watching_handle, watched_store) = (handle.clone(), client.clone());
            tokio::spawn(async move { watching_handle.watch_store(watched_store).await });
            let environment = TestEnvironment {
                store: client,
                instances: instances.clone(),
                config: config.clone(),
                conditions: conditions.clone(),
                handle: handle.clone(),
            };
            let policy = Policy { maintenance_share_max: 1.0, pause_min: 4, ..Policy::default() };
            Controller::new(environment, policy, name.into(), handle)
        };
        Self {
            first: controller("a"),
            second: controller("b"),
            store,
            instances,
            recent_conditions: vec![Conditions::default()],
            conditions,
            config,
            listed,
            document: FleetDocument::default(),
            revision: 0,
            reboots: BTreeSet::new(),
        }
    }

    pub fn change_conditions(&mut self, change: impl FnOnce(&mut Conditions)) {
        let mut conditions =
            self.conditions.lock().expect("no test panics while it holds the lock");
        change(&mut conditions);
        self.recent_conditions.push(conditions.clone());
    }

    async fn apply(&mut self, action: &Action) {
        match action {
            Action::Round(true) => drop(self.first.round().await),
            Action::Round(false) => drop(self.second.round().await),
            Action::Race => {
                tokio::join!(self.first.round(), self.second.round());
            }
            Action::Pause(seconds) => self.pause(Duration::from_secs(*seconds)).await,
            Action::FailWrite(fault) => self.store.faults().fail_writes(1, *fault),
            Action::Outage => {
                self.store.faults().set_outage(true);
                tokio::join!(self.first.round(), self.second.round());
                self.store.faults().set_outage(false);
                sleep(Duration::from_secs(1)).await;
            }
            Action::Fail(numbers) => {
                let ids: Vec<InstanceId> = self.listed.keys().cloned().collect();
                let affected = numbers.iter().map(|number| ids[number % ids.len()].clone());
                self.change_conditions(|conditions| conditions.failing.extend(affected));
            }
            Action::Recover => self.change_conditions(|conditions| conditions.failing.clear()),
            Action::Wait(seconds) => self.wait(Duration::from_secs(*seconds)).await,
        }
        self.check().await;
    }

    /// Advances the wall clock and the monotonic clock.
    pub async fn wait(&mut self, time: Duration) {
        self.change_conditions(|conditions| conditions.elapsed += time);
        sleep(time).await;
    }

    /// Delays the store calls of the first controller's round, so that the other controller writes
    /// in between.
    async fn pause(&mut self, pause: Duration) {
        self.store.faults().set_delay(Duration::from_millis(900));
        let faults = self.store.faults();
        let second = async {
            sleep(Duration::from_millis(500)).await;
            faults.set_delay(Duration::ZERO);
            self.second.round().await;
            sleep(pause).await;
            self.second.round().await;
        };
        tokio::join!(self.first.round(), second);
    }

    /// Checks every document that was written since the last check.
    async fn check(&mut self) {
        let record = self.store.faults().peek(DOCUMENT_KEY);
        if record.is_none_or(|record| record.revision <= self.revision) {
            return;
        }
        let mut watch =
            self.store.watch(DOCUMENT_KEY, self.revision).await.expect("the store is up");
        let changes = watch.next().await.expect("the store is up");
        watch.close();
        for change in changes {
            self.check_change(change);
        }
        self.recent_conditions.drain(..self.recent_conditions.len() - 1);
        self.check_reboots();
    }

    fn check_change(&mut self, change: Change) {
        let record = change.record.expect("the document is never removed");
        let envelope = Envelope::<FleetDocument>::decode(&record.value);
        let document = envelope.expect("the document is well formed").value;
        assert_eq!(document.number, self.document.number + 1);
        let within_budgets = self
            .recent_conditions
            .iter()
            .any(|conditions| self.within_budgets(&document, &conditions.failing));
        assert!(within_budgets, "document {} breaks a budget", document.number);
        for (id, placement) in &document.placements {
            if let Some(step) = placement.step.as_ref().filter(|step| step.phase != Phase::Draining)
            {
                self.reboots.insert(step.request_id(id));
            }
        }
        self.revision = change.revision;
        self.document = document;
    }

    fn within_budgets(&self, document: &FleetDocument, failing: &BTreeSet<InstanceId>) -> bool {
        let before = &self.document;
        broken_by_plan(&self.config, &self.listed, failing, before, document).is_none()
    }

    /// Checks that each reboot was decided in a stored document and requested only once.
    fn check_reboots(&self) {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for reboot in self.instances.reboots() {
            *counts.entry(reboot.request_id.to_string()).or_default() += 1;
        }
        for (request_id, count) in counts {
            assert!(self.reboots.contains(&*request_id), "{request_id} was never decided");
            assert_eq!(count, 1, "{request_id}");
        }
    }
}

fn run(actions: &[Action]) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        let mut race = Race::new();
        for action in actions {
            race.apply(action).await;
        }
        race.reboots.len()
    })
}

#[test]
fn racing_controllers_break_no_budget_and_repeat_no_reboot() {
    let config = RunnerConfig {
        rng_seed: RngSeed::Fixed(53),
        cases: 150,
        failure_persistence: None,
        ..RunnerConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let reboots = std::cell::Cell::new(0);
    let result = runner.run(&prop::collection::vec(action(), 1..60), |actions| {
        reboots.set(reboots.get() + run(&actions));
        Ok(())
    });
    result.expect("no schedule breaks a budget");
    assert!(reboots.get() > 100, "only {} reboots were decided", reboots.get());
}

#[test]
fn racing_controllers_finish_the_wave() {
    let actions: Vec<Action> = (0..400).flat_map(|_| [Action::Race, Action::Wait(20)]).collect();
    assert!(run(&actions) >= 18);
}
