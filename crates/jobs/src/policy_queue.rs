//! Calls to the placement policy, which handles one at a time in the order in which they come.

use std::time::Duration;

use cassiafold_platform::Moment;

use crate::clients::PolicyError;
use crate::cluster::PlacementPolicy;
use crate::spec::StepId;

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
/// Time beyond the expected one after which a call is late.
const LATE_MARGIN: Duration = Duration::from_secs(1);
/// Longest time that the handling of one call is taken to last.
const HANDLING_MAX: Duration = Duration::from_secs(60);
/// Time for which the response to a call is awaited, also while later ones are sent.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of unanswered calls in a row that double the time after which the next one is late.
const DOUBLINGS_MAX: usize = 2;
/// Shortest time without calls after the policy has refused one because too many wait.
const BUSY_DELAY: Duration = Duration::from_millis(500);
/// Delay before the next call after one without a response.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of a call.
pub type CallNumber = u64;

/// A call to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewCall {
    /// Its number.
    pub number: CallNumber,
    /// Time after which it is late, so that another one may be sent. Its response is used all the
    /// same.
    pub late_after: Duration,
    /// Time after which its response is no longer awaited.
    pub timeout: Duration,
}

/// A call whose outcome is not known.
#[derive(Debug)]
struct OpenCall {
    number: CallNumber,
    step: StepId,
    sent: Moment,
    /// Time that the policy states for it.
    stated: Duration,
    late_at: Moment,
}

/// The calls that the policy has yet to handle, as far as its times are known.
#[derive(Debug)]
pub struct PolicyQueue {
    /// Calls whose outcome is not known, in the order in which they were sent.
    open: Vec<OpenCall>,
    next_number: CallNumber,
    /// How many times the stated time the last call took, at least 1.
    slowdown: f64,
    /// When the last response came.
    last_response: Moment,
    /// When the policy will have handled all calls, also those that failed.
    idle_at: Moment,
    /// Calls that failed since the last response.
    failed: usize,
    /// Before this time no call is sent.
    paused_until: Moment,
}

impl Default for PolicyQueue {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            next_number: 0,
            slowdown: 1.0,
            last_response: Moment::ZERO,
            idle_at: Moment::ZERO,
            failed: 0,
            paused_until: Moment::ZERO,
        }
    }
}

impl PolicyQueue {
    /// Whether a call may be sent now.
    pub fn may_send(&self, policy: &PlacementPolicy, now: Moment) -> bool {
        let is_short = self.expected_time(policy, WORKERS_MIN) <= SHORT_CALL_MAX;
        let awaited_max = if is_short { SHORT_CALLS_MAX } else { 1 };
        let awaited = self.open.len() - self.late_calls(now);
        awaited < awaited_max && now >= self.paused_until
    }

    /// Whether a call about a step is open and not late.
    pub fn awaits(&self, step: StepId, now: Moment) -> bool {
        self.open.iter().any(|call| call.step == step && now < call.late_at)
    }

    /// Since when the last call about a step is late, if one is open and none is expected.
    pub fn late_since(&self, step: StepId, now: Moment) -> Option<Moment> {
        let late = self.open.iter().filter(|call| call.step == step && now >= call.late_at);
        late.map(|call| call.late_at).max()
    }

    /// Number of open calls that are late.
    pub fn late_calls(&self, now: Moment) -> usize {
        self.open.iter().filter(|call| now >= call.late_at).count()
    }

    /// Adds a call about a step that names this number of workers.
    pub fn send(
        &mut self,
        step: StepId,
        policy: &PlacementPolicy,
        workers: usize,
        now: Moment,
    ) -> NewCall {
        let stated = policy.handling_time(workers).min(HANDLING_MAX);
        self.idle_at = self.idle_at.max(now).saturating_add(self.handling_time(stated));
        let doublings = (self.failed + self.late_calls(now)).min(DOUBLINGS_MAX);
        let late_after =
            late_after(self.idle_at.saturating_sub(now)).saturating_mul(1 << doublings);
        let late_after = late_after.min(RESPONSE_TIMEOUT);
        let number = self.next_number;
        self.next_number += 1;
        let late_at = now.saturating_add(late_after);
        self.open.push(OpenCall { number, step, sent: now, stated, late_at });
        NewCall { number, late_after, timeout: RESPONSE_TIMEOUT }
    }

    /// Handles the outcome of a call.
    pub fn handle_outcome(&mut self, number: CallNumber, error: Option<&PolicyError>, now: Moment) {
        let Some(index) = self.open.iter().position(|call| call.number == number) else { return };
        let call = self.open.remove(index);
        match error {
            None => self.handle_response(&call, index, now),
            Some(PolicyError::Busy) => {
                let is_idle_in = self.idle_at.saturating_sub(now);
                self.pause(is_idle_in.max(BUSY_DELAY).min(HANDLING_MAX), now);
            }
            Some(PolicyError::Unanswered) => {
                self.failed = self.failed.saturating_add(1);
                self.pause(RETRY_DELAY, now);
            }
        }
    }

    /// Learns from the response to a call that was sent after `earlier` open ones how long the
    /// policy takes, and when the calls that are left are due.
    fn handle_response(&mut self, call: &OpenCall, earlier: usize, now: Moment) {
        let took = now.saturating_sub(call.sent.max(self.last_response));
        let stated_s = call.stated.as_secs_f64();
        let slowdown = if stated_s > 0.0 { took.as_secs_f64() / stated_s } else { 1.0 };
        let slowdown_max = HANDLING_MAX.as_secs_f64() / stated_s.max(f64::MIN_POSITIVE);
        self.slowdown = slowdown.min(slowdown_max).max(1.0);
        self.last_response = now;
        self.failed = 0;
        // Calls before the answered one were handled before it; their responses may be lost.
        self.idle_at = now;
        let slowdown = self.slowdown;
        let (earlier, later) = self.open.split_at_mut(earlier);
        for call in earlier {
            call.late_at = call.late_at.min(now);
        }
        for call in later {
            self.idle_at = self.idle_at.saturating_add(scaled(call.stated, slowdown));
            let late_at = now.saturating_add(late_after(self.idle_at.saturating_sub(now)));
            call.late_at = call.late_at.max(late_at);
        }
    }

    /// Time that the policy is expected to take for a call that names this number of workers.
    pub fn expected_time(&self, policy: &PlacementPolicy, workers: usize) -> Duration {
        self.handling_time(policy.handling_time(workers))
    }

    /// Sends no call for `length`, or until the end of a longer pause.
    fn pause(&mut self, length: Duration, now: Moment) {
        self.paused_until = self.paused_until.max(now.saturating_add(length));
    }

    /// Time that the policy is expected to take for a call for which it states `stated`.
    fn handling_time(&self, stated: Duration) -> Duration {
        scaled(stated, self.slowdown)
    }
}

/// Time after which a call is late that is expected to be handled after `expected`.
fn late_after(expected: Duration) -> Duration {
    expected.saturating_mul(2).saturating_add(LATE_MARGIN)
}

/// A stated time multiplied by how much longer the policy takes, [`HANDLING_MAX`] at most.
fn scaled(stated: Duration, slowdown: f64) -> Duration {
    let scaled = Duration::try_from_secs_f64(stated.as_secs_f64() * slowdown);
    scaled.unwrap_or(HANDLING_MAX).min(HANDLING_MAX)
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
