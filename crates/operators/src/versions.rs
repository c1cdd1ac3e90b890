//! Versions of the configuration in the store: patches by compare-and-swap.
//!
//! The current version is stored under one key, with its write id and the change that made it. A
//! patch replaces it under two conditions: the document has the version that the patch names, and
//! the key has not been written since it was read. Before a version is replaced, its change is
//! copied to the history, so that the history tells which write made each version.
//!
//! When the response to a write is lost, its outcome is resolved by reading the document. While the
//! stored document is unchanged, the same write is sent again; its condition ensures that it takes
//! effect at most once.
//!
//! A store that was restored from an older snapshot contains a lower version than the one in force.
//! Three ways to handle this were considered:
//!
//! - Refuse patches until the store is repaired: safe, but no availability zone could be taken out
//!   of service meanwhile.
//! - Continue from the stored version: this reverts accepted changes and reuses version numbers for
//!   different content.
//! - Continue from the version in force (implemented here): no version of any reachable entry
//!   instance is lost, and the next patch repairs the store.
//!
//! The next version number is then [`ROLLBACK_GAP`] higher than the version in force, since an
//! unreachable entry instance may have a later version that is lost everywhere else. An entry
//! instance that knows of a higher version elsewhere than its own refuses patches until it has
//! received that version.
//!
//! Two limitations remain. When the store is restored and no entry instance has or knows of the
//! later versions, their numbers are reused. When the store is restored while a version is still
//! being distributed, two entry instances may have different content under one version number
//! until the next patch.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::id::Version;
use cassiafold_config::patch::Origin;
use cassiafold_config::raw::{CURRENT_KEY, RawConfig};
use cassiafold_config::{ActiveConfig, Config, Faults, Patch};
use cassiafold_event::emit;
use cassiafold_platform::{
    Backoff, Compare, Revision, Store, StoreError, VALUE_BYTES_MAX, Write, WriteOutcome,
};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::event::OperatorsEvent;
use crate::history;

/// Distance to the next version number when the store contains a lower version than the one in
/// force.
pub const ROLLBACK_GAP: Version = 1_000;

const RETRY_DELAY_MIN: Duration = Duration::from_millis(10);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);

/// Reads and changes the stored configuration.
#[derive(Debug, Clone)]
pub struct ConfigStore<S> {
    store: S,
    active: ActiveConfig,
}

/// A patch with its base version, write id and author.
#[derive(Debug, Clone)]
pub struct PatchRequest {
    /// Version that the patch applies to; zero before the first version.
    pub base_version: Version,
    /// The change.
    pub patch: Patch,
    /// Idempotency key: a repeat with the same id and base version returns the version that the
    /// first request made.
    pub write_id: String,
    /// Operator who requests the change.
    pub operator: Arc<str>,
    /// Time of the request, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Highest version that any entry instance is known to have in force.
    pub known_version: Version,
}

impl PatchRequest {
    /// Returns whether this request made `config`.
    fn made(&self, config: &Config) -> bool {
        let base = config.change.as_ref().map(|change| change.base_version);
        config.write_id == self.write_id && base == Some(self.base_version)
    }
}

/// Outcome of a patch.
#[derive(Debug, Clone)]
pub enum PatchOutcome {
    /// The patch took effect exactly once and made this version.
    Accepted {
        /// Version that the patch made.
        version: Version,
        /// Whether an earlier request with the same write id made it.
        repeated: bool,
    },
    /// The base version is not the current one; nothing was changed.
    Stale {
        /// Current version of the configuration.
        current: Version,
    },
    /// The new configuration would have these faults; nothing was changed.
    Invalid(Faults),
}

/// Failure of a patch.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The store was unreachable; the patch has not taken effect and will not do so later.
    #[error("{0}")]
    Unavailable(StoreError),
    /// Other writers were first in each attempt until the deadline; the patch has not taken effect
    /// and will not do so later.
    #[error("other operators won every race")]
    Contended,
    /// The patch may have taken effect, at most once.
    #[error("outcome of the patch is unknown")]
    OutcomeUnknown,
    /// Another entry instance has a higher version in force than the store and this one.
    #[error(
        "version {known_version} is in force elsewhere, and only version {newest_version} is known here"
    )]
    Behind {
        /// Highest version that another entry instance has in force.
        known_version: Version,
        /// Newest version known to this entry instance.
        newest_version: Version,
    },
    /// The stored configuration cannot be parsed or is invalid.
    #[error("stored configuration: {0}")]
    Malformed(Arc<str>),
}

/// The stored document, with the revision that a conditional write must specify.
struct StoredConfig {
    config: Arc<Config>,
    revision: Revision,
}

/// A write that was sent and may have taken effect.
struct SentWrite {
    write: Write,
    config: Arc<Config>,
}

