//! Graceful leave of a holder.

use cassiafold_platform::Store;

use super::{ATTEMPTS_MAX, Attempt, Keeper};
use crate::escrow::ledger::{Ledger, Slice};
use crate::usage::UsageSource;

impl<S: Store, U: UsageSource> Keeper<S, U> {
    /// Retires the holder and returns every token that is not in use.
    pub(super) async fn leave(&mut self) {
        self.retired = true;
        for _ in 0..ATTEMPTS_MAX {
            if let Some(pending) = self.pending.take() {
                self.resolve(pending).await;
            }
            let Some(copy) = self.copy.as_ref().filter(|_| self.pending.is_none()) else { return };
            let Some(me) = copy.ledger.position(&self.id) else { return };
            let ledger = self.release_idle(copy.ledger.clone(), me);
            let Some(pending) = self.pending_write(copy.compare, ledger) else { return };
            match self.attempt(pending).await {
                Attempt::Done if self.pending.is_none() => return,
                Attempt::Done => {}
                Attempt::Conflict => self.read().await,
            }
        }
    }

    fn release_idle(&self, mut ledger: Ledger, me: usize) -> Ledger {
        let mut remaining = 0;
        for (team, slices) in &mut ledger.teams {
            let in_use = self.escrow.set_usable(team, 0);
            slices[me] = Slice { tokens: slices[me].tokens.min(in_use), want: 0 };
            remaining += slices[me].tokens;
        }
        ledger.holders[me].retired = true;
        if remaining == 0 {
            ledger.remove(me);
        }
        ledger
    }
}
