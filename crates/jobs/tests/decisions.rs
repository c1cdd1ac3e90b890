//! Unit tests of the decision functions, each with the load pattern for which it was written.

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_jobs::balance::{Load, Pool, choose_moves, machines_for};
use cassiafold_jobs::coalescing::coalescing_delay;
use cassiafold_jobs::placement::{
    Candidate, TaskRequirements, UnplaceableRequirements, choose_worker,
};
use cassiafold_jobs::spec::{Resources, StepId};
use cassiafold_jobs::step_order::{WaitingStep, sort};
use cassiafold_jobs::throttle::next_speed_percent;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn pool(machines: usize, idle: usize, needed: usize, may_shrink: bool) -> Pool {
    let idle = (0..idle).map(|number| format!("m{number}").into()).collect();
    Pool { is_spare: false, may_shrink, machines, idle, needed, load: Load::default() }
}

fn moves_by_service(pools: &[(&str, Pool)]) -> BTreeMap<ServiceId, usize> {
    let pools: BTreeMap<ServiceId, Pool> =
        pools.iter().map(|(id, pool)| (ServiceId::from(*id), pool.clone())).collect();
    let mut counts = BTreeMap::new();
    for machine_move in choose_moves(&pools, 12) {
        *counts.entry(machine_move.service).or_default() += 1;
    }
    counts
}

macro_rules! moves {
    ($($name:ident: $pools:expr => $expected:expr;)+) => {
        $(#[test] fn $name() {
            let expected: BTreeMap<ServiceId, usize> = $expected
                .into_iter()
                .map(|(id, count): (&str, usize)| (ServiceId::from(id), count))
                .collect();
            assert_eq!(moves_by_service(&$pools), expected);
        })+
    };
}

moves! {
    a_service_in_need_takes_idle_machines_of_one_that_may_not_shrink:
        [("busy", pool(2, 0, 6, false)), ("calm", pool(9, 7, 1, false))] => [("busy", 4)];
    machines_of_the_spare_pool_are_moved_first:
        [
            ("busy", pool(2, 0, 4, false)),
            ("calm", pool(9, 7, 1, true)),
            ("off", Pool { is_spare: true, ..pool(2, 2, 0, false) }),
        ] => [("busy", 2), ("off", 7)];
    idle_machines_go_to_the_spare_pool_only_from_a_service_that_may_shrink:
        [
            ("early", pool(9, 7, 1, false)),
            ("late", pool(9, 7, 1, true)),
            ("off", Pool { is_spare: true, ..pool(0, 0, 0, false) }),
        ] => [("off", 7)];
    a_service_keeps_the_machines_that_it_needs:
        [("busy", pool(2, 0, 9, false)), ("calm", pool(5, 5, 3, true))] => [("busy", 1)];
}

#[test]
fn a_need_beyond_all_machines_gives_no_machine_away() {
    let off = Pool { is_spare: true, ..pool(0, 0, 0, false) };
    let pools = [("endless", pool(9, 9, usize::MAX, true)), ("off", off)];
    assert_eq!(moves_by_service(&pools), BTreeMap::new());
}

#[test]
fn a_backlog_needs_more_cores_than_the_arrival_rate() {
    let steady = Load { arriving: 90.0, ..Load::default() };
    let queued = Load { waiting_core_s: 150.0, ..steady };
    assert!(queued.cores() > steady.cores() + 90.0);
    assert_eq!(machines_for(steady.cores(), 64.0), 2);
}

fn waiting_step(job: u64, work_left: f64, waiting_since: Duration) -> WaitingStep {
    WaitingStep {
        step: StepId { job, occurrence: 0, step: 0 },
        priority: 0,
        long_running: false,
        exceeds_share: false,
        waiting_since,
        ready_since: waiting_since,
        objective: waiting_since + ms(3_000),
        critical_path_left: ms(1_000),
        work_left,
    }
}

fn sorted_jobs(mut steps: Vec<WaitingStep>, now: Duration) -> Vec<u64> {
    sort(&mut steps, now);
    steps.into_iter().map(|step| step.step.job).collect()
}

#[test]
fn small_jobs_that_can_meet_their_objective_come_first() {
    let steps = vec![waiting_step(1, 9.0, ms(0)), waiting_step(2, 1.0, ms(10))];
    assert_eq!(sorted_jobs(steps, ms(100)), [2, 1]);
}

#[test]
fn jobs_that_missed_their_objective_follow_in_order_of_age() {
    let late = |job, waiting_since| WaitingStep {
        critical_path_left: ms(5_000),
        ..waiting_step(job, 1.0, waiting_since)
    };
    let steps = vec![late(1, ms(20)), late(2, ms(10)), waiting_step(3, 50.0, ms(30))];
    assert_eq!(sorted_jobs(steps, ms(100)), [3, 2, 1]);
}