/// Result of one attempt of a patch.
enum Attempt {
    /// The outcome of the patch is known.
    Done(PatchOutcome),
    /// The attempt failed with this error and can be repeated.
    Retry(PatchError),
}

impl<S: Store> ConfigStore<S> {
    /// Creates access to the configuration in `store`, given the one in force in this process.
    pub fn new(store: S, active: ActiveConfig) -> Self {
        Self { store, active }
    }

    /// Returns the newest known configuration: the stored one or the one in force in this process.
    pub async fn newest(&self) -> Result<Option<Arc<Config>>, PatchError> {
        let stored = self.read().await?.map(|stored| stored.config);
        if let Some(config) = &stored {
            self.active.offer(config.clone());
        }
        Ok(newer(stored, self.active.load()))
    }

    /// Creates the next version from a patch. Until `deadline`, retries failed attempts and
    /// resolves the outcome of writes whose response was lost.
    pub async fn patch(
        &self,
        request: &PatchRequest,
        deadline: Instant,
    ) -> Result<PatchOutcome, PatchError> {
        let mut sent = None;
        let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        loop {
            let attempt = timeout_at(deadline, self.attempt(request, &mut sent)).await;
            let reason = match attempt {
                Ok(Ok(Attempt::Done(outcome))) => return Ok(outcome),
                Ok(Ok(Attempt::Retry(reason))) => reason,
                Ok(Err(error)) if sent.is_none() => return Err(error),
                Ok(Err(error)) => error,
                Err(_) => PatchError::Unavailable(no_response()),
            };
            let wake = Instant::now() + backoff.next_delay();
            if wake >= deadline {
                return Err(if sent.is_some() { PatchError::OutcomeUnknown } else { reason });
            }
            sleep_until(wake).await;
        }
    }

    /// Makes one attempt: reads the stored configuration, then resolves the earlier write if there
    /// is one, or checks and applies the patch.
    async fn attempt(
        &self,
        request: &PatchRequest,
        sent: &mut Option<SentWrite>,
    ) -> Result<Attempt, PatchError> {
        let stored = match self.read().await {
            Ok(stored) => stored,
            Err(reason @ PatchError::Unavailable(_)) => return Ok(Attempt::Retry(reason)),
            Err(error) => return Err(error),
        };
        let active = self.active.load();
        let newest = newer(stored.as_ref().map(|stored| stored.config.clone()), active.clone());
        let known = [stored.as_ref().map(|stored| &stored.config), active.as_ref()];
        if let Some(made) = known.into_iter().flatten().find(|config| request.made(config)) {
            self.active.offer(made.clone());
            let (version, repeated) = (made.version, sent.is_none());
            return Ok(Attempt::Done(PatchOutcome::Accepted { version, repeated }));
        }
        let compare = compare_of(stored.as_ref());
        let newest_version = newest.as_ref().map_or(0, |config| config.version);
        if let Some(earlier) = sent.as_ref() {
            if earlier.write.compare != compare || newest_version != request.base_version {
                return self.resolve_sent(request, earlier.config.version, newest_version).await;
            }
            let (write, config) = (earlier.write.clone(), earlier.config.clone());
            return Ok(self.send(write, config, sent).await);
        }
        if request.known_version > newest_version {
            return Err(PatchError::Behind {
                known_version: request.known_version,
                newest_version,
            });
        }
        if newest_version != request.base_version {
            return self.resolve_stale(request, newest_version).await;
        }
        let stored_version = stored.as_ref().map_or(0, |stored| stored.config.version);
        let origin = origin(request, next_version(newest_version, stored_version));
        let config = match request.patch.next_config(newest.as_deref(), &origin) {
            Ok(config) => Arc::new(config),
            Err(faults) => return Ok(Attempt::Done(PatchOutcome::Invalid(faults))),
        };
        let bytes = encode(&config)?;
        if bytes.len() > VALUE_BYTES_MAX {
            let message = format!("has {} bytes; at most {VALUE_BYTES_MAX} fit", bytes.len());
            return Ok(Attempt::Done(PatchOutcome::Invalid(Faults::one("", message))));
        }
        let replaced = [stored.map(|stored| stored.config), newest];
        if let Err(error) = history::save(&self.store, replaced.iter().flatten()).await {
            return Ok(Attempt::Retry(PatchError::Unavailable(error)));
        }
        let write = Write::put(CURRENT_KEY, compare, bytes);
        let attempt = self.send(write, config, sent).await;
        if stored_version < newest_version && matches!(attempt, Attempt::Done(_)) {
            emit!(
                OperatorsEvent::StoreRolledBack,
                stored = stored_version,
                in_force = newest_version
            );
        }
        Ok(attempt)
    }

