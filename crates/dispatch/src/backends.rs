//! Index of the backend servers that accept new requests, by service and zone.
//!
//! The index is updated on every change, so that selecting a backend server takes constant time
//! regardless of the number of instances.

use std::collections::HashMap;

use cassiafold_config::{Config, Instance, InstanceId, InstanceState, ServiceId, ZoneId};
use tokio::time::Instant;

use crate::backend::{
    Backend, BackendIndex, CandidateList, ListPosition, ServiceBackends, ZoneBackends,
};
use crate::dependencies::PeerLoad;
use crate::health::{AttemptResult, Health, HealthChange, RoutingState, ejected_max};

/// Index of the backend servers.
#[derive(Debug)]
pub struct Backends {
    pub(crate) home: ZoneId,
    pub(crate) backends: slab::Slab<Backend>,
    by_id: HashMap<InstanceId, BackendIndex>,
    pub(crate) services: HashMap<ServiceId, ServiceBackends>,
}

/// Values of the gauges of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceCounts {
    /// Instances that are live and in an open zone, ejected ones included.
    pub instances: usize,
    /// Instances ejected from routing or on trial.
    pub ejected: usize,
    /// Total number of slots of `instances`.
    pub slots: u32,
    /// Number of those slots held by this entry instance.
    pub running: u32,
}

impl Backends {
    /// Creates an empty index for an entry instance in zone `home`.
    pub fn new(home: ZoneId) -> Self {
        Self { home, backends: slab::Slab::new(), by_id: HashMap::new(), services: HashMap::new() }
    }

    /// Returns the backend server at `index`.
    pub fn get(&self, index: BackendIndex) -> &Backend {
        &self.backends[index]
    }

