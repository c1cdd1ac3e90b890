//! State that the controller keeps in the store in addition to the fleet document.

use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use cassiafold_config::{InstanceId, WaveId};
use cassiafold_event::emit;
use cassiafold_platform::{
    Document, Envelope, NotApplied, Store, StoreError, UpdateOutcome, Writer, update,
};
use tokio::time::{Duration, Instant};

use crate::code::FleetCode;
use crate::decision::{Decision, Inputs};
use crate::document::FleetDocument;
use crate::domain::{DOMAINS_KEY, Group, LearnedDomains};
use crate::event::FleetEvent;
use crate::explain::wave_status;
use crate::history::History;
use crate::plan::Plan;
use crate::policy::Policy;
use crate::timeline::{TIMELINE_KEY, Timeline};
use crate::view::{ListedInstances, View};

/// Interval between two saves of the history.
const SAVE_INTERVAL: Duration = Duration::from_secs(30);
/// Timeout for one save.
const SAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_fleet::controller::keep";

/// Learned failure domains, recent decisions and samples.
#[derive(Debug, Default)]
pub(super) struct PersistentState {
    pub(super) domains: LearnedDomains,
    pub(super) history: History,
    pub(super) timeline: Timeline,
    paused_waves: BTreeMap<WaveId, FleetCode>,
    domains_changed: bool,
    timeline_changed: bool,
    history_saved: Option<Instant>,
}

impl PersistentState {
    /// Reads the state from the store.
    pub(super) async fn load<S: Store>(&mut self, store: &S) -> Result<(), StoreError> {
        self.domains = read(store, DOMAINS_KEY).await?.unwrap_or_default();
        self.timeline = Timeline::load(store).await?;
        self.history = History::load(store).await?;
        Ok(())
    }

    /// Records the failures in `document` as evidence for failure domains, in order of time.
    pub(super) fn record_failures(
        &mut self,
        document: &FleetDocument,
        now: SystemTime,
        listed: &ListedInstances,
    ) {
        let failures = document.placements.iter().filter_map(|(id, placement)| {
            let failure = placement.failure.as_ref()?;
            Some((failure.since, id))
        });
        let mut failures: Vec<_> = failures.collect();
        failures.sort();
        let before = self.domains.clone();
        for (since, id) in failures {
            self.domains_changed |= self.domains.record_failure(id, since, listed);
        }
        if self.domains.advance(now, listed) {
            self.domains.retain(|id| document.placements.contains_key(id));
            self.domains_changed = true;
            self.record_domain_changes(&before, now);
        }
    }

    /// Records a decision for each member of a domain that has become suspected or is no longer.
    fn record_domain_changes(&mut self, before: &LearnedDomains, now: SystemTime) {
        let decisions = |event, from: &LearnedDomains, to: &LearnedDomains| {
            let known: BTreeSet<u64> = to.suspected().map(|group| group.number).collect();
            let changed = from.suspected().filter(|group| !known.contains(&group.number));
            let members = changed.flat_map(|group| {
                group.members.keys().map(|id| domain_decision(event, group, id, now))
            });
            members.collect::<Vec<_>>()
        };
        let suspected = decisions(FleetEvent::DomainSuspected, &self.domains, before);
        let dropped = decisions(FleetEvent::DomainDropped, before, &self.domains);
        self.log_and_record(suspected);
        self.log_and_record(dropped);
    }

    /// Records the decisions, the sample and the paused waves of a round whose document is stored.
    pub(super) fn record_round(&mut self, view: &View<'_>, policy: &Policy, plan: &Plan) {
        self.timeline_changed |= self.timeline.record_round(view, policy, plan);
        self.log_and_record(plan.decisions.iter().cloned());
        self.record_pauses(view, policy);
    }

    /// Logs decisions and adds them to the history.
    fn log_and_record(&mut self, decisions: impl IntoIterator<Item = Decision>) {
        for decision in decisions {
            decision.log();
            self.history.extend([decision]);
        }
    }

