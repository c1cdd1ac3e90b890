//! How long the store takes for the owner's writes.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of writes whose response times count.
const WRITES: usize = 8;
/// Shortest time until a write without a response is sent again.
const RESEND_DELAY_MIN: Duration = Duration::from_millis(150);
/// Longest time until a write without a response is sent again for the first time.
const RESEND_DELAY_MAX: Duration = Duration::from_millis(1_500);

/// Response times of the latest writes.
#[derive(Debug, Default)]
pub(super) struct ResponseTimes {
    latest: VecDeque<Duration>,
}

impl ResponseTimes {
    /// Records how long the store took to respond to a write.
    pub(super) fn record(&mut self, time: Duration) {
        if self.latest.len() == WRITES {
            self.latest.pop_front();
        }
        self.latest.push_back(time);
    }

    /// Returns the time after which a write without a response is sent again: half as much again as
    /// the slowest of the latest writes took.
    pub(super) fn resend_delay(&self) -> Duration {
        let slowest = self.latest.iter().max().copied().unwrap_or_default();
        (slowest + slowest / 2).clamp(RESEND_DELAY_MIN, RESEND_DELAY_MAX)
    }
}

#[cfg(test)]
mod tests;
