//! Plans the changes that one holder makes to the ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_config::{Config, TeamId};

use super::ledger::{Ledger, Slice};
use super::max_min::max_min;

/// Headroom that a holder keeps above its demand when it transfers tokens, as a divisor of the
/// demand.
const HEADROOM_DIVISOR: u32 = 8;
/// Smallest change of a recorded want that justifies a write, as a divisor of the want.
const WANT_DIVISOR: u32 = 4;

/// Load of one team at this holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamLoad {
    /// Tokens in use.
    pub in_use: u32,
    /// Requests that would run if tokens were unlimited, including the recent peak.
    pub demand: u32,
}

/// Change of one team's slice at the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Decision {
    /// Tokens that the holder may use from now on. If below `in_use`, the slice shrinks only as
    /// work ends.
    keep: u32,
    /// Unassigned tokens to claim.
    claim: u32,
    /// Want to record.
    want: u32,
    /// Whether the slice shrinks because the limit was lowered.
    lowered: bool,
}

/// The slices of one team and its load at the planning holder.
struct TeamState<'a> {
    slices: &'a [Slice],
    me: usize,
    limit: u32,
    load: TeamLoad,
}

impl TeamState<'_> {
    fn own_slice(&self) -> Slice {
        self.slices[self.me]
    }

    fn total(&self) -> u32 {
        self.slices.iter().map(|slice| slice.tokens).sum()
    }

    /// Returns an equal share of the limit for each holder.
    fn equal_share(&self) -> u32 {
        self.limit / self.slices.len() as u32
    }

    /// Returns the tokens that the holder needs itself, with headroom.
    fn required(&self) -> u32 {
        let demand = self.load.demand.max(self.load.in_use);
        demand.saturating_add(demand.div_ceil(HEADROOM_DIVISOR))
    }

    fn decide(&self, may_claim: bool) -> Decision {
        let tokens = self.own_slice().tokens;
        let total = self.total();
        if total > self.limit {
            let excess = u64::from(total - self.limit);
            let reduction = (excess * u64::from(tokens)).div_ceil(u64::from(total)) as u32;
            return Decision { keep: tokens - reduction, claim: 0, want: 0, lowered: true };
        }
        let goal = self.load.demand.max(self.equal_share()).min(self.limit);
        let free = if may_claim { self.limit - total } else { 0 };
        let claim = free.min(goal.saturating_sub(tokens));
        let held = tokens + claim;
        let demand = self.load.demand.min(self.limit);
        let want = if demand > held { demand } else { 0 };
        let keep = if claim > 0 { tokens } else { tokens - self.surplus() };
        Decision { keep, claim, want: self.stable_want(want), lowered: false }
    }

    /// Returns the recorded want unless the change justifies a write.
    fn stable_want(&self, want: u32) -> u32 {
        let recorded = self.own_slice().want;
        let small = want.abs_diff(recorded) <= recorded / WANT_DIVISOR;
        if want > 0 && recorded > 0 && small { recorded } else { want }
    }

    /// Returns the tokens that the holder should transfer to others.
    fn surplus(&self) -> u32 {
        let tokens = self.own_slice().tokens;
        let unmet: u32 = self.others().map(|(_, slice)| slice.unmet()).sum();
        if unmet == 0 {
            return self.idle_surplus();
        }
        let spare = tokens.saturating_sub(self.required());
        if spare > 0 {
            return spare.min(unmet);
        }
        let target = self.targets()[self.me];
        let margin = (target / HEADROOM_DIVISOR).max(1);
        if tokens > target + margin { (tokens - target).min(unmet) } else { 0 }
    }

    /// Returns the tokens above the equal share that an idle holder transfers to holders far below
    /// it, so that each holder has some tokens when a network partition begins.
    fn idle_surplus(&self) -> u32 {
        let equal_share = self.equal_share();
        let total_shortfall: u32 =
            self.others().map(|(_, slice)| shortfall(slice, equal_share)).sum();
        let spare = self.own_slice().tokens.saturating_sub(equal_share.max(self.required()));
        spare.min(total_shortfall)
    }

    fn others(&self) -> impl Iterator<Item = (usize, Slice)> {
        let me = self.me;
        self.slices.iter().copied().enumerate().filter(move |(index, _)| *index != me)
    }

    /// Divides the limit over the demands of all holders by max-min fairness.
    fn targets(&self) -> Vec<u32> {
        let demands: Vec<u32> = self
            .slices
            .iter()
            .enumerate()
            .map(|(index, slice)| match index == self.me {
                true => self.load.demand,
                false => slice.tokens.max(slice.want),
            })
            .collect();
        max_min(self.limit, &demands)
    }

    /// Divides `released` tokens among the holders that lack some.
    fn transfers(&self, released: u32) -> Vec<u32> {
        let equal_share = self.equal_share();
        let unmet: u32 = self.others().map(|(_, slice)| slice.unmet()).sum();
        let requested: Vec<u32> = self
            .slices
            .iter()
            .enumerate()
            .map(|(index, slice)| match (index == self.me, unmet > 0) {
                (true, _) => 0,
                (false, true) => slice.unmet(),
                (false, false) => shortfall(*slice, equal_share),
            })
            .collect();
        max_min(released, &requested)
    }
}

