//! Explanation of what the fleet did and of why it did nothing.

use std::fmt;
use std::sync::Arc;

use cassiafold_config::{InstanceId, PoolId, TeamId, WaveId};

use crate::budget::Budget;
use crate::code::FleetCode;
use crate::decision::{Decision, Refusal};
use crate::document::Placement;
use crate::history::History;
use crate::plan::Round;
use crate::policy::Policy;
use crate::view::View;
use crate::wave::{WaveStatus, maintenance_refusal, status};
use crate::{demand, repair};

/// Most decisions in an explanation.
const DECISIONS_MAX: usize = 16;

/// What an explanation is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// An instance.
    Instance(InstanceId),
    /// A pool.
    Pool(PoolId),
    /// A team.
    Team(TeamId),
    /// A maintenance wave.
    Wave(WaveId),
}

/// One thing that is known about the subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fact {
    /// What is known.
    pub name: &'static str,
    /// Its value.
    pub value: Arc<str>,
}

/// Why something does not happen now.
#[derive(Debug, Clone, PartialEq)]
pub struct BlockedStep {
    /// What does not happen.
    pub step: &'static str,
    /// The rule that decided, with its inputs.
    pub refusal: Refusal,
}

/// What is known, what was decided and what is held back.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Explanation {
    /// What is known.
    pub facts: Vec<Fact>,
    /// Steps that do not start now, with the rule that decided.
    pub blocked_steps: Vec<BlockedStep>,
    /// Last decisions, newest first.
    pub decisions: Vec<Decision>,
}

/// Explains `subject` by what `view` holds now and by the decisions in `history`.
pub fn explain(
    view: &View<'_>,
    policy: &Policy,
    history: &History,
    subject: &Subject,
) -> Result<Explanation, FleetCode> {
    let mut round = Round::new(view, policy);
    round.count_budgets();
    match subject {
        Subject::Instance(id) => explain_instance(&round, history, id),
        Subject::Pool(id) => explain_pool(&round, history, id),
        Subject::Team(id) => explain_team(&round, history, id),
        Subject::Wave(id) => explain_wave(&round, history, id),
    }
}

/// Progress of a maintenance wave; `None` when the configuration holds no such wave.
pub fn wave_status(view: &View<'_>, policy: &Policy, wave: &WaveId) -> Option<WaveStatus> {
    let mut round = Round::new(view, policy);
    round.count_budgets();
    status(&round, wave)
}

impl Explanation {
    fn fact(&mut self, name: &'static str, value: impl fmt::Display) {
        self.facts.push(Fact { name, value: value.to_string().into() });
    }
}

fn explain_instance(
    round: &Round<'_>,
    history: &History,
    id: &InstanceId,
) -> Result<Explanation, FleetCode> {
    let placement = round.next.placements.get(id).ok_or(FleetCode::UnknownInstance)?;
    let mut explanation = Explanation::default();
    placement_facts(&mut explanation, placement);
    if let Some(listed) = round.view.listed.get(id) {
        explanation.fact("zone", &listed.zone);
        explanation.fact("rack", &listed.rack);
        explanation.fact("failure domain", round.view.domains.domain_of(listed));
    }
    explanation.fact("available", round.view.available(id, placement));
    let refusal = maintenance_refusal(round, id);
    explanation.blocked_steps.push(BlockedStep { step: "maintenance", refusal });
    let refusal = repair::check(round, id).err().unwrap_or(FleetCode::Due.into());
    explanation.blocked_steps.push(BlockedStep { step: "repair", refusal });
    explanation.decisions = history.of_instance(id, DECISIONS_MAX);
    Ok(explanation)
}

fn placement_facts(explanation: &mut Explanation, placement: &Placement) {
    explanation.fact("pool", &placement.pool);
    explanation.fact("home pool", &placement.home);
    if let Some(step) = &placement.step {
        explanation.fact("step", format!("{}, {}", step.kind, step.phase));
    }
    if let Some(failure) = &placement.failure {
        let attempts = failure.attempts;
        explanation.fact("failure", format!("{:?}, {attempts} repairs", failure.symptom));
    }
}

fn explain_pool(
    round: &Round<'_>,
    history: &History,
    id: &PoolId,
) -> Result<Explanation, FleetCode> {
    let pool = round.view.config.pools.get(id).ok_or(FleetCode::UnknownPool)?;
    let mut explanation = Explanation::default();
    let members = round.placements().filter(|(_, placement)| placement.pool == *id);
    explanation.fact("instances", members.count());
    let home = round.placements().filter(|(_, placement)| placement.home == *id);
    explanation.fact("instances at home here", home.count());
    if let Some(service) = &pool.service {
        explanation.fact("service", service);
        explanation.fact("instances for demand", demand::demand_instances(round.view, service));
        if let Some(budget) = round.budgets.get(service) {
            budget_facts(&mut explanation, round, budget);
        }
    }
    explanation.decisions = history.of_pool(id, DECISIONS_MAX);
    Ok(explanation)
}

fn budget_facts(explanation: &mut Explanation, round: &Round<'_>, budget: &Budget) {
    let (reserve, slot) = budget.reserve(&[]);
    explanation.fact("available", budget.available);
    explanation.fact("floor", budget.floor);
    explanation.fact("reserve", reserve);
    if let Some(slot) = slot {
        explanation.fact("worst failure domain", round.budgets.index().name(slot));
    }
}

/// A team is served by the slots of all services; the fleet decides how many there are.
fn explain_team(
    round: &Round<'_>,
    history: &History,
    id: &TeamId,
) -> Result<Explanation, FleetCode> {
    let config = round.view.config;
    let team = config.teams.get(id).ok_or(FleetCode::UnknownTeam)?;
    let mut explanation = Explanation::default();
    let shares: u64 = config.teams.values().map(|team| u64::from(team.share)).sum();
    explanation.fact("share", format!("{} of {shares}", team.share));
    explanation.fact("upper limit", team.upper_limit);
    for (service, budget) in round.budgets.iter() {
        let slots = config.services.get(service).map_or(0, |service| service.slots_per_instance);
        let slots = slots as usize * budget.available;
        explanation.fact("available slots", format!("{service}: {slots}"));
    }
    explanation.decisions = history.last(DECISIONS_MAX, |decision| {
        let pool = decision.pool.as_ref();
        pool.is_some_and(|pool| config.service_of_pool(pool).is_some())
    });
    Ok(explanation)
}

fn explain_wave(
    round: &Round<'_>,
    history: &History,
    id: &WaveId,
) -> Result<Explanation, FleetCode> {
    let status = status(round, id).ok_or(FleetCode::UnknownWave)?;
    let mut explanation = Explanation::default();
    explanation.fact("instances", status.total);
    explanation.fact("done", status.done);
    explanation.fact("in progress", status.in_progress);
    explanation.fact("set back", status.deferred);
    explanation.fact("overdue", status.overdue);
    explanation.fact("late", status.late(round.now));
    if let Some(code) = status.paused {
        explanation.blocked_steps.push(BlockedStep { step: "wave", refusal: code.into() });
    }
    explanation.decisions = history.of_wave(id, DECISIONS_MAX);
    Ok(explanation)
}

#[cfg(test)]
mod tests;
