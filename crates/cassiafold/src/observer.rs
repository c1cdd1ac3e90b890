//! Reports of all entry instances, merged for the planner.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId, ZoneId};
use cassiafold_fleet::{Demand, Observations, Symptom};
use cassiafold_membership::usage::Symptom as ReportedSymptom;
use cassiafold_membership::{LiveEntry, Roster, Usage};
use tokio::time::Instant;

use crate::instances::InstanceView;

/// How long a zone without a live entry instance counts as silent after one was heard there.
const SILENT_ZONE_MAX: Duration = Duration::from_secs(3_600);

/// Merges reports. Clones share what they remember.
#[derive(Debug, Clone)]
pub struct Observer {
    roster: Roster,
    instances: InstanceView,
    zones_last_live: Arc<Mutex<HashMap<ZoneId, Instant>>>,
}

impl Observer {
    /// An observer over the entry instances of `roster`.
    pub fn new(roster: Roster, instances: InstanceView) -> Self {
        Self { roster, instances, zones_last_live: Arc::default() }
    }

    /// What all live entry instances report now.
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

    /// Symptoms that an entry instance in the zone of the failing instance sees; where its zone
    /// has none, those that more than half of all live ones see. So a partition between zones
    /// does not look like a failure of instances.
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

    /// Zones whose entry instances may be at work without being heard.
    fn unconfirmed_zones(&self, live: &[LiveEntry]) -> BTreeSet<ZoneId> {
        let now = Instant::now();
        let mut heard = self.zones_last_live.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in live {
            heard.insert(entry.zone.clone(), now);
        }
        heard.retain(|_, last| now.duration_since(*last) < SILENT_ZONE_MAX);
        let lost = heard.iter().filter(|(_, last)| **last < now).map(|(zone, _)| zone.clone());
        let confirmations = self.roster.confirmations();
        let unheard = confirmations.list.into_iter().filter(|entry| entry.ready.is_none());
        lost.chain(unheard.map(|entry| entry.zone)).collect()
    }
}

fn symptom(reported: ReportedSymptom) -> Symptom {
    match reported {
        ReportedSymptom::Unreachable => Symptom::Unreachable,
        ReportedSymptom::Hanging => Symptom::Hanging,
        ReportedSymptom::FailingAll => Symptom::FailingAll,
    }
}

/// Requests on each instance. Reports across zones hold those on draining instances only.
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
