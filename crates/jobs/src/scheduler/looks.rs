//! What a look at a worker changes.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::{Scheduler, Urgency};
use crate::edges::{EndedRow, Look, LookError, LookRequest, RunEnd, RunningRow};
use crate::event::JobsEvent;
use crate::job::WorkerSlot;
use crate::spec::TaskId;
use crate::worker::{LookPhase, Run, RunKind, RunPhase};

/// How long a worker with work waits for an end before it answers a look.
const WAIT_BUSY: Duration = Duration::from_millis(1_000);
/// How long a worker without work waits before it answers a look.
const WAIT_IDLE: Duration = Duration::from_millis(2_000);
/// Time between an answer without ends and the next look.
const LOOK_GAP: Duration = Duration::from_millis(15);
/// Shortest time between an answer with ends and the next look. Until they are stored and
/// acknowledged, the worker would answer at once and show them again; meanwhile others gather.
const ENDS_GAP: Duration = Duration::from_millis(40);
/// Looks a second, at all workers, that may show ends again that are not stored.
const REPEATED_LOOKS_PER_S: f64 = 1_500.0;
/// Time between a failed look and the next one.
const RETRY_GAP: Duration = Duration::from_millis(200);
/// Failed looks after which a worker that is not listed counts as lost once its lease is over.
const FAILED_LOOKS_MAX: u32 = 2;

impl Scheduler {
    /// The look that is due at a worker. It extends the lease of what runs there.
    pub fn look_request(&mut self, slot: WorkerSlot, is_probe: bool, now: Moment) -> LookRequest {
        let hold = self.settings.hold;
        let token = self.tenure.token;
        let worker = &mut self.workers[slot];
        if !is_probe {
            worker.look = LookPhase::InFlight;
        }
        let lease_until = worker.is_confirmed.then(|| worker.extend_lease(hold, now)).flatten();
        let wait = match (worker.is_confirmed, worker.runs.is_empty()) {
            (false, _) => Duration::ZERO,
            _ if is_probe => Duration::ZERO,
            (true, true) => WAIT_IDLE,
            (true, false) => WAIT_BUSY,
        };
        // Before its life is known again, nothing may be acknowledged to the worker: it may be a
        // new life, whose ends have the same numbers.
        let acknowledged = if worker.is_confirmed { worker.ends_stored } else { 0 };
        LookRequest { token, acknowledged, lease_until, wait }
    }

    /// Takes in what a look showed, that was sent at `sent` and answered at `now`.
    ///
    /// A look that was sent before one that has been taken in shows ends alone: what it says of
    /// runs may be older.
    pub fn note_look(
        &mut self,
        slot: WorkerSlot,
        is_probe: bool,
        sent: Moment,
        now: Moment,
        look: Look,
    ) {
        let worker = &mut self.workers[slot];
        if worker.is_gone {
            return;
        }
        let (known, seen) = (worker.entry.born_unix, look.born_unix);
        if known.is_some() && seen.is_some() && known != seen {
            self.begin_life(slot, seen, now);
        }
        let ends_gap = ends_gap(self.workers_unstored);
        let worker = &mut self.workers[slot];
        worker.entry.born_unix = worker.entry.born_unix.or(seen);
        worker.note_clock(look.clock, now);
        let first = !worker.is_confirmed;
        worker.is_confirmed = true;
        worker.silent_since = None;
        worker.was_confirmed = true;
        worker.failed_looks = 0;
        // A worker that was lost from sight may hold runs whose lease is about to end.
        let next = match (first, look.ended.is_empty()) {
            (true, _) => now,
            (false, true) => now + LOOK_GAP,
            (false, false) => now + ends_gap,
        };
        if !is_probe {
            worker.look = LookPhase::DueAt(next);
            self.looks_due.push(Reverse((next, slot)));
        }
        let is_latest = sent >= worker.look_sent;
        worker.look_sent = worker.look_sent.max(sent);
        if first {
            self.mark_changed(slot);
        }
        let mut shown: HashSet<TaskId> = HashSet::with_capacity(look.running.len());
        for row in look.ended {
            self.note_end(slot, row, now);
        }
        if !is_latest {
            return;
        }
        for row in look.running {
            shown.insert(row.task);
            self.note_running(slot, row, now);
        }
        self.drop_vanished(slot, &shown, sent, now);
        self.stop_unbegun(slot, &shown, sent, now);
    }

