//! Versions of the configuration in the store: patches by compare-and-swap.
//!
//! The current version stands under one key, with its write id and the change that made it. A
//! patch replaces it on two conditions: the document has the version that the patch names, and the
//! store has not written the key since it was read. Before a version is replaced, its change is
//! copied to the history, so that the history tells which write made each version.
//!
//! A write whose answer was lost is settled by reading back. While the stored document is
//! unchanged the same write is sent again, and its condition lets it take effect once.
//!
//! A store that was restored from an older snapshot holds a lower version than is in force. Three
//! ways were weighed:
//!
//! - refuse patches until somebody repairs the store: safe, but a zone could not be taken out;
//! - go on from the stored version: reverts what was accepted and gives numbers a second meaning;
//! - go on from the version in force, which is chosen: nothing that any reachable entry instance
//!   holds is lost, and the store is repaired by the next patch.
//!
//! The next number then skips [`ROLLBACK_GAP`], since an entry instance that cannot be reached may
//! hold a later version that is lost everywhere else. An entry instance that hears of a higher
//! version elsewhere than it holds refuses patches until it has it. What remains: when the store
//! is restored and no entry instance holds or has heard of the later versions, their numbers are
//! given again; and when the store is restored within the time that a version takes to spread, two
//! entry instances may hold different content under one number until the next patch.

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

/// Numbers that are skipped when the store holds a lower version than is in force.
pub const ROLLBACK_GAP: Version = 1_000;

const RETRY_DELAY_MIN: Duration = Duration::from_millis(10);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);

/// The stored configuration, read and changed.
#[derive(Debug, Clone)]
pub struct ConfigStore<S> {
    store: S,
    active: ActiveConfig,
}

/// A patch with what it was made from.
#[derive(Debug, Clone)]
pub struct PatchRequest {
    /// Version that the patch was made from; zero before the first version.
    pub base_version: Version,
    /// The change.
    pub patch: Patch,
    /// Identifies this patch; a repeat with the same id finds the first.
    pub write_id: String,
    /// Who asks for the change.
    pub operator: Arc<str>,
    /// When the change is asked for, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Highest version that any entry instance is known to have in force.
    pub known_version: Version,
}

impl PatchRequest {
    /// Whether this request made `config`.
    fn made(&self, config: &Config) -> bool {
        let base = config.change.as_ref().map(|change| change.base_version);
        config.write_id == self.write_id && base == Some(self.base_version)
    }
}

/// Answer to a patch.
#[derive(Debug, Clone)]
pub enum PatchOutcome {
    /// The patch made this version, exactly once.
    Accepted {
        /// Version that the patch made.
        version: Version,
        /// Whether an earlier request with the same write id had made it.
        repeated: bool,
    },
    /// The patch was made from another version and changed nothing.
    Stale {
        /// Version of the configuration.
        current: Version,
    },
    /// The new configuration would have these faults; nothing was changed.
    Invalid(Faults),
}

/// Failure of a patch.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The store could not be reached; nothing was changed and nothing will be.
    #[error("{0}")]
    Unavailable(StoreError),
    /// Other writers won until the deadline; nothing was changed and nothing will be.
    #[error("other operators won every race")]
    Contended,
    /// The patch may have taken effect, once at most.
    #[error("outcome of the patch is unknown")]
    OutcomeUnknown,
    /// An entry instance has a higher version in force than the store and this one have.
    #[error(
        "version {known_version} is in force elsewhere, and only version {newest_version} is known here"
    )]
    Behind {
        /// Highest version that another entry instance has in force.
        known_version: Version,
        /// Newest version known to this entry instance.
        newest_version: Version,
    },
    /// The stored configuration cannot be understood.
    #[error("stored configuration: {0}")]
    Malformed(Arc<str>),
}

/// The stored document with the revision that a write must name.
struct Stored {
    config: Arc<Config>,
    revision: Revision,
}

/// A write that was sent and may have taken effect.
struct Sent {
    write: Write,
    config: Arc<Config>,
}

enum Step {
    Done(PatchOutcome),
    Retry(PatchError),
}

impl<S: Store> ConfigStore<S> {
    /// The configuration in `store`, with the one in force in this process.
    pub fn new(store: S, active: ActiveConfig) -> Self {
        Self { store, active }
    }

    /// The newest configuration known: the stored one or the one in force here.
    pub async fn newest(&self) -> Result<Option<Arc<Config>>, PatchError> {
        let stored = self.read().await?.map(|stored| stored.config);
        if let Some(config) = &stored {
            self.active.offer(config.clone());
        }
        Ok(newer(stored, self.active.load()))
    }

    /// Makes the next version by a patch. Retries and settles lost answers until `deadline`.
    pub async fn patch(
        &self,
        request: &PatchRequest,
        deadline: Instant,
    ) -> Result<PatchOutcome, PatchError> {
        let mut sent = None;
        let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        loop {
            let step = timeout_at(deadline, self.step(request, &mut sent)).await;
            let reason = match step {
                Ok(Ok(Step::Done(outcome))) => return Ok(outcome),
                Ok(Ok(Step::Retry(reason))) => reason,
                Ok(Err(error)) if sent.is_none() => return Err(error),
                Ok(Err(error)) => error,
                Err(_) => PatchError::Unavailable(no_answer()),
            };
            let wake = Instant::now() + backoff.next_delay();
            if wake >= deadline {
                return Err(if sent.is_some() { PatchError::OutcomeUnknown } else { reason });
            }
            sleep_until(wake).await;
        }
    }

