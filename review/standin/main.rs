//! Stand-ins of the users' platform, and the cases of the review that are scripts.
//!
//! `standin CASE RECORD` plays a case against the processes of the deploy file. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.

mod advice;
mod cloud;
mod http;
mod json;
mod minion;
mod store;
mod system;

mod burst_for_advice;
mod ends;
mod held_up_orders;
mod log_reader;
mod odd_entry;
mod paused_task;
mod removed_queue;
mod withdrawn_key;

use std::process::exit;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "log-reader" => log_reader::play(is_troubled, record),
        "burst-for-advice" => burst_for_advice::play(is_troubled, record),
        "odd-entry" => odd_entry::play(is_troubled, record),
        "held-up-orders" => held_up_orders::play(is_troubled, record),
        "paused-task" => paused_task::play(is_troubled, record),
        "ends" => ends::play(is_troubled, record),
        "withdrawn-key" => withdrawn_key::play(is_troubled, record),
        "removed-queue" => removed_queue::play(is_troubled, record),
        _ => Verdict::CouldNotRun,
    };
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    });
}
