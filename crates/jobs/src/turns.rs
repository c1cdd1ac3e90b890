//! Which service has its turn of high demand, and which one follows.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cassiafold_config::ServiceId;
use cassiafold_platform::Moment;

use crate::record::{OnsetRecord, TurnsRecord};

/// Length of a bin of arrivals.
const BIN: Duration = Duration::from_millis(125);
/// Bins over which the present rate is taken.
const RATE_BINS: usize = 6;
/// Share of all arriving work that makes a service the one that has its turn.
const DOMINANT_SHARE: f64 = 0.6;
/// Jobs that must have arrived within the rate's bins for a turn to begin.
const ONSET_JOBS: u32 = 3;
/// Onsets that are remembered.
const ONSETS_MAX: usize = 32;
/// How long demand may rise in a turn.
const RISE: Duration = Duration::from_millis(3_000);
/// Shortest time between two onsets; what comes sooner is chance.
const TURN_MIN: Duration = Duration::from_millis(1_500);

/// Work that arrives for each service, and the turns seen in it.
#[derive(Debug, Default)]
pub struct Turns {
    arrivals: HashMap<ServiceId, Arrivals>,
    onsets: VecDeque<Onset>,
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

#[derive(Debug, Default)]
struct Arrivals {
    /// Bins in which something arrived, the latest last.
    bins: VecDeque<Bin>,
    /// Core-seconds that arrived since its last onset; `None` if that was not seen here.
    since_onset: Option<f64>,
    /// Rate of its last whole turn, in cores.
    turn_rate: Option<f64>,
}

/// Begin of a turn.
#[derive(Debug, Clone, PartialEq)]
pub struct Onset {
    /// The service.
    pub service: ServiceId,
    /// When its demand rose.
    pub at: Moment,
}

/// A turn that is expected.
#[derive(Debug, Clone, PartialEq)]
pub struct Forecast {
    /// Its begin.
    pub onset: Onset,
    /// Rate at which work is expected to arrive, in cores; `None` if it has had no turn yet.
    pub rate: Option<f64>,
}

fn bin_of(now: Moment) -> u128 {
    now.as_millis() / BIN.as_millis()
}

/// The first of the `count` bins that end at `now`.
fn first_bin(now: Moment, count: usize) -> u128 {
    bin_of(now).saturating_sub(count as u128 - 1)
}

impl Arrivals {
    fn forget_before(&mut self, bin: u128) {
        while self.bins.front().is_some_and(|one| one.number < bin) {
            self.bins.pop_front();
        }
    }

    /// The bins of the present rate: those that end at `now`.
    fn present(&self, now: Moment) -> impl Iterator<Item = &Bin> {
        let first = first_bin(now, RATE_BINS);
        self.bins.iter().filter(move |bin| bin.number >= first)
    }

    fn recent(&self, now: Moment) -> (f64, u32) {
        self.present(now)
            .fold((0.0, 0), |(work, jobs), bin| (work + bin.core_seconds, jobs + bin.jobs))
    }

    /// Rate of the present bins, in cores.
    ///
    /// Answers the load pattern of a single large job: it counts with the cores that it can use
    /// and not with all its work, which its steps do one after the other.
    fn rate(&self, now: Moment) -> f64 {
        let window_s = BIN.as_secs_f64() * RATE_BINS as f64;
        let largest = self.present(now).map(|bin| bin.largest);
        let largest = largest.max_by(|a, b| a.core_seconds.total_cmp(&b.core_seconds));
        let largest = largest.unwrap_or_default();
        let others = self.recent(now).0 - largest.core_seconds;
        others / window_s + (largest.core_seconds / window_s).min(largest.cores_max)
    }

    fn is_falling(&self, now: Moment) -> bool {
        let jobs = f64::from(self.recent(now).1);
        let all = self.bins.iter().map(|bin| f64::from(bin.jobs)).sum::<f64>();
        all - 2.0 * jobs > all.sqrt()
    }

