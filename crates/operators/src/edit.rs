//! Edits: configuration changes that apply to whichever version is current.

use std::sync::Arc;

use cassiafold_config::id::Version;
use cassiafold_config::key::new_write_id;
use cassiafold_config::{Config, Faults, Patch};
use cassiafold_platform::{Store, StoreError};
use serde_json::Value;
use tokio::time::Instant;

use crate::versions::{ConfigStore, PatchError, PatchOutcome, PatchRequest};

/// Operator and time of an edit, and the highest version known to be in force.
#[derive(Debug, Clone)]
pub struct EditContext {
    /// Operator who requests the change.
    pub operator: Arc<str>,
    /// Time of the request, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Highest version that any entry instance is known to have in force.
    pub known_version: Version,
}

/// Result of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditOutcome {
    /// Version that contains the change.
    pub version: Version,
    /// Whether the configuration already had the requested state, so that no version was made.
    pub unchanged: bool,
}

/// Failure of an edit.
#[derive(Debug, thiserror::Error)]
pub enum EditError<R> {
    /// The change cannot be applied to the current configuration.
    #[error("refused")]
    Refused(R),
    /// No configuration is known.
    #[error("no configuration is known yet")]
    NoConfig,
    /// The new configuration would be invalid; nothing was changed.
    #[error("{0}")]
    Invalid(Faults),
    /// The patch failed.
    #[error("{0}")]
    Patch(#[from] PatchError),
}

impl<S: Store> ConfigStore<S> {
    /// Applies an edit to the newest version, and retries from the then newest version when another
    /// writer was first.
    ///
    /// `merge_patch` returns the change that a configuration needs, or `None` when it needs none.
    /// The change must state the requested values rather than a difference, so that a retry after
    /// an unknown outcome is safe.
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

    /// Returns the newest known configuration, or [`PatchError::Unavailable`] at `deadline`.
    pub async fn newest_before(
        &self,
        deadline: Instant,
    ) -> Result<Option<Arc<Config>>, PatchError> {
        let no_response = StoreError::Unavailable("no answer before the deadline".into());
        tokio::time::timeout_at(deadline, self.newest())
            .await
            .unwrap_or(Err(PatchError::Unavailable(no_response)))
    }
}
