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

use crate::backends::{BackendIndex, Backends, Wish};
use crate::code::DispatchCode;
use crate::edge::{Edges, ShareSource};
use crate::estimate::Estimate;
use crate::fair::{FairQueue, Ticket};
use crate::limit::LimitSource;
use crate::observe::{InstanceUsage, TeamUsage, Usage};
use crate::order::Order;
use crate::problem::Problem;

/// Permit type of the upper limits of `E`.
pub type PermitOf<E> = <<E as Edges>::Limits as LimitSource>::Permit;

/// Slot time that a first request of a team is charged, in seconds.
const COST_FIRST_S: f64 = 0.05;
/// Wait that a caller is told when nothing is known about the queue.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// Permission to run one request at one backend server.
#[derive(Debug)]
pub struct Start<P> {
    /// Position of the backend server in the index.
    pub index: BackendIndex,
    /// The backend server.
    pub instance: Instance,
    /// Permit under the team's upper limit.
    pub permit: Option<P>,
    /// Slot time that the team was charged, in seconds.
    pub cost_s: f64,
}

/// A request that waits for its turn.
#[derive(Debug)]
pub struct Waiting<R> {
    /// The request.
    pub order: Arc<Order>,
    /// Instances that failed the request before.
    pub avoid: Vec<Instance>,
    /// Where the outcome of the wait goes.
    pub reply: R,
}

/// Outcome of a wait, for the request's task.
pub type Reply<P> = Result<Start<P>, Problem>;

/// Outcomes to deliver, each with where it goes.
pub type Replies<R, P> = Vec<(R, Arc<Order>, Reply<P>)>;

/// How a started request ended, for the accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A whole answer came.
    Completed,
    /// No backend server ran it.
    NotRun,
    /// It was given up or broke off.
    Abandoned,
}

/// What a started request gives back at its end.
#[derive(Debug)]
pub struct Ended<'a> {
    /// The request.
    pub order: &'a Order,
    /// Position of the backend server in the index.
    pub index: BackendIndex,
    /// Slot time that the team was charged, in seconds.
    pub cost_s: f64,
    /// Time for which the slot was held.
    pub held: Duration,
    /// How the request ended.
    pub end: End,
}

#[derive(Debug)]
struct ServiceQueue<R> {
    fair: FairQueue<Waiting<R>>,
    teams: HashMap<TeamId, TeamAccount>,
    running: u32,
    service_time: Estimate,
}

#[derive(Debug, Default)]
struct TeamAccount {
    running: u32,
    service_time: Estimate,
    /// Whether the team was set aside because it runs its part of the slots.
    over_share: bool,
}

impl<R> Default for ServiceQueue<R> {
    fn default() -> Self {
        Self {
            fair: FairQueue::default(),
            teams: HashMap::new(),
            running: 0,
            service_time: Estimate::default(),
        }
    }
}

/// Queues and slots of one entry instance. `R` is where the outcome of a wait goes.
pub struct Core<E: Edges, R> {
    edges: E,
    config: Option<Arc<Config>>,
    /// Index of the backend servers.
    pub backends: Backends,
    queues: HashMap<ServiceId, ServiceQueue<R>>,
    rng: SmallRng,
}

impl<E: Edges, R> Core<E, R> {
    /// Empty queues of an entry instance in zone `home`.
    pub fn new(edges: E, home: ZoneId, rng: SmallRng) -> Self {
        let backends = Backends::new(home);
        Self { edges, config: None, backends, queues: HashMap::new(), rng }
    }

