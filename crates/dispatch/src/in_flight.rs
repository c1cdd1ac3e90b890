//! Requests in flight (accepted and not ended), for the graceful stop.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slab::Slab;
use tokio::sync::Notify;

use crate::accepted_request::AcceptedRequest;
use crate::metrics::Metrics;

/// The requests in flight of one entry instance. Clones share their state.
#[derive(Debug, Clone)]
pub struct InFlightRequests {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    requests: Mutex<Slab<Arc<AcceptedRequest>>>,
    ended: Notify,
    metrics: Metrics,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Slab<Arc<AcceptedRequest>>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request in flight, which ends on drop.
#[derive(Debug)]
pub struct InFlightGuard {
    shared: Arc<Shared>,
    key: usize,
}

impl InFlightRequests {
    /// Creates an empty set whose size is exported by `metrics`.
    pub fn new(metrics: Metrics) -> Self {
        let shared = Shared { requests: Mutex::default(), ended: Notify::new(), metrics };
        Self { shared: Arc::new(shared) }
    }

    /// Adds an accepted request.
    pub fn track(&self, request: Arc<AcceptedRequest>) -> InFlightGuard {
        let mut requests = self.shared.lock();
        let key = requests.insert(request);
        self.shared.metrics.set_in_flight(requests.len());
        InFlightGuard { shared: self.shared.clone(), key }
    }

    /// Returns the requests that have not ended.
    pub fn list(&self) -> Vec<Arc<AcceptedRequest>> {
        self.shared.lock().iter().map(|(_, request)| request.clone()).collect()
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

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut requests = self.shared.lock();
        requests.remove(self.key);
        self.shared.metrics.set_in_flight(requests.len());
        if requests.is_empty() {
            self.shared.ended.notify_waiters();
        }
    }
}
