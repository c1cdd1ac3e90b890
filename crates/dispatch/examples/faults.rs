//! Prints the number of runs and the response to the caller for each fault of a backend server, as
//! a Markdown table, or as JSON with `--json`.

#[path = "../tests/support/mod.rs"]
mod support;

use http::Method;
use support::faults::{CASES, Case, Outcome, run};

struct Row {
    case: &'static Case,
    post: Outcome,
    get: Outcome,
}

#[tokio::main]
async fn main() {
    let json = std::env::args().any(|argument| argument == "--json");
    let mut rows = Vec::new();
    for case in CASES {
        let (post, get) = tokio::join!(run(case, Method::POST), run(case, Method::GET));
        rows.push(Row { case, post, get });
    }
    if json { print_json(&rows) } else { print_markdown(&rows) }
}

fn print_markdown(rows: &[Row]) {
    println!(
        "| fault | POST: runs | POST: caller was told | true | GET: runs | GET: caller was told | true |"
    );
    println!("|---|---|---|---|---|---|---|");
    for Row { case, post, get } in rows {
        println!(
            "| {} | {} | {} | {} | {} | {} | {} |",
            case.name,
            post.runs,
            post.response,
            post.is_consistent,
            get.runs,
            get.response,
            get.is_consistent
        );
    }
}

fn print_json(rows: &[Row]) {
    let outcome = |outcome: &Outcome| {
        serde_json::json!({
            "runs": outcome.runs, "told": outcome.response, "true": outcome.is_consistent
        })
    };
    let rows: Vec<_> = rows
        .iter()
        .map(|row| {
            serde_json::json!({
                "fault": row.case.name, "post": outcome(&row.post), "get": outcome(&row.get)
            })
        })
        .collect();
    println!("{}", serde_json::Value::from(rows));
}
