//! Data sources of the operators' interface of an entry instance.

use std::sync::Arc;

use cassiafold_operators::Sources;
use cassiafold_platform::Store;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::dependencies::EntryDependencies;
use crate::fleet_source::EntryFleetSource;
use crate::status_source::EntryStatusSource;

/// Sources of the operators' interface.
#[derive(Clone)]
pub struct EntrySources<S> {
    /// Client of the key-value service.
    pub store: S,
    /// Source of the state of the entry instances.
    pub status: EntryStatusSource<EntryDependencies>,
    /// Source of the state of the fleet.
    pub fleet: EntryFleetSource<S>,
    /// Metrics of this process.
    pub registry: Arc<Registry>,
}

impl<S: Store> Sources for EntrySources<S> {
    type Store = S;
    type Status = EntryStatusSource<EntryDependencies>;
    type Fleet = EntryFleetSource<S>;

    fn store(&self) -> &S {
        &self.store
    }

    fn status(&self) -> &Self::Status {
        &self.status
    }

    fn fleet(&self) -> &Self::Fleet {
        &self.fleet
    }

    fn metrics(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}
