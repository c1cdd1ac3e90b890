//! Choice of a worker for a task.

use std::collections::HashMap;

use cassiafold_config::{RackId, ZoneId};

use crate::record::{Resources, WorkerId};

/// A worker as the placement sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Declared rack of the worker.
    pub rack: RackId,
    /// All resources of the worker.
    pub capacity: Resources,
    /// Resources in use by its last report.
    pub reported: Resources,
    /// Estimates of tasks placed since its last report.
    pub reserved: Resources,
    /// Whether the worker takes new tasks.
    pub accepts: bool,
}

impl Worker {
    /// Resources that are neither in use nor reserved.
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.reported).minus(&self.reserved)
    }
}

/// What a placement has to respect.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Resources to reserve.
    pub resources: Resources,
    /// Workers on which the task has failed.
    pub failed_on: &'a [WorkerId],
}

/// Answer to a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Place the task on the worker at this index.
    On(usize),
    /// No worker has room now.
    Wait,
    /// No worker that could be had is large enough.
    Unschedulable,
}

/// Chooses the worker on which the task leaves least room.
///
/// Workers in racks where the task failed are taken only when no other one has room.
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
        let left = worker.free().minus(&request.resources);
        (rack_failed, left.accelerators, free_per_mille(&left, &worker.capacity), *index)
    });
    best.map_or(Placement::Wait, |(index, _)| Placement::On(index))
}

type RackKey<'a> = (&'a ZoneId, &'a RackId);

fn racks_of<'a>(failed_on: &[WorkerId], workers: &'a [Worker]) -> HashMap<RackKey<'a>, ()> {
    let failed = workers.iter().filter(|worker| failed_on.contains(&worker.id));
    failed.map(|worker| ((&worker.zone, &worker.rack), ())).collect()
}

/// Parts per thousand of a worker left free, processors and memory added.
fn free_per_mille(left: &Resources, capacity: &Resources) -> u64 {
    let processors =
        u64::from(left.processors_milli) * 1_000 / u64::from(capacity.processors_milli.max(1));
    let memory = left.memory_bytes.saturating_mul(1_000) / capacity.memory_bytes.max(1);
    processors + memory
}

#[cfg(test)]
mod tests;
