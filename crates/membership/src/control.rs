//! The control role: the one entry instance that holds it runs the work for the whole fleet.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::backoff::jitter;
use cassiafold_platform::{
    Compare, LeaseId, LeaseKeeper, LeaseValidity, Operation, Revision, Store, StoreError, Write,
    WriteOutcome,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::escrow::Incarnation;
use crate::event::MembershipEvent;
use crate::identity::Identity;

/// Key under which the holder of the control role is stored.
pub const CONTROL_KEY: &str = "cassiafold/control/holder";
/// Attempts to resolve a write with an unknown outcome before the lease is revoked.
const RESOLVE_ATTEMPTS: usize = 5;
const RESOLVE_INTERVAL: Duration = Duration::from_millis(200);

/// Stored holder of the control role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    id: Arc<str>,
    run: Incarnation,
    lease: LeaseId,
}

/// One term of holding the control role.
#[derive(Debug, Clone)]
pub struct ControlTerm {
    /// Revision at which the role was acquired. It rises from term to term, so it orders the
    /// terms.
    pub revision: Revision,
    validity: LeaseValidity,
}

impl ControlTerm {
    /// Returns whether the role is held at this moment, by the monotonic clock. Check it before
    /// each step, as the term may end between two steps.
    pub fn is_valid(&self) -> bool {
        self.validity.is_valid()
    }
}

/// State of the control role at this entry instance. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ControlLease {
    term: Arc<Mutex<Option<ControlTerm>>>,
    changes: Arc<watch::Sender<()>>,
}

impl ControlLease {
    /// Returns the current term if the role is held at this moment.
    pub fn held(&self) -> Option<ControlTerm> {
        let term = self.term.lock().unwrap_or_else(PoisonError::into_inner);
        term.clone().filter(ControlTerm::is_valid)
    }

    /// Returns a receiver that is notified when the role was acquired or lost.
    pub fn changed(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    fn set(&self, term: Option<ControlTerm>) {
        *self.term.lock().unwrap_or_else(PoisonError::into_inner) = term;
        self.changes.send_replace(());
    }

    /// Acquires the role whenever it is free and keeps it until `stop`; then releases it.
    pub async fn run<S: Store>(
        self,
        store: S,
        me: Identity,
        ttl: Duration,
        stop: CancellationToken,
    ) {
        while !stop.is_cancelled() {
            if is_free(&store).await {
                self.hold_for_term(&store, &me, ttl, &stop).await;
            }
            tokio::select! {
                () = sleep(jitter(ttl / 3)) => {}
                () = stop.cancelled() => {}
            }
        }
    }

    /// Holds the role for one term if it can be acquired.
    async fn hold_for_term<S: Store>(
        &self,
        store: &S,
        me: &Identity,
        ttl: Duration,
        stop: &CancellationToken,
    ) {
        let Ok(lease) = LeaseKeeper::start(store.clone(), ttl).await else { return };
        if let Some(revision) = acquire(store, me, lease.id()).await {
            emit!(MembershipEvent::ControlAcquired, instance = me.id, revision = revision);
            self.set(Some(ControlTerm { revision, validity: lease.validity() }));
            tokio::select! {
                () = lease.ended() => emit!(MembershipEvent::ControlLost, instance = me.id),
                () = stop.cancelled() => {}
            }
            self.set(None);
        }
        let _ = lease.close().await;
    }
}

async fn is_free<S: Store>(store: &S) -> bool {
    matches!(store.get(CONTROL_KEY).await, Ok(None))
}

/// Creates the key bound to `lease`. An unknown outcome is resolved by reading the key.
async fn acquire<S: Store>(store: &S, me: &Identity, lease: LeaseId) -> Option<Revision> {
    let holder = Holder { id: me.id.clone(), run: me.incarnation, lease };
    let value = serde_json::to_vec(&holder).ok()?;
    let operation = Operation::Put { value: value.into(), lease: Some(lease) };
    let write = Write { key: CONTROL_KEY.into(), compare: Compare::Absent, operation };
    match store.write(write).await {
        Ok(WriteOutcome::Written(revision)) => Some(revision),
        Err(StoreError::OutcomeUnknown(_)) => resolve(store, &holder).await,
        _ => None,
    }
}

/// Reads whether a write took effect. Giving up is safe: the caller revokes the lease, which
/// deletes the key.
async fn resolve<S: Store>(store: &S, holder: &Holder) -> Option<Revision> {
    for _ in 0..RESOLVE_ATTEMPTS {
        if let Ok(Some(record)) = store.get(CONTROL_KEY).await {
            let stored: Option<Holder> = serde_json::from_slice(&record.value).ok();
            if stored.as_ref() == Some(holder) {
                return Some(record.revision);
            }
        }
        sleep(RESOLVE_INTERVAL).await;
    }
    None
}

#[cfg(test)]
mod tests;