/// Returns the tokens that a holder with less than half of the equal share lacks to reach it.
fn shortfall(slice: Slice, equal_share: u32) -> u32 {
    if slice.tokens < equal_share / 2 { equal_share - slice.tokens } else { 0 }
}

/// Inputs of [`plan`] that are the same for all teams.
#[derive(Debug)]
pub struct Context<'a> {
    /// Position of the planning holder.
    pub me: usize,
    /// Configuration in force at the holder.
    pub config: &'a Config,
    /// Longest deadline under which the holder may have started work.
    pub deadline_max: Duration,
    /// Positions of expired holders, in ascending order.
    pub expired: &'a [usize],
}

/// Changes the ledger for one holder. Returns whether the change justifies a write.
///
/// `load` returns the team's load at the holder. `reduce_usable` limits the tokens that the holder
/// uses from now on and returns the tokens in use at that moment; it is called before tokens are
/// transferred to others.
pub fn plan(
    ledger: &mut Ledger,
    context: &Context<'_>,
    load: impl Fn(&TeamId) -> TeamLoad,
    mut reduce_usable: impl FnMut(&TeamId, u32) -> u32,
) -> bool {
    let mut changed = remove_expired(ledger, context.expired);
    let me = context.me - context.expired.iter().filter(|index| **index < context.me).count();
    let may_claim = context.config.version >= ledger.config_version;
    for (team, limit) in limits(ledger, context.config) {
        let holders = ledger.holders.len();
        let slices = ledger.teams.entry(team.clone()).or_insert(vec![Slice::default(); holders]);
        let state = TeamState { slices, me, limit, load: load(&team) };
        let decision = state.decide(may_claim);
        let updated = apply(&state, decision, |keep| reduce_usable(&team, keep));
        changed |= updated != *slices;
        *slices = updated;
    }
    ledger.teams.retain(|team, slices| {
        let held = slices.iter().any(|slice| slice.tokens > 0);
        held || context.config.teams.contains_key(team)
    });
    let holder = &mut ledger.holders[me];
    changed |= holder.version != context.config.version;
    holder.version = context.config.version;
    holder.deadline_max = holder.deadline_max.max(context.deadline_max);
    ledger.config_version = ledger.config_version.max(context.config.version);
    changed
}

fn remove_expired(ledger: &mut Ledger, expired: &[usize]) -> bool {
    for index in expired.iter().rev() {
        ledger.remove(*index);
    }
    !expired.is_empty()
}

/// Returns the limit of each team; that of a team that is no longer configured is zero.
fn limits(ledger: &Ledger, config: &Config) -> BTreeMap<TeamId, u32> {
    let removed = ledger.teams.keys().map(|team| (team.clone(), 0));
    let known = config.teams.iter().map(|(team, known)| (team.clone(), known.upper_limit));
    removed.chain(known).collect()
}

fn apply(
    state: &TeamState<'_>,
    decision: Decision,
    mut reduce_usable: impl FnMut(u32) -> u32,
) -> Vec<Slice> {
    let mut updated = state.slices.to_vec();
    let tokens = state.own_slice().tokens;
    updated[state.me].want = decision.want;
    updated[state.me].tokens = tokens + decision.claim;
    if decision.keep >= tokens {
        return updated;
    }
    let in_use = reduce_usable(decision.keep);
    let kept = decision.keep.max(in_use).min(tokens);
    updated[state.me].tokens = kept;
    if !decision.lowered {
        let transfers = state.transfers(tokens - kept);
        let rest = tokens - kept - transfers.iter().sum::<u32>();
        updated[state.me].tokens += rest;
        for (slice, transfer) in updated.iter_mut().zip(transfers) {
            slice.tokens += transfer;
        }
    }
    updated
}

/// A holder's tokens of one team together with the limit in force.
#[derive(Debug, Clone, Copy)]
pub struct TeamTokens {
    /// Tokens of the holder.
    pub tokens: u32,
    /// Tokens of all holders that have confirmed the configuration with this limit.
    pub confirmed: u32,
    /// Tokens of all holders.
    pub total: u32,
    /// The limit in force.
    pub limit: u32,
}

/// Returns the tokens that may be used when the limit is lower than at the time the slices were
/// assigned. Holders that may not know the limit are assumed to use all their tokens; the slices of
/// the others shrink in proportion.
pub fn usable(team_tokens: TeamTokens) -> u32 {
    let unconfirmed = team_tokens.total.saturating_sub(team_tokens.confirmed);
    let available = team_tokens.limit.saturating_sub(unconfirmed);
    if team_tokens.confirmed <= available {
        return team_tokens.tokens;
    }
    (u64::from(team_tokens.tokens) * u64::from(available) / u64::from(team_tokens.confirmed)) as u32
}
