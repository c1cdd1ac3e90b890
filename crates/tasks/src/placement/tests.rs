use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::{Placement, Request, Worker, place};
use crate::record::{Resources, WorkerId};

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

fn resources(size: u32) -> Resources {
    Resources {
        processors_milli: size * 1_000,
        memory_bytes: u64::from(size) << 30,
        accelerators: size / 4,
    }
}

fn worker(index: usize, zone: usize, capacity: u32, used: u32, accepts: bool) -> Worker {
    Worker {
        id: format!("w{index}").into(),
        zone: ["a", "b"][zone].into(),
        rack: format!("r{}", index / 2).into(),
        capacity: resources(capacity),
        reported: resources(used),
        reserved: Resources::default(),
        accepts,
    }
}

/// Returns every worker that may run the task, by checking each.
fn choices_by_brute_force(request: &Request<'_>, workers: &[Worker]) -> Vec<usize> {
    let mut choices = Vec::new();
    for (index, worker) in workers.iter().enumerate() {
        let open = &*worker.zone == "a";
        let free = worker.capacity.minus(&worker.reported).minus(&worker.reserved);
        let failed_here = request.failed_on.contains(&worker.id);
        if worker.accepts && open && !failed_here && request.resources.fits(&free) {
            choices.push(index);
        }
    }
    choices
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_task_is_placed_where_it_fits_and_waits_only_when_nothing_does(
        sizes in prop::collection::vec((0_usize..2, 1_u32..16, 0_u32..16, any::<bool>()), 1..12),
        need in 1_u32..20,
        failed in prop::collection::vec(0_usize..12, 0..3),
    ) {
        let workers: Vec<Worker> = sizes
            .iter()
            .enumerate()
            .map(|(index, size)| worker(index, size.0, size.1, size.2, size.3))
            .collect();
        let failed_on: Vec<WorkerId> =
            failed.iter().map(|index| format!("w{index}").into()).collect();
        let request = Request { resources: resources(need), failed_on: &failed_on };
        let choices = choices_by_brute_force(&request, &workers);
        let possible = workers.iter().any(|worker| request.resources.fits(&worker.capacity));
        match place(&request, &workers, |zone| &**zone == "a") {
            Placement::On(index) => prop_assert!(choices.contains(&index)),
            Placement::Wait => prop_assert!(choices.is_empty() && possible),
            Placement::Unschedulable => prop_assert!(!possible),
        }
    }
}

#[test]
fn the_fullest_worker_with_enough_free_resources_is_chosen() {
    let workers =
        [worker(0, 0, 16, 0, true), worker(1, 0, 16, 10, true), worker(2, 0, 16, 14, true)];
    let request = Request { resources: resources(3), failed_on: &[] };
    assert_eq!(place(&request, &workers, |_| true), Placement::On(1));
}

#[test]
fn a_retry_avoids_the_rack_of_the_failed_worker() {
    let workers =
        [worker(0, 0, 16, 0, true), worker(1, 0, 16, 10, true), worker(2, 0, 16, 0, true)];
    let failed_on = ["w0".into()];
    let request = Request { resources: resources(3), failed_on: &failed_on };
    assert_eq!(place(&request, &workers, |_| true), Placement::On(2));
}

#[test]
fn reservations_count_until_a_report_arrives() {
    let mut workers = [worker(0, 0, 16, 0, true)];
    workers[0].reserved = resources(14);
    let request = Request { resources: resources(3), failed_on: &[] };
    assert_eq!(place(&request, &workers, |_| true), Placement::Wait);
}
