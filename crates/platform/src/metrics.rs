//! Metrics of the calls to the key-value service.

use std::fmt::{self, Write};
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Upper bound of the first histogram bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.000_5;
/// Number of histogram buckets; each bound is twice the previous one.
const BUCKETS: u16 = 14;

/// Kind of a call to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreCall {
    /// Read of one key.
    Get,
    /// Read of one page of a key range.
    List,
    /// Compare-and-swap of one key.
    Write,
    /// Grant of a lease.
    GrantLease,
    /// Renewal of a lease.
    KeepAlive,
    /// Revocation of a lease.
    RevokeLease,
    /// Opening of a watch stream, counted once however long the stream lasts.
    Watch,
}

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The service responded.
    Answered,
    /// The call had no effect.
    Failed,
    /// The response was lost; the call may have had an effect.
    Unknown,
}

impl EncodeLabelValue for StoreCall {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Write => "write",
            Self::GrantLease => "grant_lease",
            Self::KeepAlive => "keep_alive",
            Self::RevokeLease => "revoke_lease",
            Self::Watch => "watch",
        })
    }
}

impl EncodeLabelValue for CallOutcome {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}

/// Labels of the counter of calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Kind of the call.
    pub call: StoreCall,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

/// Labels of the histogram of durations.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabels {
    /// Kind of the call.
    pub call: StoreCall,
}

/// Counts and durations of calls, by kind. Clones share one state.
#[derive(Debug, Clone)]
pub struct StoreMetrics {
    calls: Family<CallLabels, Counter>,
    durations: Family<KindLabels, Histogram, fn() -> Histogram>,
}

impl Default for StoreMetrics {
    fn default() -> Self {
        Self { calls: Family::default(), durations: Family::new_with_constructor(histogram) }
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

impl StoreMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "store_calls",
            "Calls to the key-value service; a waiting watch is one call",
            self.calls.clone(),
        );
        registry.register_with_unit(
            "store_call_duration",
            "Time to the answer of a call to the key-value service",
            Unit::Seconds,
            self.durations.clone(),
        );
    }

    /// Records a call that has ended. For a watch that is when its stream has opened.
    pub fn record(&self, call: StoreCall, outcome: CallOutcome, duration: Duration) {
        self.calls.get_or_create(&CallLabels { call, outcome }).inc();
        self.durations.get_or_create(&KindLabels { call }).observe(duration.as_secs_f64());
    }

    /// Returns the number of calls of this kind with this outcome.
    pub fn count(&self, call: StoreCall, outcome: CallOutcome) -> u64 {
        self.calls.get_or_create(&CallLabels { call, outcome }).get()
    }
}

#[cfg(test)]
mod tests;
