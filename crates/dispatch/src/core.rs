//! Queues and slots of one entry instance: who may start next, and where.
//!
//! Plain state without tasks or locks. Every test of whether a request may start (key, zone,
//! state of the instance, upper limit, slot) is made here, at the moment of the start.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{Config, Instance, ServiceId, TeamId, ZoneId};
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::backend::BackendIndex;
use crate::backends::Backends;
use crate::choice::Wish;
use crate::code::DispatchCode;
use crate::edge::{Edges, ShareSource};
use crate::fair::Ticket;
use crate::limit::LimitSource;
use crate::observe::{InstanceUsage, Usage};
use crate::order::Order;
use crate::problem::Problem;
use crate::service_queue::{ServiceQueue, Waiting, retry_later};
use crate::start::{Ended, PermitOf, Replies, Start};

/// Queues and slots of one entry instance. `R` is where the outcome of a wait goes.
pub struct Core<E: Edges, R> {
    edges: E,
    config: Option<Arc<Config>>,
    /// Index of the backend servers.
    pub backends: Backends,
    queues: HashMap<ServiceId, ServiceQueue<R>>,
    /// Services at which a team is set aside because it runs as much as it may.
    blocked: HashMap<TeamId, Vec<ServiceId>>,
    rng: SmallRng,
}

/// What keeps a request from its start for now.
enum Obstacle {
    /// No backend server has a free slot.
    NoSlot,
    /// The team runs as much as it may.
    TeamFull,
}

impl<E: Edges, R> Core<E, R> {
    /// Empty queues of an entry instance in zone `home`.
    pub fn new(edges: E, home: ZoneId, rng: SmallRng) -> Self {
        let backends = Backends::new(home);
        let (queues, blocked) = (HashMap::new(), HashMap::new());
        Self { edges, config: None, backends, queues, blocked, rng }
    }

    /// Configuration by which requests start.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Takes in a configuration and a list of instances.
    pub fn update(&mut self, config: Arc<Config>, instances: &[Instance]) {
        self.backends.rebuild(&config, instances, self.edges.peers());
        self.queues
            .retain(|service, queue| !queue.is_idle() || config.services.contains_key(service));
        self.queues.values_mut().for_each(|queue| queue.retain_teams(&config));
        self.config = Some(config);
        self.update_weights();
    }

    /// Takes in the weights and bounds of teams anew.
    pub fn update_shares(&mut self) {
        self.update_weights();
        self.unblock_all();
    }

    fn update_weights(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        for (service, queue) in &mut self.queues {
            for team in queue.fair.teams() {
                let weight = weight(&self.edges, config, service, &team);
                queue.fair.set_weight(&team, weight);
            }
        }
    }

    /// Takes in the load of the other entry instances anew.
    pub fn update_peers(&mut self) {
        self.backends.update_peers(self.edges.peers());
    }

    /// Lets all teams take their turn that were set aside because they ran as much as they might.
    pub fn unblock_all(&mut self) {
        let teams: Vec<TeamId> = self.blocked.keys().cloned().collect();
        for team in teams {
            self.unblock(&team);
        }
    }

