//! Outcomes of polls of workers and the changes that they cause.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::poll_requests::ENDS_POLL_INTERVAL_MIN;
use super::{Scheduler, WriteUrgency};
use crate::clients::{EndedRun, Listing, PollError, PollResponse, RunEnd, RunningRun};
use crate::event::JobsEvent;
use crate::incarnation::IncarnationEnd;
use crate::job::WorkerSlot;
use crate::spec::TaskId;
use crate::worker::{PollPhase, ReportedIncarnation, RunPhase};

/// Delay between a response without run ends and the next poll.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Maximum number of polls per second, over all workers, that may report unstored run ends again.
const REPEATED_POLLS_PER_S: f64 = 1_500.0;
/// Delay between a response about runs of jobs that are not held and the next poll, within which
/// the jobs are read.
const DEFERRED_POLL_DELAY: Duration = Duration::from_millis(30);
/// Delay between a failed poll and the next one.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Failed polls after which an unlisted worker counts as lost once its lease has expired.
const FAILED_POLLS_MAX: u32 = 2;
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::scheduler::looks";

impl Scheduler {
    /// Handles the response to a poll that was sent at `sent` and received at `now`.
    ///
    /// If a later poll has been handled already, only the run ends are used: the list of running
    /// tasks may be outdated.
    pub fn handle_poll_response(
        &mut self,
        slot: WorkerSlot,
        is_out_of_band: bool,
        sent: Moment,
        now: Moment,
        response: PollResponse,
    ) {
        self.count_poll_outcome(slot, is_out_of_band);
        let worker = &mut self.workers[slot];
        if worker.is_gone {
            return;
        }
        let reported_start = response.started_unix;
        match worker.compare_incarnation(reported_start, sent) {
            ReportedIncarnation::Known => {}
            ReportedIncarnation::Later => self.start_incarnation(slot, reported_start, now),
            ReportedIncarnation::Earlier => {
                self.discard_late_response(slot, is_out_of_band, reported_start, now);
                return;
            }
        }
        let last_end_seen = self.workers[slot].last_end_seen;
        if self.awaits_deferred_jobs(last_end_seen, &response) {
            let due = self.deferred.read_from(now) + DEFERRED_POLL_DELAY;
            self.poll_again(slot, is_out_of_band, due);
            return;
        }
        let ends_poll_interval = ends_poll_interval(self.workers_with_unstored_ends);
        let worker = &mut self.workers[slot];
        worker.entry.started_unix = worker.entry.started_unix.or(reported_start);
        worker.set_clock(response.clock, now);
        // Of a worker that has refused the token, only what it reports is used.
        let is_excluded = worker.has_refused_token;
        let is_first = !worker.is_confirmed && !is_excluded;
        if !is_excluded {
            worker.is_confirmed = true;
            worker.unresponsive_since = None;
            worker.contact_loss = None;
            worker.was_confirmed = true;
            worker.failed_polls = 0;
        }
        // A worker that did not respond may have runs whose lease is about to expire, so it is
        // polled again immediately.
        let next = match (is_first, response.ended.is_empty()) {
            (true, _) => now,
            (false, true) => now + POLL_INTERVAL,
            (false, false) => now + ends_poll_interval,
        };
        if is_excluded {
            worker.poll = PollPhase::DueAt(Moment::MAX);
        } else if !is_out_of_band {
            worker.poll = PollPhase::DueAt(next);
            self.poll_queue.push(Reverse((next, slot)));
        }
        let is_latest = sent >= worker.poll_sent;
        worker.poll_sent = worker.poll_sent.max(sent);
        if is_first {
            self.mark_worker_service_changed(slot);
        }
        if is_latest {
            self.note_listing(slot, &response);
        }
        let mut reported: HashSet<TaskId> = HashSet::with_capacity(response.running.len());
        for ended_run in response.ended {
            self.receive_run_end(slot, ended_run, now);
        }
        if !is_latest {
            return;
        }
        for running_run in response.running {
            reported.insert(running_run.task);
            self.receive_running_run(slot, running_run, now);
        }
        self.learn_interference(slot, now);
        let missing = self.missing_runs(slot, &reported, sent);
        match response.ended_listing {
            Listing::Whole => {
                self.confirm_inherited_runs(slot);
                self.release_missing_runs(slot, missing, now);
                self.stop_unstarted_runs(slot, &reported, sent, now);
            }
            // Later pages tell how the missing runs have ended, and which others have started.
            Listing::FirstPage => self.mark_ended(slot, &missing),
        }
    }

