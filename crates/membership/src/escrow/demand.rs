//! Tracks the demand of each team at this entry instance.

use std::collections::BTreeMap;

use cassiafold_config::TeamId;

use super::local::Escrow;
use crate::usage::Usage;

/// Factor by which a peak decays in each interval.
const PEAK_DECAY: f32 = 0.9;
/// Peak below which a team is forgotten.
const PEAK_MIN: f32 = 0.5;

/// Decaying peak of the requests that each team would run if tokens were unlimited.
#[derive(Debug, Default)]
pub struct Demand {
    peaks: BTreeMap<TeamId, f32>,
}

impl Demand {
    /// Decays the peaks by one interval and adds the present demand.
    pub fn sample(&mut self, usage: &Usage, escrow: &Escrow) {
        let waiting = usage.waiting_by_team();
        for peak in self.peaks.values_mut() {
            *peak *= PEAK_DECAY;
        }
        for team in escrow.teams().iter().chain(waiting.keys()) {
            let waiting = waiting.get(team).copied().unwrap_or(0);
            let demand = escrow.in_use(team).saturating_add(waiting) as f32;
            let peak = self.peaks.entry(team.clone()).or_insert(0.0);
            *peak = peak.max(demand);
        }
        self.peaks.retain(|_, peak| *peak >= PEAK_MIN);
    }

    /// Returns the demand of a team, rounded to requests.
    pub fn of(&self, team: &TeamId) -> u32 {
        self.peaks.get(team).map_or(0, |peak| peak.round() as u32)
    }

    /// Returns the teams with a demand.
    pub fn teams(&self) -> impl Iterator<Item = &TeamId> {
        self.peaks.keys()
    }
}
