//! Merges the usage reports of all entry instances for the planner.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId, ZoneId};
use cassiafold_fleet::{Demand, Observations, Symptom};
use cassiafold_membership::usage::Symptom as ReportedSymptom;
use cassiafold_membership::{LiveEntry, Roster, Usage};
use tokio::time::Instant;

use crate::instances::InstanceView;

/// Time for which a zone without a live entry instance counts as unconfirmed after its last report.
const SILENT_ZONE_MAX: Duration = Duration::from_secs(3_600);

/// Merges reports of the entry instances. Clones share one state.
#[derive(Debug, Clone)]
pub struct Observer {
    roster: Roster,
    instances: InstanceView,
    zones_last_live: Arc<Mutex<HashMap<ZoneId, Instant>>>,
}

impl Observer {
    /// Creates an observer of the entry instances in `roster`.
    pub fn new(roster: Roster, instances: InstanceView) -> Self {
        Self { roster, instances, zones_last_live: Arc::default() }
    }

    /// Returns the merged reports of all live entry instances.
    pub fn observe(&self) -> Observations {
        let usages = self.roster.usages();
        let live = self.roster.live(None);
        Observations {
            confirmed: usages.iter().map(|(_, usage)| usage.fleet_number).min().unwrap_or(0),
            running: running(&usages),
            symptoms: self.symptoms(&usages, &live),
            demand: demand(&usages),
            unconfirmed_zones: self.unconfirmed_zones(&live),
        }
    }

    /// Returns the symptoms of failing instances.
    ///
    /// A report counts if it comes from the zone of the failing instance. If that zone has no live
    /// entry instance, a symptom counts only when more than half of all live entry instances report
    /// one. Otherwise a partition between zones would look like failing instances.
    fn symptoms(
        &self,
        usages: &[(InstanceId, Arc<Usage>)],
        live: &[LiveEntry],
    ) -> BTreeMap<InstanceId, Symptom> {
        let zone_of: HashMap<InstanceId, ZoneId> =
            live.iter().map(|entry| (entry.id.clone(), entry.zone.clone())).collect();
        let mut symptoms = BTreeMap::new();
        for instance in self.instances.listed().iter() {
            let reports = |(id, usage): &(InstanceId, Arc<Usage>)| {
                Some((zone_of.get(id)?.clone(), *usage.symptoms.get(&instance.id)?))
            };
            let reports: Vec<(ZoneId, ReportedSymptom)> =
                usages.iter().filter_map(reports).collect();
            let same_zone = reports.iter().find(|(zone, _)| *zone == instance.zone);
            let zone_watched = live.iter().any(|entry| entry.zone == instance.zone);
            let other_zones =
                reports.first().filter(|_| !zone_watched && 2 * reports.len() > live.len());
            if let Some((_, reported)) = same_zone.or(other_zones) {
                symptoms.insert(instance.id.clone(), symptom(*reported));
            }
        }
        symptoms
    }

    /// Returns the zones whose entry instances may still send requests without reporting here.
    fn unconfirmed_zones(&self, live: &[LiveEntry]) -> BTreeSet<ZoneId> {
        let now = Instant::now();
        let mut last_live = self.zones_last_live.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in live {
            last_live.insert(entry.zone.clone(), now);
        }
        last_live.retain(|_, last| now.duration_since(*last) < SILENT_ZONE_MAX);
        let silent_zones =
            last_live.iter().filter(|(_, last)| **last < now).map(|(zone, _)| zone.clone());
        let confirmations = self.roster.confirmations();
        let unconfirmed_entries =
            confirmations.list.into_iter().filter(|entry| entry.ready.is_none());
        silent_zones.chain(unconfirmed_entries.map(|entry| entry.zone)).collect()
    }
}

fn symptom(reported: ReportedSymptom) -> Symptom {
    match reported {
        ReportedSymptom::Unreachable => Symptom::Unreachable,
        ReportedSymptom::Hanging => Symptom::Hanging,
        ReportedSymptom::FailingAll => Symptom::FailingAll,
    }
}

/// Returns the running requests of each instance. Reports from other zones contain only those on
/// draining instances.
fn running(usages: &[(InstanceId, Arc<Usage>)]) -> BTreeMap<InstanceId, u32> {
    let mut running = BTreeMap::new();
    for (_, usage) in usages {
        let others = usage.instances.iter().filter(|(id, _)| !usage.draining.contains_key(*id));
        for (id, count) in usage.draining.iter().chain(others) {
            *running.entry(id.clone()).or_insert(0) += count;
        }
    }
    running
}

fn demand(usages: &[(InstanceId, Arc<Usage>)]) -> BTreeMap<ServiceId, Demand> {
    let mut demand: BTreeMap<ServiceId, Demand> = BTreeMap::new();
    for (queue, usage) in usages.iter().flat_map(|(_, usage)| &usage.queues) {
        let service = demand.entry(queue.service.clone()).or_default();
        service.running += usage.running;
        service.waiting += usage.waiting;
    }
    demand
}

#[cfg(test)]
mod tests;
