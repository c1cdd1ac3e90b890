//! A running request, with its slot and permit.

use std::sync::Arc;

use cassiafold_config::Instance;
use tokio::time::Instant;

use crate::accepted_request::AcceptedRequest;
use crate::dependencies::Dependencies;
use crate::dispatcher::Shared;
use crate::health::AttemptResult;
use crate::limit::LimitSource;
use crate::slot_grant::{EndReason, FinishedRequest, PermitOf, SlotGrant};

/// A request that holds a slot and a permit until it is closed or dropped.
pub struct RunningRequest<E: Dependencies> {
    shared: Arc<Shared<E>>,
    request: Arc<AcceptedRequest>,
    grant: SlotGrant<PermitOf<E>>,
    since: Instant,
    end_reason: EndReason,
}

impl<E: Dependencies> RunningRequest<E> {
    pub(crate) fn new(
        shared: &Arc<Shared<E>>,
        request: Arc<AcceptedRequest>,
        grant: SlotGrant<PermitOf<E>>,
    ) -> Self {
        let since = Instant::now();
        Self { shared: shared.clone(), request, grant, since, end_reason: EndReason::Abandoned }
    }

    /// The instance on which the request runs.
    pub fn instance(&self) -> &Instance {
        &self.grant.instance
    }

    /// The request.
    pub fn request(&self) -> &Arc<AcceptedRequest> {
        &self.request
    }

    /// Whether the request may still start on its instance. Checked again after a connection was
    /// opened, because the configuration, the list of instances or the validity of the permit may
    /// have changed since the grant.
    pub fn may_start(&self) -> bool {
        let limits = self.shared.dependencies.limits();
        if self.grant.permit.as_ref().is_some_and(|permit| !limits.is_valid(permit)) {
            return false;
        }
        let mut state = self.shared.lock();
        state.sync();
        let Some(config) = state.scheduler.config() else {
            return false;
        };
        self.request.is_authorized(config)
            && state.scheduler.backends.accepts_requests(self.grant.index, &self.request.service)
    }

    /// Records the result of the attempt for health and metrics.
    pub fn record(&self, result: AttemptResult) {
        self.shared.record(self.grant.index, &self.grant.instance.id, result);
        self.shared.metrics.count_result(&self.request, result);
    }

    /// Releases slot and permit.
    pub fn close(mut self, end_reason: EndReason) {
        self.end_reason = end_reason;
    }
}

impl<E: Dependencies> Drop for RunningRequest<E> {
    fn drop(&mut self) {
        drop(self.grant.permit.take());
        let held = self.since.elapsed();
        if self.end_reason == EndReason::Completed {
            self.shared.metrics.record_service_time(&self.request, held);
        }
        self.shared.release(&FinishedRequest {
            request: &self.request,
            index: self.grant.index,
            cost_s: self.grant.cost_s,
            held,
            end_reason: self.end_reason,
        });
    }
}
