//! Runs entry instances as separate processes under kills, pauses, outages and operator commands.

mod caller;
mod fleet;

use std::time::Duration;

use caller::CallerOutcome;
use cassiafold_standin::BackendOptions;
use fleet::{Fleet, KEY, OTHER_KEY, wait_until};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;

/// Time within which a change must be in force at every entry instance.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which no request may start in a closed zone or on a leaving instance.
const START_CUTOFF: Duration = Duration::from_secs(2);

fn runs_for(run_time: Duration) -> BackendOptions {
    BackendOptions { run_time, slots: 64, ..BackendOptions::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_through_separate_processes() {
    let fleet = Fleet::start(3, 6, BackendOptions::default(), |_| {}).await;
    for entry in &fleet.entries {
        let outcome = entry.call(Method::POST, "order", KEY).await;
        assert_eq!(outcome.status, 200, "{outcome:?}");
        assert!(outcome.body.starts_with("served by portal-"), "{outcome:?}");
        assert_eq!(fleet.counts.runs(&outcome.request_id), 1);
    }
}

/// Guards against log lines that are dropped unseen: both ways of running count them.
#[tokio::test(flavor = "multi_thread")]
async fn the_metrics_of_an_entry_instance_count_dropped_log_lines() {
    let fleet = Fleet::start(1, 1, BackendOptions::default(), |_| {}).await;
    let metrics = fleet.entries[0].metrics().await;
    assert!(metrics.contains("cassiafold_log_lines_dropped_total 0"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_is_rejected_at_every_entry_instance_after_propagation() {
    let fleet = Fleet::start(3, 3, BackendOptions::default(), |_| {}).await;
    let output = fleet.run_operator_command(&["key", "withdraw", "--team", "parishes", "--all"]);
    assert!(output.status.success(), "{output:?}");
    tokio::time::sleep(PROPAGATION_TIMEOUT).await;
    for entry in &fleet.entries {
        let outcome = entry.call(Method::GET, "order", KEY).await;
        assert_eq!((outcome.status, outcome.code), (401, Some(302)), "{outcome:?}");
        assert_eq!(fleet.counts.runs(&outcome.request_id), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_upper_limit_holds_while_entry_instances_are_killed_and_paused() {
    const LIMIT: u32 = 6;
    let options = runs_for(Duration::from_millis(200));
    let mut fleet = Fleet::start(3, 1, options, |config| {
        config["teams"]["parishes"]["upper_limit"] = LIMIT.into();
        config["services"]["portal"]["slots_per_instance"] = 64.into();
    })
    .await;
    let load = fleet.load(Method::POST, 12, Duration::from_secs(14));
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.entries[2].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.entries[1].kill();
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.entries[2].signal(Signal::SIGCONT);
    let outcomes = load.await.unwrap();
    assert!(outcomes.iter().any(|outcome| outcome.status == 200));
    let running_max = fleet.backends[0].running_max();
    assert!(running_max <= LIMIT, "{running_max} requests ran at once");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_run_at_most_once_and_run_states_are_correct_while_an_entry_instance_is_killed() {
    let options = runs_for(Duration::from_millis(30));
    let mut fleet = Fleet::start(3, 6, options, |_| {}).await;
    let load = fleet.load(Method::POST, 8, Duration::from_secs(4));
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.entries[0].kill();
    let outcomes = load.await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(outcomes.len() > 100, "only {} requests", outcomes.len());
    for outcome in &outcomes {
        assert_outcome_matches_runs(outcome, fleet.counts.runs(&outcome.request_id));
    }
}

/// Checks the outcome reported to the caller against the number of runs of the request.
fn assert_outcome_matches_runs(outcome: &CallerOutcome, runs: u32) {
    assert!(runs <= 1, "{outcome:?} ran {runs} times");
    if outcome.status == 200 {
        assert_eq!(runs, 1, "{outcome:?}");
    }
    if outcome.run_state.as_deref() == Some("not run") {
        assert_eq!(runs, 0, "{outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_succeed_and_patches_are_refused_during_a_store_outage() {
    let fleet = Fleet::start(3, 3, BackendOptions::default(), |_| {}).await;
    fleet.platform.store.faults().set_outage(true);
    let outcomes = fleet.load(Method::POST, 4, Duration::from_secs(5)).await.unwrap();
    assert!(outcomes.iter().all(|outcome| outcome.status == 200), "{:?}", first_refusal(&outcomes));
    let output = fleet.run_operator_command(&["zone", "out", "b"]);
    assert!(!output.status.success(), "{output:?}");
    fleet.platform.store.faults().set_outage(false);
    let accepted = || fleet.run_operator_command(&["zone", "out", "b"]).status.success();
    assert!(wait_until(PROPAGATION_TIMEOUT, accepted).await, "the patch was not accepted");
}

fn first_refusal(outcomes: &[CallerOutcome]) -> Option<&CallerOutcome> {
    outcomes.iter().find(|outcome| outcome.status != 200)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_entry_instance_completes_accepted_requests() {
    let options = runs_for(Duration::from_millis(1_500));
    let mut fleet = Fleet::start(2, 2, options, |_| {}).await;
    let calls: Vec<_> =
        (0..8).map(|_| tokio::spawn(fleet.entries[0].call(Method::POST, "slow", KEY))).collect();
    let running = || fleet.backends.iter().map(|backend| backend.running()).sum::<u32>() == 8;
    assert!(wait_until(PROPAGATION_TIMEOUT, running).await, "the requests did not start");
    fleet.entries[0].signal(Signal::SIGTERM);
    for call in calls {
        let outcome = call.await.unwrap();
        assert_eq!(outcome.status, 200, "{outcome:?}");
    }
    assert_eq!(fleet.entries[0].exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_starts_in_a_closed_zone_and_its_callers_are_served_elsewhere() {
    let fleet = Fleet::start(3, 6, BackendOptions::default(), |_| {}).await;
    let output = fleet.run_operator_command(&["zone", "out", "a"]);
    assert!(output.status.success(), "{output:?}");
    tokio::time::sleep(START_CUTOFF).await;
    for _ in 0..40 {
        let outcome = fleet.entries[0].call(Method::POST, "order", KEY).await;
        assert_eq!(outcome.status, 200, "{outcome:?}");
        let served_in_a = ["portal-0", "portal-3"].iter().any(|id| outcome.body.contains(id));
        assert!(!served_in_a, "{outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_backend_server_gets_no_new_requests_and_completes_running_ones() {
    let options = runs_for(Duration::from_millis(40));
    let fleet = Fleet::start(2, 2, options, |_| {}).await;
    let load = fleet.load(Method::POST, 4, Duration::from_secs(6));
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
        .platform
        .instances
        .set_state(&"portal-0".into(), cassiafold_config::InstanceState::Leaving);
    tokio::time::sleep(START_CUTOFF).await;
    let outcome = fleet.entries[0].call(Method::POST, "order", KEY).await;
    assert!(outcome.body.contains("portal-1"), "{outcome:?}");
    assert!(wait_until(START_CUTOFF, || fleet.backends[0].running() == 0).await);
    for _ in 0..20 {
        assert_eq!(fleet.backends[0].running(), 0);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let outcomes = load.await.unwrap();
    assert!(outcomes.iter().all(|outcome| outcome.status == 200), "{:?}", first_refusal(&outcomes));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_team_does_not_starve_a_small_one_at_another_entry_instance() {
    let options = BackendOptions { slots: 4, ..runs_for(Duration::from_millis(50)) };
    let fleet = Fleet::start(2, 2, options, |config| {
        config["services"]["portal"]["slots_per_instance"] = 4.into();
    })
    .await;
    let time = Duration::from_secs(8);
    let large = fleet.load_at(0, KEY, 60, time);
    let small = fleet.load_at(1, OTHER_KEY, 12, time);
    let succeeded = |outcomes: Vec<CallerOutcome>| {
        outcomes.iter().filter(|outcome| outcome.status == 200).count()
    };
    let (large, small) = (succeeded(large.await.unwrap()), succeeded(small.await.unwrap()));
    println!("successful responses: large {large}, small {small}");
    let share = (large + small) / 2;
    assert!(2 * small >= share, "the small team got {small} of its share of {share}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_instance_catches_up_without_reverting() {
    let fleet = Fleet::start(3, 3, BackendOptions::default(), |_| {}).await;
    fleet.entries[2].signal(Signal::SIGSTOP);
    for zone in ["b", "c"] {
        let output = fleet.run_operator_command(&["zone", "out", zone]);
        assert!(output.status.success(), "{output:?}");
    }
    fleet.entries[2].signal(Signal::SIGCONT);
    let mut highest = 0;
    let has_caught_up = || {
        let version = fleet.version_at(2);
        assert!(version >= highest, "went back from {highest} to {version}");
        highest = version;
        version == 3
    };
    assert!(
        wait_until(PROPAGATION_TIMEOUT, has_caught_up).await,
        "the paused entry instance did not catch up"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_instance_that_starts_during_a_store_outage_gets_the_configuration_from_a_peer() {
    let mut fleet = Fleet::start(3, 3, BackendOptions::default(), |_| {}).await;
    fleet.platform.store.faults().set_outage(true);
    fleet.entries[1].kill();
    fleet.restart(1).await;
    let outcome = fleet.entries[1].call(Method::GET, "order", "wrong-key").await;
    assert!([302, 300].contains(&outcome.code.unwrap_or(0)), "{outcome:?}");
    let has_configuration = || fleet.version_at(1) == 1;
    assert!(
        wait_until(2 * PROPAGATION_TIMEOUT, has_configuration).await,
        "no configuration came from the peers"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wave_reboots_each_instance_once_without_aborting_requests() {
    let options = runs_for(Duration::from_millis(100));
    let now_s = fleet::unix_s();
    let fleet = Fleet::start(2, 4, options, |config| {
        config["services"]["portal"]["floor_share"] = 0.5.into();
        config["waves"]["weekly"] = json!({
            "zones": ["a"], "start_unix_s": now_s - 1, "deadline_unix_s": now_s + 86_400,
        });
    })
    .await;
    let load = fleet.load(Method::POST, 4, Duration::from_secs(45));
    let outcomes = load.await.unwrap();
    let mut reboots: Vec<String> = fleet
        .platform
        .instances
        .reboots()
        .into_iter()
        .map(|reboot| reboot.instance.to_string())
        .collect();
    reboots.sort();
    assert_eq!(reboots, ["portal-0", "portal-2"]);
    assert!(outcomes.iter().all(|outcome| outcome.status == 200), "{:?}", first_refusal(&outcomes));
}
