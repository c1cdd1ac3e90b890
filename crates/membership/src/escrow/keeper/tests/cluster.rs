//! Simulated entry instances, their store and the requests that they start.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{ActiveConfig, Config, TeamId, Version};
use cassiafold_standin::MemoryStore;
use futures_util::future::join_all;
use tokio::time::{Instant, advance, sleep};

use crate::escrow::ledger::HolderId;
use crate::escrow::local::{Escrow, Permit};
use crate::escrow::{EscrowSettings, Keeper};
use crate::usage::{QueueId, TeamUsage, Usage, UsageSource};

pub const SETTINGS: EscrowSettings = EscrowSettings {
    slice_validity: Duration::from_secs(60),
    pause_max: Duration::from_secs(10),
    interval: Duration::from_secs(1),
};
pub const DEADLINE_MAX: Duration = Duration::from_secs(20);
pub const TEAMS: [&str; 2] = ["large", "small"];
pub const ENTRIES: usize = 4;

/// Waiting requests that a test sets.
#[derive(Debug, Clone, Default)]
pub struct Waiting(Arc<Mutex<BTreeMap<TeamId, u32>>>);

impl Waiting {
    pub fn set(&self, team: &str, waiting: u32) {
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

pub struct Entry {
    pub keeper: Keeper<MemoryStore, Waiting>,
    pub escrow: Escrow,
    pub config: ActiveConfig,
    pub waiting: Waiting,
    pub paused: bool,
    pub incarnation: u64,
}

/// One started request. It runs to its end even if the entry that started it crashes.
pub struct RunningRequest {
    pub incarnation: u64,
    team: usize,
    ends: Instant,
    permit: Option<Permit>,
}

pub struct Cluster {
    pub store: MemoryStore,
    pub entries: Vec<Entry>,
    /// Paused entries whose instance was started again elsewhere.
    pub superseded: Vec<Entry>,
    last_incarnation: u64,
    pub configs: Vec<Arc<Config>>,
    pub requests: RefCell<Vec<RunningRequest>>,
}

impl Cluster {
    pub fn new(limits: [u32; 2]) -> Self {
        let mut cluster = Self {
            store: MemoryStore::default(),
            entries: Vec::new(),
            superseded: Vec::new(),
            last_incarnation: 0,
            configs: vec![config(1, limits)],
            requests: RefCell::default(),
        };
        for index in 0..ENTRIES {
            let entry = cluster.entry(&format!("entry-{index}"));
            cluster.entries.push(entry);
        }
        cluster
    }

    fn entry(&mut self, id: &str) -> Entry {
        self.last_incarnation += 1;
        let holder = HolderId { instance: id.into(), incarnation: self.last_incarnation };
        let (escrow, config, waiting) =
            (Escrow::default(), ActiveConfig::default(), Waiting::default());
        config.offer(self.configs.last().unwrap().clone());
        let store = self.store.client(id);
        let (keeper_config, entry_waiting) = (config.clone(), waiting.clone());
        let keeper =
            Keeper::new(holder, SETTINGS, store, keeper_config, entry_waiting, escrow.clone());
        escrow.tick(SETTINGS.pause_max);
        Entry { keeper, escrow, config, waiting, paused: false, incarnation: self.last_incarnation }
    }

    pub async fn step(&mut self, index: usize) {
        self.entries[index].step().await;
    }

    /// Steps all entries concurrently against a slow store while all start as many requests as they
    /// can.
    pub async fn race(&mut self, delay: Duration) {
        self.store.faults().set_delay(delay);
        let limits_max = [self.limit_max(0), self.limit_max(1)];
        let active: Vec<(u64, Escrow)> = self.active();
        let requests = &self.requests;
        let steps = join_all(self.entries.iter_mut().map(Entry::step));
        let starts = async {
            loop {
                sleep(delay / 5).await;
                end_requests(requests);
                for (team, limit_max) in limits_max.into_iter().enumerate() {
                    for (incarnation, escrow) in &active {
                        saturate(requests, *incarnation, escrow, team, limit_max);
                    }
                }
            }
        };
        tokio::select! {
            _ = steps => {}
            () = starts => {}
        }
        self.store.faults().set_delay(Duration::ZERO);
    }

    fn active(&self) -> Vec<(u64, Escrow)> {
        let all = self.entries.iter().chain(&self.superseded).filter(|entry| !entry.paused);
        all.map(|entry| (entry.incarnation, entry.escrow.clone())).collect()
    }

    /// Starts as many requests of the team as all active entries may start.
    pub fn saturate(&mut self, team: usize) {
        let limit_max = self.limit_max(team);
        for (incarnation, escrow) in self.active() {
            saturate(&self.requests, incarnation, &escrow, team, limit_max);
        }
    }

    /// Advances the time; entries that are not paused record a tick each second.
    pub async fn advance_time(&mut self, time: Duration) {
        let mut remaining = time;
        while !remaining.is_zero() {
            let part = remaining.min(SETTINGS.interval);
            advance(part).await;
            remaining -= part;
            for entry in self.entries.iter().filter(|entry| !entry.paused) {
                entry.escrow.tick(SETTINGS.pause_max);
            }
            end_requests(&self.requests);
        }
    }

    pub fn start(&mut self, index: usize, team: usize, duration: Duration) -> bool {
        let entry = &self.entries[index];
        start(
            &self.requests,
            entry.incarnation,
            &entry.escrow,
            team,
            duration,
            self.limit_max(team),
        )
    }

    pub fn finish(&mut self, index: usize) {
        let incarnation = self.entries[index].incarnation;
        let mut requests = self.requests.borrow_mut();
        if let Some(position) =
            requests.iter().position(|request| request.incarnation == incarnation)
        {
            requests.remove(position);
        }
    }

    pub fn running(&self, team: usize) -> u32 {
        running(&self.requests.borrow(), team)
    }

    /// Returns the highest limit that may be in force, from the oldest version that a holder or its
    /// copy of the ledger has.
    fn limit_max(&self, team: usize) -> u32 {
        let holders = self.entries.iter().chain(&self.superseded);
        let known = holders.map(|entry| {
            let ledger = entry.keeper.ledger();
            let held = ledger.filter(|ledger| ledger.position(&entry.keeper.id).is_some());
            let version = entry.config.version();
            held.map_or(version, |ledger| ledger.config_version.min(entry.keeper.version()))
        });
        let newest = self.configs.len() as Version;
        let oldest = known.min().unwrap_or(newest);
        let limit = |config: &Arc<Config>| config.teams[TEAMS[team]].upper_limit;
        self.configs.iter().filter(|config| config.version >= oldest).map(limit).max().unwrap()
    }

    pub fn set_limits(&mut self, limits: [u32; 2]) {
        let version = self.configs.len() as Version + 1;
        self.configs.push(config(version, limits));
    }

    /// Crashes an entry and starts another run in its place.
    pub fn crash(&mut self, index: usize, same_id: bool) {
        let id = if same_id {
            format!("entry-{index}")
        } else {
            format!("new-{}", self.last_incarnation)
        };
        let incarnation = self.entries[index].incarnation;
        let mut requests = self.requests.borrow_mut();
        requests
            .iter_mut()
            .filter(|request| request.incarnation == incarnation)
            .for_each(|request| request.permit = None);
        drop(requests);
        self.entries[index] = self.entry(&id);
    }

    /// Starts another run of an entry that is paused and not stopped.
    pub fn supersede(&mut self, index: usize) {
        let next = self.entry(&format!("entry-{index}"));
        let mut superseded = std::mem::replace(&mut self.entries[index], next);
        superseded.paused = true;
        self.superseded.push(superseded);
    }

    /// Resumes superseded runs, which start as many requests as they can before and after they
    /// detect that they are superseded.
    pub async fn resume_superseded(&mut self) {
        self.superseded.iter_mut().for_each(|entry| entry.paused = false);
        for team in 0..TEAMS.len() {
            self.saturate(team);
        }
        for index in 0..self.superseded.len() {
            self.superseded[index].escrow.tick(SETTINGS.pause_max);
            self.saturate(0);
            self.superseded[index].step().await;
            self.saturate(0);
        }
    }
}

impl Entry {
    pub async fn step(&mut self) {
        if !self.paused {
            self.escrow.tick(SETTINGS.pause_max);
            self.keeper.step().await;
        }
    }
}

fn running(requests: &[RunningRequest], team: usize) -> u32 {
    requests.iter().filter(|request| request.team == team).count() as u32
}

pub fn end_requests(requests: &RefCell<Vec<RunningRequest>>) {
    let now = Instant::now();
    requests.borrow_mut().retain(|request| request.ends > now);
}

fn start(
    requests: &RefCell<Vec<RunningRequest>>,
    incarnation: u64,
    escrow: &Escrow,
    team: usize,
    time: Duration,
    limit_max: u32,
) -> bool {
    let Some(permit) = escrow.try_acquire(&TEAMS[team].into()) else { return false };
    let ends = Instant::now() + time.min(DEADLINE_MAX);
    let mut requests = requests.borrow_mut();
    requests.push(RunningRequest { incarnation, team, ends, permit: Some(permit) });
    let running = running(&requests, team);
    assert!(running <= limit_max, "{running} of {} run, limit {limit_max}", TEAMS[team]);
    true
}

fn saturate(
    requests: &RefCell<Vec<RunningRequest>>,
    incarnation: u64,
    escrow: &Escrow,
    team: usize,
    limit_max: u32,
) {
    while start(requests, incarnation, escrow, team, DEADLINE_MAX, limit_max) {}
}
