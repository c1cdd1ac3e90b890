use std::collections::BTreeSet;

use cassiafold_config::raw::RawConfig;
use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

use crate::dependencies::{NoPeers, RackDomains};
use crate::selection::SelectionCriteria;

use super::*;

const ZONES: [&str; 3] = ["a", "b", "c"];
const POOLS: [&str; 3] = ["portal", "lookup", "spare"];

fn config(out: &[bool; 3]) -> Config {
    let zones: serde_json::Map<_, _> = ZONES
        .iter()
        .zip(out)
        .map(|(zone, out)| ((*zone).to_owned(), serde_json::json!({"region": "north", "out": out})))
        .collect();
    let raw: RawConfig = serde_json::from_value(serde_json::json!({
        "version": 1,
        "zones": zones,
        "services": {
            "portal": {"floor_share": 0.5, "slots_per_instance": 2},
            "lookup": {"floor_share": 0.5, "slots_per_instance": 3},
        },
        "pools": {"portal": {"service": "portal"}, "lookup": {"service": "lookup"}, "spare": {}},
        "teams": {},
    }))
    .unwrap();
    Config::try_from(raw).unwrap()
}

fn instance(index: usize, zone: usize, pool: usize, leaving: bool) -> Instance {
    Instance {
        id: format!("i{index}").into(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        zone: ZONES[zone].into(),
        rack: format!("r{}", index / 2).into(),
        pool: POOLS[pool].into(),
        state: if leaving { InstanceState::Leaving } else { InstanceState::Live },
    }
}

#[derive(Debug, Clone)]
enum Step {
    Choose { idempotent: bool, avoid: Option<usize> },
    Finish { nth: usize },
    Record { index: usize, ok: bool },
    BackOff { index: usize },
    Wait { ms: u64 },
    EditInstance { index: usize, zone: usize, pool: usize, leaving: bool, gone: bool },
    SetZoneOut { zone: usize, out: bool },
}

const INSTANCES: usize = 12;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<bool>(), prop::option::weighted(0.2, 0..INSTANCES))
            .prop_map(|(idempotent, avoid)| Step::Choose { idempotent, avoid }),
        5 => (0..30_usize).prop_map(|nth| Step::Finish { nth }),
        3 => (0..INSTANCES, prop::bool::weighted(0.3))
            .prop_map(|(index, ok)| Step::Record { index, ok }),
        1 => (0..INSTANCES).prop_map(|index| Step::BackOff { index }),
        1 => (1..3_000_u64).prop_map(|ms| Step::Wait { ms }),
        2 => (0..INSTANCES, 0..3_usize, 0..3_usize, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(index, zone, pool, leaving, gone)| {
                Step::EditInstance { index, zone, pool, leaving, gone }
            }),
        1 => (0..3_usize, any::<bool>()).prop_map(|(zone, out)| Step::SetZoneOut { zone, out }),
    ]
}

/// Computes the free backend servers of a service directly from the rules, without the index.
fn naive_free(backends: &Backends, config: &Config, service: &str, now: Instant) -> Vec<usize> {
    let is_free = |backend: &Backend| {
        let pool = config.service_of_pool(&backend.instance.pool);
        let slots = config.services[service].slots_per_instance;
        backend.listed
            && pool.map(|id| &**id) == Some(service)
            && backend.instance.state == InstanceState::Live
            && config.zone_open(&backend.instance.zone)
            && backend.running < slots
            && backend.full_until.is_none_or(|until| until <= now)
            && backend.health.routing_state() == RoutingState::Healthy
    };
    backends
        .backends
        .iter()
        .filter(|(_, backend)| is_free(backend))
        .map(|(index, _)| index)
        .collect()
}

fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let portal: ServiceId = "portal".into();
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut out, mut now) = ([false; 3], Instant::now());
    let mut list: Vec<Instance> =
        (0..INSTANCES).map(|index| instance(index, index % 3, index % 2, false)).collect();
    let mut current_config = config(&out);
    let mut backends = Backends::new("a".into());
    backends.rebuild(&current_config, &list, &NoPeers);
    let mut held_slots: Vec<BackendIndex> = Vec::new();
    for step in steps {
        match step {
            Step::Choose { idempotent, avoid } => {
                let avoid: Vec<Instance> =
                    avoid.and_then(|index| list.get(index).cloned()).into_iter().collect();
                let criteria = SelectionCriteria { idempotent, avoid: &avoid };
                let free = naive_free(&backends, &current_config, "portal", now);
                let chosen = backends.choose(&portal, criteria, &RackDomains, &mut rng);
                if let Some(index) = chosen {
                    let backend = backends.get(index);
                    let on_trial =
                        matches!(backend.health.routing_state(), RoutingState::Trial { .. });
                    prop_assert!(free.contains(&index) || (on_trial && backend.running == 0));
                    let home_has_free_slot =
                        free.iter().any(|it| &*backends.get(*it).instance.zone == "a");
                    let home_chosen_or_exempt =
                        &*backend.instance.zone == "a" || on_trial || !avoid.is_empty();
                    prop_assert!(
                        !home_has_free_slot || home_chosen_or_exempt,
                        "left the home zone although it has a free slot"
                    );
                    let free_others = free.iter().filter(|it| {
                        avoid.iter().all(|avoided| avoided.id != backends.get(**it).instance.id)
                    });
                    let chose_avoided =
                        avoid.iter().any(|avoided| avoided.id == backend.instance.id);
                    prop_assert!(
                        !chose_avoided || free_others.count() == 0,
                        "chose the avoided instance"
                    );
                    backends.acquire_slot(index);
                    held_slots.push(index);
                } else {
                    prop_assert!(free.is_empty());
                }
            }
            Step::Finish { nth } if nth < held_slots.len() => {
                backends.release_slot(held_slots.swap_remove(nth))
            }
            Step::Finish { .. } => {}
            Step::Record { index, ok } => {
                if let Some(&index) = backends.by_id.get(&*format!("i{index}")) {
                    let result = if ok { AttemptResult::Ok } else { AttemptResult::Broken };
                    backends.record(index, result, now);
                }
            }
            Step::BackOff { index } => {
                if let Some(&index) = backends.by_id.get(&*format!("i{index}")) {
                    backends.back_off(index, now + Duration::from_millis(20));
                }
            }
            Step::Wait { ms } => {
                now += Duration::from_millis(ms);
                backends.end_backoffs(now);
            }
            Step::EditInstance { index, zone, pool, leaving, gone } => {
                let id: InstanceId = format!("i{index}").into();
                list.retain(|instance| instance.id != id);
                if !gone {
                    list.push(instance(index, zone, pool, leaving));
                }
                backends.rebuild(&current_config, &list, &NoPeers);
            }
            Step::SetZoneOut { zone, out: is_out } => {
                out[zone] = is_out;
                current_config = config(&out);
                backends.rebuild(&current_config, &list, &NoPeers);
            }
        }
        check_counts(&backends, &held_slots)?;
    }
    Ok(())
}

/// Checks the number of held slots of each backend server and the ejected count of each service.
fn check_counts(backends: &Backends, held_slots: &[BackendIndex]) -> Result<(), TestCaseError> {
    for (index, backend) in &backends.backends {
        let naive = held_slots.iter().filter(|other| **other == index).count();
        prop_assert_eq!(backend.running as usize, naive);
    }
    for service in backends.services.values() {
        let members: BTreeSet<_> = service.members.iter().collect();
        let routing_state = |index: &&&usize| backends.get(***index).health.routing_state();
        let ejected =
            members.iter().filter(|it| routing_state(it) != RoutingState::Healthy).count();
        prop_assert_eq!(service.ejected, ejected);
    }
    Ok(())
}

proptest! {
    #![proptest_config(RunnerConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..RunnerConfig::default()
    })]

    #[test]
    fn selection_matches_the_naive_implementation(steps in prop::collection::vec(step(), 1..150)) {
        run(steps)?;
    }
}

fn pool_of(size: usize, zone: usize) -> Backends {
    let list: Vec<Instance> = (0..size).map(|index| instance(index, zone, 0, false)).collect();
    let mut backends = Backends::new("a".into());
    backends.rebuild(&config(&[false; 3]), &list, &NoPeers);
    backends
}

#[test]
fn at_most_a_third_of_a_pool_is_ejected() {
    let mut backends = pool_of(10, 0);
    for index in 0..10 {
        for _ in 0..20 {
            backends.record(index, AttemptResult::ConnectFailed, Instant::now());
        }
    }
    assert_eq!(backends.counts(&"portal".into()).ejected, 3);
}

