//! Queues and slots of one entry instance: which request starts next, and on which backend server.
//!
//! Plain state without tasks or locks. All conditions for starting a request (key, zone, state of
//! the instance, upper limit, slot) are checked here at the time of the start.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{Config, Instance, ServiceId, TeamId, ZoneId};
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::accepted_request::AcceptedRequest;
use crate::backend::BackendIndex;
use crate::backends::Backends;
use crate::code::DispatchCode;
use crate::dependencies::{Dependencies, ShareSource};
use crate::fair::WaiterId;
use crate::limit::LimitSource;
use crate::observe::{InstanceUsage, Usage};
use crate::problem::Problem;
use crate::selection::SelectionCriteria;
use crate::service_queue::{ServiceQueue, WaitingRequest, retry_later};
use crate::slot_grant::{FinishedRequest, PermitOf, Replies, SlotGrant};

/// Queues and slots of one entry instance. `R` identifies the receiver of the result of waiting.
pub struct RequestScheduler<E: Dependencies, R> {
    dependencies: E,
    config: Option<Arc<Config>>,
    /// Index of the backend servers.
    pub backends: Backends,
    queues: HashMap<ServiceId, ServiceQueue<R>>,
    /// Services in whose queues a team is blocked because it is at its limit or share.
    blocked: HashMap<TeamId, Vec<ServiceId>>,
    rng: SmallRng,
}

/// Why a request cannot start yet.
enum StartObstacle {
    /// No backend server has a free slot.
    NoSlot,
    /// The team is at its upper limit or its share of the slots.
    TeamAtLimit,
}

impl<E: Dependencies, R> RequestScheduler<E, R> {
    /// Creates the scheduler of an entry instance in zone `home`, without queues.
    pub fn new(dependencies: E, home: ZoneId, rng: SmallRng) -> Self {
        let backends = Backends::new(home);
        let (queues, blocked) = (HashMap::new(), HashMap::new());
        Self { dependencies, config: None, backends, queues, blocked, rng }
    }

    /// Configuration that the scheduler uses.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Applies a configuration and a list of instances.
    pub fn update(&mut self, config: Arc<Config>, instances: &[Instance]) {
        self.backends.rebuild(&config, instances, self.dependencies.peers());
        self.queues
            .retain(|service, queue| !queue.is_idle() || config.services.contains_key(service));
        self.queues.values_mut().for_each(|queue| queue.retain_teams(&config));
        self.config = Some(config);
        self.update_weights();
    }

    /// Applies changed weights and bounds of teams.
    pub fn update_shares(&mut self) {
        self.update_weights();
        self.unblock_all();
    }

    fn update_weights(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        for (service, queue) in &mut self.queues {
            for team in queue.waiting.teams() {
                let weight = weight(&self.dependencies, config, service, &team);
                queue.waiting.set_weight(&team, weight);
            }
        }
    }

    /// Applies the changed load of the other entry instances.
    pub fn update_peers(&mut self) {
        self.backends.update_peers(self.dependencies.peers());
    }

    /// Unblocks all teams that were blocked at their limit or share.
    pub fn unblock_all(&mut self) {
        let teams: Vec<TeamId> = self.blocked.keys().cloned().collect();
        for team in teams {
            self.unblock(&team);
        }
    }