    /// Discards a response that an earlier incarnation gave: its runs have ended, and its run ends
    /// have the numbers of others. Polls the worker again.
    fn discard_late_response(
        &mut self,
        slot: WorkerSlot,
        is_out_of_band: bool,
        reported_start: Option<Duration>,
        now: Moment,
    ) {
        let worker = &self.workers[slot];
        emit!(
            target: LOG_TARGET,
            JobsEvent::ResponseLate,
            worker = worker.entry.id,
            started_ms = reported_start.unwrap_or_default().as_millis(),
            known_ms = worker.entry.started_unix.unwrap_or_default().as_millis()
        );
        self.poll_again(slot, is_out_of_band, now);
    }

    /// Polls a worker again at `due`, since a response of it was not used.
    fn poll_again(&mut self, slot: WorkerSlot, is_out_of_band: bool, due: Moment) {
        if !is_out_of_band {
            self.workers[slot].poll = PollPhase::DueAt(due);
            self.poll_queue.push(Reverse((due, slot)));
        }
    }

    /// Notes whether a worker lists all of its run ends, and logs when that changes.
    fn note_listing(&mut self, slot: WorkerSlot, response: &PollResponse) {
        let worker = &mut self.workers[slot];
        let previous = std::mem::replace(&mut worker.ended_listing, response.ended_listing);
        let event = match (previous, response.ended_listing) {
            (Listing::Whole, Listing::FirstPage) => JobsEvent::EndsPending,
            (Listing::FirstPage, Listing::Whole) => JobsEvent::EndsListed,
            _ => return,
        };
        emit!(
            target: LOG_TARGET,
            event,
            worker = worker.entry.id,
            ends = response.ended.len(),
            last = response.ended.last().map_or(0, |ended_run| ended_run.number),
            running = response.running.len(),
            known = worker.runs.len()
        );
    }

    /// Returns whether a poll response contains run ends, but only ones that were received before.
    pub fn has_only_known_ends(&self, slot: WorkerSlot, response: &PollResponse) -> bool {
        let last_seen = self.workers[slot].last_end_seen;
        !response.ended.is_empty()
            && response.ended.iter().all(|ended_run| ended_run.number <= last_seen)
    }

    /// Counts and handles a run end, unless it was received before.
    fn receive_run_end(&mut self, slot: WorkerSlot, ended_run: EndedRun, now: Moment) {
        let worker = &mut self.workers[slot];
        if ended_run.number <= worker.last_end_seen {
            return;
        }
        worker.last_end_seen = ended_run.number;
        self.run_ends_received += 1;
        self.workers_with_unstored_ends += usize::from(worker.ends_unstored.is_empty());
        worker.ends_unstored.push_back((ended_run.number, self.run_ends_received));
        if ended_run.end == RunEnd::Done {
            self.raise_write_urgency(WriteUrgency::Normal);
        }
        self.ensure_occurrence_started(ended_run.task.step, now);
        self.handle_run_end(slot, &ended_run, now);
    }

    /// Updates a run that a worker reports as running, or adopts it.
    fn receive_running_run(&mut self, slot: WorkerSlot, running_run: RunningRun, now: Moment) {
        let token = self.term.token;
        let worker = &mut self.workers[slot];
        if let Some(run) = worker.runs.get_mut(&running_run.task)
            && run.number == running_run.run
        {
            if matches!(run.phase, RunPhase::Placed | RunPhase::Starting) {
                run.phase = RunPhase::Running;
            }
            run.possible_crash = None;
            run.has_ended = false;
            run.confirmed = run.confirmed.or(Some(now));
            if run.percent != running_run.percent {
                run.percent = running_run.percent;
                run.last_progress = now;
            }
            run.load_metric = running_run.load_metric;
            self.settle_run(running_run.task, running_run.run);
            self.mark_job_started(slot, running_run.task, now);
            self.set_checkpoint(running_run.task, running_run.checkpoint);
            return;
        }
        if worker.runs.contains_key(&running_run.task) {
            // An older run of a task that was started here again: the worker refuses one of them.
            return;
        }
        self.adopt_run(slot, running_run, token, now);
    }

