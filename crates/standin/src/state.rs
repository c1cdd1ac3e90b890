//! State of the stand-in store: keys, leases, faults and call counts.

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_platform::{
    Effect, Expectation, LeaseId, Operation, Revision, StoreError, Transaction, TransactionOutcome,
};
use tokio::time::Instant;

use crate::calls::CallCounts;
use crate::faults::{ClientId, Faults};
use crate::keyspace::Keyspace;

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Sequence number of a watch, assigned at its start.
pub(crate) type WatchNumber = u64;

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) keys: Keyspace,
    pub(crate) faults: Faults,
    pub(crate) counts: BTreeMap<ClientId, CallCounts>,
    leases: BTreeMap<LeaseId, Lease>,
    last_lease: LeaseId,
    last_watch: WatchNumber,
    ended_watches: WatchNumber,
    silenced_watches: WatchNumber,
}

impl State {
    /// Removes the leases whose time to live has passed, and the keys bound to them.
    pub(crate) fn remove_expired_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.extract_if(.., |_, lease| lease.expires <= now).count();
        if ended > 0 {
            self.delete_keys_without_lease();
        }
    }

    /// Deletes the keys whose lease no longer exists.
    fn delete_keys_without_lease(&mut self) {
        for key in self.keys.keys_bound_to(|lease| !self.leases.contains_key(&lease)) {
            self.keys.apply(&key, Operation::Delete);
        }
    }

    /// Returns the expiry time of the lease that expires first.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires).min()
    }

    pub(crate) fn commit(
        &mut self,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, StoreError> {
        let is_met =
            |expectation: &Expectation| self.keys.meets(&expectation.key, expectation.compare);
        if !transaction.expectations.iter().all(is_met) {
            let keys = transaction.expectations.iter().map(|expectation| &expectation.key);
            return Ok(TransactionOutcome::Conflict(
                keys.filter_map(|key| self.keys.get(key, None)).collect(),
            ));
        }
        let is_bound = |effect: &Effect| match effect.operation {
            Operation::Put { lease: Some(lease), .. } => self.leases.contains_key(&lease),
            _ => true,
        };
        if !transaction.effects.iter().all(is_bound) {
            return Err(StoreError::LeaseExpired);
        }
        let operations =
            transaction.effects.into_iter().map(|effect| (effect.key, effect.operation));
        Ok(TransactionOutcome::Written(self.keys.apply_all(operations)))
    }

    pub(crate) fn grant(&mut self, ttl: Duration) -> LeaseId {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires: Instant::now() + ttl });
        self.last_lease
    }

    pub(crate) fn keep_alive(&mut self, lease: LeaseId) -> Result<Duration, StoreError> {
        let lease = self.leases.get_mut(&lease).ok_or(StoreError::LeaseExpired)?;
        lease.expires = Instant::now() + lease.ttl;
        Ok(lease.ttl)
    }

    pub(crate) fn revoke(&mut self, lease: LeaseId) -> Result<(), StoreError> {
        self.leases.remove(&lease).ok_or(StoreError::LeaseExpired)?;
        self.delete_keys_without_lease();
        Ok(())
    }

    /// Restores the keys of `revision`, except keys whose lease has ended since. Returns false if
    /// the history does not contain `revision`.
    pub(crate) fn roll_back(&mut self, revision: Revision) -> bool {
        let restored = self.keys.roll_back(revision);
        if restored {
            self.delete_keys_without_lease();
            self.end_watches();
        }
        restored
    }

    pub(crate) fn start_watch(&mut self) -> WatchNumber {
        self.last_watch += 1;
        self.last_watch
    }

    pub(crate) fn end_watches(&mut self) {
        self.ended_watches = self.last_watch;
    }

    pub(crate) fn silence_watches(&mut self) {
        self.silenced_watches = self.last_watch;
    }

    pub(crate) fn is_ended(&self, watch: WatchNumber) -> bool {
        watch <= self.ended_watches
    }

    pub(crate) fn is_silent(&self, watch: WatchNumber) -> bool {
        self.faults.silent_watches || watch <= self.silenced_watches
    }
}
