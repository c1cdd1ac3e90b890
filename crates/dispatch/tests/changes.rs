//! Changes while requests wait and run: zones taken out, leaving instances, keys, limits,
//! cancellations, ejection and the graceful stop.

#[path = "../../jobs/tests/log_lines/mod.rs"]
mod log_lines;
mod support;

use std::collections::BTreeMap;
use std::iter;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_config::{InstanceState, TeamId};
use cassiafold_dispatch::{AttemptResult, DispatchEvent, LimitSource, Observation, Sources};
use cassiafold_standin::{BackendOptions, Fault};
use http::Method;
use log_lines::{capture, lines};
use support::{CallerResponse, Fleet, OTHER_KEY, config};
use tokio::sync::broadcast::Receiver;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const SLOW_RUN_TIME: Duration = Duration::from_millis(2_000);
const SHORT_DELAY: Duration = Duration::from_millis(500);
/// Backoff of an instance that is ejected for the first time.
const BACKOFF_FIRST: Duration = Duration::from_secs(1);
/// Requests after which something that requests bring about counts as missing.
const REQUESTS_MAX: usize = 2_000;

/// `size` backend servers with one slot each, which run each request for [`SLOW_RUN_TIME`].
async fn slow_fleet(size: usize) -> Fleet {
    let options = BackendOptions { run_time: SLOW_RUN_TIME, ..BackendOptions::default() };
    let one_slot = config(1, |document| {
        document["services"]["portal"]["slots_per_instance"] = 1.into();
    });
    Fleet::start_with(&vec![options; size], <Sources>::default(), one_slot).await
}

fn spawn(fleet: &Fleet, id: &str) -> JoinHandle<CallerResponse> {
    tokio::spawn(fleet.call(Method::POST, "/a", id).send())
}

async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} did not happen");
}

fn usage(fleet: &Fleet) -> (u32, u32) {
    let usage = fleet.server.caller_api().dispatcher().usage();
    let running = usage.teams.iter().map(|team| team.running).sum();
    (running, usage.teams.iter().map(|team| team.waiting).sum())
}

#[tokio::test]
async fn queued_requests_start_neither_in_a_zone_taken_out_nor_on_a_leaving_instance() {
    // Instances 0, 1 and 3 are in zone a, instance 2 in zone c.
    let fleet = slow_fleet(4).await;
    let calls: Vec<_> = (0..12).map(|index| spawn(&fleet, &format!("r{index}"))).collect();
    let all_run = || fleet.backends.iter().all(|backend| backend.running() == 1);
    until("full queue", || all_run() && usage(&fleet) == (4, 8)).await;
    fleet.config.offer(config(2, |document| {
        document["zones"]["c"]["out"] = true.into();
        document["services"]["portal"]["slots_per_instance"] = 1.into();
    }));
    fleet.edit(|list| list[0].state = InstanceState::Leaving);
    let mut by_instance = BTreeMap::<String, u32>::new();
    for call in calls {
        let response = call.await.unwrap();
        let body = response.body.expect("the response is complete");
        let name = String::from_utf8_lossy(&body).trim().to_owned();
        *by_instance.entry(name).or_default() += 1;
    }
    assert_eq!(by_instance["served by portal-0"], 1);
    assert_eq!(by_instance["served by portal-2"], 1);
    assert_eq!(by_instance.values().sum::<u32>(), 12);
}

#[tokio::test]
async fn a_withdrawn_key_stops_queued_but_not_running_requests() {
    let fleet = slow_fleet(1).await;
    let running = spawn(&fleet, "running");
    until("start", || usage(&fleet) == (1, 0)).await;
    let queued = spawn(&fleet, "queued");
    until("queueing", || usage(&fleet) == (1, 1)).await;
    fleet.config.offer(config(2, |document| {
        document["teams"]["parishes"]["key_hashes"] = serde_json::json!([]);
    }));
    assert_eq!(queued.await.unwrap().summary(), "401, code 302, not run");
    assert_eq!(running.await.unwrap().summary(), "200, whole");
    assert_eq!(fleet.counts.runs("queued"), 0);
}

