//! Separation of bad tasks from bad workers.
//!
//! A failure is evidence against both the task and the worker. A worker is suspected when tasks
//! that fail there succeed elsewhere more often than chance allows; a task is suspected when it
//! fails on workers that run other tasks well.

use std::collections::{HashMap, VecDeque};

use cassiafold_config::TeamId;

use crate::record::{KindId, WorkerId};

/// Runs kept for each worker.
const RUNS_KEPT: usize = 16;
/// Distinct kinds that must fail on a worker before it is suspected.
const FAILED_KINDS_MIN: usize = 3;
/// Runs that must be known of a worker before it is suspected.
const RUNS_MIN: usize = 5;
/// Share of failures at a worker from which it is suspected.
const FAILURE_SHARE_MIN: f64 = 0.8;
/// How many times worse than its peers a suspected worker has to be.
const PEER_FACTOR_MIN: f64 = 4.0;

/// One finished run as the comparison sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Team of the task.
    pub team: TeamId,
    /// Kind of the task.
    pub kind: KindId,
    /// Whether the run succeeded.
    pub succeeded: bool,
}

/// The last runs of each worker.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    workers: HashMap<WorkerId, VecDeque<Run>>,
}

impl OutlierDetector {
    /// Adds a finished run.
    pub fn record(&mut self, worker: &WorkerId, run: Run) {
        let runs = self.workers.entry(worker.clone()).or_default();
        if runs.len() == RUNS_KEPT {
            runs.pop_front();
        }
        runs.push_back(run);
    }

    /// Forgets a worker that was repaired or replaced.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Whether a worker fails what its peers run well.
    pub fn is_outlier(&self, worker: &WorkerId) -> bool {
        let Some(runs) = self.workers.get(worker) else { return false };
        if runs.len() < RUNS_MIN || failed_kinds(runs) < FAILED_KINDS_MIN {
            return false;
        }
        let own = failure_share(runs.iter());
        let peers = self.peer_failure_share(worker, runs);
        own >= FAILURE_SHARE_MIN && peers.is_some_and(|peers| own >= PEER_FACTOR_MIN * peers)
    }

    /// Failure share of the same kinds at all other workers; `None` without such runs.
    fn peer_failure_share(&self, worker: &WorkerId, runs: &VecDeque<Run>) -> Option<f64> {
        let same_kind =
            |run: &&Run| runs.iter().any(|own| own.team == run.team && own.kind == run.kind);
        let others = self.workers.iter().filter(|(id, _)| *id != worker);
        let peers: Vec<&Run> = others.flat_map(|(_, runs)| runs).filter(same_kind).collect();
        (!peers.is_empty()).then(|| failure_share(peers.iter().copied()))
    }
}

fn failed_kinds(runs: &VecDeque<Run>) -> usize {
    let mut kinds: Vec<(&TeamId, &KindId)> =
        runs.iter().filter(|run| !run.succeeded).map(|run| (&run.team, &run.kind)).collect();
    kinds.sort_unstable();
    kinds.dedup();
    kinds.len()
}

fn failure_share<'a>(runs: impl Iterator<Item = &'a Run>) -> f64 {
    let (mut failed, mut total) = (0_u32, 0_u32);
    for run in runs {
        total += 1;
        failed += u32::from(!run.succeeded);
    }
    f64::from(failed) / f64::from(total.max(1))
}

#[cfg(test)]
mod tests;
