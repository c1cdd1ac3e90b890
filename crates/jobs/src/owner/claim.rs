//! Claim of the ownership.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{
    Compare, Hedge, LeaseId, LeaseKeeper, Record, Revision, Store, StoreError, Transaction,
    TransactionOutcome, TransactionalStore, Watch,
};
use tokio::time::{Instant, sleep};

use super::OwnerSettings;
use super::write::first_resend_delay;
use crate::clients::FencingToken;
use crate::platform_clients::PlatformClients;
use crate::record::OWNER_KEY;
use crate::response_times::ResponseTimes;

/// Delay between two attempts to reach the store.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Shortest time to live of a lease, in durations of one call: the claim and the first renewal have
/// to fit into it.
const LEASE_CALLS_MIN: u32 = 2;
/// Part of the time to live after which a request for a lease without a response is sent again.
const LEASE_RESEND_DIVISOR: u32 = 4;
/// Time to live of a slow store's lease, in durations of one call.
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
    let (lease, call_time) = start_lease(platform.store(), settings.lease_ttl).await?;
    let claim: Arc<str> = format!("{} {:016x}", settings.instance, rand::random::<u64>()).into();
    let token = write_claim(platform, compare, &claim, lease.id(), call_time).await?;
    Ok(token.map(|token| Ownership { lease, token }))
}

/// A lease, and how long the store took to grant it.
type TimedLease<T> = (LeaseKeeper<T>, Duration);

/// Requests a lease, and another one that lasts longer if the store takes too long for it.
async fn start_lease<T: Store>(store: &T, ttl: Duration) -> Result<TimedLease<T>, StoreError> {
    let (lease, call_time) = start_timed_lease(store, ttl, ttl / LEASE_RESEND_DIVISOR).await?;
    if call_time * LEASE_CALLS_MIN <= ttl {
        return Ok((lease, call_time));
    }
    // The first lease is not used, and ends by itself.
    let slow_ttl = (call_time * SLOW_LEASE_CALLS).min(LEASE_TTL_MAX).max(ttl);
    start_timed_lease(store, slow_ttl, resend_delay(call_time)).await
}

async fn start_timed_lease<T: Store>(
    store: &T,
    ttl: Duration,
    resend_delay: Duration,
) -> Result<TimedLease<T>, StoreError> {
    let asked = Instant::now();
    let lease = hedge_once(resend_delay).run(|| LeaseKeeper::start(store.clone(), ttl)).await?;
    Ok((lease, asked.elapsed()))
}

/// A call that is made once more if it gets no response within `delay`.
fn hedge_once(delay: Duration) -> Hedge {
    Hedge { interval: delay, growth: 1, attempts_max: 2 }
}

/// Time after which a call without a response is made again, when another one took `call_time`.
fn resend_delay(call_time: Duration) -> Duration {
    let mut times = ResponseTimes::default();
    times.record(call_time);
    first_resend_delay(&times)
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
    lease: LeaseId,
    call_time: Duration,
) -> Result<Option<FencingToken>, StoreError> {
    let transaction = Transaction::default().expect(OWNER_KEY, compare).put(
        OWNER_KEY,
        claim.as_bytes().to_vec(),
        Some(lease),
    );
    let commit = || platform.store().commit(transaction.clone());
    let is_own = |record: &Record| record.value == claim.as_bytes();
    match hedge_once(resend_delay(call_time)).run(commit).await {
        Ok(TransactionOutcome::Written(revision)) => Ok(Some(revision)),
        // The first attempt may have been committed.
        Ok(TransactionOutcome::Conflict(records)) => {
            Ok(records.into_iter().find(is_own).map(|record| record.revision))
        }
        Err(StoreError::OutcomeUnknown(_)) => {
            let record = platform.store().get(OWNER_KEY).await?;
            Ok(record.filter(is_own).map(|record| record.revision))
        }
        Err(error) => Err(error),
    }
}