    /// Returns the confirmed runs that are missing from the response to a poll that was sent later.
    fn missing_runs(
        &self,
        slot: WorkerSlot,
        reported: &HashSet<TaskId>,
        sent: Moment,
    ) -> Vec<TaskId> {
        let missing = self.workers[slot].runs.iter().filter(|(task, run)| {
            let confirmed_at = match run.phase {
                RunPhase::Placed | RunPhase::Starting => None,
                RunPhase::Running => run.confirmed,
                RunPhase::Stopping { confirmed } => confirmed,
            };
            !reported.contains(*task) && confirmed_at.is_some_and(|at| at < sent)
        });
        missing.map(|(task, _)| *task).collect()
    }

    /// Marks runs whose ends are yet to be listed. Until then they keep their capacity.
    fn mark_ended(&mut self, slot: WorkerSlot, missing: &[TaskId]) {
        for task in missing {
            if let Some(run) = self.workers[slot].runs.get_mut(task) {
                run.has_ended = true;
            }
        }
    }

    /// Removes runs that are in neither list of a worker.
    fn release_missing_runs(&mut self, slot: WorkerSlot, missing: Vec<TaskId>, now: Moment) {
        for task in missing {
            emit!(
                target: LOG_TARGET,
                JobsEvent::RunVanished,
                task = task,
                worker = self.workers[slot].entry.id
            );
            self.judge_missing_run(slot, task, now);
            self.release_run(slot, task, now);
        }
    }

    /// Stops the runs whose start command got no response and that a later poll does not report:
    /// they might still start.
    fn stop_unstarted_runs(
        &mut self,
        slot: WorkerSlot,
        reported: &HashSet<TaskId>,
        sent: Moment,
        now: Moment,
    ) {
        let runs = self.workers[slot].runs.iter();
        let unstarted = runs.filter(|(task, run)| {
            run.phase == RunPhase::Starting
                && run.start_unanswered_at.is_some_and(|at| at < sent)
                && !reported.contains(*task)
        });
        let unstarted: Vec<TaskId> = unstarted.map(|(task, _)| *task).collect();
        for task in unstarted {
            self.stop_run(slot, task, now);
        }
    }

    /// Handles a failed poll.
    pub fn handle_poll_failure(
        &mut self,
        slot: WorkerSlot,
        is_out_of_band: bool,
        error: &PollError,
        now: Moment,
    ) {
        self.count_poll_outcome(slot, is_out_of_band);
        if is_out_of_band {
            // The pending long poll decides whether the worker is lost.
            return;
        }
        if matches!(error, PollError::NoAnswer(_)) {
            self.record_unanswered(slot, now);
        }
        let worker = &mut self.workers[slot];
        if worker.has_refused_token {
            worker.poll = PollPhase::DueAt(Moment::MAX);
        } else {
            worker.poll = PollPhase::DueAt(now + POLL_RETRY_DELAY);
            self.poll_queue.push(Reverse((now + POLL_RETRY_DELAY, slot)));
        }
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
        self.record_contact_loss(slot, matches!(error, PollError::Closed(_)), now);
        if *error == PollError::OtherLife {
            self.retire_worker(slot, IncarnationEnd::AddressReused, now);
            return;
        }
        self.expire_lease(slot, now);
    }

    /// Sends nothing more to a worker that refused this owner's token. Its runs count until their
    /// lease has expired.
    pub fn handle_token_refusal(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot];
        worker.has_refused_token = true;
        worker.is_confirmed = false;
        worker.poll = PollPhase::DueAt(Moment::MAX);
        worker.failed_polls = worker.failed_polls.max(FAILED_POLLS_MAX);
        worker.unresponsive_since = worker.unresponsive_since.or(Some(now));
        emit!(JobsEvent::TokenRefused, worker = worker.entry.id, token = self.term.token);
        self.mark_worker_service_changed(slot);
    }

    /// Removes the runs of a worker that does not respond once their lease has expired.
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
            self.settle_runs_of_cut_off_worker(slot);
            self.release_all_runs(slot, now);
        }
        let worker = &self.workers[slot];
        if !worker.is_listed && worker.failed_polls >= FAILED_POLLS_MAX {
            self.retire_worker(slot, IncarnationEnd::LeaseExpired, now);
        }
    }
}

/// Returns the delay between a response with run ends and the next poll, given the number of
/// workers whose run ends are not stored.
///
/// It grows when ends arrive faster than they are stored: polls that only report known ends must
/// not take the processor time that storing them needs.
fn ends_poll_interval(workers_with_unstored_ends: usize) -> Duration {
    let min_interval =
        Duration::from_secs_f64(workers_with_unstored_ends as f64 / REPEATED_POLLS_PER_S);
    ENDS_POLL_INTERVAL_MIN.max(min_interval)
}
