//! Fits linear regressions to the measurements in `docs/measurements.jsonl` and prints a Markdown
//! table of slope, intercept and largest residual.
//!
//! `cargo run --release -p cassiafold --example fit [FILE]`

use std::collections::BTreeMap;

use serde_json::Value;

/// A regression of field `y` over field `x`, for the results whose fields equal `matches`.
struct Series {
    name: &'static str,
    command: &'static str,
    matches: &'static [(&'static str, f64)],
    x: &'static str,
    y: &'static str,
}

const fn series(
    name: &'static str,
    command: &'static str,
    matches: &'static [(&'static str, f64)],
    x: &'static str,
    y: &'static str,
) -> Series {
    Series { name, command, matches, x, y }
}

const DAEMON: &str = "cassiafold daemon";
const SLOPES: &str = "cassiafold-membership slopes";
const TEAMS: &[(&str, f64)] = &[("teams", 200.0)];
const INSTANCES: &[(&str, f64)] = &[("instances", 870.0)];
const ENTRIES: &[(&str, f64)] = &[("teams", 200.0), ("instances", 870.0), ("churn", 0.25)];
const BY_TEAM: &[(&str, f64)] = &[("entries", 8.0), ("instances", 870.0), ("churn", 0.25)];
const BY_INSTANCE: &[(&str, f64)] = &[("entries", 8.0), ("teams", 200.0), ("churn", 0.25)];

const ALL: &[Series] = &[
    series("daemon, share of a core", DAEMON, TEAMS, "instances", "core_share.mean"),
    series("daemon, share of a core", DAEMON, INSTANCES, "teams", "core_share.mean"),
    series("daemon, resident bytes", DAEMON, TEAMS, "instances", "resident_bytes.mean"),
    series("daemon, resident bytes", DAEMON, INSTANCES, "teams", "resident_bytes.mean"),
    series("daemon, store calls/s", DAEMON, TEAMS, "instances", "store_calls_per_s.mean"),
    series("daemon, store calls/s", DAEMON, INSTANCES, "teams", "store_calls_per_s.mean"),
    series("peers, sent bytes/s", SLOPES, ENTRIES, "entries", "sent_bytes_per_s.mean"),
    series("peers, sent bytes/s", SLOPES, BY_TEAM, "teams", "sent_bytes_per_s.mean"),
    series("peers, sent bytes/s", SLOPES, BY_INSTANCE, "instances", "sent_bytes_per_s.mean"),
    series("store, bytes/s", SLOPES, ENTRIES, "entries", "store_bytes_per_s.mean"),
    series("store, bytes/s", SLOPES, BY_TEAM, "teams", "store_bytes_per_s.mean"),
    series("store, bytes/s", SLOPES, BY_INSTANCE, "instances", "store_bytes_per_s.mean"),
    series("shared state, share of a core", SLOPES, ENTRIES, "entries", "processor_share"),
    series("shared state, share of a core", SLOPES, BY_TEAM, "teams", "processor_share"),
    series("ledger, bytes", SLOPES, ENTRIES, "entries", "ledger_bytes"),
    series("ledger, bytes", SLOPES, BY_TEAM, "teams", "ledger_bytes"),
    series(
        "tasks, store calls/s",
        "cassiafold-tasks rate",
        &[],
        "tasks_per_s",
        "store_calls_per_s",
    ),
];

fn field_at<'a>(value: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(value, |value, field| value.get(field))
}

fn points(lines: &[Value], series: &Series) -> BTreeMap<u64, f64> {
    let mut points = BTreeMap::new();
    for line in lines.iter().filter(|line| line["command"] == series.command) {
        let result = &line["result"];
        let is_match = series.matches.iter().all(|(field, wanted)| {
            field_at(result, field).is_some_and(|value| value.as_f64() == Some(*wanted))
        });
        let pair = (field_at(result, series.x), field_at(result, series.y));
        if let (true, (Some(x), Some(y))) = (is_match, pair)
            && let (Some(x), Some(y)) = (x.as_u64(), y.as_f64())
        {
            points.entry(x).or_insert(y);
        }
    }
    points
}

/// Returns the slope and intercept of the least-squares line.
fn fit(points: &BTreeMap<u64, f64>) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.keys().map(|x| *x as f64).sum::<f64>() / count;
    let mean_y = points.values().sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (*x as f64 - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.keys().map(|x| (*x as f64 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let file = std::env::args().nth(1).unwrap_or_else(|| "docs/measurements.jsonl".to_owned());
    let text = std::fs::read_to_string(file)?;
    let lines: Vec<Value> =
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    println!(
        "| measure | over | sizes | slope | at zero | largest residual | share of the largest |"
    );
    println!("|---|---|---|---|---|---|---|");
    for series in ALL {
        let points = points(&lines, series);
        if points.len() < 2 {
            continue;
        }
        let (slope, zero) = fit(&points);
        let distance = |(x, y): (&u64, &f64)| (y - zero - slope * *x as f64).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        let largest = points.values().copied().fold(f64::MIN, f64::max);
        let sizes: Vec<String> = points.keys().map(u64::to_string).collect();
        println!(
            "| {} | {} | {} | {slope:.3e} | {zero:.3e} | {residual:.3e} | {:.0} % |",
            series.name,
            series.x,
            sizes.join(", "),
            100.0 * residual / largest,
        );
    }
    Ok(())
}
