//! All interleavings of the store calls of racing operators, with faults, rollback and restart.

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
use crate::store::{Fate, SteppedStore};

/// Longer than every run, in paused time.
const DEADLINE: Duration = Duration::from_secs(3_600);
/// Longer than the delay of every retry.
const SETTLED: Duration = Duration::from_secs(1);
const BASE_VERSION: u64 = 3;
const CURRENT: &str = CURRENT_KEY;

type Answer = Result<PatchOutcome, PatchError>;

/// A small case, of which every interleaving is run.
#[derive(Clone, Copy)]
struct Case {
    /// Operators that patch the same version, each at an entry instance of its own.
    operators: usize,
    /// Writes that may be hit by a fault.
    faults: usize,
    /// What a faulty call may come to, besides an answer.
    fates: &'static [Fate],
    /// Whether the store may be restored as of its start at any one moment.
    rollback: bool,
    /// Whether each operator repeats a request whose first answer never reached it.
    repeat: bool,
}

fn base() -> Config {
    let raw = json!({
        "version": BASE_VERSION,
        "write_id": "seed",
        "zones": {}, "services": {}, "pools": {},
        "teams": {"t": {"share": 1, "upper_limit": 1}},
    });
    Config::try_from(serde_json::from_value::<RawConfig>(raw).expect("a configuration"))
        .expect("a configuration")
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

async fn patch(store: SteppedStore, active: ActiveConfig, operator: usize, twice: bool) -> Answer {
    let entry = ConfigStore::new(store.clone(), active);
    let deadline = Instant::now() + DEADLINE;
    let first = entry.patch(&request(operator), deadline).await;
    if !twice {
        return first;
    }
    let restarted = ConfigStore::new(store, ActiveConfig::default());
    restarted.patch(&request(operator), deadline).await
}

/// A run of one interleaving.
struct Run<'a> {
    case: Case,
    rolled_back: bool,
    store: SteppedStore,
    actives: Vec<ActiveConfig>,
    /// Versions that were in force at an entry instance, with their write ids.
    in_force: BTreeSet<(u64, String)>,
    explorer: &'a mut Explorer,
}

impl Run<'_> {
    /// Runs the operators and returns their answers.
    async fn operators(&mut self) -> Vec<Answer> {
        let tasks: Vec<JoinHandle<Answer>> = self
            .actives
            .iter()
            .enumerate()
            .map(|(operator, active)| {
                let (store, active) = (self.store.client(operator), active.clone());
                tokio::spawn(patch(store, active, operator, self.case.repeat))
            })
            .collect();
        loop {
            tokio::time::sleep(SETTLED).await;
            self.observe();
            let running = tasks.iter().filter(|task| !task.is_finished()).count();
            if running == 0 {
                break;
            }
            if self.store.waiting() == running {
                self.step();
            }
        }
        let mut answers = Vec::new();
        for task in tasks {
            answers.push(task.await.expect("no panic"));
        }
        answers
    }

    fn observe(&mut self) {
        let configs = self.actives.iter().filter_map(ActiveConfig::load);
        self.in_force.extend(configs.map(|config| (config.version, config.write_id.clone())));
    }

    fn step(&mut self) {
        if self.case.rollback && self.explorer.choose(2) == 1 {
            self.case.rollback = false;
            return self.roll_back();
        }
        let late = usize::from(self.store.late() > 0);
        let index = self.explorer.choose(self.store.waiting() + late);
        if index == self.store.waiting() {
            return self.store.arrive();
        }
        let mut fate = Fate::Answered;
        if self.case.faults > 0 && self.store.is_write(index) {
            let choice = self.explorer.choose(self.case.fates.len() + 1);
            if choice > 0 {
                self.case.faults -= 1;
                fate = self.case.fates[choice - 1];
            }
        }
        self.store.release(index, fate);
    }

    /// Restores the store as it was at the start. That takes longer than the timeout of a call
    /// and the spread of a configuration between entry instances.
    fn roll_back(&mut self) {
        self.rolled_back = true;
        while self.store.waiting() > 0 {
            self.store.release(0, Fate::RequestLost);
        }
        self.spread();
        self.store.roll_back(self.store.writes().len() - 1);
    }

    fn spread(&self) {
        let configs: Vec<_> = self.actives.iter().filter_map(ActiveConfig::load).collect();
        for active in &self.actives {
            for config in &configs {
                active.offer(config.clone());
            }
        }
    }

    /// Makes one more version from the newest one.
    async fn next_config(&mut self) -> RawConfig {
        while self.store.late() > 0 {
            self.store.arrive();
        }
        self.spread();
        let entry = ConfigStore::new(self.store.clone(), self.actives[0].clone());
        let task = tokio::spawn(async move {
            let deadline = Instant::now() + DEADLINE;
            let newest = entry.newest().await.expect("an answer").expect("a version").version;
            let request =
                PatchRequest { base_version: newest, known_version: newest, ..request(9) };
            entry.patch(&request, deadline).await
        });
        while !task.is_finished() {
            tokio::time::sleep(SETTLED).await;
            if self.store.waiting() > 0 {
                self.store.release(0, Fate::Answered);
            }
        }
        assert!(matches!(task.await.expect("no panic"), Ok(PatchOutcome::Accepted { .. })));
        self.observe();
        stored(&self.store).pop().expect("a version").1
    }
}