    async fn step(
        &self,
        request: &PatchRequest,
        sent: &mut Option<Sent>,
    ) -> Result<Step, PatchError> {
        let stored = match self.read().await {
            Ok(stored) => stored,
            Err(reason @ PatchError::Unavailable(_)) => return Ok(Step::Retry(reason)),
            Err(error) => return Err(error),
        };
        let active = self.active.load();
        let newest = newer(stored.as_ref().map(|stored| stored.config.clone()), active.clone());
        let known = [stored.as_ref().map(|stored| &stored.config), active.as_ref()];
        if let Some(made) = known.into_iter().flatten().find(|config| request.made(config)) {
            self.active.offer(made.clone());
            let (version, repeated) = (made.version, sent.is_none());
            return Ok(Step::Done(PatchOutcome::Accepted { version, repeated }));
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
            Err(faults) => return Ok(Step::Done(PatchOutcome::Invalid(faults))),
        };
        let bytes = encode(&config)?;
        if bytes.len() > VALUE_BYTES_MAX {
            let message = format!("has {} bytes; at most {VALUE_BYTES_MAX} fit", bytes.len());
            return Ok(Step::Done(PatchOutcome::Invalid(Faults::one("", message))));
        }
        let replaced = [stored.map(|stored| stored.config), newest];
        if let Err(error) = history::save(&self.store, replaced.iter().flatten()).await {
            return Ok(Step::Retry(PatchError::Unavailable(error)));
        }
        let write = Write::put(CURRENT_KEY, compare, bytes);
        let step = self.send(write, config, sent).await;
        if stored_version < newest_version && matches!(step, Step::Done(_)) {
            emit!(
                OperatorsEvent::StoreRolledBack,
                stored = stored_version,
                in_force = newest_version
            );
        }
        Ok(step)
    }

    /// Sends a write and notes in `sent` when its outcome is unknown.
    async fn send(&self, write: Write, config: Arc<Config>, sent: &mut Option<Sent>) -> Step {
        let repeated = sent.is_some();
        if !repeated {
            *sent = Some(Sent { write: write.clone(), config: config.clone() });
        }
        match self.store.write(write).await {
            Ok(WriteOutcome::Written(_)) => {
                let version = config.version;
                self.active.offer(config);
                let store = self.store.clone();
                tokio::spawn(async move { history::trim(&store, version).await });
                Step::Done(PatchOutcome::Accepted { version, repeated: false })
            }
            Ok(WriteOutcome::Conflict) => {
                if !repeated {
                    *sent = None;
                }
                Step::Retry(PatchError::Contended)
            }
            Err(error @ (StoreError::Unavailable(_) | StoreError::LeaseExpired)) => {
                if !repeated {
                    *sent = None;
                }
                Step::Retry(PatchError::Unavailable(error))
            }
            Err(error) => Step::Retry(PatchError::Unavailable(error)),
        }
    }

    /// Finds out whether a patch that names an older version is a repeat.
    async fn resolve_stale(
        &self,
        request: &PatchRequest,
        newest_version: Version,
    ) -> Result<Step, PatchError> {
        let base = request.base_version;
        for version in [base.saturating_add(1), base.saturating_add(ROLLBACK_GAP)] {
            let record = match history::get(&self.store, version).await {
                Ok(record) => record,
                Err(error) => return Ok(Step::Retry(PatchError::Unavailable(error))),
            };
            if record.is_some_and(|record| record.write_id == request.write_id) {
                return Ok(Step::Done(PatchOutcome::Accepted { version, repeated: true }));
            }
        }
        Ok(Step::Done(PatchOutcome::Stale { current: newest_version }))
    }

    /// Finds out whether a write whose answer was lost made `version`, now that the configuration
    /// has changed since.
    async fn resolve_sent(
        &self,
        request: &PatchRequest,
        version: Version,
        newest_version: Version,
    ) -> Result<Step, PatchError> {
        if newest_version == version {
            return Ok(Step::Done(PatchOutcome::Stale { current: newest_version }));
        }
        let record = match history::get(&self.store, version).await {
            Ok(record) => record,
            Err(error) => return Ok(Step::Retry(PatchError::Unavailable(error))),
        };
        Ok(match record {
            Some(record) if record.write_id == request.write_id => {
                Step::Done(PatchOutcome::Accepted { version, repeated: false })
            }
            Some(_) => Step::Done(PatchOutcome::Stale { current: newest_version }),
            None => Step::Retry(PatchError::OutcomeUnknown),
        })
    }

    async fn read(&self) -> Result<Option<Stored>, PatchError> {
        let record = self.store.get(CURRENT_KEY).await.map_err(PatchError::Unavailable)?;
        let Some(record) = record else { return Ok(None) };
        let raw: RawConfig = serde_json::from_slice(&record.value).map_err(malformed)?;
        let config = Config::try_from(raw).map_err(malformed)?;
        Ok(Some(Stored { config: Arc::new(config), revision: record.revision }))
    }

    /// The store in which the configuration is kept.
    pub fn store(&self) -> &S {
        &self.store
    }
}

/// Version that follows `newest_version`, the highest one known, when the store holds `stored`.
pub fn next_version(newest_version: Version, stored: Version) -> Version {
    let step = if stored < newest_version { ROLLBACK_GAP } else { 1 };
    newest_version.saturating_add(step)
}

fn newer(one: Option<Arc<Config>>, other: Option<Arc<Config>>) -> Option<Arc<Config>> {
    let version = |config: &Option<Arc<Config>>| config.as_ref().map_or(0, |config| config.version);
    if version(&one) >= version(&other) { one } else { other }
}

fn compare_of(stored: Option<&Stored>) -> Compare {
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

fn no_answer() -> StoreError {
    StoreError::Unavailable("no answer before the deadline".into())
}

#[cfg(test)]
mod tests;
