//! Resources that runs of previous owners may take on workers whose runs are not known yet.
//!
//! A new owner knows the usage of a team only once the workers have listed their runs. Until then,
//! each task that a previous owner may have started counts against its team's quota, but no more
//! than the workers in question have room for. That holds for the tasks of ended jobs, too: their
//! runs end only as stop commands reach the workers, or as their leases run out.

use std::collections::HashMap;

use cassiafold_config::{ServiceId, TeamId};
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::job::{Job, Task};
use crate::record::JobState;
use crate::spec::{JobId, Resources, StepNumber, StepSpec, TaskId};

/// Room that no worker exceeds.
const UNLIMITED: Resources =
    Resources { processors_milli: u32::MAX, memory_bytes: u64::MAX, accelerators: u32::MAX };

/// Resources that unknown runs of previous owners may take, by team.
#[derive(Debug, Default)]
pub(super) struct InheritedUsage {
    teams: HashMap<TeamId, Resources>,
    /// Whether it was computed in this term, and since jobs of previous owners were last added.
    is_known: bool,
    /// Tasks of ended jobs of which runs may be unknown.
    ended_jobs: HashMap<JobId, EndedJob>,
}

/// An ended job of which runs may be unknown.
#[derive(Debug)]
struct EndedJob {
    service: ServiceId,
    team: TeamId,
    steps: Vec<EndedStep>,
}

/// Tasks of one step of an ended job of which runs may be unknown.
#[derive(Debug)]
struct EndedStep {
    task_resources: Resources,
    opportunistic: bool,
    tasks: u32,
}

/// Resources of tasks that may be running.
#[derive(Debug, Clone, Copy, Default)]
struct PossibleUsage {
    /// Those that reserve what they take.
    reserving: Resources,
    /// Those that run on what others leave, which no room limits.
    opportunistic: Resources,
}

impl InheritedUsage {
    /// Returns what the unknown runs of a team may take.
    pub(super) fn of(&self, team: &TeamId) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }
}

impl Scheduler {
    /// Computes the resources that unknown runs may take, before the first tasks of a term start.
    pub(super) fn ensure_inherited_usage(&mut self, now: Moment) {
        if !self.inherited_usage.is_known {
            self.update_inherited_usage(now);
        }
    }

    /// Updates the resources that unknown runs may take, after workers have listed their runs.
    pub(super) fn update_inherited_usage(&mut self, now: Moment) {
        let room = self.unknown_room(now);
        let may_be_unlisted = now < self.inherited_runs_expire;
        let usage = &mut self.inherited_usage;
        usage.is_known = true;
        usage.teams.clear();
        usage.ended_jobs.retain(|_, job| may_be_unlisted || room.contains_key(&job.service));
        if room.is_empty() {
            return;
        }
        let mut usage: HashMap<(&ServiceId, &TeamId), PossibleUsage> = HashMap::new();
        for job in self.jobs.values().filter(|job| may_have_unknown_runs(job)) {
            let service = &job.record.service;
            if let (Some(team), true) = (&job.record.team, room.contains_key(service)) {
                usage.entry((service, team)).or_default().add_waiting_tasks(job);
            }
        }
        for job in self.inherited_usage.ended_jobs.values() {
            if room.contains_key(&job.service) {
                usage.entry((&job.service, &job.team)).or_default().add_ended_job(job);
            }
        }
        let mut teams: HashMap<TeamId, Resources> = HashMap::new();
        for ((service, team), possible) in usage {
            let sum = teams.entry(team.clone()).or_default();
            let limit = room.get(service).copied().unwrap_or(UNLIMITED);
            *sum = sum.plus(&possible.reserving.min(&limit)).plus(&possible.opportunistic);
        }
        self.inherited_usage.teams = teams;
    }

    /// Notes that a job which previous owners may have started is known from now on.
    pub(super) fn note_inherited_job(&mut self) {
        self.inherited_usage.is_known = false;
    }

