//! Unit tests of the decision functions, each with the load pattern for which it was written.

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_jobs::balance::{Load, Pool, choose_moves, machines_for};
use cassiafold_jobs::coalescing::coalescing_delay;
use cassiafold_jobs::placement::{TaskRequirements, UnplaceableRequirements};
use cassiafold_jobs::spec::{Resources, StepId};
use cassiafold_jobs::step_order::{WaitingStep, sort};
use cassiafold_jobs::throttle::next_speed_percent;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn pool(machines: usize, idle: usize, needed: usize, may_shrink: bool) -> Pool {
    let idle = (0..idle).map(|number| format!("m{number}").into()).collect();
    Pool { is_spare: false, may_shrink, machines, idle, needed, load: Load::default() }
}

fn moved(pools: &[(&str, Pool)]) -> BTreeMap<ServiceId, usize> {
    let pools: BTreeMap<ServiceId, Pool> =
        pools.iter().map(|(id, pool)| (ServiceId::from(*id), pool.clone())).collect();
    let mut counts = BTreeMap::new();
    for one in choose_moves(&pools, 12) {
        *counts.entry(one.service).or_default() += 1;
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
            assert_eq!(moved(&$pools), expected);
        })+
    };
}

moves! {
    a_service_in_want_takes_idle_machines_of_one_that_keeps_them_for_now:
        [("busy", pool(2, 0, 6, false)), ("calm", pool(9, 7, 1, false))] => [("busy", 4)];
    the_spare_pool_gives_first:
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
    a_service_keeps_what_it_needs:
        [("busy", pool(2, 0, 9, false)), ("calm", pool(5, 5, 3, true))] => [("busy", 1)];
}

#[test]
fn a_backlog_asks_for_machines_beyond_the_rate() {
    let steady = Load { arriving: 90.0, ..Load::default() };
    let queued = Load { waiting_core_s: 150.0, ..steady };
    assert!(queued.cores() > steady.cores() + 90.0);
    assert_eq!(machines_for(steady.cores(), 64.0), 2);
}

fn contender(job: u64, work_left: f64, accepted: Duration) -> WaitingStep {
    WaitingStep {
        step: StepId { job, occurrence: 0, step: 0 },
        priority: 0,
        long_running: false,
        exceeds_share: false,
        accepted,
        ready_since: accepted,
        objective: accepted + ms(3_000),
        critical_path_left: ms(1_000),
        work_left,
    }
}

fn order(mut contenders: Vec<WaitingStep>, now: Duration) -> Vec<u64> {
    sort(&mut contenders, now);
    contenders.into_iter().map(|contender| contender.step.job).collect()
}

#[test]
fn small_jobs_that_can_meet_their_objective_come_first() {
    let contenders = vec![contender(1, 9.0, ms(0)), contender(2, 1.0, ms(10))];
    assert_eq!(order(contenders, ms(100)), [2, 1]);
}

#[test]
fn jobs_that_missed_their_objective_follow_in_order_of_age() {
    let late = |job, accepted| WaitingStep {
        critical_path_left: ms(5_000),
        ..contender(job, 1.0, accepted)
    };
    let contenders = vec![late(1, ms(20)), late(2, ms(10)), contender(3, 50.0, ms(30))];
    assert_eq!(order(contenders, ms(100)), [3, 2, 1]);
}

#[test]
fn long_running_tasks_come_before_all_others() {
    let long = WaitingStep { long_running: true, priority: 5, ..contender(1, 9.0, ms(50)) };
    assert_eq!(order(vec![contender(2, 1.0, ms(0)), long], ms(100)), [1, 2]);
}

#[test]
fn what_a_team_sends_beyond_its_weight_comes_last_of_its_priority() {
    let beyond = WaitingStep { exceeds_share: true, ..contender(1, 1.0, ms(0)) };
    assert_eq!(order(vec![beyond, contender(2, 9.0, ms(50))], ms(100)), [2, 1]);
}

#[test]
fn an_opportunistic_task_is_halved_at_once_and_let_go_step_by_step() {
    assert_eq!(next_speed_percent(100, 1.2), 50);
    assert_eq!(next_speed_percent(12, 1.2), 0);
    assert_eq!(next_speed_percent(50, 0.8), 50);
    assert_eq!(next_speed_percent(50, 0.5), 65);
    assert_eq!(next_speed_percent(95, 0.5), 100);
}

#[test]
fn news_gathers_only_while_much_of_it_comes() {
    assert_eq!(coalescing_delay(100.0), Duration::ZERO);
    assert_eq!(coalescing_delay(5_000.0), ms(4));
}

#[test]
fn what_asks_for_no_less_than_another_without_room_is_not_tried() {
    let cores = |cores: u32| Resources { processors_milli: cores * 1_000, ..Resources::default() };
    let demand = |reserved, per_worker_max| TaskRequirements {
        reserved,
        label: None,
        data_rack: None,
        per_worker_max,
        long_running: false,
        serves: false,
        opportunistic: false,
    };
    let mut unplaced = UnplaceableRequirements::default();
    unplaced.record(&demand(cores(2), Some(1)));
    assert!(!unplaced.covers(&cores(2)), "another worker may have had room for it");
    unplaced.record(&demand(cores(8), None));
    unplaced.record(&demand(cores(4), None));
    assert!(unplaced.covers(&cores(4)));
    assert!(unplaced.covers(&cores(9)));
    assert!(!unplaced.covers(&cores(3)));
}
