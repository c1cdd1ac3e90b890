//! The platform as one bundle of clients and formats.

use std::sync::Arc;

use cassiafold_config::ZoneId;
use cassiafold_platform::{Record, TransactionalStore};

use crate::clients::{MachineClient, PolicyClient, WorkerClient};
use crate::cluster::{ClusterConfig, Wave, WaveNumber, WorkerEntry};

/// What the operator has written under one key.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorItem {
    /// The configuration.
    Config(Box<ClusterConfig>),
    /// A zone to which nothing may be sent.
    Evacuation(ZoneId),
    /// A wave of maintenance.
    Wave(Wave),
    /// Something else.
    Other,
}

/// Why an item of the operator or of a worker cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ItemError(pub Arc<str>);

/// Formats of what others write to the store and read from it.
pub trait Formats: Clone + Send + Sync + 'static {
    /// Start of the operator's keys.
    const OPERATOR_PREFIX: &'static str;
    /// Key of the configuration.
    const CONFIG_KEY: &'static str;
    /// Start of the keys under which workers report themselves.
    const WORKERS_PREFIX: &'static str;

    /// Reads an item of the operator.
    fn operator_item(&self, record: &Record) -> Result<OperatorItem, ItemError>;

    /// Reads a worker's report of itself.
    fn worker_entry(&self, record: &Record) -> Result<WorkerEntry, ItemError>;

    /// Key and value that tell the operator how far a wave is.
    fn wave_status(&self, number: WaveNumber, is_complete: bool) -> (Arc<str>, Vec<u8>);
}

/// Everything that the platform gives.
pub trait PlatformClients: Clone + Send + Sync + 'static {
    /// Client of the store.
    type Store: TransactionalStore;
    /// Calls to workers.
    type WorkerClient: WorkerClient;
    /// Calls to machines.
    type MachineClient: MachineClient;
    /// Questions to the placement policy.
    type PolicyClient: PolicyClient;
    /// Formats of what others write.
    type Formats: Formats;

    /// The store.
    fn store(&self) -> &Self::Store;
    /// The workers.
    fn workers(&self) -> &Self::WorkerClient;
    /// The machines.
    fn machines(&self) -> &Self::MachineClient;
    /// The placement policy.
    fn policy(&self) -> &Self::PolicyClient;
    /// The formats.
    fn formats(&self) -> &Self::Formats;
}
