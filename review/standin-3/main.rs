//! Cases of the third review: each starts a small deployment, plays what its claim says, and tells
//! by its exit code whether the rule was broken (1), held (0), or the case couldn't run (2).

mod cases;
mod cluster;
mod http;
mod json;
mod minion;
mod record;
mod store;

use std::process::exit;
use std::time::Duration;

/// Longest time of a case.
const TIME_MAX: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = record::Record::create(path) else {
        eprintln!("cannot write {path}");
        exit(2);
    };
    cluster::limit_time(TIME_MAX);
    let outcome = cases::play(case, record, has_trouble);
    println!("{outcome:?}");
    exit(match outcome {
        cases::Outcome::Held => 0,
        cases::Outcome::Broken => 1,
        cases::Outcome::NotRun => 2,
    });
}
