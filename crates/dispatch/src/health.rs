//! Health of one instance, derived from the results of attempts, and its ejection from routing.

use std::time::Duration;

use tokio::time::Instant;

/// Result of one attempt, as far as it concerns the health of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// A complete response other than a server error.
    Ok,
    /// A server error (5xx).
    ServerError,
    /// The instance refused the request without running it, or all its connections are in use.
    Refused,
    /// The connection could not be opened.
    ConnectFailed,
    /// No response on a new connection within the hedge delay.
    Silent,
    /// The connection broke before the response was complete.
    Broken,
}

impl AttemptResult {
    /// Failure points of the result; `None` if it does not affect the instance's health.
    fn failure_points(self) -> Option<u32> {
        match self {
            Self::Ok => Some(0),
            Self::Refused => None,
            Self::ServerError | Self::Broken => Some(1),
            Self::ConnectFailed | Self::Silent => Some(2),
        }
    }
}

/// Routing state of an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RoutingState {
    /// Receives requests.
    Healthy,
    /// Receives no requests before `until`.
    Ejected {
        /// End of the backoff.
        until: Instant,
    },
    /// Receives one request at a time until one succeeds. Before `prefer_idempotent_until`,
    /// requests that are not idempotent go to other instances if one has a free slot.
    Trial {
        /// End of the period in which idempotent requests are preferred; `None` when it has passed.
        prefer_idempotent_until: Option<Instant>,
    },
}

impl RoutingState {
    /// When the state ends by time.
    pub fn until(self) -> Option<Instant> {
        match self {
            Self::Healthy => None,
            Self::Ejected { until } => Some(until),
            Self::Trial { prefer_idempotent_until } => prefer_idempotent_until,
        }
    }
}

/// Failure points without a success in between at which an instance is ejected.
const FAILURE_POINTS_MAX: u32 = 5;
/// Number of results from which the success rate is compared with the pool's.
const SUCCESS_RATE_SAMPLES_MIN: u32 = 10;
/// An instance is ejected if its success rate is below this fraction of the pool's.
const RELATIVE_SUCCESS_RATE_MIN: f64 = 0.5;
/// Weight of the most recent result in the exponentially weighted success rate.
const SUCCESS_RATE_GAIN: f64 = 0.1;
const BACKOFF_FIRST: Duration = Duration::from_secs(1);
const BACKOFF_MAX: Duration = Duration::from_secs(60);
/// Period at the start of a trial in which idempotent requests are preferred.
const PREFER_IDEMPOTENT_PERIOD: Duration = Duration::from_secs(5);
/// Consecutive successes after which the backoff starts again at [`BACKOFF_FIRST`].
const EJECTIONS_RESET_SUCCESSES: u32 = 100;
/// Maximum fraction of a pool that is ejected at a time.
const EJECTED_SHARE_MAX: f64 = 1.0 / 3.0;

/// Maximum number of instances of a pool of `pool_size` that are ejected at a time.
pub fn ejected_max(pool_size: usize) -> usize {
    if pool_size < 2 {
        return 0;
    }
    ((pool_size as f64 * EJECTED_SHARE_MAX) as usize).max(1)
}

/// Health of one instance.
#[derive(Debug, Clone)]
pub struct Health {
    routing_state: RoutingState,
    success_rate: f64,
    samples: u32,
    failure_points: u32,
    successes: u32,
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            routing_state: RoutingState::Healthy,
            success_rate: 1.0,
            samples: 0,
            failure_points: 0,
            successes: 0,
            ejections: 0,
        }
    }
}

/// Change of health caused by a result.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthChange {
    /// The routing state does not change.
    Unchanged,
    /// The instance should be ejected, if the bound of its pool allows it.
    Eject,
    /// The trial succeeded and the instance is healthy again.
    Recovered,
}

impl Health {
    /// Returns the routing state.
    pub fn routing_state(&self) -> RoutingState {
        self.routing_state
    }

    /// Exponentially weighted fraction of successful attempts, from 0 to 1.
    pub fn success_rate(&self) -> f64 {
        self.success_rate
    }

    /// Records one result; `pool_success_rate` is the mean success rate of the instance's pool.
    pub fn record(&mut self, result: AttemptResult, pool_success_rate: f64) -> HealthChange {
        let Some(points) = result.failure_points() else {
            return HealthChange::Unchanged;
        };
        let success = points == 0;
        let target = if success { 1.0 } else { 0.0 };
        self.success_rate += SUCCESS_RATE_GAIN * (target - self.success_rate);
        self.samples = self.samples.saturating_add(1);
        if success { self.record_success() } else { self.record_failure(points, pool_success_rate) }
    }

    fn record_success(&mut self) -> HealthChange {
        self.failure_points = 0;
        self.successes = self.successes.saturating_add(1);
        if self.successes >= EJECTIONS_RESET_SUCCESSES {
            self.ejections = 0;
        }
        if !matches!(self.routing_state, RoutingState::Trial { .. }) {
            return HealthChange::Unchanged;
        }
        self.routing_state = RoutingState::Healthy;
        self.success_rate = 1.0;
        self.samples = 0;
        HealthChange::Recovered
    }

    fn record_failure(&mut self, points: u32, pool_success_rate: f64) -> HealthChange {
        self.successes = 0;
        self.failure_points = self.failure_points.saturating_add(points);
        let low_success_rate = self.samples >= SUCCESS_RATE_SAMPLES_MIN
            && self.success_rate < RELATIVE_SUCCESS_RATE_MIN * pool_success_rate;
        let eject = match self.routing_state {
            RoutingState::Healthy => self.failure_points >= FAILURE_POINTS_MAX || low_success_rate,
            RoutingState::Trial { .. } => true,
            RoutingState::Ejected { .. } => false,
        };
        if eject { HealthChange::Eject } else { HealthChange::Unchanged }
    }

    /// Ejects the instance and returns the end of its backoff, which doubles with each ejection.
    pub fn eject(&mut self, now: Instant) -> Instant {
        let doublings = self.ejections.min(16);
        let backoff = BACKOFF_FIRST.saturating_mul(1 << doublings).min(BACKOFF_MAX);
        let until = now + backoff;
        self.ejections += 1;
        self.routing_state = RoutingState::Ejected { until };
        until
    }

    /// Starts the trial when the backoff has ended, and ends the preference for idempotent requests
    /// when its period has passed. Returns whether the routing state changed.
    pub fn end_backoff(&mut self, now: Instant) -> bool {
        if self.routing_state.until().is_none_or(|until| until > now) {
            return false;
        }
        let prefer_idempotent_until = match self.routing_state {
            RoutingState::Ejected { .. } => Some(now + PREFER_IDEMPOTENT_PERIOD),
            RoutingState::Healthy | RoutingState::Trial { .. } => None,
        };
        self.routing_state = RoutingState::Trial { prefer_idempotent_until };
        true
    }
}

#[cfg(test)]
mod tests;
