//! Planning pass: derives the commands that are due from the current state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::Moment;

use super::command_room::Choice;
use super::{Command, Scheduler, WriteUrgency};
use crate::job::{Job, Occurrence, WorkerSlot};
use crate::placement::{
    Candidate, TaskRequirements, UnplaceableRequirements, choose_reservation, choose_worker,
};
use crate::record::JobState;
use crate::spec::{Resources, StepId, StepSpec, TaskId};
use crate::step_order::{WaitingStep, sort};
use crate::throttle::Speed;
use crate::worker::{Run, RunKind, RunPhase};

/// Time after which all services are planned again without a change, because delays have expired.
const REPLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two placement passes of a service without enough free capacity, so that freed
/// capacity accumulates.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// A step that has waited this long for capacity has a worker reserved for it.
const RESERVE_AFTER: Duration = Duration::from_millis(400);
/// Maximum number of workers of a service that are reserved for waiting steps.
const RESERVATIONS_MAX: usize = 2;
/// Number of different jobs that must have failed on a worker before it is suspected.
const SUSPECT_JOBS_MIN: usize = 3;

impl Scheduler {
    /// Returns the commands that are due at `now`, which is the Unix time `now_unix`.
    pub fn plan(&mut self, now_unix: Duration, now: Moment) -> Vec<Command> {
        let mut commands = Vec::new();
        self.last_plan_unix = now_unix;
        self.command_budget.begin_pass(self.current_slots.len());
        self.saturated_workers.clear();
        self.ensure_inherited_usage(now);
        if now.saturating_sub(self.last_full_plan) >= REPLAN_INTERVAL {
            self.record_delays(now.saturating_sub(self.last_full_plan), now);
            self.last_full_plan = now;
            self.update_inherited_usage(now);
            self.forget_ended_suspects();
            self.request_list_of_lost_machines(now);
            self.start_due_occurrences(now_unix, now);
            self.mark_all_changed();
            for slot in self.active_slots().collect::<Vec<_>>() {
                self.expire_lease(slot, now);
            }
            self.plan_maintenance(now, &mut commands);
            self.plan_machine_moves(now);
            self.plan_throttling(now, &mut commands);
            self.hedge_polls(now);
            self.report_interference(now);
        }
        self.issue_machine_moves(now, &mut commands);
        self.send_unsent_starts(now, &mut commands);
        self.plan_services_awaiting_policy(now);
        for service in self.take_changed_services() {
            if self.next_placement.get(&service).is_some_and(|until| now < *until) {
                self.changed_services.insert(service);
                continue;
            }
            self.plan_service(&service, now, &mut commands);
            if self.awaiting_commands.remove(&service) {
                self.next_placement.insert(service.clone(), now + PLACEMENT_RETRY_INTERVAL);
                self.changed_services.insert(service);
            }
        }
        self.send_wanted_queries(now, &mut commands);
        self.send_due_stops(now, &mut commands);
        self.due_polls(now, &mut commands);
        commands
    }

    /// Returns when the next command is due if nothing changes.
    pub fn next_due(&self, now: Moment) -> Moment {
        let poll = self.next_poll_due();
        let postponed =
            self.changed_services.iter().filter_map(|service| self.next_placement.get(service));
        let next_pass = postponed.min().copied().unwrap_or(Moment::MAX);
        poll.min(next_pass).min(now + REPLAN_INTERVAL)
    }

    fn plan_service(&mut self, service: &str, now: Moment, commands: &mut Vec<Command>) {
        if !self.is_config_known {
            return;
        }
        let mut eligible_steps = self.eligible_steps(service, now);
        if eligible_steps.is_empty() {
            return;
        }
        sort(&mut eligible_steps, now);
        let mut candidates = self.candidates(service, now);
        let separated = self.separate_suspects(&mut candidates, now);
        self.place_separated_tasks(&eligible_steps, separated, &mut candidates, now, commands);
        let mut reserved_count = 0;
        let mut unplaced = UnplaceableRequirements::default();
        for waiting_step in &eligible_steps {
            if candidates.is_empty() {
                break;
            }
            let waited = now.saturating_sub(waiting_step.ready_since);
            let may_reserve = reserved_count < RESERVATIONS_MAX
                && (waiting_step.long_running || waited >= RESERVE_AFTER);
            let simple = self.simple_requirements(waiting_step.step);
            if !may_reserve && simple.is_some_and(|simple| unplaced.covers(&simple)) {
                continue;
            }
            if !self.may_send_starts(waiting_step.step, self.start_bytes(waiting_step.step)) {
                continue;
            }
            let unmet = self.place_step(waiting_step.step, &mut candidates, now, commands);
            let Some(requirements) = unmet else { continue };
            if simple.is_some() {
                unplaced.record(&requirements);
            }
            if may_reserve {
                let step = waiting_step.step;
                let allowed = candidates.iter().filter(|one| !self.is_refused(step, one.slot));
                let reserved_slot = choose_reservation(&requirements, allowed);
                reserved_count += usize::from(reserved_slot.is_some());
                candidates.retain(|candidate| Some(candidate.slot) != reserved_slot);
            }
        }
        self.place_leftover_separated(&eligible_steps, &mut candidates, now, commands);
        if !unplaced.is_empty() {
            self.next_placement.insert(service.into(), now + PLACEMENT_RETRY_INTERVAL);
        }
    }

