//! Authorization of calls, by a configuration that is not out of date.

use std::sync::PoisonError;
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_event::emit;
use cassiafold_platform::{Moment, Record, Revision, since_boot};
use tokio::time::Instant;

use super::reason::{StoreOperation, UnknownReason};
use super::response::parse_job_id;
use super::{Call, Denial, JobApi, Target};
use crate::cluster::Queue;
use crate::event::JobsEvent;
use crate::platform_clients::{Formats, OperatorItem, PlatformClients};

/// Age from which an unconfirmed configuration may be out of date. The store holds a watch request
/// for one second before it reports that nothing has changed.
const CONFIG_AGE_MAX: Duration = Duration::from_millis(2_200);
/// Part of the longest time for which a withdrawn key may be accepted that the configuration may be
/// old. The rest is for clocks that differ in speed.
const KEY_CONFIG_AGE_PERCENT: u32 = 90;
/// Timeout of the read that confirms the configuration, unless the store is expected to take longer.
const CONFIG_TIMEOUT_MIN: Duration = Duration::from_millis(300);
/// Divisor of the time that a caller has left that gives the longest timeout of the read that confirms the
/// configuration. What the call itself reads is read meanwhile.
const CONFIG_TIMEOUT_DIVISOR: u32 = 2;
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::desk::admission";

/// An authorized call.
pub(super) struct AuthorizedCall {
    pub(super) queue: Queue,
    pub(super) team: Option<TeamId>,
    pub(super) target: Target,
    pub(super) config_revision: Revision,
}

impl<S: PlatformClients> JobApi<S> {
    /// Authorizes a call. A configuration that may be out of date is read first.
    ///
    /// The read covers the case of a watch that no longer reports changes while the store responds
    /// to other requests. An instance that is cut off from the store serves the calls that it can
    /// authorize, those with a key only for a limited time, but reports no key, queue or job as
    /// unknown.
    pub(super) async fn authorize_fresh(&self, call: &Call) -> Result<AuthorizedCall, Denial> {
        let is_confirmed = self.confirm_config(call).await;
        match self.authorize(call) {
            result if is_confirmed => result,
            Err(_) => Err(Denial::Outdated),
            Ok(auth) if auth.queue.is_public || self.may_accept_keys() => Ok(auth),
            Ok(_) => Err(Denial::KeyUnconfirmed),
        }
    }

    /// Authorizes a call by the known configuration, for calls whose write is conditional on it, or
    /// that are authorized again. A denial is confirmed with the store first.
    pub(super) async fn authorize_known(&self, call: &Call) -> Result<AuthorizedCall, Denial> {
        match self.authorize(call) {
            Ok(auth) => Ok(auth),
            Err(_) => self.authorize_fresh(call).await,
        }
    }

    /// Returns whether the known configuration was the newest one when the call arrived, or is not
    /// old. Reads it if necessary.
    async fn confirm_config(&self, call: &Call) -> bool {
        if self.config_age() < CONFIG_AGE_MAX.min(self.key_config_age_max()) {
            return true;
        }
        let arrived = since_boot();
        let asked = self.config_asked();
        let is_newest_unreadable = asked > self.config_confirmed();
        if is_newest_unreadable && arrived.saturating_sub(asked) < CONFIG_AGE_MAX {
            return false;
        }
        self.read_config(call).await.is_ok() && self.config_confirmed() >= arrived
    }

    /// Whether calls with a key may be accepted by the known configuration, although it is not known
    /// to be the newest.
    fn may_accept_keys(&self) -> bool {
        self.config_age() < self.key_config_age_max()
    }

    /// Age that a configuration must not reach when calls with a key are accepted by it.
    fn key_config_age_max(&self) -> Duration {
        let time_max = self.withdrawn_key_time_max;
        time_max.map_or(Duration::MAX, |time_max| time_max * KEY_CONFIG_AGE_PERCENT / 100)
    }

    fn config_age(&self) -> Duration {
        since_boot().saturating_sub(self.config_confirmed())
    }

    /// Moment at which the known configuration was the newest.
    pub(super) fn config_confirmed(&self) -> Moment {
        self.desired_states.borrow().config_confirmed
    }

    /// When the latest request was sent to which the store responded with its configuration.
    fn config_asked(&self) -> Moment {
        let read = *self.config_read.lock().unwrap_or_else(PoisonError::into_inner);
        self.desired_states.borrow().confirmed.max(read)
    }

    /// Revision of the configuration; 0 if none is known.
    pub(super) fn config_revision(&self) -> Revision {
        self.desired_states.borrow().config_revision
    }

    async fn read_config(&self, call: &Call) -> Result<(), UnknownReason> {
        let check = self.sender.begin_check();
        let now = Instant::now();
        let left = call.respond_by().saturating_duration_since(now);
        let expected = self.availability.expected_time_max();
        let deadline = now + CONFIG_TIMEOUT_MIN.max(expected).min(left / CONFIG_TIMEOUT_DIVISOR);
        let key = S::Formats::CONFIG_KEY;
        let record = self.read_key(StoreOperation::ReadConfig, key, deadline).await?;
        self.apply_config_record(record.as_slice());
        self.sender.complete_check(check, record.map_or(0, |record| record.revision));
        *self.config_read.lock().unwrap_or_else(PoisonError::into_inner) = check.requested_at;
        Ok(())
    }

    /// Authorizes a call by the known configuration.
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

    /// Applies the configuration, if it is among the records.
    pub(super) fn apply_config_record(&self, records: &[Record]) {
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

/// Parses the rest of a path: empty for the queue, or 16 hexadecimal digits for a job.
fn target(rest: &str) -> Option<Target> {
    if rest.is_empty() {
        return Some(Target::Queue);
    }
    parse_job_id(rest).map(Target::Job)
}
