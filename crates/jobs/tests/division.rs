//! Replays of overlapping peaks: how machines are divided when services together need more than
//! there are.

mod emulator;
mod harness;

use std::collections::BTreeMap;
use std::sync::Arc;

use cassiafold_config::ServiceId;
use cassiafold_jobs::arrivals::{Arrivals, Work};
use cassiafold_jobs::balance::{
    Load, Move, PeakNeed, Pool, choose_moves, machines_for, machines_to_vacate,
};
use cassiafold_jobs::clients::{EndedRun, PollResponse, RunEnd};
use cassiafold_jobs::cluster::{Machine, MachineState, Queue, Service, WorkerEntry};
use cassiafold_jobs::division::{Claim, divide};
use cassiafold_jobs::record::JobRecord;
use cassiafold_jobs::scheduler::{MachineCommand, OwnerTerm, Scheduler};
use cassiafold_jobs::spec::{Resources, StepSpec};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use self::emulator::worker::EmulatedWorker;
use self::emulator::{QUEUE, SERVICE, config, cores, job, ms, settings, step};
use self::harness::{REVISION_AFTER_TAKEOVER, SchedulerHarness};

/// Cores of each machine.
const CORES_EACH: f64 = 10.0;
/// The service whose peak begins while that of [`SERVICE`] ends.
const RISING: &str = "rising";

fn shares(claims: &[(&str, Claim)], machines: usize) -> BTreeMap<String, usize> {
    let claims: BTreeMap<ServiceId, Claim> =
        claims.iter().map(|(id, claim)| (ServiceId::from(*id), *claim)).collect();
    divide(&claims, machines).into_iter().map(|(id, share)| (id.to_string(), share)).collect()
}

/// The claim of a service with this load on 100 machines.
fn claim(load: Load) -> Claim {
    let needed = machines_for(load.cores(), CORES_EACH);
    Claim::new(&load, needed, 0, CORES_EACH, 100)
}

macro_rules! divisions {
    ($($name:ident: $claims:expr, $machines:expr => $expected:expr;)+) => {
        $(#[test] fn $name() {
            let expected: BTreeMap<String, usize> =
                $expected.into_iter().map(|(id, share): (&str, usize)| (id.into(), share)).collect();
            assert_eq!(shares(&$claims, $machines), expected);
        })+
    };
}

divisions! {
    claims_that_fit_are_met:
        [
            ("a", Claim { on_time: 30.0, ..Claim::default() }),
            ("b", Claim { late: 50.0, ..Claim::default() }),
        ], 100 => [("a", 30), ("b", 50)];
    services_at_their_peak_get_the_same_part_of_what_they_need:
        [
            ("a", Claim { on_time: 100.0, ..Claim::default() }),
            ("b", Claim { on_time: 50.0, ..Claim::default() }),
        ], 75 => [("a", 50), ("b", 25)];
    long_running_tasks_keep_their_machines_at_the_peak_of_another_service:
        [
            ("a", Claim { on_time: 100.0, ..Claim::default() }),
            ("b", Claim { floor: 20.0, ..Claim::default() }),
        ], 75 => [("a", 55), ("b", 20)];
    late_work_comes_after_work_that_can_be_on_time:
        [
            ("a", Claim { floor: 5.0, late: 50.0, ..Claim::default() }),
            ("b", Claim { on_time: 60.0, ..Claim::default() }),
        ], 75 => [("a", 15), ("b", 60)];
    a_predicted_rise_takes_nothing_from_work_that_waits:
        [
            ("a", Claim { on_time: 20.0, predicted: 80.0, ..Claim::default() }),
            ("b", Claim { on_time: 50.0, ..Claim::default() }),
        ], 75 => [("a", 25), ("b", 50)];
    what_rounding_leaves_goes_to_the_largest_fraction:
        [
            ("a", Claim { on_time: 10.0, ..Claim::default() }),
            ("b", Claim { on_time: 20.0, ..Claim::default() }),
        ], 20 => [("a", 7), ("b", 13)];
    no_machines_are_divided_without_harm:
        [("a", Claim { on_time: 10.0, ..Claim::default() })], 0 => [("a", 0)];
}

#[test]
fn a_claim_has_late_work_in_its_floor_only_in_part() {
    let late = claim(Load { waiting_core_s: 270.0, late_core_s: 270.0, ..Load::default() });
    assert_eq!((late.floor, late.on_time, late.late), (2.0, 0.0, 18.0));
    let on_time = claim(Load { waiting_core_s: 270.0, ..Load::default() });
    assert_eq!((on_time.floor, on_time.on_time, on_time.late), (0.0, 20.0, 0.0));
}

#[test]
fn no_tier_of_a_claim_asks_for_more_machines_than_there_are() {
    let claim = claim(Load { arriving: 90.0, expected: 1e9, ..Load::default() });
    assert_eq!((claim.on_time, claim.predicted), (10.0, 100.0));
}

