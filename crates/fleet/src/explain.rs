//! Explains the decisions about an instance, pool, team or wave and why steps do not start.

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

/// Maximum number of decisions in an explanation.
const DECISIONS_MAX: usize = 16;

/// Subject of an explanation.
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

/// A property of the subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fact {
    /// Name of the property.
    pub name: &'static str,
    /// Value of the property.
    pub value: Arc<str>,
}

/// A step that does not start now.
#[derive(Debug, Clone, PartialEq)]
pub struct BlockedStep {
    /// Kind of the step.
    pub step: &'static str,
    /// Rule that prevents it, with its inputs; [`FleetCode::Due`] if the step starts in the next
    /// planning round.
    pub refusal: Refusal,
}

/// Properties of a subject, its blocked steps and the latest decisions about it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Explanation {
    /// Properties of the subject.
    pub facts: Vec<Fact>,
    /// Steps that do not start now.
    pub blocked_steps: Vec<BlockedStep>,
    /// Latest decisions, newest first.
    pub decisions: Vec<Decision>,
}

/// Explains `subject` with the current state in `view` and the decisions in `history`.
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

/// Progress of a maintenance wave; `None` if the configuration has no such wave.
pub fn wave_status(view: &View<'_>, policy: &Policy, wave: &WaveId) -> Option<WaveStatus> {
    let mut round = Round::new(view, policy);
    round.count_budgets();
    status(&round, wave)
}

impl Explanation {
    fn add_fact(&mut self, name: &'static str, value: impl fmt::Display) {
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
    add_placement_facts(&mut explanation, placement);
    if let Some(listed) = round.view.listed.get(id) {
        explanation.add_fact("zone", &listed.zone);
        explanation.add_fact("rack", &listed.rack);
        explanation.add_fact("failure domain", round.view.domains.domain_of(listed));
    }
    explanation.add_fact("available", round.view.available(id, placement));
    let refusal = maintenance_refusal(round, id);
    explanation.blocked_steps.push(BlockedStep { step: "maintenance", refusal });
    let refusal = repair::check(round, id).err().unwrap_or(FleetCode::Due.into());
    explanation.blocked_steps.push(BlockedStep { step: "repair", refusal });
    explanation.decisions = history.of_instance(id, DECISIONS_MAX);
    Ok(explanation)
}

fn add_placement_facts(explanation: &mut Explanation, placement: &Placement) {
    explanation.add_fact("pool", &placement.pool);
    explanation.add_fact("home pool", &placement.home);
    if let Some(step) = &placement.step {
        explanation.add_fact("step", format!("{}, {}", step.kind, step.phase));
    }
    if let Some(failure) = &placement.failure {
        let attempts = failure.attempts;
        explanation.add_fact("failure", format!("{:?}, {attempts} repairs", failure.symptom));
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
    explanation.add_fact("instances", members.count());
    let home = round.placements().filter(|(_, placement)| placement.home == *id);
    explanation.add_fact("instances at home here", home.count());
    if let Some(service) = &pool.service {
        explanation.add_fact("service", service);
        explanation.add_fact("instances for demand", demand::demand_instances(round.view, service));
        if let Some(budget) = round.budgets.get(service) {
            add_budget_facts(&mut explanation, round, budget);
        }
    }
    explanation.decisions = history.of_pool(id, DECISIONS_MAX);
    Ok(explanation)
}

fn add_budget_facts(explanation: &mut Explanation, round: &Round<'_>, budget: &Budget) {
    let (reserve, position) = budget.reserve(&[]);
    explanation.add_fact("available", budget.available);
    explanation.add_fact("floor", budget.floor);
    explanation.add_fact("reserve", reserve);
    if let Some(position) = position {
        explanation.add_fact("worst failure domain", round.budgets.index().domain_id(position));
    }
}

/// Explains a team by the available slots of all services, which serve every team. Shows the latest
/// decisions about pools with a service.
fn explain_team(
    round: &Round<'_>,
    history: &History,
    id: &TeamId,
) -> Result<Explanation, FleetCode> {
    let config = round.view.config;
    let team = config.teams.get(id).ok_or(FleetCode::UnknownTeam)?;
    let mut explanation = Explanation::default();
    let shares: u64 = config.teams.values().map(|team| u64::from(team.share)).sum();
    explanation.add_fact("share", format!("{} of {shares}", team.share));
    explanation.add_fact("upper limit", team.upper_limit);
    for (service, budget) in round.budgets.iter() {
        let slots = config.services.get(service).map_or(0, |service| service.slots_per_instance);
        let slots = slots as usize * budget.available;
        explanation.add_fact("available slots", format!("{service}: {slots}"));
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
    explanation.add_fact("instances", status.total);
    explanation.add_fact("done", status.done);
    explanation.add_fact("in progress", status.in_progress);
    explanation.add_fact("set back", status.deferred);
    explanation.add_fact("overdue", status.overdue);
    explanation.add_fact("late", status.late(round.now));
    if let Some(code) = status.paused {
        explanation.blocked_steps.push(BlockedStep { step: "wave", refusal: code.into() });
    }
    explanation.decisions = history.of_wave(id, DECISIONS_MAX);
    Ok(explanation)
}

#[cfg(test)]
mod tests;
