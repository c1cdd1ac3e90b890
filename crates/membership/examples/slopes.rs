//! Measures the cost of shared state for one entry instance as the numbers of entry instances,
//! teams and backend servers vary. Prints one JSON line for each size, for `docs/CAPACITY.md`.
//!
//! `cargo run --release -p cassiafold-membership --example slopes`

mod fleet;

use std::time::Duration;

use cassiafold_config::raw::CURRENT_KEY;
use cassiafold_membership::{QueueId, TeamUsage};
use cassiafold_platform::{Compare, Store, Write};
use cassiafold_standin::MemoryStore;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use self::fleet::{Entry, Error};

const WARM_UP: Duration = Duration::from_secs(6);
const MEASURE: Duration = Duration::from_secs(8);
const UPPER_LIMIT: u32 = 64;
const SEED: u64 = 1;
/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: u64 = 4_096;

/// Size of one run.
#[derive(Debug, Clone, Copy)]
struct Size {
    varied: &'static str,
    entries: usize,
    zones: usize,
    teams: usize,
    instances: usize,
    /// Fraction of the counts that change in each second.
    churn: f64,
}

/// Fleet size that the requirements state; each other size varies one dimension of it.
const BASE_SIZE: Size =
    Size { varied: "base", entries: 8, zones: 4, teams: 200, instances: 870, churn: 0.25 };

fn sizes() -> Vec<Size> {
    let mut sizes = vec![BASE_SIZE];
    let entries = [4, 16, 24].map(|entries| Size { varied: "entries", entries, ..BASE_SIZE });
    let teams = [50, 100, 400].map(|teams| Size { varied: "teams", teams, ..BASE_SIZE });
    let instances =
        [100, 200, 400].map(|count| Size { varied: "instances", instances: count, ..BASE_SIZE });
    let churn = [0.0, 1.0].map(|churn| Size { varied: "churn", churn, ..BASE_SIZE });
    sizes.extend(entries);
    sizes.extend(teams);
    sizes.extend(instances);
    sizes.extend(churn);
    sizes
}

fn main() -> Result<(), Error> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let only = std::env::args().nth(1);
    for size in sizes().into_iter().filter(|size| only.as_ref().is_none_or(|v| v == size.varied)) {
        println!("{}", runtime.block_on(measure(size))?);
    }
    Ok(())
}

async fn measure(size: Size) -> Result<Value, Error> {
    let store = MemoryStore::default();
    let document = fleet::document(1, size.teams, UPPER_LIMIT)?;
    store.write(Write::put(CURRENT_KEY, Compare::Absent, document)).await?;
    let resident_before = resident_bytes()?;
    let entries = fleet::start(&store, size.entries, size.zones).await?;
    let mut load = Load::new(size);
    load.fill(&entries);
    load.run(&entries, WARM_UP).await;
    let (before, cpu_before) = (Counts::of(&entries), processor_s()?);
    let calls_before = calls(&store, &entries);
    load.run(&entries, MEASURE).await;
    let (after, cpu_after) = (Counts::of(&entries), processor_s()?);
    let calls_after = calls(&store, &entries);
    let resident = resident_bytes()?.saturating_sub(resident_before);
    let ledger = store.get(cassiafold_membership::escrow::LEDGER_KEY).await?;
    let ledger_bytes = ledger.map_or(0, |record| record.value.len());
    fleet::close(entries).await;
    let seconds = MEASURE.as_secs_f64();
    let count = size.entries as f64;
    let rates = before.rates(&after, seconds);
    let calls = calls_before.iter().zip(&calls_after);
    let calls: Vec<f64> = calls.map(|(before, after)| (after - before) as f64 / seconds).collect();
    Ok(json!({
        "varied": size.varied, "entries": size.entries, "zones": size.zones,
        "teams": size.teams, "instances": size.instances, "churn": size.churn,
        "sent_bytes_per_s": mean_and_max(&rates.sent),
        "received_bytes_per_s": mean_and_max(&rates.received),
        "store_bytes_per_s": mean_and_max(&rates.store),
        "store_calls_per_s": mean_and_max(&calls),
        "processor_share": round((cpu_after - cpu_before) / seconds / count, 5),
        "resident_bytes_per_entry": resident / size.entries as u64,
        "ledger_bytes": ledger_bytes,
    }))
}