    /// Returns the steps of a service with tasks that may start now.
    fn eligible_steps(&mut self, service: &str, now: Moment) -> Vec<WaitingStep> {
        let are_inherited_runs_known = self.are_inherited_runs_known(service, now);
        let mut eligible_steps = Vec::new();
        let mut without_waiting = Vec::new();
        for id in self.waiting_steps.of(service) {
            let Some(job) = self.jobs.get(&id.job) else { continue };
            let Some(step) = job.step(id) else { continue };
            let mut waiting = step.tasks.iter().filter(|task| task.is_waiting()).peekable();
            if waiting.peek().is_none() {
                without_waiting.push(id);
            } else if (are_inherited_runs_known || job.has_no_prior_runs)
                && !job.awaits_start_write()
                && waiting.any(|task| task.earliest_start <= now)
            {
                eligible_steps.extend(self.waiting_step(job, id));
            }
        }
        for id in without_waiting {
            self.waiting_steps.remove(service, id);
        }
        eligible_steps
    }

    /// Returns the resources that a task of a step takes; `None` for a gang or a step that is
    /// subject to a placement policy.
    fn simple_requirements(&self, step: StepId) -> Option<Resources> {
        let spec = self.spec(step)?;
        let is_simple = !spec.gang && self.placement_policy(step).is_none();
        is_simple.then(|| spec.reserved())
    }

    /// Returns whether no previous owner can have started any task of a step's job.
    pub(super) fn has_no_prior_runs(&self, step: StepId) -> bool {
        let job = self.jobs.get(&step.job);
        job.is_some_and(|job| job.has_no_prior_runs)
    }

    /// Returns whether tasks of a step's job may start: only once the start of the job is stored.
    /// Requests the write if needed.
    pub(super) fn ensure_start_stored(&mut self, step: StepId) -> bool {
        let Some(job) = self.jobs.get_mut(&step.job) else { return false };
        let is_start_stored = job.is_start_stored;
        if !is_start_stored && job.state == JobState::Queued {
            job.state = JobState::Running;
            self.mark_unwritten(step.job);
            self.raise_write_urgency(WriteUrgency::High);
        }
        is_start_stored
    }

    pub(super) fn waiting_step(&self, job: &Job, id: StepId) -> Option<WaitingStep> {
        let spec = job.spec(id.step)?;
        let occurrence = job.occurrences.get(&id.occurrence)?;
        let queue = self.queue_of(job);
        Some(WaitingStep {
            step: id,
            priority: queue.map_or(u32::MAX, |queue| queue.priority),
            long_running: spec.long_running,
            exceeds_share: job.exceeds_share,
            waiting_since: job.last_crash().map_or(occurrence.due, |at| at.max(occurrence.due)),
            ready_since: job.step(id)?.ready_since,
            objective: self.objective(job, occurrence),
            critical_path_left: occurrence.critical_path_left,
            work_left: occurrence.work_left,
        })
    }

    /// Returns the latest completion time at which a repetition of a job has its full value.
    pub(super) fn objective(&self, job: &Job, occurrence: &Occurrence) -> Moment {
        let queue = self.queue_of(job);
        let critical_path_factor = queue.map_or(1.0, |queue| queue.critical_path_factor.max(1.0));
        let slack = queue.map_or(Duration::ZERO, |queue| queue.latency_objective);
        let path = scale(occurrence.critical_path, critical_path_factor);
        occurrence.due.saturating_add(path).saturating_add(slack)
    }

    pub(super) fn candidates(&self, service: &str, now: Moment) -> Vec<Candidate> {
        let workers_of_service =
            self.service_slots(service).iter().map(|slot| (*slot, &self.workers[*slot]));
        let usable = workers_of_service.filter(|(_, worker)| {
            worker.is_usable(now) && !self.evacuated_zones.contains(&worker.entry.zone)
        });
        usable
            .map(|(slot, worker)| Candidate {
                slot,
                capacity: worker.entry.capacity,
                free: worker.free_resources(),
                labels: Arc::clone(&worker.entry.labels),
                same_step: 0,
                long_running: worker.counts.long_running,
                serving: worker.counts.serving,
                opportunistic: worker.counts.opportunistic,
                is_suspect: is_suspect(&worker.recent_ends),
                starting_suspect: None,
                is_maintenance_due: worker.is_maintenance_due,
                known_harm_milli: 0,
            })
            .collect()
    }

