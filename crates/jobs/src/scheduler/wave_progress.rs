//! Progress of a maintenance wave, and how many of its machines may be down.

use std::collections::HashMap;
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_platform::Moment;

use super::wave_places::TakenPlaces;
use crate::cluster::Wave;
use crate::record::WaveRecord;

/// Time that the maintenance of one machine takes, from the command until its new worker accepts
/// tasks, including the round trip of the command.
const MAINTENANCE_TIME: Duration = Duration::from_millis(3_000);
/// Share of a wave's time limit that is kept in reserve.
const RESERVE_SHARE: f64 = 0.25;

/// Progress of a wave.
#[derive(Debug)]
pub(super) struct WaveProgress {
    pub(super) wave: Wave,
    /// When an owner first saw the wave.
    pub(super) since: Moment,
    pub(super) since_unix_ms: u64,
    /// Machines whose maintenance has started, and when.
    pub(super) begun: HashMap<InstanceId, Moment>,
    /// Machines that are being drained for maintenance, and since when.
    pub(super) draining: HashMap<InstanceId, Moment>,
    /// Last stored status: whether the wave is complete.
    pub(super) stored: Option<bool>,
    /// When its pace was last logged.
    pub(super) logged_at: Moment,
}

/// What the machines of a wave that are up wait for.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WaveDelays {
    /// Availability budgets, or runs that are not known yet.
    pub(super) budgets: usize,
    /// Short tasks that run there.
    pub(super) short_tasks: usize,
    /// The pace of the wave.
    pub(super) pace: usize,
}

impl WaveDelays {
    /// Counts a machine that stays up for now.
    pub(super) fn count(&mut self, can_go_down: bool, has_only_short_tasks: bool) {
        match (can_go_down, has_only_short_tasks) {
            (true, _) => self.pace += 1,
            (false, true) => self.short_tasks += 1,
            (false, false) => self.budgets += 1,
        }
    }
}

/// How many machines of a wave may go down now.
#[derive(Debug)]
pub(super) struct WavePace {
    /// Places that are taken.
    pub(super) taken: TakenPlaces,
    /// Machines that may be down at the time limit's pace.
    pub(super) planned: usize,
    /// Machines that may be down at all.
    pub(super) limit: usize,
    /// Machines that take a place from now on.
    new: usize,
}

impl WavePace {
    /// Creates the pace of a wave of which `remaining` machines are to go down.
    pub(super) fn new(
        progress: &WaveProgress,
        taken: TakenPlaces,
        remaining: usize,
        now: Moment,
    ) -> Self {
        let planned = planned_down(progress, remaining + taken.all, now);
        Self { taken, planned, limit: progress.wave.concurrent_max, new: 0 }
    }

    /// Returns how many machines may go down at the time limit's pace.
    pub(super) fn allowed_now(&self) -> usize {
        self.planned.saturating_sub(self.taken.all)
    }

    /// Takes a place for a machine unless it has one. Returns whether the machine may be commanded:
    /// one that has a place, only while no more are taken than the wave has.
    pub(super) fn take_place(&mut self, has_place: bool, is_surplus: bool) -> bool {
        if has_place {
            return self.taken.own <= self.limit;
        }
        let most = if is_surplus { self.limit } else { self.planned };
        let is_free = self.taken.all + self.new < most;
        self.new += usize::from(is_free);
        is_free
    }
}

impl WaveProgress {
    /// Creates the progress of a wave from what a previous owner stored, if anything; `now_unix` is
    /// the Unix time at `now`.
    pub(super) fn new(
        wave: Wave,
        stored: Option<&WaveRecord>,
        now_unix: Duration,
        now: Moment,
    ) -> Self {
        let now_unix_ms = u64::try_from(now_unix.as_millis()).unwrap_or(u64::MAX);
        let since_unix_ms = stored.map_or(now_unix_ms, |stored| stored.since_unix_ms);
        let age = Duration::from_millis(now_unix_ms.saturating_sub(since_unix_ms));
        let begun = stored.map_or(&[][..], |stored| &stored.begun);
        Self {
            wave,
            since: now.saturating_sub(age),
            since_unix_ms,
            begun: begun.iter().map(|machine| (machine.clone(), now)).collect(),
            draining: HashMap::new(),
            stored: None,
            logged_at: Moment::ZERO,
        }
    }
}

/// Returns how many machines of a wave may be down at the same time: as few as its time limit
/// allows. Those that are down count among the `unfinished` ones: otherwise the last machines would
/// go down one after the other.
///
/// A wave may start while a service is under load. Machines that are needed then go down evenly
/// over the time limit instead of all at its start.
fn planned_down(progress: &WaveProgress, unfinished: usize, now: Moment) -> usize {
    let planned = progress.wave.time_limit.mul_f64(1.0 - RESERVE_SHARE);
    let left = progress.since.saturating_add(planned).saturating_sub(now);
    let rounds = (left.as_secs_f64() / MAINTENANCE_TIME.as_secs_f64()).floor().max(1.0);
    let needed = (unfinished as f64 / rounds).ceil() as usize;
    needed.clamp(1, progress.wave.concurrent_max.max(1))
}
