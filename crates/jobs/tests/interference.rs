//! Replays of tasks that slow each other down on one worker, without a network.

mod emulator;
mod harness;

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_jobs::interference::{ImageId, Interference, Reading};
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::scheduler::OwnerTerm;
use cassiafold_jobs::spec::{JobId, StepId, StepSpec, TaskId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use self::emulator::{ms, step};
use self::harness::SchedulerHarness;

const SERVING: &str = "web";
/// Usual tail latency as a part of the target.
const USUAL: f64 = 0.5;
/// Scatter of a reading.
const NOISE: f64 = 0.05;
const WORKERS: usize = 20;

/// Workers with one serving task each, beside tasks that change every second.
struct Fleet {
    random: StdRng,
    images: Vec<ImageId>,
    harm: BTreeMap<ImageId, f64>,
    slow_workers: Vec<usize>,
    /// Part of the target that the serving tasks' own load adds, by second.
    own_load: fn(u64) -> f64,
    now: Duration,
    learned: Interference,
}

impl Fleet {
    fn new(seed: u64, images: usize, harm: &[(usize, f64)]) -> Self {
        let images: Vec<ImageId> =
            (0..images).map(|number| format!("fill-{number}").into()).collect();
        let harm = harm.iter().map(|(number, harm)| (images[*number].clone(), *harm)).collect();
        Self {
            random: StdRng::seed_from_u64(seed),
            images,
            harm,
            slow_workers: Vec::new(),
            own_load: |_| 0.0,
            now: Duration::from_secs(1),
            learned: Interference::default(),
        }
    }

    /// Lets the fleet run for some seconds, with two readings of each worker a second.
    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            for worker in 0..WORKERS {
                let mut filling: Vec<(ImageId, f64)> = Vec::new();
                for _ in 0..2 {
                    let image = self.images[self.random.random_range(0..self.images.len())].clone();
                    if filling.iter().all(|(other, _)| *other != image) {
                        filling.push((image, 1.0));
                    }
                }
                for _ in 0..2 {
                    let reading = self.reading(worker, filling.clone());
                    self.learned.record(&reading, self.now);
                }
            }
            self.now += Duration::from_secs(1);
        }
    }

    fn reading(&mut self, worker: usize, filling: Vec<(ImageId, f64)>) -> Reading {
        let harm: f64 = filling
            .iter()
            .map(|(image, speed)| speed * self.harm.get(image).copied().unwrap_or_default())
            .sum();
        let slow = if self.slow_workers.contains(&worker) { 0.6 } else { 0.0 };
        let own = (self.own_load)(self.now.as_secs());
        let noise = self.random.random_range(-NOISE..NOISE);
        let load = USUAL + harm + slow + own + noise;
        Reading { serving: SERVING.into(), load, worker, filling }
    }

    /// Images that are found to be harmful.
    fn found(&self) -> Vec<&str> {
        let pairs = self.learned.harmful_pairs();
        self.images
            .iter()
            .map(|image| &**image)
            .filter(|image| pairs.iter().any(|(_, filling, _)| **filling == **image))
            .collect()
    }
}

#[test]
fn two_harmful_images_are_found_among_ten() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 10, &[(3, 0.4), (7, 0.6)]);
        fleet.run(30);
        assert_eq!(fleet.found(), ["fill-3", "fill-7"], "seed {seed}");
        let harm = fleet.learned.harm(SERVING, "fill-7").expect("known");
        assert!((0.45..0.75).contains(&harm), "{harm}");
    }
}

#[test]
fn harm_that_moves_to_another_image_is_followed() {
    let mut fleet = Fleet::new(1, 10, &[(3, 0.5)]);
    fleet.run(30);
    fleet.harm = BTreeMap::from([(fleet.images[8].clone(), 0.5)]);
    fleet.run(30);
    assert_eq!(fleet.found(), ["fill-8"]);
}

/// Its readings are high with each image, those of its peers are not.
#[test]
fn a_worker_that_is_only_slow_makes_no_image_harmful() {
    let mut fleet = Fleet::new(1, 10, &[]);
    fleet.slow_workers = vec![4];
    fleet.run(60);
    assert_eq!(fleet.found(), Vec::<&str>::new());
}

/// All serving tasks are slower at the same time, whatever fills beside them.
#[test]
fn the_serving_tasks_own_load_makes_no_image_harmful() {
    let mut fleet = Fleet::new(1, 10, &[]);
    fleet.own_load = |second| if second / 10 % 2 == 0 { 0.0 } else { 0.3 };
    fleet.run(60);
    assert_eq!(fleet.found(), Vec::<&str>::new());
}

