//! Which orders follow from the present state.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::Moment;

use super::{Order, Scheduler, Urgency};
use crate::job::{Job, Occurrence, WorkerSlot};
use crate::order::{Contender, sort};
use crate::placement::{Candidate, Demand, Unplaced, choose, reserve};
use crate::record::JobState;
use crate::spec::{Resources, StepId, StepSpec, TaskId};
use crate::worker::{LookPhase, Run, RunKind, RunPhase};

/// Time after which services are planned again without news, for delays that have passed.
const REPLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two plans of a service in which steps found no room: what becomes free gathers.
const FULL_INTERVAL: Duration = Duration::from_millis(5);
/// A step that has found no room for this long has a worker kept for it.
const RESERVE_AFTER: Duration = Duration::from_millis(400);
/// Most workers of a service that are kept for steps that found no room.
const RESERVED_MAX: usize = 2;
/// Ends of different jobs that must have failed on a worker before it is suspected.
const SUSPECT_JOBS: usize = 3;

impl Scheduler {
    /// The orders that are due now, at a time of day `unix`.
    pub fn plan(&mut self, unix: Duration, now: Moment) -> Vec<Order> {
        let mut orders = Vec::new();
        self.unix = unix;
        if now.saturating_sub(self.planned_all) >= REPLAN_INTERVAL {
            self.note_delays(now.saturating_sub(self.planned_all), now);
            self.planned_all = now;
            self.begin_due(unix, now);
            self.mark_all_changed();
            for slot in self.living().collect::<Vec<_>>() {
                self.expire(slot, now);
            }
            self.plan_upkeep(now, &mut orders);
            self.plan_moves(now);
            self.plan_pace(now, &mut orders);
        }
        self.order_moves(now, &mut orders);
        for service in std::mem::take(&mut self.changed) {
            if self.full_until.get(&service).is_some_and(|until| now < *until) {
                self.changed.insert(service);
                continue;
            }
            self.plan_service(&service, now, &mut orders);
        }
        orders.extend(self.due_stops(now));
        self.due_looks(now, &mut orders);
        orders
    }

    /// When the next order falls due without news.
    pub fn next_due(&self, now: Moment) -> Moment {
        let look = self.looks_due.peek().map_or(Moment::MAX, |Reverse((at, _))| *at);
        let full = self.changed.iter().filter_map(|service| self.full_until.get(service));
        let pass = full.min().copied().unwrap_or(Moment::MAX);
        look.min(pass).min(now + REPLAN_INTERVAL)
    }

    fn due_looks(&mut self, now: Moment, orders: &mut Vec<Order>) {
        let first = orders.len();
        let mut due = Vec::new();
        while let Some(Reverse((at, worker))) = self.looks_due.peek().copied()
            && at <= now
        {
            self.looks_due.pop();
            let life = &self.workers[worker];
            if !life.is_gone && life.look == LookPhase::DueAt(at) {
                orders.push(Order::Look { worker, is_probe: false });
                due.push(Reverse((at, worker)));
            }
        }
        // A look stays due until it is on its way.
        self.looks_due.extend(due);
        let is_looked_at = |orders: &[Order], slot: WorkerSlot| {
            orders
                .iter()
                .any(|order| matches!(order, Order::Look { worker, .. } if *worker == slot))
        };
        for worker in std::mem::take(&mut self.probes_due) {
            if !self.workers[worker].is_gone && !is_looked_at(&orders[first..], worker) {
                orders.push(Order::Look { worker, is_probe: true });
            }
        }
    }

    fn plan_service(&mut self, service: &str, now: Moment, orders: &mut Vec<Order>) {
        let mut contenders = self.contenders(service, now);
        if contenders.is_empty() {
            return;
        }
        sort(&mut contenders, now);
        let mut candidates = self.candidates(service, now);
        let mut reserved = 0;
        let mut unplaced = Unplaced::default();
        for contender in &contenders {
            if candidates.is_empty() {
                break;
            }
            let waited = now.saturating_sub(contender.ready_since);
            let may_reserve =
                reserved < RESERVED_MAX && (contender.long_running || waited >= RESERVE_AFTER);
            let plain = self.plain_demand(contender.step);
            if !may_reserve && plain.is_some_and(|plain| unplaced.covers(&plain)) {
                continue;
            }
            let open = self.place_step(contender.step, &mut candidates, now, orders);
            let Some(demand) = open else { continue };
            if plain.is_some() {
                unplaced.note(&demand);
            }
            if may_reserve {
                let kept = reserve(&demand, &candidates);
                reserved += usize::from(kept.is_some());
                candidates.retain(|candidate| Some(candidate.slot) != kept);
            }
        }
        if !unplaced.is_empty() {
            self.full_until.insert(service.into(), now + FULL_INTERVAL);
        }
    }

