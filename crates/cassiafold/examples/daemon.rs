//! Measures idle entry processes: CPU time, resident memory and requests to the key-value service,
//! by number of instances and teams. Prints one line of JSON per size.
//!
//! `cargo build --release -p cassiafold && cargo run --release -p cassiafold --example daemon`;
//! an optional argument limits the number of sizes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use cassiafold_config::raw::CURRENT_KEY;
use cassiafold_config::{InstanceState, KeyHash};
use cassiafold_platform::{Compare, ListedInstance, Store, Write};
use cassiafold_standin::platform::FREE_PORT;
use cassiafold_standin::{Platform, PlatformAddresses};
use serde_json::{Value, json};

const ENTRY_COUNT: usize = 8;
const ZONE_COUNT: usize = 8;
const POOL_COUNT: usize = 44;
const WARM_UP: Duration = Duration::from_secs(15);
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
/// CPU clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
const PORT_FIRST: u16 = 30_000;

/// Numbers of instances and teams.
const SIZES: [(usize, usize); 7] =
    [(870, 200), (100, 200), (200, 200), (400, 200), (870, 50), (870, 100), (870, 400)];

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

struct Entry {
    child: Child,
    id: String,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONE_COUNT)
}

fn config(teams: usize) -> Value {
    let zones = (0..ZONE_COUNT).map(|index| {
        let region = if index < ZONE_COUNT / 2 { "east" } else { "west" };
        (zone(index), json!({ "region": region }))
    });
    let services =
        (1..POOL_COUNT).map(|index| (format!("s{index}"), json!({ "floor_share": 0.75 })));
    let pools = (1..POOL_COUNT)
        .map(|index| (format!("p{index}"), json!({ "service": format!("s{index}") })));
    let spare = std::iter::once(("spare".to_owned(), json!({})));
    let teams = (0..teams).map(|index| {
        let hash = KeyHash::of(&format!("key-{index}")).to_hex();
        let team = json!({ "share": 1 + index % 5, "upper_limit": 40, "key_hashes": [hash] });
        (format!("team-{index:03}"), team)
    });
    json!({
        "version": 1,
        "zones": zones.collect::<serde_json::Map<_, _>>(),
        "services": services.collect::<serde_json::Map<_, _>>(),
        "pools": pools.chain(spare).collect::<serde_json::Map<_, _>>(),
        "teams": teams.collect::<serde_json::Map<_, _>>(),
    })
}

fn list_instances(platform: &Platform, count: usize) {
    for index in 0..count {
        platform.instances.put(ListedInstance {
            id: format!("p{}-{index}", 1 + index % (POOL_COUNT - 1)).into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            zone: zone(index).into(),
            rack: format!("rack-{}", index / (4 * ZONE_COUNT)).into(),
            state: InstanceState::Live,
        });
    }
}

fn free_address(next_port: &mut u16) -> SocketAddr {
    loop {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, *next_port));
        *next_port -= 1;
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn start_entry(
    platform: PlatformAddresses,
    index: usize,
    directory: &Path,
    next_port: &mut u16,
) -> Result<Entry> {
    let id = format!("entry-{index}");
    let settings = json!({
        "instance_id": id,
        "zone": zone(index),
        "region": "east",
        "callers_address": free_address(next_port),
        "operators_address": free_address(next_port),
        "peers_address": free_address(next_port),
        "store_addresses": [platform.store],
        "instance_list_address": platform.instance_list,
        "instance_control_address": platform.instance_control,
        "operators_key_hash": KeyHash::of("credential").to_hex(),
    });
    let path = directory.join(format!("{id}.yaml"));
    std::fs::write(&path, settings.to_string())?;
    let mut program = std::env::current_exe()?;
    program.pop();
    program.pop();
    program.push("cassiafold");
    let child = Command::new(program)
        .args(["entry", "--settings"])
        .arg(&path)
        .env("RUST_LOG", "error")
        .stdout(Stdio::null())
        .spawn()?;
    Ok(Entry { child, id })
}

/// Returns the CPU time in seconds and the resident memory in bytes of a process.
fn usage(process: u32) -> Result<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let time_s = (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S;
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("VmRSS: 0");
    let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    Ok((time_s, kilobytes.unwrap_or(0) << 10))
}

async fn measure(instances: usize, teams: usize, directory: &Path) -> Result<()> {
    let addresses = PlatformAddresses {
        store: FREE_PORT,
        instance_list: FREE_PORT,
        instance_control: FREE_PORT,
    };
    let platform = Platform::start(addresses).await?;
    list_instances(&platform, instances);
    let write = Write::put(CURRENT_KEY, Compare::Absent, config(teams).to_string());
    platform.store.write(write).await?;
    let mut next_port = PORT_FIRST;
    let started: Result<Vec<Entry>> = (0..ENTRY_COUNT)
        .map(|index| start_entry(platform.addresses(), index, directory, &mut next_port))
        .collect();
    let entries = started?;
    tokio::time::sleep(WARM_UP).await;
    let calls = |id: &str| platform.store.faults().counts(id).total();
    let mut before = Vec::new();
    for entry in &entries {
        before.push((usage(entry.child.id())?, calls(&entry.id)));
    }
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let start_calls: Vec<f64> = before.iter().map(|(_, calls)| *calls as f64).collect();
    let (mut cores, mut memory, mut rates) = (Vec::new(), Vec::new(), Vec::new());
    for (entry, ((time_s, _), calls_before)) in entries.iter().zip(before) {
        let (now_s, resident_bytes) = usage(entry.child.id())?;
        cores.push((now_s - time_s) / seconds);
        memory.push(resident_bytes as f64);
        rates.push((calls(&entry.id) - calls_before) as f64 / seconds);
    }
    let line = json!({
        "measure": "daemon",
        "entries": ENTRY_COUNT,
        "instances": instances,
        "teams": teams,
        "core_share": mean_and_max(&cores),
        "resident_bytes": mean_and_max(&memory),
        "store_calls_per_s": mean_and_max(&rates),
        "store_calls_in_first_15_s": mean_and_max(&start_calls),
    });
    println!("{line}");
    drop(entries);
    platform.close().await;
    Ok(())
}

fn mean_and_max(values: &[f64]) -> Value {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let max = values.iter().copied().fold(0.0, f64::max);
    json!({ "mean": mean, "max": max })
}

#[tokio::main]
async fn main() -> Result<()> {
    let directory: PathBuf = std::env::temp_dir().join(format!("daemon-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let count = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(SIZES.len());
    for (instances, teams) in SIZES.into_iter().take(count) {
        measure(instances, teams, &directory).await?;
    }
    std::fs::remove_dir_all(&directory)?;
    Ok(())
}
