//! Queue of one service, with the running requests and service times of its teams.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{Config, Instance, ServiceId, TeamId};
use tokio::time::Instant;

use crate::accepted_request::AcceptedRequest;
use crate::code::DispatchCode;
use crate::estimate::Estimate;
use crate::fair::FairQueue;
use crate::observe::TeamUsage;
use crate::problem::Problem;
use crate::slot_grant::{EndReason, FinishedRequest};

/// Slot time charged for a request while no service time was observed, in seconds.
const COST_DEFAULT_S: f64 = 0.05;
/// `Retry-After` while the wait cannot be estimated.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// A request that waits in a queue.
#[derive(Debug)]
pub struct WaitingRequest<R> {
    /// The request.
    pub request: Arc<AcceptedRequest>,
    /// Instances that failed the request before; others are preferred.
    pub avoid: Vec<Instance>,
    /// Receiver of the result of waiting.
    pub reply: R,
}

/// Queue of one service.
#[derive(Debug)]
pub struct ServiceQueue<R> {
    /// Waiting requests.
    pub waiting: FairQueue<WaitingRequest<R>>,
    /// Number of requests that hold a slot.
    pub running: u32,
    /// Time for which completed requests held a slot.
    pub service_time: Estimate,
    teams: HashMap<TeamId, TeamAccount>,
}

/// Running requests and service time of one team.
#[derive(Debug, Default)]
struct TeamAccount {
    running: u32,
    service_time: Estimate,
    /// Whether the team is blocked because it runs its share of the slots.
    over_share: bool,
}

impl<R> Default for ServiceQueue<R> {
    fn default() -> Self {
        Self {
            waiting: FairQueue::default(),
            running: 0,
            service_time: Estimate::default(),
            teams: HashMap::new(),
        }
    }
}

impl<R> ServiceQueue<R> {
    /// Removes teams that are idle and no longer configured.
    pub fn retain_teams(&mut self, config: &Config) {
        self.teams.retain(|team, account| account.running > 0 || config.teams.contains_key(team));
        self.waiting.retain(|team| config.teams.contains_key(team));
    }

    /// Whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting.is_empty()
    }

    /// Number of requests of `team` that hold a slot.
    pub fn running_of(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |account| account.running)
    }

    /// Updates and returns whether `team` runs its share of the slots, `running_max`.
    pub fn update_over_share(&mut self, team: &TeamId, running_max: Option<u32>) -> bool {
        let account = self.teams.entry(team.clone()).or_default();
        account.over_share =
            running_max.is_some_and(|running_max| account.running >= running_max.max(1));
        account.over_share
    }

    /// Whether `team` is blocked by its upper limit.
    pub fn is_at_limit(&self, team: &TeamId) -> bool {
        let over_share = self.teams.get(team).is_some_and(|account| account.over_share);
        self.waiting.is_blocked(team) && !over_share
    }

    /// Records the start of a request of `team` and returns the slot time to charge, in seconds.
    pub fn record_start(&mut self, team: &TeamId) -> f64 {
        let cost_s = self.mean_service_time_s(team).unwrap_or(COST_DEFAULT_S);
        self.teams.entry(team.clone()).or_default().running += 1;
        self.running += 1;
        cost_s
    }

    /// Records the end of a request and corrects the charge of its team.
    pub fn record_end(&mut self, finished: &FinishedRequest<'_>) {
        let team = &finished.request.team;
        self.running -= 1;
        let account = self.teams.entry(team.clone()).or_default();
        account.running = account.running.saturating_sub(1);
        if finished.end_reason == EndReason::Completed {
            account.service_time.record(finished.held);
            self.service_time.record(finished.held);
        }
        let used_s = if finished.end_reason == EndReason::NotRun {
            0.0
        } else {
            finished.held.as_secs_f64()
        };
        self.waiting.charge(team, used_s - finished.cost_s);
    }

    /// Mean service time of `team`, or else of all teams, in seconds.
    fn mean_service_time_s(&self, team: &TeamId) -> Option<f64> {
        let of_team = self.teams.get(team).and_then(|account| account.service_time.mean_s());
        of_team.or(self.service_time.mean_s())
    }

    /// Mean service time of a request of `team`; zero if none was observed.
    pub fn expected_service_time(&self, team: &TeamId) -> Duration {
        Duration::try_from_secs_f64(self.mean_service_time_s(team).unwrap_or(0.0))
            .unwrap_or_default()
    }

    /// Expected wait of a request of `team` that arrives now: the number of requests served before
    /// it, divided by the rate at which slots become free. Those are estimated from the share of
    /// the team and from the length of the whole queue; the lower estimate counts. `None` if no
    /// request waits, none runs, or no service time was observed.
    pub fn expected_wait(&self, team: &TeamId, weight: f64) -> Option<Duration> {
        if self.waiting.is_empty() || self.running == 0 {
            return None;
        }
        let mean_service_time_s = self.service_time.mean_s()?;
        let ahead = self.waiting.team_len(team) as f64 + 1.0;
        if self.waiting.is_blocked(team) {
            let running = self.running_of(team).max(1);
            return Duration::try_from_secs_f64(ahead * mean_service_time_s / f64::from(running))
                .ok();
        }
        let rate = f64::from(self.running) / mean_service_time_s.max(f64::MIN_POSITIVE);
        let is_new_in_backlog = self.waiting.team_len(team) == 0;
        let total_weight =
            self.waiting.backlog_weight() + if is_new_in_backlog { weight } else { 0.0 };
        let by_share_s = ahead * total_weight / weight / rate;
        let by_queue_s = (self.waiting.len() as f64 + 1.0) / rate;
        Duration::try_from_secs_f64(by_share_s.min(by_queue_s)).ok()
    }

    /// Returns a refusal if the first request of `team` may not start. If other requests wait, a
    /// request that is expected to miss its deadline is refused in their favour.
    pub fn refusal(&self, team: &TeamId, config: &Config, now: Instant) -> Option<Problem> {
        let request = &self.waiting.first(team)?.request;
        let is_only_waiter = self.waiting.len() == 1;
        let end = if is_only_waiter { now } else { now + self.expected_service_time(team) };
        if request.deadline <= end {
            return Some(retry_later(DispatchCode::QueueTimeout, None));
        }
        let authorized = request.is_authorized(config);
        (!authorized).then(|| Problem::not_run(DispatchCode::InvalidKey))
    }

    /// Running and waiting requests by team.
    pub fn usage(&self, service: &ServiceId) -> Vec<TeamUsage> {
        let usage = |team: &TeamId, running, waiting| TeamUsage {
            service: service.clone(),
            team: team.clone(),
            running,
            waiting,
        };
        let with_account = self.teams.iter().map(|(team, account)| {
            usage(team, account.running, self.waiting.team_len(team) as u32)
        });
        let only_waiting =
            self.waiting.backlog().filter(|(team, _)| !self.teams.contains_key(*team));
        let only_waiting = only_waiting.map(|(team, waiting)| usage(team, 0, waiting as u32));
        with_account
            .chain(only_waiting)
            .filter(|usage| usage.running > 0 || usage.waiting > 0)
            .collect()
    }
}

/// Creates a refusal with the expected wait, or a default, as `Retry-After`.
pub fn retry_later(code: DispatchCode, expected: Option<Duration>) -> Problem {
    Problem::not_run(code).with_retry_after(expected.unwrap_or(RETRY_AFTER_DEFAULT))
}
