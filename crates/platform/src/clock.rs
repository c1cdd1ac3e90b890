//! Time since boot, which also counts while the machine is suspended.
//!
//! Leases are measured on this clock: a process that was frozen finds its leases over when it
//! wakes up, where the monotonic clock would show no time passed.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time, as the time since boot.
pub type Moment = Duration;

/// The time since boot, suspensions included.
pub fn since_boot() -> Moment {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        // The call fails only where the kernel lacks this clock, which no supported kernel does.
        Err(error) => unreachable!("no boot-time clock: {error}"),
    }
}
