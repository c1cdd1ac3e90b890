//! Starts waiting tasks on workers and tracks the running ones.
//!
//! A round reads the stored tasks, updates the claimed ones from the state of their runs, and
//! places the waiting ones. Every start is preceded by a stored claim, and a worker starts a claim
//! at most once, so two schedulers can process one shard at the same time without running a task
//! twice.

use std::collections::HashMap;
use std::time::Duration;

use cassiafold_config::{TeamId, ZoneId};
use cassiafold_platform::Store;
use rand::RngExt;
use tokio::time::Instant;

use crate::estimate::{Estimate, Estimator};
use crate::placement::{Placement, Request, Worker, place};
use crate::record::{Claim, ClaimId, Outcome, Task, TaskState, WorkerId};
use crate::shard::{Loss, TaskKey};
use crate::task_store::{Clock, TaskStore, TaskStoreError};
use crate::transition::Transition;
use crate::worker::{RunState, StartRequest, WorkerClient, WorkerError, WorkerReport};

/// Time from the creation of a claim to its start deadline.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum difference between the clocks of a scheduler and a worker.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(2);

/// Admission control of task starts, by team and by availability zone.
pub trait Admission: Send + Sync {
    /// Returns whether one more task of the team may start while `running` are running.
    fn team_may_start(&self, team: &TeamId, running: usize) -> bool;

    /// Returns whether tasks may start in the zone.
    fn zone_open(&self, zone: &ZoneId) -> bool;

    /// Returns the fair-share weight of the team.
    fn share(&self, team: &TeamId) -> u32;
}

/// Starts and tracks tasks.
pub struct Scheduler<S, W, C> {
    task_store: TaskStore<S>,
    workers: W,
    clock: C,
    estimator: Estimator,
    /// Time since which the worker of a claim has been unreachable.
    unreachable_since: HashMap<ClaimId, Instant>,
    /// Reservations for claims that the reports of their workers do not include yet.
    reserved: HashMap<ClaimId, (WorkerId, Estimate)>,
}

impl<S: Store, W: WorkerClient, C: Clock> Scheduler<S, W, C> {
    /// Creates a scheduler without usage history.
    pub fn new(task_store: TaskStore<S>, workers: W, clock: C) -> Self {
        let (unreachable_since, reserved) = Default::default();
        Self {
            task_store,
            workers,
            clock,
            estimator: Estimator::default(),
            unreachable_since,
            reserved,
        }
    }

    /// Runs one round over the given shards.
    pub async fn run_round(
        &mut self,
        shards: impl Iterator<Item = usize>,
        admission: &impl Admission,
    ) -> Result<(), TaskStoreError> {
        let mut waiting = Vec::new();
        let mut running: HashMap<TeamId, usize> = HashMap::new();
        for shard in shards {
            for task in self.task_store.list(shard).await? {
                match &task.state {
                    TaskState::Waiting { not_before } if *not_before <= self.clock.now() => {
                        waiting.push(task);
                    }
                    TaskState::Claimed(claim) => {
                        *running.entry(task.team.clone()).or_default() += 1;
                        self.check_claim(&task, claim).await;
                    }
                    TaskState::Waiting { .. } | TaskState::Finished { .. } => {}
                }
            }
        }
        self.place_waiting(waiting, running, admission).await;
        Ok(())
    }

    /// Queries the run of a claim and updates the task accordingly.
    async fn check_claim(&mut self, task: &Task, claim: &Claim) {
        let state = self.workers.state(&claim.worker, &claim.id).await;
        if state.is_ok() {
            self.unreachable_since.remove(&claim.id);
        }
        match state {
            Ok(RunState::Running) if task.cancel_requested => {
                let _ = self.workers.stop(&claim.worker, &claim.id).await;
            }
            Ok(RunState::Running) => {}
            Ok(RunState::Succeeded { output, usage }) => {
                self.estimator.record(&task.team, &task.kind, usage);
                self.finish(task, claim, Outcome::Succeeded { output }).await;
            }
            Ok(RunState::Failed { reason }) => self.handle_failure(task, claim, reason).await,
            Ok(RunState::NotStarted) => self.handle_not_started(task, claim).await,
            Err(_) => self.handle_unreachable(task, claim).await,
        }
    }

    /// Retries a failed idempotent task, and ends any other one.
    async fn handle_failure(&mut self, task: &Task, claim: &Claim, reason: std::sync::Arc<str>) {
        if task.cancel_requested {
            self.finish(task, claim, Outcome::Cancelled).await;
        } else if task.idempotent {
            self.mark_lost(task, claim, Loss::MayHaveRun).await;
        } else {
            self.finish(task, claim, Outcome::Failed { reason }).await;
        }
    }

    /// Starts a claim that its worker has not started, or marks it lost after its start deadline.
    async fn handle_not_started(&mut self, task: &Task, claim: &Claim) {
        let now = self.clock.now();
        if now >= claim.start_before + CLOCK_SKEW_MAX {
            self.mark_lost(task, claim, Loss::NeverStarted).await;
        } else if now < claim.start_before && !task.cancel_requested {
            let _ = self.start(task, claim).await;
        }
    }

