//! In-memory stand-in of the instance list and the instance control.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cassiafold_config::{InstanceId, InstanceState};
use cassiafold_platform::{ControlError, InstanceControl, InstanceList, ListError, ListedInstance};
use tokio::time::Instant;

/// Maximum number of previous lists that are kept to serve a lagging list.
const PREVIOUS_LISTS_MAX: usize = 1_000;

type Instances = Arc<BTreeMap<InstanceId, ListedInstance>>;

/// In-memory instance list and instance control. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct MemoryInstances {
    state: Arc<Mutex<State>>,
}

/// Fault of one reboot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RebootFault {
    /// The request is rejected and has no effect.
    Refused,
    /// The instance is rebooted and the response is lost.
    LostAnswer,
    /// The request is lost and has no effect; its outcome is reported as unknown.
    LostRequest,
}

/// A reboot that took place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reboot {
    /// The instance.
    pub instance: InstanceId,
    /// Id of the request.
    pub request_id: Arc<str>,
}

#[derive(Debug, Default)]
struct State {
    instances: Instances,
    previous: VecDeque<PreviousList>,
    lag: Duration,
    list_outage: bool,
    control_outage: bool,
    reboots: Vec<Reboot>,
    planned_faults: VecDeque<RebootFault>,
}

/// A previous list and the time of its replacement.
#[derive(Debug)]
struct PreviousList {
    instances: Instances,
    replaced_at: Instant,
}

impl State {
    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<InstanceId, ListedInstance>)) {
        let mut next = BTreeMap::clone(&self.instances);
        change(&mut next);
        let instances = std::mem::replace(&mut self.instances, Arc::new(next));
        self.previous.push_back(PreviousList { instances, replaced_at: Instant::now() });
        while self.previous.len() > PREVIOUS_LISTS_MAX {
            self.previous.pop_front();
        }
    }

    /// Returns the list as it was `lag` ago.
    fn lagged_list(&self) -> Instances {
        let seen = self.previous.iter().find(|previous| previous.replaced_at.elapsed() < self.lag);
        seen.map_or_else(|| self.instances.clone(), |previous| previous.instances.clone())
    }

    fn reboot(&mut self, instance: &str, request_id: &str) {
        let known = self.reboots.iter().any(|reboot| &*reboot.request_id == request_id);
        if !known {
            let (instance, request_id) = (instance.into(), request_id.into());
            self.reboots.push(Reboot { instance, request_id });
        }
    }
}

impl MemoryInstances {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: ListedInstance) {
        self.lock().change(|instances| {
            instances.insert(instance.id.clone(), instance);
        });
    }

    /// Removes an instance.
    pub fn remove(&self, id: &InstanceId) {
        self.lock().change(|instances| {
            instances.remove(id);
        });
    }

    /// Changes the listed state of an instance.
    pub fn set_state(&self, id: &InstanceId, state: InstanceState) {
        self.lock().change(|instances| {
            if let Some(instance) = instances.get_mut(id) {
                instance.state = state;
            }
        });
    }

    /// Delays the appearance of changes in the list by `lag`.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Starts or ends an outage of the instance list.
    pub fn set_list_outage(&self, outage: bool) {
        self.lock().list_outage = outage;
    }

    /// Starts or ends an outage of the instance control.
    pub fn set_control_outage(&self, outage: bool) {
        self.lock().control_outage = outage;
    }

    /// Makes the next `count` reboots fail with `fault`.
    pub fn fail_reboots(&self, count: usize, fault: RebootFault) {
        self.lock().planned_faults.extend(std::iter::repeat_n(fault, count));
    }

    /// Returns the reboots that took place, one per request id.
    pub fn reboots(&self) -> Vec<Reboot> {
        self.lock().reboots.clone()
    }

    /// Returns the number of reboots of one instance.
    pub fn reboot_count(&self, id: &str) -> usize {
        self.lock().reboots.iter().filter(|reboot| &*reboot.instance == id).count()
    }
}

impl InstanceList for MemoryInstances {
    async fn list(&self) -> Result<Vec<ListedInstance>, ListError> {
        let state = self.lock();
        if state.list_outage {
            return Err(ListError::Unavailable("outage".into()));
        }
        Ok(state.lagged_list().values().cloned().collect())
    }
}

impl InstanceControl for MemoryInstances {
    async fn reboot(&self, instance: &InstanceId, request_id: &str) -> Result<(), ControlError> {
        let mut state = self.lock();
        if state.control_outage {
            return Err(ControlError::Unavailable("outage".into()));
        }
        match state.planned_faults.pop_front() {
            Some(RebootFault::Refused) => return Err(ControlError::Unavailable("refused".into())),
            Some(RebootFault::LostRequest) => {}
            Some(RebootFault::LostAnswer) => state.reboot(instance, request_id),
            None => {
                state.reboot(instance, request_id);
                return Ok(());
            }
        }
        Err(ControlError::OutcomeUnknown("response lost".into()))
    }
}

#[cfg(test)]
mod tests;
