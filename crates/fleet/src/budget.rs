//! Availability budget of each service.
//!
//! An instance may be taken out of service if the instances that remain available, minus those in
//! the worst failure domain, are at least the service's floor. The worst failure domain is the one
//! with the most remaining instances. The floor is computed from instances by home pool, so that
//! moving instances away does not lower it.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use cassiafold_config::{InstanceId, ServiceId};

use crate::document::{FleetDocument, Placement};
use crate::domain::{DomainId, DomainIndex, DomainPosition};
use crate::view::View;

/// Budget of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Budget {
    /// Instances whose home is a pool of the service.
    pub home: usize,
    /// Minimum number of available instances.
    pub floor: usize,
    /// Instances available now.
    pub available: usize,
    /// Available instances by failure domain.
    domains: HashMap<DomainPosition, usize>,
}

/// Reason why an instance must not be taken out of service: the budget of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Service of the instance.
    pub service: ServiceId,
    /// Instances available now.
    pub available: usize,
    /// Minimum number of available instances.
    pub floor: usize,
    /// Instances held in reserve for a failure of the worst domain.
    pub reserve: usize,
    /// Failure domain with the most available instances.
    pub domain: Option<DomainId>,
}

impl fmt::Display for Shortage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (available, floor, reserve) = (self.available, self.floor, self.reserve);
        let domain = self.domain.as_deref().unwrap_or("none");
        write!(
            formatter,
            "{} has {available} available, floor {floor}, reserve {reserve} for {domain}",
            self.service
        )
    }
}

impl Budget {
    /// Available instances above the floor; negative if the service is below its floor.
    pub fn margin(&self) -> i64 {
        self.available as i64 - self.floor as i64
    }

    /// Maximum reserve: with all home instances available, one may always be taken out of service.
    fn reserve_max(&self) -> usize {
        self.home.saturating_sub(self.floor + 1)
    }

    /// Reserve for a failure of the worst domain once an instance in the domains `excluded` is out
    /// of service, and that domain.
    pub fn reserve(&self, excluded: &[DomainPosition]) -> (usize, Option<DomainPosition>) {
        let remaining = self
            .domains
            .iter()
            .map(|(position, count)| (count - usize::from(excluded.contains(position)), *position));
        let worst = remaining.max_by_key(|(count, position)| (*count, usize::MAX - position));
        let (count, position) =
            worst.map_or((0, None), |(count, position)| (count, Some(position)));
        (count.min(self.reserve_max()), position)
    }

    fn allows(&self, positions: &[DomainPosition]) -> bool {
        let (reserve, _) = self.reserve(positions);
        self.available > self.floor + reserve
    }
}

/// Budgets of all services in a planning round.
#[derive(Debug, Clone, Default)]
pub struct Budgets {
    services: BTreeMap<ServiceId, Budget>,
    index: DomainIndex,
}

impl Budgets {
    /// Computes the budgets of `document`, which may be newer than the one in `view`.
    pub fn new(view: &View<'_>, document: &FleetDocument, index: DomainIndex) -> Self {
        let mut services: BTreeMap<ServiceId, Budget> =
            view.config.services.keys().map(|id| (id.clone(), Budget::default())).collect();
        for (id, placement) in &document.placements {
            if let Some(budget) = home_service(view, placement).and_then(|id| services.get_mut(id))
            {
                budget.home += 1;
            }
            if !view.available(id, placement) {
                continue;
            }
            if let Some(budget) = view.service_of(placement).and_then(|id| services.get_mut(id)) {
                budget.add(index.positions(id));
            }
        }
        for (id, service) in &view.config.services {
            if let Some(budget) = services.get_mut(id) {
                budget.floor = service.floor.instances(budget.home);
            }
        }
        Self { services, index }
    }

    /// Budget of a service.
    pub fn get(&self, service: &ServiceId) -> Option<&Budget> {
        self.services.get(service)
    }

    /// Budgets of all services.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Budget)> {
        self.services.iter()
    }

    /// Failure domains of each instance.
    pub fn index(&self) -> &DomainIndex {
        &self.index
    }

    /// Checks whether an available instance of `service` may be taken out of service now.
    pub fn check(&self, service: &ServiceId, id: &InstanceId) -> Result<(), Shortage> {
        let Some(budget) = self.services.get(service) else {
            return Ok(());
        };
        let positions = self.index.positions(id);
        if budget.allows(positions) {
            return Ok(());
        }
        let (reserve, position) = budget.reserve(positions);
        Err(Shortage {
            service: service.clone(),
            available: budget.available,
            floor: budget.floor,
            reserve,
            domain: position.map(|position| self.index.domain_id(position).clone()),
        })
    }

    /// Subtracts an available instance from `service`.
    pub fn remove(&mut self, service: &ServiceId, id: &InstanceId) {
        let positions = self.index.positions(id);
        if let Some(budget) = self.services.get_mut(service) {
            budget.remove(positions);
        }
    }

    /// Adds an available instance to `service`.
    pub fn add(&mut self, service: &ServiceId, id: &InstanceId) {
        let positions = self.index.positions(id);
        if let Some(budget) = self.services.get_mut(service) {
            budget.add(positions);
        }
    }

    /// Maximum number of available instances of `service` in one failure domain of `id`.
    pub fn shared_domain_count(&self, service: &ServiceId, id: &InstanceId) -> usize {
        let Some(budget) = self.services.get(service) else {
            return 0;
        };
        let counts =
            self.index.positions(id).iter().filter_map(|position| budget.domains.get(position));
        counts.copied().max().unwrap_or(0)
    }
}

impl Budget {
    fn add(&mut self, positions: &[DomainPosition]) {
        self.available += 1;
        for position in positions {
            *self.domains.entry(*position).or_default() += 1;
        }
    }

    fn remove(&mut self, positions: &[DomainPosition]) {
        self.available = self.available.saturating_sub(1);
        for position in positions {
            if let Some(count) = self.domains.get_mut(position) {
                *count = count.saturating_sub(1);
            }
        }
    }
}

/// Service of the home pool; `None` for a spare pool.
pub fn home_service<'a>(view: &View<'a>, placement: &Placement) -> Option<&'a ServiceId> {
    view.config.service_of_pool(&placement.home)
}

#[cfg(test)]
mod tests;
