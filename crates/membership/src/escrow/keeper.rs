//! Synchronizes the slices of this entry instance with the ledger.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cassiafold_config::{ActiveConfig, Config, TeamId, Version};
use cassiafold_event::emit;
use cassiafold_platform::{Compare, Revision, Store, StoreError, Write, WriteOutcome};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::EscrowSettings;
use super::demand::Demand;
use super::expiry::HolderObservations;
use super::ledger::{Holder, HolderId, LEDGER_KEY, Ledger};
use super::local::Escrow;
use super::plan::{Context, TeamLoad, TeamTokens, plan, usable};
use super::restore::RestoreGuard;
use crate::event::MembershipEvent;
use crate::usage::UsageSource;

/// Number of confirming writes in one validity period while the service responds.
const CONFIRMATIONS_PER_VALIDITY: u32 = 12;
/// Shortest time between two reads and between two writes of one holder, multiplied by the number
/// of holders in the ledger.
const SPACING_PER_HOLDER: Duration = Duration::from_millis(250);
/// Longest time between two reads of the ledger.
const READ_INTERVAL_MAX: Duration = Duration::from_secs(5);
/// Most attempts of one write that meets conflicts.
const ATTEMPTS_MAX: usize = 3;

/// A state of the ledger and the condition under which a write may replace it.
#[derive(Debug)]
struct LedgerCopy {
    compare: Compare,
    ledger: Ledger,
}

impl LedgerCopy {
    fn revision(&self) -> Revision {
        match self.compare {
            Compare::Absent => 0,
            Compare::Revision(revision) => revision,
        }
    }
}

/// A prepared write, kept while its outcome is unknown.
#[derive(Debug)]
struct PendingWrite {
    write: Write,
    ledger: Ledger,
    writes: u64,
    sent_at: Instant,
}

/// Reads and writes the ledger for one entry instance.
#[derive(Debug)]
pub struct Keeper<S, U> {
    store: S,
    usage: U,
    config: ActiveConfig,
    escrow: Escrow,
    settings: EscrowSettings,
    id: HolderId,
    revision_hint: Arc<AtomicU64>,
    copy: Option<LedgerCopy>,
    pending: Option<PendingWrite>,
    writes: u64,
    observations: HolderObservations,
    demand: Demand,
    previous_limits: BTreeMap<TeamId, u32>,
    applied: Option<Arc<Config>>,
    deadline_max: Duration,
    last_read: Option<Instant>,
    last_write: Option<Instant>,
    confirmed_at: Option<Instant>,
    retired: bool,
    restore: RestoreGuard,
}

impl<S: Store, U: UsageSource> Keeper<S, U> {
    /// Creates a keeper for one run of an entry instance. Its permits are issued by `escrow`.
    pub fn new(
        id: HolderId,
        settings: EscrowSettings,
        store: S,
        config: ActiveConfig,
        usage: U,
        escrow: Escrow,
    ) -> Self {
        Self {
            store,
            usage,
            config,
            escrow,
            settings,
            id,
            revision_hint: Arc::default(),
            copy: None,
            pending: None,
            writes: 0,
            observations: HolderObservations::new(settings.pause_max),
            demand: Demand::default(),
            previous_limits: BTreeMap::new(),
            applied: None,
            deadline_max: Duration::ZERO,
            last_read: None,
            last_write: None,
            confirmed_at: None,
            retired: false,
            restore: RestoreGuard::default(),
        }
    }

    /// Returns the highest ledger revision that other entry instances have reported. The receiver
    /// of their reports raises it.
    pub fn revision_hint(&self) -> Arc<AtomicU64> {
        self.revision_hint.clone()
    }