    /// Records the waves that have been paused or resumed since the last round.
    fn record_pauses(&mut self, view: &View<'_>, policy: &Policy) {
        let waves = view.config.waves.keys();
        let paused: BTreeMap<WaveId, FleetCode> = waves
            .filter_map(|id| Some((id.clone(), wave_status(view, policy, id)?.paused?)))
            .collect();
        let previous = std::mem::replace(&mut self.paused_waves, paused.clone());
        let decision = |event, wave: &WaveId, inputs| Decision {
            at: view.now,
            event,
            instance: None,
            pool: None,
            wave: Some(wave.clone()),
            inputs,
        };
        let newly_paused = paused.iter().filter(|(id, code)| previous.get(*id) != Some(code));
        let newly_paused =
            newly_paused.map(|(id, code)| decision(FleetEvent::WavePaused, id, (*code).into()));
        let resumed = previous.keys().filter(|id| !paused.contains_key(*id));
        let resumed = resumed.map(|id| decision(FleetEvent::WaveResumed, id, Inputs::None));
        self.log_and_record(newly_paused.chain(resumed).collect::<Vec<_>>());
    }

    /// Saves changed state as long as `holds_control` returns true. A failed save is repeated in a
    /// later round.
    pub(super) async fn save<S: Store>(
        &mut self,
        store: &S,
        writer: &Writer,
        holds_control: &(impl Fn() -> bool + Sync),
    ) {
        if self.domains_changed {
            self.domains_changed =
                !write(store, writer, DOMAINS_KEY, &self.domains, holds_control).await;
        }
        if self.timeline_changed {
            self.timeline_changed =
                !write(store, writer, TIMELINE_KEY, &self.timeline, holds_control).await;
        }
        let recent = self.history_saved.is_some_and(|time| time.elapsed() < SAVE_INTERVAL);
        if !recent {
            self.history_saved = Some(Instant::now());
            self.save_history(store, writer, holds_control).await;
        }
    }

    async fn save_history<S: Store>(
        &mut self,
        store: &S,
        writer: &Writer,
        holds_control: &(impl Fn() -> bool + Sync),
    ) {
        for (key, segment) in self.history.unsaved() {
            if !write(store, writer, &key, &segment, holds_control).await {
                return;
            }
        }
        self.history.mark_saved();
    }
}

fn domain_decision(event: FleetEvent, group: &Group, id: &InstanceId, at: SystemTime) -> Decision {
    let inputs = Inputs::Domain {
        domain: group.domain_id(),
        members: group.members.len(),
        bursts: group.bursts,
        score_nats: group.score_nats,
    };
    Decision { at, event, instance: Some(id.clone()), pool: None, wave: None, inputs }
}

/// Reads the value of `key`; `None` if it is absent or malformed.
pub(crate) async fn read<S: Store, T: Document>(
    store: &S,
    key: &str,
) -> Result<Option<T>, StoreError> {
    let Some(record) = store.get(key).await? else {
        return Ok(None);
    };
    match Envelope::<T>::decode(&record.value) {
        Ok(envelope) => Ok(Some(envelope.value)),
        Err(error) => {
            emit!(target: LOG_TARGET, FleetEvent::DocumentRefused, key = key, error = error);
            Ok(None)
        }
    }
}

/// Replaces the value of `key`, whatever it is: only the holder of control writes these keys.
/// Returns whether the value was written.
async fn write<S: Store, T: Document>(
    store: &S,
    writer: &Writer,
    key: &str,
    value: &T,
    holds_control: &(impl Fn() -> bool + Sync),
) -> bool {
    let deadline = Instant::now() + SAVE_TIMEOUT;
    let change = |_: Option<&T>| holds_control().then(|| value.clone()).ok_or(NoControl);
    match update(store, writer, key, deadline, change).await {
        UpdateOutcome::Applied { .. } => true,
        UpdateOutcome::NotApplied(NotApplied::Unavailable(_) | NotApplied::Refused(NoControl)) => {
            false
        }
        UpdateOutcome::NotApplied(_) | UpdateOutcome::StillUnknown { .. } => {
            emit!(target: LOG_TARGET, FleetEvent::StoreFailed, key = key);
            false
        }
    }
}

/// The process lost control before the write.
struct NoControl;
