//! Placement of gangs: tasks that run only together.

use std::collections::HashMap;
use std::sync::Arc;

use cassiafold_platform::Moment;

use super::plan::deduct_task;
use super::{Command, Scheduler};
use crate::job::WorkerSlot;
use crate::placement::{Candidate, TaskRequirements};
use crate::spec::{StepId, StepSpec, TaskId};

impl Scheduler {
    /// Starts all members of a gang or none; returns their requirements if the gang did not fit.
    #[expect(clippy::too_many_arguments, reason = "called from one place only")]
    pub(super) fn place_gang(
        &mut self,
        id: StepId,
        spec: &StepSpec,
        requirements: &TaskRequirements,
        candidates: &mut [Candidate],
        tickets: Option<&HashMap<WorkerSlot, Arc<str>>>,
        commands: &mut Vec<Command>,
        now: Moment,
    ) -> Option<TaskRequirements> {
        if !self.is_step_idle(id) || self.waiting_tasks(id, now).len() < spec.tasks as usize {
            return None;
        }
        let total_resources = spec.task_resources.times(spec.tasks);
        if !self.is_amount_within_team_quota(id, &total_resources) {
            return None;
        }
        let first = TaskId { step: id, index: 0 };
        let requirements =
            &TaskRequirements { suspect_of: self.suspect_job(first), ..requirements.clone() };
        let slots = self.choose_gang_workers(id, spec, requirements, candidates, |task, rest| {
            self.choose_worker_for(task, requirements, rest.iter(), tickets)
        });
        let Some(slots) = slots else { return Some(requirements.clone()) };
        if !self.ensure_start_stored(id) {
            return None;
        }
        let members = (0..spec.tasks).map(|index| TaskId { index, ..first });
        let run = members.map(|task| self.next_run_number(task)).max().unwrap_or(1);
        for (index, slot) in (0..).zip(slots) {
            let ticket = tickets.and_then(|tickets| tickets.get(&slot).cloned());
            let task = TaskId { index, ..first };
            self.command_start(task, run, slot, spec, ticket, now, commands);
            deduct_task(candidates, slot, requirements);
        }
        None
    }

    /// Chooses a worker for each member of a gang, all in one rack if the step needs that;
    /// `choose` returns the worker of a task among those with what is left of their resources.
    pub(super) fn choose_gang_workers(
        &self,
        id: StepId,
        spec: &StepSpec,
        requirements: &TaskRequirements,
        candidates: &[Candidate],
        choose: impl Fn(TaskId, &[Candidate]) -> Option<WorkerSlot>,
    ) -> Option<Vec<WorkerSlot>> {
        let mut racks: Vec<Option<Arc<str>>> = vec![None];
        if spec.same_rack {
            racks = candidates.iter().map(|candidate| candidate.labels.get(1).cloned()).collect();
            racks.sort();
            racks.dedup();
        }
        racks.into_iter().find_map(|rack| {
            let mut rest = candidates.to_vec();
            rest.retain(|candidate| rack.is_none() || candidate.labels.get(1) == rack.as_ref());
            // Looking for the workers one by one takes long for a large gang.
            let counts = rest.iter().map(|one| one.tasks_that_fit(requirements));
            if counts.fold(0, u64::saturating_add) < u64::from(spec.tasks) {
                return None;
            }
            let mut slots = Vec::with_capacity(spec.tasks as usize);
            for index in 0..spec.tasks {
                let slot = choose(TaskId { step: id, index }, &rest)?;
                deduct_task(&mut rest, slot, requirements);
                slots.push(slot);
            }
            Some(slots)
        })
    }
}
