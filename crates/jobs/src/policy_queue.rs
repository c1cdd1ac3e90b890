//! Calls to the placement policy, which handles one at a time in the order in which they come.

use std::time::Duration;

use cassiafold_platform::Moment;

use crate::clients::PolicyError;
use crate::cluster::PlacementPolicy;

/// Maximum number of open calls whose handling is short, so that the policy does not idle between
/// them.
const SHORT_CALLS_MAX: usize = 2;
/// Handling up to this time is short. A longer one makes the tickets of the next call old.
const SHORT_CALL_MAX: Duration = Duration::from_millis(100);
/// Maximum number of workers in one call.
const WORKERS_MAX: usize = 12;
/// Number of workers in one call that its handling time does not reduce.
const WORKERS_MIN: usize = 4;
/// Time that the workers in one call may add, if the call by itself takes less.
const WORKERS_TIME: Duration = Duration::from_millis(150);
/// Time beyond the stated one after which a call is given up.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Longest time that the handling of one call is taken to last.
const HANDLING_MAX: Duration = Duration::from_secs(60);
/// Longest timeout of a call.
const TIMEOUT_MAX: Duration = Duration::from_secs(120);
/// Number of unanswered calls in a row that double the timeout of the next one.
const DOUBLINGS_MAX: u32 = 2;
/// Shortest time without calls after the policy has refused one because too many wait.
const BUSY_DELAY: Duration = Duration::from_millis(500);
/// Delay before the next call after one without a response.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The calls that the policy has yet to handle, as far as its stated times tell.
#[derive(Debug, Default)]
pub struct PolicyQueue {
    /// Calls whose outcome is not known.
    open: usize,
    /// When the policy will have handled all calls, also those that were given up.
    idle_at: Moment,
    /// Calls in a row that got no response.
    unanswered: u32,
    /// Before this time no call is sent.
    paused_until: Moment,
}

impl PolicyQueue {
    /// Whether a call may be sent now.
    pub fn may_send(&self, policy: &PlacementPolicy, now: Moment) -> bool {
        let is_short = policy.handling_time(WORKERS_MIN) <= SHORT_CALL_MAX;
        let open_max = if is_short { SHORT_CALLS_MAX } else { 1 };
        self.open < open_max && now >= self.paused_until
    }

    /// Adds a call that names this number of workers, and returns its timeout.
    pub fn send(&mut self, policy: &PlacementPolicy, workers: usize, now: Moment) -> Duration {
        self.open += 1;
        let handling = policy.handling_time(workers).min(HANDLING_MAX);
        self.idle_at = self.idle_at.max(now).saturating_add(handling);
        let expected = self.idle_at.saturating_sub(now);
        let timeout = (expected * 2).saturating_add(TIMEOUT_MARGIN);
        timeout.saturating_mul(1 << self.unanswered.min(DOUBLINGS_MAX)).min(TIMEOUT_MAX)
    }

    /// Handles the outcome of a call.
    pub fn handle_outcome(&mut self, error: Option<&PolicyError>, now: Moment) {
        self.open = self.open.saturating_sub(1);
        match error {
            None => {
                self.unanswered = 0;
                // Calls before the answered one were handled before it.
                if self.open == 0 {
                    self.idle_at = now;
                }
            }
            Some(PolicyError::Busy) => {
                let is_idle_in = self.idle_at.saturating_sub(now);
                self.pause(is_idle_in.max(BUSY_DELAY).min(HANDLING_MAX), now);
            }
            Some(PolicyError::Unanswered) => {
                self.unanswered = self.unanswered.saturating_add(1);
                self.pause(RETRY_DELAY, now);
            }
        }
    }

    /// Sends no call for `length`, or until the end of a longer pause.
    fn pause(&mut self, length: Duration, now: Moment) {
        self.paused_until = self.paused_until.max(now.saturating_add(length));
    }
}

impl PlacementPolicy {
    /// Time for which it handles a call that names this number of workers.
    pub fn handling_time(&self, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        self.base.saturating_add(self.per_worker.saturating_mul(workers))
    }

    /// Maximum number of workers in one call: they may take as long as the call by itself, so that
    /// calls that wait are not held up by workers that may not be needed.
    pub fn workers_max(&self) -> usize {
        let time = self.base.max(WORKERS_TIME);
        let workers = time.as_nanos() / self.per_worker.as_nanos().max(1);
        usize::try_from(workers).unwrap_or(usize::MAX).clamp(WORKERS_MIN, WORKERS_MAX)
    }
}
