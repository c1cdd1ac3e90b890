//! Clients of the platform, and the formats of its records.

use std::sync::Arc;

use cassiafold_config::ZoneId;
use cassiafold_platform::{Record, TransactionalStore};

use crate::clients::{MachineClient, PolicyClient, WorkerClient};
use crate::cluster::{ClusterConfig, Wave, WaveNumber, WorkerEntry};

/// What the operator has written under a key.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorItem {
    /// The configuration.
    Config(Box<ClusterConfig>),
    /// A zone that must not be sent any work.
    Evacuation(ZoneId),
    /// A maintenance wave.
    Wave(Wave),
    /// Any other item.
    Other,
}

/// Error of an item of the operator or of a worker that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ItemError(pub Arc<str>);

/// Formats of the store records that are shared with the operator and the workers.
pub trait Formats: Clone + Send + Sync + 'static {
    /// Prefix of the operator's keys.
    const OPERATOR_PREFIX: &'static str;
    /// Key of the configuration.
    const CONFIG_KEY: &'static str;
    /// Prefix of the keys of the workers' entries.
    const WORKERS_PREFIX: &'static str;

    /// Decodes an item of the operator.
    fn operator_item(&self, record: &Record) -> Result<OperatorItem, ItemError>;

    /// Decodes a worker's entry.
    fn worker_entry(&self, record: &Record) -> Result<WorkerEntry, ItemError>;

    /// Key and value that report the progress of a wave to the operator.
    fn wave_status(&self, number: WaveNumber, is_complete: bool) -> (Arc<str>, Vec<u8>);
}

/// Clients of the platform.
pub trait PlatformClients: Clone + Send + Sync + 'static {
    /// Client of the store.
    type Store: TransactionalStore;
    /// Client of the workers.
    type WorkerClient: WorkerClient;
    /// Client of the machine control API.
    type MachineClient: MachineClient;
    /// Client of the placement policy.
    type PolicyClient: PolicyClient;
    /// Formats of shared records.
    type Formats: Formats;

    /// Client of the store.
    fn store(&self) -> &Self::Store;
    /// Client of the workers.
    fn workers(&self) -> &Self::WorkerClient;
    /// Client of the machine control API.
    fn machines(&self) -> &Self::MachineClient;
    /// Client of the placement policy.
    fn policy(&self) -> &Self::PolicyClient;
    /// Formats of shared records.
    fn formats(&self) -> &Self::Formats;
}
