//! Metrics of callers' connections.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabels {
    /// The limit that was reached.
    pub limit: &'static str,
}

/// Gauges and counters. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct IngressMetrics {
    connections: Gauge,
    body_bytes: Gauge,
    closed: Family<LimitLabels, Counter>,
    refused: Family<LimitLabels, Counter>,
}

impl IngressMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        let Self { connections, body_bytes, closed, refused } = self.clone();
        registry.register("caller_connections", "Open connections of callers", connections);
        registry.register(
            "caller_body_bytes",
            "Bytes that request bodies of callers hold",
            body_bytes,
        );
        registry.register(
            "caller_connections_closed",
            "Connections of callers that were closed for others, by limit",
            closed,
        );
        registry.register(
            "caller_connections_refused",
            "Connections and bodies of callers that were refused, by limit",
            refused,
        );
    }

    pub(crate) fn set_connections(&self, count: usize) {
        self.connections.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(crate) fn add_body_bytes(&self, bytes: i64) {
        self.body_bytes.inc_by(bytes);
    }

    pub(crate) fn count_closed(&self, limit: &'static str) {
        self.closed.get_or_create(&LimitLabels { limit }).inc();
    }

    pub(crate) fn count_refused(&self, limit: &'static str) {
        self.refused.get_or_create(&LimitLabels { limit }).inc();
    }
}
