//! Actual run times of tasks compared to their callers' estimates.

use std::time::Duration;

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
