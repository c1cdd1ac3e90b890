//! Static HTML report of pools, budgets, waves, moves and suspected failure domains over time.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

use crate::domain::LearnedDomains;
use crate::history::History;
use crate::raw::unix_s;
use crate::report::chart::{Chart, ChartError, Line};
use crate::timeline::{Sample, Timeline};

mod chart;

/// Maximum number of decisions in the table.
const DECISIONS_MAX: usize = 100;

/// Renders the report as an HTML page.
pub fn report(
    timeline: &Timeline,
    domains: &LearnedDomains,
    history: &History,
) -> Result<String, ChartError> {
    let mut page = String::from(PAGE_HEAD);
    for chart in charts(timeline) {
        let title = escape(chart.title);
        let _ = write!(page, "<section><h2>{title}</h2>{}</section>", chart.svg()?);
    }
    write_domains(&mut page, domains);
    write_decisions(&mut page, history);
    page.push_str("</body></html>\n");
    Ok(page)
}

const PAGE_HEAD: &str = "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>cassiafold fleet</title><style>body{font-family:sans-serif;margin:2em}\
table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:2px 8px;text-align:left}\
</style></head><body><h1>Fleet</h1>\n";

fn charts(timeline: &Timeline) -> Vec<Chart> {
    let margin = |sample: &Sample| {
        let services = sample.services.iter();
        let margins = services.map(|(id, service)| {
            (id.clone(), f64::from(service.available) - f64::from(service.floor))
        });
        margins.collect()
    };
    vec![
        Chart::new("Budgets: lowest margin above the floor", lines(timeline, margin)),
        Chart::new("Pools: instances", lines(timeline, |sample| counts(&sample.pools))),
        Chart::new("Waves: instances maintained", lines(timeline, |sample| counts(&sample.waves))),
        Chart::new("Moves, maintenance and failures", lines(timeline, activity)),
        Chart::new(
            "Suspected failure domains: members",
            lines(timeline, |sample| counts(&sample.suspected)),
        ),
    ]
}

fn counts(from: &BTreeMap<Arc<str>, u32>) -> BTreeMap<Arc<str>, f64> {
    from.iter().map(|(id, count)| (id.clone(), f64::from(*count))).collect()
}

fn activity(sample: &Sample) -> BTreeMap<Arc<str>, f64> {
    let counts =
        [("moves", sample.moves), ("maintenance", sample.maintaining), ("failing", sample.failing)];
    counts.map(|(name, count)| (name.into(), f64::from(count))).into()
}

/// One line for each id; x is the time relative to the last sample, in hours (zero or negative).
fn lines(timeline: &Timeline, values: impl Fn(&Sample) -> BTreeMap<Arc<str>, f64>) -> Vec<Line> {
    let last_s = timeline.samples.back().map_or(0, |sample| sample.at_unix_s);
    let mut lines: BTreeMap<Arc<str>, Vec<(f64, f64)>> = BTreeMap::new();
    for sample in &timeline.samples {
        let hours = -(last_s.saturating_sub(sample.at_unix_s) as f64) / 3_600.0;
        for (id, value) in values(sample) {
            lines.entry(id).or_default().push((hours, value));
        }
    }
    lines.into_iter().map(|(name, points)| Line { name, points }).collect()
}

fn write_domains(page: &mut String, domains: &LearnedDomains) {
    page.push_str("<section><h2>Suspected failure domains</h2><table><tr><th>domain</th>");
    page.push_str("<th>zone</th><th>shared failures</th><th>nats</th><th>instances</th></tr>");
    for group in domains.suspected() {
        let members: Vec<&str> = group.members.keys().map(|id| &**id).collect();
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.1}</td><td>{}</td></tr>",
            group.domain_id(),
            escape(&group.zone),
            group.bursts,
            group.score_nats,
            escape(&members.join(", ")),
        );
    }
    page.push_str("</table></section>");
}

fn write_decisions(page: &mut String, history: &History) {
    page.push_str("<section><h2>Last decisions</h2><table><tr><th>Unix time in s</th>");
    page.push_str("<th>event</th><th>instance</th><th>pool</th><th>wave</th><th>inputs</th></tr>");
    for decision in history.last(DECISIONS_MAX, |_| true) {
        let row = decision.event.row();
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{} {}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            unix_s(decision.at),
            row.number,
            escape(row.message),
            escape(decision.instance.as_deref().unwrap_or("-")),
            escape(decision.pool.as_deref().unwrap_or("-")),
            escape(decision.wave.as_deref().unwrap_or("-")),
            escape(&decision.inputs.to_string()),
        );
    }
    page.push_str("</table></section>");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

#[cfg(test)]
mod tests;