#[tokio::test]
async fn cancelled_requests_leave_the_queue_and_never_run() {
    let fleet = slow_fleet(1).await;
    fleet.faults.queue(Fault::Slow(Duration::from_secs(5)));
    let running = spawn(&fleet, "running");
    until("start", || usage(&fleet) == (1, 0)).await;
    let queued: Vec<_> = (0..200).map(|index| spawn(&fleet, &format!("r{index}"))).collect();
    until("queueing", || usage(&fleet).1 == 200).await;
    let last = tokio::spawn(fleet.call(Method::POST, "/a", "last").key(OTHER_KEY).send());
    queued.iter().for_each(JoinHandle::abort);
    until("departure", || usage(&fleet) == (1, 1)).await;
    assert!(!running.is_finished());
    assert_eq!(running.await.unwrap().summary(), "200, whole");
    assert_eq!(last.await.unwrap().summary(), "200, whole");
    assert_eq!(fleet.counts.total(), 2);
    until("empty queue", || usage(&fleet) == (0, 0)).await;
}

#[tokio::test]
async fn a_slot_is_released_only_when_the_abandoned_request_has_ended() {
    let fleet = slow_fleet(1).await;
    let abandoned = spawn(&fleet, "abandoned");
    until("run", || fleet.backends[0].running() == 1).await;
    abandoned.abort();
    let next = spawn(&fleet, "next");
    assert_eq!(next.await.unwrap().summary(), "200, whole");
    assert_eq!(fleet.backends[0].running_max(), 1);
    assert_eq!((fleet.counts.runs("abandoned"), fleet.counts.runs("next")), (1, 1));
}

#[tokio::test]
async fn a_waiting_request_is_refused_at_its_deadline_as_not_run() {
    let fleet = slow_fleet(1).await;
    let running = spawn(&fleet, "running");
    until("start", || usage(&fleet) == (1, 0)).await;
    let response = fleet.call(Method::POST, "/a", "late").deadline_ms(100).send().await;
    assert_eq!(response.summary(), "504, code 312, not run");
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(running.await.unwrap().summary(), "200, whole");
    assert_eq!(fleet.counts.runs("late"), 0);
}

/// Limit source that grants `limit` permits to each team and counts them.
#[derive(Debug, Clone)]
struct Limits {
    limit: Arc<Mutex<u32>>,
    running: Arc<Mutex<BTreeMap<TeamId, u32>>>,
    changes: watch::Sender<()>,
}

struct Permit {
    team: TeamId,
    running: Arc<Mutex<BTreeMap<TeamId, u32>>>,
}

impl LimitSource for Limits {
    type Permit = Permit;

    fn try_acquire(&self, team: &TeamId) -> Option<Permit> {
        let mut running = self.running.lock().expect("no holder panicked");
        let count = running.entry(team.clone()).or_default();
        (*count < *self.limit.lock().expect("no holder panicked")).then(|| {
            *count += 1;
            Permit { team: team.clone(), running: self.running.clone() }
        })
    }

    fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *self.running.lock().expect("no holder panicked").entry(self.team.clone()).or_default() -=
            1;
    }
}

async fn limited_fleet(limit: u32) -> (Fleet<Sources<Limits>>, Limits) {
    let limits = Limits {
        limit: Arc::new(Mutex::new(limit)),
        running: Arc::default(),
        changes: watch::Sender::new(()),
    };
    let options = BackendOptions { run_time: SLOW_RUN_TIME, ..BackendOptions::default() };
    let dependencies = Sources::with_limits(limits.clone());
    (Fleet::start_with(&vec![options; 2], dependencies, config(1, |_| {})).await, limits)
}

