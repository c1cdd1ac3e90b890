//! How fast tasks may work that run on what others leave unused.

/// Share of the tail target above which opportunistic tasks beside it are slowed down.
const LOAD_HIGH: f64 = 0.95;
/// Share of the tail target below which they are let go faster.
const LOAD_LOW: f64 = 0.75;
/// Paces below this come to a halt, in percent.
const PACE_MIN_PERCENT: u8 = 10;
/// By how much a pace rises at once, in percent.
const PACE_RISE_PERCENT: u8 = 15;

/// The next pace of an opportunistic task beside tasks whose tail latency is `load` times their
/// target.
///
/// Answers the load pattern of users whose load changes within seconds: the pace is halved at
/// once when their tail nears its target, and rises again step by step.
pub fn next_speed_percent(percent: u8, load: f64) -> u8 {
    if load > LOAD_HIGH {
        let halved = percent / 2;
        return if halved < PACE_MIN_PERCENT { 0 } else { halved };
    }
    if load < LOAD_LOW {
        return percent.saturating_add(PACE_RISE_PERCENT).min(100);
    }
    percent
}
