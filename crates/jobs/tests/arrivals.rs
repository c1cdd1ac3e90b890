//! Replays rising and falling demand, and compares policies that request machines for it.

use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_jobs::arrivals::{Arrivals, Work};
use cassiafold_jobs::balance::PeakNeed;
use cassiafold_platform::Moment;

/// Time from a move command until the machine runs tasks.
const LEAD: Duration = Duration::from_millis(2_000);
const STEP: Duration = Duration::from_millis(50);
const SERVICE: &str = "a";
const TURN_S: f64 = 10.0;
/// Cores that each job uses, for one second.
const JOB_CORES: f64 = 10.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Rate in jobs per second over time: half a sine wave with maximum `peak`, then zero.
fn bump(peak: f64) -> impl Fn(f64) -> f64 {
    move |at_s| {
        if at_s < TURN_S { peak * (at_s / TURN_S * std::f64::consts::PI).sin() } else { 0.0 }
    }
}

/// Cores demanded and cores requested in each step.
struct Replay {
    demand: Vec<f64>,
    wanted: Vec<f64>,
}

/// Submits jobs at a given rate in jobs per second, and records the cores that `want` requests.
fn replay(
    jobs_per_s: impl Fn(f64) -> f64,
    mut want: impl FnMut(&Arrivals, Moment) -> f64,
) -> Replay {
    let mut seen = Arrivals::default();
    let mut replay = Replay { demand: Vec::new(), wanted: Vec::new() };
    let mut open = 0.0;
    let begin = ms(10_000);
    let mut now = begin;
    while now < begin + ms(16_000) {
        let jobs = jobs_per_s((now - begin).as_secs_f64());
        open += jobs * STEP.as_secs_f64();
        while open >= 1.0 {
            open -= 1.0;
            let work = Work { core_seconds: JOB_CORES, cores_max: JOB_CORES };
            seen.record(&ServiceId::from(SERVICE), work, now);
        }
        replay.demand.push(jobs * JOB_CORES);
        replay.wanted.push(want(&seen, now));
        now += STEP;
    }
    replay
}

impl Replay {
    /// Core-seconds of demand that the machines requested `LEAD` earlier do not cover.
    fn missing(&self) -> f64 {
        let lag = (LEAD.as_millis() / STEP.as_millis()) as usize;
        let late = self.demand.iter().skip(lag).zip(&self.wanted);
        late.map(|(demand, wanted)| (demand - wanted).max(0.0) * STEP.as_secs_f64()).sum()
    }

    /// Requested core-seconds in excess of the demand.
    fn idle(&self) -> f64 {
        let each = self.demand.iter().zip(&self.wanted);
        each.map(|(demand, kept)| (kept - demand).max(0.0) * STEP.as_secs_f64()).sum()
    }
}

#[test]
fn machines_ordered_ahead_miss_less_of_a_rise() {
    let by_rate = replay(bump(150.0), |arrivals, now| arrivals.rate(SERVICE, now));
    let ahead = replay(bump(150.0), |arrivals, now| arrivals.predicted_rate(SERVICE, LEAD, now));
    let (missed, rest) = (by_rate.missing(), ahead.missing());
    assert!(rest < 0.75 * missed, "{rest:.0} of {missed:.0} core-seconds");
}

#[test]
fn steady_demand_is_not_taken_for_a_rise() {
    let steady = |_: f64| 40.0;
    let by_rate = replay(steady, |arrivals, now| arrivals.rate(SERVICE, now));
    let ahead = replay(steady, |arrivals, now| arrivals.predicted_rate(SERVICE, LEAD, now));
    // The start of the demand counts as a rise.
    let settled = 40;
    assert_eq!(by_rate.wanted[settled..], ahead.wanted[settled..]);
}

/// Requests the peak of the recent need. With `sees_falls`, older needs are dropped while demand
/// falls.
fn kept(sees_falls: bool) -> Replay {
    let mut task_resources = PeakNeed::default();
    replay(bump(150.0), move |arrivals, now| {
        let is_falling = sees_falls && arrivals.is_falling(SERVICE, now);
        task_resources.record(arrivals.rate(SERVICE, now) as usize, is_falling, now) as f64
    })
}

#[test]
fn less_is_kept_while_demand_falls() {
    let (before, after) = (kept(false), kept(true));
    let (idle, rest) = (before.idle(), after.idle());
    assert!(rest < 0.7 * idle, "{rest:.0} of {idle:.0} core-seconds");
}

#[test]
fn a_dip_that_chance_brings_is_no_fall() {
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
fn a_single_large_job_counts_with_the_cores_that_it_can_use() {
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
