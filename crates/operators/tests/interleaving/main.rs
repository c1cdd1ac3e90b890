//! Runs concurrent patches in every interleaving of their store calls, with call faults, a restored
//! store and restarts of the entry instance.
//!
//! Guards against accepted changes that are lost, version numbers that are reused and responses
//! that do not match what was stored.

mod explorer;
mod store;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::raw::{CURRENT_KEY, RawConfig};
use cassiafold_config::{ActiveConfig, Config, Patch};
use cassiafold_operators::{ConfigStore, PatchError, PatchOutcome, PatchRequest};
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::explorer::Explorer;
use crate::store::{CallOutcome, SteppedStore};

/// Timeout of a patch in paused time, longer than any run.
const RUN_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Wait until all operators are blocked on a store call; longer than any retry delay.
const RETRY_WAIT: Duration = Duration::from_secs(1);
const BASE_VERSION: u64 = 3;
const CURRENT: &str = CURRENT_KEY;

type PatchResult = Result<PatchOutcome, PatchError>;

/// A configuration of operators and faults, of which every interleaving is run.
#[derive(Clone, Copy)]
struct Case {
    /// Number of operators that patch the same version, each at a separate entry instance.
    operators: usize,
    /// Highest number of writes that fail.
    faults: usize,
    /// Possible outcomes of a failed write.
    fault_outcomes: &'static [CallOutcome],
    /// Whether the store may be restored to its initial state once, at any point.
    rollback: bool,
    /// Whether each operator repeats its request after a restart, as if the first response was
    /// lost.
    repeat: bool,
}

fn base_config() -> Config {
    let raw = json!({
        "version": BASE_VERSION,
        "write_id": "seed",
        "zones": {}, "services": {}, "pools": {},
        "teams": {"t": {"share": 1, "upper_limit": 1}},
    });
    Config::try_from(serde_json::from_value::<RawConfig>(raw).expect("valid configuration"))
        .expect("valid configuration")
}

fn request(operator: usize) -> PatchRequest {
    let pool = format!("p{operator}");
    PatchRequest {
        base_version: BASE_VERSION,
        patch: Patch::Merge(json!({"pools": {pool: {}}})),
        write_id: format!("w{operator}"),
        operator: "ana".into(),
        unix_s: 1,
        known_version: BASE_VERSION,
    }
}

async fn patch(
    store: SteppedStore,
    active: ActiveConfig,
    operator: usize,
    repeat: bool,
) -> PatchResult {
    let entry = ConfigStore::new(store.clone(), active);
    let deadline = Instant::now() + RUN_TIMEOUT;
    let first = entry.patch(&request(operator), deadline).await;
    if !repeat {
        return first;
    }
    let restarted = ConfigStore::new(store, ActiveConfig::default());
    restarted.patch(&request(operator), deadline).await
}

/// Run of one interleaving.
struct Run<'a> {
    case: Case,
    rolled_back: bool,
    store: SteppedStore,
    /// Configuration in force at the entry instance of each operator.
    actives: Vec<ActiveConfig>,
    /// Versions that were in force at any entry instance, with their write ids.
    in_force: BTreeSet<(u64, String)>,
    explorer: &'a mut Explorer,
}

