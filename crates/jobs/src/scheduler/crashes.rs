//! Crashes of workers: which tasks they count against, and which tasks are given up.

use std::cmp::Reverse;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::{Scheduler, WriteUrgency};
use crate::crash::{
    ContactLoss, Crash, CrashHistory, Suspicion, Verdict, clears_earlier_crashes, judge,
};
use crate::event::JobsEvent;
use crate::incarnation::IncarnationEnd;
use crate::job::{Job, WorkerSlot};
use crate::record::JobState;
use crate::spec::{JobId, RunNumber, StepId, StepSpec, TaskId, TaskNumber};
use crate::worker::Run;

/// Maximum number of log lines about the runs of an incarnation that has ended.
const LOST_RUNS_LOGGED_MAX: usize = 24;

/// Number of crashes of workers with runs and of tasks given up, since they were last counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashCounts {
    /// Crashes of workers with runs.
    pub workers_crashed: u64,
    /// Tasks that were given up.
    pub tasks_given_up: u64,
}

/// A run that ended with its worker.
struct LostRun {
    task: TaskId,
    run: RunNumber,
    since: Moment,
    /// What the end says about the task; `None` if the worker did not crash.
    crash: Option<Crash>,
}

impl Scheduler {
    /// Judges the tasks that ran on an incarnation which has ended.
    ///
    /// Of a worker that has restarted under its id, runs that may have reached the new incarnation
    /// are judged once a poll shows that they have not.
    pub(super) fn judge_lost_runs(&mut self, slot: WorkerSlot, end: IncarnationEnd, now: Moment) {
        let loss = self.contact_loss(slot, now);
        let others_lost = if end.is_crash() { self.others_lost(slot, &loss) } else { Vec::new() };
        let worker = &self.workers[slot];
        let lost = worker.runs.iter().map(|(task, run)| LostRun {
            task: *task,
            run: run.number,
            since: run.since,
            crash: (end.is_crash() && run.is_sent() && !run.has_ended)
                .then(|| self.crash_under(slot, *task, run, &loss, &others_lost)),
        });
        let mut lost: Vec<LostRun> = lost.collect();
        // A task that crashes its worker mostly does so soon after its start.
        lost.sort_by_key(|lost| (Reverse(lost.since), lost.task));
        if lost.iter().any(|lost| lost.crash.is_some()) {
            self.crash_counts.workers_crashed += 1;
        }
        let last_poll_sent = worker.poll_sent;
        for (position, lost) in lost.into_iter().enumerate() {
            if end == IncarnationEnd::Restarted && lost.since > last_poll_sent {
                if let Some(run) = self.workers[slot].runs.get_mut(&lost.task) {
                    run.possible_crash = lost.crash;
                }
                continue;
            }
            if end != IncarnationEnd::LeaseExpired {
                self.settle_run(lost.task, lost.run);
            }
            let verdict = lost.crash.map(|crash| self.apply_crash(&lost, &crash, slot, now));
            if position < LOST_RUNS_LOGGED_MAX {
                self.log_lost_run(slot, &lost, end, verdict, now);
            }
        }
    }

    /// Judges a task whose run has not reached the incarnation that followed a crash.
    pub(super) fn judge_missing_run(&mut self, slot: WorkerSlot, task: TaskId, now: Moment) {
        let Some(run) = self.workers[slot].runs.get(&task) else { return };
        let lost = LostRun { task, run: run.number, since: run.since, crash: run.possible_crash };
        self.settle_run(task, lost.run);
        let Some(crash) = lost.crash else { return };
        let verdict = self.apply_crash(&lost, &crash, slot, now);
        self.log_lost_run(slot, &lost, IncarnationEnd::Restarted, Some(verdict), now);
    }

    /// Returns the crash of a worker as evidence about one task that ran there.
    fn crash_under(
        &self,
        slot: WorkerSlot,
        task: TaskId,
        run: &Run,
        loss: &ContactLoss,
        others_lost: &[ContactLoss],
    ) -> Crash {
        let is_soon = run.is_in_start_window(loss.crashed_from);
        let runs = self.workers[slot].unended_runs();
        let mut others = runs.filter(|(other, _)| other.step.job != task.step.job);
        Crash {
            is_soon,
            is_unlikely: !is_soon && self.has_likelier_cause(slot, run, loss),
            was_alone: others.all(|(_, other)| match is_soon {
                true => !other.is_in_start_window(loss.crashed_from),
                false => other.is_past_probation(loss.at) && !run.is_past_probation(loss.at),
            }),
            is_closed: loss.is_closed,
            others_lost: others_lost.len(),
            others_lost_without_start: others_lost.iter().filter(|one| !one.had_start).count(),
        }
    }

    /// Returns whether a run that has left its start window is less likely to have crashed its
    /// worker than another one.
    fn has_likelier_cause(&self, slot: WorkerSlot, run: &Run, loss: &ContactLoss) -> bool {
        let mut runs = self.workers[slot].unended_runs();
        runs.any(|(other, other_run)| {
            let is_starting_suspect = other_run.is_in_start_window(loss.crashed_from)
                && self.suspicion(*other) != Suspicion::None;
            is_starting_suspect
                || run.is_past_probation(loss.at) && !other_run.is_past_probation(loss.at)
        })
    }