#[tokio::test]
async fn raising_the_upper_limit_starts_waiting_requests() {
    let (fleet, limits) = limited_fleet(2).await;
    let call = |id: String| tokio::spawn(fleet.call(Method::POST, "/a", &id).send());
    let calls: Vec<_> = (0..6).map(|index| call(format!("r{index}"))).collect();
    let running = || fleet.backends.iter().map(|backend| backend.running()).sum::<u32>();
    until("runs", || running() == 2).await;
    tokio::time::sleep(SHORT_DELAY).await;
    assert_eq!(running(), 2);
    *limits.limit.lock().unwrap() = 6;
    limits.changes.send_replace(());
    until("more runs", || running() > 2).await;
    for call in calls {
        assert_eq!(call.await.unwrap().summary(), "200, whole");
    }
}

#[tokio::test]
async fn a_team_at_its_limit_is_refused_and_does_not_block_others() {
    let (fleet, _limits) = limited_fleet(1).await;
    let first = tokio::spawn(fleet.call(Method::POST, "/a", "first").send());
    until("run", || fleet.backends.iter().any(|backend| backend.running() == 1)).await;
    let second = tokio::spawn(fleet.call(Method::POST, "/a", "second").deadline_ms(150).send());
    let other = fleet.call(Method::POST, "/a", "other").key(OTHER_KEY).send().await;
    assert_eq!(other.summary(), "200, whole");
    assert_eq!(second.await.unwrap().summary(), "429, code 304, not run");
    assert_eq!(first.await.unwrap().summary(), "200, whole");
}

#[tokio::test]
async fn a_graceful_stop_finishes_accepted_requests() {
    let Fleet { server, backends, counts, config, instances, faults } = slow_fleet(1).await;
    let fleet = Fleet { server, backends, counts, config, instances, faults };
    let calls: Vec<_> = (0..3).map(|index| spawn(&fleet, &format!("r{index}"))).collect();
    until("queueing", || usage(&fleet) == (1, 2)).await;
    let caller_api = fleet.server.caller_api().clone();
    let late_call = fleet.call(Method::POST, "/a", "refused");
    let stop = tokio::spawn(fleet.server.close(SHORT_DELAY, std::future::pending()));
    until("readiness off", || !caller_api.is_ready()).await;
    let during_wait = late_call.clone().header("x-note", "still served").deadline_ms(60_000);
    assert_eq!(during_wait.send().await.summary(), "200, whole");
    let report = stop.await.unwrap();
    assert!(report.aborted.is_empty());
    for call in calls {
        assert_eq!(call.await.unwrap().summary(), "200, whole");
    }
}

#[tokio::test]
async fn a_draining_entry_instance_refuses_new_requests_as_not_run() {
    let fleet = slow_fleet(1).await;
    fleet.server.caller_api().set_phase(cassiafold_dispatch::Phase::Draining);
    let response = spawn(&fleet, "refused").await.unwrap();
    assert_eq!(response.summary(), "503, code 317, not run");
    assert_eq!(response.headers["retry-after"], "1");
    assert_eq!(fleet.counts.total(), 0);
}

#[tokio::test]
async fn a_forced_stop_reports_aborted_requests() {
    let fleet = slow_fleet(1).await;
    let call = spawn(&fleet, "cut");
    until("run", || usage(&fleet) == (1, 0)).await;
    let report = fleet.server.close(Duration::ZERO, tokio::time::sleep(SHORT_DELAY)).await;
    let aborted: Vec<&str> = report.aborted.iter().map(|request| &*request.id).collect();
    assert_eq!(aborted, ["cut"]);
    call.abort();
}

/// Results recorded for the first backend server since the previous call.
fn results_of_first(observations: &mut Receiver<Observation>) -> Vec<Observation> {
    let received = iter::from_fn(|| observations.try_recv().ok());
    received.filter(|observation| &*observation.instance == "portal-0").collect()
}

fn event_count(event: DispatchEvent) -> usize {
    lines(event.row().number).len()
}

