//! Division of the machines among services that together need more than there are.
//!
//! Load that it answers: the peaks of two services overlap, or a rack is lost at a peak. Without a
//! division the service that lacks most machines gets each free one, and the callers of the others
//! wait for work that is late already.

use std::collections::BTreeMap;

use cassiafold_config::ServiceId;

use crate::balance::{Load, cores_for};

/// Part of the late work that counts among what a service can't do without, so that none starves.
const LATE_FLOOR: f64 = 0.1;
/// Number of tiers of a claim.
const TIERS: usize = 4;

/// Machines that a service asks for, in tiers: no service gets anything of a tier before all
/// have got what they ask for in the tiers before it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Claim {
    /// For long-running tasks and a part of the late work.
    pub floor: f64,
    /// For work that arrives, and for waiting work that can still meet its objective.
    pub on_time: f64,
    /// For the rise that is predicted.
    pub predicted: f64,
    /// For work that can't meet its objective any more, and what else the service needs.
    pub late: f64,
}

impl Claim {
    /// Claim of a service with this load that needs `needed` machines of `cores_each` cores, at
    /// least `spread` of them to keep its tasks apart. No tier asks for more than `available`.
    pub fn new(
        load: &Load,
        needed: usize,
        spread: usize,
        cores_each: f64,
        available: usize,
    ) -> Self {
        if cores_each <= 0.0 {
            return Self::default();
        }
        let most = available as f64;
        let machines = |cores: f64| (cores / cores_each).clamp(0.0, most);
        let late = machines(cores_for(0.0, load.late_core_s));
        let floor = machines(load.long_running) + LATE_FLOOR * late;
        let on_time_core_s = (load.waiting_core_s - load.late_core_s).max(0.0);
        let on_time = machines(cores_for(load.arriving, on_time_core_s));
        let rise = (load.expected - load.arriving).max(0.0);
        let predicted = machines(cores_for(rise, 0.0));
        let floor = floor.max(spread as f64).min(most);
        let late = ((needed as f64).min(most) - floor - on_time - predicted).max(0.0);
        Self { floor, on_time, predicted, late }
    }

    fn tiers(&self) -> [f64; TIERS] {
        [self.floor, self.on_time, self.predicted, self.late]
    }
}

/// Divides `machines` among services by their claims. Within the first tier that can't be met,
/// each gets the same part of what it asks for, so that the callers of all are served alike.
pub fn divide(claims: &BTreeMap<ServiceId, Claim>, machines: usize) -> BTreeMap<ServiceId, usize> {
    let mut shares: BTreeMap<&ServiceId, f64> = claims.keys().map(|id| (id, 0.0)).collect();
    let mut left = machines as f64;
    for tier in 0..TIERS {
        let sum: f64 = claims.values().map(|claim| claim.tiers()[tier]).sum();
        let part = if sum > left { left / sum } else { 1.0 };
        for (id, claim) in claims {
            *shares.entry(id).or_default() += part * claim.tiers()[tier];
        }
        left = (left - sum).max(0.0);
    }
    round(&shares, machines)
}

/// Rounds shares to whole machines. What is left by rounding down goes to the largest fractions.
fn round(shares: &BTreeMap<&ServiceId, f64>, machines: usize) -> BTreeMap<ServiceId, usize> {
    let mut rounded: BTreeMap<ServiceId, usize> =
        shares.iter().map(|(id, share)| ((*id).clone(), share.floor() as usize)).collect();
    let mut fractions: Vec<(&ServiceId, f64)> =
        shares.iter().map(|(id, share)| (*id, share.fract())).collect();
    fractions.sort_by(|one, other| other.1.total_cmp(&one.1));
    let mut left = machines.saturating_sub(rounded.values().sum());
    for (id, _) in fractions.into_iter().filter(|(_, fraction)| *fraction > 0.0) {
        if left == 0 {
            break;
        }
        *rounded.entry(id.clone()).or_default() += 1;
        left -= 1;
    }
    rounded
}