    /// Steps of a service with tasks that may start now.
    fn contenders(&mut self, service: &str, now: Moment) -> Vec<Contender> {
        let is_certain = self.is_certain(service, now);
        let mut contenders = Vec::new();
        let mut settled = Vec::new();
        for id in self.waiting_steps.of(service) {
            let Some(job) = self.jobs.get(&id.job) else { continue };
            let Some(step) = job.step(id) else { continue };
            let mut waiting = step.tasks.iter().filter(|task| task.is_waiting()).peekable();
            if waiting.peek().is_none() {
                settled.push(id);
            } else if (is_certain || job.is_untouched)
                && !job.waits_for_announcement()
                && waiting.any(|task| task.not_before <= now)
            {
                contenders.extend(self.contender(job, id));
            }
        }
        for id in settled {
            self.waiting_steps.remove(service, id);
        }
        contenders
    }

    /// What a task of a step takes, if it may run on any worker with room.
    fn plain_demand(&self, step: StepId) -> Option<Resources> {
        let spec = self.spec(step)?;
        let is_plain = !spec.gang && self.advice_policy(step).is_none();
        is_plain.then(|| spec.reserved())
    }

    /// Whether no earlier owner can have started anything of a step's job.
    pub(super) fn is_new(&self, step: StepId) -> bool {
        let job = self.jobs.get(&step.job);
        job.is_some_and(|job| job.is_untouched)
    }

    /// Whether tasks of a job may start: the store says so, or is about to be told.
    pub(super) fn announce(&mut self, step: StepId) -> bool {
        let Some(job) = self.jobs.get_mut(&step.job) else { return false };
        let is_announced = job.is_announced;
        if !is_announced && job.state == JobState::Queued {
            job.state = JobState::Running;
            self.mark_dirty(step.job);
            self.raise_urgency(Urgency::Now);
        }
        is_announced
    }

    fn contender(&self, job: &Job, id: StepId) -> Option<Contender> {
        let spec = job.spec(id.step)?;
        let occurrence = job.occurrences.get(&id.occurrence)?;
        let queue = self.config.queues.get(&job.record.queue);
        Some(Contender {
            step: id,
            priority: queue.map_or(u8::MAX, |queue| queue.priority),
            long_running: spec.long_running,
            beyond_weight: job.beyond_weight,
            accepted: occurrence.due,
            ready_since: job.step(id)?.ready_since,
            objective: self.objective(job, occurrence),
            chain_left: occurrence.chain_left,
            work_left: occurrence.work_left,
        })
    }

    /// When a repetition of a job stops being worth its full value.
    pub(super) fn objective(&self, job: &Job, occurrence: &Occurrence) -> Moment {
        let queue = self.config.queues.get(&job.record.queue);
        let stretch = queue.map_or(1.0, |queue| queue.stretch.max(1.0));
        let slack = queue.map_or(Duration::ZERO, |queue| queue.latency_objective);
        occurrence.due + occurrence.chain.mul_f64(stretch) + slack
    }

    pub(super) fn candidates(&self, service: &str, now: Moment) -> Vec<Candidate> {
        let of_service = self.slots_of(service).iter().map(|slot| (*slot, &self.workers[*slot]));
        let usable = of_service.filter(|(_, worker)| {
            worker.is_usable(now) && !self.evacuated.contains(&worker.entry.zone)
        });
        usable
            .map(|(slot, worker)| Candidate {
                slot,
                room: worker.entry.room,
                free: worker.free(),
                labels: Arc::clone(&worker.entry.labels),
                same_step: 0,
                long_running: worker.counts.long_running,
                serving: worker.counts.serving,
                opportunistic: worker.counts.opportunistic,
                is_suspect: is_suspect(&worker.recent),
                is_maintenance_due: worker.is_maintenance_due,
            })
            .collect()
    }

    pub(super) fn spec(&self, step: StepId) -> Option<&StepSpec> {
        self.jobs.get(&step.job).and_then(|job| job.spec(step.step))
    }

