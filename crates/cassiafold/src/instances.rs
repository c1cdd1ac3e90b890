//! The instances of the fleet as the request path sees them: the platform's list joined with the
//! fleet document.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cassiafold_config::{Instance, InstanceId, InstanceState};
use cassiafold_fleet::{FleetHandle, FleetState};
use cassiafold_platform::{InstanceList, ListedInstance};
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// How long an instance that was listed as leaving must be listed as live before it counts as
/// live: the list lags and may go back.
const LEAVING_DEBOUNCE: Duration = Duration::from_secs(10);

/// Instances as the request path sees them.
#[derive(Debug, Clone)]
pub struct InstanceView {
    instances: watch::Sender<Arc<Vec<Instance>>>,
    listed: watch::Sender<Arc<Vec<ListedInstance>>>,
    fleet_number: Arc<AtomicU64>,
}

impl Default for InstanceView {
    fn default() -> Self {
        let (instances, listed) = (watch::Sender::default(), watch::Sender::default());
        Self { instances, listed, fleet_number: Arc::default() }
    }
}

impl InstanceView {
    /// Receiver of the instances with their pools.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Vec<Instance>>> {
        self.instances.subscribe()
    }

    /// Instances with their pools.
    pub fn load(&self) -> Arc<Vec<Instance>> {
        self.instances.borrow().clone()
    }

    /// The list as last read.
    pub fn listed(&self) -> Arc<Vec<ListedInstance>> {
        self.listed.borrow().clone()
    }

    /// Number of the fleet document on which the request path acts.
    pub fn fleet_number(&self) -> u64 {
        self.fleet_number.load(Ordering::Acquire)
    }

    /// Follows list and fleet until dropped.
    pub async fn run_updates<I: InstanceList>(&self, list: I, fleet: FleetHandle) {
        let mut states = fleet.subscribe();
        let mut debounce = LeavingDebounce::default();
        let mut ticks = interval(LIST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    if let Ok(mut listed) = list.list().await {
                        debounce.apply(&mut listed);
                        self.listed.send_replace(Arc::new(listed));
                    }
                }
                changed = states.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            self.publish(&states.borrow_and_update().clone());
        }
    }

    /// Publishes the instances first and the number of the document after them.
    fn publish(&self, state: &FleetState) {
        let listed = self.listed();
        let joined = Arc::new(listed.iter().filter_map(|listed| state.instance(listed)).collect());
        self.instances.send_if_modified(|instances| {
            let changed = *instances != joined;
            *instances = joined;
            changed
        });
        self.fleet_number.store(state.number(), Ordering::Release);
    }
}

/// Keeps instances leaving for a time after they were listed so.
#[derive(Debug, Default)]
struct LeavingDebounce {
    last_listed_leaving: HashMap<InstanceId, Instant>,
}

impl LeavingDebounce {
    fn apply(&mut self, listed: &mut [ListedInstance]) {
        let now = Instant::now();
        self.last_listed_leaving.retain(|_, last| now.duration_since(*last) < LEAVING_DEBOUNCE);
        for instance in listed {
            if instance.state == InstanceState::Leaving {
                self.last_listed_leaving.insert(instance.id.clone(), now);
            } else if self.last_listed_leaving.contains_key(&instance.id) {
                instance.state = InstanceState::Leaving;
            }
        }
    }
}

#[cfg(test)]
mod tests;
