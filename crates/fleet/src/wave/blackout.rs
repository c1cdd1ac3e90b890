//! Blackout hours of a wave, in UTC.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_config::Wave;

const HOUR_S: u64 = 3_600;
const HOURS_PER_DAY: u64 = 24;
/// Weekday of the Unix epoch, a Thursday; Monday is 0.
const EPOCH_WEEKDAY: u64 = 3;

/// Whether `time` is in the blackout hours of the wave.
pub fn in_blackout(wave: &Wave, time: SystemTime) -> bool {
    let hours = time.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() / HOUR_S;
    let weekday = (hours / HOURS_PER_DAY + EPOCH_WEEKDAY) % 7;
    let hour = hours % HOURS_PER_DAY;
    wave.blackouts.iter().any(|blackout| {
        u64::from(blackout.weekday) == weekday
            && (u64::from(blackout.from_hour)..u64::from(blackout.to_hour)).contains(&hour)
    })
}

/// Total time outside blackout hours between `from` and `to`.
pub fn time_outside_blackouts(wave: &Wave, from: SystemTime, to: SystemTime) -> Duration {
    let mut total = Duration::ZERO;
    let mut time = from;
    while time < to {
        let end = next_hour(time).min(to);
        if !in_blackout(wave, time) {
            total += end.duration_since(time).unwrap_or_default();
        }
        time = end;
    }
    total
}

/// End of `work` that starts at `from` and continues only outside blackout hours; `None` if it
/// takes longer than `limit`, blackout hours included.
pub fn completion_time(
    wave: &Wave,
    from: SystemTime,
    work: Duration,
    limit: Duration,
) -> Option<SystemTime> {
    let mut remaining = work;
    let mut time = from;
    while time.duration_since(from).unwrap_or_default() < limit {
        let end = next_hour(time);
        let span = end.duration_since(time).unwrap_or_default();
        if !in_blackout(wave, time) {
            if remaining <= span {
                return Some(time + remaining);
            }
            remaining -= span;
        }
        time = end;
    }
    None
}

fn next_hour(time: SystemTime) -> SystemTime {
    let hours = time.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() / HOUR_S;
    UNIX_EPOCH + Duration::from_secs((hours + 1) * HOUR_S)
}
