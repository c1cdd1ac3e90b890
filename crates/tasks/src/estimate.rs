//! Resource and run time estimates of tasks, per team and kind, from usage reports.
//!
//! Values declared by callers are inaccurate. The estimate of a kind is a quantile of the usage
//! that its last tasks reported, with a lower bound. The declared values are used until enough
//! reports have arrived.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cassiafold_config::TeamId;

use crate::record::{KindId, Resources};

/// Number of last reports kept for each kind.
const REPORTS_KEPT: usize = 64;
/// Minimum number of reports that replace the declared values.
const REPORTS_MIN: usize = 4;
/// Share of reports whose usage does not exceed the estimate.
const QUANTILE: f64 = 0.95;
/// Maximum number of kinds kept; the least recently reported one is evicted first.
const KINDS_MAX: usize = 4_096;
/// Lower bound of estimated resources.
const FLOOR: Resources =
    Resources { processors_milli: 100, memory_bytes: 64 << 20, accelerators: 0 };

/// Peak usage of one finished task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Peak resources.
    pub peak: Resources,
    /// Run time.
    pub run_time: Duration,
}

/// Expected usage of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Resources to reserve.
    pub resources: Resources,
    /// Expected run time.
    pub run_time: Duration,
}

type KindKey = (TeamId, KindId);

#[derive(Debug, Default)]
struct History {
    reports: VecDeque<Usage>,
    last_used: u64,
}

/// Usage reports by team and kind.
#[derive(Debug, Default)]
pub struct Estimator {
    kinds: HashMap<KindKey, History>,
    report_count: u64,
}

impl Estimator {
    /// Records the usage that a finished task reported.
    pub fn record(&mut self, team: &TeamId, kind: &KindId, usage: Usage) {
        self.report_count += 1;
        self.evict_oldest(team, kind);
        let history = self.kinds.entry((team.clone(), kind.clone())).or_default();
        history.last_used = self.report_count;
        if history.reports.len() == REPORTS_KEPT {
            history.reports.pop_front();
        }
        history.reports.push_back(usage);
    }

    /// Estimates the usage of a task whose caller declared `declared`.
    ///
    /// The number of accelerators is always the declared one, since a task cannot use more.
    pub fn estimate(&self, team: &TeamId, kind: &KindId, declared: Estimate) -> Estimate {
        let history = self.kinds.get(&(team.clone(), kind.clone()));
        let Some(history) = history.filter(|history| history.reports.len() >= REPORTS_MIN) else {
            return Estimate { resources: at_least_floor(declared.resources), ..declared };
        };
        let reports = &history.reports;
        let resources = Resources {
            processors_milli: quantile(reports, |usage| usage.peak.processors_milli),
            memory_bytes: quantile(reports, |usage| usage.peak.memory_bytes),
            accelerators: declared.resources.accelerators,
        };
        let run_time = quantile(reports, |usage| usage.run_time);
        Estimate { resources: at_least_floor(resources), run_time }
    }

    /// Returns the number of kinds with reports.
    pub fn kinds(&self) -> usize {
        self.kinds.len()
    }

    fn evict_oldest(&mut self, team: &TeamId, kind: &KindId) {
        let key = (team.clone(), kind.clone());
        if self.kinds.len() < KINDS_MAX || self.kinds.contains_key(&key) {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(_, history)| history.last_used);
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            self.kinds.remove(&oldest);
        }
    }
}

/// Returns the [`QUANTILE`] of one field of the reports.
fn quantile<T: Ord + Copy + Default>(reports: &VecDeque<Usage>, field: impl Fn(&Usage) -> T) -> T {
    let mut values: Vec<T> = reports.iter().map(field).collect();
    values.sort_unstable();
    let rank = (values.len() as f64 * QUANTILE).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

fn at_least_floor(resources: Resources) -> Resources {
    Resources {
        processors_milli: resources.processors_milli.max(FLOOR.processors_milli),
        memory_bytes: resources.memory_bytes.max(FLOOR.memory_bytes),
        accelerators: resources.accelerators,
    }
}

#[cfg(test)]
mod tests;
