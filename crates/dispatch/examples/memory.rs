//! Prints the resident memory of this process by number of waiting requests, first with one
//! connection each, then without connections. The callers are plain sockets in the same process.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;

use cassiafold_dispatch::{AcceptedRequest, Sources};
use cassiafold_standin::{BackendOptions, Fault};
use support::{Fleet, KEY, OTHER_KEY, config};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

const CONNECTIONS_PER_STEP: usize = 1_000;
const STEPS: usize = 5;
const QUEUED_PER_STEP: usize = 10_000;
const PAGE_BYTES: u64 = 4_096;

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

async fn queue_one(fleet: &Fleet) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(fleet.server.address()).await?;
    let request = format!(
        "POST /queues/portal/work HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         x-deadline-ms: 600000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

fn waiting(fleet: &Fleet) -> usize {
    let usage = fleet.server.caller_api().dispatcher().usage();
    usage.teams.iter().map(|team| team.waiting as usize).sum()
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let document = config(1, |document| {
        document["services"]["portal"]["queue_length_max"] = (QUEUED_PER_STEP * STEPS * 2).into();
        document["services"]["portal"]["slots_per_instance"] = 1.into();
    });
    let options = BackendOptions::default();
    options.faults.set(Some(Fault::Silence));
    let fleet = Fleet::start_with(&[options], <Sources>::default(), document).await;
    let mut callers = vec![queue_one(&fleet).await?];
    println!("Requests with a connection each:");
    println!("| waiting | resident, KiB | bytes for each since the row before |");
    println!("|---|---|---|");
    let mut before = None;
    for step in 0..=STEPS {
        while callers.len() <= step * CONNECTIONS_PER_STEP {
            callers.push(queue_one(&fleet).await?);
        }
        while waiting(&fleet) < step * CONNECTIONS_PER_STEP {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let now = resident_bytes();
        let each =
            before.map_or(0, |before| now.saturating_sub(before) / CONNECTIONS_PER_STEP as u64);
        println!("| {} | {} | {each} |", waiting(&fleet), now / 1_024);
        before = Some(now);
    }
    print_queued(&fleet).await;
    Ok(())
}

/// Prints the memory of waiting requests without connections.
async fn print_queued(fleet: &Fleet) {
    println!("Places in the queue only:");
    println!("| places | resident, KiB | bytes for each since the row before |");
    println!("|---|---|---|");
    let taken = waiting(fleet);
    let mut before = resident_bytes();
    for step in 1..=STEPS {
        for _ in 0..QUEUED_PER_STEP {
            let (dispatcher, request) =
                (fleet.server.caller_api().dispatcher().clone(), request(step));
            tokio::spawn(async move { drop(dispatcher.acquire(&request).await) });
        }
        while waiting(fleet) < taken + step * QUEUED_PER_STEP {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let now = resident_bytes();
        let each = now.saturating_sub(before) / QUEUED_PER_STEP as u64;
        println!("| {} | {} | {each} |", step * QUEUED_PER_STEP, now / 1_024);
        before = now;
    }
}

fn request(step: usize) -> Arc<AcceptedRequest> {
    Arc::new(AcceptedRequest {
        id: format!("place-{step}").into(),
        service: "portal".into(),
        team: "families".into(),
        key: Some(OTHER_KEY.into()),
        checked_version: 0,
        idempotent: false,
        deadline: Instant::now() + Duration::from_secs(600),
    })
}
