//! Claim of the ownership.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{
    Compare, LeaseKeeper, Record, Revision, Store, StoreError, Transaction, TransactionOutcome,
    TransactionalStore, Watch,
};
use tokio::time::{Instant, sleep};

use super::OwnerSettings;
use crate::clients::FencingToken;
use crate::platform_clients::PlatformClients;
use crate::record::OWNER_KEY;

/// Delay between two attempts to reach the store.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Number of calls for which a lease lasts at least. The claim is written between its grant and its
/// first renewal.
const LEASE_CALLS_MIN: u32 = 2;
/// Number of calls for which the lease of a slow store lasts.
const SLOW_LEASE_CALLS: u32 = 4;
/// Longest time to live of a lease, unless the settings require a longer one. An owner that is lost
/// is replaced after this time.
const LEASE_TTL_MAX: Duration = Duration::from_secs(4);

/// A claimed ownership.
pub(super) struct Ownership<S: PlatformClients> {
    /// Lease to which the owner key is attached.
    pub(super) lease: LeaseKeeper<S::Store>,
    /// Revision of the owner key at the claim.
    pub(super) token: FencingToken,
}

/// Waits until the ownership is free, and claims it.
///
/// The claim is always delayed, and longer on weaker instances. After a power failure or a store
/// outage all instances would claim at the same time.
pub(super) async fn claim<S: PlatformClients>(
    platform: &S,
    settings: &OwnerSettings,
) -> Ownership<S> {
    loop {
        match try_claim(platform, settings).await {
            Ok(Some(ownership)) => return ownership,
            Ok(None) => {}
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

async fn try_claim<S: PlatformClients>(
    platform: &S,
    settings: &OwnerSettings,
) -> Result<Option<Ownership<S>>, StoreError> {
    let snapshot = platform.store().list(OWNER_KEY).await?;
    // A key of a previous process of this instance may be replaced: that process has ended.
    let own =
        snapshot.records.first().filter(|record| instance_of(record) == Some(&*settings.instance));
    if own.is_none() && !snapshot.records.is_empty() {
        wait_until_free(platform, snapshot.revision).await?;
    }
    let random = settings.claim_delay_max.mul_f64(rand::random());
    sleep(settings.claim_delay + random).await;
    let compare = own.map_or(Compare::Absent, |record| Compare::Revision(record.revision));
    let lease = start_lease(platform.store(), settings.lease_ttl).await?;
    let claim: Arc<str> = format!("{} {:016x}", settings.instance, rand::random::<u64>()).into();
    let token = write_claim(platform, compare, &claim, lease.id()).await?;
    Ok(token.map(|token| Ownership { lease, token }))
}

/// Requests a lease, and another one that lasts longer if the store takes too long for it.
async fn start_lease<T: Store>(store: &T, ttl: Duration) -> Result<LeaseKeeper<T>, StoreError> {
    let (lease, call_time) = start_timed_lease(store, ttl).await?;
    if call_time * LEASE_CALLS_MIN <= ttl {
        return Ok(lease);
    }
    let slow_ttl = (call_time * SLOW_LEASE_CALLS).min(LEASE_TTL_MAX).max(ttl);
    let (slow_lease, call_time) = start_timed_lease(store, slow_ttl).await?;
    // One slow call does not make a slow store. The lease that is dropped ends by itself.
    match call_time * LEASE_CALLS_MIN <= ttl {
        true => Ok(lease),
        false => Ok(slow_lease),
    }
}

/// Requests a lease, and returns how long the store took for it.
async fn start_timed_lease<T: Store>(
    store: &T,
    ttl: Duration,
) -> Result<(LeaseKeeper<T>, Duration), StoreError> {
    let asked = Instant::now();
    let lease = LeaseKeeper::start(store.clone(), ttl).await?;
    Ok((lease, asked.elapsed()))
}

fn instance_of(record: &Record) -> Option<&str> {
    std::str::from_utf8(&record.value).ok()?.split(' ').next()
}

async fn wait_until_free<S: PlatformClients>(
    platform: &S,
    after: Revision,
) -> Result<(), StoreError> {
    let mut changes = platform.store().watch(OWNER_KEY, after).await?;
    loop {
        if changes.next().await?.iter().any(|change| change.record.is_none()) {
            return Ok(());
        }
    }
}

/// Writes a claim. If the response is lost, reads the key to find out whether it was written.
async fn write_claim<S: PlatformClients>(
    platform: &S,
    compare: Compare,
    claim: &Arc<str>,
    lease: i64,
) -> Result<Option<FencingToken>, StoreError> {
    let transaction = Transaction::default().expect(OWNER_KEY, compare).put(
        OWNER_KEY,
        claim.as_bytes().to_vec(),
        Some(lease),
    );
    match platform.store().commit(transaction).await {
        Ok(TransactionOutcome::Written(revision)) => Ok(Some(revision)),
        Ok(TransactionOutcome::Conflict(_)) => Ok(None),
        Err(StoreError::OutcomeUnknown(_)) => {
            let record = platform.store().get(OWNER_KEY).await?;
            let own = record.filter(|record| record.value == claim.as_bytes());
            Ok(own.map(|record| record.revision))
        }
        Err(error) => Err(error),
    }
}
