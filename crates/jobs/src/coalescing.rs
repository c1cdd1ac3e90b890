//! Coalescing of wakeups: a busy process delays polling its sockets, to handle messages in batches.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cassiafold_platform::Moment;

/// Message rate per second from which wakeups are delayed.
const COALESCING_MESSAGES_PER_S: f64 = 500.0;
/// Delay of a wakeup.
const COALESCING_DELAY: Duration = Duration::from_millis(4);
/// Interval over which messages are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of wakeups. The owner's loop, which knows the message rate, sets it, and the runtime
/// applies it. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct WakeupCoalescing {
    delay_us: Arc<AtomicU64>,
}

impl WakeupCoalescing {
    /// Sleeps for the delay, if the process is busy. The single-threaded runtime calls it before it
    /// waits for its sockets, when it has nothing else to do.
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

/// Delay of wakeups at a message rate.
///
/// With hundreds of workers that respond at random moments, a process that wakes up for each
/// response spends its time on wakeups. Messages that arrive within a few milliseconds are handled
/// together.
pub fn coalescing_delay(messages_per_s: f64) -> Duration {
    if messages_per_s < COALESCING_MESSAGES_PER_S { Duration::ZERO } else { COALESCING_DELAY }
}

/// Counts messages and sets the delay of wakeups; resets it to zero when dropped.
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
        let interval = now.saturating_sub(self.since);
        if interval < COUNT_INTERVAL {
            return;
        }
        self.coalescing.set(coalescing_delay(f64::from(self.messages) / interval.as_secs_f64()));
        self.since = now;
        self.messages = 0;
    }
}

impl Drop for MessageRate {
    fn drop(&mut self) {
        self.coalescing.set(Duration::ZERO);
    }
}
