//! Moves of instances requested by operators.

use cassiafold_config::{InstanceId, PoolId};
use cassiafold_platform::{Store, UpdateOutcome, Writer, update};
use tokio::time::Instant;

use crate::code::FleetCode;
use crate::decision::{Inputs, Refusal};
use crate::document::{DOCUMENT_KEY, FleetDocument, StepKind};
use crate::event::FleetEvent;
use crate::plan::{Plan, Round};
use crate::policy::Policy;
use crate::view::View;

/// Plans a permanent move of one instance to `pool`, which starts with a drain. Fails if the
/// availability budget does not allow it.
pub fn plan_move(
    view: &View<'_>,
    policy: &Policy,
    id: &InstanceId,
    pool: &PoolId,
) -> Result<Plan, Refusal> {
    let mut round = Round::new(view, policy);
    round.count_budgets();
    let placement = round.next.placements.get(id).ok_or(FleetCode::UnknownInstance)?;
    if !view.config.pools.contains_key(pool) {
        return Err(FleetCode::UnknownPool.into());
    }
    if placement.step.is_some() {
        return Err(FleetCode::StepInProgress.into());
    }
    if placement.pool == *pool && placement.home == *pool {
        return Err(FleetCode::SamePool.into());
    }
    if let Some(service) = view.service_of(placement)
        && view.available(id, placement)
    {
        round.budgets.check(service, id)?;
    }
    round.start_step(id, StepKind::Move { to: pool.clone(), permanent: true });
    round.record(FleetEvent::MoveStarted, id, pool, Inputs::None);
    Ok(round.into_plan())
}

/// Starts a permanent move of one instance by compare-and-swap of the stored document. The document
/// is read from the store; the one in `view` is ignored.
pub async fn move_instance<S: Store>(
    store: &S,
    writer: &Writer,
    deadline: Instant,
    view: &View<'_>,
    policy: &Policy,
    id: &InstanceId,
    pool: &PoolId,
) -> UpdateOutcome<FleetDocument, Refusal> {
    let change = |current: Option<&FleetDocument>| {
        let document = current.ok_or(FleetCode::UnknownInstance)?;
        let mut plan = plan_move(&View { document, ..*view }, policy, id, pool)?;
        plan.next.number = document.number + 1;
        for decision in &plan.decisions {
            decision.log();
        }
        Ok(plan.next)
    };
    update(store, writer, DOCUMENT_KEY, deadline, change).await
}

#[cfg(test)]
mod tests;
