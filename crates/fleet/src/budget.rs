//! Availability budget of each service.
//!
//! An instance may be taken out of service when, with it gone, the instances that are still
//! available less those in the worst failure domain are at least the service's floor. The floor
//! counts instances by their home pool, so that moving instances away cannot lower it.

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
    /// Lowest number of available instances.
    pub floor: usize,
    /// Instances available now.
    pub available: usize,
    domains: HashMap<DomainPosition, usize>,
}

/// Why an instance may not be taken out of service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Service of the instance.
    pub service: ServiceId,
    /// Instances available now.
    pub available: usize,
    /// Lowest number of available instances.
    pub floor: usize,
    /// Instances kept for the failure of the worst domain.
    pub reserve: usize,
    /// The worst domain.
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
    /// Instances above the floor; negative when the budget is broken.
    pub fn margin(&self) -> i64 {
        self.available as i64 - self.floor as i64
    }

    /// Largest reserve that still lets one instance at a time be taken out at full strength.
    fn reserve_max(&self) -> usize {
        self.home.saturating_sub(self.floor + 1)
    }

    /// Instances to keep for the worst domain once an instance in `without` has gone.
    pub fn reserve(&self, without: &[DomainPosition]) -> (usize, Option<DomainPosition>) {
        let remaining = self
            .domains
            .iter()
            .map(|(slot, count)| (count - usize::from(without.contains(slot)), *slot));
        let worst = remaining.max_by_key(|(count, slot)| (*count, usize::MAX - slot));
        let (count, slot) = worst.map_or((0, None), |(count, slot)| (count, Some(slot)));
        (count.min(self.reserve_max()), slot)
    }

    fn allows(&self, slots: &[DomainPosition]) -> bool {
        let (reserve, _) = self.reserve(slots);
        self.available > self.floor + reserve
    }
}

/// Budgets of all services in one planning round.
#[derive(Debug, Clone, Default)]
pub struct Budgets {
    services: BTreeMap<ServiceId, Budget>,
    index: DomainIndex,
}

impl Budgets {
    /// Counts the budgets of `document`, which may be ahead of the one in `view`.
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
                budget.add(index.of(id));
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

    /// Failure domains by instance.
    pub fn index(&self) -> &DomainIndex {
        &self.index
    }

    /// Whether an available instance of `service` may be taken out of service now.
    pub fn check(&self, service: &ServiceId, id: &InstanceId) -> Result<(), Shortage> {
        let Some(budget) = self.services.get(service) else {
            return Ok(());
        };
        let slots = self.index.of(id);
        if budget.allows(slots) {
            return Ok(());
        }
        let (reserve, slot) = budget.reserve(slots);
        Err(Shortage {
            service: service.clone(),
            available: budget.available,
            floor: budget.floor,
            reserve,
            domain: slot.map(|slot| self.index.name(slot).clone()),
        })
    }

    /// Counts an instance as taken out of `service`.
    pub fn remove(&mut self, service: &ServiceId, id: &InstanceId) {
        let slots = self.index.of(id);
        if let Some(budget) = self.services.get_mut(service) {
            budget.remove(slots);
        }
    }

    /// Counts an instance as added to `service`.
    pub fn add(&mut self, service: &ServiceId, id: &InstanceId) {
        let slots = self.index.of(id);
        if let Some(budget) = self.services.get_mut(service) {
            budget.add(slots);
        }
    }

    /// Available instances of `service` that share a failure domain with `id`.
    pub fn shared_domain_count(&self, service: &ServiceId, id: &InstanceId) -> usize {
        let Some(budget) = self.services.get(service) else {
            return 0;
        };
        let counts = self.index.of(id).iter().filter_map(|slot| budget.domains.get(slot));
        counts.copied().max().unwrap_or(0)
    }
}

impl Budget {
    fn add(&mut self, slots: &[DomainPosition]) {
        self.available += 1;
        for slot in slots {
            *self.domains.entry(*slot).or_default() += 1;
        }
    }

    fn remove(&mut self, slots: &[DomainPosition]) {
        self.available = self.available.saturating_sub(1);
        for slot in slots {
            if let Some(count) = self.domains.get_mut(slot) {
                *count = count.saturating_sub(1);
            }
        }
    }
}

/// Service of the home pool.
pub fn home_service<'a>(view: &View<'a>, placement: &Placement) -> Option<&'a ServiceId> {
    view.config.service_of_pool(&placement.home)
}

#[cfg(test)]
mod tests;
