//! Detects symptoms of failing instances from the attempts of the request path.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_dispatch::{AttemptResult, Observation};
use cassiafold_membership::usage::Symptom;
use tokio::sync::broadcast;
use tokio::time::Instant;

/// Consecutive failed connects after which an instance counts as unreachable.
const FAILED_CONNECTS_MIN: u32 = 3;
/// Consecutive attempts without a response after which an instance counts as hanging.
const UNANSWERED_MIN: u32 = 2;
/// Consecutive failed responses after which an instance counts as failing all requests.
const FAILED_RESPONSES_MIN: u32 = 5;
/// Time after the last failure at which the failures of an instance expire.
const FAILURES_TTL: Duration = Duration::from_secs(180);

/// Failures of one instance since its last success.
#[derive(Debug, Clone, Copy)]
struct FailureCounts {
    failed_connects: u32,
    unanswered: u32,
    failed_responses: u32,
    last_failure: Instant,
}

impl FailureCounts {
    fn new(now: Instant) -> Self {
        Self { failed_connects: 0, unanswered: 0, failed_responses: 0, last_failure: now }
    }

    fn symptom(&self) -> Option<Symptom> {
        if self.failed_connects >= FAILED_CONNECTS_MIN {
            Some(Symptom::Unreachable)
        } else if self.unanswered >= UNANSWERED_MIN {
            Some(Symptom::Hanging)
        } else if self.failed_responses >= FAILED_RESPONSES_MIN {
            Some(Symptom::FailingAll)
        } else {
            None
        }
    }
}

/// Symptoms that this entry instance has detected. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct Symptoms {
    failures: Arc<Mutex<HashMap<InstanceId, FailureCounts>>>,
}

impl Symptoms {
    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, FailureCounts>> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the result of one attempt.
    pub fn record(&self, observation: &Observation) {
        let mut failures = self.lock();
        let now = observation.at;
        let entry = failures.entry(observation.instance.clone());
        match observation.result {
            AttemptResult::Ok => {
                failures.remove(&observation.instance);
                return;
            }
            AttemptResult::Refused => return,
            AttemptResult::ConnectFailed => {
                entry.or_insert(FailureCounts::new(now)).failed_connects += 1;
            }
            AttemptResult::Silent => entry.or_insert(FailureCounts::new(now)).unanswered += 1,
            AttemptResult::ServerError | AttemptResult::Broken => {
                entry.or_insert(FailureCounts::new(now)).failed_responses += 1;
            }
        }
        if let Some(counts) = failures.get_mut(&observation.instance) {
            counts.last_failure = now;
        }
    }

    /// Clears the failures of an instance on which a step is in progress.
    pub fn clear(&self, id: &InstanceId) {
        self.lock().remove(id);
    }

    /// Returns the instances that have symptoms now.
    pub fn current(&self) -> BTreeMap<InstanceId, Symptom> {
        let mut failures = self.lock();
        failures.retain(|_, counts| counts.last_failure.elapsed() < FAILURES_TTL);
        let failing =
            failures.iter().filter_map(|(id, counts)| Some((id.clone(), counts.symptom()?)));
        failing.collect()
    }

    /// Records attempts until their channel is closed.
    pub async fn run_updates(self, mut observations: broadcast::Receiver<Observation>) {
        loop {
            match observations.recv().await {
                Ok(observation) => self.record(&observation),
                Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => return,
            }
        }
    }
}

#[cfg(test)]
mod tests;
