//! Queues and slots shared by the tasks of an entry instance.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use cassiafold_config::{ActiveConfig, Config, Instance, InstanceId, ServiceId, ZoneId};
use cassiafold_event::emit;
use tokio::sync::{Notify, broadcast, oneshot, watch};
use tokio::time::Instant;

use crate::backends::BackendIndex;
use crate::code::DispatchCode;
use crate::core::{Core, End, Ended, PermitOf, Replies, Start};
use crate::edge::{Edges, PeerLoad, ShareSource};
use crate::event::DispatchEvent;
use crate::fair::Ticket;
use crate::health::{AttemptResult, Verdict};
use crate::limit::LimitSource;
use crate::metrics::Metrics;
use crate::observe::{Observation, Usage};
use crate::order::Order;
use crate::problem::Problem;

/// Instances of the fleet as last known, each in its pool.
pub type Instances = watch::Receiver<Arc<Vec<Instance>>>;

/// Observations kept for a receiver that lags.
const OBSERVATIONS_MAX: usize = 4_096;
/// Time for which nothing is sent to a backend server that said it is full.
const FULL_HOLD: Duration = Duration::from_millis(20);

type ReplySender<E> = oneshot::Sender<Result<Running<E>, Problem>>;

/// Queues and slots of one entry instance. Clones share one state.
pub struct Dispatcher<E: Edges> {
    shared: Arc<Shared<E>>,
}

impl<E: Edges> Clone for Dispatcher<E> {
    fn clone(&self) -> Self {
        Self { shared: self.shared.clone() }
    }
}

struct Shared<E: Edges> {
    edges: E,
    state: Mutex<State<E>>,
    holds: Notify,
    observations: broadcast::Sender<Observation>,
    metrics: Metrics,
}

struct State<E: Edges> {
    core: Core<E, ReplySender<E>>,
    config: watch::Receiver<Option<Arc<Config>>>,
    instances: Instances,
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
        tokio::spawn(follow(Arc::downgrade(&shared), Changes::of(&shared)));
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
        Problem::not_run(code).with_retry_after(state.core.retry_after(order))
    }

    /// Takes a slot for a second attempt on another instance, if one is free and nobody waits.
    pub fn acquire_second(&self, order: &Arc<Order>, avoid: &[Instance]) -> Option<Running<E>> {
        let mut state = self.shared.lock();
        state.sync();
        let start = state.core.start_second(order, avoid)?;
        drop(state);
        Some(Running::new(&self.shared, order.clone(), start))
    }

    /// When a request that is refused now should come back.
    pub fn retry_after(&self, order: &Order) -> Duration {
        self.shared.lock().core.retry_after(order)
    }

    /// Duration under which nearly all answers of `service` come, once known.
    pub fn answer_tail(&self, service: &ServiceId) -> Option<Duration> {
        self.shared.lock().core.answer_tail(service)
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
    fn sync(&mut self) -> bool {
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
    fn lock(&self) -> MutexGuard<'_, State<E>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends outcomes to their tasks. A start whose task is gone is given back when dropped.
    fn deliver(self: &Arc<Self>, replies: Replies<ReplySender<E>, PermitOf<E>>) {
        for (sender, order, reply) in replies {
            let _ = sender.send(reply.map(|start| Running::new(self, order, start)));
        }
    }

    /// Changes the state, then starts all requests that may start.
    fn change(self: &Arc<Self>, change: impl FnOnce(&mut Core<E, ReplySender<E>>)) {
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

    fn record(self: &Arc<Self>, index: BackendIndex, instance: &InstanceId, result: AttemptResult) {
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

    fn end(self: &Arc<Self>, ended: &Ended<'_>) {
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

/// A request that holds a slot and a permit until it is closed or dropped.
pub struct Running<E: Edges> {
    shared: Arc<Shared<E>>,
    order: Arc<Order>,
    start: Start<PermitOf<E>>,
    since: Instant,
    end: End,
}

impl<E: Edges> Running<E> {
    fn new(shared: &Arc<Shared<E>>, order: Arc<Order>, start: Start<PermitOf<E>>) -> Self {
        let since = Instant::now();
        Self { shared: shared.clone(), order, start, since, end: End::Abandoned }
    }

    /// Where the request runs.
    pub fn instance(&self) -> &Instance {
        &self.start.instance
    }

    /// The request.
    pub fn order(&self) -> &Arc<Order> {
        &self.order
    }

    /// Whether the request may still start at its instance: asked once more after a connection
    /// was made, when the configuration or the list of instances has changed since.
    pub fn may_start(&self) -> bool {
        let mut state = self.shared.lock();
        state.sync();
        let Some(config) = state.core.config() else {
            return false;
        };
        self.order.is_authorized(config)
            && state.core.backends.takes_work(self.start.index, &self.order.service)
    }

    /// Notes what the attempt showed about the instance.
    pub fn record(&self, result: AttemptResult) {
        self.shared.record(self.start.index, &self.start.instance.id, result);
        self.shared.metrics.attempt(&self.order, result);
    }

    /// Gives slot and permit back.
    pub fn close(mut self, end: End) {
        self.end = end;
    }
}

impl<E: Edges> Drop for Running<E> {
    fn drop(&mut self) {
        drop(self.start.permit.take());
        let held = self.since.elapsed();
        if self.end == End::Completed {
            self.shared.metrics.service_time(&self.order, held);
        }
        self.shared.end(&Ended {
            order: &self.order,
            index: self.start.index,
            cost_s: self.start.cost_s,
            held,
            end: self.end,
        });
    }
}

/// Notifications of all sources.
struct Changes {
    config: watch::Receiver<Option<Arc<Config>>>,
    instances: Instances,
    limits: watch::Receiver<()>,
    shares: watch::Receiver<()>,
    peers: watch::Receiver<()>,
}

impl Changes {
    fn of<E: Edges>(shared: &Shared<E>) -> Self {
        let state = shared.lock();
        Self {
            config: state.config.clone(),
            instances: state.instances.clone(),
            limits: shared.edges.limits().changes(),
            shares: shared.edges.shares().changes(),
            peers: shared.edges.peers().changes(),
        }
    }
}

/// Starts what may start whenever a source changes or a hold ends, until the queues are gone.
async fn follow<E: Edges>(weak: Weak<Shared<E>>, mut changes: Changes) {
    loop {
        let Some(shared) = weak.upgrade() else {
            return;
        };
        let hold_end = shared.lock().core.backends.next_hold_end();
        let holds = shared.holds.notified();
        tokio::select! {
            () = changed(&mut changes.config) => shared.change(|_| {}),
            () = changed(&mut changes.instances) => shared.change(|_| {}),
            () = changed(&mut changes.limits) => shared.change(Core::unblock_all),
            () = changed(&mut changes.shares) => shared.change(Core::update_shares),
            () = changed(&mut changes.peers) => shared.change(Core::update_peers),
            () = holds => {}
            () = sleep_until(hold_end) => {
                let now = Instant::now();
                shared.change(|core| core.backends.end_holds(now));
            }
            () = tokio::time::sleep(GAUGE_INTERVAL) => shared.change(|_| {}),
        }
    }
}

/// How often the gauges are brought up to date when nothing else happens.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

async fn changed<T>(receiver: &mut watch::Receiver<T>) {
    if receiver.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn sleep_until(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}