    pub(super) fn spec(&self, step: StepId) -> Option<&StepSpec> {
        self.jobs.get(&step.job).and_then(|job| job.spec(step.step))
    }

    /// Starts as many tasks of a step as fit; returns the requirements of a task if some did not
    /// fit. Tasks that must start apart from others are left out.
    fn place_step(
        &mut self,
        id: StepId,
        candidates: &mut [Candidate],
        now: Moment,
        commands: &mut Vec<Command>,
    ) -> Option<TaskRequirements> {
        let mut waiting = self.waiting_tasks(id, now);
        waiting.retain(|index| {
            let task = TaskId { step: id, index: *index };
            !self.suspicion(task).is_separated()
        });
        if waiting.is_empty() {
            return None;
        }
        self.place_tasks(id, &waiting, candidates, now, commands)
    }

    /// Starts as many of the `waiting` tasks of a step as fit, of a gang all members or none;
    /// returns the requirements of a task if some did not fit. If the placement policy may allow
    /// further workers, a query about them is wanted.
    pub(super) fn place_tasks(
        &mut self,
        id: StepId,
        waiting: &[u32],
        candidates: &mut [Candidate],
        now: Moment,
        commands: &mut Vec<Command>,
    ) -> Option<TaskRequirements> {
        let unplaced = self.place_allowed_tasks(id, waiting, candidates, now, commands)?;
        self.want_query(id, &unplaced, candidates, now);
        Some(unplaced)
    }

    /// Starts as many of the `waiting` tasks as fit on workers that the placement policy, if there
    /// is one, has allowed.
    fn place_allowed_tasks(
        &mut self,
        id: StepId,
        waiting: &[u32],
        candidates: &mut [Candidate],
        now: Moment,
        commands: &mut Vec<Command>,
    ) -> Option<TaskRequirements> {
        let record = Arc::clone(&self.jobs.get(&id.job)?.record);
        let spec = record.spec.steps.get(usize::from(id.step))?;
        let requirements = TaskRequirements {
            reserved: spec.reserved(),
            label: spec.label.clone(),
            data_rack: spec.data_rack.clone(),
            per_worker_max: spec.per_worker_max,
            long_running: spec.long_running,
            serves: spec.tail_target.is_some(),
            opportunistic: spec.opportunistic,
            suspect_of: None,
        };
        self.count_same_step(id, spec, candidates);
        let has_policy = self.placement_policy(id).is_some();
        let tickets = has_policy.then(|| self.valid_tickets(id, now));
        if spec.gang {
            return self.place_gang(
                id,
                spec,
                &requirements,
                candidates,
                tickets.as_ref(),
                commands,
                now,
            );
        }
        let step_bytes = self.start_bytes(id);
        for index in waiting {
            let task = TaskId { step: id, index: *index };
            let bytes = self.start_bytes_of_task(task, step_bytes);
            if !self.may_send_starts(id, bytes) {
                return None;
            }
            self.rate_interference(spec, candidates);
            let requirements =
                TaskRequirements { suspect_of: self.suspect_job(task), ..requirements.clone() };
            if !self.is_within_team_quota(id, spec) {
                return None;
            }
            let choice = self.choose_open_worker(
                task,
                &requirements,
                candidates,
                tickets.as_ref(),
                bytes,
                now,
            );
            let slot = match choice {
                Choice::Worker(slot) => slot,
                Choice::Saturated => return None,
                Choice::None => return Some(requirements),
            };
            if !self.ensure_start_stored(id) {
                return None;
            }
            let ticket = tickets.as_ref().and_then(|tickets| tickets.get(&slot).cloned());
            let run = self.next_run_number(task);
            self.command_start(task, run, slot, spec, ticket, now, commands);
            deduct_task(candidates, slot, &requirements);
        }
        None
    }

