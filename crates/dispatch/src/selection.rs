//! Choice of a backend server for one request.
//!
//! Two instances are drawn at random from those of the home zone with a free slot, and the one
//! with the lower load for its success rate is taken; from all zones when the home zone has none.
//! After a failure, the first one drawn that shares no failure domain with those that failed.

use cassiafold_config::{Instance, ServiceId};
use rand::{Rng, RngExt};

use crate::backend::{BackendIndex, ServiceBackends, ZoneBackends};
use crate::backends::Backends;
use crate::dependencies::FailureDomainSource;
use crate::health::RoutingState;

/// What a request asks of the choice.
#[derive(Debug, Clone, Copy)]
pub struct SelectionCriteria<'a> {
    /// Whether the request may run twice without harm; only then it serves as a first trial.
    pub idempotent: bool,
    /// Instances that failed the request before; others are preferred.
    pub avoid: &'a [Instance],
}

impl Backends {
    /// Chooses a backend server of `service` for a request; `None` when none has a free slot.
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
                if best.is_none_or(|(service_backends, _)| rank < service_backends) {
                    best = Some((rank, index));
                }
            }
        }
        best.map(|(_, index)| index).or(trial)
    }

    /// A backend server whose trial takes the request before all others.
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

    /// 0: shares no failure domain with an avoided instance; 1: shares one; 2: is one.
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

    /// The better of two drawn from the home zone, or else from the other zones together.
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

fn nth_free(zones: &[ZoneBackends], mut nth: usize) -> Option<BackendIndex> {
    for zone in zones {
        match zone.free.get(nth) {
            Some(index) => return Some(*index),
            None => nth -= zone.free.len(),
        }
    }
    None
}
