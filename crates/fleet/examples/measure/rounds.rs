//! CPU time and memory of one planning round by number of instances.

use std::time::{Duration, Instant};

use cassiafold_fleet::demand::Trends;
use cassiafold_fleet::{
    Budgets, CompletedRequests, Demand, FleetDocument, LearnedDomains, Observations, Plan, Policy,
    View, plan,
};

use crate::world::{Layout, start};

const ROUNDS: u32 = 200;

const SIZES: [Layout; 4] = [
    Layout { name: "50", zones: 3, services: 5, per_service: 9, spare: 5, floor_share: 0.6 },
    Layout { name: "100", zones: 4, services: 5, per_service: 19, spare: 5, floor_share: 0.6 },
    Layout { name: "400", zones: 4, services: 20, per_service: 19, spare: 20, floor_share: 0.6 },
    Layout { name: "870", zones: 8, services: 43, per_service: 20, spare: 10, floor_share: 0.6 },
];

pub fn measure() {
    let mut points = Vec::new();
    for layout in SIZES {
        let (busy, memory_bytes) = measure_size(&layout);
        points.push((layout.listed().len() as f64, busy.as_secs_f64() * 1e6, memory_bytes as f64));
    }
    let time = slope(points.iter().map(|point| (point.0, point.1)));
    let memory = slope(points.iter().map(|point| (point.0, point.2)));
    let line = serde_json::json!({
        "measure": "slope of a planning round", "us_per_instance": time,
        "bytes_per_instance": memory,
    });
    println!("{line}");
}

fn measure_size(layout: &Layout) -> (Duration, usize) {
    let (config, listed) = (layout.config(), layout.listed());
    let (observations, domains) = (Observations::default(), LearnedDomains::default());
    let (trends, completed, policy) =
        (Trends::default(), CompletedRequests::default(), Policy::default());
    let empty = FleetDocument::default();
    let view = View {
        now: start(),
        config: &config,
        document: &empty,
        listed: &listed,
        observations: &observations,
        domains: &domains,
        trends: &trends,
        completed: &completed,
    };
    let document = plan(&view, &policy).next;
    let view = View { document: &document, now: start() + Duration::from_secs(1), ..view };
    let round = time(&view, &policy);
    measure_peak(&view, layout);
    let before = resident_bytes();
    let retained: Vec<(Plan, Budgets)> = (0..ROUNDS)
        .map(|_| {
            let round = plan(&view, &policy);
            let index = cassiafold_fleet::domain::DomainIndex::new(&listed, &domains);
            let budgets = Budgets::new(&view, &round.next, index);
            (round, budgets)
        })
        .collect();
    let memory_bytes = resident_bytes().saturating_sub(before) / retained.len();
    let line = serde_json::json!({
        "measure": "planning round", "instances": listed.len(), "rounds": ROUNDS,
        "round_us": round.as_secs_f64() * 1e6, "round_held_bytes": memory_bytes,
        "share_of_core_at_one_a_second": round.as_secs_f64(),
    });
    println!("{line}");
    (round, memory_bytes)
}

/// Measures a round in which a fifth of the services needs more instances than its pool has and the
/// spare pool is exhausted.
fn measure_peak(view: &View<'_>, layout: &Layout) {
    let mut observations = Observations { confirmed: u64::MAX, ..Observations::default() };
    for service in view.config.services.keys().step_by(5) {
        let waiting = layout.per_service as u32 * 8 * 13 / 10;
        observations.demand.insert(service.clone(), Demand { running: 0, waiting });
    }
    let policy = Policy { reassign_after: Duration::ZERO, ..Policy::default() };
    let mut document = view.document.clone();
    for second in 0..30 {
        let now = start() + Duration::from_secs(second);
        let busy = View { document: &document, observations: &observations, now, ..*view };
        document = plan(&busy, &policy).next;
    }
    let busy = View { document: &document, observations: &observations, ..*view };
    let round = time(&busy, &policy);
    let line = serde_json::json!({
        "measure": "planning round at a peak", "instances": view.listed.len(), "rounds": ROUNDS,
        "round_us": round.as_secs_f64() * 1e6,
    });
    println!("{line}");
}

fn time(view: &View<'_>, policy: &Policy) -> Duration {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(plan(std::hint::black_box(view), policy));
    }
    start.elapsed() / ROUNDS
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Slope of the least-squares regression line.
fn slope(points: impl Iterator<Item = (f64, f64)>) -> f64 {
    let points: Vec<(f64, f64)> = points.collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    covariance / points.iter().map(|point| (point.0 - mean_x).powi(2)).sum::<f64>()
}
