//! How much work arrives for each service, and how that changes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_platform::Moment;

/// Length of a bin of arrivals.
const BIN: Duration = Duration::from_millis(125);
/// Bins over which the present rate is taken. As many before them tell how it changes.
const RATE_BINS: usize = 6;

/// Work that arrives for each service.
#[derive(Debug, Default)]
pub struct Arrivals {
    services: HashMap<ServiceId, Recent>,
}

/// Work of one job.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// All its work.
    pub core_seconds: f64,
    /// Most cores that it can use at once.
    pub cores_max: f64,
}

/// What arrived within one bin.
#[derive(Debug)]
struct Bin {
    number: u128,
    core_seconds: f64,
    jobs: u32,
    /// The job with the most work.
    largest: Work,
}

/// Bins in which something arrived, the latest last.
#[derive(Debug, Default)]
struct Recent {
    bins: VecDeque<Bin>,
}

/// Jobs that arrived in two windows, one after the other.
#[derive(Debug, Clone, Copy)]
struct Counts {
    before: f64,
    present: f64,
}

fn bin_of(now: Moment) -> u128 {
    now.as_millis() / BIN.as_millis()
}

/// The first of the `count` bins that end at `now`.
fn first_bin(now: Moment, count: usize) -> u128 {
    bin_of(now).saturating_sub(count as u128 - 1)
}

fn window() -> Duration {
    BIN.mul_f64(RATE_BINS as f64)
}

impl Counts {
    /// How many jobs more there are in the present window, as far as it is more than chance.
    fn rise(self) -> f64 {
        (self.present - self.before - self.chance()).max(0.0)
    }

    fn is_falling(self) -> bool {
        self.before - self.present > self.chance()
    }

    /// Standard deviation of the difference where demand is steady.
    fn chance(self) -> f64 {
        (self.before + self.present).sqrt()
    }
}

impl Recent {
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

    /// The bins of the present window.
    fn present(&self, now: Moment) -> impl Iterator<Item = &Bin> {
        let first = first_bin(now, RATE_BINS);
        self.bins.iter().filter(move |bin| bin.number >= first)
    }

    /// Rate of the present window, in cores.
    ///
    /// Answers the load pattern of a single large job: it counts with the cores that it can use
    /// and not with all its work, which its steps do one after the other.
    fn rate(&self, now: Moment) -> f64 {
        let window_s = window().as_secs_f64();
        let largest = self.present(now).map(|bin| bin.largest);
        let largest = largest.max_by(|a, b| a.core_seconds.total_cmp(&b.core_seconds));
        let largest = largest.unwrap_or_default();
        let all: f64 = self.present(now).map(|bin| bin.core_seconds).sum();
        let others = all - largest.core_seconds;
        others / window_s + (largest.core_seconds / window_s).min(largest.cores_max)
    }

    fn counts(&self, now: Moment) -> Counts {
        let first = first_bin(now, 2 * RATE_BINS);
        let both = self.bins.iter().filter(|bin| bin.number >= first);
        let both: f64 = both.map(|bin| f64::from(bin.jobs)).sum();
        let present = self.present(now).map(|bin| f64::from(bin.jobs)).sum();
        Counts { before: both - present, present }
    }
}

impl Arrivals {
    /// Notes a job with its estimated work.
    pub fn record(&mut self, service: &ServiceId, work: Work, now: Moment) {
        self.services.entry(service.clone()).or_default().record(work, now);
    }

    /// Rate at which work arrives for a service, in cores.
    pub fn rate(&self, service: &str, now: Moment) -> f64 {
        self.services.get(service).map_or(0.0, |recent| recent.rate(now))
    }

    /// Rate at which work will arrive for a service after `lead` if it goes on rising as it does,
    /// in cores.
    ///
    /// Answers the load pattern of demand that rises for some seconds: machines that are ordered
    /// by the present rate come too late for it. A rise counts as far as it exceeds what chance
    /// brings in numbers of jobs.
    pub fn predicted_rate(&self, service: &str, lead: Duration, now: Moment) -> f64 {
        let Some(recent) = self.services.get(service) else { return 0.0 };
        let counts = recent.counts(now);
        let windows = lead.as_secs_f64() / window().as_secs_f64();
        recent.rate(now) * (1.0 + counts.rise() / counts.present.max(1.0) * windows)
    }

    /// Whether fewer jobs arrive for a service than a moment ago, by more than chance brings.
    pub fn is_falling(&self, service: &str, now: Moment) -> bool {
        self.services.get(service).is_some_and(|recent| recent.counts(now).is_falling())
    }
}
