//! Concurrent requests to backend servers with random faults, from callers some of which
//! disconnect. Each response must agree with the number of runs, and no bound may be exceeded.

mod support;

use std::time::Duration;

use cassiafold_dispatch::Sources;
use cassiafold_standin::{BackendOptions, Fault, FaultPlan};
use http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{CallerResponse, Fleet, config};

const BACKENDS: usize = 5;
const SLOTS: u32 = 3;
const CONNECTIONS: u32 = 6;
const REQUESTS: usize = 600;
const RUN_TIME: Duration = Duration::from_millis(5);
const SETTLE_TIME: Duration = Duration::from_millis(800);

const FAULTS: [Fault; 11] = [
    Fault::ResetOnAccept,
    Fault::ResetDuringWrite,
    Fault::ResetAfterRun,
    Fault::CutHead,
    Fault::CutBody,
    Fault::CutChunked,
    Fault::Slow(Duration::from_millis(500)),
    Fault::WrongRequestId,
    Fault::Unframed,
    Fault::RefuseNotRun,
    Fault::ServerError,
];

struct Sent {
    id: String,
    method: Method,
    /// Response to the caller; `None` if it disconnected before.
    response: Option<CallerResponse>,
}

async fn send_requests(fleet: &Fleet, seed: u64) -> Vec<Sent> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for index in 0..REQUESTS {
        if rng.random_bool(0.25) {
            fleet.faults.queue(FAULTS[rng.random_range(0..FAULTS.len())]);
        }
        let method = if rng.random_bool(0.5) { Method::POST } else { Method::PUT };
        let id = format!("storm-{index}");
        let deadline_ms = rng.random_range(100..600);
        let client_timeout_ms = rng.random_bool(0.15).then(|| rng.random_range(0..40));
        let call = fleet.call(method.clone(), "/echo", &id).body(id.clone());
        let call = call.deadline_ms(deadline_ms);
        calls.push(tokio::spawn(async move {
            let response = match client_timeout_ms {
                Some(ms) => tokio::time::timeout(Duration::from_millis(ms), call.send()).await.ok(),
                None => Some(call.send().await),
            };
            Sent { id, method, response }
        }));
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..3))).await;
    }
    let mut sent = Vec::new();
    for call in calls {
        sent.push(call.await.expect("the call ends"));
    }
    sent
}

fn check(fleet: &Fleet, sent: &Sent) {
    let (id, runs) = (&sent.id, fleet.counts.runs(&sent.id));
    if sent.method == Method::POST {
        assert!(runs <= 1, "{id} is not idempotent and ran {runs} times");
    }
    let Some(response) = &sent.response else {
        return;
    };
    if response.run_state() == "not run" {
        assert_eq!(runs, 0, "{id} was refused with {}", response.summary());
    }
    if response.code() == 0
        && let Some(body) = &response.body
    {
        assert_eq!(
            *body,
            id.as_bytes(),
            "{id} got the response of another request or an incomplete one"
        );
        assert!(runs >= 1, "{id} got a response but never ran");
    }
}

async fn run(seed: u64) {
    let faults = FaultPlan::default();
    let options = BackendOptions { run_time: RUN_TIME, faults, ..BackendOptions::default() };
    let document = config(1, |document| {
        let portal = &mut document["services"]["portal"];
        portal["slots_per_instance"] = SLOTS.into();
        portal["connections_per_instance"] = CONNECTIONS.into();
    });
    let fleet = Fleet::start_with(&vec![options; BACKENDS], <Sources>::default(), document).await;
    let sent = send_requests(&fleet, seed).await;
    tokio::time::sleep(SETTLE_TIME).await;
    sent.iter().for_each(|sent| check(&fleet, sent));
    for backend in &fleet.backends {
        assert!(backend.running_max() <= SLOTS, "{} concurrent runs", backend.running_max());
        assert!(backend.connections_max() <= CONNECTIONS, "{}", backend.connections_max());
    }
    let whole = sent.iter().filter(|sent| {
        sent.response.as_ref().is_some_and(|response| response.summary() == "200, whole")
    });
    assert!(whole.count() * 2 > REQUESTS, "most requests succeed");
    let usage = fleet.server.caller_api().dispatcher().usage();
    assert_eq!(usage, cassiafold_dispatch::Usage::default(), "all slots are released");
}

macro_rules! random_fault_cases {
    ($($name:ident: $seed:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                run($seed).await;
            }
        )+
    };
}

random_fault_cases! {
    random_faults_with_seed_1: 1;
    random_faults_with_seed_2: 2;
    random_faults_with_seed_3: 3;
}
