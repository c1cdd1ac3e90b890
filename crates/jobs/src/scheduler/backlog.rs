//! Summary of the waiting work, for the log.

use cassiafold_platform::Moment;

use super::Scheduler;

/// Waiting work, and the capacity that is free for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Jobs that have not ended.
    pub jobs_live: usize,
    /// Jobs whose first task waits until the start of the job is stored.
    pub jobs_awaiting_start_write: usize,
    /// Jobs of which no task has started.
    pub jobs_unstarted: usize,
    /// Tasks that may start and for which no start command was issued.
    pub tasks_waiting: usize,
    /// Jobs whose state in the store is outdated.
    pub states_unwritten: usize,
    /// Those of `states_unwritten` whose jobs a previous owner may have started.
    pub states_inherited: usize,
    /// Workers that accept new tasks.
    pub workers_usable: usize,
    /// Free cores of the usable workers.
    pub cores_free: u32,
    /// Machines that get no new tasks, so that they can move to a service that lacks some.
    pub machines_vacated: usize,
    /// Workers that left a command or poll without a response in the last seconds. Polls are hedged
    /// from three on.
    pub workers_unanswered: usize,
    /// Jobs that are accepted and not held.
    pub jobs_deferred: usize,
    /// Memory of the jobs that are held, in bytes.
    pub held_bytes: u64,
}

impl Scheduler {
    /// Returns the current backlog.
    pub fn backlog(&self, now: Moment) -> Backlog {
        let mut backlog = Backlog {
            states_unwritten: self.unwritten_states.len(),
            machines_vacated: self.vacated_machines.len(),
            workers_unanswered: self.unanswered.workers(now),
            jobs_deferred: self.deferred.len(),
            held_bytes: self.held_bytes,
            ..Backlog::default()
        };
        for job in self.jobs.values().filter(|job| job.is_live()) {
            backlog.jobs_live += 1;
            backlog.jobs_awaiting_start_write += usize::from(job.awaits_start_write());
            backlog.jobs_unstarted += usize::from(!job.has_started);
        }
        let inherited = self
            .unwritten_states
            .keys()
            .filter(|id| self.jobs.get(id).is_some_and(|job| !job.has_no_prior_runs));
        backlog.states_inherited = inherited.count();
        for service in self.waiting_steps.services() {
            let steps = self.waiting_steps.of(service);
            backlog.tasks_waiting +=
                steps.map(|id| self.waiting_tasks(id, now).len()).sum::<usize>();
        }
        for worker in self.workers.iter().filter(|worker| worker.is_usable(now)) {
            backlog.workers_usable += 1;
            let cores_free = worker.free_resources().processors_milli / 1_000;
            backlog.cores_free = backlog.cores_free.saturating_add(cores_free);
        }
        backlog
    }
}
