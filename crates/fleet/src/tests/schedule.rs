//! Random schedules of failures, zone changes, demand and time. After each round, the availability
//! budgets are checked against a brute-force model that counts the instances one by one and tries
//! the failure of each rack.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cassiafold_config::{Config, InstanceId, ServiceId};
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof};
use proptest::test_runner::{Config as RunnerConfig, RngSeed, TestRunner};

use crate::document::{FleetDocument, Phase, StepKind, Symptom};
use crate::tests::fixture::{Fixture, Layout};
use crate::view::ListedInstances;

const LAYOUT: Layout = Layout { zones: 3, services: 3, per_service: 8, spare: 4, floor_share: 0.6 };

/// Event before a round.
#[derive(Debug, Clone)]
enum Event {
    Fail(Vec<usize>),
    FailRack(usize),
    Recover,
    ToggleZone(usize),
    Demand(usize, u32),
    SetRunning(usize, u32),
    ClearRunning,
    SetConfirming(bool),
    CompleteRequests,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        prop::collection::vec(0_usize..28, 1..4).prop_map(Event::Fail),
        (0_usize..28).prop_map(Event::FailRack),
        Just(Event::Recover),
        (0_usize..3).prop_map(Event::ToggleZone),
        ((0_usize..3), (0_u32..200)).prop_map(|(service, count)| Event::Demand(service, count)),
        ((0_usize..28), (0_u32..4))
            .prop_map(|(instance, count)| Event::SetRunning(instance, count)),
        Just(Event::ClearRunning),
        any::<bool>().prop_map(Event::SetConfirming),
        Just(Event::CompleteRequests),
        Just(Event::CompleteRequests),
        (1_u64..120).prop_map(Event::Wait),
        (1_u64..900).prop_map(Event::Wait),
    ]
}

/// Available instances of `service`, found one by one.
pub fn serving(
    config: &Config,
    listed: &ListedInstances,
    failing: &BTreeSet<InstanceId>,
    document: &FleetDocument,
    service: &ServiceId,
) -> Vec<InstanceId> {
    let serves = |id: &InstanceId| {
        let Some(placement) = document.placements.get(id) else { return false };
        let Some(instance) = listed.get(id) else { return false };
        config.pools[&placement.pool].service.as_ref() == Some(service)
            && !config.zones[&instance.zone].out
            && !failing.contains(id)
            && placement.failure.is_none()
            && placement.step.is_none()
    };
    listed.keys().filter(|id| serves(id)).cloned().collect()
}

/// Number of instances whose home is a pool of `service`, and the floor of the service.
fn home_count_and_floor(
    config: &Config,
    document: &FleetDocument,
    service: &ServiceId,
) -> (usize, usize) {
    let at_home = |id: &&InstanceId| {
        let placement = &document.placements[*id];
        config.pools[&placement.home].service.as_ref() == Some(service)
    };
    let home = document.placements.keys().filter(at_home).count();
    (home, config.services[service].floor.instances(home))
}

/// Minimum number of instances of `service` if `available` are in service: the floor plus a reserve
/// for the worst rack, limited so that one instance of a complete service can be taken out.
fn required(
    config: &Config,
    listed: &ListedInstances,
    document: &FleetDocument,
    available: &[InstanceId],
    service: &ServiceId,
) -> usize {
    let (home, floor) = home_count_and_floor(config, document, service);
    let mut racks: BTreeMap<_, usize> = BTreeMap::new();
    for id in available {
        *racks.entry((&listed[id].zone, &listed[id].rack)).or_default() += 1;
    }
    let worst = racks.values().max().copied().unwrap_or(0);
    floor + worst.min(home.saturating_sub(floor + 1))
}

/// First service whose budget is broken by a step that started between two documents. A move to a
/// service below its floor may use the reserve.
pub fn broken_by_plan(
    config: &Config,
    listed: &ListedInstances,
    failing: &BTreeSet<InstanceId>,
    before: &FleetDocument,
    after: &FleetDocument,
) -> Option<ServiceId> {
    let serving = |service: &ServiceId| serving(config, listed, failing, after, service);
    let below_floor = |service: &ServiceId| {
        serving(service).len() < home_count_and_floor(config, after, service).1
    };
    let mut reserve_allowed: BTreeMap<ServiceId, bool> = BTreeMap::new();
    for (id, placement) in &after.placements {
        let Some(old) = before.placements.get(id) else { continue };
        let Some(step) = placement.step.as_ref().filter(|_| old.step.is_none()) else { continue };
        let Some(service) = &config.pools[&old.pool].service else { continue };
        if placement.failure.is_some() || failing.contains(id) {
            continue;
        }
        let allowed = match &step.kind {
            StepKind::Move { to, .. } => config.pools[to].service.as_ref().is_some_and(below_floor),
            StepKind::Maintain { .. } | StepKind::Repair => false,
        };
        *reserve_allowed.entry(service.clone()).or_default() |= allowed;
    }
    let broken = |(service, allowed): &(ServiceId, bool)| {
        let available = serving(service);
        let required = match allowed {
            true => home_count_and_floor(config, after, service).1,
            false => required(config, listed, after, &available, service),
        };
        available.len() < required
    };
    reserve_allowed.into_iter().find(broken).map(|(service, _)| service)
}

