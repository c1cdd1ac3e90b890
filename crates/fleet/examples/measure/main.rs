//! Measures the fleet's decisions in accelerated time; prints one JSON line for each measurement.
//!
//! `cargo run --release -p cassiafold-fleet --example measure -- [domains] [deployments] [rounds]`

mod deployment;
mod domains;
mod naive;
mod rounds;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let wanted = |name: &str| arguments.is_empty() || arguments.iter().any(|it| it == name);
    if wanted("domains") {
        domains::measure();
    }
    if wanted("rounds") {
        rounds::measure();
    }
    if wanted("deployments") {
        deployment::measure();
    }
}
