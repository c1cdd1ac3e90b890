//! Selection of a backend server for one request.
//!
//! Two instances are drawn at random from those with a free slot in the home zone, or in all zones
//! if the home zone has none, and the one with the lower weighted load is selected. After a
//! failure, instances are tried from a random position on, and the first that shares no failure
//! domain with a failed one is selected. An instance on trial that the request may use has
//! priority, except after a failure.

use cassiafold_config::{Instance, ServiceId};
use rand::{Rng, RngExt};

use crate::backend::{BackendIndex, ServiceBackends, ZoneBackends};
use crate::backends::Backends;
use crate::dependencies::FailureDomainSource;
use crate::health::RoutingState;

/// Criteria for selecting a backend server.
#[derive(Debug, Clone, Copy)]
pub struct SelectionCriteria<'a> {
    /// Whether the request may run more than once. Only such requests have priority at the start
    /// of a trial.
    pub idempotent: bool,
    /// Instances that failed the request before; others are preferred.
    pub avoid: &'a [Instance],
}

impl Backends {
    /// Selects a backend server of `service`; `None` if none has a free slot.
    pub fn choose(
        &self,
        service: &ServiceId,
        criteria: SelectionCriteria<'_>,
        domains: &impl FailureDomainSource,
        rng: &mut impl Rng,
    ) -> Option<BackendIndex> {
        let service_backends = self.services.get(service)?;
        let trial = service_backends.trial.first().copied();
        if criteria.avoid.is_empty()
            && let Some(index) = self.choose_trial(service_backends, criteria.idempotent)
        {
            return Some(index);
        }
        if criteria.avoid.is_empty() {
            return self.choose_free(service_backends, rng).or(trial);
        }
        let mut best: Option<(u8, BackendIndex)> = None;
        for zone in service_backends.zones.iter().filter(|zone| !zone.free.is_empty()) {
            let start = rng.random_range(0..zone.free.len());
            for offset in 0..zone.free.len() {
                let index = zone.free[(start + offset) % zone.free.len()];
                let rank = self.failure_domain_overlap(index, criteria.avoid, domains);
                if rank == 0 {
                    return Some(index);
                }
                if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                    best = Some((rank, index));
                }
            }
        }
        best.map(|(_, index)| index).or(trial)
    }

    /// Returns a backend server on trial that has priority for the request.
    fn choose_trial(
        &self,
        service_backends: &ServiceBackends,
        idempotent: bool,
    ) -> Option<BackendIndex> {
        let open_to_all = RoutingState::Trial { prefer_idempotent_until: None };
        let is_open = |index: &&BackendIndex| {
            idempotent || self.get(**index).health.routing_state() == open_to_all
        };
        service_backends.trial.iter().find(is_open).copied()
    }

    /// Returns 0 if the instance shares no failure domain with an avoided instance, 1 if it shares
    /// one, and 2 if it is an avoided instance itself.
    fn failure_domain_overlap(
        &self,
        index: BackendIndex,
        avoid: &[Instance],
        domains: &impl FailureDomainSource,
    ) -> u8 {
        let instance = &self.backends[index].instance;
        let rank = |other: &Instance| {
            if other.id == instance.id { 2 } else { u8::from(domains.same_domain(instance, other)) }
        };
        avoid.iter().map(rank).max().unwrap_or(0)
    }

    /// Returns the less loaded of two random backend servers of the home zone, or of all zones if
    /// the home zone has no free slot.
    fn choose_free(
        &self,
        service_backends: &ServiceBackends,
        rng: &mut impl Rng,
    ) -> Option<BackendIndex> {
        let home_zone = service_backends.zones.first().filter(|zone| zone.zone == self.home);
        let zones = match home_zone {
            Some(home_zone) if !home_zone.free.is_empty() => &service_backends.zones[..1],
            _ => &service_backends.zones[..],
        };
        let total = zones.iter().map(|zone| zone.free.len()).sum();
        if total == 0 {
            return None;
        }
        let first = nth_free(zones, rng.random_range(0..total))?;
        let second = nth_free(zones, rng.random_range(0..total))?;
        let better = self.backends[first].weighted_load() <= self.backends[second].weighted_load();
        Some(if better { first } else { second })
    }
}

/// Returns the `nth` free backend server of `zones`, counted across zones.
fn nth_free(zones: &[ZoneBackends], mut nth: usize) -> Option<BackendIndex> {
    for zone in zones {
        match zone.free.get(nth) {
            Some(index) => return Some(*index),
            None => nth -= zone.free.len(),
        }
    }
    None
}
