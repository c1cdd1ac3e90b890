//! Instances available to the request path: the platform's list joined with the fleet document.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cassiafold_config::{Instance, InstanceId, InstanceState};
use cassiafold_fleet::{FleetHandle, FleetState};
use cassiafold_platform::{InstanceList, ListedInstance};
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval at which the list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an instance stays leaving after it was last listed as leaving. The list lags and
/// may return older states.
const LEAVING_DEBOUNCE: Duration = Duration::from_secs(10);

/// Shared view of the instances for the request path. Clones share one state.
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
    /// Returns a receiver of the instances with their pools.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Vec<Instance>>> {
        self.instances.subscribe()
    }

    /// Returns the instances with their pools.
    pub fn load(&self) -> Arc<Vec<Instance>> {
        self.instances.borrow().clone()
    }

    /// Returns the last list read.
    pub fn listed(&self) -> Arc<Vec<ListedInstance>> {
        self.listed.borrow().clone()
    }

    /// Returns the number of the fleet document that the published instances reflect.
    pub fn fleet_number(&self) -> u64 {
        self.fleet_number.load(Ordering::Acquire)
    }

    /// Publishes changes of the list and the fleet document until the fleet handle is dropped.
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

    /// Publishes the instances before the document number, so that the number never refers to a
    /// document whose instances are not yet published.
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

/// Keeps instances in the leaving state for `LEAVING_DEBOUNCE` after they were last listed as such.
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
