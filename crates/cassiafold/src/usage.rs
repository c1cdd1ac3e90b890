//! Usage that this entry instance reports to the others: requests, drains and symptoms.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use cassiafold_config::{InstanceId, InstanceState};
use cassiafold_dispatch::{Dependencies, Dispatcher};
use cassiafold_membership::{QueueId, StoreContact, TeamUsage, Usage, UsageSource};

use crate::instances::InstanceView;
use crate::symptoms::Symptoms;

/// Interval at which usage is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Last sampled usage. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct LocalUsage {
    usage: Arc<ArcSwap<Usage>>,
}

impl UsageSource for LocalUsage {
    fn usage(&self) -> Usage {
        Usage::clone(&self.usage.load())
    }
}

impl LocalUsage {
    /// Returns the last sampled usage.
    pub fn load(&self) -> Arc<Usage> {
        self.usage.load_full()
    }

    /// Samples the usage at an interval. Never returns.
    pub async fn run_updates<E: Dependencies>(
        self,
        dispatcher: Dispatcher<E>,
        instances: InstanceView,
        symptoms: Symptoms,
        contact: StoreContact,
    ) {
        loop {
            self.usage.store(Arc::new(sample(&dispatcher, &instances, &symptoms, &contact)));
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }
}

/// Samples the usage now.
///
/// Reads the number of the fleet document before the counts, so that the counts include every
/// request that was started under an older document.
fn sample<E: Dependencies>(
    dispatcher: &Dispatcher<E>,
    instances: &InstanceView,
    symptoms: &Symptoms,
    contact: &StoreContact,
) -> Usage {
    let fleet_number = instances.fleet_number();
    let known = instances.load();
    let usage = dispatcher.usage();
    let queues = usage.teams.into_iter().map(|team| {
        let queue = QueueId { service: team.service, team: team.team };
        (queue, TeamUsage { running: team.running, waiting: team.waiting })
    });
    let running: BTreeMap<InstanceId, u32> =
        usage.instances.into_iter().map(|usage| (usage.instance, usage.running)).collect();
    let mut draining = BTreeMap::new();
    for instance in known.iter().filter(|known| known.state == InstanceState::Leaving) {
        symptoms.clear(&instance.id);
        if let Some(running) = running.get(&instance.id) {
            draining.insert(instance.id.clone(), *running);
        }
    }
    Usage {
        queues: queues.collect(),
        instances: running,
        fleet_number,
        draining,
        symptoms: symptoms.current(),
        store_reachable: contact.is_reachable(),
    }
}