    /// Sends a write, and leaves it in `sent` when its outcome is unknown.
    async fn send(
        &self,
        write: Write,
        config: Arc<Config>,
        sent: &mut Option<SentWrite>,
    ) -> Attempt {
        let repeated = sent.is_some();
        if !repeated {
            *sent = Some(SentWrite { write: write.clone(), config: config.clone() });
        }
        match self.store.write(write).await {
            Ok(WriteOutcome::Written(_)) => {
                let version = config.version;
                self.active.offer(config);
                let store = self.store.clone();
                tokio::spawn(async move { history::trim(&store, version).await });
                Attempt::Done(PatchOutcome::Accepted { version, repeated: false })
            }
            Ok(WriteOutcome::Conflict) => {
                if !repeated {
                    *sent = None;
                }
                Attempt::Retry(PatchError::Contended)
            }
            Err(error @ (StoreError::Unavailable(_) | StoreError::LeaseExpired)) => {
                if !repeated {
                    *sent = None;
                }
                Attempt::Retry(PatchError::Unavailable(error))
            }
            Err(error) => Attempt::Retry(PatchError::Unavailable(error)),
        }
    }

    /// Returns the outcome of a patch whose base version is not the newest one: accepted when it is
    /// a repeat of an earlier request, otherwise stale.
    ///
    /// A repeat made either the version after its base, or the one [`ROLLBACK_GAP`] later.
    async fn resolve_stale(
        &self,
        request: &PatchRequest,
        newest_version: Version,
    ) -> Result<Attempt, PatchError> {
        let base = request.base_version;
        for version in [base.saturating_add(1), base.saturating_add(ROLLBACK_GAP)] {
            let record = match history::get(&self.store, version).await {
                Ok(record) => record,
                Err(error) => return Ok(Attempt::Retry(PatchError::Unavailable(error))),
            };
            if record.is_some_and(|record| record.write_id == request.write_id) {
                return Ok(Attempt::Done(PatchOutcome::Accepted { version, repeated: true }));
            }
        }
        Ok(Attempt::Done(PatchOutcome::Stale { current: newest_version }))
    }

    /// Returns the outcome of an earlier write of `version` whose response was lost, after the
    /// configuration has changed since. The history tells which write made `version`.
    async fn resolve_sent(
        &self,
        request: &PatchRequest,
        version: Version,
        newest_version: Version,
    ) -> Result<Attempt, PatchError> {
        if newest_version == version {
            return Ok(Attempt::Done(PatchOutcome::Stale { current: newest_version }));
        }
        let record = match history::get(&self.store, version).await {
            Ok(record) => record,
            Err(error) => return Ok(Attempt::Retry(PatchError::Unavailable(error))),
        };
        Ok(match record {
            Some(record) if record.write_id == request.write_id => {
                Attempt::Done(PatchOutcome::Accepted { version, repeated: false })
            }
            Some(_) => Attempt::Done(PatchOutcome::Stale { current: newest_version }),
            None => Attempt::Retry(PatchError::OutcomeUnknown),
        })
    }

    async fn read(&self) -> Result<Option<StoredConfig>, PatchError> {
        let record = self.store.get(CURRENT_KEY).await.map_err(PatchError::Unavailable)?;
        let Some(record) = record else { return Ok(None) };
        let raw: RawConfig = serde_json::from_slice(&record.value).map_err(malformed)?;
        let config = Config::try_from(raw).map_err(malformed)?;
        Ok(Some(StoredConfig { config: Arc::new(config), revision: record.revision }))
    }

    /// Returns the store that contains the configuration.
    pub fn store(&self) -> &S {
        &self.store
    }
}

/// Returns the version number after `newest_version`, the highest one known, when the store
/// contains version `stored`.
pub fn next_version(newest_version: Version, stored: Version) -> Version {
    let increment = if stored < newest_version { ROLLBACK_GAP } else { 1 };
    newest_version.saturating_add(increment)
}

fn newer(left: Option<Arc<Config>>, right: Option<Arc<Config>>) -> Option<Arc<Config>> {
    let version = |config: &Option<Arc<Config>>| config.as_ref().map_or(0, |config| config.version);
    if version(&left) >= version(&right) { left } else { right }
}

fn compare_of(stored: Option<&StoredConfig>) -> Compare {
    stored.map_or(Compare::Absent, |stored| Compare::Revision(stored.revision))
}

fn origin(request: &PatchRequest, version: Version) -> Origin {
    Origin {
        version,
        write_id: request.write_id.clone(),
        operator: request.operator.clone(),
        unix_s: request.unix_s,
    }
}

fn encode(config: &Config) -> Result<Vec<u8>, PatchError> {
    serde_json::to_vec(&RawConfig::from(config)).map_err(malformed)
}

fn malformed(error: impl std::fmt::Display) -> PatchError {
    PatchError::Malformed(error.to_string().into())
}

fn no_response() -> StoreError {
    StoreError::Unavailable("no answer before the deadline".into())
}

#[cfg(test)]
mod tests;