    /// Counts a crash against a task, and gives the task up if it is to blame.
    fn apply_crash(
        &mut self,
        lost: &LostRun,
        crash: &Crash,
        slot: WorkerSlot,
        now: Moment,
    ) -> Verdict {
        let id = self.counted_task(lost.task);
        let Some(job) = self.jobs.get_mut(&id.step.job).filter(|job| job.is_live()) else {
            return Verdict::Counted;
        };
        let is_long_running = job.spec(id.step.step).is_some_and(|spec| spec.long_running);
        let Some(task) = job.task_mut(id).filter(|task| !task.is_done) else {
            return Verdict::Counted;
        };
        if clears_earlier_crashes(is_long_running, now.saturating_sub(lost.since)) {
            task.crashes = CrashHistory::default();
        }
        // The members of a gang share a run.
        if task.crashes.contains(lost.run) {
            return Verdict::Counted;
        }
        let verdict = judge(&task.crashes, crash);
        if matches!(verdict, Verdict::Widespread | Verdict::Unlikely) {
            return verdict;
        }
        task.crashes.record(lost.run, crash);
        if task.crashes.suspicion() != Suspicion::None {
            self.suspects.insert(id);
        }
        job.record_crash(id, now);
        self.mark_unwritten(id.step.job);
        self.raise_write_urgency(WriteUrgency::High);
        if verdict == Verdict::GivenUp {
            self.give_up(id, slot, now);
        }
        verdict
    }

    fn give_up(&mut self, id: TaskId, slot: WorkerSlot, now: Moment) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let Some(task) = job.task(id) else { return };
        let worker = &self.workers[slot];
        emit!(
            JobsEvent::TaskGivenUp,
            task = id,
            queue = job.record.queue,
            team = job.record.team.as_deref().unwrap_or("-"),
            crashes = task.crashes.count(),
            runs_soon = format_args!("{:?}", task.crashes.soon),
            runs_late = format_args!("{:?}", task.crashes.late),
            runs_presumed = format_args!("{:?}", task.crashes.presumed),
            worker = worker.entry.id,
            incarnation = worker.incarnation
        );
        self.crash_counts.tasks_given_up += 1;
        self.finish_job(id.step.job, JobState::Failed, now);
    }

    fn log_lost_run(
        &self,
        slot: WorkerSlot,
        lost: &LostRun,
        end: IncarnationEnd,
        verdict: Option<Verdict>,
        now: Moment,
    ) {
        let worker = &self.workers[slot];
        let crash = lost.crash.unwrap_or_default();
        let verdict = verdict.map_or_else(|| "-".to_string(), |verdict| verdict.to_string());
        emit!(
            JobsEvent::RunLost,
            task = lost.task,
            run = lost.run,
            worker = worker.entry.id,
            incarnation = worker.incarnation,
            reason = end,
            ran_ms = now.saturating_sub(lost.since).as_millis(),
            soon = crash.is_soon,
            alone = crash.was_alone,
            closed = crash.is_closed,
            others_lost = crash.others_lost,
            crashes = self.crashes(lost.task),
            verdict = verdict
        );
    }

    /// Returns the task on which the crashes under a task are counted: the first member of a gang.
    pub(super) fn counted_task(&self, id: TaskId) -> TaskId {
        let is_gang = self.spec(id.step).is_some_and(|spec: &StepSpec| spec.gang);
        if is_gang { TaskId { index: 0, ..id } } else { id }
    }

    fn crashes(&self, id: TaskId) -> usize {
        let counted = self.counted_task(id);
        let job = self.jobs.get(&id.step.job);
        job.and_then(|job| job.task(counted)).map_or(0, |task| task.crashes.count())
    }

    /// Returns how far a task is suspected to crash its workers.
    pub(super) fn suspicion(&self, id: TaskId) -> Suspicion {
        if !self.has_suspects(id.step) {
            return Suspicion::None;
        }
        let counted = self.counted_task(id);
        let job = self.jobs.get(&id.step.job);
        job.and_then(|job| job.task(counted))
            .map_or(Suspicion::None, |task| task.crashes.suspicion())
    }

    /// Returns whether a task of a step is suspected to crash its workers.
    pub(super) fn has_suspects(&self, step: StepId) -> bool {
        self.suspects_of(step).next().is_some()
    }

    /// Returns the tasks of a step that are suspected to crash their workers, in order; of a gang the
    /// first member.
    pub(super) fn suspects_of(&self, step: StepId) -> impl Iterator<Item = &TaskId> {
        let first = TaskId { step, index: 0 };
        let last = TaskId { step, index: TaskNumber::MAX };
        self.suspects.range(first..=last)
    }

    /// Returns the job of a task, if the task is suspected to crash its workers.
    pub(super) fn suspect_job(&self, id: TaskId) -> Option<JobId> {
        (self.suspicion(id) != Suspicion::None).then_some(id.step.job)
    }

    /// Adds the tasks of a job that earlier owners suspected.
    pub(super) fn restore_suspects(&mut self, job: &Job) {
        self.suspects.extend(job.suspected_tasks());
    }

    /// Removes the tasks that have ended from the suspects.
    pub(super) fn forget_ended_suspects(&mut self) {
        let jobs = &self.jobs;
        self.suspects.retain(|id| {
            let job = jobs.get(&id.step.job).filter(|job| job.is_live());
            job.and_then(|job| job.task(*id)).is_some_and(|task| !task.is_done)
        });
    }

    /// Returns the crashes and the tasks given up since the last call.
    pub fn take_crash_counts(&mut self) -> CrashCounts {
        std::mem::take(&mut self.crash_counts)
    }
}