#[test]
fn a_harmful_image_is_found_although_the_serving_tasks_load_changes() {
    let mut fleet = Fleet::new(1, 10, &[(2, 0.5)]);
    fleet.own_load = |second| if second / 10 % 2 == 0 { 0.0 } else { 0.3 };
    fleet.run(60);
    assert_eq!(fleet.found(), ["fill-2"]);
}

#[test]
fn nothing_is_known_of_a_pair_with_few_readings() {
    let mut fleet = Fleet::new(1, 1, &[(0, 2.0)]);
    let reading = fleet.reading(0, vec![(fleet.images[0].clone(), 1.0)]);
    (0..11).for_each(|_| fleet.learned.record(&reading, fleet.now));
    assert_eq!(fleet.learned.harm(SERVING, "fill-0"), None);
}

#[test]
fn wrong_figures_change_nothing() {
    let mut fleet = Fleet::new(1, 3, &[]);
    fleet.run(20);
    for load in [f64::NAN, f64::INFINITY, -1.0] {
        let filling = vec![(fleet.images[0].clone(), 1.0)];
        let wrong = Reading { serving: SERVING.into(), load, worker: 0, filling };
        (0..50).for_each(|_| fleet.learned.record(&wrong, fleet.now));
    }
    assert_eq!(fleet.found(), Vec::<&str>::new());
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut learned = Interference::default();
    for number in 0..10_000_u32 {
        let filling = vec![(format!("fill-{number}").into(), 1.0), ("x".repeat(1_000).into(), 1.0)];
        let reading =
            Reading { serving: SERVING.into(), load: 5.0, worker: number as usize, filling };
        let now = Duration::from_millis(number.into());
        (0..12).for_each(|_| learned.record(&reading, now));
    }
    assert!(learned.harmful_pairs().len() <= 1_024);
    assert_eq!(learned.harm(SERVING, &"x".repeat(1_000)), None);
}

fn serving(tasks: u32, cores_each: u32, image: &str) -> StepSpec {
    StepSpec {
        long_running: true,
        per_worker_max: Some(1),
        tail_target: Some(ms(1_000)),
        image: Some(image.into()),
        ..step(tasks, cores_each, &[])
    }
}

fn filling(image: &str) -> StepSpec {
    StepSpec {
        long_running: true,
        opportunistic: true,
        image: Some(image.into()),
        ..step(1, 1, &[])
    }
}

/// Worker that runs the first task of a job.
fn worker_of(harness: &SchedulerHarness, job: JobId) -> WorkerSlot {
    let is_first = |task: &TaskId| task.step.job == job && task.index == 0;
    let runs = harness.running.iter();
    let mut hosts = runs.filter(|(_, runs)| runs.iter().any(|(task, _)| is_first(task)));
    *hosts.next().expect("it runs").0
}

/// Two workers with a task of the image `web` each, one beside a task that fills; a third one with a
/// task of the image `other`. A second task of the filling image comes after 15 s in which `web` had
/// this tail latency beside the first one, in milliseconds. Returns the serving image beside it.
fn image_beside_the_second(tail_ms: u32, workers: usize) -> &'static str {
    let mut harness = SchedulerHarness::new(workers, OwnerTerm::default());
    harness.submit(1, vec![serving(2, 4, "web")]);
    harness.run_for(ms(500));
    if workers > 2 {
        harness.submit(2, vec![serving(1, 2, "other")]);
        harness.run_for(ms(500));
    }
    harness.submit(3, vec![filling("batch")]);
    harness.run_for(ms(500));
    let disturbed = worker_of(&harness, 3);
    for index in 0..2 {
        let task = TaskId { step: StepId { job: 1, occurrence: 0, step: 0 }, index };
        let is_beside = harness.running[&disturbed].iter().any(|(other, _)| *other == task);
        harness.load_metrics.insert(task, if is_beside { tail_ms } else { 500 });
    }
    let other = TaskId { step: StepId { job: 2, occurrence: 0, step: 0 }, index: 0 };
    harness.load_metrics.insert(other, 500);
    harness.run_for(ms(15_000));
    harness.submit(4, vec![filling("batch")]);
    harness.run_for(ms(500));
    let host = worker_of(&harness, 4);
    let is_web = harness.running[&host].iter().any(|(task, _)| task.step.job == 1);
    if is_web { "web" } else { "other" }
}

/// The other worker is as good by the number of tasks, and has more room left.
#[test]
fn a_task_is_kept_apart_from_the_image_that_it_slows_down() {
    assert_eq!(image_beside_the_second(500, 3), "web", "nothing is known against it");
    assert_eq!(image_beside_the_second(900, 3), "other");
}

#[test]
fn a_harmful_task_starts_in_a_full_fleet_all_the_same() {
    assert_eq!(image_beside_the_second(900, 2), "web");
}
