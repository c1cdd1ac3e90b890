//! What the operator wants, followed in the store.

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

/// Time between two attempts to reach the store.
const RETRY: Duration = Duration::from_millis(150);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::view";

/// What the operator wants, as of one revision.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    /// The configuration; `None` before the first one is known.
    pub config: Option<Arc<ClusterConfig>>,
    /// Revision of the configuration's key.
    pub config_revision: Revision,
    /// Zones to which nothing may be sent.
    pub evacuated: HashSet<ZoneId>,
    /// Waves of maintenance.
    pub waves: Vec<Wave>,
    /// When the store last answered.
    pub confirmed: Moment,
}

/// Publishes the view, and takes in configurations that are found elsewhere.
#[derive(Debug, Clone)]
pub struct DesiredStateSender(watch::Sender<Arc<DesiredState>>);

impl DesiredStateSender {
    /// A sender with an empty view, and a first receiver.
    pub fn new() -> (Self, watch::Receiver<Arc<DesiredState>>) {
        let (sender, receiver) = watch::channel(Arc::default());
        (Self(sender), receiver)
    }

    /// Takes over a configuration unless a newer one is in force.
    pub fn apply_config(&self, config: ClusterConfig, revision: Revision) {
        self.0.send_if_modified(|desired_state| {
            let held = desired_state.config.as_ref().map_or(0, |held| held.version);
            if revision <= desired_state.config_revision || config.version < held {
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

    fn change(&self, change: impl FnOnce(&mut DesiredState)) {
        self.0.send_modify(|desired_state| {
            let mut next = DesiredState::clone(desired_state);
            change(&mut next);
            *desired_state = Arc::new(next);
        });
    }
}

/// Follows the operator's keys until it is dropped.
pub async fn follow<S: PlatformClients>(platform: S, sender: DesiredStateSender) {
    let mut items: BTreeMap<Arc<str>, OperatorItem> = BTreeMap::new();
    let mut outage = OutageLog::new("operator's view");
    loop {
        if let Err(error) = follow_once(&platform, &sender, &mut items, &mut outage).await {
            outage.record_failure(&error);
        }
        sleep(RETRY).await;
    }
}

async fn follow_once<S: PlatformClients>(
    platform: &S,
    sender: &DesiredStateSender,
    items: &mut BTreeMap<Arc<str>, OperatorItem>,
    outage: &mut OutageLog,
) -> Result<(), StoreError> {
    let asked = since_boot();
    let snapshot = platform.store().list(S::Formats::OPERATOR_PREFIX).await?;
    outage.record_success();
    items.clear();
    for record in &snapshot.records {
        take_in(platform, sender, items, record);
    }
    publish(sender, items, asked);
    let mut changes =
        platform.store().watch(S::Formats::OPERATOR_PREFIX, snapshot.revision).await?;
    loop {
        let asked = since_boot();
        for change in changes.next().await? {
            match &change.record {
                Some(record) => take_in(platform, sender, items, record),
                None => drop(items.remove(&change.key)),
            }
        }
        publish(sender, items, asked);
    }
}

fn take_in<S: PlatformClients>(
    platform: &S,
    sender: &DesiredStateSender,
    items: &mut BTreeMap<Arc<str>, OperatorItem>,
    record: &Record,
) {
    match platform.formats().operator_item(record) {
        Ok(OperatorItem::Config(config)) => sender.apply_config(*config, record.revision),
        Ok(item) => drop(items.insert(record.key.clone(), item)),
        Err(error) => {
            emit!(target: LOG_TARGET, JobsEvent::ItemUnreadable, key = record.key, error = error)
        }
    }
}

fn publish(sender: &DesiredStateSender, items: &BTreeMap<Arc<str>, OperatorItem>, asked: Moment) {
    let mut evacuated = HashSet::new();
    let mut waves = Vec::new();
    for item in items.values() {
        match item {
            OperatorItem::Evacuation(zone) => drop(evacuated.insert(zone.clone())),
            OperatorItem::Wave(wave) => waves.push(wave.clone()),
            OperatorItem::Config(_) | OperatorItem::Other => {}
        }
    }
    sender.change(|desired_state| {
        desired_state.evacuated = evacuated;
        desired_state.waves = waves;
        desired_state.confirmed = asked;
    });
}
