//! Final states of jobs, which do not change as long as the store keeps them.
//!
//! After that the id may be used again, for another job and by another team. So the store is asked
//! before an older state is used.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_platform::Moment;

use crate::record::{JobState, StateRecord};
use crate::spec::JobId;

/// Number of final states that are kept.
const FINAL_STATES_MAX: usize = 4_096;

/// Age up to which a state is used without asking the store: the time for which the owner keeps
/// states beyond what callers are promised.
const FINAL_STATE_AGE_MAX: Duration = Duration::from_secs(30);

/// A final state that was read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct FinalState {
    pub(super) state: JobState,
    /// Team of the job, if known.
    pub(super) team: Option<TeamId>,
    /// When it was read.
    read_at: Moment,
}

impl FinalState {
    /// Whether it may be used without asking the store.
    pub(super) fn is_recent(&self, now: Moment) -> bool {
        now.saturating_sub(self.read_at) < FINAL_STATE_AGE_MAX
    }
}

/// The latest final states.
#[derive(Debug, Default)]
pub(super) struct FinalStates {
    states: HashMap<JobId, FinalState>,
    /// The jobs of these states, oldest first.
    jobs: VecDeque<JobId>,
}

impl FinalStates {
    /// The final state of a job.
    pub(super) fn get(&self, id: JobId) -> Option<&FinalState> {
        self.states.get(&id)
    }

    /// Keeps the state of a job, if it is final, and nothing of an earlier job with its id.
    pub(super) fn update(&mut self, id: JobId, record: Option<&StateRecord>, now: Moment) {
        let Some(record) = record.filter(|record| record.state.is_final()) else {
            self.remove(id);
            return;
        };
        let state = FinalState { state: record.state, team: record.team.clone(), read_at: now };
        if self.states.insert(id, state).is_some() {
            return;
        }
        self.jobs.push_back(id);
        if self.jobs.len() > FINAL_STATES_MAX
            && let Some(oldest) = self.jobs.pop_front()
        {
            self.states.remove(&oldest);
        }
    }

    fn remove(&mut self, id: JobId) {
        if self.states.remove(&id).is_some() {
            self.jobs.retain(|other| *other != id);
        }
    }
}

#[cfg(test)]
mod tests;
