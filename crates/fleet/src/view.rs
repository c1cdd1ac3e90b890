//! Inputs of a planning round.

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
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
}

/// Merged reports of all entry instances.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Observations {
    /// Lowest document number that the live entry instances have confirmed: none of them sends new
    /// work to an instance that has a step in a document up to this number.
    pub confirmed: DocumentNumber,
    /// Requests running on each instance; none on an instance without an entry.
    pub running: BTreeMap<InstanceId, u32>,
    /// Symptoms of failing instances. Entry instances discard the symptoms of an instance while a
    /// step is in progress on it.
    pub symptoms: BTreeMap<InstanceId, Symptom>,
    /// Demand by service.
    pub demand: BTreeMap<ServiceId, Demand>,
    /// Zones in which an entry instance may still route requests without having confirmed the
    /// document. No step starts there.
    pub unconfirmed_zones: BTreeSet<ZoneId>,
}

impl Observations {
    /// Number of requests running on `instance`.
    pub fn running(&self, instance: &InstanceId) -> u32 {
        self.running.get(instance).copied().unwrap_or(0)
    }
}

/// All inputs of a planning round.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Time of the round.
    pub now: SystemTime,
    /// Current configuration set by the operators.
    pub config: &'a Config,
    /// Fleet document that the round starts from.
    pub document: &'a FleetDocument,
    /// Instances that the platform lists.
    pub listed: &'a ListedInstances,
    /// Reports of the entry instances.
    pub observations: &'a Observations,
    /// Learned failure domains.
    pub domains: &'a LearnedDomains,
    /// Since when each service has had a shortage or a surplus.
    pub trends: &'a Trends,
    /// Reboot and trial requests that succeeded.
    pub completed: &'a CompletedRequests,
}

/// Reboot and trial requests that succeeded, kept in memory by the controller. If they are lost,
/// the requests are repeated; they are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CompletedRequests {
    /// Reboots that the platform has accepted.
    pub reboots: BTreeSet<RequestId>,
    /// Reboots after which a trial request has succeeded.
    pub trials: BTreeSet<RequestId>,
}

impl View<'_> {
    /// Whether an instance is listed, live and not failing, and its zone is in service. Ignores
    /// steps.
    pub fn healthy(&self, id: &InstanceId, placement: &Placement) -> bool {
        let listed = self.listed.get(id);
        placement.missing_since.is_none()
            && placement.failure.is_none()
            && !self.observations.symptoms.contains_key(id)
            && listed.is_some_and(|listed| {
                listed.state == InstanceState::Live && self.config.zone_open(&listed.zone)
            })
    }

    /// Whether an instance is healthy and has no step in progress.
    pub fn available(&self, id: &InstanceId, placement: &Placement) -> bool {
        placement.step.is_none() && self.healthy(id, placement)
    }

    /// Service of the current pool; `None` for a spare pool.
    pub fn service_of(&self, placement: &Placement) -> Option<&ServiceId> {
        self.config.service_of_pool(&placement.pool)
    }

    /// Whether steps may start in the zone of `listed`.
    pub fn zone_allows_steps(&self, listed: &ListedInstance) -> bool {
        self.config.zone_open(&listed.zone)
            && !self.observations.unconfirmed_zones.contains(&listed.zone)
    }
}
