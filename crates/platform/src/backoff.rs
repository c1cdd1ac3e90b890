//! Delays between retries.

use std::time::Duration;

use rand::RngExt;

/// Largest exponent of the delay, far above every cap in use.
const EXPONENT_MAX: u32 = 16;

/// Capped exponential backoff with jitter: each delay is between half of its bound and its bound,
/// and the bound doubles from `base` up to `cap`.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    attempts: u32,
}

impl Backoff {
    /// A backoff that starts at `base` and ends at `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap, attempts: 0 }
    }

    /// The next delay.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound();
        self.attempts = self.attempts.saturating_add(1);
        jitter(bound)
    }

    fn bound(&self) -> Duration {
        self.base.saturating_mul(1 << self.attempts.min(EXPONENT_MAX)).min(self.cap)
    }

    /// Starts again from `base`.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}

/// A random time between half of `bound` and `bound`.
pub fn jitter(bound: Duration) -> Duration {
    bound.mul_f64(rand::rng().random_range(0.5..=1.0))
}

#[cfg(test)]
mod tests;
