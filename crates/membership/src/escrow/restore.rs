//! Handles a ledger that went back to an older state because the store was restored from a
//! snapshot.
//!
//! The ledger counts as restored when reads return an older revision for longer than stale reads
//! last. The holder then uses at most the smaller of its tokens in the lost and in the restored
//! state, and transfers no tokens until all work that any holder may have started under the lost
//! state must have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_config::TeamId;
use tokio::time::Instant;

use super::ledger::{HolderId, Ledger};

/// Time for which reads must return an older revision before the ledger counts as restored.
const RESTORED_AFTER: Duration = Duration::from_secs(30);
/// Allowance for different clock rates, added to the wait after a restore, as a divisor of it.
const CLOCK_RATE_DIVISOR: u32 = 100;

/// Detects a restored ledger and keeps the tokens that the holder had before.
#[derive(Debug, Default)]
pub struct RestoreGuard {
    behind_since: Option<Instant>,
    lost_state: Option<LostState>,
}

#[derive(Debug)]
struct LostState {
    tokens: BTreeMap<TeamId, u32>,
    wait_ends_at: Instant,
}

impl RestoreGuard {
    /// Records whether a read returned an older revision than a known one. Returns whether the
    /// ledger counts as restored.
    pub fn record_read(&mut self, behind: bool) -> bool {
        if !behind {
            self.behind_since = None;
            return false;
        }
        self.behind_since.get_or_insert_with(Instant::now).elapsed() >= RESTORED_AFTER
    }

    /// Starts the wait. `lost` is the state before the restore; `use_max` is the time for which a
    /// holder that has not detected the restore may use that state, plus the time for which the
    /// work that it starts may run.
    pub fn start_wait(&mut self, lost: &Ledger, me: &HolderId, use_max: Duration) {
        let position = lost.position(me);
        let teams = lost.teams.iter();
        let tokens = teams.map(|(team, slices)| {
            let tokens = position.map_or(0, |position| slices[position].tokens);
            (team.clone(), tokens)
        });
        let wait = use_max + RESTORED_AFTER;
        let wait_ends_at = Instant::now() + wait + wait / CLOCK_RATE_DIVISOR;
        self.lost_state = Some(LostState { tokens: tokens.collect(), wait_ends_at });
        self.behind_since = None;
    }

    fn lost_state(&self) -> Option<&LostState> {
        self.lost_state.as_ref().filter(|lost_state| Instant::now() < lost_state.wait_ends_at)
    }

    /// Returns whether the wait is in progress.
    pub fn is_active(&self) -> bool {
        self.lost_state().is_some()
    }

    /// Limits the tokens of a team during the wait to those before the restore.
    pub fn limit_tokens(&self, team: &TeamId, tokens: u32) -> u32 {
        match self.lost_state() {
            Some(lost_state) => tokens.min(lost_state.tokens.get(team).copied().unwrap_or(0)),
            None => tokens,
        }
    }
}
