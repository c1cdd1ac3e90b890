//! How long tasks really take, against what their callers estimate.

use std::time::Duration;

/// Weight of each new run in the averages.
const WEIGHT: f64 = 0.02;

/// Run times of tasks that ended by themselves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTimeRatio {
    estimated_s: f64,
    taken_s: f64,
}

impl Default for RunTimeRatio {
    fn default() -> Self {
        Self { estimated_s: 1.0, taken_s: 1.0 }
    }
}

impl RunTimeRatio {
    /// Notes a run that took `taken` where `estimated` was given.
    pub fn record(&mut self, estimated: Duration, taken: Duration) {
        self.estimated_s += WEIGHT * (estimated.as_secs_f64() - self.estimated_s);
        self.taken_s += WEIGHT * (taken.as_secs_f64() - self.taken_s);
    }

    /// Mean run time over mean estimate.
    pub fn ratio(&self) -> f64 {
        if self.estimated_s > 0.0 { self.taken_s / self.estimated_s } else { 1.0 }
    }
}
