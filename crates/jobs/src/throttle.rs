//! Speed of opportunistic tasks beside tasks that serve users.

/// Share of the tail latency target above which opportunistic tasks on the worker are slowed down.
const LOAD_HIGH: f64 = 0.95;
/// Share of the tail latency target below which they are sped up.
const LOAD_LOW: f64 = 0.75;
/// Lowest speed other than zero, in percent; the task is paused below it.
const SPEED_MIN_PERCENT: u8 = 10;
/// Step by which the speed rises, in percent.
const SPEED_STEP_PERCENT: u8 = 15;

/// Next speed of an opportunistic task, in percent, beside tasks whose tail latency is `load` times
/// its target.
///
/// The speed is halved at once when the tail latency nears its target, and rises step by step,
/// since the users' load changes within seconds.
pub fn next_speed_percent(percent: u8, load: f64) -> u8 {
    if load > LOAD_HIGH {
        let halved = percent / 2;
        return if halved < SPEED_MIN_PERCENT { 0 } else { halved };
    }
    if load < LOAD_LOW {
        return percent.saturating_add(SPEED_STEP_PERCENT).min(100);
    }
    percent
}