impl Run<'_> {
    /// Runs the operators and returns their results.
    async fn run_operators(&mut self) -> Vec<PatchResult> {
        let tasks: Vec<JoinHandle<PatchResult>> = self
            .actives
            .iter()
            .enumerate()
            .map(|(operator, active)| {
                let (store, active) = (self.store.client(operator), active.clone());
                tokio::spawn(patch(store, active, operator, self.case.repeat))
            })
            .collect();
        loop {
            tokio::time::sleep(RETRY_WAIT).await;
            self.record_in_force();
            let running = tasks.iter().filter(|task| !task.is_finished()).count();
            if running == 0 {
                break;
            }
            if self.store.waiting() == running {
                self.step();
            }
        }
        let mut results = Vec::new();
        for task in tasks {
            results.push(task.await.expect("task does not panic"));
        }
        results
    }

    /// Records the versions that are in force.
    fn record_in_force(&mut self) {
        let configs = self.actives.iter().filter_map(ActiveConfig::load);
        self.in_force.extend(configs.map(|config| (config.version, config.write_id.clone())));
    }

    /// Restores the store, applies a delayed write or completes a waiting call, as the explorer
    /// chooses.
    fn step(&mut self) {
        if self.case.rollback && self.explorer.choose(2) == 1 {
            self.case.rollback = false;
            return self.roll_back();
        }
        let delayed_options = usize::from(self.store.delayed_writes() > 0);
        let index = self.explorer.choose(self.store.waiting() + delayed_options);
        if index == self.store.waiting() {
            return self.store.apply_delayed_write();
        }
        let mut outcome = CallOutcome::Completed;
        if self.case.faults > 0 && self.store.is_write(index) {
            let choice = self.explorer.choose(self.case.fault_outcomes.len() + 1);
            if choice > 0 {
                self.case.faults -= 1;
                outcome = self.case.fault_outcomes[choice - 1];
            }
        }
        self.store.release(index, outcome);
    }

    /// Restores the initial state of the store.
    ///
    /// A restore takes longer than the timeout of a call and the distribution of a configuration,
    /// so pending calls are lost and the entry instances have the same version before it.
    fn roll_back(&mut self) {
        self.rolled_back = true;
        while self.store.waiting() > 0 {
            self.store.release(0, CallOutcome::RequestLost);
        }
        self.sync_configs();
        self.store.roll_back(self.store.writes().len() - 1);
    }

    /// Offers the configuration of each entry instance to all others.
    fn sync_configs(&self) {
        let configs: Vec<_> = self.actives.iter().filter_map(ActiveConfig::load).collect();
        for active in &self.actives {
            for config in &configs {
                active.offer(config.clone());
            }
        }
    }

    /// Makes one more version from the newest one and returns the stored configuration.
    async fn next_config(&mut self) -> RawConfig {
        while self.store.delayed_writes() > 0 {
            self.store.apply_delayed_write();
        }
        self.sync_configs();
        let entry = ConfigStore::new(self.store.clone(), self.actives[0].clone());
        let task = tokio::spawn(async move {
            let deadline = Instant::now() + RUN_TIMEOUT;
            let newest =
                entry.newest().await.expect("store responds").expect("a version exists").version;
            let request =
                PatchRequest { base_version: newest, known_version: newest, ..request(9) };
            entry.patch(&request, deadline).await
        });
        while !task.is_finished() {
            tokio::time::sleep(RETRY_WAIT).await;
            if self.store.waiting() > 0 {
                self.store.release(0, CallOutcome::Completed);
            }
        }
        assert!(matches!(
            task.await.expect("task does not panic"),
            Ok(PatchOutcome::Accepted { .. })
        ));
        self.record_in_force();
        stored_configs(&self.store).pop().expect("a version is stored").1
    }
}

/// Returns every stored configuration with its write id, in the order of the writes.
fn stored_configs(store: &SteppedStore) -> Vec<(String, RawConfig)> {
    let writes = store.writes().into_iter().filter(|(key, _)| &**key == CURRENT);
    let configs = writes.map(|(_, value)| {
        serde_json::from_slice::<RawConfig>(&value).expect("valid configuration")
    });
    configs.map(|config| (config.write_id.clone(), config)).collect()
}

