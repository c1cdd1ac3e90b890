//! Time of one scheduling decision (which team starts next, and on which backend server), of
//! applying a change, and of a cancellation, by number of instances and teams.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{Config, Instance, InstanceState, ServiceId};
use cassiafold_dispatch::scheduler::RequestScheduler;
use cassiafold_dispatch::slot_grant::{EndReason, FinishedRequest};
use cassiafold_dispatch::{AcceptedRequest, Sources};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

const INSTANCES: [usize; 3] = [10, 100, 870];
const TEAMS: [usize; 3] = [6, 50, 200];
const BACKLOG: usize = 10;
const SERVICE_TIME: Duration = Duration::from_millis(50);

fn config(teams: usize, services: usize) -> Arc<Config> {
    let team = |index: usize| {
        let document = serde_json::json!({"share": index % 5 + 1, "upper_limit": 100_000});
        (format!("team-{index}"), document)
    };
    let teams: serde_json::Map<_, _> = (0..teams).map(team).collect();
    let service = |index: usize| {
        let document = serde_json::json!({"floor_share": 0.5, "queue_length_max": 100_000});
        (if index == 0 { "portal".to_owned() } else { format!("service-{index}") }, document)
    };
    let documents: serde_json::Map<_, _> = (0..services).map(service).collect();
    let pools: serde_json::Map<_, _> =
        documents.keys().map(|name| (name.clone(), serde_json::json!({"service": name}))).collect();
    let raw: RawConfig = serde_json::from_value(serde_json::json!({
        "version": 1,
        "zones": {"a": {"region": "n"}, "b": {"region": "n"}, "c": {"region": "n"}},
        "services": documents,
        "pools": pools,
        "teams": teams,
    }))
    .expect("the configuration is well formed");
    Arc::new(Config::try_from(raw).expect("the configuration is valid"))
}

fn instance(index: usize) -> Instance {
    let zone = ["a", "b", "c"][index % 3];
    Instance {
        id: format!("portal-{index}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        rack: format!("{zone}-{}", index / 12).into(),
        pool: "portal".into(),
        state: InstanceState::Live,
    }
}

/// A scheduler whose slots are all taken and whose teams all have waiting requests.
struct LoadedScheduler {
    scheduler: RequestScheduler<Sources, ()>,
    service: ServiceId,
    requests: Vec<Arc<AcceptedRequest>>,
    running: Vec<(Arc<AcceptedRequest>, usize, f64)>,
    now: Instant,
    step_count: usize,
}

impl LoadedScheduler {
    fn new(instances: usize, teams: usize, services: usize) -> Self {
        let (now, service): (Instant, ServiceId) = (Instant::now(), "portal".into());
        let list: Vec<Instance> = (0..instances).map(instance).collect();
        let rng = SmallRng::seed_from_u64(3);
        let mut scheduler = RequestScheduler::new(<Sources>::default(), "a".into(), rng);
        scheduler.update(config(teams, services), &list);
        let request = |team: usize| {
            Arc::new(AcceptedRequest {
                id: "r".into(),
                service: service.clone(),
                team: format!("team-{team}").into(),
                key: Some("key".into()),
                checked_version: 1,
                idempotent: true,
                deadline: now + Duration::from_secs(600),
            })
        };
        let requests: Vec<_> = (0..teams).map(request).collect();
        let mut loaded =
            Self { scheduler, service, requests, running: Vec::new(), now, step_count: 0 };
        for index in 0..instances * 8 + teams * BACKLOG {
            let request = loaded.requests[index % teams].clone();
            loaded.scheduler.enqueue(&request, (), now).expect("the queue has room");
        }
        loaded.start_waiting();
        loaded.open_queues(services);
        loaded
    }

    /// Creates an empty queue for each of the other services.
    fn open_queues(&mut self, services: usize) {
        for index in 1..services {
            let service: ServiceId = format!("service-{index}").into();
            for request in &self.requests {
                let request = AcceptedRequest { service: service.clone(), ..(**request).clone() };
                let waiter = self.scheduler.enqueue_retry(&Arc::new(request), Vec::new(), ());
                self.scheduler.cancel(&service, waiter);
            }
        }
    }

    fn start_waiting(&mut self) {
        for ((), request, grant) in self.scheduler.start_waiting(&self.service, self.now) {
            let grant = grant.expect("the request may start");
            self.running.push((request, grant.index, grant.cost_s));
        }
    }

    /// One request ends, one arrives, and one starts.
    fn step(&mut self) {
        self.step_count = self.step_count.wrapping_add(7_919);
        let nth = self.step_count % self.running.len();
        let (request, index, cost_s) = self.running.swap_remove(nth);
        let finished = FinishedRequest {
            request: &request,
            index,
            cost_s,
            held: SERVICE_TIME,
            end_reason: EndReason::Completed,
        };
        black_box(self.scheduler.release(&finished));
        black_box(self.scheduler.enqueue(&request, (), self.now).expect("the queue has room"));
        self.start_waiting();
    }
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for instances in INSTANCES {
        for teams in TEAMS {
            let mut loaded = LoadedScheduler::new(instances, teams, 1);
            let id = BenchmarkId::new(format!("{instances} instances"), format!("{teams} teams"));
            group.bench_function(id, |bench| bench.iter(|| loaded.step()));
        }
    }
    group.finish();
}

fn services(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("services");
    for services in [1, 5, 44] {
        let mut loaded = LoadedScheduler::new(100, 200, services);
        group.bench_function(BenchmarkId::from_parameter(services), |bench| {
            bench.iter(|| loaded.step());
        });
    }
    group.finish();
}

fn change(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("change");
    for instances in INSTANCES {
        let mut loaded = LoadedScheduler::new(instances, 200, 1);
        let list: Vec<Instance> = (0..instances).map(instance).collect();
        let config = config(200, 1);
        group.bench_function(BenchmarkId::new("instances", instances), |bench| {
            bench.iter(|| loaded.scheduler.update(config.clone(), &list));
        });
    }
    group.finish();
}

fn cancel(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("cancel");
    for waiting in [100, 10_000] {
        let mut loaded = LoadedScheduler::new(10, 6, 1);
        let request = loaded.requests[0].clone();
        for _ in 0..waiting {
            loaded.scheduler.enqueue(&request, (), loaded.now).expect("the queue has room");
        }
        group.bench_function(BenchmarkId::new("waiting", waiting), |bench| {
            bench.iter(|| {
                let waiter =
                    loaded.scheduler.enqueue(&request, (), loaded.now).expect("there is room");
                loaded.scheduler.cancel(&loaded.service, waiter);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decision, services, change, cancel);
criterion_main!(benches);
