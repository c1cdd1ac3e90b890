//! Metrics of the request path. Label values are configured services and teams, attempt results and
//! result codes. Values chosen by callers are never used as labels.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::ServiceId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::accepted_request::AcceptedRequest;
use crate::backends::ServiceCounts;
use crate::health::AttemptResult;
use crate::problem::Problem;

/// First bucket of duration histograms, in seconds.
const BUCKET_FIRST_S: f64 = 0.001;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 18;
/// Upper bounds of the buckets of the attempts histogram.
const ATTEMPT_BUCKETS: [f64; 6] = [1.0, 2.0, 3.0, 4.0, 6.0, 8.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabels {
    service: Arc<str>,
    team: Arc<str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: Arc<str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    service: Arc<str>,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: u16,
}

type DurationFamily = Family<TeamLabels, Histogram, fn() -> Histogram>;

/// Metrics of the request path. Clones share their state.
#[derive(Debug, Clone)]
pub struct Metrics {
    queueing: DurationFamily,
    service_time: DurationFamily,
    attempts: DurationFamily,
    results: Family<ResultLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    slots: Family<ServiceLabels, Gauge>,
    slots_held: Family<ServiceLabels, Gauge>,
    waiting: Family<ServiceLabels, Gauge>,
    ejected: Family<ServiceLabels, Gauge>,
    in_flight: Gauge,
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET_FIRST_S, BUCKET_FACTOR, BUCKET_COUNT))
}

fn attempts_histogram() -> Histogram {
    Histogram::new(ATTEMPT_BUCKETS)
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            queueing: Family::new_with_constructor(duration_histogram),
            service_time: Family::new_with_constructor(duration_histogram),
            attempts: Family::new_with_constructor(attempts_histogram),
            results: Family::default(),
            refusals: Family::default(),
            slots: Family::default(),
            slots_held: Family::default(),
            waiting: Family::default(),
            ejected: Family::default(),
            in_flight: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Registers all metrics under the prefix `dispatch`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("dispatch");
        let queueing = self.queueing.clone();
        registry.register("queueing_seconds", "Time that requests waited", queueing);
        let service_time = self.service_time.clone();
        registry.register("service_seconds", "Time that requests held a slot", service_time);
        let attempts = self.attempts.clone();
        registry.register("request_attempts", "Attempts that requests took", attempts);
        registry.register("attempt_results", "Attempts by result", self.results.clone());
        registry.register("refusals", "Refused requests by result code", self.refusals.clone());
        registry.register("slots", "Slots of instances in routing", self.slots.clone());
        let slots_held = self.slots_held.clone();
        registry.register("slots_held", "Slots held by this entry instance", slots_held);
        registry.register("waiting", "Requests in the queue", self.waiting.clone());
        registry.register("ejected", "Instances ejected from routing", self.ejected.clone());
        registry.register("in_flight", "Requests accepted and not ended", self.in_flight.clone());
    }

    pub(crate) fn record_queue_wait(&self, request: &AcceptedRequest, waited: Duration) {
        self.queueing.get_or_create(&team_labels(request)).observe(waited.as_secs_f64());
    }

    pub(crate) fn record_service_time(&self, request: &AcceptedRequest, held: Duration) {
        self.service_time.get_or_create(&team_labels(request)).observe(held.as_secs_f64());
    }

    pub(crate) fn record_attempts(&self, request: &AcceptedRequest, attempts: u32) {
        self.attempts.get_or_create(&team_labels(request)).observe(f64::from(attempts));
    }

    pub(crate) fn count_result(&self, request: &AcceptedRequest, result: AttemptResult) {
        let service = request.service.clone();
        let labels = ResultLabels { service, result: result_label(result) };
        self.results.get_or_create(&labels).inc();
    }

    pub(crate) fn count_refusal(&self, problem: &Problem) {
        let labels = RefusalLabels { code: problem.code.row().number };
        self.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn set_service_gauges(
        &self,
        service: &ServiceId,
        counts: ServiceCounts,
        waiting: usize,
    ) {
        let labels = ServiceLabels { service: service.clone() };
        self.slots.get_or_create(&labels).set(i64::from(counts.slots));
        self.slots_held.get_or_create(&labels).set(i64::from(counts.running));
        self.ejected.get_or_create(&labels).set(counts.ejected as i64);
        self.waiting.get_or_create(&labels).set(waiting as i64);
    }

    pub(crate) fn set_in_flight(&self, count: usize) {
        self.in_flight.set(count as i64);
    }
}

fn team_labels(request: &AcceptedRequest) -> TeamLabels {
    TeamLabels { service: request.service.clone(), team: request.team.clone() }
}

fn result_label(result: AttemptResult) -> &'static str {
    match result {
        AttemptResult::Ok => "ok",
        AttemptResult::ServerError => "server_error",
        AttemptResult::Refused => "refused",
        AttemptResult::ConnectFailed => "connect_failed",
        AttemptResult::Silent => "silent",
        AttemptResult::Broken => "broken",
    }
}
