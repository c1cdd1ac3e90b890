//! What a look at a worker changes.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::{Scheduler, WriteUrgency};
use crate::clients::{EndedRun, PollError, PollRequest, PollResponse, RunEnd, RunningRun};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::spec::TaskId;
use crate::worker::{PollPhase, Run, RunKind, RunPhase};

/// How long a worker with work waits for an end before it answers a look.
const WAIT_BUSY: Duration = Duration::from_millis(1_000);
/// How long a worker without work waits before it answers a look.
const WAIT_IDLE: Duration = Duration::from_millis(2_000);
/// Time between an answer without ends and the next look.
const POLL_GAP: Duration = Duration::from_millis(15);
/// Shortest time between an answer with ends and the next look. Until they are stored and
/// acknowledged, the worker would answer at once and show them again; meanwhile others gather.
const ENDS_GAP: Duration = Duration::from_millis(40);
/// Looks a second, at all workers, that may show ends again that are not stored.
const REPEATED_POLLS_PER_S: f64 = 1_500.0;
/// Time between a failed look and the next one.
const RETRY_GAP: Duration = Duration::from_millis(200);
/// Failed looks after which a worker that is not listed counts as lost once its lease is over.
const FAILED_POLLS_MAX: u32 = 2;
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::looks";

impl Scheduler {
    /// The look that is due at a worker. It extends the lease of what runs there.
    pub fn poll_request(
        &mut self,
        slot: WorkerSlot,
        is_out_of_band: bool,
        now: Moment,
    ) -> PollRequest {
        let lease_max = self.settings.lease_max;
        let token = self.term.token;
        let worker = &mut self.workers[slot];
        if !is_out_of_band {
            worker.poll = PollPhase::InFlight;
        }
        let lease_until =
            worker.is_confirmed.then(|| worker.extend_lease(lease_max, now)).flatten();
        let wait = match (worker.is_confirmed, worker.runs.is_empty()) {
            (false, _) => Duration::ZERO,
            _ if is_out_of_band => Duration::ZERO,
            (true, true) => WAIT_IDLE,
            (true, false) => WAIT_BUSY,
        };
        // Before its life is known again, nothing may be acknowledged to the worker: it may be a
        // new life, whose ends have the same numbers.
        let acknowledged = if worker.is_confirmed { worker.last_end_stored } else { 0 };
        PollRequest { token, acknowledged, lease_until, wait }
    }

    /// Takes in what a look showed, that was sent at `sent` and answered at `now`.
    ///
    /// A look that was sent before one that has been taken in shows ends alone: what it says of
    /// runs may be older.
    pub fn handle_poll_response(
        &mut self,
        slot: WorkerSlot,
        is_out_of_band: bool,
        sent: Moment,
        now: Moment,
        poll: PollResponse,
    ) {
        let worker = &mut self.workers[slot];
        if worker.is_gone {
            return;
        }
        let (known, seen) = (worker.entry.started_unix, poll.started_unix);
        if known.is_some() && seen.is_some() && known != seen {
            self.start_incarnation(slot, seen, now);
        }
        let ends_gap = ends_gap(self.workers_with_unstored_ends);
        let worker = &mut self.workers[slot];
        worker.entry.started_unix = worker.entry.started_unix.or(seen);
        worker.set_clock(poll.clock, now);
        let first = !worker.is_confirmed;
        worker.is_confirmed = true;
        worker.unresponsive_since = None;
        worker.was_confirmed = true;
        worker.failed_polls = 0;
        // A worker that was lost from sight may hold runs whose lease is about to end.
        let next = match (first, poll.ended.is_empty()) {
            (true, _) => now,
            (false, true) => now + POLL_GAP,
            (false, false) => now + ends_gap,
        };
        if !is_out_of_band {
            worker.poll = PollPhase::DueAt(next);
            self.poll_queue.push(Reverse((next, slot)));
        }
        let is_latest = sent >= worker.poll_sent;
        worker.poll_sent = worker.poll_sent.max(sent);
        if first {
            self.mark_worker_service_changed(slot);
        }
        let mut shown: HashSet<TaskId> = HashSet::with_capacity(poll.running.len());
        for row in poll.ended {
            self.note_end(slot, row, now);
        }
        if !is_latest {
            return;
        }
        for row in poll.running {
            shown.insert(row.task);
            self.note_running(slot, row, now);
        }
        self.drop_vanished(slot, &shown, sent, now);
        self.stop_unbegun(slot, &shown, sent, now);
    }

