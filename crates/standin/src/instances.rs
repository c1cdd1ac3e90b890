//! In-memory stand-in of the instance list and of the instance control.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cassiafold_config::{InstanceId, InstanceState};
use cassiafold_platform::{ControlError, InstanceControl, InstanceList, ListError, ListedInstance};

/// In-memory list of instances. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct MemoryInstances {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    listed: BTreeMap<InstanceId, ListedInstance>,
    reboots: Vec<(InstanceId, String)>,
}

impl MemoryInstances {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: ListedInstance) {
        self.lock().listed.insert(instance.id.clone(), instance);
    }

    /// Removes an instance.
    pub fn remove(&self, id: &InstanceId) {
        self.lock().listed.remove(id);
    }

    /// Changes the listed state of an instance.
    pub fn set_state(&self, id: &InstanceId, state: InstanceState) {
        if let Some(instance) = self.lock().listed.get_mut(id) {
            instance.state = state;
        }
    }

    /// Reboots carried out so far, each with its request id.
    pub fn reboots(&self) -> Vec<(InstanceId, String)> {
        self.lock().reboots.clone()
    }
}

impl InstanceList for MemoryInstances {
    async fn list(&self) -> Result<Vec<ListedInstance>, ListError> {
        Ok(self.lock().listed.values().cloned().collect())
    }
}

impl InstanceControl for MemoryInstances {
    async fn reboot(&self, instance: &InstanceId, request_id: &str) -> Result<(), ControlError> {
        let mut state = self.lock();
        let known = state.reboots.iter().any(|(_, known)| known == request_id);
        if !known {
            state.reboots.push((instance.clone(), request_id.to_owned()));
        }
        Ok(())
    }
}
