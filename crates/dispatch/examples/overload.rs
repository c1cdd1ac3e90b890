//! Sends five times as many requests as the backend servers can run, for five seconds, then prints
//! goodput, refusals and the number of responses that disagree with the number of runs.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_dispatch::Sources;
use cassiafold_standin::BackendOptions;
use http::Method;
use support::{Fleet, OTHER_KEY, config};
use tokio::time::{Instant, MissedTickBehavior, interval};

const BACKENDS: usize = 4;
const SLOTS: u32 = 8;
const RUN_TIME: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 1_000;
const DURATION: Duration = Duration::from_secs(5);
const OVERLOAD: u32 = 5;

/// Result of one call.
struct CallOutcome {
    id: String,
    summary: String,
    not_run: bool,
    whole: bool,
    took: Duration,
}

async fn offer(fleet: &Fleet) -> Vec<CallOutcome> {
    let capacity_per_s = BACKENDS as u32 * SLOTS * 1_000 / RUN_TIME.as_millis() as u32;
    let mut pace = interval(Duration::from_secs(1) / (capacity_per_s * OVERLOAD));
    pace.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let begin = Instant::now();
    let mut calls = Vec::new();
    while begin.elapsed() < DURATION {
        pace.tick().await;
        let id = format!("r{}", calls.len());
        let call = fleet.call(Method::POST, "/a", &id).deadline_ms(DEADLINE_MS);
        let call = if calls.len() % 4 == 0 { call.key(OTHER_KEY) } else { call };
        calls.push(tokio::spawn(async move {
            let sent = Instant::now();
            let response = call.send().await;
            let summary = response.summary();
            let (not_run, whole) = (response.run_state() == "not run", summary == "200, whole");
            CallOutcome { id, summary, not_run, whole, took: sent.elapsed() }
        }));
    }
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.expect("the call ends"));
    }
    outcomes
}

#[tokio::main]
async fn main() {
    let options = BackendOptions { slots: SLOTS, run_time: RUN_TIME, ..BackendOptions::default() };
    let document = config(1, |document| {
        document["services"]["portal"]["queue_length_max"] = 2_000.into();
        document["teams"]["parishes"]["upper_limit"] = 1_000.into();
    });
    let fleet = Fleet::start_with(&vec![options; BACKENDS], <Sources>::default(), document).await;
    let begin = Instant::now();
    let outcomes = offer(&fleet).await;
    let length_s = begin.elapsed().as_secs_f64();
    let capacity = f64::from(SLOTS) * BACKENDS as f64 / RUN_TIME.as_secs_f64() * length_s;
    let whole = outcomes.iter().filter(|outcome| outcome.whole).count();
    let inconsistent = outcomes.iter().filter(|outcome| {
        let runs = fleet.counts.runs(&outcome.id);
        (outcome.not_run && runs > 0) || (outcome.whole && runs != 1) || runs > 1
    });
    let mut kinds = BTreeMap::<&str, (usize, Duration)>::new();
    for outcome in &outcomes {
        let kind = kinds.entry(&outcome.summary).or_default();
        kind.0 += 1;
        kind.1 = kind.1.max(outcome.took);
    }
    println!("offered {} in {length_s:.2} s, capacity {capacity:.0}", outcomes.len());
    println!("goodput {whole}, {:.1} % of capacity", 100.0 * whole as f64 / capacity);
    println!("untrue answers {}", inconsistent.count());
    let running_max = fleet.backends.iter().map(|backend| backend.running_max()).max();
    println!("most runs at once at one backend server {}", running_max.unwrap_or(0));
    println!("| caller was told | requests | longest, ms |");
    println!("|---|---|---|");
    for (summary, (count, longest)) in kinds {
        println!("| {summary} | {count} | {} |", longest.as_millis());
    }
}
