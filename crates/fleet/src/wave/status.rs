//! Progress and expected end of a wave.

use std::time::{Duration, SystemTime};

use cassiafold_config::WaveId;

use crate::code::FleetCode;
use crate::plan::Round;
use crate::wave::blackout::{completion_time, time_outside_blackouts};
use crate::wave::{covers, is_done, overdue, pause_reason};

/// Furthest expected end that is worked out.
const FORECAST_MAX: Duration = Duration::from_secs(90 * 86_400);

/// Progress of a maintenance wave.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveStatus {
    /// The wave.
    pub wave: WaveId,
    /// Instances that the wave covers.
    pub total: usize,
    /// Instances maintained in this wave.
    pub done: usize,
    /// Instances under maintenance.
    pub in_progress: usize,
    /// Instances that wait for a second try after a drain was given up, or are failing.
    pub deferred: usize,
    /// Instances last maintained longer ago than the maintenance period.
    pub overdue: usize,
    /// Why no step starts, when the wave as a whole is held back.
    pub paused: Option<FleetCode>,
    /// When the wave must end.
    pub deadline: SystemTime,
    /// When it will end at the pace so far; `None` before the first instance is done.
    pub expected_end: Option<SystemTime>,
}

impl WaveStatus {
    /// Whether the wave has missed its deadline or is expected to.
    pub fn late(&self, now: SystemTime) -> bool {
        let end = self.expected_end.unwrap_or(now);
        self.done < self.total && end.max(now) > self.deadline
    }
}

/// Counts of a wave.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    total: usize,
    done: usize,
    in_progress: usize,
    deferred: usize,
    overdue: usize,
}

/// Progress of `id`; `None` when the configuration holds no such wave.
pub(crate) fn status(round: &Round<'_>, id: &WaveId) -> Option<WaveStatus> {
    let wave = round.view.config.waves.get(id)?;
    let mut state = State::default();
    for (instance, placement) in round.placements() {
        if !covers(round, wave, instance, placement) {
            continue;
        }
        let later = placement.not_before.is_some_and(|time| time > round.now);
        state.total += 1;
        state.overdue += usize::from(overdue(round, placement));
        if is_done(wave, placement) {
            state.done += 1;
        } else if placement.step.is_some() {
            state.in_progress += 1;
        } else if later || placement.failure.is_some() {
            state.deferred += 1;
        }
    }
    let elapsed = time_outside_blackouts(wave, wave.start, round.now);
    let remaining = state.total - state.done;
    let work = elapsed.checked_div(state.done as u32).map(|each| each * remaining as u32);
    Some(WaveStatus {
        wave: id.clone(),
        total: state.total,
        done: state.done,
        in_progress: state.in_progress,
        deferred: state.deferred,
        overdue: state.overdue,
        paused: pause_reason(round, wave),
        deadline: wave.deadline,
        expected_end: work.and_then(|work| completion_time(wave, round.now, work, FORECAST_MAX)),
    })
}
