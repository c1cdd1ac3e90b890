//! Index of the failure domains of each instance, with small integers for fast counting.

use std::collections::HashMap;

use cassiafold_config::InstanceId;

use crate::domain::{DomainId, LearnedDomains, rack_domain};
use crate::view::ListedInstances;

/// Position of a failure domain in a [`DomainIndex`].
pub type DomainPosition = usize;

/// Failure domains of each listed instance: its declared rack, then its suspected groups.
#[derive(Debug, Clone, Default)]
pub struct DomainIndex {
    domain_ids: Vec<DomainId>,
    positions: HashMap<InstanceId, Vec<DomainPosition>>,
}

impl DomainIndex {
    /// Builds the index for all listed instances.
    pub fn new(listed: &ListedInstances, domains: &LearnedDomains) -> Self {
        let mut index = Self::default();
        let mut racks = HashMap::new();
        for (id, instance) in listed {
            let position = *racks.entry((&instance.zone, &instance.rack)).or_insert_with(|| {
                index.domain_ids.push(rack_domain(&instance.zone, &instance.rack));
                index.domain_ids.len() - 1
            });
            index.positions.insert(id.clone(), vec![position]);
        }
        for group in domains.suspected() {
            let position = index.domain_ids.len();
            index.domain_ids.push(group.domain_id());
            for id in group.members.keys() {
                if let Some(positions) = index.positions.get_mut(id) {
                    positions.push(position);
                }
            }
        }
        index
    }

    /// Domains of an instance; empty if it is not listed.
    pub fn positions(&self, id: &InstanceId) -> &[DomainPosition] {
        self.positions.get(id).map_or(&[], Vec::as_slice)
    }

    /// Identifier of a domain.
    pub fn domain_id(&self, position: DomainPosition) -> &DomainId {
        &self.domain_ids[position]
    }

    /// Number of domains.
    pub fn len(&self) -> usize {
        self.domain_ids.len()
    }

    /// Whether there are no domains.
    pub fn is_empty(&self) -> bool {
        self.domain_ids.is_empty()
    }
}