    /// Has a worker looked at, all of whose ends have come into the store: until then it showed
    /// them again.
    pub(super) fn acknowledge_soon(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot];
        let due = now.max(worker.answered.unwrap_or(now) + ENDS_GAP);
        if matches!(worker.look, LookPhase::DueAt(at) if at > due) && worker.is_confirmed {
            worker.look = LookPhase::DueAt(due);
            self.looks_due.push(Reverse((due, slot)));
        }
    }

    /// Whether a look shows ends, but none that has not been taken in.
    pub fn is_repeated(&self, slot: WorkerSlot, look: &Look) -> bool {
        let seen = self.workers[slot].ends_seen;
        !look.ended.is_empty() && look.ended.iter().all(|row| row.number <= seen)
    }

    fn note_end(&mut self, slot: WorkerSlot, row: EndedRow, now: Moment) {
        let worker = &mut self.workers[slot];
        if row.number <= worker.ends_seen {
            return;
        }
        worker.ends_seen = row.number;
        self.ends_taken += 1;
        self.workers_unstored += usize::from(worker.ends_open.is_empty());
        worker.ends_open.push_back((row.number, self.ends_taken));
        if row.end == RunEnd::Done {
            self.raise_urgency(Urgency::Ends);
        }
        self.ensure_begun(row.task.step, now);
        self.run_ended(slot, &row, now);
    }

    fn note_running(&mut self, slot: WorkerSlot, row: RunningRow, now: Moment) {
        let token = self.tenure.token;
        let worker = &mut self.workers[slot];
        if let Some(run) = worker.runs.get_mut(&row.task)
            && run.number == row.run
        {
            if run.phase == RunPhase::Ordered {
                run.phase = RunPhase::Running;
            }
            run.confirmed = run.confirmed.or(Some(now));
            if run.percent != row.percent {
                run.percent = row.percent;
                run.progressed = now;
            }
            run.reading = row.reading;
            self.note_started(slot, row.task, now);
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
    fn adopt(&mut self, slot: WorkerSlot, row: RunningRow, token: u64, now: Moment) {
        let id = row.task;
        self.ensure_begun(id.step, now);
        let job = self.jobs.get_mut(&id.step.job);
        let spec = job.as_ref().and_then(|job| job.spec(id.step.step)).cloned();
        let is_live = job.as_ref().is_some_and(|job| job.is_live());
        let speculative = spec.as_ref().is_some_and(|spec| spec.speculative);
        let (counted, reserved) =
            spec.as_ref().map(|spec| (spec.needs, spec.reserved())).unwrap_or_default();
        let kind = spec.as_ref().map(RunKind::from).unwrap_or_default();
        let mut is_wanted = false;
        if let Some(job) = job {
            job.has_started = true;
            if let Some(task) = job.task_mut(id) {
                task.last_run = task.last_run.max(row.run);
                is_wanted = is_live && !task.is_done && (speculative || task.copies.is_empty());
                task.copies.push(slot);
            }
        }
        let run = Run {
            number: row.run,
            phase: RunPhase::Running,
            since: now,
            unanswered: None,
            is_adopted: true,
            confirmed: Some(now),
            kind,
            reserved,
            counted,
            percent: row.percent,
            progressed: now,
            reading: row.reading,
            pace_percent: 100,
        };
        self.count_use(id.step.job, &run.counted, true);
        let worker = &mut self.workers[slot];
        worker.add(id, run);
        emit!(
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
                    RunPhase::Ordered => None,
                    RunPhase::Running => run.confirmed,
                    RunPhase::Stopping { confirmed, .. } => confirmed,
                };
                !shown.contains(*task) && settled.is_some_and(|at| at < sent)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in vanished {
            emit!(JobsEvent::RunVanished, task = task, worker = self.workers[slot].entry.id);
            self.release(slot, task, now);
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
            run.phase == RunPhase::Ordered
                && run.unanswered.is_some_and(|at| at < sent)
                && !shown.contains(*task)
        });
        let unbegun: Vec<TaskId> = unbegun.map(|(task, _)| *task).collect();
        for task in unbegun {
            self.stop_run(slot, task, now);
        }
    }

    /// Takes in that a look brought nothing.
    pub fn note_look_failed(
        &mut self,
        slot: WorkerSlot,
        is_probe: bool,
        error: &LookError,
        now: Moment,
    ) {
        let worker = &mut self.workers[slot];
        if is_probe {
            // The look that waits tells whether the worker is lost.
            return;
        }
        worker.look = LookPhase::DueAt(now + RETRY_GAP);
        self.looks_due.push(Reverse((now + RETRY_GAP, slot)));
        if worker.is_gone {
            return;
        }
        if worker.is_confirmed {
            emit!(JobsEvent::LookFailed, worker = worker.entry.id, error = error);
        }
        worker.is_confirmed = false;
        worker.silent_since = worker.silent_since.or(Some(now));
        worker.failed_looks += 1;
        if *error == LookError::OtherLife {
            self.lose_worker(slot, now);
            return;
        }
        self.expire(slot, now);
    }

    /// Gives up the runs of a worker that does not answer, once their lease is over.
    pub(super) fn expire(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &self.workers[slot];
        if worker.is_confirmed || now < worker.expires {
            return;
        }
        if !worker.runs.is_empty() {
            emit!(JobsEvent::LeaseOver, worker = worker.entry.id, runs = worker.runs.len());
            self.lose_runs(slot, now);
        }
        let worker = &self.workers[slot];
        if !worker.is_listed && worker.failed_looks >= FAILED_LOOKS_MAX {
            self.lose_worker(slot, now);
        }
    }
}

/// Time between an answer with ends and the next look, while ends of some workers are not stored.
///
/// Answers the load pattern of ends that come faster than they are stored: looks in vain at many
/// workers must not take the time in which the ends would be stored.
fn ends_gap(workers_unstored: usize) -> Duration {
    let spread = Duration::from_secs_f64(workers_unstored as f64 / REPEATED_LOOKS_PER_S);
    ENDS_GAP.max(spread)
}