    /// Factor by which the rate will have grown after `lead`, if it goes on rising as it does.
    ///
    /// Answers the load pattern of demand that rises for some seconds: machines that are ordered
    /// by the present rate come too late for it. A rise counts as far as it exceeds what chance
    /// brings in numbers of jobs.
    fn growth(&self, lead: Duration, now: Moment) -> f64 {
        let jobs = f64::from(self.recent(now).1);
        let all = self.bins.iter().map(|bin| f64::from(bin.jobs)).sum::<f64>();
        let before = all - jobs;
        let rise = jobs - before - all.sqrt();
        if rise <= 0.0 {
            return 1.0;
        }
        let windows = lead.as_secs_f64() / (BIN.as_secs_f64() * RATE_BINS as f64);
        1.0 + rise / jobs * windows
    }
}

impl Turns {
    /// The turns that an earlier owner saw; `unix` is the time of day at `now`.
    pub fn restore(record: &TurnsRecord, unix: Duration, now: Moment) -> Self {
        let onset = |stored: &OnsetRecord| {
            let age = unix.saturating_sub(Duration::from_millis(stored.at_unix_ms));
            Onset { service: stored.service.clone(), at: now.saturating_sub(age) }
        };
        let arrivals = record.rates.iter().map(|(service, rate)| {
            let arrivals = Arrivals { turn_rate: Some(*rate), ..Arrivals::default() };
            (service.clone(), arrivals)
        });
        Self { arrivals: arrivals.collect(), onsets: record.onsets.iter().map(onset).collect() }
    }

    /// The turns as they shall lie in the store; `unix` is the time of day at `now`.
    pub fn record(&self, unix: Duration, now: Moment) -> TurnsRecord {
        let onset = |onset: &Onset| {
            let at = unix.saturating_sub(now.saturating_sub(onset.at));
            let at_unix_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
            OnsetRecord { service: onset.service.clone(), at_unix_ms }
        };
        let rates = self.arrivals.iter().filter_map(|(service, arrivals)| {
            arrivals.turn_rate.map(|rate| (service.clone(), rate))
        });
        TurnsRecord { onsets: self.onsets.iter().map(onset).collect(), rates: rates.collect() }
    }

    /// Notes a job with its estimated work.
    pub fn note(&mut self, service: &ServiceId, work: Work, now: Moment) {
        let number = bin_of(now);
        let core_seconds = work.core_seconds;
        let arrivals = self.arrivals.entry(service.clone()).or_default();
        if let Some(since_onset) = &mut arrivals.since_onset {
            *since_onset += core_seconds;
        }
        match arrivals.bins.back_mut() {
            Some(bin) if bin.number == number => {
                bin.core_seconds += core_seconds;
                bin.jobs += 1;
                if core_seconds > bin.largest.core_seconds {
                    bin.largest = work;
                }
            }
            _ => arrivals.bins.push_back(Bin { number, core_seconds, jobs: 1, largest: work }),
        }
    }

    /// Takes in that time has passed: a turn may have begun.
    pub fn update(&mut self, now: Moment) {
        let first = first_bin(now, 2 * RATE_BINS);
        for arrivals in self.arrivals.values_mut() {
            arrivals.forget_before(first);
        }
        let total: f64 = self.arrivals.values().map(|arrivals| arrivals.recent(now).0).sum();
        let dominant = self.arrivals.iter().find(|(_, arrivals)| {
            let (work, jobs) = arrivals.recent(now);
            jobs >= ONSET_JOBS && work >= DOMINANT_SHARE * total
        });
        let Some(service) = dominant.map(|(service, _)| service.clone()) else { return };
        let last = self.onsets.back();
        let is_new = last.is_none_or(|last| last.service != service && now >= last.at + TURN_MIN);
        if is_new {
            self.begin(service, now);
        }
    }

