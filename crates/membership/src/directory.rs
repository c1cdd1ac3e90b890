//! Registrations of entry instances in the key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use cassiafold_config::{InstanceId, RegionId, ZoneId};
use cassiafold_event::emit;
use cassiafold_platform::backoff::jitter;
use cassiafold_platform::{
    Backoff, Compare, LeaseId, LeaseKeeper, Operation, Snapshot, Store, StoreError, Watch, Write,
    WriteOutcome,
};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::contact::StoreContact;
use crate::escrow::Incarnation;
use crate::event::MembershipEvent;
use crate::identity::Identity;
use crate::roster::Roster;

/// Prefix of the registration keys.
pub const ENTRIES_PREFIX: &str = "cassiafold/entries/";
/// Interval at which all registrations are read again, in case a watch no longer delivers changes.
const RELIST_INTERVAL: Duration = Duration::from_secs(30);
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(5);
/// Interval at which a registration held by a later run of the same instance is checked again.
const IN_USE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Stored registration of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Registration {
    id: InstanceId,
    zone: ZoneId,
    region: RegionId,
    address: SocketAddr,
    run: Incarnation,
    lease: LeaseId,
}

impl Registration {
    fn new(identity: &Identity, lease: LeaseId) -> Self {
        Self {
            id: identity.id.clone(),
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            address: identity.address,
            run: identity.incarnation,
            lease,
        }
    }
}

impl From<Registration> for Identity {
    fn from(registration: Registration) -> Self {
        Self {
            id: registration.id,
            zone: registration.zone,
            region: registration.region,
            address: registration.address,
            incarnation: registration.run,
        }
    }
}

/// Keeps this entry instance registered until `stop`; then deletes the registration.
pub async fn register<S: Store>(
    store: S,
    me: Identity,
    ttl: Duration,
    stop: CancellationToken,
    contact: StoreContact,
) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    while !stop.is_cancelled() {
        let registering = async {
            let lease = LeaseKeeper::start(store.clone(), ttl).await?;
            put(&store, &me, lease.id()).await?;
            Ok::<_, StoreError>(lease)
        };
        let lease = tokio::select! {
            lease = registering => lease,
            () = stop.cancelled() => return,
        };
        if let Ok(lease) = lease {
            emit!(MembershipEvent::Registered, instance = me.id);
            contact.record_response();
            backoff.reset();
            tokio::select! {
                () = lease.ended() => emit!(MembershipEvent::RegistrationLost, instance = me.id),
                () = stop.cancelled() => {
                    let _ = lease.close().await;
                    return;
                }
            }
        }
        tokio::select! {
            () = sleep(backoff.next_delay()) => {}
            () = stop.cancelled() => {}
        }
    }
}

/// Writes the registration. An unknown outcome is resolved by reading the key: the lease identifies
/// this write, as it is new.
async fn put<S: Store>(store: &S, me: &Identity, lease: LeaseId) -> Result<(), StoreError> {
    let key = format!("{ENTRIES_PREFIX}{}", me.id);
    let registration = Registration::new(me, lease);
    let value = serde_json::to_vec(&registration)
        .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
    loop {
        let stored = store.get(&key).await?;
        let known = stored.as_ref().and_then(|record| serde_json::from_slice(&record.value).ok());
        if known.as_ref() == Some(&registration) {
            return Ok(());
        }
        if known.is_some_and(|known: Registration| known.run > me.incarnation) {
            emit!(MembershipEvent::IdInUse, instance = me.id);
            sleep(IN_USE_RETRY_INTERVAL).await;
            continue;
        }
        let compare = stored.map_or(Compare::Absent, |record| Compare::Revision(record.revision));
        let operation = Operation::Put { value: value.clone().into(), lease: Some(lease) };
        let write = Write { key: key.as_str().into(), compare, operation };
        match store.write(write).await {
            Ok(WriteOutcome::Written(_)) => return Ok(()),
            Ok(WriteOutcome::Conflict) | Err(StoreError::OutcomeUnknown(_)) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Follows the registrations of all entry instances. While the service is unreachable, the last
/// known ones are kept. Runs until its task is aborted.
pub async fn follow<S: Store>(store: S, roster: Roster, contact: StoreContact) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        if let Ok(snapshot) = store.list(ENTRIES_PREFIX).await {
            contact.record_response();
            if watch(&store, &roster, &contact, snapshot).await.is_ok() {
                backoff.reset();
                continue;
            }
        }
        sleep(backoff.next_delay()).await;
    }
}

/// Watches until it is time for the next read.
async fn watch<S: Store>(
    store: &S,
    roster: &Roster,
    contact: &StoreContact,
    snapshot: Snapshot,
) -> Result<(), StoreError> {
    let until = Instant::now() + jitter(RELIST_INTERVAL);
    let parse = |value: &[u8]| serde_json::from_slice::<Registration>(value).ok();
    let mut records: std::collections::BTreeMap<_, _> = snapshot
        .records
        .into_iter()
        .filter_map(|record| Some((record.key, Identity::from(parse(&record.value)?))))
        .collect();
    let mut watch = store.watch(ENTRIES_PREFIX, snapshot.revision).await?;
    loop {
        let identities: Vec<Identity> = records.values().cloned().collect();
        roster.set_registered(&identities);
        let Ok(changes) = timeout_at(until, watch.next()).await else { break };
        let changes = changes?;
        contact.record_response();
        for change in changes {
            match change.record.and_then(|record| parse(&record.value)) {
                Some(registration) => {
                    records.insert(change.key, registration.into());
                }
                None => {
                    records.remove(&change.key);
                }
            }
        }
    }
    watch.close();
    Ok(())
}

#[cfg(test)]
mod tests;
