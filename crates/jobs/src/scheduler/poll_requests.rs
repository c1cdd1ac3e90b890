//! Polls of workers: when each is sent, and what it says.
//!
//! Load that they answer: a new owner polls all workers at once, and responses without a run end
//! come from each of them every second.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use cassiafold_platform::Moment;

use super::{Command, Scheduler};
use crate::clients::PollRequest;
use crate::job::WorkerSlot;
use crate::worker::PollPhase;

/// How long a worker with runs may hold a poll open for a run to end.
const POLL_WAIT_BUSY: Duration = Duration::from_millis(1_000);
/// How long a worker without runs may hold a poll open.
const POLL_WAIT_IDLE: Duration = Duration::from_millis(2_000);
/// Minimum delay between a response with run ends and the next poll. Until the ends are stored and
/// acknowledged, the worker would respond immediately and report them again; the delay also lets
/// further ends accumulate.
pub(super) const ENDS_POLL_INTERVAL_MIN: Duration = Duration::from_millis(40);
/// Polls of a worker in flight beside the long poll. A hedged one is sent before the one before it
/// times out.
const OUT_OF_BAND_POLLS_MAX: u32 = 3;

impl Scheduler {
    /// Returns the poll that is due for a worker. It extends the lease of all runs there.
    pub fn poll_request(
        &mut self,
        slot: WorkerSlot,
        is_out_of_band: bool,
        now: Moment,
    ) -> PollRequest {
        let lease_max = self.settings.lease_max;
        let token = self.term.token;
        let worker = &mut self.workers[slot];
        worker.last_polled = now;
        match is_out_of_band {
            true => worker.out_of_band_polls += 1,
            false => worker.poll = PollPhase::InFlight,
        }
        self.command_budget.add_poll();
        let lease_until =
            worker.is_confirmed.then(|| worker.extend_lease(lease_max, now)).flatten();
        let wait = match (worker.is_confirmed, worker.runs.is_empty()) {
            (false, _) => Duration::ZERO,
            _ if is_out_of_band => Duration::ZERO,
            (true, true) => POLL_WAIT_IDLE,
            (true, false) => POLL_WAIT_BUSY,
        };
        // Nothing may be acknowledged while the worker's incarnation is unconfirmed: a new one
        // would use the same numbers for its run ends. While a poll is pending, the worker may have
        // restarted since the last response.
        let is_certain = worker.is_confirmed && !is_out_of_band;
        let acknowledged = if is_certain { worker.last_end_stored } else { 0 };
        PollRequest { token, acknowledged, lease_until, wait }
    }

    /// Issues the polls that are due.
    pub(super) fn due_polls(&mut self, now: Moment, commands: &mut Vec<Command>) {
        let mut due = Vec::new();
        let mut polled: HashSet<WorkerSlot> = HashSet::new();
        while let Some(Reverse((at, worker))) = self.poll_queue.peek().copied()
            && at <= now
        {
            self.poll_queue.pop();
            let incarnation = &self.workers[worker];
            if !incarnation.is_gone && incarnation.poll == PollPhase::DueAt(at) {
                commands.push(Command::Poll { worker, is_out_of_band: false });
                due.push(Reverse((at, worker)));
                polled.insert(worker);
            }
        }
        // A poll stays due until it is sent.
        self.poll_queue.extend(due);
        for worker in std::mem::take(&mut self.out_of_band_polls_due) {
            let incarnation = &self.workers[worker];
            let is_silent = incarnation.is_gone || incarnation.has_refused_token;
            if is_silent || polled.contains(&worker) {
                continue;
            }
            if incarnation.out_of_band_polls >= OUT_OF_BAND_POLLS_MAX {
                self.out_of_band_polls_due.insert(worker);
                continue;
            }
            commands.push(Command::Poll { worker, is_out_of_band: true });
        }
    }

    /// Returns when the next poll is due.
    pub(super) fn next_poll_due(&self) -> Moment {
        self.poll_queue.peek().map_or(Moment::MAX, |Reverse((at, _))| *at)
    }

    /// Counts a poll as no longer in flight.
    pub(super) fn count_poll_outcome(&mut self, slot: WorkerSlot, is_out_of_band: bool) {
        self.command_budget.remove_poll();
        if is_out_of_band {
            let worker = &mut self.workers[slot];
            worker.out_of_band_polls = worker.out_of_band_polls.saturating_sub(1);
        }
    }

    /// Brings forward the poll of a worker whose run ends are all stored, to acknowledge them.
    /// Until then the worker reports them again.
    pub(super) fn schedule_ack_poll(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot];
        let due = now.max(worker.last_answered.unwrap_or(now) + ENDS_POLL_INTERVAL_MIN);
        if matches!(worker.poll, PollPhase::DueAt(at) if at > due) && worker.is_confirmed {
            worker.poll = PollPhase::DueAt(due);
            self.poll_queue.push(Reverse((due, slot)));
        }
    }
}
