//! What operators ask of the fleet.

use cassiafold_config::{InstanceId, PoolId};

use crate::code::FleetCode;
use crate::decision::{Inputs, Refusal};
use crate::document::StepKind;
use crate::event::FleetEvent;
use crate::plan::{Plan, Round};
use crate::policy::Policy;
use crate::view::View;

/// Plans the move of one instance to `pool` for good: drain, reassign, admit. Refused where the
/// availability budget does not allow it.
pub fn request_move(
    view: &View<'_>,
    policy: &Policy,
    id: &InstanceId,
    pool: &PoolId,
) -> Result<Plan, Refusal> {
    let mut round = Round::new(view, policy);
    round.count();
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
    round.start_step(id, StepKind::Move { to: pool.clone(), settle: true });
    round.decide(FleetEvent::MoveStarted, id, pool, Inputs::None);
    Ok(round.into_plan())
}
