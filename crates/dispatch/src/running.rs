//! A request that runs, with the slot and the permit that it holds.

use std::sync::Arc;

use cassiafold_config::Instance;
use tokio::time::Instant;

use crate::dispatcher::Shared;
use crate::edge::Edges;
use crate::health::AttemptResult;
use crate::limit::LimitSource;
use crate::order::Order;
use crate::start::{End, Ended, PermitOf, Start};

/// A request that holds a slot and a permit until it is closed or dropped.
pub struct Running<E: Edges> {
    shared: Arc<Shared<E>>,
    order: Arc<Order>,
    start: Start<PermitOf<E>>,
    since: Instant,
    end: End,
}

impl<E: Edges> Running<E> {
    pub(crate) fn new(
        shared: &Arc<Shared<E>>,
        order: Arc<Order>,
        start: Start<PermitOf<E>>,
    ) -> Self {
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
    /// was made, as the configuration, the list of instances or the hold on the upper limit may
    /// have changed since.
    pub fn may_start(&self) -> bool {
        let limits = self.shared.edges.limits();
        if self.start.permit.as_ref().is_some_and(|permit| !limits.holds(permit)) {
            return false;
        }
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
