//! Cost of the choice of a backend server by number of instances.

use std::hint::black_box;
use std::sync::Arc;

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{Config, Instance, InstanceState};
use cassiafold_dispatch::route;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SIZES: [usize; 3] = [10, 100, 870];

fn config() -> Config {
    let raw: RawConfig = serde_json::from_value(serde_json::json!({
        "version": 1,
        "zones": {"a": {"region": "north"}},
        "services": {"portal": {"floor_share": 0.5}},
        "pools": {"portal": {"service": "portal"}},
        "teams": {},
    }))
    .expect("the configuration is well formed");
    Config::try_from(raw).expect("the configuration is valid")
}

fn instance(index: usize) -> Instance {
    Instance {
        id: format!("portal-{index}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        rack: format!("a-{}", index / 4).into(),
        pool: "portal".into(),
        state: InstanceState::Live,
    }
}

fn choose(criterion: &mut Criterion) {
    let config = config();
    let mut group = criterion.benchmark_group("choose");
    for size in SIZES {
        let instances: Vec<Instance> = (0..size).map(instance).collect();
        let (service, home) = (Arc::from("portal"), Arc::from("a"));
        group.bench_with_input(BenchmarkId::from_parameter(size), &instances, |bench, list| {
            bench.iter(|| black_box(route::choose(&config, list, &service, &home)));
        });
    }
    group.finish();
}

criterion_group!(benches, choose);
criterion_main!(benches);
