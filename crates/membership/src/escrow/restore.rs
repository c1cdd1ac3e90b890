//! A ledger that went back to an older state, because the store was restored from a snapshot.
//!
//! Reads that stay behind for longer than a stale read lasts show it. The holder then uses no more
//! than it has both before and after, and moves nothing until all that anyone started under the
//! lost state must have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_config::TeamId;
use tokio::time::Instant;

use super::ledger::{HolderId, Ledger};

/// Time for which reads stay behind until the ledger counts as restored.
const RESTORED_AFTER: Duration = Duration::from_secs(30);
/// Added to the wait after a restore: difference of clock rates, as a divisor.
const CLOCK_RATE_DIVISOR: u32 = 100;

/// Whether the ledger went back, and what the holder had before.
#[derive(Debug, Default)]
pub struct RestoreGuard {
    behind_since: Option<Instant>,
    before: Option<LostState>,
}

#[derive(Debug)]
struct LostState {
    tokens: BTreeMap<TeamId, u32>,
    until: Instant,
}

impl RestoreGuard {
    /// Notes whether a read was behind what is known. Returns whether the ledger went back.
    pub fn record_read(&mut self, behind: bool) -> bool {
        if !behind {
            self.behind_since = None;
            return false;
        }
        self.behind_since.get_or_insert_with(Instant::now).elapsed() >= RESTORED_AFTER
    }

    /// Begins the wait. `lost` is the state before; `use_max` is the time for which a holder that
    /// has not noticed may use it and its work may run.
    pub fn start_wait(&mut self, lost: &Ledger, me: &HolderId, use_max: Duration) {
        let position = lost.position(me);
        let teams = lost.teams.iter();
        let tokens = teams.map(|(team, slices)| {
            let tokens = position.map_or(0, |position| slices[position].tokens);
            (team.clone(), tokens)
        });
        let wait = use_max + RESTORED_AFTER;
        let until = Instant::now() + wait + wait / CLOCK_RATE_DIVISOR;
        self.before = Some(LostState { tokens: tokens.collect(), until });
        self.behind_since = None;
    }

    fn before(&self) -> Option<&LostState> {
        self.before.as_ref().filter(|before| Instant::now() < before.until)
    }

    /// Whether the wait lasts.
    pub fn is_active(&self) -> bool {
        self.before().is_some()
    }

    /// Bounds the tokens of a team while the wait lasts.
    pub fn bound(&self, team: &TeamId, tokens: u32) -> u32 {
        match self.before() {
            Some(before) => tokens.min(before.tokens.get(team).copied().unwrap_or(0)),
            None => tokens,
        }
    }
}
