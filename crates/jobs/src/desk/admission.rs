//! Which calls are allowed, by a configuration that is not out of date.

use std::sync::PoisonError;
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_event::emit;
use cassiafold_platform::{Record, Revision, Store, StoreError, since_boot};
use tokio::time::timeout;

use super::{Call, Denial, Desk, Target};
use crate::cluster::Queue;
use crate::event::JobsEvent;
use crate::site::{Formats, OperatorItem, Site};
use crate::spec::JobId;

/// A configuration that the store has not confirmed for this long may be out of date. The store
/// holds a watch for a second before it answers that nothing has changed.
const CONFIG_AGE_MAX: Duration = Duration::from_millis(2_200);
/// Timeout of the read that confirms it.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(300);

/// A call that is allowed.
pub(super) struct Admitted {
    pub(super) queue: Queue,
    pub(super) team: Option<TeamId>,
    pub(super) target: Target,
    pub(super) config_revision: Revision,
}

impl<S: Site> Desk<S> {
    /// Decides about a call. A configuration that may be out of date is read first.
    ///
    /// Answers the fault of a watch that has fallen silent beside a store that answers.
    pub(super) async fn admit_current(&self, call: &Call) -> Result<Admitted, Denial> {
        if self.is_config_current() {
            return self.admit(call);
        }
        match self.read_config().await {
            Ok(()) => self.admit(call),
            // What is cut off serves what it can, but calls nothing unknown.
            Err(_) => self.admit(call).map_err(|_| Denial::Outdated),
        }
    }

    fn is_config_current(&self) -> bool {
        let read = *self.config_read.lock().unwrap_or_else(PoisonError::into_inner);
        let confirmed = self.views.borrow().confirmed.max(read);
        since_boot().saturating_sub(confirmed) < CONFIG_AGE_MAX
    }

    async fn read_config(&self) -> Result<(), StoreError> {
        if self.is_store_silent() {
            return Err(StoreError::Unavailable("the store does not answer".into()));
        }
        let asked = since_boot();
        let reading = timeout(CONFIG_TIMEOUT, self.site.store().get(S::Formats::CONFIG_KEY));
        let lost = || Err(StoreError::OutcomeUnknown("no answer yet".into()));
        let record = self.heard(reading.await.unwrap_or_else(|_| lost()))?;
        self.adopt(record.as_slice());
        *self.config_read.lock().unwrap_or_else(PoisonError::into_inner) = asked;
        Ok(())
    }

    /// Decides about a call by the configuration that is known.
    pub(super) fn admit(&self, call: &Call) -> Result<Admitted, Denial> {
        let view = self.views.borrow().clone();
        let config = view.config.as_ref().ok_or(Denial::NoConfig)?;
        let (queue, rest) = config.route(&call.host, &call.path).ok_or(Denial::NoQueue)?;
        let team = call.key.as_ref().and_then(|key| config.keys.get(key)).cloned();
        if team.is_none() && !queue.is_public {
            return Err(Denial::UnknownKey);
        }
        let target = target(rest).ok_or(Denial::NoJob)?;
        let config_revision = view.config_revision;
        Ok(Admitted { queue: queue.clone(), team, target, config_revision })
    }

    /// Takes over the configuration among records.
    pub(super) fn adopt(&self, records: &[Record]) {
        for record in records.iter().filter(|record| *record.key == *S::Formats::CONFIG_KEY) {
            match self.site.formats().operator_item(record) {
                Ok(OperatorItem::Config(config)) => {
                    self.sender.adopt_config(*config, record.revision);
                }
                Ok(_) => {}
                Err(error) => {
                    emit!(JobsEvent::ItemUnreadable, key = record.key, error = error);
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
