//! Read access to the fleet for entry instances: pools, steps and suspected failure domains.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{Instance, InstanceId, InstanceState, PoolId};
use cassiafold_event::emit;
use cassiafold_platform::{Envelope, ListedInstance, Record, Revision, Store, StoreError, Watch};
use tokio::sync::watch;

use crate::document::{DOCUMENT_KEY, DocumentNumber, FleetDocument};
use crate::domain::{DOMAINS_KEY, DomainId, LearnedDomains};
use crate::event::FleetEvent;

/// Prefix of the keys that entry instances watch.
const FLEET_PREFIX: &str = "cassiafold/fleet/";
/// Delay before the fleet is read again after a store error.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Latest state of the fleet known to an entry instance.
#[derive(Debug, Clone, Default)]
pub struct FleetState {
    /// Fleet document with the highest number received.
    pub document: Arc<FleetDocument>,
    /// Learned failure domains last received.
    pub domains: Arc<LearnedDomains>,
}

impl FleetState {
    /// Document number to report as confirmed once the request path uses this state.
    pub fn number(&self) -> DocumentNumber {
        self.document.number
    }

    /// Pool of an instance.
    pub fn pool_of(&self, id: &InstanceId) -> Option<&PoolId> {
        Some(&self.document.placements.get(id)?.pool)
    }

    /// The listed instance with its pool; `Leaving` while a step is in progress on it. `None` if
    /// the fleet document does not contain it yet.
    pub fn instance(&self, listed: &ListedInstance) -> Option<Instance> {
        let placement = self.document.placements.get(&listed.id)?;
        let state = match placement.takes_work() {
            true => listed.state,
            false => InstanceState::Leaving,
        };
        Some(Instance {
            id: listed.id.clone(),
            address: listed.address,
            zone: listed.zone.clone(),
            rack: listed.rack.clone(),
            pool: placement.pool.clone(),
            state,
        })
    }

    /// Suspected failure domain of an instance, or its declared rack if there is none. A retry goes
    /// to an instance in another domain.
    pub fn domain_of(&self, listed: &ListedInstance) -> DomainId {
        self.domains.domain_of(listed)
    }
}

/// Shared state of the fleet. Cheap to clone; all clones share the same state.
#[derive(Debug, Clone)]
pub struct FleetHandle {
    state: Arc<watch::Sender<FleetState>>,
}

impl Default for FleetHandle {
    fn default() -> Self {
        Self { state: Arc::new(watch::Sender::new(FleetState::default())) }
    }
}

impl FleetHandle {
    /// Latest state.
    pub fn load(&self) -> FleetState {
        self.state.borrow().clone()
    }

    /// Returns a receiver for state changes.
    pub fn subscribe(&self) -> watch::Receiver<FleetState> {
        self.state.subscribe()
    }

    /// Replaces the document if `document` has a higher number. Returns whether it did.
    pub fn update_if_newer(&self, document: Arc<FleetDocument>) -> bool {
        self.state.send_if_modified(|state| {
            let newer = document.number > state.document.number;
            if newer {
                state.document = document;
            }
            newer
        })
    }

    /// Keeps the state up to date with the store until the future is dropped.
    pub async fn watch_store<S: Store>(&self, store: S) {
        loop {
            if let Err(error) = self.watch_once(&store).await {
                emit!(FleetEvent::StoreFailed, error = error);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn watch_once<S: Store>(&self, store: &S) -> Result<(), StoreError> {
        let revision = self.read_all(store).await?;
        let mut watch = store.watch(FLEET_PREFIX, revision).await?;
        loop {
            let changes = watch.next().await?;
            for record in changes.into_iter().filter_map(|change| change.record) {
                self.apply_record(&record);
            }
        }
    }

    async fn read_all<S: Store>(&self, store: &S) -> Result<Revision, StoreError> {
        let snapshot = store.list(FLEET_PREFIX).await?;
        for record in &snapshot.records {
            self.apply_record(record);
        }
        Ok(snapshot.revision)
    }

    fn apply_record(&self, record: &Record) {
        match &*record.key {
            DOCUMENT_KEY => match Envelope::<FleetDocument>::decode(&record.value) {
                Ok(document) => {
                    self.update_if_newer(Arc::new(document.value));
                }
                Err(error) => emit!(FleetEvent::DocumentRefused, error = error),
            },
            DOMAINS_KEY => match Envelope::<LearnedDomains>::decode(&record.value) {
                Ok(domains) => {
                    self.state.send_modify(|state| state.domains = Arc::new(domains.value));
                }
                Err(error) => emit!(FleetEvent::DocumentRefused, error = error),
            },
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