#[test]
fn a_claim_without_known_machines_asks_for_nothing() {
    let load = Load { arriving: 90.0, ..Load::default() };
    assert_eq!(Claim::new(&load, usize::MAX, 3, 0.0, 100), Claim::default());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_division_gives_no_more_than_there_is_or_than_is_asked_for(
        claims in proptest::collection::vec(proptest::array::uniform4(0.0..200.0_f64), 1..6),
        machines in 0_usize..500,
    ) {
        let claims: BTreeMap<ServiceId, Claim> = claims.iter().enumerate().map(|(number, tiers)| {
            let [floor, on_time, predicted, late] = *tiers;
            (ServiceId::from(format!("s{number}")), Claim { floor, on_time, predicted, late })
        }).collect();
        let shares = divide(&claims, machines);
        prop_assert!(shares.values().sum::<usize>() <= machines);
        for (id, share) in shares {
            let Claim { floor, on_time, predicted, late } = claims[&id];
            prop_assert!(share as f64 <= (floor + on_time + predicted + late).ceil());
        }
    }
}

fn pool(machines: usize, needed: usize) -> Pool {
    Pool { machines, needed, ..Pool::default() }
}

/// Machines to vacate by service, after `moves` from the spare pool to the first service.
fn vacated(pools: &[(&str, Pool)], moves: usize) -> Vec<(String, usize)> {
    let moves: Vec<Move> = (0..moves)
        .map(|number| Move {
            machine: format!("m{number}").into(),
            from: "off".into(),
            service: pools[0].0.into(),
        })
        .collect();
    let pools = pools.iter().map(|(id, pool)| (ServiceId::from(*id), pool.clone())).collect();
    let counts = machines_to_vacate(&pools, &moves);
    counts.into_iter().map(|(id, count)| (id.to_string(), count)).collect()
}

#[test]
fn a_service_vacates_the_machines_that_others_lack() {
    let pools = [("a", pool(2, 10)), ("b", pool(30, 5)), ("c", pool(8, 5))];
    assert_eq!(vacated(&pools, 0), [("b".to_owned(), 8)]);
    assert_eq!(vacated(&pools, 6), [("b".to_owned(), 2)], "six are on their way");
    assert_eq!(vacated(&pools, 8), []);
}

#[test]
fn several_services_vacate_machines_if_one_has_too_few() {
    let pools = [("a", pool(0, 10)), ("b", pool(12, 5)), ("c", pool(8, 5))];
    assert_eq!(vacated(&pools, 0), [("b".to_owned(), 6), ("c".to_owned(), 2)]);
}

/// Happens at the first rise of the demand: a few jobs came before it, and none for a moment.
#[test]
fn a_few_jobs_before_the_first_peak_are_not_its_end() {
    let mut arrivals = Arrivals::default();
    let service = ServiceId::from(SERVICE);
    let work = Work { core_seconds: 1.0, cores_max: 1.0 };
    let record = |arrivals: &mut Arrivals, jobs: u64, at| {
        (0..jobs).for_each(|_| arrivals.record(&service, work, at));
    };
    record(&mut arrivals, 3, ms(10_000));
    assert!(arrivals.is_falling(SERVICE, ms(10_750)));
    assert!(!arrivals.has_clearly_fallen(SERVICE, ms(10_750)));
    record(&mut arrivals, 40, ms(20_000));
    assert!(arrivals.has_clearly_fallen(SERVICE, ms(20_750)));
}

#[test]
fn a_fall_ends_a_peak_that_needed_half_of_the_machines_or_is_clear() {
    let has_fallen = |highest, is_clear| {
        let mut need = PeakNeed::default();
        need.record(highest, false, ms(1_000));
        need.note_fall(9, is_clear);
        need.has_fallen()
    };
    assert!(has_fallen(5, false));
    assert!(!has_fallen(4, false));
    assert!(has_fallen(4, true));
}

/// A scheduler with two workers of 16 cores of [`SERVICE`], whose machines are up, and a queue of
/// [`RISING`] without machines.
fn harness_of_two_services() -> SchedulerHarness {
    let now = ms(100_000);
    let mut scheduler = Scheduler::new(settings(), OwnerTerm::default(), now);
    let mut config = (*config(Resources::default())).clone();
    let queue = Queue {
        id: RISING.into(),
        prefix: "/rising/".into(),
        service: RISING.into(),
        ..config.queues[QUEUE].clone()
    };
    config.queues.insert(queue.id.clone(), queue);
    config.services.insert(RISING.into(), Service::default());
    scheduler.set_config(Arc::new(config));
    let capacity = Resources { memory_bytes: 64 << 30, ..cores(16) };
    let entries: Vec<WorkerEntry> =
        (0..2).map(|number| EmulatedWorker::new(number, capacity).entry()).collect();
    scheduler.set_workers(entries, now);
    let mut harness = SchedulerHarness::from_scheduler(scheduler, now);
    harness.set_machines(SchedulerHarness::machines(2, MachineState::Up));
    harness.run_for(ms(500));
    harness
}

fn rising_job(steps: Vec<StepSpec>) -> JobRecord {
    JobRecord { queue: RISING.into(), service: RISING.into(), ..job(steps) }
}