    /// Keeps what unknown runs of a job may take that ends now, or that had ended before this term.
    pub(super) fn keep_inherited_usage(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.has_no_prior_runs) else { return };
        let Some(team) = job.record.team.clone() else { return };
        if self.are_inherited_runs_known(&job.record.service, now)
            && now >= self.inherited_runs_expire
        {
            return;
        }
        let service = job.record.service.clone();
        let steps = (0..).zip(&job.record.spec.steps).map(|(step, spec)| EndedStep {
            task_resources: spec.task_resources,
            opportunistic: spec.opportunistic,
            tasks: tasks_with_unknown_runs(job, step, spec),
        });
        let ended = EndedJob { service, team, steps: steps.collect() };
        if ended.steps.iter().any(|step| step.tasks > 0) {
            self.inherited_usage.ended_jobs.insert(id, ended);
            self.note_inherited_job();
        }
    }

    /// Notes that a worker has reported a run of a task, or its end, that this owner did not start.
    pub(super) fn settle_inherited_run(&mut self, task: TaskId) {
        let Some(job) = self.inherited_usage.ended_jobs.get_mut(&task.step.job) else { return };
        if let Some(step) = job.steps.get_mut(usize::from(task.step.step)) {
            step.tasks = step.tasks.saturating_sub(1);
        }
    }

    /// Returns the room of the workers with unknown runs, by service.
    fn unknown_room(&self, now: Moment) -> HashMap<ServiceId, Resources> {
        let services = self.slots_by_service.keys().chain(self.waiting_steps.services());
        let unknown = services.filter(|service| !self.are_inherited_runs_known(service, now));
        unknown.map(|service| (service.clone(), self.unknown_room_of(service, now))).collect()
    }

    fn unknown_room_of(&self, service: &str, now: Moment) -> Resources {
        if self.term.has_unreadable_workers {
            return UNLIMITED;
        }
        let workers = self.service_slots(service).iter().map(|slot| &self.workers[*slot]);
        let unknown = workers.filter(|worker| !worker.are_earlier_runs_known(now));
        let room = unknown.map(|worker| worker.known_capacity().unwrap_or(UNLIMITED));
        room.fold(Resources::default(), |sum, room| sum.plus(&room))
    }
}

fn may_have_unknown_runs(job: &Job) -> bool {
    job.is_live() && !job.has_no_prior_runs
}

/// Returns of how many tasks of a step of an ended job runs may be unknown.
///
/// Of a job that this owner has not held before it ended, any task may have one; if it is completed,
/// only one that may run twice.
fn tasks_with_unknown_runs(job: &Job, step: StepNumber, spec: &StepSpec) -> u32 {
    if job.state == JobState::Completed && !spec.speculative {
        return 0;
    }
    if job.occurrences.is_empty() {
        return spec.tasks;
    }
    let steps = job.occurrences.values().filter_map(|one| one.steps.get(usize::from(step)));
    let tasks = steps.flat_map(|step| &step.tasks);
    let unknown = tasks.filter(|task| may_have_unknown_run(task, spec)).count();
    u32::try_from(unknown).unwrap_or(u32::MAX)
}

/// Whether a run of a task may be unknown, if its job has prior runs. A task that is done may have
/// another run if it is speculative.
fn may_have_unknown_run(task: &Task, spec: &StepSpec) -> bool {
    task.active_runs.is_empty() && (!task.is_done || spec.speculative)
}

impl PossibleUsage {
    /// Adds the tasks of an ended job of which runs may be unknown.
    fn add_ended_job(&mut self, job: &EndedJob) {
        for step in &job.steps {
            let sum = self.of_kind(step.opportunistic);
            *sum = sum.plus(&step.task_resources.times(step.tasks));
        }
    }

    fn of_kind(&mut self, opportunistic: bool) -> &mut Resources {
        if opportunistic { &mut self.opportunistic } else { &mut self.reserving }
    }

    /// Adds the tasks of a job of which runs may be unknown.
    fn add_waiting_tasks(&mut self, job: &Job) {
        for occurrence in job.occurrences.values() {
            for (step, spec) in occurrence.steps.iter().zip(&job.record.spec.steps) {
                let unknown = step.tasks.iter().filter(|task| may_have_unknown_run(task, spec));
                let tasks = u32::try_from(unknown.count()).unwrap_or(u32::MAX);
                let sum = self.of_kind(spec.opportunistic);
                *sum = sum.plus(&spec.task_resources.times(tasks));
            }
        }
    }
}
