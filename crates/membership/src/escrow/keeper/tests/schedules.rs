//! Random schedules of actions and faults.

use std::time::Duration;

use cassiafold_standin::faults::{Partition, WriteFault};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::cluster::{Cluster, ENTRIES, SETTINGS, TEAMS, end_requests};

#[derive(Debug, Clone)]
pub enum Action {
    Step(usize),
    Round,
    AdvanceTime(u64),
    Start { entry: usize, team: usize, count: u32, run_s: u64 },
    Finish { entry: usize, count: u32 },
    SetWaiting { entry: usize, team: usize, waiting: u32 },
    Pause(usize),
    Resume(usize),
    Crash { entry: usize, same_id: bool },
    CutOff(usize, bool),
    Reconnect(usize),
    Outage(bool),
    Fault(u8),
    StaleReads(bool),
    SetLimits([u32; 2]),
    AdoptConfig(usize),
    Saturate(usize),
    Race(u64),
    Supersede(usize),
    ResumeSuperseded,
}

/// Generates actions that do not change the limits.
fn action_with_fixed_limits() -> impl Strategy<Value = Action> {
    let entry = 0..ENTRIES;
    let team = 0..TEAMS.len();
    prop_oneof![
        12 => entry.clone().prop_map(Action::Step),
        10 => Just(Action::Round),
        8 => (1u64..4).prop_map(Action::AdvanceTime),
        3 => (5u64..100).prop_map(Action::AdvanceTime),
        20 => (entry.clone(), team.clone(), 1u32..8, 1u64..30)
            .prop_map(|(entry, team, count, run_s)| Action::Start { entry, team, count, run_s }),
        6 => (entry.clone(), 1u32..8).prop_map(|(entry, count)| Action::Finish { entry, count }),
        10 => (entry.clone(), team, 0u32..12)
            .prop_map(|(entry, team, waiting)| Action::SetWaiting { entry, team, waiting }),
        2 => entry.clone().prop_map(Action::Pause),
        2 => entry.clone().prop_map(Action::Resume),
        2 => (entry.clone(), any::<bool>())
            .prop_map(|(entry, same_id)| Action::Crash { entry, same_id }),
        2 => (entry.clone(), any::<bool>())
            .prop_map(|(entry, direction)| Action::CutOff(entry, direction)),
        3 => entry.clone().prop_map(Action::Reconnect),
        1 => Just(Action::Outage(true)),
        2 => Just(Action::Outage(false)),
        4 => (0u8..3).prop_map(Action::Fault),
        1 => Just(Action::StaleReads(true)),
        2 => Just(Action::StaleReads(false)),
        15 => (0..TEAMS.len()).prop_map(Action::Saturate),
        4 => (10u64..600).prop_map(Action::Race),
        2 => entry.prop_map(Action::Supersede),
        2 => Just(Action::ResumeSuperseded),
    ]
}

/// Generates actions of all kinds.
fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        20 => action_with_fixed_limits(),
        1 => (1u32..16, 1u32..5).prop_map(|(large, small)| Action::SetLimits([large, small])),
        2 => (0..ENTRIES).prop_map(Action::AdoptConfig),
    ]
}

pub async fn apply(cluster: &mut Cluster, action: Action) {
    let faults = cluster.store.faults();
    match action {
        Action::Step(entry) => cluster.step(entry).await,
        Action::Round => {
            for index in 0..ENTRIES {
                cluster.step(index).await;
            }
            cluster.advance_time(SETTINGS.interval).await;
        }
        Action::AdvanceTime(seconds) => cluster.advance_time(Duration::from_secs(seconds)).await,
        Action::Start { entry, team, count, run_s } => {
            for _ in 0..count {
                cluster.start(entry, team, Duration::from_secs(run_s));
            }
        }
        Action::Finish { entry, count } => (0..count).for_each(|_| cluster.finish(entry)),
        Action::SetWaiting { entry, team, waiting } => {
            cluster.entries[entry].waiting.set(TEAMS[team], waiting);
        }
        Action::Pause(entry) => cluster.entries[entry].paused = true,
        Action::Resume(entry) => cluster.entries[entry].paused = false,
        Action::Crash { entry, same_id } => cluster.crash(entry, same_id),
        Action::CutOff(entry, requests) => {
            let direction = if requests { Partition::Requests } else { Partition::Answers };
            faults.cut_off(format!("entry-{entry}"), direction);
        }
        Action::Reconnect(entry) => faults.reconnect(&format!("entry-{entry}")),
        Action::Outage(outage) => faults.set_outage(outage),
        Action::Fault(0) => faults.fail_writes(1, WriteFault::LostAnswer),
        Action::Fault(1) => faults.fail_writes(1, WriteFault::LostRequest),
        Action::Fault(_) => faults.fail_writes(1, WriteFault::Late(Duration::from_secs(3))),
        Action::StaleReads(on) => faults.set_stale_reads(on.then(|| faults.revision())),
        Action::SetLimits(limits) => cluster.set_limits(limits),
        Action::AdoptConfig(entry) => {
            cluster.entries[entry].config.offer(cluster.configs.last().unwrap().clone());
        }
        Action::Saturate(team) => cluster.saturate(team),
        Action::Race(delay_ms) => cluster.race(Duration::from_millis(delay_ms)).await,
        Action::Supersede(entry) => cluster.supersede(entry),
        Action::ResumeSuperseded => cluster.resume_superseded().await,
    }
    end_requests(&cluster.requests);
}

fn paused_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn running_requests_never_exceed_the_limit(
        actions in prop::collection::vec(action_with_fixed_limits(), 20..150),
    ) {
        paused_runtime().block_on(async {
            let mut cluster = Cluster::new([12, 3]);
            for action in actions {
                apply(&mut cluster, action).await;
            }
        });
    }

    #[test]
    fn running_requests_never_exceed_a_limit_that_may_be_in_force(
        actions in prop::collection::vec(action(), 20..150),
    ) {
        paused_runtime().block_on(async {
            let mut cluster = Cluster::new([12, 3]);
            for action in actions {
                apply(&mut cluster, action).await;
            }
        });
    }
}