    fn block(&mut self, service: &ServiceId, team: &TeamId) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.waiting.block(team);
            self.blocked.entry(team.clone()).or_default().push(service.clone());
        }
    }

    /// Unblocks `team` and returns the services where it was blocked.
    fn unblock(&mut self, team: &TeamId) -> Vec<ServiceId> {
        let services = self.blocked.remove(team).unwrap_or_default();
        for service in &services {
            if let Some(queue) = self.queues.get_mut(service) {
                queue.waiting.unblock(team);
            }
        }
        services
    }

    /// Appends a request to its queue. Refuses it if it cannot be queued or cannot be completed
    /// before its deadline.
    pub fn enqueue(
        &mut self,
        request: &Arc<AcceptedRequest>,
        reply: R,
        now: Instant,
    ) -> Result<WaiterId, Problem> {
        let config = self.config.clone().ok_or(Problem::not_run(DispatchCode::NotReady))?;
        let service = config.services.get(&request.service);
        let service = service.ok_or(Problem::not_run(DispatchCode::UnknownQueue))?;
        if !self.backends.has_instances(&request.service) {
            return Err(retry_later(DispatchCode::NoInstance, None));
        }
        if self.is_suspended(request) {
            return Err(retry_later(DispatchCode::LimitsSuspended, None));
        }
        let weight = weight(&self.dependencies, &config, &request.service, &request.team);
        let queue = self.queues.entry(request.service.clone()).or_default();
        let expected = queue.expected_wait(&request.team, weight);
        if queue.waiting.team_len(&request.team) >= service.queue_length_max as usize {
            return Err(retry_later(DispatchCode::QueueFull, expected));
        }
        let remaining = request.deadline.saturating_duration_since(now);
        let service_time = queue.expected_service_time(&request.team);
        if expected.is_some_and(|expected| expected + service_time > remaining) {
            return Err(retry_later(DispatchCode::CannotStartInTime, expected));
        }
        queue.waiting.set_weight(&request.team, weight);
        let waiting = WaitingRequest { request: request.clone(), avoid: Vec::new(), reply };
        Ok(queue.waiting.push_back(&request.team, waiting))
    }

    /// Inserts a retry before the other requests of its team.
    pub fn enqueue_retry(
        &mut self,
        request: &Arc<AcceptedRequest>,
        avoid: Vec<Instance>,
        reply: R,
    ) -> WaiterId {
        let queue = self.queues.entry(request.service.clone()).or_default();
        let waiting = WaitingRequest { request: request.clone(), avoid, reply };
        queue.waiting.push_front(&request.team, waiting)
    }

    /// Removes a waiting request; does nothing if it is no longer waiting.
    pub fn cancel(&mut self, service: &ServiceId, waiter: WaiterId) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.waiting.remove(waiter);
        }
    }

    /// Returns a refusal with the expected wait as `Retry-After`.
    pub fn refusal_with_retry_after(
        &self,
        code: DispatchCode,
        request: &AcceptedRequest,
    ) -> Problem {
        let weight = self.config.as_ref().map_or(1.0, |config| {
            weight(&self.dependencies, config, &request.service, &request.team)
        });
        let queue = self.queues.get(&request.service);
        retry_later(code, queue.and_then(|queue| queue.expected_wait(&request.team, weight)))
    }

    /// Whether the request's team is blocked by its upper limit.
    pub fn is_at_limit(&self, request: &AcceptedRequest) -> bool {
        self.queues.get(&request.service).is_some_and(|queue| queue.is_at_limit(&request.team))
    }

    /// Whether a request needs a permit while none are granted.
    fn is_suspended(&self, request: &AcceptedRequest) -> bool {
        request.is_limited() && self.dependencies.limits().are_suspended()
    }

    /// Returns a refusal if the first request of `team` can no longer start.
    fn refusal(&self, service: &ServiceId, team: &TeamId, now: Instant) -> Option<Problem> {
        let (config, queue) = (self.config.as_ref()?, self.queues.get(service)?);
        let suspended = || {
            let first = queue.waiting.first(team)?;
            let problem = || retry_later(DispatchCode::LimitsSuspended, None);
            self.is_suspended(&first.request).then(problem)
        };
        queue.refusal(team, config, now).or_else(suspended)
    }

    /// Starts waiting requests of `service` as long as slots and limits allow. Returns the grants
    /// and refusals to deliver.
    pub fn start_waiting(&mut self, service: &ServiceId, now: Instant) -> Replies<R, PermitOf<E>> {
        let mut replies = Vec::new();
        while let Some(team) =
            self.queues.get(service).and_then(|queue| queue.waiting.next_team()).cloned()
        {
            if let Some(problem) = self.refusal(service, &team, now) {
                let queue = self.queues.get_mut(service);
                if let Some(waiting) = queue.and_then(|queue| queue.waiting.pop_uncharged(&team)) {
                    replies.push((waiting.reply, waiting.request, Err(problem)));
                }
                continue;
            }
            match self.start_first(service, &team) {
                Ok(Some((waiting, grant))) => {
                    replies.push((waiting.reply, waiting.request, Ok(grant)));
                }
                Err(StartObstacle::TeamAtLimit) => {}
                Ok(None) | Err(StartObstacle::NoSlot) => break,
            }
        }
        replies
    }

    /// Starts the first request of `team`, or blocks the team if it is at its limit or share.
    #[expect(clippy::type_complexity, reason = "a request and its grant")]
    fn start_first(
        &mut self,
        service: &ServiceId,
        team: &TeamId,
    ) -> Result<Option<(WaitingRequest<R>, SlotGrant<PermitOf<E>>)>, StartObstacle> {
        let Some(queue) = self.queues.get_mut(service) else {
            return Ok(None);
        };
        let Some(first) = queue.waiting.first(team) else {
            return Ok(None);
        };
        let (request, avoid) = (first.request.clone(), first.avoid.clone());
        let reserved = self.reserve(&request, &avoid);
        if let Err(StartObstacle::TeamAtLimit) = reserved {
            self.block(service, team);
        }
        let grant = reserved?;
        let queue = self.queues.get_mut(service);
        let waiting = queue.and_then(|queue| queue.waiting.pop_charged(team, grant.cost_s));
        Ok(waiting.map(|waiting| (waiting, grant)))
    }

    /// Takes a slot and a permit for a request, without charging its team.
    fn reserve(
        &mut self,
        request: &AcceptedRequest,
        avoid: &[Instance],
    ) -> Result<SlotGrant<PermitOf<E>>, StartObstacle> {
        let queue = self.queues.get_mut(&request.service).ok_or(StartObstacle::NoSlot)?;
        let running_max = self.dependencies.shares().running_max(&request.service, &request.team);
        if queue.update_over_share(&request.team, running_max) {
            return Err(StartObstacle::TeamAtLimit);
        }
        let criteria = SelectionCriteria { idempotent: request.idempotent, avoid };
        let (domains, rng) = (self.dependencies.domains(), &mut self.rng);
        let chosen = self.backends.choose(&request.service, criteria, domains, rng);
        let index = chosen.ok_or(StartObstacle::NoSlot)?;
        let permit = match request.is_limited() {
            true => Some(
                self.dependencies
                    .limits()
                    .try_acquire(&request.team)
                    .ok_or(StartObstacle::TeamAtLimit)?,
            ),
            false => None,
        };
        let cost_s = queue.record_start(&request.team);
        Ok(self.grant_slot(index, permit, cost_s))
    }

    fn grant_slot(
        &mut self,
        index: BackendIndex,
        permit: Option<PermitOf<E>>,
        cost_s: f64,
    ) -> SlotGrant<PermitOf<E>> {
        self.backends.acquire_slot(index);
        let instance = self.backends.get(index).instance.clone();
        SlotGrant { index, instance, permit, cost_s }
    }

    /// Starts a hedge attempt of a running request on another instance, if no request waits.
    pub fn start_hedge(
        &mut self,
        request: &AcceptedRequest,
        avoid: &[Instance],
    ) -> Option<SlotGrant<PermitOf<E>>> {
        let idle = self.queues.get(&request.service)?.waiting.is_empty();
        let authorized = request.is_authorized(self.config.as_ref()?);
        if !idle || !authorized {
            return None;
        }
        let grant = self.reserve(request, avoid).ok()?;
        let queue = self.queues.get_mut(&request.service)?;
        queue.waiting.charge(&request.team, grant.cost_s);
        Some(grant)
    }

    /// Releases the slot of a finished request and corrects the charge of its team. Returns the
    /// services in which waiting requests may now start.
    pub fn release(&mut self, finished: &FinishedRequest<'_>) -> Vec<ServiceId> {
        let request = finished.request;
        self.backends.release_slot(finished.index);
        if let Some(queue) = self.queues.get_mut(&request.service) {
            queue.record_end(finished);
        }
        let mut freed = self.unblock(&request.team);
        if !freed.contains(&request.service) {
            freed.push(request.service.clone());
        }
        freed
    }

    /// Estimated upper bound of nearly all service times of `service`; `None` before the first one.
    pub fn tail_latency(&self, service: &ServiceId) -> Option<Duration> {
        self.queues.get(service)?.service_time.tail()
    }

    /// Returns the services that have a queue.
    pub fn services(&self) -> Vec<ServiceId> {
        self.queues.keys().cloned().collect()
    }

    /// Number of waiting requests of `service`.
    pub fn waiting(&self, service: &ServiceId) -> usize {
        self.queues.get(service).map_or(0, |queue| queue.waiting.len())
    }

    /// Running and waiting requests, reported to the other entry instances.
    pub fn usage(&self) -> Usage {
        let teams = self.queues.iter().flat_map(|(service, queue)| queue.usage(service)).collect();
        let busy = self.backends.iter().filter(|backend| backend.running > 0);
        let instance = |backend: &crate::backend::Backend| InstanceUsage {
            instance: backend.instance.id.clone(),
            running: backend.running,
        };
        Usage { teams, instances: busy.map(instance).collect() }
    }
}

/// Weight of a team at this entry instance, or else its configured share.
fn weight<E: Dependencies>(
    dependencies: &E,
    config: &Config,
    service: &ServiceId,
    team: &TeamId,
) -> f64 {
    let configured = || config.teams.get(team).map_or(1.0, |team| f64::from(team.share));
    dependencies.shares().weight(service, team).unwrap_or_else(configured)
}

#[cfg(test)]
mod tests;
