//! How long a busy process lets news gather before it looks at its sockets again.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cassiafold_platform::Moment;

/// Messages a second from which on news gathers.
const BUSY_MESSAGES_PER_S: f64 = 500.0;
/// Time for which news gathers.
const COALESCING_DELAY: Duration = Duration::from_millis(4);
/// Time over which messages are counted.
const COUNT_TIME: Duration = Duration::from_millis(50);

/// The time for which news gathers, shared by the owner's loop, which knows the load, and by the
/// runtime, which waits. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct WakeupCoalescing {
    delay_us: Arc<AtomicU64>,
}

impl WakeupCoalescing {
    /// Lets news gather if the process is busy. The runtime of one thread calls it before it waits
    /// for its sockets: nothing else is to be done then.
    pub fn wait(&self) {
        let delay_us = self.delay_us.load(Ordering::Relaxed);
        if delay_us > 0 {
            std::thread::sleep(Duration::from_micros(delay_us));
        }
    }

    fn set(&self, time: Duration) {
        let delay_us = u64::try_from(time.as_micros()).unwrap_or(0);
        self.delay_us.store(delay_us, Ordering::Relaxed);
    }
}

/// How long news gathers at a rate of messages.
///
/// Answers the load pattern of hundreds of workers that answer at any moment: a process that wakes
/// for each answer spends its time on waking. What comes within a few milliseconds is taken in
/// together.
pub fn coalescing_delay(messages_per_s: f64) -> Duration {
    if messages_per_s < BUSY_MESSAGES_PER_S { Duration::ZERO } else { COALESCING_DELAY }
}

/// Counts messages and sets the time for which news gathers; none any more once it is dropped.
#[derive(Debug)]
pub(crate) struct MessageRate {
    coalescing: WakeupCoalescing,
    since: Moment,
    messages: u32,
}

impl MessageRate {
    pub(crate) fn new(coalescing: WakeupCoalescing, now: Moment) -> Self {
        Self { coalescing, since: now, messages: 0 }
    }

    pub(crate) fn count_message(&mut self) {
        self.messages += 1;
    }

    pub(crate) fn update(&mut self, now: Moment) {
        let length = now.saturating_sub(self.since);
        if length < COUNT_TIME {
            return;
        }
        self.coalescing.set(coalescing_delay(f64::from(self.messages) / length.as_secs_f64()));
        self.since = now;
        self.messages = 0;
    }
}

impl Drop for MessageRate {
    fn drop(&mut self) {
        self.coalescing.set(Duration::ZERO);
    }
}
