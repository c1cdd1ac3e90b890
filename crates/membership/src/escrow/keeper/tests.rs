use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{ActiveConfig, Config, TeamId, Version};
use cassiafold_standin::MemoryStore;
use cassiafold_standin::faults::{Partition, WriteFault};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::{Instant, advance};

use super::super::ledger::{HolderId, LEDGER_KEY};
use super::super::local::{Escrow, Permit};
use super::{EscrowSettings, Keeper};
use crate::usage::{QueueId, TeamUsage, Usage, UsageSource};

const SETTINGS: EscrowSettings = EscrowSettings {
    hold: Duration::from_secs(60),
    pause_max: Duration::from_secs(10),
    interval: Duration::from_secs(1),
};
const DEADLINE_MAX: Duration = Duration::from_secs(20);
const TEAMS: [&str; 2] = ["large", "small"];
const ENTRIES: usize = 4;

/// Waiting requests that a test sets.
#[derive(Debug, Clone, Default)]
struct Waiting(Arc<Mutex<BTreeMap<TeamId, u32>>>);

impl Waiting {
    fn set(&self, team: &str, waiting: u32) {
        self.0.lock().unwrap().insert(team.into(), waiting);
    }
}

impl UsageSource for Waiting {
    fn usage(&self) -> Usage {
        let waiting = self.0.lock().unwrap();
        let queue = |team: &TeamId| QueueId { service: "portal".into(), team: team.clone() };
        let usage = |waiting: u32| TeamUsage { running: 0, waiting };
        let queues = waiting.iter().map(|(team, count)| (queue(team), usage(*count))).collect();
        Usage { queues, ..Usage::default() }
    }
}

fn config(version: Version, limits: [u32; 2]) -> Arc<Config> {
    let mut text = format!("version: {version}\nzones: {{}}\npools: {{}}\nservices:\n");
    text +=
        "  portal: {floor_count: 0, deadline_default_ms: 1000, deadline_max_ms: 20000}\nteams:\n";
    for (team, limit) in TEAMS.iter().zip(limits) {
        text += &format!("  {team}: {{share: 1, upper_limit: {limit}}}\n");
    }
    let raw: RawConfig = serde_saphyr::from_str(&text).unwrap();
    Arc::new(Config::try_from(raw).unwrap())
}

struct Entry {
    keeper: Keeper<MemoryStore, Waiting>,
    escrow: Escrow,
    config: ActiveConfig,
    waiting: Waiting,
    paused: bool,
}

/// One started request: it runs to its end whatever happens to the entry that started it.
struct Work {
    entry: usize,
    team: usize,
    ends: Instant,
    permit: Option<Permit>,
}

struct World {
    store: MemoryStore,
    entries: Vec<Entry>,
    runs: u64,
    configs: Vec<Arc<Config>>,
    work: Vec<Work>,
}

impl World {
    fn new(limits: [u32; 2]) -> Self {
        let configs = vec![config(1, limits)];
        let store = MemoryStore::default();
        let mut world = Self { store, entries: Vec::new(), runs: 0, configs, work: Vec::new() };
        for index in 0..ENTRIES {
            let entry = world.entry(&format!("entry-{index}"));
            world.entries.push(entry);
        }
        world
    }

    fn entry(&mut self, id: &str) -> Entry {
        self.runs += 1;
        let holder = HolderId { instance: id.into(), incarnation: self.runs };
        let (escrow, config, waiting) =
            (Escrow::default(), ActiveConfig::default(), Waiting::default());
        config.offer(self.configs.last().unwrap().clone());
        let store = self.store.client(id);
        let (for_keeper, of_entry) = (config.clone(), waiting.clone());
        let keeper = Keeper::new(holder, SETTINGS, store, for_keeper, of_entry, escrow.clone());
        escrow.tick(SETTINGS.pause_max);
        Entry { keeper, escrow, config, waiting, paused: false }
    }

    async fn step(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if !entry.paused {
            entry.escrow.tick(SETTINGS.pause_max);
            entry.keeper.step().await;
        }
    }

    /// Lets time pass; entries that are not paused notice it each second.
    async fn pass(&mut self, time: Duration) {
        let mut left = time;
        while !left.is_zero() {
            let part = left.min(SETTINGS.interval);
            advance(part).await;
            left -= part;
            for entry in self.entries.iter().filter(|entry| !entry.paused) {
                entry.escrow.tick(SETTINGS.pause_max);
            }
            self.end_work();
        }
    }

    fn end_work(&mut self) {
        let now = Instant::now();
        self.work.retain(|work| work.ends > now);
    }

    fn start(&mut self, index: usize, team: usize, run: Duration) -> bool {
        let team_id: TeamId = TEAMS[team].into();
        let Some(permit) = self.entries[index].escrow.try_acquire(&team_id) else { return false };
        let ends = Instant::now() + run.min(DEADLINE_MAX);
        self.work.push(Work { entry: index, team, ends, permit: Some(permit) });
        let (running, bound) = (self.running(team), self.bound(team));
        assert!(running <= bound, "{running} of {} run, limit {bound}", TEAMS[team]);
        true
    }