    fn begin(&mut self, service: ServiceId, now: Moment) {
        if let Some(last) = self.onsets.back()
            && let Some(arrivals) = self.arrivals.get_mut(&last.service)
            && let Some(since_onset) = arrivals.since_onset
        {
            let length_s = now.saturating_sub(last.at).as_secs_f64();
            arrivals.turn_rate = Some(since_onset / length_s.max(BIN.as_secs_f64()));
        }
        if let Some(arrivals) = self.arrivals.get_mut(&service) {
            arrivals.since_onset = Some(arrivals.recent(now).0);
        }
        self.onsets.push_back(Onset { service, at: now });
        if self.onsets.len() > ONSETS_MAX {
            self.onsets.pop_front();
        }
    }

    /// Rate at which work arrives for a service, in cores.
    pub fn rate(&self, service: &str, now: Moment) -> f64 {
        self.arrivals.get(service).map_or(0.0, |arrivals| arrivals.rate(now))
    }

    /// Rate at which work will arrive for a service after `lead` if it goes on rising, in cores.
    pub fn rate_ahead(&self, service: &str, lead: Duration, now: Moment) -> f64 {
        let arrivals = self.arrivals.get(service);
        arrivals.map_or(0.0, |arrivals| arrivals.rate(now) * arrivals.growth(lead, now))
    }

    /// Whether fewer jobs arrive for a service than a moment ago, by more than chance brings.
    pub fn is_falling(&self, service: &str, now: Moment) -> bool {
        self.arrivals.get(service).is_none_or(|arrivals| arrivals.is_falling(now))
    }

    /// Service that has its turn.
    pub fn current(&self) -> Option<&Onset> {
        self.onsets.back()
    }

    /// Whether a service has had a turn.
    pub fn has_had_turn(&self, service: &str) -> bool {
        self.onsets.iter().any(|onset| *onset.service == *service)
    }

    /// Rate that a service whose turn has just begun will reach, in cores; `None` when no turn has
    /// been seen to its end, or the turn is no longer young.
    ///
    /// Answers the load pattern of a turn whose demand rises over some seconds: machines ordered
    /// by the present rate would come after it. A service that has had no turn is expected to ask
    /// for as much as the others did.
    pub fn young_turn_rate(&self, service: &str, now: Moment) -> Option<f64> {
        let current = self.onsets.back()?;
        if *current.service != *service || now >= current.at + RISE {
            return None;
        }
        let own = self.arrivals.get(service).and_then(|arrivals| arrivals.turn_rate);
        own.or_else(|| self.mean_turn_rate())
    }

    fn mean_turn_rate(&self) -> Option<f64> {
        let known = || self.arrivals.values().filter_map(|arrivals| arrivals.turn_rate);
        let count = known().count();
        (count > 0).then(|| known().sum::<f64>() / count as f64)
    }

    /// The turn that follows the present one.
    ///
    /// Answers the load pattern of queues whose demand rises by turns: the order and the lengths
    /// repeat. Until the order has been seen once, the service whose turn is longest ago follows,
    /// after as long as turns took so far.
    pub fn forecast(&self) -> Option<Forecast> {
        let current = self.onsets.back()?;
        let (next, gap) = self.seen_successor(current).or_else(|| self.guessed_successor())?;
        let rate = self.arrivals.get(&next).and_then(|arrivals| arrivals.turn_rate);
        Some(Forecast { onset: Onset { service: next, at: current.at + gap }, rate })
    }

    fn seen_successor(&self, current: &Onset) -> Option<(ServiceId, Duration)> {
        let earlier = self.onsets.iter().zip(self.onsets.iter().skip(1));
        let mut pairs: Vec<_> = earlier.filter(|(one, _)| one.service == current.service).collect();
        let (one, next) = pairs.pop()?;
        Some((next.service.clone(), next.at.saturating_sub(one.at)))
    }

    fn guessed_successor(&self) -> Option<(ServiceId, Duration)> {
        let all_had_turns = self.arrivals.keys().all(|service| self.has_had_turn(service));
        if !all_had_turns || self.onsets.len() < 2 {
            return None;
        }
        let oldest = self.onsets.front()?;
        let span = self.onsets.back()?.at.saturating_sub(oldest.at);
        let gaps = u32::try_from(self.onsets.len() - 1).unwrap_or(u32::MAX);
        Some((oldest.service.clone(), span / gaps))
    }
}