/// Passes the list of machines again, as it is, and runs for a balancing pass.
fn balance(harness: &mut SchedulerHarness) {
    let machines: Vec<Machine> = harness.listed_machines.clone();
    harness.set_machines(machines);
    harness.run_for(ms(300));
}

fn cordoned(harness: &SchedulerHarness) -> Vec<usize> {
    (0..2).filter(|slot| harness.scheduler.worker(*slot).is_cordoned).collect()
}

/// Each worker runs a task that takes this long, and the rising service has work for many machines.
fn harness_with_scattered_tasks(estimate_ms: u64) -> SchedulerHarness {
    let mut harness = harness_of_two_services();
    let apart = StepSpec { estimate: ms(estimate_ms), ..step(2, 10, &[]) };
    harness.submit(1, vec![apart]);
    // The arrival counts for less than a second.
    harness.run_for(ms(900));
    assert_eq!(harness.running(), 2);
    let waiting = rising_job(vec![step(400, 1, &[])]);
    harness.scheduler.add_job(2, waiting, REVISION_AFTER_TAKEOVER, None, harness.now);
    balance(&mut harness);
    harness
}

/// Happens at the end of a peak: the last tasks are scattered over all machines of a service, while
/// another one waits for machines.
#[test]
fn a_machine_with_its_last_tasks_is_vacated_for_a_service_that_lacks_machines() {
    let mut harness = harness_with_scattered_tasks(900);
    assert_eq!(cordoned(&harness).len(), 1, "the other one keeps the surplus");
    assert_eq!(harness.machine_commands, []);
    let slot = cordoned(&harness)[0];
    let (task, run) = harness.running.get_mut(&slot).and_then(Vec::pop).expect("a run");
    let end = EndedRun { number: 1, task, run, end: RunEnd::Done, checkpoint: None };
    let poll = PollResponse { clock: harness.now, ended: vec![end], ..PollResponse::default() };
    harness.scheduler.handle_poll_response(slot, false, harness.now, harness.now, poll);
    balance(&mut harness);
    let moved = MachineCommand::Move { machine: format!("m{slot}").into(), service: RISING.into() };
    assert_eq!(harness.machine_commands.first(), Some(&moved));
}

#[test]
fn a_machine_whose_tasks_take_long_is_not_vacated() {
    assert!(cordoned(&harness_with_scattered_tasks(60_000)).is_empty());
}

#[test]
fn vacated_machines_take_tasks_again_once_no_service_lacks_machines() {
    let mut harness = harness_with_scattered_tasks(900);
    assert_eq!(cordoned(&harness).len(), 1);
    harness.scheduler.cancel(2, harness.now);
    harness.run_for(ms(1_000));
    balance(&mut harness);
    assert!(cordoned(&harness).is_empty());
}

/// Machines can't move while they can't be listed, so none is kept free for a move.
#[test]
fn vacated_machines_take_tasks_again_while_the_machines_cannot_be_listed() {
    let mut harness = harness_with_scattered_tasks(900);
    assert_eq!(cordoned(&harness).len(), 1);
    harness.run_for(ms(2_500));
    assert!(cordoned(&harness).is_empty());
}

/// Machines of each service after the moves that are chosen for two peaks that overlap.
fn overlapping_peaks(is_divided: bool) -> BTreeMap<&'static str, usize> {
    let load = |arriving| Load { arriving, ..Load::default() };
    let mut pools: BTreeMap<ServiceId, Pool> = BTreeMap::new();
    for (id, machines, arriving) in [("a", 10, 900.0), ("b", 10, 450.0), ("c", 40, 50.0)] {
        let load = load(arriving);
        let idle = (0..machines).map(|number| format!("{id}{number}").into()).collect();
        let needed = machines_for(load.cores(), CORES_EACH);
        pools.insert(id.into(), Pool { machines, idle, needed, load, ..Pool::default() });
    }
    if is_divided {
        let claims = pools
            .iter()
            .map(|(id, pool)| (id.clone(), Claim::new(&pool.load, pool.needed, 0, CORES_EACH, 60)));
        for (id, share) in divide(&claims.collect(), 60) {
            let pool = pools.get_mut(&id).expect("known");
            pool.needed = pool.needed.min(share);
        }
    }
    let mut machines = BTreeMap::from([("a", 10), ("b", 10), ("c", 40)]);
    for moved in choose_moves(&pools, 100) {
        for (id, count) in &mut machines {
            *count += usize::from(**id == *moved.service);
            *count -= usize::from(**id == *moved.from);
        }
    }
    machines
}

/// Before, the service that lacked most machines got all that were free. A claim counts up to the
/// whole fleet, so the shares are in the ratio of 60 to 50.
#[test]
fn of_two_services_at_their_peak_both_get_free_machines() {
    assert_eq!(overlapping_peaks(false), BTreeMap::from([("a", 43), ("b", 10), ("c", 7)]));
    assert_eq!(overlapping_peaks(true), BTreeMap::from([("a", 30), ("b", 26), ("c", 4)]));
}
