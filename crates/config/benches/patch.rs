//! Time to apply a patch and time to validate a file, by the number of teams.

use std::hint::black_box;

use cassiafold_config::patch::Origin;
use cassiafold_config::raw::RawConfig;
use cassiafold_config::{Config, KeyHash, Patch};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use serde_json::{Map, Value, json};

const TEAMS: [u32; 3] = [6, 50, 200];
const KEYS_PER_TEAM: u32 = 4;
const POOLS: u32 = 44;
const ZONES: u32 = 8;

fn origin(version: u64) -> Origin {
    Origin { version, write_id: "w".to_owned(), operator: "ana".into(), unix_s: 1 }
}

fn entries(prefix: &str, count: u32, value: impl Fn(u32) -> Value) -> Map<String, Value> {
    (0..count).map(|number| (format!("{prefix}-{number}"), value(number))).collect()
}

fn config(teams: u32) -> Config {
    let hash = |team, key| KeyHash::of(&format!("{team}/{key}")).to_hex();
    let team = |team| {
        let hashes: Vec<String> = (0..KEYS_PER_TEAM).map(|key| hash(team, key)).collect();
        json!({"share": 2, "upper_limit": 40, "key_hashes": hashes})
    };
    let document = json!({
        "zones": entries("zone", ZONES, |zone| json!({"region": format!("region-{}", zone / 4)})),
        "services": entries("service", POOLS, |_| json!({"floor_share": 0.7})),
        "pools": entries("pool", POOLS, |pool| json!({"service": format!("service-{pool}")})),
        "teams": entries("team", teams, team),
    });
    Patch::Merge(document).next_config(None, &origin(1)).expect("no faults")
}

fn bench(criterion: &mut Criterion) {
    let patch = Patch::Merge(json!({"zones": {"zone-1": {"out": true}}}));
    let mut group = criterion.benchmark_group("config");
    for teams in TEAMS {
        let config = config(teams);
        let raw = RawConfig::from(&config);
        let bytes = serde_json::to_vec(&raw).expect("JSON").len();
        println!("{teams} teams: {bytes} bytes");
        group.bench_function(BenchmarkId::new("patch", teams), |bencher| {
            bencher.iter(|| black_box(patch.next_config(Some(&config), &origin(2))));
        });
        let yaml = serde_saphyr::to_string(&raw).expect("YAML");
        group.bench_function(BenchmarkId::new("check", teams), |bencher| {
            bencher.iter(|| black_box(Config::from_yaml(&yaml)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