/// Versions that were ever stored, by write id.
fn stored(store: &SteppedStore) -> Vec<(String, RawConfig)> {
    let writes = store.writes().into_iter().filter(|(key, _)| &**key == CURRENT);
    let configs = writes
        .map(|(_, value)| serde_json::from_slice::<RawConfig>(&value).expect("a configuration"));
    configs.map(|config| (config.write_id.clone(), config)).collect()
}

fn check(run: &Run<'_>, answers: &[Answer], last: &RawConfig) {
    let stored = stored(&run.store);
    let versions: BTreeSet<u64> = run.in_force.iter().map(|(version, _)| *version).collect();
    assert_eq!(versions.len(), run.in_force.len(), "a version was reused: {:?}", run.in_force);
    assert_eq!(versions.last(), Some(&last.version));
    for (operator, answer) in answers.iter().enumerate() {
        let made = stored.iter().filter(|(write_id, _)| *write_id == format!("w{operator}"));
        // The same write may be stored again after the store was restored to before it.
        let made: BTreeSet<u64> = made.map(|(_, config)| config.version).collect();
        let lasts = last.pools.contains_key(format!("p{operator}").as_str());
        match answer {
            Ok(PatchOutcome::Accepted { version, .. }) => {
                assert_eq!(made, BTreeSet::from([*version]));
                assert!(lasts, "an accepted change was lost");
            }
            Ok(PatchOutcome::Stale { current }) => {
                // A restored store takes back a write that nobody had learned of.
                let took_effect = |version: &u64| match run.rolled_back {
                    true => run.in_force.contains(&(*version, format!("w{operator}"))),
                    false => true,
                };
                assert!(!made.iter().any(took_effect), "told stale but made {made:?}");
                assert!(!lasts && *current > BASE_VERSION);
            }
            other => panic!("unexpected answer {other:?}"),
        }
    }
}

/// Runs every interleaving of a case and returns their number.
async fn explore(case: Case) -> usize {
    let mut explorer = Explorer::default();
    let mut runs = 0;
    let seed = serde_json::to_vec(&RawConfig::from(&base())).expect("a configuration");
    loop {
        let store = SteppedStore::default();
        store.put_now(CURRENT, seed.clone().into());
        let actives = (0..case.operators).map(|_| ActiveConfig::default()).collect();
        let in_force = BTreeSet::new();
        let mut run =
            Run { case, rolled_back: false, store, actives, in_force, explorer: &mut explorer };
        for active in &run.actives {
            active.offer(Arc::new(base()));
        }
        let answers = run.operators().await;
        let last = run.next_config().await;
        check(&run, &answers, &last);
        let accepted =
            answers.iter().filter(|answer| matches!(answer, Ok(PatchOutcome::Accepted { .. })));
        assert_eq!(accepted.count(), 1, "one operator wins the version: {answers:?}");
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

const ANSWER_LOST: &[Fate] = &[Fate::AnswerLost];
const LOST: &[Fate] = &[Fate::AnswerLost, Fate::RequestLost];
const LATE: &[Fate] = &[Fate::Late];
const ANY_FATE: &[Fate] = &[Fate::AnswerLost, Fate::RequestLost, Fate::Refused];
const RACE: Case =
    Case { operators: 2, faults: 0, fates: ANY_FATE, rollback: false, repeat: false };

cases! {
    two_operators_race: RACE => 20;
    two_operators_race_and_two_answers_or_requests_are_lost:
        Case { faults: 2, fates: LOST, ..RACE } => 6092;
    two_operators_race_and_a_write_arrives_late:
        Case { faults: 1, fates: LATE, ..RACE } => 2174;
    one_operator_and_four_writes_fail: Case { operators: 1, faults: 4, ..RACE } => 616;
    operators_repeat_requests_after_a_restart: Case { repeat: true, faults: 1, ..RACE } => 5816;
    the_store_is_restored_at_any_moment: Case { rollback: true, faults: 1, fates: ANSWER_LOST, ..RACE } => 4850;
    the_store_is_restored_while_requests_repeat:
        Case { operators: 1, rollback: true, repeat: true, faults: 2, ..RACE } => 364;
}
