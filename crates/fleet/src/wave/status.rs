//! Progress and expected end of a wave.

use std::time::{Duration, SystemTime};

use cassiafold_config::WaveId;

use crate::code::FleetCode;
use crate::plan::Round;
use crate::wave::blackout::{completion_time, time_outside_blackouts};
use crate::wave::{covers, is_done, overdue, pause_reason};

/// Limit of the forecast: a later expected end is not computed.
const FORECAST_MAX: Duration = Duration::from_secs(90 * 86_400);

/// Progress of a maintenance wave.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveStatus {
    /// The wave.
    pub wave: WaveId,
    /// Instances that the wave covers.
    pub total: usize,
    /// Instances already maintained in this wave.
    pub done: usize,
    /// Instances under maintenance.
    pub in_progress: usize,
    /// Instances that wait for a retry after a drain timed out, or are failing.
    pub deferred: usize,
    /// Instances whose last maintenance is longer ago than the maintenance period.
    pub overdue: usize,
    /// Reason why the whole wave is paused, if it is.
    pub paused: Option<FleetCode>,
    /// Deadline of the wave.
    pub deadline: SystemTime,
    /// Expected end at the average speed since the start; `None` before the first instance is
    /// maintained or if the end is more than 90 days away.
    pub expected_end: Option<SystemTime>,
}

impl WaveStatus {
    /// Whether the wave has missed its deadline or is expected to miss it.
    pub fn late(&self, now: SystemTime) -> bool {
        let end = self.expected_end.unwrap_or(now);
        self.done < self.total && end.max(now) > self.deadline
    }
}

/// Instance counts of a wave.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    total: usize,
    done: usize,
    in_progress: usize,
    deferred: usize,
    overdue: usize,
}

/// Progress of the wave `id`; `None` if the configuration has no such wave.
pub(crate) fn status(round: &Round<'_>, id: &WaveId) -> Option<WaveStatus> {
    let wave = round.view.config.waves.get(id)?;
    let mut counts = Counts::default();
    for (instance, placement) in round.placements() {
        if !covers(round, wave, instance, placement) {
            continue;
        }
        let in_backoff = placement.not_before.is_some_and(|time| time > round.now);
        counts.total += 1;
        counts.overdue += usize::from(overdue(round, placement));
        if is_done(wave, placement) {
            counts.done += 1;
        } else if placement.step.is_some() {
            counts.in_progress += 1;
        } else if in_backoff || placement.failure.is_some() {
            counts.deferred += 1;
        }
    }
    let elapsed = time_outside_blackouts(wave, wave.start, round.now);
    let remaining = counts.total - counts.done;
    let work =
        elapsed.checked_div(counts.done as u32).map(|per_instance| per_instance * remaining as u32);
    Some(WaveStatus {
        wave: id.clone(),
        total: counts.total,
        done: counts.done,
        in_progress: counts.in_progress,
        deferred: counts.deferred,
        overdue: counts.overdue,
        paused: pause_reason(round, wave),
        deadline: wave.deadline,
        expected_end: work.and_then(|work| completion_time(wave, round.now, work, FORECAST_MAX)),
    })
}
