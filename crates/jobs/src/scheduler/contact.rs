//! Lost contact with workers: what the list of machines says of them, and runs whose outcome is not
//! known for that reason.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::{Scheduler, WriteUrgency};
use crate::cluster::MachineState;
use crate::crash::{ContactLoss, Suspicion};
use crate::event::JobsEvent;
use crate::incarnation::IncarnationEnd;
use crate::job::WorkerSlot;
use crate::spec::{RunNumber, TaskId};

/// Failed polls from which on a worker counts as lost: a single one may be lost on its way.
const LOST_FROM_POLLS: u32 = 2;
/// Minimum time between two lists of machines that lost workers cause.
const LOSSES_LIST_INTERVAL: Duration = Duration::from_millis(150);

impl Scheduler {
    /// Notes that a poll of a worker failed.
    pub(super) fn record_contact_loss(&mut self, slot: WorkerSlot, is_closed: bool, now: Moment) {
        if self.workers[slot].contact_loss.is_none() {
            self.workers[slot].contact_loss = Some(self.new_contact_loss(slot, is_closed, now));
        }
        let worker = &mut self.workers[slot];
        if let Some(loss) = &mut worker.contact_loss {
            loss.is_closed |= is_closed;
        }
        let is_wanted = worker.is_leaving || worker.entry.is_draining;
        if is_closed && !worker.runs.is_empty() && !is_wanted {
            self.has_unlisted_losses = true;
            self.mark_unsettled(slot);
        }
    }

    fn new_contact_loss(&self, slot: WorkerSlot, is_closed: bool, now: Moment) -> ContactLoss {
        let worker = &self.workers[slot];
        let last_response = worker.last_answered.unwrap_or(Moment::ZERO);
        let crashed_from = if is_closed { now } else { last_response };
        ContactLoss {
            at: now,
            crashed_from,
            is_closed,
            had_likely_cause: self.has_likely_cause(slot, crashed_from),
            had_start: worker.unended_runs().any(|(_, run)| run.is_in_start_window(crashed_from)),
        }
    }

    /// Stores which runs were in their start window when their worker was lost: the owner may end
    /// before the worker is seen to have crashed.
    fn mark_unsettled(&mut self, slot: WorkerSlot) {
        let worker = &self.workers[slot];
        let Some(loss) = worker.contact_loss else { return };
        let runs =
            worker.unended_runs().filter(|(_, run)| run.is_in_start_window(loss.crashed_from));
        let runs: Vec<(TaskId, RunNumber)> = runs.map(|(task, run)| (*task, run.number)).collect();
        for (task, run) in runs {
            let id = self.counted_task(task);
            let job = self.jobs.get_mut(&id.step.job).filter(|job| job.is_live());
            let Some(task) = job.and_then(|job| job.task_mut(id)) else { continue };
            if task.unsettled_run.replace(run) != Some(run) {
                self.mark_unwritten(id.step.job);
                self.raise_write_urgency(WriteUrgency::High);
            }
        }
    }

    /// Notes that a run was seen after its worker was lost, or how its worker ended.
    pub(super) fn settle_run(&mut self, task: TaskId, run: RunNumber) {
        let id = self.counted_task(task);
        let job = self.jobs.get_mut(&id.step.job);
        let Some(task) = job.and_then(|job| job.task_mut(id)) else { return };
        if task.unsettled_run == Some(run) {
            task.unsettled_run = None;
            self.mark_unwritten(id.step.job);
        }
    }

    /// Notes that the runs on a worker ended by their lease, if its machine is listed as up.
    pub(super) fn settle_runs_of_cut_off_worker(&mut self, slot: WorkerSlot) {
        let worker = &self.workers[slot];
        if !self.machines.has_running_worker(&worker.entry.id) {
            return;
        }
        let runs = worker.runs.iter();
        let runs: Vec<(TaskId, RunNumber)> = runs.map(|(task, run)| (*task, run.number)).collect();
        for (task, run) in runs {
            self.settle_run(task, run);
        }
    }

    /// Counts a run that was never settled as a crash, before its task starts again.
    pub(super) fn presume_crash(&mut self, task: TaskId, now: Moment) {
        let id = self.counted_task(task);
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        let Some(run) = task.unsettled_run.take() else { return };
        if task.crashes.contains(run) {
            return;
        }
        task.crashes.presumed.push(run);
        let crashes = task.crashes.count();
        job.record_crash(id, now);
        self.suspects.insert(id);
        self.mark_unwritten(id.step.job);
        emit!(JobsEvent::CrashPresumed, task = id, run = run, crashes = crashes);
    }