    fn block(&mut self, service: &ServiceId, team: &TeamId) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.fair.block(team);
            self.blocked.entry(team.clone()).or_default().push(service.clone());
        }
    }

    /// Lets `team` take its turn again. Returns the services where it was set aside.
    fn unblock(&mut self, team: &TeamId) -> Vec<ServiceId> {
        let services = self.blocked.remove(team).unwrap_or_default();
        for service in &services {
            if let Some(queue) = self.queues.get_mut(service) {
                queue.fair.unblock(team);
            }
        }
        services
    }

    /// Appends a request to its queue, or refuses it at once.
    pub fn enqueue(
        &mut self,
        order: &Arc<Order>,
        reply: R,
        now: Instant,
    ) -> Result<Ticket, Problem> {
        let config = self.config.clone().ok_or(Problem::not_run(DispatchCode::NotReady))?;
        let service = config.services.get(&order.service);
        let service = service.ok_or(Problem::not_run(DispatchCode::UnknownQueue))?;
        if !self.backends.any(&order.service) {
            return Err(retry_later(DispatchCode::NoInstance, None));
        }
        if self.is_suspended(order) {
            return Err(retry_later(DispatchCode::LimitsSuspended, None));
        }
        let weight = weight(&self.edges, &config, &order.service, &order.team);
        let queue = self.queues.entry(order.service.clone()).or_default();
        let expected = queue.expected_wait(&order.team, weight);
        if queue.fair.waiting(&order.team) >= service.queue_length_max as usize {
            return Err(retry_later(DispatchCode::QueueFull, expected));
        }
        let remaining = order.deadline.saturating_duration_since(now);
        let run = queue.expected_run(&order.team);
        if expected.is_some_and(|expected| expected + run > remaining) {
            return Err(retry_later(DispatchCode::CannotStartInTime, expected));
        }
        queue.fair.set_weight(&order.team, weight);
        let waiting = Waiting { order: order.clone(), avoid: Vec::new(), reply };
        Ok(queue.fair.push_back(&order.team, waiting))
    }

    /// Puts a request that had its turn in vain before the others of its team.
    pub fn enqueue_again(&mut self, order: &Arc<Order>, avoid: Vec<Instance>, reply: R) -> Ticket {
        let queue = self.queues.entry(order.service.clone()).or_default();
        let waiting = Waiting { order: order.clone(), avoid, reply };
        queue.fair.push_front(&order.team, waiting)
    }

    /// Removes a waiting request; does nothing when it no longer waits.
    pub fn cancel(&mut self, service: &ServiceId, ticket: Ticket) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.fair.remove(ticket);
        }
    }

    /// The refusal of a request with when it should come back.
    pub fn refuse_for_now(&self, code: DispatchCode, order: &Order) -> Problem {
        let weight = self
            .config
            .as_ref()
            .map_or(1.0, |config| weight(&self.edges, config, &order.service, &order.team));
        let queue = self.queues.get(&order.service);
        retry_later(code, queue.and_then(|queue| queue.expected_wait(&order.team, weight)))
    }

    /// Whether a request's team waits for its upper limit.
    pub fn is_at_limit(&self, order: &Order) -> bool {
        self.queues.get(&order.service).is_some_and(|queue| queue.is_at_limit(&order.team))
    }

    /// Whether a request needs a permit while none is given to anybody.
    fn is_suspended(&self, order: &Order) -> bool {
        order.is_limited() && self.edges.limits().are_suspended()
    }

    /// Why the first request of `team` cannot start any more, if so.
    fn refusal(&self, service: &ServiceId, team: &TeamId, now: Instant) -> Option<Problem> {
        let (config, queue) = (self.config.as_ref()?, self.queues.get(service)?);
        let suspended = || {
            let first = queue.fair.first(team)?;
            let problem = || retry_later(DispatchCode::LimitsSuspended, None);
            self.is_suspended(&first.order).then(problem)
        };
        queue.refusal(team, config, now).or_else(suspended)
    }

    /// Starts requests of `service` while slots and upper limits allow.
    pub fn pump(&mut self, service: &ServiceId, now: Instant) -> Replies<R, PermitOf<E>> {
        let mut replies = Vec::new();
        while let Some(team) = self.queues.get(service).and_then(|queue| queue.fair.head()).cloned()
        {
            if let Some(problem) = self.refusal(service, &team, now) {
                let queue = self.queues.get_mut(service);
                if let Some(waiting) = queue.and_then(|queue| queue.fair.discard(&team)) {
                    replies.push((waiting.reply, waiting.order, Err(problem)));
                }
                continue;
            }
            match self.start_first(service, &team) {
                Ok(Some((waiting, start))) => {
                    replies.push((waiting.reply, waiting.order, Ok(start)));
                }
                Err(Obstacle::TeamFull) => {}
                Ok(None) | Err(Obstacle::NoSlot) => break,
            }
        }
        replies
    }

    /// Starts the first request of `team`, or sets the team aside.
    #[expect(clippy::type_complexity, reason = "a request and its start")]
    fn start_first(
        &mut self,
        service: &ServiceId,
        team: &TeamId,
    ) -> Result<Option<(Waiting<R>, Start<PermitOf<E>>)>, Obstacle> {
        let Some(queue) = self.queues.get_mut(service) else {
            return Ok(None);
        };
        let Some(first) = queue.fair.first(team) else {
            return Ok(None);
        };
        let (order, avoid) = (first.order.clone(), first.avoid.clone());
        let taken = self.take(&order, &avoid);
        if let Err(Obstacle::TeamFull) = taken {
            self.block(service, team);
        }
        let start = taken?;
        let queue = self.queues.get_mut(service);
        let waiting = queue.and_then(|queue| queue.fair.start(team, start.cost_s));
        Ok(waiting.map(|waiting| (waiting, start)))
    }

    /// Takes a slot and a permit for a request whose team is not charged yet.
    fn take(&mut self, order: &Order, avoid: &[Instance]) -> Result<Start<PermitOf<E>>, Obstacle> {
        let queue = self.queues.get_mut(&order.service).ok_or(Obstacle::NoSlot)?;
        let running_max = self.edges.shares().running_max(&order.service, &order.team);
        if queue.note_share(&order.team, running_max) {
            return Err(Obstacle::TeamFull);
        }
        let wish = Wish { idempotent: order.idempotent, avoid };
        let (domains, rng) = (self.edges.domains(), &mut self.rng);
        let chosen = self.backends.choose(&order.service, wish, domains, rng);
        let index = chosen.ok_or(Obstacle::NoSlot)?;
        let permit = match order.is_limited() {
            true => Some(self.edges.limits().try_acquire(&order.team).ok_or(Obstacle::TeamFull)?),
            false => None,
        };
        let cost_s = queue.begin(&order.team);
        Ok(self.hold(index, permit, cost_s))
    }

    fn hold(
        &mut self,
        index: BackendIndex,
        permit: Option<PermitOf<E>>,
        cost_s: f64,
    ) -> Start<PermitOf<E>> {
        self.backends.take_slot(index);
        let instance = self.backends.get(index).instance.clone();
        Start { index, instance, permit, cost_s }
    }

    /// Starts a second attempt of a running request on another instance, when nobody waits.
    pub fn start_second(
        &mut self,
        order: &Order,
        avoid: &[Instance],
    ) -> Option<Start<PermitOf<E>>> {
        let idle = self.queues.get(&order.service)?.fair.is_empty();
        let authorized = order.is_authorized(self.config.as_ref()?);
        if !idle || !authorized {
            return None;
        }
        let start = self.take(order, avoid).ok()?;
        let queue = self.queues.get_mut(&order.service)?;
        queue.fair.charge(&order.team, start.cost_s);
        Some(start)
    }

    /// Takes back what a started request held. Returns the services where requests may start.
    pub fn end(&mut self, ended: &Ended<'_>) -> Vec<ServiceId> {
        let order = ended.order;
        self.backends.give_slot(ended.index);
        if let Some(queue) = self.queues.get_mut(&order.service) {
            queue.end(ended);
        }
        let mut freed = self.unblock(&order.team);
        if !freed.contains(&order.service) {
            freed.push(order.service.clone());
        }
        freed
    }

    /// Duration under which nearly all answers of `service` come, once known.
    pub fn answer_tail(&self, service: &ServiceId) -> Option<Duration> {
        self.queues.get(service)?.service_time.tail()
    }

    /// Services that have a queue.
    pub fn services(&self) -> Vec<ServiceId> {
        self.queues.keys().cloned().collect()
    }

    /// Number of requests of `service` that wait.
    pub fn waiting(&self, service: &ServiceId) -> usize {
        self.queues.get(service).map_or(0, |queue| queue.fair.len())
    }

    /// What runs and waits, for the other entry instances.
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

/// Local weight of a team, or else its configured share.
fn weight<E: Edges>(edges: &E, config: &Config, service: &ServiceId, team: &TeamId) -> f64 {
    let configured = || config.teams.get(team).map_or(1.0, |team| f64::from(team.share));
    edges.shares().weight(service, team).unwrap_or_else(configured)
}

#[cfg(test)]
mod tests;
