//! Which calls are lost and which come late.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Shares of calls and runs that go wrong.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Orders that are never carried out nor answered.
    pub order_lost: f64,
    /// Orders that are carried out seconds later and not answered.
    pub order_late: f64,
    /// Orders that are carried out and not answered.
    pub order_unanswered: f64,
    /// Looks that are lost.
    pub poll_lost: f64,
    /// Runs that fail.
    pub run_failed: f64,
}

/// An order that is never carried out is carried out after the end of every test.
const NEVER: Duration = Duration::from_secs(100_000);

impl Faults {
    pub fn none() -> Self {
        Self::default()
    }

    pub fn all() -> Self {
        Self {
            order_lost: 0.03,
            order_late: 0.04,
            order_unanswered: 0.04,
            poll_lost: 0.03,
            run_failed: 0.05,
        }
    }

    /// When an order is carried out, and whether it is answered.
    pub fn order(&self, random: &mut StdRng, latency: Duration) -> (Duration, bool) {
        let roll: f64 = random.random();
        if roll < self.order_lost {
            return (NEVER, false);
        }
        if roll < self.order_lost + self.order_late {
            return (Duration::from_millis(random.random_range(2_000..12_000)), false);
        }
        (latency, roll >= self.order_lost + self.order_late + self.order_unanswered)
    }

    /// How long a look takes, and whether it is answered.
    pub fn poll(&self, random: &mut StdRng) -> (Duration, bool) {
        let is_lost = random.random_bool(self.poll_lost);
        let millis = if is_lost { 800 } else { random.random_range(1..40) };
        (Duration::from_millis(millis), !is_lost)
    }
}