    /// Marks a claim lost once it can no longer start and its worker, out of contact for longer
    /// than its lease, has stopped all its tasks.
    async fn handle_unreachable(&mut self, task: &Task, claim: &Claim) {
        let now = Instant::now();
        let since = *self.unreachable_since.entry(claim.id.clone()).or_insert(now);
        let startable = self.clock.now() < claim.start_before + CLOCK_SKEW_MAX;
        if !startable && now >= since + self.workers.lease_duration() + CLOCK_SKEW_MAX {
            self.mark_lost(task, claim, Loss::MayHaveRun).await;
        }
    }

    async fn finish(&mut self, task: &Task, claim: &Claim, outcome: Outcome) {
        let transition = Transition::Finish { claim: claim.id.clone(), outcome };
        self.apply_end(task, claim, transition).await;
    }

    async fn mark_lost(&mut self, task: &Task, claim: &Claim, loss: Loss) {
        let transition = Transition::MarkLost { claim: claim.id.clone(), loss };
        self.apply_end(task, claim, transition).await;
    }

    async fn apply_end(&mut self, task: &Task, claim: &Claim, transition: Transition) {
        if self.task_store.apply(key(task), transition).await.is_ok() {
            self.unreachable_since.remove(&claim.id);
            self.reserved.remove(&claim.id);
        }
    }

    /// Places waiting tasks, urgent ones first, then by the number of running tasks of the team
    /// relative to its share.
    async fn place_waiting(
        &mut self,
        mut waiting: Vec<Task>,
        mut running: HashMap<TeamId, usize>,
        admission: &impl Admission,
    ) {
        let Ok(reports) = self.workers.list().await else { return };
        self.drop_counted_reservations(&reports);
        let mut workers: Vec<Worker> =
            reports.into_iter().map(|report| self.placement_worker(report)).collect();
        while let Some(index) = next_task(&waiting, &running, admission) {
            let task = waiting.swap_remove(index);
            if self.place_task(&task, &mut workers, admission).await {
                *running.entry(task.team.clone()).or_default() += 1;
            }
        }
    }

    async fn place_task(
        &mut self,
        task: &Task,
        workers: &mut [Worker],
        admission: &impl Admission,
    ) -> bool {
        let declared = Estimate { resources: task.declared, run_time: task.declared_run_time };
        let estimate = self.estimator.estimate(&task.team, &task.kind, declared);
        let request = Request { resources: estimate.resources, failed_on: &task.failed_on };
        match place(&request, workers, |zone| admission.zone_open(zone)) {
            Placement::On(index) => {
                let worker = &mut workers[index];
                worker.reserved = worker.reserved.plus(&estimate.resources);
                self.claim_and_start(task, worker.id.clone(), estimate).await
            }
            Placement::Unschedulable => {
                let _ = self.task_store.apply(key(task), Transition::EndUnschedulable).await;
                false
            }
            Placement::Wait => false,
        }
    }

    async fn claim_and_start(&mut self, task: &Task, worker: WorkerId, estimate: Estimate) -> bool {
        let id = format!("{:016x}", rand::rng().random::<u64>()).into();
        let claim = Claim { id, worker, start_before: self.clock.now() + START_TIMEOUT };
        if self.task_store.apply(key(task), Transition::Claim(claim.clone())).await.is_err() {
            return false;
        }
        self.reserved.insert(claim.id.clone(), (claim.worker.clone(), estimate));
        // Another scheduler may have started the claim, so a refusal is no failure; the next round
        // reads the state of the claim.
        let _ = self.start(task, &claim).await;
        true
    }

    async fn start(&self, task: &Task, claim: &Claim) -> Result<(), WorkerError> {
        let reserved = self.reserved.get(&claim.id);
        let start = StartRequest {
            worker: claim.worker.clone(),
            claim: claim.id.clone(),
            task: task.id.clone(),
            start_before: claim.start_before,
            resources: reserved.map_or(task.declared, |(_, estimate)| estimate.resources),
        };
        self.workers.start(start).await
    }

    /// Releases reservations of claims that the reports include.
    fn drop_counted_reservations(&mut self, reports: &[WorkerReport]) {
        for claim in reports.iter().flat_map(|report| &report.counted_claims) {
            self.reserved.remove(claim);
        }
    }

    fn placement_worker(&self, report: WorkerReport) -> Worker {
        let reserved = self.reserved.values().filter(|(worker, _)| *worker == report.id);
        Worker {
            reserved: reserved
                .fold(Default::default(), |sum, (_, estimate)| estimate.resources.plus(&sum)),
            id: report.id,
            zone: report.zone,
            rack: report.rack,
            capacity: report.capacity,
            reported: report.used,
            accepts: report.accepts,
        }
    }
}

fn key(task: &Task) -> TaskKey {
    (task.team.clone(), task.id.clone())
}

/// Returns the index of the next task to place: urgent tasks first, then the team with the fewest
/// running tasks relative to its share.
fn next_task(
    waiting: &[Task],
    running: &HashMap<TeamId, usize>,
    admission: &impl Admission,
) -> Option<usize> {
    let runs = |task: &Task| running.get(&task.team).copied().unwrap_or(0);
    let candidates = waiting
        .iter()
        .enumerate()
        .filter(|(_, task)| admission.team_may_start(&task.team, runs(task)));
    let load = |task: &Task| runs(task) as f64 / f64::from(admission.share(&task.team).max(1));
    let next = candidates.min_by(|(_, one), (_, other)| {
        other.urgent.cmp(&one.urgent).then(load(one).total_cmp(&load(other)))
    });
    next.map(|(index, _)| index)
}

#[cfg(test)]
mod tests;
