//! Polls that are sent beside a pending one, while workers leave commands without a response.
//!
//! Load that it answers: a few of a hundred commands and polls get no response. A worker whose poll
//! is one of them seems to run its tasks on until the poll times out, so that the next steps of
//! their jobs start seconds late although there is room.

use std::collections::VecDeque;
use std::time::Duration;

use cassiafold_platform::Moment;

use super::Scheduler;
use crate::job::WorkerSlot;
use crate::worker::{PollPhase, Run, RunPhase};

/// Time for which a command without a response counts.
const UNANSWERED_WINDOW: Duration = Duration::from_secs(5);
/// Number of workers without a response from which on polls are hedged. A single one may be lost.
const UNANSWERED_WORKERS_MIN: usize = 3;
/// Time that a poll of a worker with short tasks may be pending before another one is sent.
const HEDGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a start command may be pending before a poll tells whether its run is there.
const START_CHECK_AFTER: Duration = Duration::from_millis(150);
/// Failed polls up to which a worker's polls are hedged: one that fails more may be cut off.
const FAILED_POLLS_MAX: u32 = 1;

/// Workers that left a command or poll without a response lately.
#[derive(Debug, Default)]
pub(super) struct Unanswered {
    recent: VecDeque<(Moment, WorkerSlot)>,
}

impl Unanswered {
    fn record(&mut self, slot: WorkerSlot, now: Moment) {
        self.recent.retain(|(at, other)| *other != slot && now < *at + UNANSWERED_WINDOW);
        self.recent.push_back((now, slot));
    }

    /// Number of workers within the window.
    pub(super) fn workers(&self, now: Moment) -> usize {
        let is_recent = |(at, _): &&(Moment, WorkerSlot)| now < *at + UNANSWERED_WINDOW;
        self.recent.iter().rev().take_while(is_recent).count()
    }
}

impl Scheduler {
    /// Notes that a worker left a command or poll without a response.
    pub(super) fn record_unanswered(&mut self, slot: WorkerSlot, now: Moment) {
        self.unanswered.record(slot, now);
        self.workers[slot].unanswered_at = Some(now);
    }

    /// Returns whether a worker lately left a command or poll without a response.
    pub(super) fn is_unanswered(&self, slot: WorkerSlot, now: Moment) -> bool {
        self.workers[slot].unanswered_at.is_some_and(|at| now < at + UNANSWERED_WINDOW)
    }

    /// Sends another poll to the workers with short tasks whose poll has been pending for a while,
    /// if several workers left commands without a response lately.
    pub(super) fn hedge_polls(&mut self, now: Moment) {
        if self.unanswered.workers(now) < UNANSWERED_WORKERS_MIN {
            return;
        }
        let is_due = |slot: &WorkerSlot| {
            let worker = &self.workers[*slot];
            let has_short_tasks = worker.runs.len() > worker.counts.long_running as usize;
            let is_poll_overdue = now >= worker.last_polled + HEDGE_INTERVAL;
            worker.poll == PollPhase::InFlight
                && (worker.is_confirmed || worker.failed_polls <= FAILED_POLLS_MAX)
                && has_short_tasks
                && (is_poll_overdue || self.has_overdue_start(*slot, now))
        };
        let due: Vec<WorkerSlot> = self.active_slots().filter(is_due).collect();
        for slot in due {
            self.mark_overdue_starts(slot, now);
            self.out_of_band_polls_due.insert(slot);
        }
    }

    /// Returns whether a start command has been pending for long, and no poll was sent since that
    /// tells whether the run is there.
    fn has_overdue_start(&self, slot: WorkerSlot, now: Moment) -> bool {
        let mut runs = self.workers[slot].runs.values();
        runs.any(|run| is_overdue_start(run, now) && run.start_unanswered_at.is_none())
    }

    /// Lets the next poll decide about the runs whose start commands have been pending for long.
    fn mark_overdue_starts(&mut self, slot: WorkerSlot, now: Moment) {
        let runs = self.workers[slot].runs.values_mut();
        for run in runs.filter(|run| is_overdue_start(run, now)) {
            run.start_unanswered_at.get_or_insert(now);
        }
    }
}

fn is_overdue_start(run: &Run, now: Moment) -> bool {
    run.phase == RunPhase::Starting && now >= run.since + START_CHECK_AFTER
}
