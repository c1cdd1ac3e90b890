//! Resolves writes of the ledger whose outcome is unknown.

use cassiafold_platform::{Store, WriteOutcome};
use tokio::time::Instant;

use super::{Keeper, LedgerCopy, PendingWrite};
use crate::escrow::ledger::LEDGER_KEY;
use crate::usage::UsageSource;

impl<S: Store, U: UsageSource> Keeper<S, U> {
    /// Determines whether a write took effect by sending the same compare-and-swap again. It can
    /// take effect at most once, and a conflict proves that the ledger has changed since the
    /// revision that the write is conditional on.
    pub(super) async fn resolve(&mut self, pending: PendingWrite) {
        let sent_at = Instant::now();
        match self.store.write(pending.write.clone()).await {
            Ok(WriteOutcome::Written(revision)) => {
                self.adopt(revision, pending.ledger);
                self.confirm(sent_at);
            }
            Ok(WriteOutcome::Conflict) => self.resolve_by_read(pending).await,
            Err(_) => self.pending = Some(pending),
        }
    }

    async fn resolve_by_read(&mut self, pending: PendingWrite) {
        self.last_read = Some(Instant::now());
        let base = self.copy.as_ref().map_or(0, LedgerCopy::revision);
        let record = self.store.get(LEDGER_KEY).await.ok().flatten();
        let Some(record) = record.filter(|record| record.revision > base) else {
            self.pending = Some(pending);
            return;
        };
        self.adopt_bytes(record.revision, &record.value);
        let Some(ledger) = self.ledger() else { return };
        let own_holder = ledger.position(&self.id).map(|index| &ledger.holders[index]);
        if own_holder.is_some_and(|holder| holder.writes == pending.writes) {
            self.confirm(pending.sent_at);
        }
    }
}
