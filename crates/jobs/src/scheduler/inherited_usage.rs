//! Resources that runs of previous owners may take on workers whose runs are not known yet.
//!
//! A new owner knows the usage of a team only once the workers have listed their runs. Until then,
//! each task that a previous owner may have started counts against its team's quota, but no more
//! than the workers in question have room for.

use std::collections::HashMap;

use cassiafold_config::{ServiceId, TeamId};
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::job::Job;
use crate::spec::Resources;

/// Room that no worker exceeds.
const UNLIMITED: Resources =
    Resources { processors_milli: u32::MAX, memory_bytes: u64::MAX, accelerators: u32::MAX };

/// Resources that unknown runs of previous owners may take, by team.
#[derive(Debug, Default)]
pub(super) struct InheritedUsage {
    teams: HashMap<TeamId, Resources>,
    /// Whether it was computed in this term.
    is_known: bool,
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
        if room.is_empty() {
            self.inherited_usage = InheritedUsage { is_known: true, ..InheritedUsage::default() };
            return;
        }
        let mut usage: HashMap<(&ServiceId, &TeamId), PossibleUsage> = HashMap::new();
        for job in self.jobs.values().filter(|job| may_have_unknown_runs(job)) {
            let service = &job.record.service;
            if let (Some(team), true) = (&job.record.team, room.contains_key(service)) {
                usage.entry((service, team)).or_default().add_waiting_tasks(job);
            }
        }
        let mut teams: HashMap<TeamId, Resources> = HashMap::new();
        for ((service, team), possible) in usage {
            let sum = teams.entry(team.clone()).or_default();
            let limit = room.get(service).copied().unwrap_or(UNLIMITED);
            *sum = sum.plus(&possible.reserving.min(&limit)).plus(&possible.opportunistic);
        }
        self.inherited_usage = InheritedUsage { teams, is_known: true };
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

impl PossibleUsage {
    /// Adds the tasks of a job that are not done and of which no run is known.
    fn add_waiting_tasks(&mut self, job: &Job) {
        for occurrence in job.occurrences.values() {
            for (step, spec) in occurrence.steps.iter().zip(&job.record.spec.steps) {
                let sum = match spec.opportunistic {
                    true => &mut self.opportunistic,
                    false => &mut self.reserving,
                };
                for _ in step.tasks.iter().filter(|task| task.is_waiting()) {
                    *sum = sum.plus(&spec.task_resources);
                }
            }
        }
    }
}
