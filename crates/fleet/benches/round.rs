//! Benchmark of one planning round by number of instances.

use std::time::{Duration, UNIX_EPOCH};

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{Config, InstanceState};
use cassiafold_fleet::demand::Trends;
use cassiafold_fleet::{
    CompletedRequests, FleetDocument, LearnedDomains, ListedInstances, Observations, Policy, View,
    plan,
};
use cassiafold_platform::ListedInstance;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const START_UNIX_S: u64 = 1_767_571_200;
const ZONES: usize = 4;
const INSTANCES_PER_SERVICE: usize = 20;

fn config(services: usize) -> Config {
    let mut raw = serde_json::json!({
        "version": 1, "write_id": "bench", "zones": {}, "services": {},
        "pools": {"spare": {}}, "teams": {}, "waves": {},
    });
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("z{zone}")).collect();
    for zone in &zones {
        raw["zones"][zone] = serde_json::json!({"region": "r"});
    }
    for service in (0..services).map(|service| format!("s{service:02}")) {
        raw["services"][&service] = serde_json::json!({"floor_share": 0.6});
        raw["pools"][&service] = serde_json::json!({"service": service});
    }
    raw["waves"]["w"] = serde_json::json!({
        "zones": zones, "start_unix_s": START_UNIX_S, "deadline_unix_s": START_UNIX_S + 1_814_400,
    });
    let raw: RawConfig = serde_json::from_value(raw).expect("the configuration is well formed");
    Config::try_from(raw).expect("the configuration is valid")
}

fn listed(instances: usize) -> ListedInstances {
    let instance = |number: usize| {
        let service = number / INSTANCES_PER_SERVICE;
        let id: std::sync::Arc<str> = format!("s{service:02}-{number}").into();
        let instance = ListedInstance {
            id: id.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: format!("z{}", number % ZONES).into(),
            rack: format!("r{}", number / ZONES / 4).into(),
            state: InstanceState::Live,
        };
        (id, instance)
    };
    (0..instances).map(instance).collect()
}

fn round(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("planning round");
    for instances in [50, 100, 400, 870] {
        let config = config(instances / INSTANCES_PER_SERVICE);
        let listed = listed(instances);
        let empty = FleetDocument::default();
        let view = View {
            now: UNIX_EPOCH + Duration::from_secs(START_UNIX_S),
            config: &config,
            document: &empty,
            listed: &listed,
            observations: &Observations::default(),
            domains: &LearnedDomains::default(),
            trends: &Trends::default(),
            completed: &CompletedRequests::default(),
        };
        let policy = Policy::default();
        let document = plan(&view, &policy).next;
        let view = View { document: &document, ..view };
        group.bench_with_input(BenchmarkId::from_parameter(instances), &view, |bencher, view| {
            bencher.iter(|| plan(view, &policy));
        });
    }
    group.finish();
}

criterion_group!(benches, round);
criterion_main!(benches);
