//! Final states of jobs, which cannot change and are therefore known without the store.

use std::collections::{HashMap, VecDeque};

use cassiafold_config::TeamId;

use crate::record::{JobState, StateRecord};
use crate::spec::JobId;

/// Number of final states that are kept.
const FINAL_STATES_MAX: usize = 4_096;

/// The latest final states.
#[derive(Debug, Default)]
pub(super) struct FinalStates {
    states: HashMap<JobId, (JobState, Option<TeamId>)>,
    /// The jobs of these states, oldest first.
    jobs: VecDeque<JobId>,
}

impl FinalStates {
    /// The final state of a job and the team of the job, if known.
    pub(super) fn get(&self, id: JobId) -> Option<(JobState, Option<TeamId>)> {
        self.states.get(&id).cloned()
    }

    /// Keeps the state of a job, if it is final.
    pub(super) fn insert(&mut self, id: JobId, record: &StateRecord) {
        if !record.state.is_final() {
            return;
        }
        if self.states.insert(id, (record.state, record.team.clone())).is_some() {
            return;
        }
        self.jobs.push_back(id);
        if self.jobs.len() > FINAL_STATES_MAX
            && let Some(oldest) = self.jobs.pop_front()
        {
            self.states.remove(&oldest);
        }
    }
}
