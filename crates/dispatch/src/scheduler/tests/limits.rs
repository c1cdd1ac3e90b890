//! Limit source for tests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use cassiafold_config::TeamId;
use tokio::sync::watch;

use crate::limit::{LimitSource, never};

/// Upper limits by team, with the number of permits in use.
#[derive(Debug, Clone, Default)]
pub(super) struct Limits {
    pub(super) state: Arc<Mutex<BTreeMap<TeamId, (u32, u32)>>>,
}

/// Permit for one request of a team, released on drop.
#[derive(Debug)]
pub(super) struct Permit {
    team: TeamId,
    state: Arc<Mutex<BTreeMap<TeamId, (u32, u32)>>>,
}

impl Limits {
    pub(super) fn set(&self, team: &str, limit: u32) {
        self.state.lock().unwrap().entry(team.into()).or_default().1 = limit;
    }

    pub(super) fn limit(&self, team: &str) -> u32 {
        self.state.lock().unwrap().get(team).map_or(0, |(_, limit)| *limit)
    }
}

impl LimitSource for Limits {
    type Permit = Permit;

    fn try_acquire(&self, team: &TeamId) -> Option<Permit> {
        let mut state = self.state.lock().unwrap();
        let (running, limit) = state.get_mut(team)?;
        if *running >= *limit {
            return None;
        }
        *running += 1;
        Some(Permit { team: team.clone(), state: self.state.clone() })
    }

    fn changes(&self) -> watch::Receiver<()> {
        never()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Ok(mut state) = self.state.lock() {
            state.entry(self.team.clone()).or_default().0 -= 1;
        }
    }
}
