//! Actual run times of tasks compared to their callers' estimates.

use std::collections::HashMap;
use std::time::Duration;

use crate::cluster::QueueId;

/// Weight of a new run in the moving averages.
const NEW_RUN_WEIGHT: f64 = 0.02;

/// Moving averages of the actual and the estimated run time, over tasks that completed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTimeRatio {
    estimated_s: f64,
    actual_s: f64,
}

impl Default for RunTimeRatio {
    fn default() -> Self {
        Self { estimated_s: 1.0, actual_s: 1.0 }
    }
}

impl RunTimeRatio {
    /// Records a run that took `actual` and was estimated at `estimated`.
    pub fn record(&mut self, estimated: Duration, actual: Duration) {
        self.estimated_s += NEW_RUN_WEIGHT * (estimated.as_secs_f64() - self.estimated_s);
        self.actual_s += NEW_RUN_WEIGHT * (actual.as_secs_f64() - self.actual_s);
    }

    /// Mean actual run time divided by the mean estimate.
    pub fn ratio(&self) -> f64 {
        if self.estimated_s > 0.0 { self.actual_s / self.estimated_s } else { 1.0 }
    }
}

/// Weight of a new run in the statistics of its queue. The tasks of a step have one estimate, so
/// that some ten steps count.
const QUEUE_RUN_WEIGHT: f64 = 0.01;
/// Completed runs of a queue from which on its statistics are used.
const QUEUE_RUNS_MIN: u32 = 100;
/// Part of the estimates' variance that the learned run times may have at most to be used.
const USEFUL_VARIANCE: f64 = 0.5;

/// Run times of each queue's tasks, learned from its completed tasks.
///
/// Load that it answers: callers whose estimates are off by a factor of two or three. An estimate
/// that far off tells little about its task, and the run times of the queue's earlier tasks more.
/// Where estimates are good, they are used as they are.
#[derive(Debug, Default)]
pub struct RunTimes {
    queues: HashMap<QueueId, QueueRunTimes>,
}

/// Moving averages over the logarithms of a queue's estimates and actual run times.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct QueueRunTimes {
    runs: u32,
    estimate: f64,
    actual: f64,
    estimate_square: f64,
    actual_square: f64,
    product: f64,
    /// Mean square of the difference.
    error: f64,
}

impl RunTimes {
    /// Records a completed run of a queue's task.
    pub fn record(&mut self, queue: &QueueId, estimated: Duration, actual: Duration) {
        if estimated.is_zero() || actual.is_zero() {
            return;
        }
        let times = match self.queues.get_mut(queue) {
            Some(times) => times,
            None => self.queues.entry(queue.clone()).or_default(),
        };
        times.record(estimated.as_secs_f64().ln(), actual.as_secs_f64().ln());
    }

    /// Whether the estimates of a queue's callers are so far off that its learned run times are
    /// used instead.
    pub fn are_learned(&self, queue: &str) -> bool {
        self.queues.get(queue).is_some_and(QueueRunTimes::is_useful)
    }

    /// Expected run time of a task of a queue, by its caller's estimate and the queue's earlier
    /// tasks.
    pub fn expected(&self, queue: &str, estimated: Duration) -> Duration {
        let times = self.queues.get(queue).filter(|times| times.is_useful());
        let Some(times) = times.filter(|_| !estimated.is_zero()) else { return estimated };
        let expected_s = times.expected(estimated.as_secs_f64().ln()).exp();
        Duration::try_from_secs_f64(expected_s).unwrap_or(estimated)
    }
}

impl QueueRunTimes {
    fn record(&mut self, estimate: f64, actual: f64) {
        self.runs = self.runs.saturating_add(1);
        let weight = QUEUE_RUN_WEIGHT.max(1.0 / f64::from(self.runs));
        let add = |mean: &mut f64, value: f64| *mean += weight * (value - *mean);
        add(&mut self.estimate, estimate);
        add(&mut self.actual, actual);
        add(&mut self.estimate_square, estimate * estimate);
        add(&mut self.actual_square, actual * actual);
        add(&mut self.product, estimate * actual);
        add(&mut self.error, (actual - estimate).powi(2));
    }

    fn covariance(&self) -> f64 {
        self.product - self.estimate * self.actual
    }

    fn estimate_variance(&self) -> f64 {
        self.estimate_square - self.estimate * self.estimate
    }

    /// How far an estimate above the mean raises the expected run time; between none and fully.
    fn slope(&self) -> f64 {
        let variance = self.estimate_variance();
        if variance > f64::EPSILON { (self.covariance() / variance).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// Variance that is left when run times are expected by [`Self::expected`].
    fn residual_variance(&self) -> f64 {
        let slope = self.slope();
        let actual_variance = self.actual_square - self.actual * self.actual;
        actual_variance - 2.0 * slope * self.covariance() + slope * slope * self.estimate_variance()
    }

    fn is_useful(&self) -> bool {
        self.runs >= QUEUE_RUNS_MIN && self.residual_variance() < USEFUL_VARIANCE * self.error
    }

    fn expected(&self, estimate: f64) -> f64 {
        self.actual + self.slope() * (estimate - self.estimate)
    }
}
