//! Placement of tasks under which workers have crashed.
//!
//! When a deadly task is among hundreds that have lost their worker, it must not take the next
//! worker with all of the others, and the next crash has to tell which task is to blame. The
//! capacity that this takes from other tasks is limited.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use cassiafold_platform::Moment;

use super::{Command, Scheduler};
use crate::crash::Suspicion;
use crate::job::WorkerSlot;
use crate::placement::{Candidate, TaskRequirements};
use crate::spec::{JobId, StepId, TaskId};
use crate::step_order::WaitingStep;
use crate::worker::Run;

/// One in this many usable workers of a service may be kept for tasks that start apart from others;
/// at least one is.
const SEPARATED_SHARE: usize = 4;

/// Result of the placement of tasks that must start apart from others.
enum Placement {
    /// They started on these workers; on none if they may not start yet.
    Started(Vec<WorkerSlot>),
    /// No worker is vacant that fits.
    Unmet {
        /// How far they are suspected.
        suspicion: Suspicion,
        /// What each of them requires.
        requirements: TaskRequirements,
    },
}

impl Scheduler {
    /// Notes which candidates have just started a suspected task, and removes those that must start
    /// no other task now. Returns how many were removed.
    pub(super) fn separate_suspects(&self, candidates: &mut Vec<Candidate>, now: Moment) -> usize {
        if self.suspects.is_empty() {
            return 0;
        }
        let mut starting: HashMap<WorkerSlot, JobId> = HashMap::new();
        let mut separated: HashSet<WorkerSlot> = HashSet::new();
        for (task, slot, run) in self.suspected_runs() {
            let suspicion = self.suspicion(task);
            if run.is_in_start_window(now) {
                starting.insert(slot, task.step.job);
            }
            if is_separated(suspicion, run, now) {
                separated.insert(slot);
            }
        }
        for candidate in candidates.iter_mut() {
            candidate.starting_suspect = starting.get(&candidate.slot).copied();
        }
        let before = candidates.len();
        candidates.retain(|candidate| !separated.contains(&candidate.slot));
        before - candidates.len()
    }

    /// Returns the runs of suspected tasks.
    fn suspected_runs(&self) -> Vec<(TaskId, WorkerSlot, &Run)> {
        let mut runs = Vec::new();
        for id in &self.suspects {
            let Some(job) = self.jobs.get(&id.step.job) else { continue };
            let Some(step) = job.step(id.step) else { continue };
            let is_gang = job.spec(id.step.step).is_some_and(|spec| spec.gang);
            for (index, task) in (0..).zip(&step.tasks) {
                if !is_gang && index != id.index {
                    continue;
                }
                let task_id = TaskId { index, ..*id };
                runs.extend(task.active_runs.iter().filter_map(|slot| {
                    let run = self.workers[*slot].runs.get(&task_id)?;
                    Some((task_id, *slot, run))
                }));
            }
        }
        runs
    }

    /// Starts the tasks that must start apart from others, before all others, and removes the
    /// workers that they take or wait for from the candidates.
    pub(super) fn place_separated_tasks(
        &mut self,
        steps: &[WaitingStep],
        separated_now: usize,
        candidates: &mut Vec<Candidate>,
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        if self.suspects.is_empty() {
            return;
        }
        let limit = ((candidates.len() + separated_now) / SEPARATED_SHARE).max(1);
        let mut allowed = limit.saturating_sub(separated_now);
        for step in steps {
            let tasks = self.waiting_separated_tasks(step.step, now);
            if tasks.is_empty() {
                continue;
            }
            if allowed == 0 {
                return;
            }
            let taken = match self.place_apart(step.step, &tasks, candidates, now, commands) {
                Placement::Started(taken) => taken,
                Placement::Unmet { suspicion, requirements } => {
                    self.choose_kept(step.step, suspicion, &requirements, candidates, now)
                }
            };
            candidates.retain(|candidate| !taken.contains(&candidate.slot));
            allowed = allowed.saturating_sub(taken.len());
        }
    }

    /// Starts further tasks that must start apart from others, on workers that are vacant after all
    /// other tasks have been placed.
    pub(super) fn place_leftover_separated(
        &mut self,
        steps: &[WaitingStep],
        candidates: &mut Vec<Candidate>,
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        if self.suspects.is_empty() {
            return;
        }
        for step in steps {
            let tasks = self.waiting_separated_tasks(step.step, now);
            if candidates.is_empty() {
                return;
            }
            if let Placement::Started(taken) =
                self.place_apart(step.step, &tasks, candidates, now, commands)
            {
                candidates.retain(|candidate| !taken.contains(&candidate.slot));
            }
        }
    }

