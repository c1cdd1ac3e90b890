//! The brief's deployments and the letter's size, driven by the planners in accelerated time.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use cassiafold_config::{Config, InstanceId};
use cassiafold_fleet::demand::Trends;
use cassiafold_fleet::{
    CompletedRequests, Demand, FleetDocument, FleetEvent, LearnedDomains, ListedInstances,
    Observations, Phase, Policy, StepKind, Symptom, View, plan, wave_status,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::world::{Layout, feeds, start};
use crate::{domains, naive};

const SLOTS: u32 = 8;
/// Time from a reboot to the first trial request that succeeds.
const REBOOT: Duration = Duration::from_secs(300);
const FEED_OUTAGE: Duration = Duration::from_secs(20 * 60);
const ZONE_OUT: Duration = Duration::from_secs(30 * 60);
const SHARED_BEFORE: u32 = 3;
const DAY_S: f64 = 86_400.0;

/// One deployment and what happens to it.
struct Trial {
    layout: Layout,
    days: u32,
    tick: Duration,
    /// How long each queue in turn asks five times its mean.
    peak: Duration,
    feed_outages_per_day: f64,
    zones_out_per_day: f64,
    maintenance_share_max: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Planner {
    Learned,
    Racks,
    Naive,
}

/// Runs every deployment with the planners named, or with all.
pub fn measure(planners: &[&str]) {
    let brief = |name, zones| Trial {
        layout: Layout { name, zones, services: 5, per_service: 10, spare: 5, floor: 0.6 },
        days: 3,
        tick: Duration::from_secs(2),
        peak: Duration::from_secs(30),
        feed_outages_per_day: 8.0,
        zones_out_per_day: 2.0,
        maintenance_share_max: 0.2,
    };
    let letter = Trial {
        layout: Layout {
            name: "letter",
            zones: 8,
            services: 43,
            per_service: 20,
            spare: 10,
            floor: 0.6,
        },
        days: 7,
        tick: Duration::from_secs(60),
        peak: Duration::from_secs(20 * 60),
        feed_outages_per_day: 4.0,
        zones_out_per_day: 0.2,
        maintenance_share_max: 0.05,
    };
    for trial in [brief("Casa Liwayway", 3), brief("Al Batinah", 4), letter] {
        for planner in [Planner::Learned, Planner::Racks, Planner::Naive] {
            let name = format!("{planner:?}").to_lowercase();
            if planners.is_empty() || planners.contains(&&*name) {
                Run::new(&trial, planner).run();
            }
        }
    }
}

/// Sums over a run.
#[derive(Debug, Default)]
struct Sums {
    moves: u32,
    broken_s: f64,
    broken_by_plan_s: f64,
    asked: f64,
    unserved: f64,
    idle: f64,
    up: f64,
    feed_outages: u32,
    zones_out: u32,
    rollout: Option<SystemTime>,
}

struct Run<'a> {
    trial: &'a Trial,
    planner: Planner,
    config: Config,
    listed: ListedInstances,
    feeds: Vec<Vec<InstanceId>>,
    rng: StdRng,
    policy: Policy,
    domains: LearnedDomains,
    document: FleetDocument,
    trends: Trends,
    completed: CompletedRequests,
    observations: Observations,
    now: SystemTime,
    /// Failing instances; those without an end need a reboot.
    failing: BTreeMap<InstanceId, Option<SystemTime>>,
    zone_back: Option<(usize, SystemTime)>,
    sums: Sums,
}

impl<'a> Run<'a> {
    fn new(trial: &'a Trial, planner: Planner) -> Self {
        let listed = trial.layout.listed();
        let feeds = feeds(&listed);
        let policy = Policy {
            use_learned_domains: planner == Planner::Learned,
            maintenance_share_max: trial.maintenance_share_max,
            ..Policy::default()
        };
        Self {
            trial,
            planner,
            config: trial.layout.config(),
            domains: learned_before(&listed, &feeds),
            listed,
            feeds,
            rng: StdRng::seed_from_u64(1),
            policy,
            document: FleetDocument::default(),
            trends: Trends::default(),
            completed: CompletedRequests::default(),
            observations: Observations::default(),
            now: start(),
            failing: BTreeMap::new(),
            zone_back: None,
            sums: Sums::default(),
        }
    }

    fn run(mut self) {
        let end = start() + Duration::from_secs(u64::from(self.trial.days) * 86_400);
        while self.now < end {
            self.now += self.trial.tick;
            self.happen();
            self.observe();
            self.round();
            self.answer();
            self.count();
        }
        self.print();
    }

    fn chance(&mut self, per_day: f64) -> bool {
        let chance = per_day * self.trial.tick.as_secs_f64() / DAY_S;
        self.rng.random_bool(chance.min(1.0))
    }

    fn happen(&mut self) {
        let now = self.now;
        self.failing.retain(|_, end| end.is_none_or(|end| end > now));
        if self.chance(6.0) {
            let number = self.rng.random_range(0..self.listed.len());
            let id = self.listed.keys().nth(number).expect("it is in range").clone();
            let heals = self.rng.random_bool(0.5).then(|| now + Duration::from_secs(20));
            self.failing.insert(id, heals);
        }
        if self.chance(self.trial.feed_outages_per_day) {
            self.sums.feed_outages += 1;
            let number = self.rng.random_range(0..self.feeds.len());
            for id in &self.feeds[number] {
                if self.rng.random_bool(0.8) {
                    self.failing.insert(id.clone(), Some(now + FEED_OUTAGE));
                }
            }
        }
        self.change_zones();
    }

    fn change_zones(&mut self) {
        let zone = |number: usize| format!("z{number}");
        if let Some((number, back)) = self.zone_back {
            if self.now >= back {
                self.config.zones.get_mut(&*zone(number)).expect("it exists").out = false;
                self.zone_back = None;
            }
        } else if self.chance(self.trial.zones_out_per_day) {
            let number = self.rng.random_range(0..self.trial.layout.zones);
            self.config.zones.get_mut(&*zone(number)).expect("it exists").out = true;
            self.zone_back = Some((number, self.now + ZONE_OUT));
            self.sums.zones_out += 1;
        }
    }

    /// Requests that each service asks to run at once: a peak of five times the mean for one
    /// service in five at a time, a twentieth in between.
    fn asked(&self, number: usize) -> u32 {
        let mean = self.trial.layout.per_service as u32 * SLOTS * 26 / 100;
        let elapsed = self.now.duration_since(start()).unwrap_or_default();
        let turn = (elapsed.as_secs() / self.trial.peak.as_secs()) as usize;
        if number % 5 == turn % 5 { 5 * mean } else { mean / 20 }
    }

    fn observe(&mut self) {
        let mut observations =
            Observations { confirmed: self.document.number, ..Observations::default() };
        for (number, service) in self.config.services.keys().enumerate() {
            let waiting = self.asked(number);
            observations.demand.insert(service.clone(), Demand { running: 0, waiting });
        }
        for id in self.failing.keys() {
            observations.symptoms.insert(id.clone(), Symptom::Unreachable);
        }
        self.observations = observations;
    }

    fn view(&self) -> View<'_> {
        View {
            now: self.now,
            config: &self.config,
            document: &self.document,
            listed: &self.listed,
            observations: &self.observations,
            domains: &self.domains,
            trends: &self.trends,
            completed: &self.completed,
        }
    }

    fn round(&mut self) {
        let (mut next, moves) = match self.planner {
            Planner::Naive => naive::plan(&self.view(), &self.policy),
            Planner::Learned | Planner::Racks => {
                let plan = plan(&self.view(), &self.policy);
                let moved = |event| {
                    matches!(event, FleetEvent::InstanceAssigned | FleetEvent::InstanceMoved)
                };
                let moves = plan.decisions.iter().filter(|it| moved(it.event)).count();
                self.trends = plan.trends;
                (plan.next, moves as u32)
            }
        };
        self.sums.moves += moves;
        next.number = self.document.number + 1;
        self.document = next;
        for (id, placement) in &self.document.placements {
            if let Some(failure) = &placement.failure {
                self.domains.record_failure(id, failure.since, &self.listed);
            }
        }
        self.domains.advance(self.now, &self.listed);
    }

    /// Every reboot is carried out; an instance passes its trial once it is up again.
    fn answer(&mut self) {
        self.completed = CompletedRequests::default();
        for (id, placement) in &self.document.placements {
            let Some(step) = &placement.step else { continue };
            self.completed.reboots.insert(step.request_id(id));
            let waited = self.now.duration_since(step.phase_started).unwrap_or_default();
            if step.phase == Phase::Trying && waited >= REBOOT {
                if self.failing.get(id).is_some_and(Option::is_none) {
                    self.failing.remove(id);
                }
                if !self.failing.contains_key(id) {
                    self.completed.trials.insert(step.request_id(id));
                }
            }
        }
    }

    fn count(&mut self) {
        let tick_s = self.trial.tick.as_secs_f64();
        let view = self.view();
        let mut sums = [0.0; 6];
        for (number, (service, settings)) in self.config.services.iter().enumerate() {
            let (mut up, mut maintained) = (0, 0);
            for (id, placement) in &self.document.placements {
                let open = self.config.zone_open(&self.listed[id].zone);
                if view.service_of(placement) != Some(service)
                    || self.failing.contains_key(id)
                    || !open
                {
                    continue;
                }
                match placement.step.as_ref().map(|step| &step.kind) {
                    None => up += 1,
                    Some(StepKind::Maintain { .. } | StepKind::Move { .. }) => maintained += 1,
                    Some(StepKind::Repair) => {}
                }
            }
            let floor = settings.floor.instances(self.trial.layout.per_service);
            let broken = up < floor;
            sums[0] += f64::from(broken) * tick_s;
            sums[1] += f64::from(broken && up + maintained >= floor) * tick_s;
            let (asked, slots) = (f64::from(self.asked(number)), up as f64 * f64::from(SLOTS));
            sums[2] += asked * tick_s;
            sums[3] += (asked - slots).max(0.0) * tick_s;
            sums[4] += (slots - asked).max(0.0) * tick_s;
            sums[5] += slots * tick_s;
        }
        let done =
            self.document.placements.values().all(|placement| placement.maintained_at.is_some());
        self.sums.broken_s += sums[0];
        self.sums.broken_by_plan_s += sums[1];
        self.sums.asked += sums[2];
        self.sums.unserved += sums[3];
        self.sums.idle += sums[4];
        self.sums.up += sums[5];
        if done && self.sums.rollout.is_none() {
            self.sums.rollout = Some(self.now);
        }
    }

    fn print(&self) {
        let sums = &self.sums;
        let status = wave_status(&self.view(), &self.policy, &"w".into());
        let rollout = sums
            .rollout
            .map(|end| end.duration_since(start()).unwrap_or_default().as_secs_f64() / 3_600.0);
        let line = serde_json::json!({
            "measure": "deployment", "deployment": self.trial.layout.name,
            "planner": format!("{:?}", self.planner).to_lowercase(),
            "instances": self.listed.len(), "days": self.trial.days,
            "tick_s": self.trial.tick.as_secs(), "peak_s": self.trial.peak.as_secs(),
            "feed_outages": sums.feed_outages, "zones_out": sums.zones_out,
            "shared_failures_learned_before": SHARED_BEFORE,
            "moves": sums.moves, "rollout_hours": rollout,
            "maintained": status.map(|status| status.done),
            "budget_minutes_broken": sums.broken_s / 60.0,
            "budget_minutes_broken_by_planned_steps": sums.broken_by_plan_s / 60.0,
            "unserved_share": sums.unserved / sums.asked,
            "buffer_idle_share": sums.idle / sums.up,
        });
        println!("{line}");
    }
}

/// Failure domains after a few shared failures of each feed.
fn learned_before(listed: &ListedInstances, feeds: &[Vec<InstanceId>]) -> LearnedDomains {
    let mut rng = StdRng::seed_from_u64(2);
    let mut failures = Vec::new();
    for (number, feed) in feeds.iter().enumerate() {
        for burst in 0..SHARED_BEFORE {
            let hours = burst as usize * feeds.len() + number;
            let at = start() - Duration::from_secs(86_400 * 30 - hours as u64 * 3_600);
            let hit = feed.iter().filter(|_| rng.random_bool(0.8));
            failures.extend(hit.map(|id| (at, id.clone())));
        }
    }
    domains::learn(listed, failures)
}
