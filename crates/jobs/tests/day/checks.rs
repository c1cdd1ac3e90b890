//! Checks at the end of a day.

use cassiafold_jobs::api::JobStateResponse;
use cassiafold_jobs::record::{JobState, StateRecord, job_key, state_key};
use cassiafold_jobs::spec::TaskId;
use tokio::time::{Instant, sleep};

use super::jobs::{DayJob, Shape};
use super::site::Answer;
use super::{Day, LAST_QUERY_TIME, RETRY_AFTER};

impl Day {
    /// Checks that every job has run, or runs, that can.
    pub(super) async fn check_runs(&self) {
        let jobs: Vec<DayJob> = self.jobs.lock().expect("lock").values().cloned().collect();
        let end = Instant::now() + LAST_QUERY_TIME;
        for job in jobs {
            while let Some(what) = self.missing(&job).await {
                if Instant::now() >= end {
                    self.record_violation(format!("job {:016x} {:?}: {what}", job.id, job.shape));
                    break;
                }
                sleep(RETRY_AFTER / 5).await;
            }
        }
    }

    /// Checks that only of ended jobs the state is kept without the job.
    pub(super) fn check_states(&self) {
        let jobs = self.jobs.lock().expect("lock").clone();
        for id in jobs.keys() {
            let faults = self.store.faults();
            if faults.peek(&job_key(*id)).is_some() {
                continue;
            }
            let Some(record) = faults.peek(&state_key(*id)) else { continue };
            let state = StateRecord::try_from(&record.value[..]).map(|record| record.state);
            if !state.as_ref().is_ok_and(|state| state.is_final()) {
                self.record_violation(format!(
                    "job {id:016x}: its state {state:?} is kept without it"
                ));
            }
        }
    }

    async fn missing(&self, job: &DayJob) -> Option<String> {
        if !job.is_accepted {
            let is_stored = self.store.faults().peek(&job_key(job.id)).is_some();
            return (is_stored && !job.may_be_stored).then(|| "refused and stored".into());
        }
        let state = match self.ask(job.id, 0).await {
            Answer::Response(JobStateResponse::State(state)) => state,
            Answer::Response(JobStateResponse::NoSuchJob) if self.may_be_unknown(job.id) => {
                return None;
            }
            other => return Some(format!("{other:?}")),
        };
        let has_ended = state.is_final();
        if job.cancel_accepted {
            return (!has_ended).then(|| format!("{state:?} although it was cancelled"));
        }
        if job.shape != Shape::LongRunning {
            return (!has_ended).then(|| format!("{state:?} although all could run"));
        }
        if has_ended || state == JobState::Queued {
            return (job.cancel_sent.is_none())
                .then(|| format!("{state:?} although it runs until stopped"));
        }
        let list = self.workers.list.lock().expect("lock");
        let is_idle = |task: &TaskId| !list.iter().any(|worker| worker.runs.contains_key(task));
        let idle = job.tasks().find(is_idle);
        idle.map(|task| format!("{task} doesn't run"))
    }
}