struct Schedule {
    fixture: Fixture,
    confirming: bool,
}

impl Schedule {
    fn new() -> Self {
        let mut fixture = Fixture::with_wave(&LAYOUT);
        fixture.policy.maintenance_share_max = 1.0;
        fixture.policy.pause_min = 4;
        Self { fixture, confirming: true }
    }

    fn id(&self, number: usize) -> InstanceId {
        let keys: Vec<&InstanceId> = self.fixture.listed.keys().collect();
        keys[number % keys.len()].clone()
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Fail(numbers) => {
                for number in numbers {
                    let id = self.id(*number);
                    self.fixture.fail(&id, Symptom::Unreachable);
                }
            }
            Event::FailRack(number) => {
                let rack = self.fixture.listed[&self.id(*number)].clone();
                let listed = self.fixture.listed.values();
                let affected = listed.filter(|it| (&it.zone, &it.rack) == (&rack.zone, &rack.rack));
                let affected: Vec<InstanceId> =
                    affected.map(|instance| instance.id.clone()).collect();
                affected.iter().for_each(|id| self.fixture.fail(id, Symptom::Hanging));
            }
            Event::Recover => self.fixture.observations.symptoms.clear(),
            Event::ToggleZone(zone) => {
                let zone = self.fixture.config.zones.get_mut(&*format!("z{zone}"));
                let zone = zone.expect("the zone exists");
                zone.out = !zone.out;
            }
            Event::Demand(service, count) => self.fixture.demand(&format!("s{service}"), *count),
            Event::SetRunning(number, count) => {
                let id = self.id(*number);
                self.fixture.observations.running.insert(id, *count);
            }
            Event::ClearRunning => self.fixture.observations.running.clear(),
            Event::SetConfirming(confirming) => self.confirming = *confirming,
            Event::CompleteRequests => self.fixture.complete_requests(),
            Event::Wait(seconds) => self.fixture.now += Duration::from_secs(*seconds),
        }
    }

    fn round(&mut self) {
        let before = self.fixture.document.clone();
        let confirmed = self.fixture.observations.confirmed;
        self.fixture.round();
        if !self.confirming {
            self.fixture.observations.confirmed = confirmed;
        }
        self.check_budgets(&before);
        self.check_steps(&before, confirmed);
    }

    fn check_budgets(&self, before: &FleetDocument) {
        let Fixture { config, listed, document, observations, .. } = &self.fixture;
        let failing: BTreeSet<InstanceId> = observations.symptoms.keys().cloned().collect();
        let broken = broken_by_plan(config, listed, &failing, before, document);
        assert_eq!(broken, None, "the budget of a service is broken");
    }

    /// Checks that an instance is rebooted or moved only after every entry instance has confirmed
    /// its drain, and only if no request runs on it or it is failing.
    fn check_steps(&self, before: &FleetDocument, confirmed: u64) {
        for (id, placement) in &self.fixture.document.placements {
            let Some(old) = before.placements.get(id) else { continue };
            let Some(step) = &old.step else { continue };
            let running = self.fixture.observations.running(id);
            let rebooting = placement.step.as_ref().is_some_and(|it| it.phase == Phase::Rebooting);
            // No request runs on a spare instance, so it needs no drain.
            let moved = placement.pool != old.pool && &*old.pool != "spare";
            if step.phase == Phase::Draining && (rebooting || moved) {
                assert!(confirmed >= step.document_number, "the drain of {id} was not confirmed");
                assert!(running == 0 || old.failure.is_some() || placement.failure.is_some());
            }
            if moved && step.phase != Phase::Trying {
                assert!(matches!(step.kind, StepKind::Move { .. }));
            }
        }
    }
}

#[test]
fn no_planned_step_breaks_a_budget() {
    let config = RunnerConfig {
        rng_seed: RngSeed::Fixed(52),
        cases: 400,
        failure_persistence: None,
        ..RunnerConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let result = runner.run(&prop::collection::vec(event(), 1..60), |events| {
        let mut schedule = Schedule::new();
        for event in &events {
            schedule.apply(event);
            schedule.round();
        }
        Ok(())
    });
    result.expect("no schedule breaks a budget");
}
