//! Measures the time from the first call of an operator until a configuration version is in force
//! at every entry instance: a read, a write and the propagation. Prints one JSON line for each
//! case.
//!
//! `cargo run --release -p cassiafold-membership --example spread [-- CASE]`

mod fleet;

use std::time::Duration;

use cassiafold_config::raw::CURRENT_KEY;
use cassiafold_platform::{Compare, Store, Write, WriteOutcome};
use cassiafold_standin::MemoryStore;
use cassiafold_standin::faults::Partition;
use serde_json::json;
use tokio::time::{Instant, sleep};

use self::fleet::{Entry, Error};

const ENTRIES: usize = 8;
const ZONES: usize = 4;
const TEAMS: usize = 200;
const UPPER_LIMIT: u32 = 64;
const PATCHES: u64 = 200;
/// Number of versions while no watch delivers changes; each takes until an entry instance rereads.
const SILENT_PATCHES: u64 = 20;
/// Delay of each call to the slow store.
const STORE_DELAY: Duration = Duration::from_millis(400);
/// Longest wait until one version is in force.
const IN_FORCE_MAX: Duration = Duration::from_secs(30);

/// Fault during the propagation of versions.
#[derive(Debug, Clone, Copy)]
enum Case {
    Clean,
    StoreSlow,
    OneCutOff,
    WatchesSilent,
}

fn main() -> Result<(), Error> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let only = std::env::args().nth(1);
    let cases = [Case::Clean, Case::StoreSlow, Case::OneCutOff, Case::WatchesSilent];
    let wanted = |case: &Case| only.as_ref().is_none_or(|name| *name == format!("{case:?}"));
    for case in cases.into_iter().filter(wanted) {
        let mut times = runtime.block_on(measure(case))?;
        times.sort();
        let ms = |time: Duration| (time.as_secs_f64() * 1e4).round() / 10.0;
        let line = json!({
            "case": format!("{case:?}"), "entries": ENTRIES, "versions": times.len(),
            "median_ms": ms(times[times.len() / 2]),
            "p99_ms": ms(times[(times.len() * 99).div_ceil(100) - 1]),
            "worst_ms": ms(times[times.len() - 1]),
        });
        println!("{line}");
    }
    Ok(())
}

async fn measure(case: Case) -> Result<Vec<Duration>, Error> {
    let store = MemoryStore::default();
    let operator = store.client("operator");
    write(&operator, 1).await?;
    let entries = fleet::start(&store, ENTRIES, ZONES).await?;
    wait(&entries, 1).await?;
    match case {
        Case::Clean => {}
        Case::StoreSlow => store.faults().set_delay(STORE_DELAY),
        Case::OneCutOff => store.faults().cut_off("entry-0", Partition::Requests),
        Case::WatchesSilent => store.faults().set_silent_watches(true),
    }
    let patches = if matches!(case, Case::WatchesSilent) { SILENT_PATCHES } else { PATCHES };
    let mut times = Vec::new();
    for version in 2..patches + 2 {
        let sent = Instant::now();
        write(&operator, version).await?;
        wait(&entries, version).await?;
        times.push(sent.elapsed());
    }
    store.faults().clear();
    fleet::close(entries).await;
    Ok(times)
}

async fn write(store: &MemoryStore, version: u64) -> Result<(), Error> {
    let document = fleet::document(version, TEAMS, UPPER_LIMIT)?;
    let stored = store.get(CURRENT_KEY).await?;
    let compare = stored.map_or(Compare::Absent, |record| Compare::Revision(record.revision));
    match store.write(Write::put(CURRENT_KEY, compare, document)).await? {
        WriteOutcome::Written(_) => Ok(()),
        WriteOutcome::Conflict => Err("conflict".into()),
    }
}

async fn wait(entries: &[Entry], version: u64) -> Result<(), Error> {
    let end = Instant::now() + IN_FORCE_MAX;
    while entries.iter().any(|entry| entry.config.version() < version) {
        if Instant::now() > end {
            return Err(format!("version {version} is not in force everywhere").into());
        }
        sleep(Duration::from_millis(1)).await;
    }
    Ok(())
}
