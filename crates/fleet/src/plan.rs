//! One planning round, as a plain function from what is known to the next fleet document.
//!
//! The round first takes stock, then moves steps in progress forward, then starts repairs, moves
//! and maintenance, each against the budgets left by the ones before. The result takes effect by
//! one compare-and-swap of the document it was planned on, so two rounds can never spend one
//! budget twice.

use std::collections::BTreeMap;
use std::time::SystemTime;

use cassiafold_config::{InstanceId, PoolId, WaveId, ZoneId};

use crate::budget::Budgets;
use crate::decision::{Decision, Inputs};
use crate::demand::Trends;
use crate::document::{FleetDocument, Phase, Placement, Step, StepKind};
use crate::domain::{DomainIndex, LearnedDomains};
use crate::event::FleetEvent;
use crate::policy::Policy;
use crate::raw::{from_unix_ms, unix_ms};
use crate::view::View;
use crate::{advance, demand, reconcile, repair, wave};

/// Result of a planning round.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The next document; equal to the one planned on when nothing is to be done.
    pub next: FleetDocument,
    /// Decisions in the order in which they were made.
    pub decisions: Vec<Decision>,
    /// Trends to give to the next round.
    pub trends: Trends,
}

/// Plans one round.
pub fn plan(view: &View<'_>, policy: &Policy) -> Plan {
    let mut round = Round::new(view, policy);
    reconcile::instances(&mut round);
    advance::steps(&mut round);
    round.count_budgets();
    repair::start(&mut round);
    demand::start(&mut round);
    wave::start(&mut round);
    round.into_plan()
}

/// State of a planning round.
#[derive(Debug)]
pub(crate) struct Round<'a> {
    pub(crate) view: &'a View<'a>,
    pub(crate) policy: &'a Policy,
    /// Time of the round at the resolution of the stored document.
    pub(crate) now: SystemTime,
    pub(crate) next: FleetDocument,
    pub(crate) budgets: Budgets,
    pub(crate) failing: BTreeMap<ZoneId, usize>,
    pub(crate) trends: Trends,
    decisions: Vec<Decision>,
}

impl<'a> Round<'a> {
    /// Starts a round; budgets are counted by [`Round::count_budgets`].
    pub(crate) fn new(view: &'a View<'a>, policy: &'a Policy) -> Self {
        Self {
            view,
            policy,
            now: from_unix_ms(unix_ms(view.now)),
            next: view.document.clone(),
            budgets: Budgets::default(),
            failing: BTreeMap::new(),
            trends: Trends::default(),
            decisions: Vec::new(),
        }
    }

    /// Counts budgets and failures of the document as it stands.
    pub(crate) fn count_budgets(&mut self) {
        let nothing = LearnedDomains::default();
        let domains = if self.policy.use_learned_domains { self.view.domains } else { &nothing };
        let index = DomainIndex::new(self.view.listed, domains);
        self.budgets = Budgets::new(self.view, &self.next, index);
        self.failing.clear();
        for (id, placement) in &self.next.placements {
            if placement.failure.is_some()
                && let Some(listed) = self.view.listed.get(id)
            {
                *self.failing.entry(listed.zone.clone()).or_default() += 1;
            }
        }
    }

    /// Notes a decision on an instance.
    pub(crate) fn record(
        &mut self,
        event: FleetEvent,
        instance: &InstanceId,
        pool: &PoolId,
        inputs: Inputs,
    ) {
        self.record_in_wave(event, instance, pool, None, inputs);
    }

    /// Notes a decision on an instance within a wave.
    pub(crate) fn record_in_wave(
        &mut self,
        event: FleetEvent,
        instance: &InstanceId,
        pool: &PoolId,
        wave: Option<WaveId>,
        inputs: Inputs,
    ) {
        self.decisions.push(Decision {
            at: self.now,
            event,
            instance: Some(instance.clone()),
            pool: Some(pool.clone()),
            wave,
            inputs,
        });
    }

    /// Starts a step with a drain and counts its instance as gone.
    pub(crate) fn start_step(&mut self, id: &InstanceId, kind: StepKind) {
        let step = Step {
            kind,
            phase: Phase::Draining,
            document_number: self.view.document.number + 1,
            started: self.now,
            phase_started: self.now,
        };
        let Some(placement) = self.next.placements.get_mut(id) else {
            return;
        };
        let available = self.view.available(id, placement);
        placement.step = Some(step);
        if let Some(service) = self.view.service_of(placement)
            && available
        {
            self.budgets.remove(service, id);
        }
    }

    /// Ids and places as they stand in the next document.
    pub(crate) fn placements(&self) -> impl Iterator<Item = (&InstanceId, &Placement)> {
        self.next.placements.iter()
    }

    /// Number of steps in progress that `predicate` picks.
    pub(crate) fn steps(&self, predicate: impl Fn(&Step) -> bool) -> usize {
        let steps = self.next.placements.values().filter_map(|placement| placement.step.as_ref());
        steps.filter(|step| predicate(step)).count()
    }

    pub(crate) fn into_plan(self) -> Plan {
        Plan { next: self.next, decisions: self.decisions, trends: self.trends }
    }
}

#[cfg(test)]
mod tests;
