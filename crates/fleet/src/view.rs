//! What a planning round knows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use cassiafold_config::{Config, InstanceId, InstanceState, ServiceId, ZoneId};
use cassiafold_platform::ListedInstance;

use crate::demand::Trends;
use crate::document::{DocumentNumber, FleetDocument, Placement, RequestId, Symptom};
use crate::domain::LearnedDomains;

/// Instances as the platform lists them, by id.
pub type ListedInstances = BTreeMap<InstanceId, ListedInstance>;

/// Demand for a service over all entry instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in queues.
    pub waiting: u32,
}

/// What the entry instances report, merged over all of them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Observations {
    /// Lowest document number on which every live entry instance acts: none of them gives new
    /// work to an instance that has a step in a document up to this number.
    pub confirmed: DocumentNumber,
    /// Requests that run on each instance; an instance that is missing runs none.
    pub running: BTreeMap<InstanceId, u32>,
    /// Instances that fail, with what was seen. Entry instances forget what they saw of an
    /// instance while a step is in progress on it.
    pub symptoms: BTreeMap<InstanceId, Symptom>,
    /// Demand by service.
    pub demand: BTreeMap<ServiceId, Demand>,
    /// Zones whose entry instances may be at work without confirming. No step starts there.
    pub unconfirmed_zones: BTreeSet<ZoneId>,
}

impl Observations {
    /// Requests that run on `instance`.
    pub fn running(&self, instance: &InstanceId) -> u32 {
        self.running.get(instance).copied().unwrap_or(0)
    }
}

/// Everything that a planning round may look at.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Time of the round.
    pub now: SystemTime,
    /// Operators' configuration in force.
    pub config: &'a Config,
    /// Fleet document on which the round builds.
    pub document: &'a FleetDocument,
    /// Instances that the platform lists.
    pub listed: &'a ListedInstances,
    /// Reports of the entry instances.
    pub observations: &'a Observations,
    /// Learned failure domains.
    pub domains: &'a LearnedDomains,
    /// Since when each service has been short or quiet.
    pub trends: &'a Trends,
    /// What the platform and the instances have answered.
    pub completed: &'a CompletedRequests,
}

/// Answers to reboot and trial requests, kept by the controller. Losing them only repeats a
/// request that is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CompletedRequests {
    /// Reboots that the platform has carried out.
    pub reboots: BTreeSet<RequestId>,
    /// Reboots after which a trial request has succeeded.
    pub trials: BTreeSet<RequestId>,
}

impl View<'_> {
    /// Whether an instance is up and in an open zone, apart from steps.
    pub fn healthy(&self, id: &InstanceId, placement: &Placement) -> bool {
        let listed = self.listed.get(id);
        placement.missing_since.is_none()
            && placement.failure.is_none()
            && !self.observations.symptoms.contains_key(id)
            && listed.is_some_and(|listed| {
                listed.state == InstanceState::Live && self.config.zone_open(&listed.zone)
            })
    }

    /// Whether an instance serves its pool now.
    pub fn available(&self, id: &InstanceId, placement: &Placement) -> bool {
        placement.step.is_none() && self.healthy(id, placement)
    }

    /// Service that `placement` serves; `None` in the spare pool.
    pub fn service_of(&self, placement: &Placement) -> Option<&ServiceId> {
        self.config.service_of_pool(&placement.pool)
    }

    /// Whether steps may start in the zone of `listed`.
    pub fn zone_allows_steps(&self, listed: &ListedInstance) -> bool {
        self.config.zone_open(&listed.zone)
            && !self.observations.unconfirmed_zones.contains(&listed.zone)
    }
}
