//! Failure domains of each instance, numbered for fast counting.

use std::collections::HashMap;

use cassiafold_config::InstanceId;

use crate::domain::{DomainId, LearnedDomains, rack_domain};
use crate::view::ListedInstances;

/// Position of a failure domain in a [`DomainIndex`].
pub type DomainPosition = usize;

/// Failure domains of each listed instance: its declared rack and the suspected groups.
#[derive(Debug, Clone, Default)]
pub struct DomainIndex {
    names: Vec<DomainId>,
    slots: HashMap<InstanceId, Vec<DomainPosition>>,
}

impl DomainIndex {
    /// Numbers the domains of all listed instances.
    pub fn new(listed: &ListedInstances, domains: &LearnedDomains) -> Self {
        let mut index = Self::default();
        let mut racks = HashMap::new();
        for (id, instance) in listed {
            let slot = *racks.entry((&instance.zone, &instance.rack)).or_insert_with(|| {
                index.names.push(rack_domain(&instance.zone, &instance.rack));
                index.names.len() - 1
            });
            index.slots.insert(id.clone(), vec![slot]);
        }
        for group in domains.suspected() {
            let slot = index.names.len();
            index.names.push(group.domain_id());
            for id in group.members.keys() {
                if let Some(slots) = index.slots.get_mut(id) {
                    slots.push(slot);
                }
            }
        }
        index
    }

    /// Domains of an instance; none when it is not listed.
    pub fn of(&self, id: &InstanceId) -> &[DomainPosition] {
        self.slots.get(id).map_or(&[], Vec::as_slice)
    }

    /// Name of a domain.
    pub fn name(&self, slot: DomainPosition) -> &DomainId {
        &self.names[slot]
    }

    /// Number of domains.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is no domain.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