    /// Returns the last known state of the ledger.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.copy.as_ref().map(|copy| &copy.ledger)
    }

    /// Maintains the slices until `stop` completes; then returns the tokens that are not in use.
    pub async fn run(mut self, stop: impl Future<Output = ()>) {
        let escrow = self.escrow.clone();
        tokio::select! {
            () = detect_pauses(&escrow, self.settings) => {}
            () = self.maintain(stop) => {}
        }
        self.leave().await;
    }

    async fn maintain(&mut self, stop: impl Future<Output = ()>) {
        let mut ticks = interval(self.settings.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => return,
                _ = ticks.tick() => {}
            }
            self.step().await;
        }
    }

    /// Checks configuration, demand and ledger once and writes the ledger if it has to change.
    pub async fn step(&mut self) {
        let Some(config) = self.config.load() else { return };
        self.apply(&config);
        self.demand.sample(&self.usage.usage(), &self.escrow);
        if let Some(pending) = self.pending.take() {
            self.resolve(pending).await;
        }
        if self.pending.is_some() || self.retired {
            return;
        }
        if self.read_due() {
            self.read().await;
        }
        self.write(&config).await;
        self.escrow.notify();
    }

    /// Puts a configuration in force. A lowered limit applies to new work immediately, before the
    /// ledger is written.
    fn apply(&mut self, config: &Arc<Config>) {
        if config.version == self.version() {
            return;
        }
        if let Some(applied) = &self.applied {
            for (team, before) in &applied.teams {
                let previous_limit = self.previous_limits.entry(team.clone()).or_insert(0);
                *previous_limit = before.upper_limit.max(*previous_limit);
            }
        }
        let longest = config.services.values().map(|service| service.deadline_max).max();
        self.deadline_max = self.deadline_max.max(longest.unwrap_or_default());
        self.applied = Some(config.clone());
        self.refresh();
    }

    fn team_load(&self, team: &TeamId) -> TeamLoad {
        TeamLoad { in_use: self.escrow.in_use(team), demand: self.demand.of(team) }
    }

    fn read_due(&self) -> bool {
        let (Some(copy), Some(last)) = (&self.copy, self.last_read) else { return true };
        let lacks_tokens = |team: &TeamId| self.team_load(team).demand > self.escrow.usable(team);
        let spacing = SPACING_PER_HOLDER * copy.ledger.holders.len() as u32;
        if last.elapsed() < spacing {
            return false;
        }
        last.elapsed() >= READ_INTERVAL_MAX
            || self.revision_hint.load(Ordering::Relaxed) > copy.revision()
            || self.demand.teams().any(lacks_tokens)
    }

    async fn read(&mut self) {
        self.last_read = Some(Instant::now());
        match self.store.get(LEDGER_KEY).await {
            Ok(Some(record)) => {
                self.check_restored(record.revision);
                self.adopt_bytes(record.revision, &record.value);
            }
            Ok(None) if self.copy.is_none() => {
                self.copy =
                    Some(LedgerCopy { compare: Compare::Absent, ledger: Ledger::default() });
            }
            Ok(None) | Err(_) => {}
        }
    }

    fn adopt_bytes(&mut self, revision: Revision, bytes: &[u8]) {
        match Ledger::from_json(bytes) {
            Ok(ledger) => self.adopt(revision, ledger),
            Err(error) => emit!(MembershipEvent::LedgerMalformed, error = error),
        }
    }

    /// Discards the known state when the stored ledger was restored to an older one.
    fn check_restored(&mut self, revision: Revision) {
        let Some(copy) = &self.copy else { return };
        if !self.restore.record_read(copy.revision() > revision) {
            return;
        }
        emit!(MembershipEvent::LedgerRestored, instance = self.id.instance, revision = revision);
        let use_max = self.settings.slice_validity + self.deadline_max;
        self.restore.start_wait(&copy.ledger, &self.id, use_max);
        self.pending = None;
        self.copy = None;
    }

    /// Adopts a newer state of the ledger; an older one is ignored.
    fn adopt(&mut self, revision: Revision, ledger: Ledger) {
        if self.copy.as_ref().is_some_and(|copy| copy.revision() >= revision) {
            return;
        }
        if ledger.config_version >= self.version() {
            self.previous_limits.clear();
        }
        self.observations.observe(&ledger);
        let was_holder = self.ledger().is_some_and(|before| before.position(&self.id).is_some());
        let position = ledger.position(&self.id);
        if was_holder && position.is_none() && !self.retired {
            emit!(MembershipEvent::SlicesLost, instance = self.id.instance);
            self.escrow.invalidate_slices();
        }
        if !self.retired && position.is_some_and(|position| ledger.holders[position].retired) {
            emit!(MembershipEvent::SlicesRetired, instance = self.id.instance);
            self.retired = true;
            self.escrow.invalidate_slices();
        }
        self.copy = Some(LedgerCopy { compare: Compare::Revision(revision), ledger });
        self.revision_hint.fetch_max(revision, Ordering::Relaxed);
        self.refresh();
    }

    /// Sets the usable tokens of every team from the ledger and the limits in force.
    fn refresh(&self) {
        let Some(copy) = &self.copy else { return };
        let position = copy.ledger.position(&self.id).filter(|_| !self.retired);
        for team in self.escrow.teams().iter().chain(copy.ledger.teams.keys()) {
            let tokens = position.map_or(0, |me| self.usable(&copy.ledger, me, team));
            self.escrow.set_usable(team, tokens);
        }
    }

    fn usable(&self, ledger: &Ledger, me: usize, team: &TeamId) -> u32 {
        let (tokens, confirmed) = ledger.confirmed(team, me, self.version());
        let previous_limit = self.previous_limits.get(team).copied().unwrap_or(0);
        let total = ledger.total(team).max(previous_limit);
        let tokens = usable(TeamTokens { tokens, confirmed, total, limit: self.limit(team) });
        self.restore.limit_tokens(team, tokens)
    }

    fn limit(&self, team: &TeamId) -> u32 {
        let config = self.applied.as_ref();
        config.and_then(|config| config.teams.get(team)).map_or(0, |team| team.upper_limit)
    }

    fn confirmation_due(&self) -> bool {
        let age = self.confirmed_at.map(|confirmed| confirmed.elapsed());
        let interval = self.settings.slice_validity / CONFIRMATIONS_PER_VALIDITY;
        !self.escrow.is_valid() || age.is_none_or(|age| age >= interval)
    }

    fn may_write(&self, ledger: &Ledger) -> bool {
        let spacing = SPACING_PER_HOLDER * ledger.holders.len() as u32;
        self.last_write.is_none_or(|last| last.elapsed() >= spacing)
    }

    async fn write(&mut self, config: &Config) {
        for _ in 0..ATTEMPTS_MAX {
            let Some(copy) = &self.copy else { return };
            if self.retired || !self.may_write(&copy.ledger) {
                return;
            }
            let Some(pending) = self.prepare(copy, config) else { return };
            match self.attempt(pending).await {
                Attempt::Done => return,
                Attempt::Conflict => self.read().await,
            }
        }
    }

    /// Plans a write; returns `None` if none is needed.
    fn prepare(&self, copy: &LedgerCopy, config: &Config) -> Option<PendingWrite> {
        let mut ledger = copy.ledger.clone();
        self.refresh();
        let joins = ledger.position(&self.id).is_none();
        if joins {
            ledger.join(self.new_holder());
        }
        let expired = self.observations.expired(&ledger, &self.id, self.deadline_max);
        let me = ledger.position(&self.id)?;
        let deadline_max = self.deadline_max;
        let context = Context { me, config, deadline_max, expired: &expired };
        let team_load = |team: &TeamId| self.team_load(team);
        let reduce_usable = |team: &TeamId, keep: u32| {
            self.escrow.set_usable(team, keep.min(self.escrow.usable(team)))
        };
        let changed =
            !self.restore.is_active() && plan(&mut ledger, &context, team_load, reduce_usable);
        if !changed && !joins && !self.confirmation_due() {
            return None;
        }
        self.pending_write(copy.compare, ledger)
    }

    fn new_holder(&self) -> Holder {
        Holder {
            id: self.id.clone(),
            writes: 0,
            version: 0,
            deadline_max: self.deadline_max,
            slice_validity: self.settings.slice_validity,
            retired: false,
        }
    }

    fn pending_write(&self, compare: Compare, mut ledger: Ledger) -> Option<PendingWrite> {
        let writes = self.writes + 1;
        if let Some(me) = ledger.position(&self.id) {
            ledger.holders[me].writes = writes;
        }
        let value = Bytes::from(ledger.to_json().ok()?);
        let write = Write::put(LEDGER_KEY, compare, value);
        Some(PendingWrite { write, ledger, writes, sent_at: Instant::now() })
    }

    async fn attempt(&mut self, mut pending: PendingWrite) -> Attempt {
        self.writes = pending.writes;
        self.last_write = Some(Instant::now());
        let sent_at = Instant::now();
        match self.store.write(pending.write.clone()).await {
            Ok(WriteOutcome::Written(revision)) => {
                self.report_reclaimed(&pending.ledger);
                self.adopt(revision, pending.ledger);
                self.confirm(sent_at);
                Attempt::Done
            }
            Ok(WriteOutcome::Conflict) => {
                self.refresh();
                Attempt::Conflict
            }
            Err(StoreError::OutcomeUnknown(reason)) => {
                emit!(MembershipEvent::TransferUnknown, reason = reason);
                pending.sent_at = sent_at;
                self.pending = Some(pending);
                Attempt::Done
            }
            Err(_) => {
                self.refresh();
                Attempt::Done
            }
        }
    }

    fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = Some(sent_at);
        if !self.retired {
            self.escrow.extend(sent_at, self.settings.slice_validity);
        }
    }

    fn report_reclaimed(&self, ledger: &Ledger) {
        let before = self.ledger().map(|ledger| ledger.holders.as_slice()).unwrap_or_default();
        let removed =
            |holder: &&Holder| holder.id != self.id && ledger.position(&holder.id).is_none();
        for holder in before.iter().filter(removed) {
            let run = holder.id.incarnation;
            emit!(MembershipEvent::SlicesReclaimed, instance = holder.id.instance, run = run);
        }
    }

    /// Returns the configuration version that the keeper has put in force.
    pub fn version(&self) -> Version {
        self.applied.as_ref().map_or(0, |config| config.version)
    }
}

/// Detects pauses of the process. Runs concurrently with calls to the key-value service, so that a
/// slow call does not count as a pause.
async fn detect_pauses(escrow: &Escrow, settings: EscrowSettings) {
    let mut ticks = interval(settings.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut started = false;
    loop {
        ticks.tick().await;
        if escrow.tick(settings.pause_max) && started {
            emit!(MembershipEvent::ProcessPaused);
        }
        started = true;
    }
}

enum Attempt {
    Done,
    Conflict,
}

mod leave;
mod resolve;
#[cfg(test)]
mod tests;