    /// Requests a list of machines if workers with runs closed their connections since the last one:
    /// it tells whether they have crashed, so that their tasks can start elsewhere.
    pub(super) fn request_list_of_lost_machines(&mut self, now: Moment) {
        let is_due = self.machines_listed_at.is_none_or(|at| now >= at + LOSSES_LIST_INTERVAL);
        if self.has_unlisted_losses && is_due {
            self.has_unlisted_losses = false;
            self.is_machine_list_requested = true;
        }
    }

    /// Returns how contact with a worker was lost. One that restarted between two polls has closed
    /// its connections.
    pub(super) fn contact_loss(&self, slot: WorkerSlot, now: Moment) -> ContactLoss {
        let unnoticed = ContactLoss {
            at: now,
            crashed_from: now,
            is_closed: true,
            had_likely_cause: false,
            had_start: false,
        };
        self.workers[slot].contact_loss.unwrap_or(unnoticed)
    }

    /// Returns the other workers that were lost at the same time though nobody wanted them to end
    /// and no suspected task may have crashed them.
    pub(super) fn others_lost(&self, slot: WorkerSlot, loss: &ContactLoss) -> Vec<ContactLoss> {
        let others = self.workers.iter().enumerate().filter(|(other, worker)| {
            let is_wanted = worker.is_leaving || worker.entry.is_draining;
            let is_lost = worker.is_gone || worker.failed_polls >= LOST_FROM_POLLS;
            *other != slot && is_lost && !is_wanted
        });
        let losses = others.filter_map(|(_, worker)| worker.contact_loss);
        losses.filter(|other| !other.had_likely_cause && loss.is_simultaneous(other)).collect()
    }

    /// Returns whether a suspected task may be about to crash a worker.
    fn has_likely_cause(&self, slot: WorkerSlot, crashed_from: Moment) -> bool {
        let mut runs = self.workers[slot].unended_runs();
        runs.any(|(task, run)| match self.suspicion(*task) {
            Suspicion::None => false,
            Suspicion::Suspected | Suspicion::Apart => run.is_in_start_window(crashed_from),
            Suspicion::Alone => !run.is_past_probation(crashed_from),
        })
    }

    /// Retires unresponsive workers whose machines are down or run another worker, according to a
    /// list that was requested after they stopped responding.
    pub(super) fn retire_workers_on_down_machines(&mut self, sent: Moment, now: Moment) {
        for slot in 0..self.workers.len() {
            let worker = &self.workers[slot];
            let is_unresponsive = worker.unresponsive_since.is_some_and(|since| since < sent);
            if worker.is_gone || !is_unresponsive {
                continue;
            }
            if !self.machines.may_run_worker(&worker.entry.id) {
                let end = self.machine_end(slot, now);
                self.retire_worker(slot, end, now);
            }
        }
    }

    /// Returns what the list of machines says about the end of a worker that is on no machine that
    /// is up.
    fn machine_end(&self, slot: WorkerSlot, now: Moment) -> IncarnationEnd {
        // A worker that started after the previous list is not known to have had a machine.
        let Some(id) = &self.workers[slot].machine else { return IncarnationEnd::MachineDown };
        let Some(machine) = self.machines.get(id) else { return IncarnationEnd::MachineUnlisted };
        match machine.state {
            MachineState::Moving | MachineState::Maintenance => IncarnationEnd::MachineOrdered,
            _ if machine.service != self.workers[slot].entry.service => {
                IncarnationEnd::MachineOrdered
            }
            // Another owner may have had it maintained.
            MachineState::Up if self.machine_leases.is_leased_to_other(id, now) => {
                IncarnationEnd::MachineOrdered
            }
            MachineState::Up => IncarnationEnd::MachineRunsOther,
            MachineState::Down | MachineState::Unknown => IncarnationEnd::MachineDown,
        }
    }

    /// Notes on which machine each worker runs.
    pub(super) fn assign_machines(&mut self) {
        let up = self.machines.iter().filter(|machine| machine.state == MachineState::Up);
        for machine in up {
            let slot = machine.worker.as_ref().and_then(|worker| self.current_slots.get(worker));
            if let Some(slot) = slot {
                self.workers[*slot].machine = Some(machine.id.clone());
            }
        }
    }
}
