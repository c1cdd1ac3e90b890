//! Which calls are allowed, by a configuration that is not out of date.

use std::sync::PoisonError;
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_event::emit;
use cassiafold_platform::{Record, Revision, Store, StoreError, since_boot};
use tokio::time::timeout;

use super::{Call, Denial, JobApi, Target};
use crate::cluster::Queue;
use crate::event::JobsEvent;
use crate::platform_clients::{Formats, OperatorItem, PlatformClients};
use crate::spec::JobId;

/// A configuration that the store has not confirmed for this long may be out of date. The store
/// holds a watch for a second before it answers that nothing has changed.
const CONFIG_AGE_MAX: Duration = Duration::from_millis(2_200);
/// Timeout of the read that confirms it.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(300);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::desk::admission";

/// A call that is allowed.
pub(super) struct AuthorizedCall {
    pub(super) queue: Queue,
    pub(super) team: Option<TeamId>,
    pub(super) target: Target,
    pub(super) config_revision: Revision,
}

impl<S: PlatformClients> JobApi<S> {
    /// Decides about a call. A configuration that may be out of date is read first.
    ///
    /// Answers the fault of a watch that has fallen silent beside a store that answers.
    pub(super) async fn authorize_fresh(&self, call: &Call) -> Result<AuthorizedCall, Denial> {
        if self.is_config_current() {
            return self.authorize(call);
        }
        match self.read_config().await {
            Ok(()) => self.authorize(call),
            // What is cut off serves what it can, but calls nothing unknown.
            Err(_) => self.authorize(call).map_err(|_| Denial::Outdated),
        }
    }

    fn is_config_current(&self) -> bool {
        let read = *self.config_read.lock().unwrap_or_else(PoisonError::into_inner);
        let confirmed = self.desired_states.borrow().confirmed.max(read);
        since_boot().saturating_sub(confirmed) < CONFIG_AGE_MAX
    }

    async fn read_config(&self) -> Result<(), StoreError> {
        if self.is_store_silent() {
            return Err(StoreError::Unavailable("the store does not answer".into()));
        }
        let asked = since_boot();
        let reading = timeout(CONFIG_TIMEOUT, self.platform.store().get(S::Formats::CONFIG_KEY));
        let lost = || Err(StoreError::OutcomeUnknown("no answer yet".into()));
        let record = self.heard(reading.await.unwrap_or_else(|_| lost()))?;
        self.adopt(record.as_slice());
        *self.config_read.lock().unwrap_or_else(PoisonError::into_inner) = asked;
        Ok(())
    }

    /// Decides about a call by the configuration that is known.
    pub(super) fn authorize(&self, call: &Call) -> Result<AuthorizedCall, Denial> {
        let desired_state = self.desired_states.borrow().clone();
        let config = desired_state.config.as_ref().ok_or(Denial::NoConfig)?;
        let (queue, rest) = config.route(&call.host, &call.path).ok_or(Denial::NoQueue)?;
        let team = call.key.as_ref().and_then(|key| config.keys.get(key)).cloned();
        if team.is_none() && !queue.is_public {
            return Err(Denial::UnknownKey);
        }
        let target = target(rest).ok_or(Denial::NoJob)?;
        let config_revision = desired_state.config_revision;
        Ok(AuthorizedCall { queue: queue.clone(), team, target, config_revision })
    }

    /// Takes over the configuration among records.
    pub(super) fn adopt(&self, records: &[Record]) {
        for record in records.iter().filter(|record| *record.key == *S::Formats::CONFIG_KEY) {
            match self.platform.formats().operator_item(record) {
                Ok(OperatorItem::Config(config)) => {
                    self.sender.apply_config(*config, record.revision);
                }
                Ok(_) => {}
                Err(error) => {
                    emit!(
                        target: LOG_TARGET,
                        JobsEvent::ItemUnreadable,
                        key = record.key,
                        error = error
                    );
                }
            }
        }
    }
}

/// What the rest of a path names: nothing, or a job of 16 hexadecimal digits.
fn target(rest: &str) -> Option<Target> {
    if rest.is_empty() {
        return Some(Target::Queue);
    }
    let is_job = rest.len() == 16 && rest.bytes().all(|digit| digit.is_ascii_hexdigit());
    is_job.then(|| JobId::from_str_radix(rest, 16).ok().map(Target::Job)).flatten()
}