    fn finish(&mut self, index: usize) {
        if let Some(position) = self.work.iter().position(|work| work.entry == index) {
            self.work.remove(position);
        }
    }

    fn running(&self, team: usize) -> u32 {
        self.work.iter().filter(|work| work.team == team).count() as u32
    }

    /// Highest limit that may be in force: from the oldest version that an entry or its copy of
    /// the ledger has.
    fn bound(&self, team: usize) -> u32 {
        let known = self.entries.iter().map(|entry| {
            let ledger = entry.keeper.ledger().map_or(0, |ledger| ledger.config_version);
            ledger.min(entry.keeper.version())
        });
        let oldest = known.min().unwrap_or(0);
        let limit = |config: &Arc<Config>| config.teams[TEAMS[team]].upper_limit;
        self.configs.iter().filter(|config| config.version >= oldest).map(limit).max().unwrap()
    }

    fn set_limits(&mut self, limits: [u32; 2]) {
        let version = self.configs.len() as Version + 1;
        self.configs.push(config(version, limits));
    }

    /// Ends an entry without notice and starts another run in its place.
    fn crash(&mut self, index: usize, same_id: bool) {
        let id = if same_id { format!("entry-{index}") } else { format!("new-{}", self.runs) };
        for work in self.work.iter_mut().filter(|work| work.entry == index) {
            work.permit = None;
            work.entry = usize::MAX;
        }
        self.entries[index] = self.entry(&id);
    }
}

#[derive(Debug, Clone)]
enum Action {
    Step(usize),
    Round,
    Pass(u64),
    Start { entry: usize, team: usize, count: u32, run_s: u64 },
    Finish { entry: usize, count: u32 },
    Want { entry: usize, team: usize, waiting: u32 },
    Pause(usize),
    Resume(usize),
    Crash { entry: usize, same_id: bool },
    CutOff(usize, bool),
    Reconnect(usize),
    Outage(bool),
    Fault(u8),
    Stale(bool),
    Limits([u32; 2]),
    Learn(usize),
}

fn action() -> impl Strategy<Value = Action> {
    let entry = 0..ENTRIES;
    let team = 0..TEAMS.len();
    prop_oneof![
        12 => entry.clone().prop_map(Action::Step),
        10 => Just(Action::Round),
        8 => (1u64..4).prop_map(Action::Pass),
        3 => (5u64..100).prop_map(Action::Pass),
        20 => (entry.clone(), team.clone(), 1u32..8, 1u64..30)
            .prop_map(|(entry, team, count, run_s)| Action::Start { entry, team, count, run_s }),
        6 => (entry.clone(), 1u32..8).prop_map(|(entry, count)| Action::Finish { entry, count }),
        10 => (entry.clone(), team, 0u32..12)
            .prop_map(|(entry, team, waiting)| Action::Want { entry, team, waiting }),
        2 => entry.clone().prop_map(Action::Pause),
        2 => entry.clone().prop_map(Action::Resume),
        2 => (entry.clone(), any::<bool>())
            .prop_map(|(entry, same_id)| Action::Crash { entry, same_id }),
        2 => (entry.clone(), any::<bool>()).prop_map(|(entry, way)| Action::CutOff(entry, way)),
        3 => entry.clone().prop_map(Action::Reconnect),
        1 => Just(Action::Outage(true)),
        2 => Just(Action::Outage(false)),
        4 => (0u8..3).prop_map(Action::Fault),
        1 => Just(Action::Stale(true)),
        2 => Just(Action::Stale(false)),
        2 => (1u32..16, 1u32..5).prop_map(|(large, small)| Action::Limits([large, small])),
        4 => entry.prop_map(Action::Learn),
    ]
}

async fn act(world: &mut World, action: Action) {
    let faults = world.store.faults();
    match action {
        Action::Step(entry) => world.step(entry).await,
        Action::Round => {
            for index in 0..ENTRIES {
                world.step(index).await;
            }
            world.pass(SETTINGS.interval).await;
        }
        Action::Pass(seconds) => world.pass(Duration::from_secs(seconds)).await,
        Action::Start { entry, team, count, run_s } => {
            for _ in 0..count {
                world.start(entry, team, Duration::from_secs(run_s));
            }
        }
        Action::Finish { entry, count } => (0..count).for_each(|_| world.finish(entry)),
        Action::Want { entry, team, waiting } => {
            world.entries[entry].waiting.set(TEAMS[team], waiting);
        }
        Action::Pause(entry) => world.entries[entry].paused = true,
        Action::Resume(entry) => world.entries[entry].paused = false,
        Action::Crash { entry, same_id } => world.crash(entry, same_id),
        Action::CutOff(entry, requests) => {
            let way = if requests { Partition::Requests } else { Partition::Answers };
            faults.cut_off(format!("entry-{entry}"), way);
        }
        Action::Reconnect(entry) => faults.reconnect(&format!("entry-{entry}")),
        Action::Outage(outage) => faults.set_outage(outage),
        Action::Fault(0) => faults.fail_writes(1, WriteFault::LostAnswer),
        Action::Fault(1) => faults.fail_writes(1, WriteFault::LostRequest),
        Action::Fault(_) => faults.fail_writes(1, WriteFault::Late(Duration::from_secs(3))),
        Action::Stale(on) => faults.set_stale_reads(on.then(|| faults.revision())),
        Action::Limits(limits) => world.set_limits(limits),
        Action::Learn(entry) => {
            world.entries[entry].config.offer(world.configs.last().unwrap().clone());
        }
    }
    world.end_work();
}

