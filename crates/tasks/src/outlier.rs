//! Detection of workers that fail more runs than their peers.
//!
//! A failed run can be the fault of the task or of the worker. A worker is an outlier if most of
//! its last runs failed, with tasks of several kinds, while tasks of the same kinds succeed far
//! more often on other workers. A task that fails on every worker makes no worker an outlier.

use std::collections::{HashMap, VecDeque};

use cassiafold_config::TeamId;

use crate::record::{KindId, WorkerId};

/// Number of last runs kept for each worker.
const RUNS_KEPT: usize = 16;
/// Minimum number of distinct kinds with failures on an outlier.
const FAILED_KINDS_MIN: usize = 3;
/// Minimum number of known runs of an outlier.
const RUNS_MIN: usize = 5;
/// Minimum share of failed runs of an outlier.
const FAILURE_SHARE_MIN: f64 = 0.8;
/// Minimum ratio of the failure share of an outlier to that of its peers.
const PEER_FACTOR_MIN: f64 = 4.0;

/// One finished run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Team of the task.
    pub team: TeamId,
    /// Kind of the task.
    pub kind: KindId,
    /// Whether the run succeeded.
    pub succeeded: bool,
}

/// Detects outliers from the last runs of each worker.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    workers: HashMap<WorkerId, VecDeque<Run>>,
}

impl OutlierDetector {
    /// Records a finished run.
    pub fn record(&mut self, worker: &WorkerId, run: Run) {
        let runs = self.workers.entry(worker.clone()).or_default();
        if runs.len() == RUNS_KEPT {
            runs.pop_front();
        }
        runs.push_back(run);
    }

    /// Discards the runs of a worker that was repaired or replaced.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Returns whether a worker fails runs of kinds that succeed on its peers.
    pub fn is_outlier(&self, worker: &WorkerId) -> bool {
        let Some(runs) = self.workers.get(worker) else { return false };
        if runs.len() < RUNS_MIN || failed_kinds(runs) < FAILED_KINDS_MIN {
            return false;
        }
        let own_share = failure_share(runs.iter());
        let peer_share = self.peer_failure_share(worker, runs);
        own_share >= FAILURE_SHARE_MIN
            && peer_share.is_some_and(|peers| own_share >= PEER_FACTOR_MIN * peers)
    }

    /// Returns the failure share of the same kinds on all other workers, or `None` without such
    /// runs.
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
