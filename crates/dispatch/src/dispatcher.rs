//! Queues and slots shared by the tasks of an entry instance.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cassiafold_config::{ActiveConfig, Config, Instance, InstanceId, ServiceId, ZoneId};
use cassiafold_event::emit;
use tokio::sync::{Notify, broadcast, oneshot, watch};
use tokio::time::Instant;

use crate::backend::BackendIndex;
use crate::code::DispatchCode;
use crate::core::Core;
use crate::edge::Edges;
use crate::event::DispatchEvent;
use crate::fair::Ticket;
use crate::follow::{self, Changes};
use crate::health::{AttemptResult, Verdict};
use crate::metrics::Metrics;
use crate::observe::{Observation, Usage};
use crate::order::Order;
use crate::problem::Problem;
use crate::running::Running;
use crate::start::{Ended, PermitOf, Replies};

/// Instances of the fleet as last known, each in its pool.
pub type Instances = watch::Receiver<Arc<Vec<Instance>>>;

/// Observations kept for a receiver that lags.
const OBSERVATIONS_MAX: usize = 4_096;
/// Time for which nothing is sent to a backend server that said it is full.
const FULL_HOLD: Duration = Duration::from_millis(20);

/// Where the outcome of a wait goes.
pub(crate) type ReplySender<E> = oneshot::Sender<Result<Running<E>, Problem>>;

/// Queues and slots of one entry instance. Clones share one state.
pub struct Dispatcher<E: Edges> {
    shared: Arc<Shared<E>>,
}

impl<E: Edges> Clone for Dispatcher<E> {
    fn clone(&self) -> Self {
        Self { shared: self.shared.clone() }
    }
}

/// What the clones of a dispatcher and its running requests share.
pub(crate) struct Shared<E: Edges> {
    pub(crate) edges: E,
    state: Mutex<State<E>>,
    pub(crate) holds: Notify,
    observations: broadcast::Sender<Observation>,
    pub(crate) metrics: Metrics,
}

/// The queues and where changes of the configuration and of the instances come from.
pub(crate) struct State<E: Edges> {
    pub(crate) core: Core<E, ReplySender<E>>,
    pub(crate) config: watch::Receiver<Option<Arc<Config>>>,
    pub(crate) instances: Instances,
}

impl<E: Edges> Dispatcher<E> {
    /// Starts the queues of an entry instance in zone `home`. Must be called within a runtime.
    pub fn start(
        edges: E,
        config: &ActiveConfig,
        instances: Instances,
        home: ZoneId,
        metrics: Metrics,
    ) -> Self {
        let core = Core::new(edges.clone(), home, rand::make_rng());
        let mut state = State { core, config: config.subscribe(), instances };
        state.config.mark_changed();
        let shared = Arc::new(Shared {
            edges,
            state: Mutex::new(state),
            holds: Notify::new(),
            observations: broadcast::channel(OBSERVATIONS_MAX).0,
            metrics,
        });
        tokio::spawn(follow::run(Arc::downgrade(&shared), Changes::of(&shared)));
        Self { shared }
    }

    /// Waits for a slot at a backend server until the order's deadline.
    pub async fn acquire(&self, order: &Arc<Order>) -> Result<Running<E>, Problem> {
        let (reply, outcome) = oneshot::channel();
        let now = Instant::now();
        let (ticket, replies) = {
            let mut state = self.shared.lock();
            state.sync();
            let ticket = state.core.enqueue(order, reply, now)?;
            (ticket, state.core.pump(&order.service, now))
        };
        self.shared.deliver(replies);
        self.wait(order, ticket, outcome, now).await
    }

    /// Waits for a slot again, after `avoid` did not run the request.
    pub async fn acquire_again(
        &self,
        order: &Arc<Order>,
        avoid: Vec<Instance>,
    ) -> Result<Running<E>, Problem> {
        let (reply, outcome) = oneshot::channel();
        let now = Instant::now();
        let (ticket, replies) = {
            let mut state = self.shared.lock();
            state.sync();
            let ticket = state.core.enqueue_again(order, avoid, reply);
            (ticket, state.core.pump(&order.service, now))
        };
        self.shared.deliver(replies);
        self.wait(order, ticket, outcome, now).await
    }

    async fn wait(
        &self,
        order: &Arc<Order>,
        ticket: Ticket,
        outcome: oneshot::Receiver<Result<Running<E>, Problem>>,
        since: Instant,
    ) -> Result<Running<E>, Problem> {
        let place = Place { shared: &self.shared, order, ticket };
        let reply = tokio::time::timeout_at(order.deadline, outcome).await;
        let result = match reply {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(self.timeout(order)),
        };
        drop(place);
        self.shared.metrics.queueing(order, since.elapsed());
        result
    }

