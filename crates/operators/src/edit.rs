//! Small changes of the configuration that are made from whatever version is current.

use std::sync::Arc;

use cassiafold_config::id::Version;
use cassiafold_config::key::new_write_id;
use cassiafold_config::{Config, Faults, Patch};
use cassiafold_platform::{Store, StoreError};
use serde_json::Value;
use tokio::time::Instant;

use crate::versions::{ConfigStore, PatchError, PatchOutcome, PatchRequest};

/// Who makes a small change, and when.
#[derive(Debug, Clone)]
pub struct EditContext {
    /// Who asks for the change.
    pub operator: Arc<str>,
    /// When the change is asked for, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Highest version that any entry instance is known to have in force.
    pub known_version: Version,
}

/// Result of a small change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditOutcome {
    /// Version that holds the change.
    pub version: Version,
    /// Whether the configuration was as wanted before.
    pub unchanged: bool,
}

/// Failure of a small change.
#[derive(Debug, thiserror::Error)]
pub enum EditError<R> {
    /// The change makes no sense for the current configuration.
    #[error("refused")]
    Refused(R),
    /// No configuration is known.
    #[error("no configuration is known yet")]
    NoConfig,
    /// The new configuration would have faults; nothing was changed.
    #[error("{0}")]
    Invalid(Faults),
    /// The patch failed.
    #[error("{0}")]
    Patch(#[from] PatchError),
}

impl<S: Store> ConfigStore<S> {
    /// Makes a small change, again from the newest version after each lost race.
    ///
    /// `merge_patch` returns the change that the configuration needs, or `None` when it needs
    /// none. It must name the wanted state, so that a repeat after an unknown outcome is safe.
    pub async fn edit<R>(
        &self,
        context: &EditContext,
        deadline: Instant,
        merge_patch: impl Fn(&Config) -> Result<Option<Value>, R>,
    ) -> Result<EditOutcome, EditError<R>> {
        while Instant::now() < deadline {
            let config = self.newest_before(deadline).await?.ok_or(EditError::NoConfig)?;
            let patch = merge_patch(&config).map_err(EditError::Refused)?;
            let Some(patch) = patch else {
                return Ok(EditOutcome { version: config.version, unchanged: true });
            };
            let request = PatchRequest {
                base_version: config.version,
                patch: Patch::Merge(patch),
                write_id: new_write_id(),
                operator: context.operator.clone(),
                unix_s: context.unix_s,
                known_version: context.known_version,
            };
            match self.patch(&request, deadline).await? {
                PatchOutcome::Accepted { version, .. } => {
                    return Ok(EditOutcome { version, unchanged: false });
                }
                PatchOutcome::Stale { .. } => {}
                PatchOutcome::Invalid(faults) => return Err(EditError::Invalid(faults)),
            }
        }
        Err(EditError::Patch(PatchError::Contended))
    }

    /// The newest configuration known, or a failure at `deadline`.
    pub async fn newest_before(
        &self,
        deadline: Instant,
    ) -> Result<Option<Arc<Config>>, PatchError> {
        let unanswered = StoreError::Unavailable("no answer before the deadline".into());
        tokio::time::timeout_at(deadline, self.newest())
            .await
            .unwrap_or(Err(PatchError::Unavailable(unanswered)))
    }
}
