//! Symptoms of failing instances, from the attempts of the request path.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_dispatch::{AttemptResult, Observation};
use cassiafold_membership::usage::Symptom;
use tokio::sync::broadcast;
use tokio::time::Instant;

/// Failed connects in a row that make an instance unreachable.
const CONNECTS_FAILED_MIN: u32 = 3;
/// Silent attempts in a row that make an instance hang.
const SILENT_MIN: u32 = 2;
/// Failed answers in a row that make an instance fail everything.
const ANSWERS_FAILED_MIN: u32 = 5;
/// How long evidence counts without new evidence.
const EVIDENCE_KEPT: Duration = Duration::from_secs(180);

/// Failures of one instance since its last success.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    connects_failed: u32,
    silent: u32,
    answers_failed: u32,
    last: Instant,
}

impl Evidence {
    fn new(now: Instant) -> Self {
        Self { connects_failed: 0, silent: 0, answers_failed: 0, last: now }
    }

    fn symptom(&self) -> Option<Symptom> {
        if self.connects_failed >= CONNECTS_FAILED_MIN {
            Some(Symptom::Unreachable)
        } else if self.silent >= SILENT_MIN {
            Some(Symptom::Hanging)
        } else if self.answers_failed >= ANSWERS_FAILED_MIN {
            Some(Symptom::FailingAll)
        } else {
            None
        }
    }
}

/// Symptoms that this entry instance has seen. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Symptoms {
    evidence: Arc<Mutex<HashMap<InstanceId, Evidence>>>,
}

impl Symptoms {
    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Evidence>> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes the result of one attempt.
    pub fn note(&self, observation: &Observation) {
        let mut evidence = self.lock();
        let now = observation.at;
        let entry = evidence.entry(observation.instance.clone());
        match observation.result {
            AttemptResult::Ok => {
                evidence.remove(&observation.instance);
                return;
            }
            AttemptResult::Refused => return,
            AttemptResult::ConnectFailed => {
                entry.or_insert(Evidence::new(now)).connects_failed += 1;
            }
            AttemptResult::Silent => entry.or_insert(Evidence::new(now)).silent += 1,
            AttemptResult::ServerError | AttemptResult::Broken => {
                entry.or_insert(Evidence::new(now)).answers_failed += 1;
            }
        }
        if let Some(known) = evidence.get_mut(&observation.instance) {
            known.last = now;
        }
    }

    /// Forgets what was seen of an instance on which a step is in progress.
    pub fn forget(&self, id: &InstanceId) {
        self.lock().remove(id);
    }

    /// Instances with symptoms now.
    pub fn now(&self) -> BTreeMap<InstanceId, Symptom> {
        let mut evidence = self.lock();
        evidence.retain(|_, known| known.last.elapsed() < EVIDENCE_KEPT);
        let failing =
            evidence.iter().filter_map(|(id, known)| Some((id.clone(), known.symptom()?)));
        failing.collect()
    }

    /// Follows the attempts until their source has gone.
    pub async fn follow(self, mut observations: broadcast::Receiver<Observation>) {
        loop {
            match observations.recv().await {
                Ok(observation) => self.note(&observation),
                Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => return,
            }
        }
    }
}

#[cfg(test)]
mod tests;
