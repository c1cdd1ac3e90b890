//! Statistics of the owner's loop.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{Moment, since_boot};

use crate::command_budget::{CommandKind, CommandReport};
use crate::event::JobsEvent;
use crate::scheduler::Backlog;

/// Interval of the report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A phase of the loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoopPhase {
    /// Handling of messages.
    Messages,
    /// Planning of commands.
    Plan,
    /// Spawning the tasks that execute the commands.
    Commands,
    /// Collecting state to write.
    Write,
}

/// Statistics since the last report.
#[derive(Debug)]
pub(super) struct LoopStats {
    since: Moment,
    spent: [Duration; 4],
    passes: u32,
    messages: u32,
    late_max: Duration,
    writes: u32,
    states_written: usize,
    write_latency: Duration,
    polls: u32,
    polls_repeated: u32,
}

impl LoopStats {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            since: now,
            spent: Default::default(),
            passes: 0,
            messages: 0,
            late_max: Duration::ZERO,
            writes: 0,
            states_written: 0,
            write_latency: Duration::ZERO,
            polls: 0,
            polls_repeated: 0,
        }
    }

    /// Adds the time since `started` to a phase. Returns the current time, at which the next phase
    /// starts.
    pub(super) fn record(&mut self, phase: LoopPhase, started: Moment) -> Moment {
        let now = since_boot();
        self.spent[phase as usize] += now.saturating_sub(started);
        now
    }

    /// Counts a message.
    pub(super) fn count_message(&mut self) {
        self.messages += 1;
    }

    /// Counts a pass of the loop that was due at `due`.
    pub(super) fn record_pass(&mut self, due: Moment, now: Moment) {
        self.passes += 1;
        self.late_max = self.late_max.max(now.saturating_sub(due));
    }

    /// Counts a write of `states` states that took `latency`.
    pub(super) fn record_write(&mut self, states: usize, latency: Duration) {
        self.writes += 1;
        self.states_written += states;
        self.write_latency += latency;
    }

    /// Counts a successful poll. `is_repeated` tells that it reported only run ends that were
    /// received before.
    pub(super) fn count_poll(&mut self, is_repeated: bool) {
        self.polls += 1;
        self.polls_repeated += u32::from(is_repeated);
    }

    /// Whether the next report is due.
    pub(super) fn is_report_due(&self, now: Moment) -> bool {
        now.saturating_sub(self.since) >= REPORT_INTERVAL
    }

    /// Logs the report.
    pub(super) fn report(&mut self, now: Moment, backlog: &Backlog, commands: &CommandReport) {
        let [take_in, plan, carry_out, write] = self.spent.map(|spent| spent.as_millis());
        let on_the_way = commands.kinds.map(|kind| kind.usage.commands);
        let oldest = commands.kinds.iter().map(|kind| kind.oldest_age).max().unwrap_or_default();
        emit!(
            JobsEvent::OwnerBusy,
            passes = self.passes,
            messages = self.messages,
            late_ms = self.late_max.as_millis(),
            take_in_ms = take_in,
            plan_ms = plan,
            carry_out_ms = carry_out,
            write_ms = write,
            writes = self.writes,
            states_written = self.states_written,
            write_flight_ms = self.write_latency.as_millis(),
            looks = self.polls,
            looks_repeated = self.polls_repeated,
            jobs_live = backlog.jobs_live,
            jobs_unannounced = backlog.jobs_awaiting_start_write,
            jobs_unstarted = backlog.jobs_unstarted,
            tasks_waiting = backlog.tasks_waiting,
            states_unwritten = backlog.states_unwritten,
            states_inherited = backlog.states_inherited,
            workers_usable = backlog.workers_usable,
            cores_free = backlog.cores_free,
            machines_vacated = backlog.machines_vacated,
            workers_unanswered = backlog.workers_unanswered,
            jobs_deferred = backlog.jobs_deferred,
            held_kb = backlog.held_bytes / 1_024,
            starts_in_flight = on_the_way[CommandKind::Start as usize],
            stops_in_flight = on_the_way[CommandKind::Stop as usize],
            polls_in_flight = commands.polls,
            commands_oldest_ms = oldest.as_millis(),
            commands_peak_kb = commands.bytes_peak / 1_024
        );
        *self = Self::new(now);
    }
}
