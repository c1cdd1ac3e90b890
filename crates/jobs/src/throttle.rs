//! Speed of opportunistic tasks beside tasks that serve users.

use std::time::Duration;

use cassiafold_platform::Moment;

use crate::clients::{CommandOutcome, LATE_COMMAND_MAX};

/// Share of the tail latency target above which opportunistic tasks on the worker are slowed down.
const LOAD_HIGH: f64 = 0.95;
/// Share of the tail latency target below which they are sped up.
const LOAD_LOW: f64 = 0.75;
/// Lowest speed other than zero, in percent; the task is paused below it.
const SPEED_MIN_PERCENT: u8 = 10;
/// Step by which the speed rises, in percent.
const SPEED_STEP_PERCENT: u8 = 15;
/// Full speed, in percent.
const SPEED_MAX_PERCENT: u8 = 100;
/// Speed that a run of a previous owner is taken to have, in percent. It may have been paused, and
/// disturbs others at once if it is too fast.
const ADOPTED_SPEED_PERCENT: u8 = 50;

/// Speed of a run as it was commanded last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speed {
    /// Share of full speed, in percent.
    percent: u8,
    /// Whether the worker is known to have carried the last command out.
    is_confirmed: bool,
    /// Until when the worker may carry out an earlier command whose response was lost.
    late_command_until: Moment,
}

impl Speed {
    /// Speed of a run that this owner starts.
    pub const FULL: Self =
        Self { percent: SPEED_MAX_PERCENT, is_confirmed: true, late_command_until: Duration::ZERO };
    /// Speed of a run of a previous owner, which may have throttled it.
    pub const ADOPTED: Self =
        Self { percent: ADOPTED_SPEED_PERCENT, is_confirmed: false, ..Self::FULL };

    /// Returns the share of full speed that was commanded last.
    pub fn share(&self) -> f64 {
        f64::from(self.percent) / f64::from(SPEED_MAX_PERCENT)
    }

    /// Returns the speed to command now, if a command is needed; `load` as for
    /// [`next_speed_percent`].
    pub fn next_command(&mut self, load: Option<f64>, now: Moment) -> Option<u8> {
        let percent = next_speed_percent(self.percent, load);
        let is_applied = self.is_confirmed && now >= self.late_command_until;
        if percent == self.percent && is_applied {
            return None;
        }
        self.percent = percent;
        self.is_confirmed = false;
        Some(percent)
    }

    /// Handles the outcome of a command.
    pub fn handle_outcome(&mut self, percent: u8, outcome: CommandOutcome, now: Moment) {
        match outcome {
            CommandOutcome::Accepted => self.is_confirmed = percent == self.percent,
            CommandOutcome::Unknown => self.late_command_until = now + LATE_COMMAND_MAX,
            CommandOutcome::Refused(_) | CommandOutcome::NotSent => {}
        }
    }
}

/// Next speed of an opportunistic task, in percent, beside tasks whose tail latency is `load` times
/// its target; `None` if there are no such tasks.
///
/// The speed is halved at once when the tail latency nears its target, and rises step by step,
/// since the users' load changes within seconds.
pub fn next_speed_percent(percent: u8, load: Option<f64>) -> u8 {
    let Some(load) = load else { return SPEED_MAX_PERCENT };
    if load > LOAD_HIGH {
        let halved = percent / 2;
        return if halved < SPEED_MIN_PERCENT { 0 } else { halved };
    }
    if load < LOAD_LOW {
        return percent.saturating_add(SPEED_STEP_PERCENT).min(SPEED_MAX_PERCENT);
    }
    percent
}
