//! Requests that were accepted and have not ended, for the graceful stop.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slab::Slab;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::order::Order;

/// Requests that were accepted and have not ended. Clones share one state.
#[derive(Debug, Clone)]
pub struct Flights {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    orders: Mutex<Slab<Arc<Order>>>,
    ended: Notify,
    metrics: Metrics,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Slab<Arc<Order>>> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One accepted request; it has ended when this is dropped.
#[derive(Debug)]
pub struct Flight {
    shared: Arc<Shared>,
    key: usize,
}

impl Flights {
    /// No requests; `metrics` shows their number.
    pub fn new(metrics: Metrics) -> Self {
        let shared = Shared { orders: Mutex::default(), ended: Notify::new(), metrics };
        Self { shared: Arc::new(shared) }
    }

    /// Notes an accepted request.
    pub fn begin(&self, order: Arc<Order>) -> Flight {
        let mut orders = self.shared.lock();
        let key = orders.insert(order);
        self.shared.metrics.in_flight(orders.len());
        Flight { shared: self.shared.clone(), key }
    }

    /// Requests that have not ended.
    pub fn list(&self) -> Vec<Arc<Order>> {
        self.shared.lock().iter().map(|(_, order)| order.clone()).collect()
    }

    /// Waits until all requests have ended.
    pub async fn all_ended(&self) {
        loop {
            let ended = self.shared.ended.notified();
            if self.shared.lock().is_empty() {
                return;
            }
            ended.await;
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut orders = self.shared.lock();
        orders.remove(self.key);
        self.shared.metrics.in_flight(orders.len());
        if orders.is_empty() {
            self.shared.ended.notify_waiters();
        }
    }
}
