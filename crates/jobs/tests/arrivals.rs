//! Replays rising and falling demand, and compares policies that request machines for it.

use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_jobs::arrivals::{Arrivals, Work};
use cassiafold_jobs::balance::PeakNeed;
use cassiafold_platform::Moment;

/// Time from a move command until the machine runs tasks.
const MACHINE_LEAD_TIME: Duration = Duration::from_millis(2_000);
/// Time between two steps of a replay.
const STEP: Duration = Duration::from_millis(50);
const SERVICE: &str = "a";
/// Duration of the rise and fall of the demand, in seconds.
const HALF_SINE_S: f64 = 10.0;
/// Cores that each job uses, for one second.
const JOB_CORES: f64 = 10.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Rate in jobs per second over time: half a sine wave with maximum `peak`, then zero.
fn half_sine(peak: f64) -> impl Fn(f64) -> f64 {
    move |at_s| {
        if at_s < HALF_SINE_S {
            peak * (at_s / HALF_SINE_S * std::f64::consts::PI).sin()
        } else {
            0.0
        }
    }
}

/// Cores demanded and cores requested in each step.
struct Replay {
    demand: Vec<f64>,
    requested: Vec<f64>,
}

/// Submits jobs at a given rate in jobs per second, and records the cores that `request_cores`
/// returns in each step.
fn replay(
    jobs_per_s: impl Fn(f64) -> f64,
    mut request_cores: impl FnMut(&Arrivals, Moment) -> f64,
) -> Replay {
    let mut arrivals = Arrivals::default();
    let mut replay = Replay { demand: Vec::new(), requested: Vec::new() };
    let mut fractional_jobs = 0.0;
    let start = ms(10_000);
    let mut now = start;
    while now < start + ms(16_000) {
        let rate = jobs_per_s((now - start).as_secs_f64());
        fractional_jobs += rate * STEP.as_secs_f64();
        while fractional_jobs >= 1.0 {
            fractional_jobs -= 1.0;
            let work = Work { core_seconds: JOB_CORES, cores_max: JOB_CORES };
            arrivals.record(&ServiceId::from(SERVICE), work, now);
        }
        replay.demand.push(rate * JOB_CORES);
        replay.requested.push(request_cores(&arrivals, now));
        now += STEP;
    }
    replay
}

impl Replay {
    /// Core-seconds of demand that the machines requested `MACHINE_LEAD_TIME` earlier do not cover.
    fn shortfall(&self) -> f64 {
        let lag_steps = (MACHINE_LEAD_TIME.as_millis() / STEP.as_millis()) as usize;
        let delayed = self.demand.iter().skip(lag_steps).zip(&self.requested);
        delayed.map(|(demand, requested)| (demand - requested).max(0.0) * STEP.as_secs_f64()).sum()
    }

    /// Requested core-seconds in excess of the demand.
    fn surplus(&self) -> f64 {
        let steps = self.demand.iter().zip(&self.requested);
        steps.map(|(demand, requested)| (requested - demand).max(0.0) * STEP.as_secs_f64()).sum()
    }
}

#[test]
fn the_predicted_rate_covers_more_of_a_rise() {
    let by_rate = replay(half_sine(150.0), |arrivals, now| arrivals.rate(SERVICE, now));
    let predicted = replay(half_sine(150.0), |arrivals, now| {
        arrivals.predicted_rate(SERVICE, MACHINE_LEAD_TIME, now)
    });
    let (rate_shortfall, improved) = (by_rate.shortfall(), predicted.shortfall());
    assert!(improved < 0.75 * rate_shortfall, "{improved:.0} of {rate_shortfall:.0} core-seconds");
}

#[test]
fn steady_demand_is_not_taken_for_a_rise() {
    let steady = |_: f64| 40.0;
    let by_rate = replay(steady, |arrivals, now| arrivals.rate(SERVICE, now));
    let predicted =
        replay(steady, |arrivals, now| arrivals.predicted_rate(SERVICE, MACHINE_LEAD_TIME, now));
    // The start of the demand counts as a rise.
    let settled_steps = 40;
    assert_eq!(by_rate.requested[settled_steps..], predicted.requested[settled_steps..]);
}

/// Requests the peak of the recent need. With `detects_falls`, older needs are dropped while demand
/// falls.
fn peak_requests(detects_falls: bool) -> Replay {
    let mut peak_need = PeakNeed::default();
    replay(half_sine(150.0), move |arrivals, now| {
        let is_falling = detects_falls && arrivals.is_falling(SERVICE, now);
        peak_need.record(arrivals.rate(SERVICE, now) as usize, is_falling, now) as f64
    })
}

#[test]
fn fewer_cores_are_requested_while_demand_falls() {
    let (before, after) = (peak_requests(false), peak_requests(true));
    let (surplus, improved) = (before.surplus(), after.surplus());
    assert!(improved < 0.7 * surplus, "{improved:.0} of {surplus:.0} core-seconds");
}

#[test]
fn small_dips_do_not_count_as_a_fall() {
    let mut falls = 0;
    // Every second interval of 750 ms has 2 jobs per second fewer.
    let dips = |at_s: f64| if ((at_s / 0.75) as u64).is_multiple_of(2) { 20.0 } else { 18.0 };
    replay(dips, |arrivals, now| {
        falls += usize::from(arrivals.is_falling(SERVICE, now));
        0.0
    });
    assert_eq!(falls, 0);
}

#[test]
fn a_single_large_job_counts_only_with_the_cores_that_it_can_use() {
    let mut arrivals = Arrivals::default();
    let now = ms(1_000);
    let mut record = |core_seconds| {
        let work = Work { core_seconds, cores_max: 55.0 };
        arrivals.record(&ServiceId::from(SERVICE), work, now);
        arrivals.rate(SERVICE, now)
    };
    assert_eq!(record(900.0), 55.0);
    record(75.0);
    record(75.0);
    assert_eq!(record(75.0), 300.0 + 55.0);
}
