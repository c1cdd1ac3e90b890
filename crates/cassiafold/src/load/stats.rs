//! Statistics of a load run: outcomes and latencies.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Largest distinguishable latency, in microseconds; larger ones are recorded as this value.
const LATENCY_US_MAX: u64 = 3_600_000_000;

/// Run state of a request, as reported by its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The response does not contain a run state, as with responses of backend servers.
    #[serde(rename = "unsaid")]
    Unspecified,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    OutcomeUnknown,
}

/// Outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// A complete response was received.
    Answered {
        /// HTTP status.
        status: u16,
        /// Result code of a refusal.
        code: Option<u16>,
        /// Run state that the response reports.
        run: RunState,
    },
    /// No connection could be established.
    NotConnected,
    /// The connection failed before the response was complete.
    Broken,
    /// The request timed out before the response was complete.
    TimedOut,
}

impl Outcome {
    fn is_answered(self) -> bool {
        matches!(self, Self::Answered { .. })
    }
}

/// Statistics of the requests of a run.
#[derive(Debug, Clone)]
pub struct RunStats {
    /// Number of requests by outcome.
    pub counts: BTreeMap<Outcome, u64>,
    /// Time from the scheduled send time to the end of the response, in microseconds, of the
    /// requests with a complete response.
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
    /// Records the outcome of one request, and its latency if the response was complete.
    pub fn record(&mut self, outcome: Outcome, latency: Duration) {
        *self.counts.entry(outcome).or_default() += 1;
        if outcome.is_answered() {
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies_us.saturating_record(latency_us);
        }
    }

    /// Adds the statistics of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (outcome, count) in &other.counts {
            *self.counts.entry(*outcome).or_default() += count;
        }
        self.latencies_us += &other.latencies_us;
    }
}

#[cfg(test)]
mod tests;