/// Checks the results of a run: no version number was reused, each accepted change is part of the
/// `last` version, and each stale patch made no version that took effect.
fn check(run: &Run<'_>, results: &[PatchResult], last: &RawConfig) {
    let stored = stored_configs(&run.store);
    let versions: BTreeSet<u64> = run.in_force.iter().map(|(version, _)| *version).collect();
    assert_eq!(versions.len(), run.in_force.len(), "a version was reused: {:?}", run.in_force);
    assert_eq!(versions.last(), Some(&last.version));
    for (operator, result) in results.iter().enumerate() {
        let made = stored.iter().filter(|(write_id, _)| *write_id == format!("w{operator}"));
        // The same write may be stored again when the store was restored to a state before it.
        let made: BTreeSet<u64> = made.map(|(_, config)| config.version).collect();
        let is_present = last.pools.contains_key(format!("p{operator}").as_str());
        match result {
            Ok(PatchOutcome::Accepted { version, .. }) => {
                assert_eq!(made, BTreeSet::from([*version]));
                assert!(is_present, "an accepted change was lost");
            }
            Ok(PatchOutcome::Stale { current }) => {
                // A restore may revert a write that was not yet in force at any entry instance.
                let took_effect = |version: &u64| match run.rolled_back {
                    true => run.in_force.contains(&(*version, format!("w{operator}"))),
                    false => true,
                };
                assert!(!made.iter().any(took_effect), "stale patch made versions {made:?}");
                assert!(!is_present && *current > BASE_VERSION);
            }
            other => panic!("unexpected result {other:?}"),
        }
    }
}

/// Runs every interleaving of a case and returns their number.
async fn explore(case: Case) -> usize {
    let mut explorer = Explorer::default();
    let mut runs = 0;
    let seed = serde_json::to_vec(&RawConfig::from(&base_config())).expect("valid configuration");
    loop {
        let store = SteppedStore::default();
        store.put_now(CURRENT, seed.clone().into());
        let actives = (0..case.operators).map(|_| ActiveConfig::default()).collect();
        let in_force = BTreeSet::new();
        let mut run =
            Run { case, rolled_back: false, store, actives, in_force, explorer: &mut explorer };
        for active in &run.actives {
            active.offer(Arc::new(base_config()));
        }
        let results = run.run_operators().await;
        let last = run.next_config().await;
        check(&run, &results, &last);
        let accepted =
            results.iter().filter(|result| matches!(result, Ok(PatchOutcome::Accepted { .. })));
        assert_eq!(accepted.count(), 1, "exactly one patch is accepted: {results:?}");
        runs += 1;
        if !explorer.advance() {
            return runs;
        }
    }
}

macro_rules! cases {
    ($($name:ident: $case:expr => $runs:expr;)+) => {
        $(#[tokio::test(start_paused = true)]
        async fn $name() {
            let runs = explore($case).await;
            assert_eq!(runs, $runs, "number of interleavings");
        })+
    };
}

const RESPONSE_LOST: &[CallOutcome] = &[CallOutcome::ResponseLost];
const LOST: &[CallOutcome] = &[CallOutcome::ResponseLost, CallOutcome::RequestLost];
const DELAYED: &[CallOutcome] = &[CallOutcome::Delayed];
const ANY_FAULT: &[CallOutcome] =
    &[CallOutcome::ResponseLost, CallOutcome::RequestLost, CallOutcome::Refused];
const RACE: Case =
    Case { operators: 2, faults: 0, fault_outcomes: ANY_FAULT, rollback: false, repeat: false };

cases! {
    two_operators_race: RACE => 20;
    two_operators_race_and_two_responses_or_requests_are_lost:
        Case { faults: 2, fault_outcomes: LOST, ..RACE } => 6092;
    two_operators_race_and_a_write_is_delayed:
        Case { faults: 1, fault_outcomes: DELAYED, ..RACE } => 2174;
    one_operator_and_four_writes_fail: Case { operators: 1, faults: 4, ..RACE } => 616;
    operators_repeat_requests_after_a_restart: Case { repeat: true, faults: 1, ..RACE } => 5816;
    store_is_restored_at_any_point: Case { rollback: true, faults: 1, fault_outcomes: RESPONSE_LOST, ..RACE } => 4850;
    store_is_restored_while_requests_are_repeated:
        Case { operators: 1, rollback: true, repeat: true, faults: 2, ..RACE } => 364;
}
