//! Arrival rate of work per service, and its trend.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_platform::Moment;

/// Width of a bin of arrivals.
const BIN_WIDTH: Duration = Duration::from_millis(125);
/// Bins in the current window, over which the arrival rate is taken. The window before it has as
/// many, for the trend.
const RATE_BINS: usize = 6;

/// Standard deviations by which the number of jobs has fallen if a peak is over.
const CLEAR_FALL: f64 = 2.0;

/// Recent arrivals of work per service.
#[derive(Debug, Default)]
pub struct Arrivals {
    services: HashMap<ServiceId, RecentArrivals>,
}

/// Estimated work of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Total work, in core-seconds.
    pub core_seconds: f64,
    /// Most cores that the job can use at once.
    pub cores_max: f64,
}

/// Arrivals within one bin.
#[derive(Debug)]
struct Bin {
    number: u128,
    core_seconds: f64,
    jobs: u32,
    /// The job with the most work.
    largest: Work,
}

/// Bins with arrivals, latest last.
#[derive(Debug, Default)]
struct RecentArrivals {
    bins: VecDeque<Bin>,
}

/// Number of jobs that arrived in two consecutive windows.
#[derive(Debug, Clone, Copy)]
struct Counts {
    previous: f64,
    current: f64,
}

fn bin_of(now: Moment) -> u128 {
    now.as_millis() / BIN_WIDTH.as_millis()
}

/// Number of the first of the `count` bins that end at `now`.
fn first_bin(now: Moment, count: usize) -> u128 {
    bin_of(now).saturating_sub(count as u128 - 1)
}

fn window() -> Duration {
    BIN_WIDTH.mul_f64(RATE_BINS as f64)
}

impl Counts {
    /// Increase of the number of jobs from one window to the next, beyond random variation.
    fn excess_increase(self) -> f64 {
        (self.current - self.previous - self.random_variation()).max(0.0)
    }

    fn is_falling(self) -> bool {
        self.previous - self.current > self.random_variation()
    }

    fn has_clearly_fallen(self) -> bool {
        self.previous - self.current > CLEAR_FALL * self.random_variation()
    }

    /// Standard deviation of the difference at a steady arrival rate.
    fn random_variation(self) -> f64 {
        (self.previous + self.current).sqrt()
    }
}

impl RecentArrivals {
    fn record(&mut self, work: Work, now: Moment) {
        let first = first_bin(now, 2 * RATE_BINS);
        while self.bins.front().is_some_and(|bin| bin.number < first) {
            self.bins.pop_front();
        }
        let number = bin_of(now);
        match self.bins.back_mut() {
            Some(bin) if bin.number == number => {
                bin.core_seconds += work.core_seconds;
                bin.jobs += 1;
                if work.core_seconds > bin.largest.core_seconds {
                    bin.largest = work;
                }
            }
            _ => {
                let core_seconds = work.core_seconds;
                self.bins.push_back(Bin { number, core_seconds, jobs: 1, largest: work });
            }
        }
    }

    /// Bins of the current window.
    fn current_bins(&self, now: Moment) -> impl Iterator<Item = &Bin> {
        let first = first_bin(now, RATE_BINS);
        self.bins.iter().filter(move |bin| bin.number >= first)
    }

    /// Arrival rate over the current window, in cores.
    ///
    /// The largest job counts at most with the cores that it can use, not with its total work,
    /// which its steps do one after the other. Otherwise a single large job would raise the rate
    /// too far.
    fn rate(&self, now: Moment) -> f64 {
        let window_s = window().as_secs_f64();
        let largest = self.current_bins(now).map(|bin| bin.largest);
        let largest = largest.max_by(|a, b| a.core_seconds.total_cmp(&b.core_seconds));
        let largest = largest.unwrap_or_default();
        let all: f64 = self.current_bins(now).map(|bin| bin.core_seconds).sum();
        let others = all - largest.core_seconds;
        others / window_s + (largest.core_seconds / window_s).min(largest.cores_max)
    }

    fn counts(&self, now: Moment) -> Counts {
        let first = first_bin(now, 2 * RATE_BINS);
        let both = self.bins.iter().filter(|bin| bin.number >= first);
        let both: f64 = both.map(|bin| f64::from(bin.jobs)).sum();
        let current = self.current_bins(now).map(|bin| f64::from(bin.jobs)).sum();
        Counts { previous: both - current, current }
    }
}

impl Arrivals {
    /// Records a job's estimated work.
    pub fn record(&mut self, service: &ServiceId, work: Work, now: Moment) {
        self.services.entry(service.clone()).or_default().record(work, now);
    }

    /// Arrival rate of work of a service, in cores.
    pub fn rate(&self, service: &str, now: Moment) -> f64 {
        self.services.get(service).map_or(0.0, |recent| recent.rate(now))
    }

    /// Arrival rate of work of a service after `lead`, in cores, if it goes on rising as it does
    /// now.
    ///
    /// Machines that are commanded by the current rate arrive too late for demand that rises over
    /// several seconds. An increase counts only as far as it exceeds the random variation of the
    /// number of jobs.
    pub fn predicted_rate(&self, service: &str, lead: Duration, now: Moment) -> f64 {
        let Some(recent) = self.services.get(service) else { return 0.0 };
        let counts = recent.counts(now);
        let windows = lead.as_secs_f64() / window().as_secs_f64();
        recent.rate(now) * (1.0 + counts.excess_increase() / counts.current.max(1.0) * windows)
    }

    /// Whether the number of arriving jobs falls, beyond random variation.
    pub fn is_falling(&self, service: &str, now: Moment) -> bool {
        self.services.get(service).is_some_and(|recent| recent.counts(now).is_falling())
    }

    /// Whether so many fewer jobs arrive that a peak is over. Two or three jobs that come before the
    /// first peak, and none after them, are no peak.
    pub fn has_clearly_fallen(&self, service: &str, now: Moment) -> bool {
        self.services.get(service).is_some_and(|recent| recent.counts(now).has_clearly_fallen())
    }
}
