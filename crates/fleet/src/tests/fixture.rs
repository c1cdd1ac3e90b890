//! A fleet whose planning rounds the test runs one by one.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{Config, InstanceId, InstanceState};
use cassiafold_platform::ListedInstance;

use crate::demand::Trends;
use crate::document::{FleetDocument, Phase, Placement, Step, StepKind, Symptom};
use crate::domain::LearnedDomains;
use crate::plan::{Plan, plan};
use crate::policy::Policy;
use crate::view::{CompletedRequests, Demand, ListedInstances, Observations, View};

/// Monday, 2026-01-05, 00:00 UTC.
pub fn monday() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(MONDAY_UNIX_S)
}

const MONDAY_UNIX_S: u64 = 1_767_571_200;

/// Size and floor share of a test fleet.
pub struct Layout {
    pub zones: usize,
    pub services: usize,
    pub per_service: usize,
    pub spare: usize,
    /// Floor of each service as a share of its instances.
    pub floor_share: f64,
}

pub const SMALL: Layout =
    Layout { zones: 3, services: 2, per_service: 9, spare: 3, floor_share: 0.5 };

pub struct Fixture {
    pub config: Config,
    pub listed: ListedInstances,
    pub observations: Observations,
    pub document: FleetDocument,
    pub domains: LearnedDomains,
    pub trends: Trends,
    pub completed: CompletedRequests,
    pub policy: Policy,
    pub now: SystemTime,
}

impl Fixture {
    /// A fleet of `layout` after its first round, without steps in progress. The wave `w`, which
    /// covers all zones, is paused.
    pub fn new(layout: &Layout) -> Self {
        let mut fixture = Self {
            config: config(layout, |_| {}),
            listed: listed(layout),
            observations: Observations::default(),
            document: FleetDocument::default(),
            domains: LearnedDomains::default(),
            trends: Trends::default(),
            completed: CompletedRequests::default(),
            policy: Policy::default(),
            now: monday(),
        };
        fixture.round();
        fixture
    }

    /// The same fleet with the wave `w` not paused.
    pub fn with_wave(layout: &Layout) -> Self {
        let mut fixture = Self::new(layout);
        fixture.config = config(layout, |raw| {
            let wave = raw.waves.get_mut("w").expect("the wave exists");
            wave.paused = false;
        });
        fixture
    }

    pub fn view(&self) -> View<'_> {
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

    /// Plans one round and applies it; the entry instances confirm it immediately.
    pub fn round(&mut self) -> Plan {
        let mut plan = plan(&self.view(), &self.policy);
        if plan.next != self.document {
            plan.next.number = self.document.number + 1;
        }
        self.document = plan.next.clone();
        self.trends = plan.trends.clone();
        self.observations.confirmed = self.document.number;
        plan
    }

    /// Advances the clock by `time` and plans a round.
    pub fn round_after(&mut self, time: Duration) -> Plan {
        self.now += time;
        self.round()
    }

    /// Plans a round each minute until `done`. With `complete`, every reboot and trial request
    /// succeeds.
    pub fn run_until(&mut self, complete: bool, done: impl Fn(&Self) -> bool) {
        for _ in 0..1_000 {
            if done(self) {
                return;
            }
            self.round_after(Duration::from_secs(60));
            if complete {
                self.complete_requests();
            }
        }
        panic!("not done after a thousand minutes");
    }

    /// Completes every reboot and trial request of the steps in the document.
    pub fn complete_requests(&mut self) {
        for (id, placement) in &self.document.placements {
            let Some(step) = &placement.step else { continue };
            match step.phase {
                Phase::Draining => {}
                Phase::Rebooting => drop(self.completed.reboots.insert(step.request_id(id))),
                Phase::Trying => drop(self.completed.trials.insert(step.request_id(id))),
            }
        }
    }

    pub fn fail(&mut self, id: &str, symptom: Symptom) {
        self.observations.symptoms.insert(id.into(), symptom);
    }

    pub fn demand(&mut self, service: &str, waiting: u32) {
        self.observations.demand.insert(service.into(), Demand { running: 0, waiting });
    }

    pub fn placement(&self, id: &str) -> &Placement {
        &self.document.placements[id]
    }

    pub fn step(&self, id: &str) -> Option<&Step> {
        self.placement(id).step.as_ref()
    }

    /// Ids of the instances with a step that satisfies `predicate`.
    pub fn with_step(&self, predicate: impl Fn(&StepKind) -> bool) -> Vec<InstanceId> {
        let placements = self.document.placements.iter();
        let matching = placements.filter(|(_, placement)| {
            placement.step.as_ref().is_some_and(|step| predicate(&step.kind))
        });
        matching.map(|(id, _)| id.clone()).collect()
    }

    pub fn maintaining(&self) -> Vec<InstanceId> {
        self.with_step(|kind| matches!(kind, StepKind::Maintain { .. }))
    }
}

/// Configuration of `layout`, modified by `change` before validation.
pub fn config(layout: &Layout, change: impl Fn(&mut RawConfig)) -> Config {
    let zones: Vec<String> = (0..layout.zones).map(|zone| format!("z{zone}")).collect();
    let services: Vec<String> = (0..layout.services).map(|service| format!("s{service}")).collect();
    let mut raw = serde_json::json!({
        "version": 1,
        "write_id": "test",
        "zones": {}, "services": {}, "pools": {"spare": {}}, "teams": {}, "waves": {},
    });
    for zone in &zones {
        raw["zones"][zone] = serde_json::json!({"region": "r"});
    }
    for service in &services {
        raw["services"][service] = serde_json::json!({"floor_share": layout.floor_share});
        raw["pools"][service] = serde_json::json!({"service": service});
    }
    raw["waves"]["w"] = serde_json::json!({
        "zones": zones,
        "paused": true,
        "start_unix_s": MONDAY_UNIX_S,
        "deadline_unix_s": MONDAY_UNIX_S + 7 * 86_400,
    });
    let mut raw: RawConfig = serde_json::from_value(raw).expect("the configuration is well formed");
    change(&mut raw);
    Config::try_from(raw).expect("the configuration is valid")
}

/// Instances of `layout`, spread over the zones in rotation; racks have four instances of any
/// service.
pub fn listed(layout: &Layout) -> ListedInstances {
    let pools = (0..layout.services).map(|service| (format!("s{service}"), layout.per_service));
    let mut placed = vec![0; layout.zones];
    let mut listed = ListedInstances::new();
    for (pool, count) in pools.chain([("spare".to_owned(), layout.spare)]) {
        for number in 0..count {
            let zone = number % layout.zones;
            let id: InstanceId = format!("{pool}-{number}").into();
            let instance = ListedInstance {
                id: id.clone(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: format!("z{zone}").into(),
                rack: format!("r{}", placed[zone] / 4).into(),
                state: InstanceState::Live,
            };
            placed[zone] += 1;
            listed.insert(id, instance);
        }
    }
    listed
}