/// Sends requests until the first backend server is ejected, and returns the results that it
/// received and the number of callers that received a server error.
async fn fail_until_ejected(
    fleet: &Fleet,
    observations: &mut Receiver<Observation>,
) -> (Vec<Observation>, u32) {
    let (mut results, mut failed_callers) = (Vec::new(), 0);
    for index in 0..REQUESTS_MAX {
        let response = fleet.call(Method::POST, "/a", &format!("r{index}")).send().await;
        failed_callers += u32::from(response.status == 500);
        results.extend(results_of_first(observations));
        if event_count(DispatchEvent::InstanceEjected) > 0 {
            return (results, failed_callers);
        }
    }
    panic!("the instance was not ejected: {results:?}");
}

/// Sends requests until the first backend server returns to routing and `count` results of it were
/// recorded, and returns these.
async fn send_until_returned(
    fleet: &Fleet,
    observations: &mut Receiver<Observation>,
    count: usize,
) -> Vec<Observation> {
    let mut results = Vec::new();
    for index in 0..REQUESTS_MAX {
        for method in [Method::POST, Method::GET] {
            let call = fleet.call(method.clone(), "/a", &format!("{method}-{index}"));
            assert_eq!(call.send().await.summary(), "200, whole");
        }
        results.extend(results_of_first(observations));
        if event_count(DispatchEvent::InstanceReturned) > 0 && results.len() >= count {
            return results;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the instance did not return: {results:?}");
}

#[tokio::test]
async fn an_instance_that_fails_fast_is_ejected_and_recovers_after_a_trial() {
    capture();
    let options = [BackendOptions::default(), BackendOptions::default()];
    let fleet = Fleet::start_with(&options, <Sources>::default(), config(1, |_| {})).await;
    let mut observations = fleet.server.caller_api().dispatcher().observe();
    fleet.faults.set(Some(Fault::ServerError));
    let (failures, failed_callers) = fail_until_ejected(&fleet, &mut observations).await;
    let results: Vec<_> = failures.iter().map(|failure| failure.result).collect();
    assert_eq!((results, failed_callers), (vec![AttemptResult::ServerError; 5], 5));
    fleet.faults.set(None);
    let trial_from = failures[4].at + BACKOFF_FIRST;
    let after = send_until_returned(&fleet, &mut observations, 2).await;
    assert!(after.iter().all(|result| result.at >= trial_from), "{failures:?}, {after:?}");
    assert!(after.iter().all(|result| result.result == AttemptResult::Ok), "{after:?}");
    assert_eq!(event_count(DispatchEvent::InstanceEjected), 1);
    assert_eq!(event_count(DispatchEvent::InstanceReturned), 1);
}

/// Counts the missing responses recorded for the first backend server after `inject`, in up to 200
/// requests or until three of them eject it.
async fn count_silent_results(inject: impl FnOnce(&Fleet)) -> u32 {
    let options = [BackendOptions::default(), BackendOptions::default()];
    let fleet = Fleet::start_with(&options, <Sources>::default(), config(1, |_| {})).await;
    let get = |id: String| fleet.call(Method::GET, "/a", &id).deadline_ms(5_000).send();
    for index in 0..20 {
        assert_eq!(get(format!("warm-{index}")).await.summary(), "200, whole");
    }
    let mut observations = fleet.server.caller_api().dispatcher().observe();
    inject(&fleet);
    let mut silent_results = 0;
    for index in 0..200 {
        assert_eq!(get(format!("r{index}")).await.summary(), "200, whole");
        while let Ok(observation) = observations.try_recv() {
            let silent = observation.result == AttemptResult::Silent;
            silent_results += u32::from(silent && &*observation.instance == "portal-0");
        }
        if silent_results == 3 {
            break;
        }
    }
    silent_results
}

#[tokio::test]
async fn missing_responses_on_new_connections_count_against_the_instance() {
    assert_eq!(count_silent_results(|fleet| fleet.faults.set(Some(Fault::Silence))).await, 3);
}

#[tokio::test]
async fn missing_responses_on_reused_connections_do_not_count_against_the_instance() {
    assert_eq!(count_silent_results(|fleet| fleet.backends[0].silence_connections()).await, 0);
}
