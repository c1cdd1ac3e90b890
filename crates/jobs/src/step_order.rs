//! Order in which waiting steps are placed.

use std::cmp::Ordering;
use std::time::Duration;

use cassiafold_platform::Moment;

use crate::spec::StepId;

/// A step with waiting tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Whether it is long-running.
    pub long_running: bool,
    /// Whether its team had exceeded its share when the job was accepted.
    pub exceeds_share: bool,
    /// When its job was accepted, or when a crash was last counted against one of its tasks.
    pub waiting_since: Moment,
    /// When it became ready.
    pub ready_since: Moment,
    /// Deadline of its job, by the latency objective.
    pub objective: Moment,
    /// Critical path of the job's remaining steps.
    pub critical_path_left: Duration,
    /// Estimated remaining work of its job, in core-seconds.
    pub work_left: f64,
}

impl WaitingStep {
    /// Whether the job can still meet its objective if the step starts now.
    pub fn can_meet_objective(&self, now: Moment) -> bool {
        now.saturating_add(self.critical_path_left) <= self.objective
    }

    /// Class of the step; lower classes are placed first.
    fn class(&self, now: Moment) -> (bool, u32, bool, bool) {
        (!self.long_running, self.priority, self.exceeds_share, !self.can_meet_objective(now))
    }
}

/// Compares two waiting steps; the one to place first is less.
///
/// Among jobs that can still meet their objective, those with the least remaining work come first,
/// so that most meet it while a queue asks for several times its pool. Jobs that can't meet it
/// follow by age, so that none starves. One under which a worker has crashed goes behind those that
/// have waited since, as it may crash each worker that it gets.
pub fn compare(one: &WaitingStep, other: &WaitingStep, now: Moment) -> Ordering {
    let (class, other_class) = (one.class(now), other.class(now));
    class.cmp(&other_class).then_with(|| {
        let can_meet_objective = !class.3;
        match can_meet_objective && !one.long_running {
            true => one.work_left.total_cmp(&other.work_left),
            false => one.waiting_since.cmp(&other.waiting_since),
        }
    })
}

/// Sorts steps into the order in which they are placed.
pub fn sort(waiting_steps: &mut [WaitingStep], now: Moment) {
    waiting_steps
        .sort_by(|one, other| compare(one, other, now).then_with(|| one.step.cmp(&other.step)));
}
