//! One log line when a dependency is lost, and one when it is regained.

use cassiafold_event::emit;
use cassiafold_platform::StoreError;

use crate::event::JobsEvent;

/// Whether the store answers one of its users.
#[derive(Debug)]
pub struct OutageLog {
    user: &'static str,
    failures: u64,
}

impl OutageLog {
    /// No outage, for a user of the store.
    pub fn new(user: &'static str) -> Self {
        Self { user, failures: 0 }
    }

    /// Notes a failed call.
    pub fn record_failure(&mut self, error: &StoreError) {
        if self.failures == 0 {
            emit!(JobsEvent::StoreLost, user = self.user, error = error);
        }
        self.failures += 1;
    }

    /// Notes a call that succeeded.
    pub fn record_success(&mut self) {
        if self.failures > 0 {
            emit!(JobsEvent::StoreRegained, user = self.user, failures = self.failures);
        }
        self.failures = 0;
    }
}