    pub(super) fn waiting_tasks(&self, id: StepId, now: Moment) -> Vec<u32> {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let tasks = step.map_or(&[][..], |step| &step.tasks);
        let waiting = tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.is_waiting() && task.earliest_start <= now);
        waiting.filter_map(|(index, _)| u32::try_from(index).ok()).collect()
    }

    /// Chooses the worker for a task among the candidates that it may use.
    pub(super) fn choose_worker_for<'a>(
        &self,
        task: TaskId,
        requirements: &TaskRequirements,
        candidates: impl Iterator<Item = &'a Candidate>,
        tickets: Option<&HashMap<WorkerSlot, Arc<str>>>,
    ) -> Option<WorkerSlot> {
        let entry = self.jobs.get(&task.step.job).and_then(|job| job.task(task));
        let avoided_workers = entry.map_or(&[][..], |entry| &entry.avoided_workers);
        let active_runs = entry.map_or(&[][..], |entry| &entry.active_runs);
        let allowed = candidates.filter(|candidate| {
            tickets.is_none_or(|tickets| tickets.contains_key(&candidate.slot))
                && !active_runs.contains(&candidate.slot)
        });
        choose_worker(requirements, allowed, avoided_workers)
    }

    fn count_same_step(&self, id: StepId, spec: &StepSpec, candidates: &mut [Candidate]) {
        for candidate in candidates {
            candidate.same_step = 0;
            if spec.per_worker_max.is_some() || spec.long_running {
                let tasks = self.workers[candidate.slot].runs.keys();
                let same = tasks.filter(|task| task.step == id).count();
                candidate.same_step = u32::try_from(same).unwrap_or(u32::MAX);
            }
        }
    }

    pub(super) fn is_within_team_quota(&self, id: StepId, spec: &StepSpec) -> bool {
        self.is_amount_within_team_quota(id, &spec.task_resources)
    }

    pub(super) fn is_amount_within_team_quota(
        &self,
        id: StepId,
        task_resources: &crate::spec::Resources,
    ) -> bool {
        let team = self.jobs.get(&id.job).and_then(|job| job.record.team.as_ref());
        let Some(team) = team else { return true };
        let Some(limits) = self.config.teams.get(team) else { return true };
        let used = self.team_usage.get(team).copied().unwrap_or_default();
        limits.admits(&used.plus(&self.inherited_usage.of(team)), task_resources)
    }

    pub(super) fn next_run_number(&self, task: TaskId) -> u32 {
        let entry = self.jobs.get(&task.step.job).and_then(|job| job.task(task));
        entry.map_or(0, |entry| entry.last_run).saturating_add(1)
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one command")]
    pub(super) fn command_start(
        &mut self,
        task: TaskId,
        run: u32,
        slot: WorkerSlot,
        spec: &StepSpec,
        ticket: Option<Arc<str>>,
        now: Moment,
        commands: &mut Vec<Command>,
    ) {
        self.presume_crash(task, now);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(entry) = job.task_mut(task) else { return };
        entry.last_run = run;
        entry.active_runs.push(slot);
        self.adjust_team_usage(task.step.job, &spec.task_resources, true);
        let new_run = Run {
            number: run,
            phase: RunPhase::Placed,
            since: now,
            start_unanswered_at: None,
            possible_crash: None,
            is_adopted: false,
            confirmed: None,
            has_ended: false,
            kind: RunKind::from(spec),
            image: spec.image.clone(),
            reserved: spec.reserved(),
            quota_usage: spec.task_resources,
            percent: 0,
            last_progress: now,
            load_metric: 0,
            speed: Speed::FULL,
        };
        self.workers[slot].add(task, new_run);
        let start = self.unsent_start(slot, task, run, ticket);
        self.send_or_keep_start(start, now, commands);
    }
}

/// Returns a duration times a factor of at least one; [`Duration::MAX`] if it is longer than that.
fn scale(duration: Duration, factor: f64) -> Duration {
    if duration.is_zero() {
        return duration;
    }
    Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}

/// Deducts a placed task from the free resources of a candidate.
pub(super) fn deduct_task(
    candidates: &mut [Candidate],
    slot: WorkerSlot,
    requirements: &TaskRequirements,
) {
    let Some(chosen) = candidates.iter_mut().find(|candidate| candidate.slot == slot) else {
        return;
    };
    chosen.free = chosen.free.minus(&requirements.reserved);
    chosen.same_step += 1;
    chosen.starting_suspect = chosen.starting_suspect.or(requirements.suspect_of);
    chosen.long_running += u32::from(requirements.long_running);
    chosen.serving += u32::from(requirements.serves);
    chosen.opportunistic += u32::from(requirements.opportunistic);
}

/// Returns whether at least half of the recent runs on a worker failed, from several jobs.
fn is_suspect(recent_ends: &[(u64, bool)]) -> bool {
    let mut failed_jobs: Vec<u64> =
        recent_ends.iter().filter(|(_, has_failed)| *has_failed).map(|(job, _)| *job).collect();
    let failures = failed_jobs.len();
    failed_jobs.sort_unstable();
    failed_jobs.dedup();
    failed_jobs.len() >= SUSPECT_JOBS_MIN && 2 * failures >= recent_ends.len()
}
