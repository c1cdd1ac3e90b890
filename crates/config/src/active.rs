//! The configuration in force in this process.

use std::sync::Arc;

use tokio::sync::watch;

use crate::document::Config;
use crate::id::Version;

/// Result of offering a configuration to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The offered version is higher than the one in force and replaced it.
    Adopted,
    /// The offered version is already in force.
    Known,
    /// The offered version is lower than the one in force and was rejected.
    Stale {
        /// Version in force.
        in_force: Version,
    },
}

/// Holds the configuration with the highest version received. Clones share one value.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    sender: Arc<watch::Sender<Option<Arc<Config>>>>,
}

impl Default for ActiveConfig {
    fn default() -> Self {
        Self { sender: Arc::new(watch::Sender::new(None)) }
    }
}

impl ActiveConfig {
    /// Returns the configuration in force, or `None` before the first one was adopted.
    pub fn load(&self) -> Option<Arc<Config>> {
        self.sender.borrow().clone()
    }

    /// Returns the version in force, or zero before the first configuration was adopted.
    pub fn version(&self) -> Version {
        self.sender.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Adopts `config` if its version is higher than the one in force.
    pub fn offer(&self, config: Arc<Config>) -> Offer {
        let mut result = Offer::Known;
        self.sender.send_if_modified(|current| {
            let in_force = current.as_ref().map_or(0, |config| config.version);
            if config.version > in_force {
                *current = Some(config);
                result = Offer::Adopted;
                return true;
            }
            if config.version < in_force {
                result = Offer::Stale { in_force };
            }
            false
        });
        result
    }

    /// Returns a receiver that is notified of each configuration adopted from now on.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Config>>> {
        self.sender.subscribe()
    }
}
