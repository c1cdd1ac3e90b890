//! Machines that are up but whose workers do not respond.

use std::collections::HashMap;
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_platform::Moment;

/// Machines that are up but whose workers do not respond, and since when.
#[derive(Debug, Default)]
pub(super) struct SilentMachines {
    silent_since: HashMap<InstanceId, Moment>,
}

impl SilentMachines {
    /// Replaces the set of silent machines; a machine that was silent before keeps its time.
    pub(super) fn update(&mut self, silent: Vec<InstanceId>, now: Moment) {
        let previous = std::mem::take(&mut self.silent_since);
        let since = |id: InstanceId| {
            let since = previous.get(&id).copied().unwrap_or(now);
            (id, since)
        };
        self.silent_since = silent.into_iter().map(since).collect();
    }

    /// Returns whether a machine has been silent for at least `length`.
    pub(super) fn is_silent_for(&self, id: &str, length: Duration, now: Moment) -> bool {
        self.silent_since.get(id).is_some_and(|since| now >= *since + length)
    }
}
