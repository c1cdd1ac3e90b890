//! Which waiting step is served next.

use std::cmp::Ordering;
use std::time::Duration;

use cassiafold_platform::Moment;

use crate::spec::StepId;

/// A step with tasks that wait.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// Rank of its queue; 0 comes first.
    pub priority: u8,
    /// Whether it runs until it is cancelled.
    pub long_running: bool,
    /// Whether its team has sent more than its weight allows.
    pub exceeds_share: bool,
    /// When its job was accepted.
    pub accepted: Moment,
    /// When it could first start.
    pub ready_since: Moment,
    /// When its job stops being worth its full value.
    pub objective: Moment,
    /// Longest chain of work that its job has left.
    pub critical_path_left: Duration,
    /// Work that its job has left, in core-seconds.
    pub work_left: f64,
}

impl WaitingStep {
    /// Whether the job can still meet its objective if it starts now.
    fn is_hopeful(&self, now: Moment) -> bool {
        now + self.critical_path_left <= self.objective
    }

    /// Class of the contender; lower ones are served first.
    fn class(&self, now: Moment) -> (bool, u8, bool, bool) {
        (!self.long_running, self.priority, self.exceeds_share, !self.is_hopeful(now))
    }
}

/// Order of two contenders, the one to serve first being less.
///
/// Answers the load pattern of a queue that for some seconds asks for several times its pool: of
/// the jobs that can still meet their objective the smallest come first, so that most of them
/// meet it; those that cannot follow in order of age, so that none waits for ever.
pub fn compare(one: &WaitingStep, other: &WaitingStep, now: Moment) -> Ordering {
    let (class, other_class) = (one.class(now), other.class(now));
    class.cmp(&other_class).then_with(|| {
        let hopeful = !class.3;
        match hopeful && !one.long_running {
            true => one.work_left.total_cmp(&other.work_left),
            false => one.accepted.cmp(&other.accepted),
        }
    })
}

/// Puts contenders into the order in which they are served.
pub fn sort(waiting_steps: &mut [WaitingStep], now: Moment) {
    waiting_steps
        .sort_by(|one, other| compare(one, other, now).then_with(|| one.step.cmp(&other.step)));
}
