//! Time to place one task, and to plan a preemption for an urgent one, by number of workers.

use std::hint::black_box;
use std::time::Duration;

use cassiafold_tasks::Resources;
use cassiafold_tasks::placement::{Request, Worker, place};
use cassiafold_tasks::preempt::{RunningTask, plan_preemption};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const WORKER_COUNTS: [usize; 4] = [50, 100, 400, 870];
const TASKS_PER_WORKER: usize = 4;
const START_LIMIT: Duration = Duration::from_millis(4_900);

fn resources(cores: u32) -> Resources {
    Resources {
        processors_milli: cores * 1_000,
        memory_bytes: u64::from(cores) << 31,
        accelerators: cores / 8,
    }
}

fn worker(index: usize) -> Worker {
    Worker {
        id: format!("worker-{index:03}").into(),
        zone: format!("zone-{}", index % 8).into(),
        rack: format!("rack-{}", index / 4).into(),
        capacity: resources(32),
        reported: resources(24 + index as u32 % 8),
        reserved: Resources::default(),
        accepts: true,
    }
}

fn running(workers: usize) -> Vec<RunningTask> {
    let task = |index: usize| RunningTask {
        task: format!("task-{index}").into(),
        worker: index % workers,
        resources: resources(6),
        checkpointable: !index.is_multiple_of(3),
        urgent: false,
        checkpoint_time: Duration::from_millis(500 + (index as u64 * 37) % 3_000),
    };
    (0..workers * TASKS_PER_WORKER).map(task).collect()
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for size in WORKER_COUNTS {
        let workers: Vec<Worker> = (0..size).map(worker).collect();
        let request = Request { resources: resources(4), failed_on: &[] };
        group.bench_with_input(BenchmarkId::from_parameter(size), &workers, |bench, workers| {
            bench.iter(|| black_box(place(&request, workers, |_| true)));
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("make_room");
    for size in WORKER_COUNTS {
        let workers: Vec<Worker> = (0..size).map(worker).collect();
        let running = running(size);
        let needed = resources(16);
        group.bench_with_input(BenchmarkId::from_parameter(size), &workers, |bench, workers| {
            bench.iter(|| black_box(plan_preemption(&needed, workers, &running, START_LIMIT)));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
