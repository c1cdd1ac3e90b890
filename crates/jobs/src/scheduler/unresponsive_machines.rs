//! Machines that are up but whose workers do not respond.

use std::collections::HashMap;
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_platform::Moment;

/// Machines that are up but whose workers do not respond, and since when.
#[derive(Debug, Default)]
pub(super) struct UnresponsiveMachines {
    unresponsive_since: HashMap<InstanceId, Moment>,
}

impl UnresponsiveMachines {
    /// Replaces the set of unresponsive machines; one that was in the set before keeps its time.
    pub(super) fn update(&mut self, unresponsive: Vec<InstanceId>, now: Moment) {
        let previous = std::mem::take(&mut self.unresponsive_since);
        let since = |id: InstanceId| {
            let since = previous.get(&id).copied().unwrap_or(now);
            (id, since)
        };
        self.unresponsive_since = unresponsive.into_iter().map(since).collect();
    }

    /// Returns whether a machine has been unresponsive for at least `length`.
    pub(super) fn is_unresponsive_for(&self, id: &str, length: Duration, now: Moment) -> bool {
        self.unresponsive_since.get(id).is_some_and(|since| now >= *since + length)
    }
}