#[test]
fn a_failing_instance_does_not_attract_requests() {
    let mut backends = pool_of(10, 0);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut failing_requests = 0;
    for _ in 0..1_000 {
        let criteria = SelectionCriteria { idempotent: false, avoid: &[] };
        let index = backends.choose(&"portal".into(), criteria, &RackDomains, &mut rng).unwrap();
        let is_failing = &*backends.get(index).instance.id == "i0";
        let result = if is_failing { AttemptResult::ServerError } else { AttemptResult::Ok };
        failing_requests += u32::from(is_failing);
        backends.record(index, result, Instant::now());
    }
    assert!(failing_requests <= 10, "{failing_requests}");
}

#[test]
fn a_trial_allows_one_request_and_ends_with_its_success() {
    let mut backends = pool_of(3, 0);
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::now();
    for _ in 0..5 {
        backends.record(0, AttemptResult::ServerError, now);
    }
    backends.end_backoffs(now + Duration::from_secs(1));
    let portal: ServiceId = "portal".into();
    let criteria = SelectionCriteria { idempotent: true, avoid: &[] };
    assert_eq!(backends.choose(&portal, criteria, &RackDomains, &mut rng), Some(0));
    backends.acquire_slot(0);
    for _ in 0..50 {
        assert_ne!(backends.choose(&portal, criteria, &RackDomains, &mut rng), Some(0));
    }
    backends.release_slot(0);
    let other = SelectionCriteria { idempotent: false, avoid: &[] };
    assert_ne!(backends.choose(&portal, other, &RackDomains, &mut rng), Some(0));
    backends.end_backoffs(now + Duration::from_secs(6));
    assert_eq!(backends.choose(&portal, other, &RackDomains, &mut rng), Some(0));
    assert_eq!(backends.record(0, AttemptResult::Ok, now), HealthChange::Recovered);
    assert_eq!(backends.counts(&portal).ejected, 0);
}

#[test]
fn after_a_failure_another_rack_is_preferred_and_the_same_instance_comes_last() {
    // Instances 0 and 1 share a rack, as do 2 and 3.
    let list: Vec<Instance> = (0..4).map(|index| instance(index, index / 2, 0, false)).collect();
    let mut backends = Backends::new("a".into());
    let mut rng = SmallRng::seed_from_u64(1);
    let portal: ServiceId = "portal".into();
    for (listed, expected) in [(4, &["i2", "i3"][..]), (2, &["i1"]), (1, &["i0"])] {
        backends.rebuild(&config(&[false; 3]), &list[..listed], &NoPeers);
        for _ in 0..20 {
            let criteria = SelectionCriteria { idempotent: true, avoid: &list[..1] };
            let index = backends.choose(&portal, criteria, &RackDomains, &mut rng).unwrap();
            assert!(expected.contains(&&*backends.get(index).instance.id));
        }
    }
}

/// Other entry instances that run the given number of requests on `i0`.
#[derive(Debug, Clone)]
struct Peers(u32);

impl PeerLoad for Peers {
    fn running(&self, instance: &InstanceId) -> u32 {
        if &**instance == "i0" { self.0 } else { 0 }
    }

    fn entry_count(&self) -> u32 {
        2
    }

    fn changes(&self) -> tokio::sync::watch::Receiver<()> {
        crate::limit::never()
    }
}

#[test]
fn slots_used_by_other_entry_instances_are_not_selected() {
    let mut backends = pool_of(1, 0);
    let mut rng = SmallRng::seed_from_u64(1);
    let criteria = SelectionCriteria { idempotent: false, avoid: &[] };
    let mut can_choose = |backends: &Backends| {
        backends.choose(&"portal".into(), criteria, &RackDomains, &mut rng).is_some()
    };
    backends.acquire_slot(0);
    backends.update_peers(&Peers(1));
    assert!(!can_choose(&backends));
    backends.update_peers(&Peers(0));
    assert!(can_choose(&backends));
    let list = [instance(0, 0, 0, false)];
    backends.rebuild(&config(&[false; 3]), &list, &Peers(1));
    assert!(!can_choose(&backends));
}