    /// Starts what fits of a step; returns what it asks for if tasks are left over.
    fn place_step(
        &mut self,
        id: StepId,
        candidates: &mut [Candidate],
        now: Moment,
        orders: &mut Vec<Order>,
    ) -> Option<Demand> {
        let record = Arc::clone(&self.jobs.get(&id.job)?.record);
        let spec = record.spec.steps.get(usize::from(id.step))?;
        let demand = Demand {
            reserved: spec.reserved(),
            label: spec.label.clone(),
            data_rack: spec.data_rack.clone(),
            per_worker_max: spec.per_worker_max,
            long_running: spec.long_running,
            serves: spec.tail_target.is_some(),
            opportunistic: spec.opportunistic,
        };
        self.count_same_step(id, spec, candidates);
        let asks = self.advice_policy(id).is_some();
        if asks {
            self.ask(id, candidates, now, orders);
        }
        let tickets = asks.then(|| self.valid_tickets(id, now));
        if spec.gang {
            return self.place_gang(id, spec, &demand, candidates, tickets.as_ref(), orders, now);
        }
        let waiting = self.waiting_tasks(id, now);
        for index in waiting {
            let task = TaskId { step: id, index };
            if !self.team_admits(id, spec) {
                return None;
            }
            let Some(slot) = self.choose_for(task, &demand, candidates, tickets.as_ref()) else {
                return Some(demand);
            };
            if !self.announce(id) {
                return None;
            }
            let ticket = tickets.as_ref().and_then(|tickets| tickets.get(&slot).cloned());
            let run = self.next_run(task);
            self.order_start(task, run, slot, spec, ticket, now, orders);
            take(candidates, slot, &demand);
        }
        None
    }

    pub(super) fn waiting_tasks(&self, id: StepId, now: Moment) -> Vec<u32> {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let tasks = step.map_or(&[][..], |step| &step.tasks);
        let waiting = tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.is_waiting() && task.not_before <= now);
        waiting.filter_map(|(index, _)| u32::try_from(index).ok()).collect()
    }

    /// The worker for a task, among those that it may use.
    pub(super) fn choose_for(
        &self,
        task: TaskId,
        demand: &Demand,
        candidates: &[Candidate],
        tickets: Option<&HashMap<WorkerSlot, Arc<str>>>,
    ) -> Option<WorkerSlot> {
        let entry = self.jobs.get(&task.step.job).and_then(|job| job.task(task));
        let avoid = entry.map_or(&[][..], |entry| &entry.avoid);
        let copies = entry.map_or(&[][..], |entry| &entry.copies);
        let allowed = candidates.iter().filter(|candidate| {
            tickets.is_none_or(|tickets| tickets.contains_key(&candidate.slot))
                && !copies.contains(&candidate.slot)
        });
        choose(demand, allowed, avoid)
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

    pub(super) fn team_admits(&self, id: StepId, spec: &StepSpec) -> bool {
        self.team_admits_amount(id, &spec.needs)
    }

    pub(super) fn team_admits_amount(&self, id: StepId, needs: &crate::spec::Resources) -> bool {
        let team = self.jobs.get(&id.job).and_then(|job| job.record.team.as_ref());
        let Some(team) = team else { return true };
        let Some(limits) = self.config.teams.get(team) else { return true };
        let used = self.team_use.get(team).copied().unwrap_or_default();
        limits.admits(&used, needs)
    }

    pub(super) fn next_run(&self, task: TaskId) -> u32 {
        let entry = self.jobs.get(&task.step.job).and_then(|job| job.task(task));
        entry.map_or(0, |entry| entry.last_run) + 1
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one order")]
    pub(super) fn order_start(
        &mut self,
        task: TaskId,
        run: u32,
        slot: WorkerSlot,
        spec: &StepSpec,
        ticket: Option<Arc<str>>,
        now: Moment,
        orders: &mut Vec<Order>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(entry) = job.task_mut(task) else { return };
        entry.last_run = run;
        entry.copies.push(slot);
        self.count_use(task.step.job, &spec.needs, true);
        let ordered = Run {
            number: run,
            phase: RunPhase::Ordered,
            since: now,
            unanswered: None,
            is_adopted: false,
            confirmed: None,
            kind: RunKind::from(spec),
            reserved: spec.reserved(),
            counted: spec.needs,
            percent: 0,
            progressed: now,
            reading: 0,
            pace_percent: 100,
        };
        self.workers[slot].add(task, ordered);
        orders.push(Order::Start { worker: slot, task, run, ticket });
    }
}

/// Takes the room of a placed task from a candidate.
pub(super) fn take(candidates: &mut [Candidate], slot: WorkerSlot, demand: &Demand) {
    let Some(chosen) = candidates.iter_mut().find(|candidate| candidate.slot == slot) else {
        return;
    };
    chosen.free = chosen.free.minus(&demand.reserved);
    chosen.same_step += 1;
    chosen.long_running += u32::from(demand.long_running);
    chosen.serving += u32::from(demand.serves);
    chosen.opportunistic += u32::from(demand.opportunistic);
}

/// Whether runs of several jobs have failed on a worker lately, and most of them.
fn is_suspect(recent: &[(u64, bool)]) -> bool {
    let mut failed: Vec<u64> =
        recent.iter().filter(|(_, failed)| *failed).map(|(job, _)| *job).collect();
    let failures = failed.len();
    failed.sort_unstable();
    failed.dedup();
    failed.len() >= SUSPECT_JOBS && 2 * failures >= recent.len()
}
