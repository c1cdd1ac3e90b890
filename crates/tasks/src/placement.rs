//! Choice of a worker for a task.

use std::collections::HashMap;

use cassiafold_config::{RackId, ZoneId};

use crate::record::{Resources, WorkerId};

/// Resources and state of a worker, as used for placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Declared rack of the worker.
    pub rack: RackId,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources in use according to its last report.
    pub reported: Resources,
    /// Estimated resources of tasks that its last report does not include yet.
    pub reserved: Resources,
    /// Whether the worker accepts new tasks.
    pub accepts: bool,
}

impl Worker {
    /// Returns the resources that are neither in use nor reserved.
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.reported).minus(&self.reserved)
    }
}

/// Requirements of a placement.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Resources to reserve.
    pub resources: Resources,
    /// Workers on which the task has failed.
    pub failed_on: &'a [WorkerId],
}

/// Result of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Place the task on the worker at this index.
    On(usize),
    /// No worker has enough free resources now.
    Wait,
    /// The task exceeds the total resources of every worker.
    Unschedulable,
}

/// Chooses the worker that has the least free resources left after the placement (best fit).
///
/// Workers in racks where the task has failed are chosen only if no other worker has enough free
/// resources. Workers on which it has failed, and zones for which `zone_open` returns false, are
/// excluded.
pub fn place(
    request: &Request<'_>,
    workers: &[Worker],
    zone_open: impl Fn(&ZoneId) -> bool,
) -> Placement {
    if !workers.iter().any(|worker| request.resources.fits(&worker.capacity)) {
        return Placement::Unschedulable;
    }
    let failed_racks = racks_of(request.failed_on, workers);
    let candidates = workers.iter().enumerate().filter(|(_, worker)| {
        worker.accepts
            && zone_open(&worker.zone)
            && !request.failed_on.contains(&worker.id)
            && request.resources.fits(&worker.free())
    });
    let best = candidates.min_by_key(|(index, worker)| {
        let rack_failed = failed_racks.contains_key(&(&worker.zone, &worker.rack));
        let remaining = worker.free().minus(&request.resources);
        (rack_failed, remaining.accelerators, free_per_mille(&remaining, &worker.capacity), *index)
    });
    best.map_or(Placement::Wait, |(index, _)| Placement::On(index))
}

type RackKey<'a> = (&'a ZoneId, &'a RackId);

fn racks_of<'a>(failed_on: &[WorkerId], workers: &'a [Worker]) -> HashMap<RackKey<'a>, ()> {
    let failed = workers.iter().filter(|worker| failed_on.contains(&worker.id));
    failed.map(|worker| ((&worker.zone, &worker.rack), ())).collect()
}

/// Returns the free processors and the free memory, each in parts per thousand of the capacity,
/// added up.
fn free_per_mille(free: &Resources, capacity: &Resources) -> u64 {
    let processors =
        u64::from(free.processors_milli) * 1_000 / u64::from(capacity.processors_milli.max(1));
    let memory = free.memory_bytes.saturating_mul(1_000) / capacity.memory_bytes.max(1);
    processors + memory
}

#[cfg(test)]
mod tests;