    /// Iterates over the backend servers that are listed or hold slots.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter().map(|(_, backend)| backend)
    }

    /// Whether the backend server accepts new requests of `service`: it is listed and live, and its
    /// zone is open. Load and health do not matter.
    pub fn accepts_requests(&self, index: BackendIndex, service: &ServiceId) -> bool {
        self.backends.get(index).is_some_and(|backend| backend.service.as_ref() == Some(service))
    }

    /// Whether any instance of `service` accepts new requests, even if all slots are taken.
    pub fn has_instances(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(|service| !service.members.is_empty())
    }

    /// Returns the gauge values of one service.
    pub fn counts(&self, service: &ServiceId) -> ServiceCounts {
        let Some(service_backends) = self.services.get(service) else {
            return ServiceCounts::default();
        };
        let members = service_backends.members.iter().map(|index| &self.backends[*index]);
        let mut counts = ServiceCounts {
            instances: service_backends.members.len(),
            ejected: service_backends.ejected,
            ..ServiceCounts::default()
        };
        for backend in members {
            counts.slots += backend.slots;
            counts.running += backend.running;
        }
        counts
    }

    /// Rebuilds the index from a configuration, a list of instances and the load of the other entry
    /// instances.
    pub fn rebuild(&mut self, config: &Config, instances: &[Instance], peers: &impl PeerLoad) {
        for (_, backend) in &mut self.backends {
            backend.listed = false;
            backend.service = None;
            backend.list_position = None;
        }
        self.services.clear();
        for instance in instances {
            let index = self.upsert(instance);
            let backend = &mut self.backends[index];
            backend.peers_running = peers.running(&instance.id);
            let Some((id, service)) = open_service_of(config, instance) else {
                continue;
            };
            backend.service = Some(id.clone());
            backend.slots = service.slots_per_instance;
        }
        self.remove_unlisted();
        let members: Vec<BackendIndex> = self.backends.iter().map(|(index, _)| index).collect();
        members.into_iter().for_each(|index| self.add_to_service(index));
    }

    fn upsert(&mut self, instance: &Instance) -> BackendIndex {
        if let Some(&index) = self.by_id.get(&instance.id) {
            let backend = &mut self.backends[index];
            if backend.instance.address != instance.address {
                backend.health = Health::default();
            }
            backend.instance = instance.clone();
            backend.listed = true;
            return index;
        }
        let index = self.backends.insert(Backend {
            instance: instance.clone(),
            health: Health::default(),
            running: 0,
            service: None,
            listed: true,
            peers_running: 0,
            slots: 0,
            full_until: None,
            list_position: None,
        });
        self.by_id.insert(instance.id.clone(), index);
        index
    }

    fn remove_unlisted(&mut self) {
        let by_id = &mut self.by_id;
        self.backends.retain(|_, backend| {
            let keep = backend.listed || backend.running > 0;
            if !keep {
                by_id.remove(&backend.instance.id);
            }
            keep
        });
    }

    fn add_to_service(&mut self, index: BackendIndex) {
        let backend = &self.backends[index];
        let Some(id) = backend.service.clone() else {
            return;
        };
        let service = self.services.entry(id).or_default();
        service.members.push(index);
        service.success_rate_sum += backend.health.success_rate();
        if backend.health.routing_state() != RoutingState::Healthy {
            service.ejected += 1;
        }
        if !service.zones.iter().any(|entry| entry.zone == backend.instance.zone) {
            let zone = backend.instance.zone.clone();
            let entry = ZoneBackends { zone, free: Vec::new() };
            if entry.zone == self.home {
                service.zones.insert(0, entry);
                self.update_list_positions(index);
            } else {
                service.zones.push(entry);
            }
        }
        self.update_list(index);
    }

    /// Updates the list positions of a service's instances after the home zone was inserted at the
    /// front.
    fn update_list_positions(&mut self, index: BackendIndex) {
        let Some(service) =
            self.backends[index].service.as_ref().and_then(|id| self.services.get(id))
        else {
            return;
        };
        for (zone, entry) in service.zones.iter().enumerate() {
            for (position, member) in entry.free.iter().enumerate() {
                let list = CandidateList::Free { zone };
                self.backends[*member].list_position = Some(ListPosition { list, position });
            }
        }
    }

    /// Updates the load that the other entry instances report.
    pub fn update_peers(&mut self, peers: &impl PeerLoad) {
        let indices: Vec<BackendIndex> = self.backends.iter().map(|(index, _)| index).collect();
        for index in indices {
            let backend = &mut self.backends[index];
            let running = peers.running(&backend.instance.id);
            if std::mem::replace(&mut backend.peers_running, running) != running {
                self.update_list(index);
            }
        }
    }

    /// Takes one slot of the backend server.
    pub fn acquire_slot(&mut self, index: BackendIndex) {
        self.backends[index].running += 1;
        self.update_list(index);
    }

    /// Releases one slot of the backend server. Removes the server if it is no longer listed and
    /// has no slot in use.
    pub fn release_slot(&mut self, index: BackendIndex) {
        let backend = &mut self.backends[index];
        backend.running -= 1;
        if !backend.listed && backend.running == 0 {
            let id = backend.instance.id.clone();
            self.backends.remove(index);
            self.by_id.remove(&id);
            return;
        }
        self.update_list(index);
    }

    /// Sends no requests before `until` to a backend server that refused one because it is full.
    pub fn back_off(&mut self, index: BackendIndex, until: Instant) {
        self.backends[index].full_until = Some(until);
        self.update_list(index);
    }

    /// Ends the backoffs of full and of ejected backend servers that have expired at `now`.
    pub fn end_backoffs(&mut self, now: Instant) {
        let indices: Vec<BackendIndex> = self.backends.iter().map(|(index, _)| index).collect();
        for index in indices {
            let backend = &mut self.backends[index];
            let backoff_over = backend.full_until.is_some_and(|until| until <= now);
            if backoff_over {
                backend.full_until = None;
            }
            if backend.health.end_backoff(now) || backoff_over {
                self.update_list(index);
            }
        }
    }

    /// Returns the earliest end of a backoff.
    pub fn next_backoff_end(&self) -> Option<Instant> {
        self.iter().filter_map(Backend::backoff_end).min()
    }

    /// Records the result of an attempt and returns the change of health.
    pub fn record(
        &mut self,
        index: BackendIndex,
        result: AttemptResult,
        now: Instant,
    ) -> HealthChange {
        let backend = &mut self.backends[index];
        let Some(service) = backend.service.as_ref().and_then(|id| self.services.get_mut(id))
        else {
            return backend.health.record(result, 1.0);
        };
        let pool_success_rate = service.success_rate_sum / service.members.len() as f64;
        let success_rate_before = backend.health.success_rate();
        let change = backend.health.record(result, pool_success_rate);
        let change = match change {
            HealthChange::Eject => eject(backend, service, now),
            HealthChange::Recovered => {
                service.ejected -= 1;
                HealthChange::Recovered
            }
            HealthChange::Unchanged => HealthChange::Unchanged,
        };
        service.success_rate_sum += backend.health.success_rate() - success_rate_before;
        if change != HealthChange::Unchanged {
            self.update_list(index);
        }
        change
    }

    /// Moves the backend server to the candidate list that matches its current state.
    fn update_list(&mut self, index: BackendIndex) {
        let backend = &self.backends[index];
        let Some(service) = backend.service.as_ref().and_then(|id| self.services.get_mut(id))
        else {
            return;
        };
        let target = backend.list(service);
        let list_position = backend.list_position;
        if list_position.map(|list_position| list_position.list) == target {
            return;
        }
        if let Some(list_position) = list_position {
            let list = service.list_mut(list_position.list);
            list.swap_remove(list_position.position);
            if let Some(&moved) = list.get(list_position.position) {
                self.backends[moved].list_position = Some(list_position);
            }
        }
        self.backends[index].list_position = target.map(|list| {
            let members = service.list_mut(list);
            members.push(index);
            ListPosition { list, position: members.len() - 1 }
        });
    }
}

fn eject(backend: &mut Backend, service: &mut ServiceBackends, now: Instant) -> HealthChange {
    let on_trial = matches!(backend.health.routing_state(), RoutingState::Trial { .. });
    if !on_trial {
        if service.ejected >= ejected_max(service.members.len()) {
            return HealthChange::Unchanged;
        }
        service.ejected += 1;
    }
    backend.health.eject(now);
    HealthChange::Eject
}

fn open_service_of<'a>(
    config: &'a Config,
    instance: &Instance,
) -> Option<(&'a ServiceId, &'a cassiafold_config::Service)> {
    if instance.state != InstanceState::Live || !config.zone_open(&instance.zone) {
        return None;
    }
    let id = config.service_of_pool(&instance.pool)?;
    Some((id, config.services.get(id)?))
}

#[cfg(test)]
mod tests;
