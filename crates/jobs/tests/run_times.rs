//! Replays of callers whose estimates are off, and what is learned from their completed tasks.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::estimate::RunTimes;
use cassiafold_jobs::job::Job;
use cassiafold_jobs::record::JobRecord;
use cassiafold_jobs::spec::{JobSpec, StepSpec};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const QUEUE: &str = "q";
/// Tasks of each step.
const TASKS: usize = 8;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Approximately normal deviate with standard deviation 1.
fn normal(random: &mut StdRng) -> f64 {
    (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0
}

/// Steps whose run times scatter by `spread` around half a second, and whose estimates are off by
/// `error`, both as standard deviations of the logarithm.
struct Steps {
    random: StdRng,
    spread: f64,
    error: f64,
}

impl Steps {
    fn new(seed: u64, spread: f64, error: f64) -> Self {
        Self { random: StdRng::seed_from_u64(seed), spread, error }
    }

    /// Estimate and actual run time of the next step.
    fn next(&mut self) -> (Duration, Duration) {
        let actual_s = 0.5 * (self.spread * normal(&mut self.random)).exp();
        let estimate_s = actual_s * (self.error * normal(&mut self.random)).exp();
        (Duration::from_secs_f64(estimate_s), Duration::from_secs_f64(actual_s))
    }

    fn learn(&mut self, steps: usize) -> RunTimes {
        let mut times = RunTimes::default();
        for _ in 0..steps {
            let (estimate, actual) = self.next();
            (0..TASKS).for_each(|_| times.record(&QUEUE.into(), estimate, actual));
        }
        times
    }
}

/// Mean factor by which the estimates of the next steps are off, and by which the learned times are.
fn mean_factors(seed: u64, spread: f64, error: f64) -> (f64, f64) {
    const STEPS: usize = 500;
    let mut steps = Steps::new(seed, spread, error);
    let times = steps.learn(200);
    let (mut by_estimate, mut by_learned) = (0.0, 0.0);
    let off = |one: Duration, other: Duration| {
        (one.as_secs_f64() / other.as_secs_f64()).ln().abs() / STEPS as f64
    };
    for _ in 0..STEPS {
        let (estimate, actual) = steps.next();
        by_estimate += off(estimate, actual);
        by_learned += off(times.expected(QUEUE, estimate), actual);
    }
    (by_estimate.exp(), by_learned.exp())
}

#[test]
fn learned_run_times_are_nearer_than_estimates_that_are_far_off() {
    for seed in 0..5 {
        let (by_estimate, by_learned) = mean_factors(seed, 0.5, 0.9);
        assert!(by_learned < 0.8 * by_estimate, "{by_estimate} {by_learned}");
    }
}

#[test]
fn good_estimates_are_used_as_they_are() {
    let times = Steps::new(1, 0.5, 0.2).learn(200);
    assert!(!times.are_learned(QUEUE));
    assert_eq!(times.expected(QUEUE, ms(700)), ms(700));
}

#[test]
fn estimates_are_used_until_enough_tasks_have_completed() {
    let times = Steps::new(1, 0.5, 0.9).learn(12);
    assert_eq!(times.expected(QUEUE, ms(700)), ms(700));
    assert_eq!(times.expected("other", ms(700)), ms(700));
}

/// All callers send the same estimate, which tells nothing.
#[test]
fn one_estimate_for_all_tasks_is_replaced_by_what_they_take() {
    let mut times = RunTimes::default();
    (0..200).for_each(|_| times.record(&QUEUE.into(), ms(10_000), ms(500)));
    let expected = times.expected(QUEUE, ms(10_000));
    assert!((ms(490)..ms(510)).contains(&expected), "{expected:?}");
}

#[test]
fn run_times_that_change_are_learned_anew() {
    let mut times = RunTimes::default();
    (0..1_000).for_each(|_| times.record(&QUEUE.into(), ms(10_000), ms(500)));
    (0..1_000).for_each(|_| times.record(&QUEUE.into(), ms(10_000), ms(2_000)));
    let expected = times.expected(QUEUE, ms(10_000));
    assert!((ms(1_900)..ms(2_100)).contains(&expected), "{expected:?}");
}

#[test]
fn odd_times_are_left_out() {
    let mut times = RunTimes::default();
    for _ in 0..200 {
        times.record(&QUEUE.into(), Duration::ZERO, ms(1));
        times.record(&QUEUE.into(), ms(1), Duration::ZERO);
    }
    assert!(!times.are_learned(QUEUE));
    (0..200).for_each(|_| times.record(&QUEUE.into(), Duration::MAX, ms(500)));
    assert!(times.expected(QUEUE, Duration::MAX) < ms(600));
    assert_eq!(times.expected(QUEUE, Duration::ZERO), Duration::ZERO);
}

#[test]
fn the_first_completed_task_tells_how_long_the_others_of_its_step_take() {
    let step =
        |after: Vec<u16>| StepSpec { tasks: 4, estimate: ms(1_000), after, ..StepSpec::default() };
    let spec = JobSpec {
        payload: Arc::from(""),
        steps: vec![step(vec![]), step(vec![0])],
        schedule: None,
    };
    let record = JobRecord {
        queue: QUEUE.into(),
        service: "s".into(),
        team: None,
        attempts_max: None,
        spec,
    };
    let mut job = Job::new(1, record, 1, None, ms(0));
    job.start_occurrence(0, None, 0, ms(0));
    assert_eq!(job.occurrences[&0].critical_path, ms(2_000));
    job.learn_run_time(0, ms(200));
    job.learn_run_time(0, ms(400));
    job.update_remaining(0);
    assert_eq!((job.run_time(0), job.run_time(1)), (ms(300), ms(1_000)));
    assert_eq!(job.occurrences[&0].critical_path, ms(1_300));
}
