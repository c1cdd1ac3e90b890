//! The `load` command, which sends requests at a fixed rate to entry instances on loopback.
//!
//! Latency is measured from the scheduled send time of a request, so that a slow response also
//! counts towards the latency of the requests queued behind it. Requests that are still unsent one
//! timeout after the planned end of the run are abandoned.

pub mod options;
mod report;
mod sender;
mod stats;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

pub use self::options::LoadOptions;
use self::report::Report;
use self::sender::Sender;
use self::stats::RunStats;
use crate::error::Result;

/// Sends the requests and prints a report of their outcomes.
pub fn run(options: &LoadOptions) -> Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(run_load(options))?;
    report.print(options.output)?;
    Ok(ExitCode::SUCCESS)
}

/// Send times of the requests of a run.
struct Schedule {
    start: Instant,
    interval: Duration,
    requests: u64,
    end: Instant,
    next: AtomicU64,
}

impl Schedule {
    /// Waits for the send time of the next request and returns it, or `None` if no requests remain
    /// or the run has ended.
    async fn next_due(&self) -> Option<Instant> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        if number >= self.requests {
            return None;
        }
        let due = self.start + self.interval.mul_f64(number as f64);
        sleep_until(due).await;
        (Instant::now() < self.end).then_some(due)
    }
}

async fn run_load(options: &LoadOptions) -> Result<Report> {
    let start = Instant::now();
    let schedule = Arc::new(Schedule {
        start,
        interval: Duration::from_secs(1) / options.rate_per_s,
        requests: options.requests,
        end: start + options.duration + options.timeout,
        next: AtomicU64::new(0),
    });
    let mut senders = JoinSet::new();
    for number in 0..options.concurrency {
        let address = options.addresses[number % options.addresses.len()];
        let sender = Sender::new(address, options.request.clone(), options.timeout);
        senders.spawn(send_due(sender, schedule.clone()));
    }
    let mut total = RunStats::default();
    while let Some(stats) = senders.join_next().await {
        total.merge(&stats.map_err(std::io::Error::other)?);
    }
    Ok(Report::new(&total, options.requests, start.elapsed()))
}

/// Sends scheduled requests one at a time on one connection and returns their statistics.
async fn send_due(mut sender: Sender, schedule: Arc<Schedule>) -> RunStats {
    let mut stats = RunStats::default();
    while let Some(due) = schedule.next_due().await {
        let outcome = sender.send().await;
        stats.record(outcome, due.elapsed());
    }
    sender.close();
    stats
}
