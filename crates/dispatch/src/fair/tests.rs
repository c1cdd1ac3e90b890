use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngSeed};

use super::*;

/// Naive implementation of the same policy: a list of requests that is searched at each step.
#[derive(Default)]
struct NaiveQueue {
    teams: BTreeMap<TeamId, NaiveTeam>,
    waiting: Vec<(TeamId, u32)>,
    virtual_time: f64,
}

struct NaiveTeam {
    weight: f64,
    virtual_time: f64,
    blocked: bool,
}

impl NaiveQueue {
    fn set_weight(&mut self, team: &TeamId, weight: f64) {
        let virtual_time = self.virtual_time;
        let team_state = NaiveTeam { weight, virtual_time, blocked: false };
        self.teams.entry(team.clone()).or_insert(team_state).weight = weight;
    }

    fn push(&mut self, team: &TeamId, item: u32, front: bool) {
        if !self.waiting.iter().any(|(other, _)| other == team) {
            let team_state = self.teams.get_mut(team).unwrap();
            team_state.virtual_time = team_state.virtual_time.max(self.virtual_time);
        }
        let index = if front { 0 } else { self.waiting.len() };
        self.waiting.insert(index, (team.clone(), item));
    }

    fn next_team(&self) -> Option<TeamId> {
        let ready = self.waiting.iter().map(|(team, _)| team);
        let ready = ready.filter(|team| !self.teams[*team].blocked);
        let key = |team: &&TeamId| (self.teams[*team].virtual_time.to_bits(), (*team).clone());
        ready.min_by_key(key).cloned()
    }

    fn pop_charged(&mut self, team: &TeamId, cost_s: f64) -> Option<u32> {
        let index = self.waiting.iter().position(|(other, _)| other == team)?;
        self.virtual_time = self.virtual_time.max(self.teams[team].virtual_time);
        let (_, item) = self.waiting.remove(index);
        self.charge(team, cost_s);
        Some(item)
    }

    fn charge(&mut self, team: &TeamId, cost_s: f64) {
        let team_state = self.teams.get_mut(team).unwrap();
        team_state.virtual_time = (team_state.virtual_time + cost_s / team_state.weight).max(0.0);
    }

    fn remove(&mut self, item: u32) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(_, other)| *other != item);
        self.waiting.len() < before
    }

    fn set_blocked(&mut self, team: &TeamId, blocked: bool) {
        let virtual_time = self.virtual_time;
        let team_state = self.teams.get_mut(team).unwrap();
        if team_state.blocked && !blocked {
            team_state.virtual_time = team_state.virtual_time.max(virtual_time);
        }
        team_state.blocked = blocked;
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push { team: usize, front: bool },
    Start { cost_ms: u32 },
    Cancel { nth: usize },
    Charge { team: usize, cost_ms: i32 },
    Block { team: usize },
    Unblock { team: usize },
    SetWeight { team: usize, weight: u32 },
}

const TEAMS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn step() -> impl Strategy<Value = Step> {
    let team = 0..TEAMS.len();
    prop_oneof![
        6 => (team.clone(), prop::bool::weighted(0.1))
            .prop_map(|(team, front)| Step::Push { team, front }),
        5 => (1..2_000_u32).prop_map(|cost_ms| Step::Start { cost_ms }),
        2 => (0..40_usize).prop_map(|nth| Step::Cancel { nth }),
        1 => (team.clone(), -2_000..2_000)
            .prop_map(|(team, cost_ms)| Step::Charge { team, cost_ms }),
        1 => team.clone().prop_map(|team| Step::Block { team }),
        1 => team.clone().prop_map(|team| Step::Unblock { team }),
        1 => (team, 1..10_u32).prop_map(|(team, weight)| Step::SetWeight { team, weight }),
    ]
}

