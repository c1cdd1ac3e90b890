//! Time since boot, including the time during which the machine was suspended.
//!
//! Leases use this clock because the monotonic clock stops during a suspension: a process that
//! resumes must see that its leases have expired.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time, as the time elapsed since boot.
pub type Moment = Duration;

/// Returns the time since boot, suspensions included.
pub fn since_boot() -> Moment {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        // The call fails only on a kernel without this clock; every supported kernel has it.
        Err(error) => unreachable!("CLOCK_BOOTTIME is unavailable: {error}"),
    }
}