fn paused_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn running_requests_never_exceed_a_limit_that_may_be_in_force(
        actions in prop::collection::vec(action(), 20..150),
    ) {
        paused_runtime().block_on(async {
            let mut world = World::new([12, 3]);
            for action in actions {
                act(&mut world, action).await;
            }
        });
    }
}

async fn rounds(world: &mut World, seconds: u64) {
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        act(world, Action::Round).await;
    }
}

fn fill(world: &mut World, entry: usize) -> u32 {
    (0..100).filter(|_| world.start(entry, 0, DEADLINE_MAX)).count() as u32
}

fn usable(world: &World, entry: usize) -> u32 {
    world.entries[entry].escrow.usable(&TEAMS[0].into())
}

#[tokio::test(start_paused = true)]
async fn slices_follow_the_demand() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    let even: Vec<u32> = (0..ENTRIES).map(|entry| usable(&world, entry)).collect();
    assert_eq!(even, [3, 3, 3, 3]);
    world.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut world, 15).await;
    assert_eq!(usable(&world, 1), 12);
    assert_eq!(fill(&mut world, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_cut_off_entry_goes_on_and_its_slices_return_after_hold_and_deadline() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    world.store.faults().cut_off("entry-0", Partition::Requests);
    rounds(&mut world, 40).await;
    assert!(fill(&mut world, 0) > 0, "serves its slice while cut off");
    world.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut world, 20).await;
    assert_eq!(usable(&world, 1), 9, "the slice of the cut off entry stays with it");
    rounds(&mut world, 60).await;
    assert_eq!(fill(&mut world, 0), 0, "stops when its hold has passed");
    assert_eq!(usable(&world, 1), 12, "the slice has returned");
    world.store.faults().reconnect("entry-0");
    rounds(&mut world, 15).await;
    assert_eq!(usable(&world, 0) + usable(&world, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_later_run_of_an_instance_frees_the_slices_sooner() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    world.crash(0, true);
    world.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut world, 20).await;
    assert_eq!(usable(&world, 1), 9, "work of the crashed run may still run");
    rounds(&mut world, 25).await;
    assert_eq!(usable(&world, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_lowered_limit_stops_starts_at_once_and_cuts_nothing() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    let started: u32 = (0..ENTRIES).map(|entry| fill(&mut world, entry)).sum();
    assert_eq!(started, 12);
    world.set_limits([4, 3]);
    for index in 0..ENTRIES {
        act(&mut world, Action::Learn(index)).await;
        world.step(index).await;
    }
    assert!((0..ENTRIES).all(|entry| !world.start(entry, 0, DEADLINE_MAX)));
    assert_eq!(world.running(0), 12);
    rounds(&mut world, 25).await;
    let started: u32 = (0..ENTRIES).map(|entry| fill(&mut world, entry)).sum();
    assert_eq!(started, 4);
}

#[tokio::test(start_paused = true)]
async fn a_clean_leave_gives_idle_tokens_back_at_once() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    assert!(world.start(0, 0, Duration::from_secs(9)));
    world.entries[0].keeper.leave().await;
    assert_eq!(fill(&mut world, 0), 0);
    world.entries[1].waiting.set(TEAMS[0], 50);
    world.entries[0].paused = true;
    rounds(&mut world, 15).await;
    assert_eq!(usable(&world, 1), 11);
    rounds(&mut world, 35).await;
    assert_eq!(usable(&world, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_to_a_transfer_is_settled() {
    for fault in [WriteFault::LostAnswer, WriteFault::LostRequest] {
        let mut world = World::new([12, 3]);
        rounds(&mut world, 15).await;
        world.entries[1].waiting.set(TEAMS[0], 50);
        world.store.faults().fail_every(2, fault);
        rounds(&mut world, 30).await;
        assert_eq!(usable(&world, 1), 12);
        assert_eq!(world.entries[1].keeper.ledger().unwrap().total(&TEAMS[0].into()), 12);
    }
}

#[tokio::test(start_paused = true)]
async fn an_idle_fleet_writes_only_confirmations() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 10).await;
    let before = world.store.faults().total_counts().writes;
    rounds(&mut world, 60).await;
    let writes = world.store.faults().total_counts().writes - before;
    let confirmations = 12 * ENTRIES as u64;
    assert!(writes <= confirmations + ENTRIES as u64, "{writes} writes of {LEDGER_KEY}");
}