fn mean_and_max(values: &[f64]) -> Value {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let max = values.iter().copied().fold(0.0, f64::max);
    json!({"mean": round(mean, 1), "max": round(max, 1)})
}

fn round(value: f64, digits: i32) -> f64 {
    let scale = 10_f64.powi(digits);
    (value * scale).round() / scale
}

/// Bytes of each entry instance since its start.
struct Counts {
    sent: Vec<u64>,
    received: Vec<u64>,
    store: Vec<u64>,
}

struct Rates {
    sent: Vec<f64>,
    received: Vec<f64>,
    store: Vec<f64>,
}

impl Counts {
    fn of(entries: &[Entry]) -> Self {
        let traffic = entries.iter().map(|entry| entry.membership.traffic());
        let (sent, received) =
            traffic.map(|traffic| (traffic.sent_bytes(), traffic.received_bytes())).unzip();
        let store = entries.iter().map(|entry| entry.store_bytes.get()).collect();
        Self { sent, received, store }
    }

    fn rates(&self, later: &Self, seconds: f64) -> Rates {
        let rate = |before: &[u64], after: &[u64]| {
            before.iter().zip(after).map(|(b, a)| (a - b) as f64 / seconds).collect()
        };
        Rates {
            sent: rate(&self.sent, &later.sent),
            received: rate(&self.received, &later.received),
            store: rate(&self.store, &later.store),
        }
    }
}

fn calls(store: &MemoryStore, entries: &[Entry]) -> Vec<u64> {
    entries.iter().map(|entry| store.faults().counts(&entry.id).total()).collect()
}

/// Generates changing usage at every entry instance.
struct Load {
    size: Size,
    random: SmallRng,
}

impl Load {
    fn new(size: Size) -> Self {
        Self { size, random: SmallRng::seed_from_u64(SEED) }
    }

    /// Gives each entry instance requests of every team and on every backend server of its zone.
    fn fill(&mut self, entries: &[Entry]) {
        for entry in entries {
            for team in 0..self.size.teams {
                self.set_queue(entry, team);
            }
            for instance in (entry.zone..self.size.instances).step_by(self.size.zones) {
                self.set_instance(entry, instance);
            }
        }
    }

    async fn run(&mut self, entries: &[Entry], time: Duration) {
        let end = Instant::now() + time;
        let mut ticks = interval(Duration::from_secs(1));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while Instant::now() + Duration::from_secs(1) <= end {
            ticks.tick().await;
            entries.iter().for_each(|entry| self.churn(entry));
        }
        sleep(end.saturating_duration_since(Instant::now())).await;
    }

    fn churn(&mut self, entry: &Entry) {
        for team in 0..self.size.teams {
            if self.random.random_bool(self.size.churn) {
                self.set_queue(entry, team);
            }
        }
        for instance in (entry.zone..self.size.instances).step_by(self.size.zones) {
            if self.random.random_bool(self.size.churn) {
                self.set_instance(entry, instance);
            }
        }
    }

    fn set_queue(&mut self, entry: &Entry, team: usize) {
        let queue = QueueId { service: "portal".into(), team: fleet::team(team).into() };
        let running = self.random.random_range(0..8);
        let waiting = self.random.random_range(0..4);
        let usage = TeamUsage { running, waiting };
        entry.usage.change(|all| {
            all.queues.insert(queue, usage);
        });
    }

    fn set_instance(&mut self, entry: &Entry, instance: usize) {
        let running = self.random.random_range(1..8);
        entry.usage.change(|all| {
            all.instances.insert(format!("backend-{instance:03}").into(), running);
        });
    }
}

fn resident_bytes() -> Result<u64, Error> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).ok_or("statm")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

fn processor_s() -> Result<f64, Error> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = text.rsplit(')').next().ok_or("stat")?.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    Ok((ticks(11).ok_or("utime")? + ticks(12).ok_or("stime")?) / TICKS_PER_S)
}