#[test]
fn long_running_tasks_come_before_all_others() {
    let long_running =
        WaitingStep { long_running: true, priority: 5, ..waiting_step(1, 9.0, ms(50)) };
    assert_eq!(sorted_jobs(vec![waiting_step(2, 1.0, ms(0)), long_running], ms(100)), [1, 2]);
}

#[test]
fn jobs_in_excess_of_a_teams_weight_come_last_within_their_priority() {
    let excess = WaitingStep { exceeds_share: true, ..waiting_step(1, 1.0, ms(0)) };
    assert_eq!(sorted_jobs(vec![excess, waiting_step(2, 9.0, ms(50))], ms(100)), [2, 1]);
}

#[test]
fn the_speed_of_an_opportunistic_task_is_halved_under_overload_and_raised_gradually() {
    assert_eq!(next_speed_percent(100, Some(1.2)), 50);
    assert_eq!(next_speed_percent(12, Some(1.2)), 0);
    assert_eq!(next_speed_percent(50, Some(0.8)), 50);
    assert_eq!(next_speed_percent(50, Some(0.5)), 65);
    assert_eq!(next_speed_percent(95, Some(0.5)), 100);
}

#[test]
fn wakeups_are_coalesced_only_at_a_high_message_rate() {
    assert_eq!(coalescing_delay(100.0), Duration::ZERO);
    assert_eq!(coalescing_delay(5_000.0), ms(4));
}

#[test]
fn requirements_not_smaller_than_unplaceable_ones_are_not_tried() {
    let cores = |cores: u32| Resources { processors_milli: cores * 1_000, ..Resources::default() };
    let requirements = |reserved, per_worker_max| TaskRequirements {
        reserved,
        label: None,
        data_rack: None,
        per_worker_max,
        long_running: false,
        serves: false,
        opportunistic: false,
        suspect_of: None,
    };
    let mut unplaced = UnplaceableRequirements::default();
    unplaced.record(&requirements(cores(2), Some(1)));
    assert!(!unplaced.covers(&cores(2)), "another worker may have capacity for it");
    unplaced.record(&requirements(cores(8), None));
    unplaced.record(&requirements(cores(4), None));
    assert!(unplaced.covers(&cores(4)));
    assert!(unplaced.covers(&cores(9)));
    assert!(!unplaced.covers(&cores(3)));
}

/// Number of tasks that start when their workers are chosen one after the other.
fn count_by_choice(requirements: &TaskRequirements, mut candidates: Vec<Candidate>) -> u64 {
    let mut count = 0;
    while let Some(slot) = choose_worker(requirements, candidates.iter(), &[]) {
        let chosen = candidates.iter_mut().find(|one| one.slot == slot).expect("a candidate");
        chosen.free = chosen.free.minus(&requirements.reserved);
        chosen.same_step += 1;
        count += 1;
    }
    count
}

prop_compose! {
    fn any_candidate()(
        processors_milli in 0..20_u32,
        memory_bytes in 0..20_u64,
        accelerators in 0..5_u32,
        same_step in 0..4_u32,
        has_label in any::<bool>(),
    ) -> Candidate {
        let free = Resources { processors_milli, memory_bytes, accelerators };
        let labels: Vec<std::sync::Arc<str>> = if has_label { vec!["l".into()] } else { Vec::new() };
        Candidate {
            slot: 0, capacity: free, free, labels: labels.into(), same_step, long_running: 0,
            serving: 0, opportunistic: 0, is_suspect: false, starting_suspect: None,
            is_maintenance_due: false,
            known_harm_milli: 0,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(1_661),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against gangs that are skipped although they fit.
    #[test]
    fn the_tasks_that_fit_are_as_many_as_can_be_placed(
        mut candidates in prop::collection::vec(any_candidate(), 0..5),
        (processors_milli, memory_bytes, accelerators) in (1..6_u32, 0..6_u64, 0..2_u32),
        needs_label in any::<bool>(),
        per_worker_max in prop::option::of(0..5_u32),
    ) {
        for (slot, candidate) in candidates.iter_mut().enumerate() {
            candidate.slot = slot;
        }
        let requirements = TaskRequirements {
            reserved: Resources { processors_milli, memory_bytes, accelerators },
            label: needs_label.then(|| "l".into()),
            data_rack: None,
            per_worker_max,
            long_running: false,
            serves: false,
            opportunistic: false,
            suspect_of: None,
        };
        let fitting: u64 = candidates.iter().map(|one| one.tasks_that_fit(&requirements)).sum();
        prop_assert_eq!(fitting, count_by_choice(&requirements, candidates));
    }
}
