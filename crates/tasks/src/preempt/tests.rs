use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::{RunningTask, plan_preemption};
use crate::placement::Worker;
use crate::record::Resources;

const LIMIT: Duration = Duration::from_millis(4_900);

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(8), failure_persistence: None, ..Config::default() }
}

fn resources(size: u32) -> Resources {
    let memory_bytes = u64::from(size) << 30;
    Resources { processors_milli: size * 1_000, memory_bytes, accelerators: 0 }
}

fn worker(index: usize, running: &[RunningTask]) -> Worker {
    let used = running
        .iter()
        .filter(|task| task.worker == index)
        .fold(Resources::default(), |sum, task| sum.plus(&task.resources));
    Worker {
        id: format!("w{index}").into(),
        zone: "a".into(),
        rack: "r".into(),
        capacity: resources(16),
        reported: used,
        reserved: Resources::default(),
        accepts: true,
    }
}

fn task(index: usize, worker: usize, size: u32, checkpointable: bool, urgent: bool) -> RunningTask {
    RunningTask {
        task: format!("t{index}").into(),
        worker,
        resources: resources(size),
        checkpointable,
        urgent,
        checkpoint_time: Duration::from_millis(100 * (index as u64 % 60)),
    }
}

/// Returns the smallest number of checkpoints on one worker that release `needed`, by trying every
/// subset.
fn fewest_by_brute_force(
    needed: &Resources,
    workers: &[Worker],
    running: &[RunningTask],
) -> Option<usize> {
    let mut fewest = None;
    for (index, worker) in workers.iter().enumerate() {
        let usable: Vec<&RunningTask> = running
            .iter()
            .filter(|task| task.worker == index && task.checkpointable && !task.urgent)
            .filter(|task| task.checkpoint_time <= LIMIT)
            .collect();
        for subset in 0_u32..1 << usable.len() {
            let chosen = usable.iter().enumerate().filter(|(bit, _)| subset & (1 << bit) != 0);
            let free = chosen.fold(worker.free(), |free, (_, task)| free.plus(&task.resources));
            let count = subset.count_ones() as usize;
            if needed.fits(&free) && fewest.is_none_or(|known| count < known) {
                fewest = Some(count);
            }
        }
    }
    fewest
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_plan_needs_as_few_checkpoints_as_the_best_subset(
        tasks in prop::collection::vec((0_usize..3, 1_u32..5, any::<bool>(), any::<bool>()), 0..12),
        need in 1_u32..18,
    ) {
        let running: Vec<RunningTask> = tasks
            .iter()
            .enumerate()
            .map(|(index, size)| task(index, size.0, size.1, size.2, size.3))
            .collect();
        let workers: Vec<Worker> = (0..3).map(|index| worker(index, &running)).collect();
        let needed = resources(need);
        let plan = plan_preemption(&needed, &workers, &running, LIMIT);
        let count = plan.as_ref().map(|plan| plan.checkpoints.len());
        prop_assert_eq!(count, fewest_by_brute_force(&needed, &workers, &running));
        for index in plan.iter().flat_map(|plan| &plan.checkpoints) {
            prop_assert!(running[*index].checkpointable && !running[*index].urgent);
        }
    }
}

#[test]
fn a_task_that_checkpoints_too_slowly_is_not_chosen() {
    let mut running = vec![task(0, 0, 16, true, false)];
    running[0].checkpoint_time = LIMIT + Duration::from_millis(1);
    let workers = [worker(0, &running)];
    assert_eq!(plan_preemption(&resources(4), &workers, &running, LIMIT), None);
}
