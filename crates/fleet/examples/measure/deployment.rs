//! Two small deployments and a large one, run with each planner in simulated time.

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

const SLOTS_PER_INSTANCE: u32 = 8;
/// Time from a reboot to the first successful trial request.
const REBOOT_DURATION: Duration = Duration::from_secs(300);
const FEED_OUTAGE_DURATION: Duration = Duration::from_secs(20 * 60);
const ZONE_OUT_DURATION: Duration = Duration::from_secs(30 * 60);
/// Shared failures of each feed before the start.
const INITIAL_SHARED_FAILURES: u32 = 3;
const DAY_S: f64 = 86_400.0;

/// A deployment and the events that it is exposed to.
struct Scenario {
    layout: Layout,
    days: u32,
    tick: Duration,
    /// Duration of a demand peak; the services have their peaks in rotation.
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

/// Runs every deployment with the named planners, or with all if none is named.
pub fn measure(planners: &[&str]) {
    let small = |name, zones| Scenario {
        layout: Layout { name, zones, services: 5, per_service: 10, spare: 5, floor_share: 0.6 },
        days: 3,
        tick: Duration::from_secs(2),
        peak: Duration::from_secs(30),
        feed_outages_per_day: 8.0,
        zones_out_per_day: 2.0,
        maintenance_share_max: 0.2,
    };
    let large = Scenario {
        layout: Layout {
            name: "letter",
            zones: 8,
            services: 43,
            per_service: 20,
            spare: 10,
            floor_share: 0.6,
        },
        days: 7,
        tick: Duration::from_secs(60),
        peak: Duration::from_secs(20 * 60),
        feed_outages_per_day: 4.0,
        zones_out_per_day: 0.2,
        maintenance_share_max: 0.05,
    };
    for scenario in [small("Casa Liwayway", 3), small("Al Batinah", 4), large] {
        for planner in [Planner::Learned, Planner::Racks, Planner::Naive] {
            let name = format!("{planner:?}").to_lowercase();
            if planners.is_empty() || planners.contains(&&*name) {
                Run::new(&scenario, planner).run();
            }
        }
    }
}

/// Totals of a run.
#[derive(Debug, Default)]
struct Totals {
    moves: u32,
    broken_s: f64,
    broken_by_plan_s: f64,
    demand: f64,
    unserved: f64,
    idle: f64,
    available: f64,
    feed_outages: u32,
    zones_out: u32,
    rollout_end: Option<SystemTime>,
}

struct Run<'a> {
    scenario: &'a Scenario,
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
    /// Failing instances and the end of each failure; `None` if only a reboot ends it.
    failing: BTreeMap<InstanceId, Option<SystemTime>>,
    zone_out_until: Option<(usize, SystemTime)>,
    totals: Totals,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, planner: Planner) -> Self {
        let listed = scenario.layout.listed();
        let feeds = feeds(&listed);
        let policy = Policy {
            use_learned_domains: planner == Planner::Learned,
            maintenance_share_max: scenario.maintenance_share_max,
            ..Policy::default()
        };
        Self {
            scenario,
            planner,
            config: scenario.layout.config(),
            domains: initial_domains(&listed, &feeds),
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
            zone_out_until: None,
            totals: Totals::default(),
        }
    }

    fn run(mut self) {
        let end = start() + Duration::from_secs(u64::from(self.scenario.days) * 86_400);
        while self.now < end {
            self.now += self.scenario.tick;
            self.inject_events();
            self.update_observations();
            self.round();
            self.complete_requests();
            self.count();
        }
        self.print();
    }

    fn occurs(&mut self, per_day: f64) -> bool {
        let probability = per_day * self.scenario.tick.as_secs_f64() / DAY_S;
        self.rng.random_bool(probability.min(1.0))
    }

    fn inject_events(&mut self) {
        let now = self.now;
        self.failing.retain(|_, end| end.is_none_or(|end| end > now));
        if self.occurs(6.0) {
            let number = self.rng.random_range(0..self.listed.len());
            let id = self.listed.keys().nth(number).expect("the index is in range").clone();
            let end = self.rng.random_bool(0.5).then(|| now + Duration::from_secs(20));
            self.failing.insert(id, end);
        }
        if self.occurs(self.scenario.feed_outages_per_day) {
            self.totals.feed_outages += 1;
            let number = self.rng.random_range(0..self.feeds.len());
            for id in &self.feeds[number] {
                if self.rng.random_bool(0.8) {
                    self.failing.insert(id.clone(), Some(now + FEED_OUTAGE_DURATION));
                }
            }
        }
        self.change_zones();
    }

    fn change_zones(&mut self) {
        let zone = |number: usize| format!("z{number}");
        if let Some((number, end)) = self.zone_out_until {
            if self.now >= end {
                self.config.zones.get_mut(&*zone(number)).expect("the zone exists").out = false;
                self.zone_out_until = None;
            }
        } else if self.occurs(self.scenario.zones_out_per_day) {
            let number = self.rng.random_range(0..self.scenario.layout.zones);
            self.config.zones.get_mut(&*zone(number)).expect("the zone exists").out = true;
            self.zone_out_until = Some((number, self.now + ZONE_OUT_DURATION));
            self.totals.zones_out += 1;
        }
    }

    /// Demand for a service, in concurrent requests: five times the mean during a peak, which one
    /// service in five has at a time, and a twentieth of the mean otherwise.
    fn demand(&self, number: usize) -> u32 {
        let mean = self.scenario.layout.per_service as u32 * SLOTS_PER_INSTANCE * 26 / 100;
        let elapsed = self.now.duration_since(start()).unwrap_or_default();
        let peak_index = (elapsed.as_secs() / self.scenario.peak.as_secs()) as usize;
        if number % 5 == peak_index % 5 { 5 * mean } else { mean / 20 }
    }

    fn update_observations(&mut self) {
        let mut observations =
            Observations { confirmed: self.document.number, ..Observations::default() };
        for (number, service) in self.config.services.keys().enumerate() {
            let waiting = self.demand(number);
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
                let moves = plan.decisions.iter().filter(|decision| moved(decision.event)).count();
                self.trends = plan.trends;
                (plan.next, moves as u32)
            }
        };
        self.totals.moves += moves;
        next.number = self.document.number + 1;
        self.document = next;
        for (id, placement) in &self.document.placements {
            if let Some(failure) = &placement.failure {
                self.domains.record_failure(id, failure.since, &self.listed);
            }
        }
        self.domains.advance(self.now, &self.listed);
    }

    /// Completes every reboot request; a trial request succeeds once the instance is up again.
    fn complete_requests(&mut self) {
        self.completed = CompletedRequests::default();
        for (id, placement) in &self.document.placements {
            let Some(step) = &placement.step else { continue };
            self.completed.reboots.insert(step.request_id(id));
            let waited = self.now.duration_since(step.phase_started).unwrap_or_default();
            if step.phase == Phase::Trying && waited >= REBOOT_DURATION {
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
        let tick_s = self.scenario.tick.as_secs_f64();
        let view = self.view();
        let mut sums = [0.0; 6];
        for (number, (service, settings)) in self.config.services.iter().enumerate() {
            let (mut available, mut planned_out) = (0, 0);
            for (id, placement) in &self.document.placements {
                let open = self.config.zone_open(&self.listed[id].zone);
                if view.service_of(placement) != Some(service)
                    || self.failing.contains_key(id)
                    || !open
                {
                    continue;
                }
                match placement.step.as_ref().map(|step| &step.kind) {
                    None => available += 1,
                    Some(StepKind::Maintain { .. } | StepKind::Move { .. }) => planned_out += 1,
                    Some(StepKind::Repair) => {}
                }
            }
            let floor = settings.floor.instances(self.scenario.layout.per_service);
            let broken = available < floor;
            sums[0] += f64::from(broken) * tick_s;
            sums[1] += f64::from(broken && available + planned_out >= floor) * tick_s;
            let (demand, slots) =
                (f64::from(self.demand(number)), available as f64 * f64::from(SLOTS_PER_INSTANCE));
            sums[2] += demand * tick_s;
            sums[3] += (demand - slots).max(0.0) * tick_s;
            sums[4] += (slots - demand).max(0.0) * tick_s;
            sums[5] += slots * tick_s;
        }
        let done =
            self.document.placements.values().all(|placement| placement.maintained_at.is_some());
        self.totals.broken_s += sums[0];
        self.totals.broken_by_plan_s += sums[1];
        self.totals.demand += sums[2];
        self.totals.unserved += sums[3];
        self.totals.idle += sums[4];
        self.totals.available += sums[5];
        if done && self.totals.rollout_end.is_none() {
            self.totals.rollout_end = Some(self.now);
        }
    }

    fn print(&self) {
        let totals = &self.totals;
        let status = wave_status(&self.view(), &self.policy, &"w".into());
        let rollout = totals
            .rollout_end
            .map(|end| end.duration_since(start()).unwrap_or_default().as_secs_f64() / 3_600.0);
        let line = serde_json::json!({
            "measure": "deployment", "deployment": self.scenario.layout.name,
            "planner": format!("{:?}", self.planner).to_lowercase(),
            "instances": self.listed.len(), "days": self.scenario.days,
            "tick_s": self.scenario.tick.as_secs(), "peak_s": self.scenario.peak.as_secs(),
            "feed_outages": totals.feed_outages, "zones_out": totals.zones_out,
            "shared_failures_learned_before": INITIAL_SHARED_FAILURES,
            "moves": totals.moves, "rollout_hours": rollout,
            "maintained": status.map(|status| status.done),
            "budget_minutes_broken": totals.broken_s / 60.0,
            "budget_minutes_broken_by_planned_steps": totals.broken_by_plan_s / 60.0,
            "unserved_share": totals.unserved / totals.demand,
            "buffer_idle_share": totals.idle / totals.available,
        });
        println!("{line}");
    }
}

/// Failure domains learned from a few shared failures of each feed before the start.
fn initial_domains(listed: &ListedInstances, feeds: &[Vec<InstanceId>]) -> LearnedDomains {
    let mut rng = StdRng::seed_from_u64(2);
    let mut failures = Vec::new();
    for (number, feed) in feeds.iter().enumerate() {
        for burst in 0..INITIAL_SHARED_FAILURES {
            let hours = burst as usize * feeds.len() + number;
            let at = start() - Duration::from_secs(86_400 * 30 - hours as u64 * 3_600);
            let failed = feed.iter().filter(|_| rng.random_bool(0.8));
            failures.extend(failed.map(|id| (at, id.clone())));
        }
    }
    domains::learn(listed, failures)
}
