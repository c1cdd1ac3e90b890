//! Report of a run, as text tables or JSON.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::stats::{Outcome, RunState, RunStats};
use crate::error::Result;
use crate::output::{Output, or_dash, print_json, print_table};

const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;

/// Results of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    requests: u64,
    unsent: u64,
    duration_s: f64,
    rate_per_s: f64,
    results: Vec<Row>,
    latency_ms: Latencies,
}

/// Number of requests with one outcome.
#[derive(Debug, Serialize)]
struct Row {
    #[serde(flatten)]
    outcome: Outcome,
    count: u64,
}

/// Quantiles of the time from the scheduled send time to the end of the response, in milliseconds.
#[derive(Debug, Serialize)]
struct Latencies {
    p50: f64,
    p90: f64,
    p99: f64,
    p999: f64,
    max: f64,
}

impl From<&Histogram<u64>> for Latencies {
    fn from(latencies_us: &Histogram<u64>) -> Self {
        let ms = |latency_us: u64| latency_us as f64 / MICROSECONDS_PER_MILLISECOND;
        let quantile = |quantile: f64| ms(latencies_us.value_at_quantile(quantile));
        let max = ms(latencies_us.max());
        Self {
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            p999: quantile(0.999),
            max,
        }
    }
}

impl Report {
    /// Creates the report of a run of `planned` requests that took `duration`.
    pub fn new(stats: &RunStats, planned: u64, duration: Duration) -> Self {
        let requests: u64 = stats.counts.values().sum();
        let duration_s = duration.as_secs_f64();
        let rows =
            stats.counts.iter().map(|(outcome, count)| Row { outcome: *outcome, count: *count });
        Self {
            requests,
            unsent: planned.saturating_sub(requests),
            duration_s,
            rate_per_s: requests as f64 / duration_s,
            results: rows.collect(),
            latency_ms: Latencies::from(&stats.latencies_us),
        }
    }

    /// Writes the report to standard output.
    pub fn print(&self, output: Output) -> Result<()> {
        if output == Output::Json {
            return print_json(self);
        }
        let (requests, duration_s, rate) = (self.requests, self.duration_s, self.rate_per_s);
        println!(
            "{requests} requests in {duration_s:.1} s, {rate:.1} per second, {} unsent",
            self.unsent
        );
        print_table(["OUTCOME", "STATUS", "CODE", "RUN", "COUNT"], self.results.iter().map(row));
        let Latencies { p50, p90, p99, p999, max } = self.latency_ms;
        let cells = [p50, p90, p99, p999, max].map(|ms| format!("{ms:.2}"));
        print_table(["P50 MS", "P90 MS", "P99 MS", "P99.9 MS", "MAX MS"], [cells]);
        Ok(())
    }
}

fn row(row: &Row) -> [String; 5] {
    let (name, status, code, run) = match row.outcome {
        Outcome::Answered { status, code, run } => ("answered", Some(status), code, Some(run)),
        Outcome::NotConnected => ("not connected", None, None, None),
        Outcome::Broken => ("broken", None, None, None),
        Outcome::TimedOut => ("timed out", None, None, None),
    };
    let run = run.and_then(run_text);
    [name.to_owned(), or_dash(status), or_dash(code), or_dash(run), row.count.to_string()]
}

fn run_text(run: RunState) -> Option<&'static str> {
    match run {
        RunState::Unspecified => None,
        RunState::NotRun => Some("not run"),
        RunState::OutcomeUnknown => Some("outcome unknown"),
    }
}