    /// Has a worker looked at, all of whose ends have come into the store: until then it showed
    /// them again.
    pub(super) fn schedule_ack_poll(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot];
        let due = now.max(worker.last_answered.unwrap_or(now) + ENDS_GAP);
        if matches!(worker.poll, PollPhase::DueAt(at) if at > due) && worker.is_confirmed {
            worker.poll = PollPhase::DueAt(due);
            self.poll_queue.push(Reverse((due, slot)));
        }
    }

    /// Whether a look shows ends, but none that has not been taken in.
    pub fn has_only_known_ends(&self, slot: WorkerSlot, poll: &PollResponse) -> bool {
        let seen = self.workers[slot].last_end_seen;
        !poll.ended.is_empty() && poll.ended.iter().all(|row| row.number <= seen)
    }

    fn note_end(&mut self, slot: WorkerSlot, row: EndedRun, now: Moment) {
        let worker = &mut self.workers[slot];
        if row.number <= worker.last_end_seen {
            return;
        }
        worker.last_end_seen = row.number;
        self.run_ends_received += 1;
        self.workers_with_unstored_ends += usize::from(worker.ends_unstored.is_empty());
        worker.ends_unstored.push_back((row.number, self.run_ends_received));
        if row.end == RunEnd::Done {
            self.raise_urgency(WriteUrgency::Normal);
        }
        self.ensure_occurrence_started(row.task.step, now);
        self.handle_run_end(slot, &row, now);
    }

    fn note_running(&mut self, slot: WorkerSlot, row: RunningRun, now: Moment) {
        let token = self.term.token;
        let worker = &mut self.workers[slot];
        if let Some(run) = worker.runs.get_mut(&row.task)
            && run.number == row.run
        {
            if run.phase == RunPhase::Starting {
                run.phase = RunPhase::Running;
            }
            run.confirmed = run.confirmed.or(Some(now));
            if run.percent != row.percent {
                run.percent = row.percent;
                run.last_progress = now;
            }
            run.load_metric = row.load_metric;
            self.mark_job_started(slot, row.task, now);
            self.note_checkpoint(row.task, row.checkpoint);
            return;
        }
        if worker.runs.contains_key(&row.task) {
            // An older run of a task that was ordered here again: the worker refuses one of them.
            return;
        }
        self.adopt(slot, row, token, now);
    }

    /// Takes over a run that was not ordered by this owner, or lets it end where it must not be.
    fn adopt(&mut self, slot: WorkerSlot, row: RunningRun, token: u64, now: Moment) {
        let id = row.task;
        self.ensure_occurrence_started(id.step, now);
        let job = self.jobs.get_mut(&id.step.job);
        let spec = job.as_ref().and_then(|job| job.spec(id.step.step)).cloned();
        let is_live = job.as_ref().is_some_and(|job| job.is_live());
        let speculative = spec.as_ref().is_some_and(|spec| spec.speculative);
        let (quota_usage, reserved) =
            spec.as_ref().map(|spec| (spec.task_resources, spec.reserved())).unwrap_or_default();
        let kind = spec.as_ref().map(RunKind::from).unwrap_or_default();
        let mut is_wanted = false;
        if let Some(job) = job {
            job.has_started = true;
            if let Some(task) = job.task_mut(id) {
                task.last_run = task.last_run.max(row.run);
                is_wanted =
                    is_live && !task.is_done && (speculative || task.active_runs.is_empty());
                task.active_runs.push(slot);
            }
        }
        let run = Run {
            number: row.run,
            phase: RunPhase::Running,
            since: now,
            start_unanswered_at: None,
            is_adopted: true,
            confirmed: Some(now),
            kind,
            reserved,
            quota_usage,
            percent: row.percent,
            last_progress: now,
            load_metric: row.load_metric,
            speed_percent: 100,
        };
        self.adjust_team_usage(id.step.job, &run.quota_usage, true);
        let worker = &mut self.workers[slot];
        worker.add(id, run);
        emit!(
            target: LOG_TARGET,
            JobsEvent::RunAdopted,
            task = id,
            run = row.run,
            worker = worker.entry.id,
            token = token,
            wanted = is_wanted
        );
        self.note_checkpoint(id, row.checkpoint);
        if !is_wanted {
            self.stop_run(slot, id, now);
        }
    }

    fn note_checkpoint(&mut self, task: TaskId, checkpoint: Option<std::sync::Arc<str>>) {
        let Some(checkpoint) = checkpoint else { return };
        let job = self.jobs.get_mut(&task.step.job);
        let Some(task) = job.and_then(|job| job.task_mut(task)) else { return };
        if task.checkpoint.as_ref() != Some(&checkpoint) {
            task.checkpoint = Some(checkpoint);
        }
    }

    /// Ends the runs that a look, sent after their last news, does not show.
    fn drop_vanished(
        &mut self,
        slot: WorkerSlot,
        shown: &HashSet<TaskId>,
        sent: Moment,
        now: Moment,
    ) {
        let worker = &self.workers[slot];
        let vanished: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(task, run)| {
                let settled = match run.phase {
                    RunPhase::Starting => None,
                    RunPhase::Running => run.confirmed,
                    RunPhase::Stopping { confirmed, .. } => confirmed,
                };
                !shown.contains(*task) && settled.is_some_and(|at| at < sent)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in vanished {
            emit!(
                target: LOG_TARGET,
                JobsEvent::RunVanished,
                task = task,
                worker = self.workers[slot].entry.id
            );
            self.release_run(slot, task, now);
        }
    }

    /// Orders runs to end whose start was not answered and that a later look does not show: they
    /// might begin late.
    fn stop_unbegun(
        &mut self,
        slot: WorkerSlot,
        shown: &HashSet<TaskId>,
        sent: Moment,
        now: Moment,
    ) {
        let runs = self.workers[slot].runs.iter();
        let unbegun = runs.filter(|(task, run)| {
            run.phase == RunPhase::Starting
                && run.start_unanswered_at.is_some_and(|at| at < sent)
                && !shown.contains(*task)
        });
        let unbegun: Vec<TaskId> = unbegun.map(|(task, _)| *task).collect();
        for task in unbegun {
            self.stop_run(slot, task, now);
        }
    }

    /// Takes in that a look brought nothing.
    pub fn handle_poll_failure(
        &mut self,
        slot: WorkerSlot,
        is_out_of_band: bool,
        error: &PollError,
        now: Moment,
    ) {
        let worker = &mut self.workers[slot];
        if is_out_of_band {
            // The look that waits tells whether the worker is lost.
            return;
        }
        worker.poll = PollPhase::DueAt(now + RETRY_GAP);
        self.poll_queue.push(Reverse((now + RETRY_GAP, slot)));
        if worker.is_gone {
            return;
        }
        if worker.is_confirmed {
            emit!(
                target: LOG_TARGET,
                JobsEvent::LookFailed,
                worker = worker.entry.id,
                error = error
            );
        }
        worker.is_confirmed = false;
        worker.unresponsive_since = worker.unresponsive_since.or(Some(now));
        worker.failed_polls += 1;
        if *error == PollError::OtherLife {
            self.retire_worker(slot, now);
            return;
        }
        self.expire_lease(slot, now);
    }

    /// Gives up the runs of a worker that does not answer, once their lease is over.
    pub(super) fn expire_lease(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &self.workers[slot];
        if worker.is_confirmed || now < worker.lease_expires {
            return;
        }
        if !worker.runs.is_empty() {
            emit!(
                target: LOG_TARGET,
                JobsEvent::LeaseOver,
                worker = worker.entry.id,
                runs = worker.runs.len()
            );
            self.release_all_runs(slot, now);
        }
        let worker = &self.workers[slot];
        if !worker.is_listed && worker.failed_polls >= FAILED_POLLS_MAX {
            self.retire_worker(slot, now);
        }
    }
}

/// Time between an answer with ends and the next look, while ends of some workers are not stored.
///
/// Answers the load pattern of ends that come faster than they are stored: looks in vain at many
/// workers must not take the time in which the ends would be stored.
fn ends_gap(workers_with_unstored_ends: usize) -> Duration {
    let spread = Duration::from_secs_f64(workers_with_unstored_ends as f64 / REPEATED_POLLS_PER_S);
    ENDS_GAP.max(spread)
}
