//! The configuration, evacuations and maintenance waves that the operator wants, as watched in the
//! store.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::ZoneId;
use cassiafold_event::emit;
use cassiafold_platform::{Moment, Record, Revision, Store, StoreError, Watch, since_boot};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::cluster::{ClusterConfig, Wave};
use crate::event::JobsEvent;
use crate::outage::OutageLog;
use crate::platform_clients::{Formats, OperatorItem, PlatformClients};
use crate::task_panic::restart_on_panic;

/// Delay before the keys are listed and watched again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::view";

/// What the operator wants, as of one store revision.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    /// The configuration; `None` before the first one is known.
    pub config: Option<Arc<ClusterConfig>>,
    /// Revision of the configuration's key.
    pub config_revision: Revision,
    /// Availability zones that must not be sent any work.
    pub evacuated: HashSet<ZoneId>,
    /// Maintenance waves.
    pub waves: Vec<Wave>,
    /// When the last request was sent to which the store responded with this state.
    pub confirmed: Moment,
    /// Moment at which the known configuration was the store's newest, or a later one. A newer one
    /// that can't be read leaves it unchanged.
    pub config_confirmed: Moment,
}

/// A request to the store whose response tells the newest configuration.
#[derive(Debug, Clone, Copy)]
pub struct ConfigCheck {
    /// When the request is sent, or just before.
    pub requested_at: Moment,
    /// Revision of the configuration that is known by then.
    known: Revision,
}

/// Publishes the desired state.
#[derive(Debug, Clone)]
pub struct DesiredStateSender(watch::Sender<Arc<DesiredState>>);

impl DesiredStateSender {
    /// A sender with an empty state, and its first receiver.
    pub fn new() -> (Self, watch::Receiver<Arc<DesiredState>>) {
        let (sender, receiver) = watch::channel(Arc::default());
        (Self(sender), receiver)
    }

    /// Publishes a configuration, unless a newer one is known.
    pub fn apply_config(&self, config: ClusterConfig, revision: Revision) {
        self.0.send_if_modified(|desired_state| {
            let current_version =
                desired_state.config.as_ref().map_or(0, |current| current.version);
            if revision <= desired_state.config_revision || config.version < current_version {
                return false;
            }
            emit!(
                target: LOG_TARGET,
                JobsEvent::ConfigInForce,
                version = config.version,
                revision = revision
            );
            let mut next = DesiredState::clone(desired_state);
            next.config = Some(Arc::new(config));
            next.config_revision = revision;
            *desired_state = Arc::new(next);
            true
        });
    }

    /// Begins a check of the configuration, just before its request is sent.
    pub fn begin_check(&self) -> ConfigCheck {
        ConfigCheck { requested_at: since_boot(), known: self.0.borrow().config_revision }
    }

    /// Confirms the known configuration, if the newest one according to the store is among those
    /// that were applied.
    ///
    /// A response with an older one than was known before the request is that of a store that lags
    /// behind, and says nothing.
    pub fn complete_check(&self, check: ConfigCheck, newest: Revision) {
        self.0.send_if_modified(|desired_state| {
            let applied = check.known..=desired_state.config_revision;
            if applied.contains(&newest) && check.requested_at > desired_state.config_confirmed {
                let mut next = DesiredState::clone(desired_state);
                next.config_confirmed = check.requested_at;
                *desired_state = Arc::new(next);
            }
            // Nobody waits for a confirmation.
            false
        });
    }

    fn update(&self, update: impl FnOnce(&mut DesiredState)) {
        self.0.send_modify(|desired_state| {
            let mut next = DesiredState::clone(desired_state);
            update(&mut next);
            *desired_state = Arc::new(next);
        });
    }
}

/// Watches the operator's keys and publishes their state, until the future is dropped.
pub async fn follow<S: PlatformClients>(platform: S, sender: DesiredStateSender) {
    let name = "watch of the desired state";
    restart_on_panic(name, || watch(&platform, &sender)).await
}

/// The operator's items, as of the latest response of the store.
#[derive(Default)]
struct Items {
    by_key: BTreeMap<Arc<str>, OperatorItem>,
    /// Revision of the configuration, readable or not; 0 if there is none.
    config_revision: Revision,
}

async fn watch<S: PlatformClients>(platform: &S, sender: &DesiredStateSender) {
    let mut items = Items::default();
    let mut outage = OutageLog::new("operator's view");
    loop {
        if let Err(error) = watch_once(platform, sender, &mut items, &mut outage).await {
            outage.record_failure(&error);
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn watch_once<S: PlatformClients>(
    platform: &S,
    sender: &DesiredStateSender,
    items: &mut Items,
    outage: &mut OutageLog,
) -> Result<(), StoreError> {
    let check = sender.begin_check();
    let snapshot = platform.store().list(S::Formats::OPERATOR_PREFIX).await?;
    outage.record_success();
    *items = Items::default();
    for record in &snapshot.records {
        apply_record(platform, sender, items, record);
    }
    publish(sender, items, check);
    let mut changes =
        platform.store().watch(S::Formats::OPERATOR_PREFIX, snapshot.revision).await?;
    loop {
        let check = sender.begin_check();
        for change in changes.next().await? {
            match &change.record {
                Some(record) => apply_record(platform, sender, items, record),
                None => items.remove::<S>(&change.key),
            }
        }
        publish(sender, items, check);
    }
}

impl Items {
    fn remove<S: PlatformClients>(&mut self, key: &str) {
        if key == S::Formats::CONFIG_KEY {
            self.config_revision = 0;
        }
        self.by_key.remove(key);
    }
}

fn apply_record<S: PlatformClients>(
    platform: &S,
    sender: &DesiredStateSender,
    items: &mut Items,
    record: &Record,
) {
    if *record.key == *S::Formats::CONFIG_KEY {
        items.config_revision = record.revision;
    }
    match platform.formats().operator_item(record) {
        Ok(OperatorItem::Config(config)) => sender.apply_config(*config, record.revision),
        Ok(item) => drop(items.by_key.insert(record.key.clone(), item)),
        Err(error) => {
            emit!(target: LOG_TARGET, JobsEvent::ItemUnreadable, key = record.key, error = error);
            // As after a list, nothing is in force under this key but the last configuration.
            items.by_key.remove(&record.key);
        }
    }
}

fn publish(sender: &DesiredStateSender, items: &Items, check: ConfigCheck) {
    let mut evacuated = HashSet::new();
    let mut waves = Vec::new();
    for item in items.by_key.values() {
        match item {
            OperatorItem::Evacuation(zone) => drop(evacuated.insert(zone.clone())),
            OperatorItem::Wave(wave) => waves.push(wave.clone()),
            OperatorItem::Config(_) | OperatorItem::Other => {}
        }
    }
    sender.complete_check(check, items.config_revision);
    sender.update(|desired_state| {
        desired_state.evacuated = evacuated;
        desired_state.waves = waves;
        desired_state.confirmed = check.requested_at;
    });
}
