//! What one holder changes in the ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use cassiafold_config::{Config, TeamId};

use super::fill::max_min;
use super::ledger::{Ledger, Slice};

/// Share of a demand that a giver keeps on top of it, as a divisor.
const HEADROOM_DIVISOR: u32 = 8;
/// Change of a recorded want that is worth a write, as a divisor of the want.
const WANT_DIVISOR: u32 = 4;

/// Team's work at this holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Use {
    /// Tokens in use.
    pub in_use: u32,
    /// Requests that would run if tokens were no bound, with the recent peak.
    pub demand: u32,
}

/// What the holder does with one team's slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Decision {
    /// Tokens that the holder may use from now on; below `in_use` work has to end first.
    keep: u32,
    /// Tokens to take from those that nobody holds.
    claim: u32,
    /// Want to record.
    want: u32,
    /// Whether the holder lowers its slice because the limit was lowered.
    lowered: bool,
}

/// The slices of one team as a holder sees them.
struct TeamView<'a> {
    slices: &'a [Slice],
    me: usize,
    limit: u32,
    work: Use,
}

impl TeamView<'_> {
    fn mine(&self) -> Slice {
        self.slices[self.me]
    }

    fn total(&self) -> u32 {
        self.slices.iter().map(|slice| slice.tokens).sum()
    }

    /// Even part of the limit.
    fn even(&self) -> u32 {
        self.limit / self.slices.len() as u32
    }

    /// Tokens that the holder needs for itself.
    fn need(&self) -> u32 {
        let demand = self.work.demand.max(self.work.in_use);
        demand.saturating_add(demand.div_ceil(HEADROOM_DIVISOR))
    }

    fn decide(&self, may_claim: bool) -> Decision {
        let tokens = self.mine().tokens;
        let total = self.total();
        if total > self.limit {
            let over = u64::from(total - self.limit);
            let cut = (over * u64::from(tokens)).div_ceil(u64::from(total)) as u32;
            return Decision { keep: tokens - cut, claim: 0, want: 0, lowered: true };
        }
        let goal = self.work.demand.max(self.even()).min(self.limit);
        let free = if may_claim { self.limit - total } else { 0 };
        let claim = free.min(goal.saturating_sub(tokens));
        let held = tokens + claim;
        let demand = self.work.demand.min(self.limit);
        let want = if demand > held { demand } else { 0 };
        let keep = if claim > 0 { tokens } else { tokens - self.surplus() };
        Decision { keep, claim, want: self.steady_want(want), lowered: false }
    }

    /// Keeps the recorded want unless the change is worth a write.
    fn steady_want(&self, want: u32) -> u32 {
        let recorded = self.mine().want;
        let small = want.abs_diff(recorded) <= recorded / WANT_DIVISOR;
        if want > 0 && recorded > 0 && small { recorded } else { want }
    }

    /// Tokens that the holder should give to others.
    fn surplus(&self) -> u32 {
        let tokens = self.mine().tokens;
        let unmet: u32 = self.others().map(|(_, slice)| slice.unmet()).sum();
        if unmet == 0 {
            return self.idle_surplus();
        }
        let spare = tokens.saturating_sub(self.need());
        if spare > 0 {
            return spare.min(unmet);
        }
        let target = self.targets()[self.me];
        let margin = (target / HEADROOM_DIVISOR).max(1);
        if tokens > target + margin { (tokens - target).min(unmet) } else { 0 }
    }

    /// Tokens above the even part that an idle holder gives to those far below it, so that each
    /// has some when a partition begins.
    fn idle_surplus(&self) -> u32 {
        let even = self.even();
        let lacking: u32 = self.others().map(|(_, slice)| lack(slice, even)).sum();
        let spare = self.mine().tokens.saturating_sub(even.max(self.need()));
        spare.min(lacking)
    }

    fn others(&self) -> impl Iterator<Item = (usize, Slice)> {
        let me = self.me;
        self.slices.iter().copied().enumerate().filter(move |(index, _)| *index != me)
    }

    /// Max-min division of the limit over what each holder asks for.
    fn targets(&self) -> Vec<u32> {
        let demands: Vec<u32> = self
            .slices
            .iter()
            .enumerate()
            .map(|(index, slice)| match index == self.me {
                true => self.work.demand,
                false => slice.tokens.max(slice.want),
            })
            .collect();
        max_min(self.limit, &demands)
    }

    /// What each holder gets out of `given` tokens.
    fn gifts(&self, given: u32) -> Vec<u32> {
        let even = self.even();
        let unmet: u32 = self.others().map(|(_, slice)| slice.unmet()).sum();
        let asks: Vec<u32> = self
            .slices
            .iter()
            .enumerate()
            .map(|(index, slice)| match (index == self.me, unmet > 0) {
                (true, _) => 0,
                (false, true) => slice.unmet(),
                (false, false) => lack(*slice, even),
            })
            .collect();
        max_min(given, &asks)
    }
}

