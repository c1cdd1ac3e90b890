//! Delays between retries.

use std::time::Duration;

use rand::RngExt;

/// Upper limit of the exponent, which keeps the shift in range; every cap is reached earlier.
const EXPONENT_MAX: u32 = 16;

/// Exponential backoff with jitter: each delay is a random time between half of a bound and the
/// bound, which doubles from `base` up to `cap`.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    attempts: u32,
}

impl Backoff {
    /// Creates a backoff whose bound grows from `base` to `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap, attempts: 0 }
    }

    /// Returns the next delay.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound();
        self.attempts = self.attempts.saturating_add(1);
        jitter(bound)
    }

    fn bound(&self) -> Duration {
        self.base.saturating_mul(1 << self.attempts.min(EXPONENT_MAX)).min(self.cap)
    }

    /// Resets the bound to `base`.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}

/// Returns a random time between half of `bound` and `bound`.
pub fn jitter(bound: Duration) -> Duration {
    bound.mul_f64(rand::rng().random_range(0.5..=1.0))
}

#[cfg(test)]
mod tests;
