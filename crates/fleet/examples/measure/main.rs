//! Measures the planner in simulated time; prints one JSON line for each measurement.
//!
//! `cargo run --release -p cassiafold-fleet --example measure -- [domains] [rounds] [deployments]`
//!
//! To run the deployments of one planner only, pass `learned`, `racks` or `naive`.

mod deployment;
mod domains;
mod naive;
mod rounds;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let selected = |name: &str| arguments.is_empty() || arguments.iter().any(|it| it == name);
    if selected("domains") {
        domains::measure();
    }
    if selected("rounds") {
        rounds::measure();
    }
    let planners: Vec<&str> = ["learned", "racks", "naive"]
        .into_iter()
        .filter(|planner| arguments.iter().any(|argument| argument == planner))
        .collect();
    if selected("deployments") || !planners.is_empty() {
        deployment::measure(&planners);
    }
}
