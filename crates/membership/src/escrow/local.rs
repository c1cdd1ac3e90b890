//! Permits that the request path takes from the slices of this entry instance.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cassiafold_config::TeamId;
use tokio::sync::watch;
use tokio::time::Instant;

/// Usable tokens and tokens in use of one team, packed into one word to be changed atomically.
#[derive(Debug, Default)]
struct Tokens(AtomicU64);

const IN_USE_BITS: u32 = 32;

fn pack(usable: u32, in_use: u32) -> u64 {
    (u64::from(usable) << IN_USE_BITS) | u64::from(in_use)
}

fn unpack(packed: u64) -> (u32, u32) {
    ((packed >> IN_USE_BITS) as u32, packed as u32)
}

impl Tokens {
    fn acquire(&self) -> bool {
        let try_increment = |packed| {
            let (usable, in_use) = unpack(packed);
            (in_use < usable).then(|| pack(usable, in_use + 1))
        };
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, try_increment).is_ok()
    }

    fn release(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }

    /// Sets the usable tokens and returns the tokens in use at that moment.
    fn set_usable(&self, usable: u32) -> u32 {
        let set = |packed| Some(pack(usable, unpack(packed).1));
        let before = self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, set);
        unpack(before.unwrap_or_else(|packed| packed)).1
    }

    fn load(&self) -> (u32, u32) {
        unpack(self.0.load(Ordering::Acquire))
    }
}

/// Period during which the slices may be used, on the monotonic clock.
#[derive(Debug)]
struct ValidityWindow {
    base: Instant,
    valid_until_ms: AtomicU64,
    alive_until_ms: AtomicU64,
    /// End of the last pause of the process; the lock guards changes of both bounds.
    resumed_at: Mutex<Instant>,
}

impl ValidityWindow {
    fn lock_resumed_at(&self) -> MutexGuard<'_, Instant> {
        self.resumed_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn elapsed_ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.base).as_millis() as u64
    }

    fn is_valid(&self) -> bool {
        let now_ms = self.elapsed_ms(Instant::now());
        now_ms < self.valid_until_ms.load(Ordering::Acquire)
            && now_ms < self.alive_until_ms.load(Ordering::Acquire)
    }
}

/// Issues permits from the slices that this entry instance holds. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Escrow {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    teams: ArcSwap<HashMap<TeamId, Arc<Tokens>>>,
    window: ValidityWindow,
    changes: watch::Sender<u64>,
}

/// Permission to run one request of a team; its token is released when it is dropped.
#[derive(Debug)]
pub struct Permit {
    tokens: Arc<Tokens>,
    inner: Arc<Inner>,
}

impl Permit {
    /// Returns whether the slice of the permit may still be used to start work. Check it again
    /// right before the first byte is sent, as time may have passed since the permit was issued.
    pub fn is_valid(&self) -> bool {
        self.inner.window.is_valid()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.tokens.release();
    }
}

impl Default for Escrow {
    fn default() -> Self {
        let base = Instant::now();
        let window = ValidityWindow {
            base,
            valid_until_ms: AtomicU64::new(0),
            alive_until_ms: AtomicU64::new(0),
            resumed_at: Mutex::new(base),
        };
        let changes = watch::Sender::new(0);
        Self { inner: Arc::new(Inner { teams: ArcSwap::default(), window, changes }) }
    }
}

impl Escrow {
    /// Returns a permit if the team may run one more request at this entry instance now.
    pub fn try_acquire(&self, team: &TeamId) -> Option<Permit> {
        if !self.inner.window.is_valid() {
            return None;
        }
        let tokens = self.inner.teams.load().get(team)?.clone();
        tokens.acquire().then(|| Permit { tokens, inner: self.inner.clone() })
    }

    /// Returns a receiver that is notified whenever usable tokens may have changed.
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// Returns the usable tokens of a team.
    pub fn usable(&self, team: &TeamId) -> u32 {
        self.inner.teams.load().get(team).map_or(0, |tokens| tokens.load().0)
    }

    /// Returns the tokens of a team that are in use.
    pub fn in_use(&self, team: &TeamId) -> u32 {
        self.inner.teams.load().get(team).map_or(0, |tokens| tokens.load().1)
    }

    /// Returns whether slices may be used now.
    pub fn is_valid(&self) -> bool {
        self.inner.window.is_valid()
    }

    /// Returns the sum of the tokens in use over all teams.
    pub fn in_use_total(&self) -> u64 {
        self.inner.teams.load().values().map(|tokens| u64::from(tokens.load().1)).sum()
    }

    /// Sets the usable tokens of a team and returns how many were in use at that moment.
    pub(super) fn set_usable(&self, team: &TeamId, usable: u32) -> u32 {
        if let Some(tokens) = self.inner.teams.load().get(team) {
            return tokens.set_usable(usable);
        }
        let tokens = Arc::new(Tokens::default());
        tokens.set_usable(usable);
        self.inner.teams.rcu(|teams| {
            let mut teams = HashMap::clone(teams);
            teams.insert(team.clone(), tokens.clone());
            teams
        });
        0
    }

    /// Returns the teams for which tokens were set.
    pub(super) fn teams(&self) -> Vec<TeamId> {
        self.inner.teams.load().keys().cloned().collect()
    }

    /// Extends the validity of the slices to `slice_validity` after `sent_at`, the time at which
    /// the write that confirmed them was sent. A write sent before the last pause of the process
    /// is ignored.
    pub(super) fn extend(&self, sent_at: Instant, slice_validity: Duration) {
        let window = &self.inner.window;
        let resumed_at = window.lock_resumed_at();
        if sent_at >= *resumed_at {
            let until_ms = window.elapsed_ms(sent_at + slice_validity);
            window.valid_until_ms.fetch_max(until_ms, Ordering::AcqRel);
        }
    }

    /// Invalidates the slices until the next [`Self::extend`].
    pub(super) fn invalidate_slices(&self) {
        let _resumed_at = self.inner.window.lock_resumed_at();
        self.inner.window.valid_until_ms.store(0, Ordering::Release);
    }

    /// Records that the process is running. After a pause longer than `pause_max` the slices are
    /// invalid until a new write confirms them. Returns whether there was such a pause.
    pub(super) fn tick(&self, pause_max: Duration) -> bool {
        let window = &self.inner.window;
        let mut resumed_at = window.lock_resumed_at();
        let now = Instant::now();
        let paused = window.elapsed_ms(now) >= window.alive_until_ms.load(Ordering::Acquire);
        if paused {
            *resumed_at = now;
            window.valid_until_ms.store(0, Ordering::Release);
        }
        window.alive_until_ms.store(window.elapsed_ms(now + pause_max), Ordering::Release);
        paused
    }

    /// Notifies the receivers of [`Self::changed`].
    pub(super) fn notify(&self) {
        self.inner.changes.send_modify(|count| *count += 1);
    }
}

#[cfg(test)]
mod tests;
