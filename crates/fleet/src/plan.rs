//! One planning round: a pure function from a [`View`] to the next fleet document.
//!
//! A round reconciles the document with the instance list, advances the steps in progress and then
//! starts repairs, moves and maintenance, each within the budgets that the previous stages left.
//! The result is written by one compare-and-swap against the document that it was planned on, so
//! that two rounds cannot spend the same budget twice.

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
    /// The next document; equal to the one in the view if there is nothing to do.
    pub next: FleetDocument,
    /// Decisions in the order in which they were made.
    pub decisions: Vec<Decision>,
    /// Trends to pass to the next round.
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
    /// Time of the round, truncated to the resolution of the stored document (1 ms).
    pub(crate) now: SystemTime,
    pub(crate) next: FleetDocument,
    pub(crate) budgets: Budgets,
    /// Failing instances by zone.
    pub(crate) failing: BTreeMap<ZoneId, usize>,
    pub(crate) trends: Trends,
    decisions: Vec<Decision>,
}

impl<'a> Round<'a> {
    /// Starts a round without budgets; see [`Round::count_budgets`].
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

    /// Computes the budgets and the failing instances per zone from the next document.
    pub(crate) fn count_budgets(&mut self) {
        let none = LearnedDomains::default();
        let domains = if self.policy.use_learned_domains { self.view.domains } else { &none };
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

    /// Records a decision about an instance.
    pub(crate) fn record(
        &mut self,
        event: FleetEvent,
        instance: &InstanceId,
        pool: &PoolId,
        inputs: Inputs,
    ) {
        self.record_in_wave(event, instance, pool, None, inputs);
    }

    /// Records a decision about an instance, with the wave that it belongs to.
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

    /// Starts a step in the draining phase and takes its instance out of the budget.
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

    /// Placements in the next document.
    pub(crate) fn placements(&self) -> impl Iterator<Item = (&InstanceId, &Placement)> {
        self.next.placements.iter()
    }

    /// Number of steps in progress that satisfy `predicate`.
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