    /// Configuration by which requests start.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Takes in a configuration and a list of instances.
    pub fn update(&mut self, config: Arc<Config>, instances: &[Instance]) {
        self.backends.rebuild(&config, instances, self.edges.peers());
        self.queues.retain(|service, queue| {
            queue.running > 0 || !queue.fair.is_empty() || config.services.contains_key(service)
        });
        for queue in self.queues.values_mut() {
            queue.teams.retain(|team, known| known.running > 0 || config.teams.contains_key(team));
            queue.fair.retain(|team| config.teams.contains_key(team));
        }
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

    /// Lets all teams take their turn that were set aside for their upper limit.
    pub fn unblock_all(&mut self) {
        for queue in self.queues.values_mut() {
            for team in queue.fair.blocked() {
                queue.fair.unblock(&team);
            }
        }
    }

    /// Appends a request to its queue, or refuses it at once.
    pub fn enqueue(
        &mut self,
        order: &Arc<Order>,
        reply: R,
        now: Instant,
    ) -> Result<Ticket, Problem> {
        let config = self.config.clone().ok_or(Problem::not_run(DispatchCode::NotReady))?;
        let service = config
            .services
            .get(&order.service)
            .ok_or(Problem::not_run(DispatchCode::UnknownQueue))?;
        if !self.backends.any(&order.service) {
            return Err(retry_later(DispatchCode::NoInstance, None));
        }
        let expected = self.expected_wait(order);
        let run = self.expected_run(order);
        let weight = weight(&self.edges, &config, &order.service, &order.team);
        let queue = self.queues.entry(order.service.clone()).or_default();
        if queue.fair.waiting(&order.team) >= service.queue_length_max as usize {
            return Err(retry_later(DispatchCode::QueueFull, expected));
        }
        let remaining = order.deadline.saturating_duration_since(now);
        if expected.is_some_and(|expected| expected + run > remaining) {
            return Err(retry_later(DispatchCode::CannotStartInTime, expected));
        }
        queue.fair.set_weight(&order.team, weight);
        let (order, avoid) = (order.clone(), Vec::new());
        let team = order.team.clone();
        let waiting = Waiting { order, avoid, reply };
        Ok(queue.fair.push_back(&team, waiting))
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

    /// When a request that is refused now should come back.
    pub fn retry_after(&self, order: &Order) -> Duration {
        self.expected_wait(order).unwrap_or(RETRY_AFTER_DEFAULT)
    }

    /// Whether a request's team waits for its upper limit.
    pub fn is_at_limit(&self, order: &Order) -> bool {
        let Some(queue) = self.queues.get(&order.service) else {
            return false;
        };
        let over_share = queue.teams.get(&order.team).is_some_and(|team| team.over_share);
        queue.fair.is_blocked(&order.team) && !over_share
    }

    /// Expected wait of a request that arrives now: what waits before it over the rate at which
    /// slots come free. `None` while nothing is known, or while nothing waits.
    fn expected_wait(&self, order: &Order) -> Option<Duration> {
        let queue = self.queues.get(&order.service)?;
        if queue.fair.is_empty() || queue.running == 0 {
            return None;
        }
        let mean_s = queue.service_time.mean_s()?;
        let ahead = queue.fair.waiting(&order.team) as f64 + 1.0;
        let wait_s = if queue.fair.is_blocked(&order.team) {
            let running = queue.teams.get(&order.team).map_or(0, |team| team.running);
            ahead * mean_s / f64::from(running.max(1))
        } else {
            let rate = f64::from(queue.running) / mean_s.max(f64::MIN_POSITIVE);
            let weight = self.weight_of(order);
            let mut total_weight = queue.fair.backlog_weight();
            if queue.fair.waiting(&order.team) == 0 {
                total_weight += weight;
            }
            let by_share_s = ahead * total_weight / weight / rate;
            let by_queue_s = (queue.fair.len() as f64 + 1.0) / rate;
            by_share_s.min(by_queue_s)
        };
        Duration::try_from_secs_f64(wait_s).ok()
    }

    /// Mean time that requests of the team take once started; zero while nothing is known.
    fn expected_run(&self, order: &Order) -> Duration {
        let Some(queue) = self.queues.get(&order.service) else {
            return Duration::ZERO;
        };
        let account = queue.teams.get(&order.team);
        expected_run(account, &queue.service_time)
    }

    fn weight_of(&self, order: &Order) -> f64 {
        let Some(config) = &self.config else {
            return 1.0;
        };
        weight(&self.edges, config, &order.service, &order.team)
    }

    /// Starts requests of `service` while slots and upper limits allow.
    pub fn pump(&mut self, service: &ServiceId, now: Instant) -> Replies<R, PermitOf<E>> {
        let mut replies = Vec::new();
        let Some(config) = self.config.clone() else {
            return replies;
        };
        let Some(queue) = self.queues.get_mut(service) else {
            return replies;
        };
        while let Some(team) = queue.fair.head().cloned() {
            let Some(waiting) = queue.fair.first(&team) else {
                break;
            };
            // Where others wait too, a request that would hardly end in time leaves its slot to them.
            let run = match queue.fair.len() {
                1 => Duration::ZERO,
                _ => expected_run(queue.teams.get(&team), &queue.service_time),
            };
            if let Some(code) = refusal(&waiting.order, &config, now + run) {
                if let Some(waiting) = queue.fair.discard(&team) {
                    replies.push((waiting.reply, waiting.order, Err(Problem::not_run(code))));
                }
                continue;
            }
            let account = queue.teams.entry(team.clone()).or_default();
            let running_max = self.edges.shares().running_max(service, &team);
            account.over_share = running_max.is_some_and(|most| account.running >= most.max(1));
            if account.over_share {
                queue.fair.block(&team);
                continue;
            }
            let wish = Wish { idempotent: waiting.order.idempotent, avoid: &waiting.avoid };
            let domains = self.edges.domains();
            let Some(index) = self.backends.choose(service, wish, domains, &mut self.rng) else {
                break;
            };
            let limited = waiting.order.is_limited();
            let permit = limited.then(|| self.edges.limits().try_acquire(&team));
            let permit = match permit {
                Some(None) => {
                    queue.fair.block(&team);
                    continue;
                }
                Some(permit) => permit,
                None => None,
            };
            let cost_s = cost_s(account, &queue.service_time);
            account.running += 1;
            queue.running += 1;
            self.backends.take_slot(index);
            let instance = self.backends.get(index).instance.clone();
            let start = Start { index, instance, permit, cost_s };
            if let Some(waiting) = queue.fair.start(&team, cost_s) {
                replies.push((waiting.reply, waiting.order, Ok(start)));
            }
        }
        replies
    }

    /// Starts a second attempt of a running request on another instance, when nobody waits.
    pub fn start_second(
        &mut self,
        order: &Order,
        avoid: &[Instance],
    ) -> Option<Start<PermitOf<E>>> {
        let config = self.config.clone()?;
        let queue = self.queues.get_mut(&order.service)?;
        if !queue.fair.is_empty() || !order.is_authorized(&config) {
            return None;
        }
        let wish = Wish { idempotent: order.idempotent, avoid };
        let domains = self.edges.domains();
        let index = self.backends.choose(&order.service, wish, domains, &mut self.rng)?;
        let permit = match order.is_limited() {
            true => Some(self.edges.limits().try_acquire(&order.team)?),
            false => None,
        };
        let account = queue.teams.entry(order.team.clone()).or_default();
        let cost_s = cost_s(account, &queue.service_time);
        account.running += 1;
        queue.running += 1;
        queue.fair.charge(&order.team, cost_s);
        self.backends.take_slot(index);
        let instance = self.backends.get(index).instance.clone();
        Some(Start { index, instance, permit, cost_s })
    }

    /// Takes back what a started request held. Returns the services where requests may start.
    pub fn end(&mut self, ended: &Ended<'_>) -> Vec<ServiceId> {
        let order = ended.order;
        self.backends.give_slot(ended.index);
        if let Some(queue) = self.queues.get_mut(&order.service) {
            queue.running -= 1;
            let account = queue.teams.entry(order.team.clone()).or_default();
            account.running = account.running.saturating_sub(1);
            if ended.end == End::Completed {
                account.service_time.record(ended.held);
                queue.service_time.record(ended.held);
            }
            let used_s = if ended.end == End::NotRun { 0.0 } else { ended.held.as_secs_f64() };
            queue.fair.charge(&order.team, used_s - ended.cost_s);
        }
        let mut freed = vec![order.service.clone()];
        for (service, queue) in &mut self.queues {
            if queue.fair.is_blocked(&order.team) {
                queue.fair.unblock(&order.team);
                freed.push(service.clone());
            }
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
        let mut usage = Usage::default();
        for (service, queue) in &self.queues {
            for (team, account) in &queue.teams {
                let waiting = queue.fair.waiting(team) as u32;
                if account.running > 0 || waiting > 0 {
                    usage.teams.push(TeamUsage {
                        service: service.clone(),
                        team: team.clone(),
                        running: account.running,
                        waiting,
                    });
                }
            }
            for (team, waiting) in queue.fair.backlog() {
                if !queue.teams.contains_key(team) {
                    usage.teams.push(TeamUsage {
                        service: service.clone(),
                        team: team.clone(),
                        running: 0,
                        waiting: waiting as u32,
                    });
                }
            }
        }
        let busy = self.backends.iter().filter(|backend| backend.running > 0);
        usage.instances = busy
            .map(|backend| InstanceUsage {
                instance: backend.instance.id.clone(),
                running: backend.running,
            })
            .collect();
        usage
    }
}

fn retry_later(code: DispatchCode, expected: Option<Duration>) -> Problem {
    Problem::not_run(code).with_retry_after(expected.unwrap_or(RETRY_AFTER_DEFAULT))
}

/// Why a waiting request may not start at all, if so. `end` is the earliest time at which its
/// answer is expected.
fn refusal(order: &Order, config: &Config, end: Instant) -> Option<DispatchCode> {
    if order.deadline <= end {
        return Some(DispatchCode::QueueTimeout);
    }
    (!order.is_authorized(config)).then_some(DispatchCode::InvalidKey)
}

fn expected_run(account: Option<&TeamAccount>, service_time: &Estimate) -> Duration {
    let of_team = account.and_then(|account| account.service_time.mean_s());
    let mean_s = of_team.or(service_time.mean_s()).unwrap_or(0.0);
    Duration::try_from_secs_f64(mean_s).unwrap_or_default()
}

fn cost_s(account: &TeamAccount, service_time: &Estimate) -> f64 {
    let known = account.service_time.mean_s().or(service_time.mean_s());
    known.unwrap_or(COST_FIRST_S)
}

/// Local weight of a team, or else its configured share.
fn weight<E: Edges>(edges: &E, config: &Config, service: &ServiceId, team: &TeamId) -> f64 {
    let configured = || config.teams.get(team).map_or(1.0, |team| f64::from(team.share));
    edges.shares().weight(service, team).unwrap_or_else(configured)
}

#[cfg(test)]
mod tests;