/// Tokens that a holder far below the even part lacks to reach it.
fn lack(slice: Slice, even: u32) -> u32 {
    if slice.tokens < even / 2 { even - slice.tokens } else { 0 }
}

/// Inputs of [`plan`] that do not change with the team.
#[derive(Debug)]
pub struct Context<'a> {
    /// Position of the planning holder.
    pub me: usize,
    /// Configuration in force at the holder.
    pub config: &'a Config,
    /// Longest deadline under which the holder may have started work.
    pub deadline_max: Duration,
    /// Positions of holders that have been silent for long enough, in rising order.
    pub lapsed: &'a [usize],
}

/// Changes the ledger for one holder. Returns whether the result is worth a write.
///
/// `work` tells the team's work at the holder. `take` bounds the tokens that the holder uses from
/// now on and returns the tokens in use at that moment; it is called before tokens are given away.
pub fn plan(
    ledger: &mut Ledger,
    context: &Context<'_>,
    work: impl Fn(&TeamId) -> Use,
    mut take: impl FnMut(&TeamId, u32) -> u32,
) -> bool {
    let mut changed = remove_lapsed(ledger, context.lapsed);
    let me = context.me - context.lapsed.iter().filter(|index| **index < context.me).count();
    let may_claim = context.config.version >= ledger.config_version;
    for (team, limit) in limits(ledger, context.config) {
        let holders = ledger.holders.len();
        let slices = ledger.teams.entry(team.clone()).or_insert(vec![Slice::default(); holders]);
        let view = TeamView { slices, me, limit, work: work(&team) };
        let decision = view.decide(may_claim);
        let updated = apply(&view, decision, |keep| take(&team, keep));
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

fn remove_lapsed(ledger: &mut Ledger, lapsed: &[usize]) -> bool {
    for index in lapsed.iter().rev() {
        ledger.remove(*index);
    }
    !lapsed.is_empty()
}

/// Limit of each team; a team that is no longer configured has none left.
fn limits(ledger: &Ledger, config: &Config) -> BTreeMap<TeamId, u32> {
    let removed = ledger.teams.keys().map(|team| (team.clone(), 0));
    let known = config.teams.iter().map(|(team, known)| (team.clone(), known.upper_limit));
    removed.chain(known).collect()
}

fn apply(view: &TeamView<'_>, decision: Decision, mut take: impl FnMut(u32) -> u32) -> Vec<Slice> {
    let mut updated = view.slices.to_vec();
    let tokens = view.mine().tokens;
    updated[view.me].want = decision.want;
    updated[view.me].tokens = tokens + decision.claim;
    if decision.keep >= tokens {
        return updated;
    }
    let in_use = take(decision.keep);
    let kept = decision.keep.max(in_use).min(tokens);
    updated[view.me].tokens = kept;
    if !decision.lowered {
        let gifts = view.gifts(tokens - kept);
        let rest = tokens - kept - gifts.iter().sum::<u32>();
        updated[view.me].tokens += rest;
        for (slice, gift) in updated.iter_mut().zip(gifts) {
            slice.tokens += gift;
        }
    }
    updated
}

/// A holder's tokens of one team against the limit in force.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Tokens of the holder.
    pub tokens: u32,
    /// Tokens of all holders that are known to have the limit in force.
    pub confirmed: u32,
    /// Tokens of all holders.
    pub total: u32,
    /// The limit in force.
    pub limit: u32,
}

/// Tokens that may be used when the limit is lower than it was when the slices were made. Holders
/// that may not know the limit are taken to use all their tokens; the others shrink in proportion.
pub fn usable(bound: Bound) -> u32 {
    let unconfirmed = bound.total.saturating_sub(bound.confirmed);
    let available = bound.limit.saturating_sub(unconfirmed);
    if bound.confirmed <= available {
        return bound.tokens;
    }
    (u64::from(bound.tokens) * u64::from(available) / u64::from(bound.confirmed)) as u32
}
