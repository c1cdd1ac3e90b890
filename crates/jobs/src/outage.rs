//! Logs when the store becomes unavailable and when it is available again, once each.

use cassiafold_event::emit;
use cassiafold_platform::StoreError;

use crate::event::JobsEvent;

/// Log of the store's outages, for one user of the store.
#[derive(Debug)]
pub struct OutageLog {
    user: &'static str,
    failures: u64,
}

impl OutageLog {
    /// A log without an outage, for a user of the store.
    pub fn new(user: &'static str) -> Self {
        Self { user, failures: 0 }
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, error: &StoreError) {
        if self.failures == 0 {
            emit!(JobsEvent::StoreLost, user = self.user, error = error);
        }
        self.failures += 1;
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        if self.failures > 0 {
            emit!(JobsEvent::StoreRegained, user = self.user, failures = self.failures);
        }
        self.failures = 0;
    }
}