    fn timeout(&self, order: &Order) -> Problem {
        let state = self.shared.lock();
        let at_limit = state.core.is_at_limit(order);
        let code = if at_limit { DispatchCode::LimitReached } else { DispatchCode::QueueTimeout };
        state.core.refuse_for_now(code, order)
    }

    /// Takes a slot for a second attempt on another instance, if one is free and nobody waits.
    pub fn acquire_second(&self, order: &Arc<Order>, avoid: &[Instance]) -> Option<Running<E>> {
        let mut state = self.shared.lock();
        state.sync();
        let start = state.core.start_second(order, avoid)?;
        drop(state);
        Some(Running::new(&self.shared, order.clone(), start))
    }

    /// The refusal of a request with when it should come back.
    pub fn refuse_for_now(&self, code: DispatchCode, order: &Order) -> Problem {
        self.shared.lock().core.refuse_for_now(code, order)
    }

    /// Duration under which nearly all answers of `service` come, once known.
    pub fn answer_tail(&self, service: &ServiceId) -> Option<Duration> {
        self.shared.lock().core.answer_tail(service)
    }

    /// Whether any backend server is known.
    pub fn knows_instances(&self) -> bool {
        !self.shared.lock().instances.borrow().is_empty()
    }

    /// Configuration by which requests start.
    pub fn config(&self) -> Option<Arc<Config>> {
        let mut state = self.shared.lock();
        state.sync();
        state.core.config().cloned()
    }

    /// What runs and waits, for the other entry instances.
    pub fn usage(&self) -> Usage {
        self.shared.lock().core.usage()
    }

    /// Subscribes to the results of attempts from now on.
    pub fn observe(&self) -> broadcast::Receiver<Observation> {
        self.shared.observations.subscribe()
    }

    /// Metrics of the request path.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }
}

impl<E: Edges> State<E> {
    /// Takes in the configuration and the instances when either has changed.
    pub(crate) fn sync(&mut self) -> bool {
        let config_changed = self.config.has_changed().unwrap_or(false);
        let instances_changed = self.instances.has_changed().unwrap_or(false);
        if !config_changed && !instances_changed && self.core.config().is_some() {
            return false;
        }
        let Some(config) = self.config.borrow_and_update().clone() else {
            return false;
        };
        let instances = self.instances.borrow_and_update().clone();
        self.core.update(config, &instances);
        true
    }
}

impl<E: Edges> Shared<E> {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State<E>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends outcomes to their tasks. A start whose task is gone is given back when dropped.
    fn deliver(self: &Arc<Self>, replies: Replies<ReplySender<E>, PermitOf<E>>) {
        for (sender, order, reply) in replies {
            let _ = sender.send(reply.map(|start| Running::new(self, order, start)));
        }
    }

    /// Changes the state, then starts all requests that may start.
    pub(crate) fn change(self: &Arc<Self>, change: impl FnOnce(&mut Core<E, ReplySender<E>>)) {
        let now = Instant::now();
        let mut replies = Vec::new();
        {
            let mut state = self.lock();
            state.sync();
            change(&mut state.core);
            for service in state.core.services() {
                replies.extend(state.core.pump(&service, now));
                let counts = state.core.backends.counts(&service);
                self.metrics.service(&service, counts, state.core.waiting(&service));
            }
        }
        self.deliver(replies);
    }

    pub(crate) fn record(
        self: &Arc<Self>,
        index: BackendIndex,
        instance: &InstanceId,
        result: AttemptResult,
    ) {
        let at = Instant::now();
        let verdict = {
            let mut state = self.lock();
            if result == AttemptResult::Refused {
                state.core.backends.hold(index, at + FULL_HOLD);
            }
            state.core.backends.record(index, result, at)
        };
        match verdict {
            Verdict::Eject => emit!(DispatchEvent::InstanceEjected, instance = instance),
            Verdict::Returned => emit!(DispatchEvent::InstanceReturned, instance = instance),
            Verdict::Unchanged => {}
        }
        if verdict == Verdict::Eject || result == AttemptResult::Refused {
            self.holds.notify_one();
        }
        let _ = self.observations.send(Observation { instance: instance.clone(), result, at });
    }

    pub(crate) fn end(self: &Arc<Self>, ended: &Ended<'_>) {
        let now = Instant::now();
        let mut replies = Vec::new();
        {
            let mut state = self.lock();
            state.sync();
            for service in state.core.end(ended) {
                replies.extend(state.core.pump(&service, now));
            }
        }
        self.deliver(replies);
    }
}

/// The place of a waiting request, left when dropped.
struct Place<'a, E: Edges> {
    shared: &'a Arc<Shared<E>>,
    order: &'a Order,
    ticket: Ticket,
}

impl<E: Edges> Drop for Place<'_, E> {
    fn drop(&mut self) {
        self.shared.lock().core.cancel(&self.order.service, self.ticket);
    }
}

#[cfg(test)]
pub(crate) mod tests;