proptest! {
    #![proptest_config(RunnerConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..RunnerConfig::default()
    })]

    #[test]
    fn matches_the_naive_queue(steps in prop::collection::vec(step(), 1..200)) {
        let teams: Vec<TeamId> = TEAMS.iter().map(|name| TeamId::from(*name)).collect();
        let (mut queue, mut naive) = (FairQueue::default(), NaiveQueue::default());
        for team in &teams {
            queue.set_weight(team, 1.0);
            naive.set_weight(team, 1.0);
        }
        let mut waiters = Vec::new();
        for (item, step) in (0_u32..).zip(steps) {
            match step {
                Step::Push { team, front: true } => {
                    waiters.push((queue.push_front(&teams[team], item), item));
                    naive.push(&teams[team], item, true);
                }
                Step::Push { team, front: false } => {
                    waiters.push((queue.push_back(&teams[team], item), item));
                    naive.push(&teams[team], item, false);
                }
                Step::Start { cost_ms } => {
                    let cost_s = f64::from(cost_ms) / 1_000.0;
                    let next_team = queue.next_team().cloned();
                    prop_assert_eq!(&next_team, &naive.next_team());
                    if let Some(team) = next_team {
                        prop_assert_eq!(
                            queue.pop_charged(&team, cost_s),
                            naive.pop_charged(&team, cost_s)
                        );
                    }
                }
                Step::Cancel { nth } => {
                    if let Some(&(waiter, item)) = waiters.get(nth) {
                        prop_assert_eq!(queue.remove(waiter).is_some(), naive.remove(item));
                    }
                }
                Step::Charge { team, cost_ms } => {
                    queue.charge(&teams[team], f64::from(cost_ms) / 1_000.0);
                    naive.charge(&teams[team], f64::from(cost_ms) / 1_000.0);
                }
                Step::Block { team } => {
                    queue.block(&teams[team]);
                    naive.set_blocked(&teams[team], true);
                }
                Step::Unblock { team } => {
                    queue.unblock(&teams[team]);
                    naive.set_blocked(&teams[team], false);
                }
                Step::SetWeight { team, weight } => {
                    queue.set_weight(&teams[team], f64::from(weight));
                    naive.set_weight(&teams[team], f64::from(weight));
                }
            }
            prop_assert_eq!(queue.len(), naive.waiting.len());
            let backlogged = teams.iter().filter(|team| queue.team_len(team) > 0);
            let weight: f64 = backlogged.map(|team| naive.teams[team].weight).sum();
            prop_assert!((queue.backlog_weight() - weight).abs() < 1e-6);
        }
    }
}

/// Serves a backlog of three teams and returns the slot time of each, in seconds.
fn slot_time_s(weights: [f64; 3], costs_s: [f64; 3], starts: usize) -> [f64; 3] {
    let teams: Vec<TeamId> = TEAMS[..3].iter().map(|name| TeamId::from(*name)).collect();
    let mut queue = FairQueue::default();
    for (team, weight) in teams.iter().zip(weights) {
        queue.set_weight(team, weight);
        for _ in 0..starts {
            queue.push_back(team, ());
        }
    }
    let mut used_s = [0.0; 3];
    for _ in 0..starts {
        let team = queue.next_team().unwrap().clone();
        let index = teams.iter().position(|other| *other == team).unwrap();
        queue.pop_charged(&team, costs_s[index]);
        used_s[index] += costs_s[index];
    }
    used_s
}

macro_rules! share_cases {
    ($($name:ident: $weights:expr, $costs_s:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let weights: [f64; 3] = $weights;
                let used_s = slot_time_s(weights, $costs_s, 3_000);
                let total_s: f64 = used_s.iter().sum();
                let total_weight: f64 = weights.iter().sum();
                for (used_s, weight) in used_s.iter().zip(weights) {
                    let error = used_s / total_s - weight / total_weight;
                    assert!(error.abs() < 0.01, "{used_s} of {total_s}");
                }
            }
        )+
    };
}

share_cases! {
    equal_weights_give_equal_slot_time: [1.0, 1.0, 1.0], [1.0, 1.0, 1.0];
    slot_time_follows_weights: [5.0, 3.0, 1.0], [1.0, 1.0, 1.0];
    long_requests_do_not_gain_slot_time: [1.0, 1.0, 2.0], [4.0, 1.0, 0.5];
}

#[test]
fn an_idle_team_accumulates_no_credit() {
    let (one, other): (TeamId, TeamId) = ("a".into(), "b".into());
    let mut queue = FairQueue::default();
    for _ in 0..200 {
        queue.push_back(&one, ());
    }
    for _ in 0..100 {
        queue.pop_charged(&one, 1.0);
    }
    for _ in 0..100 {
        queue.push_back(&other, ());
    }
    let starts = (0..100).map(|_| {
        let team = queue.next_team().unwrap().clone();
        queue.pop_charged(&team, 1.0);
        team
    });
    let of_other = starts.filter(|team| *team == other).count();
    assert!((49..=51).contains(&of_other), "{of_other}");
}
