//! Random loss and delay of calls.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Probabilities of faults of calls and runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Commands that are neither executed nor get a response.
    pub command_lost: f64,
    /// Commands that are executed seconds later and get no response.
    pub command_late: f64,
    /// Commands that are executed in time but get no response.
    pub command_unanswered: f64,
    /// Polls that get no response.
    pub poll_lost: f64,
    /// Runs that fail.
    pub run_failed: f64,
}

/// Delay of a command that is never executed: longer than every test.
const NEVER: Duration = Duration::from_secs(100_000);

impl Faults {
    /// No faults.
    pub const fn none() -> Self {
        Self {
            command_lost: 0.0,
            command_late: 0.0,
            command_unanswered: 0.0,
            poll_lost: 0.0,
            run_failed: 0.0,
        }
    }

    /// Faults of every kind.
    pub fn all() -> Self {
        Self {
            command_lost: 0.03,
            command_late: 0.04,
            command_unanswered: 0.04,
            poll_lost: 0.03,
            run_failed: 0.05,
        }
    }

    /// Delay until a command is executed, and whether it gets a response.
    pub fn command_delivery(&self, random: &mut StdRng, latency: Duration) -> (Duration, bool) {
        let roll: f64 = random.random();
        if roll < self.command_lost {
            return (NEVER, false);
        }
        if roll < self.command_lost + self.command_late {
            return (Duration::from_millis(random.random_range(2_000..12_000)), false);
        }
        (latency, roll >= self.command_lost + self.command_late + self.command_unanswered)
    }

    /// Delay until the result of a poll arrives, and whether the poll gets a response.
    pub fn poll_delivery(&self, random: &mut StdRng) -> (Duration, bool) {
        let is_lost = random.random_bool(self.poll_lost);
        let millis = if is_lost { 800 } else { random.random_range(1..40) };
        (Duration::from_millis(millis), !is_lost)
    }
}