    /// Returns the waiting tasks of a step that must start apart from others and whose crashes are
    /// stored, so that a new owner would know of them; of a gang the first member.
    fn waiting_separated_tasks(&self, step: StepId, now: Moment) -> Vec<u32> {
        let Some(job) = self.jobs.get(&step.job) else { return Vec::new() };
        let waiting = self.suspects_of(step).filter(|id| {
            let task = job.task(**id);
            self.suspicion(**id).is_separated()
                && job.are_crashes_stored(**id)
                && task.is_some_and(|task| task.is_waiting() && task.earliest_start <= now)
        });
        waiting.map(|id| id.index).collect()
    }

    /// Starts tasks of a step together on a worker where no other task could be to blame for a
    /// crash.
    fn place_apart(
        &mut self,
        step: StepId,
        tasks: &[u32],
        candidates: &[Candidate],
        now: Moment,
        commands: &mut Vec<Command>,
    ) -> Placement {
        let Some((first, others)) = tasks.split_first() else {
            return Placement::Started(Vec::new());
        };
        let suspicion = self.suspicion(TaskId { step, index: *first });
        let is_vacant =
            |candidate: &&Candidate| self.occupants(candidate.slot, step.job, suspicion, now) == 0;
        let mut vacant: Vec<Candidate> = candidates.iter().filter(is_vacant).cloned().collect();
        let first_command = commands.len();
        let unmet = self.place_tasks(step, &[*first], &mut vacant, now, commands);
        if let Some(requirements) = unmet {
            return Placement::Unmet { suspicion, requirements };
        }
        let taken = started_on(&commands[first_command..]);
        // Tasks of one job are judged together.
        let same = |index: &&u32| self.suspicion(TaskId { step, index: **index }) == suspicion;
        let others: Vec<u32> = others.iter().filter(same).copied().collect();
        vacant.retain(|candidate| taken.contains(&candidate.slot));
        self.place_tasks(step, &others, &mut vacant, now, commands);
        Placement::Started(taken)
    }

    /// Returns the number of runs of other jobs on a worker that could be to blame for a crash as
    /// well.
    fn occupants(&self, slot: WorkerSlot, job: JobId, suspicion: Suspicion, now: Moment) -> usize {
        let runs = self.workers[slot].runs.iter();
        let others = runs.filter(|(task, _)| task.step.job != job);
        others.filter(|(_, run)| is_separated(suspicion, run, now)).count()
    }

    /// Chooses the workers that start no other task until a step's tasks can start apart: those that
    /// are vacant soonest, in one rack if the step needs that.
    fn choose_kept(
        &self,
        step: StepId,
        suspicion: Suspicion,
        requirements: &TaskRequirements,
        candidates: &[Candidate],
        now: Moment,
    ) -> Vec<WorkerSlot> {
        let Some(spec) = self.spec(step) else { return Vec::new() };
        let tasks = if spec.gang { u64::from(spec.tasks) } else { 1 };
        let mut by_rack: BTreeMap<Option<Arc<str>>, Vec<(usize, &Candidate)>> = BTreeMap::new();
        for candidate in candidates {
            let rack = candidate.labels.get(1).cloned().filter(|_| spec.same_rack);
            let occupants = self.occupants(candidate.slot, step.job, suspicion, now);
            by_rack.entry(rack).or_default().push((occupants, candidate));
        }
        let choices =
            by_rack.into_values().filter_map(|rack| fewest_for(rack, tasks, requirements));
        let chosen = choices.min_by_key(|(occupants, _)| *occupants);
        chosen.map(|(_, slots)| slots).unwrap_or_default()
    }
}

/// Whether a run keeps other tasks from starting on its worker, for a suspicion of either.
fn is_separated(suspicion: Suspicion, run: &Run, now: Moment) -> bool {
    match suspicion {
        Suspicion::None | Suspicion::Suspected => false,
        Suspicion::Apart => run.is_in_start_window(now),
        Suspicion::Alone => !run.is_past_probation(now),
    }
}

/// Returns the least occupied workers that hold `tasks` tasks when they are vacant, and the number
/// of their occupants; `None` if all of them are too few.
fn fewest_for(
    mut workers: Vec<(usize, &Candidate)>,
    tasks: u64,
    requirements: &TaskRequirements,
) -> Option<(usize, Vec<WorkerSlot>)> {
    workers.sort_by_key(|(occupants, candidate)| (*occupants, candidate.slot));
    let (mut fitting, mut occupants_sum, mut slots) = (0_u64, 0, Vec::new());
    for (occupants, candidate) in workers {
        let vacant =
            Candidate { free: candidate.capacity, starting_suspect: None, ..candidate.clone() };
        let count = vacant.tasks_that_fit(requirements);
        if fitting < tasks && count > 0 {
            fitting = fitting.saturating_add(count);
            occupants_sum += occupants;
            slots.push(candidate.slot);
        }
    }
    (fitting >= tasks).then_some((occupants_sum, slots))
}

/// Returns the workers of start commands.
fn started_on(commands: &[Command]) -> Vec<WorkerSlot> {
    let starts = commands.iter().filter_map(|command| match command {
        Command::Start { worker, .. } => Some(*worker),
        _ => None,
    });
    starts.collect()
}
