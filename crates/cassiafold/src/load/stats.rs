//! Counts of outcomes and their latencies.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Longest latency that is told apart, in microseconds.
const LATENCY_US_MAX: u64 = 3_600_000_000;

/// What an answer says about the run of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It says nothing, as the answer of a backend server.
    #[serde(rename = "unsaid")]
    Unspecified,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    OutcomeUnknown,
}

/// What became of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// A whole answer came.
    Answered {
        /// HTTP status.
        status: u16,
        /// Result code of a refusal.
        code: Option<u16>,
        /// What the answer says about the run.
        run: RunState,
    },
    /// No connection could be made.
    NotConnected,
    /// The connection broke before the whole answer had come.
    Broken,
    /// The timeout came before the whole answer.
    TimedOut,
}

impl Outcome {
    fn is_answered(self) -> bool {
        matches!(self, Self::Answered { .. })
    }
}

/// Outcomes of many requests.
#[derive(Debug, Clone)]
pub struct RunStats {
    /// Number of requests by outcome.
    pub counts: BTreeMap<Outcome, u64>,
    /// Time from due to the whole answer, of the answered requests, in microseconds.
    pub latencies_us: Histogram<u64>,
}

impl Default for RunStats {
    fn default() -> Self {
        let latencies_us = Histogram::new_with_max(LATENCY_US_MAX, LATENCY_DIGITS)
            .expect("the bounds of the histogram are valid");
        Self { counts: BTreeMap::new(), latencies_us }
    }
}

impl RunStats {
    /// Counts one request.
    pub fn record(&mut self, outcome: Outcome, latency: Duration) {
        *self.counts.entry(outcome).or_default() += 1;
        if outcome.is_answered() {
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies_us.saturating_record(latency_us);
        }
    }

    /// Adds the requests of another tally.
    pub fn merge(&mut self, other: &Self) {
        for (outcome, count) in &other.counts {
            *self.counts.entry(*outcome).or_default() += count;
        }
        self.latencies_us += &other.latencies_us;
    }
}

#[cfg(test)]
mod tests;
