//! Metrics of the job API and of the owner.
//!
//! Labels are queues, teams and outcomes. Queues and teams come from the configuration, which
//! bounds their number.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use cassiafold_config::TeamId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::clients::{CommandOutcome, MachineOutcome, RunEnd};
use crate::cluster::QueueId;
use crate::command_budget::CommandReport;
use crate::scheduler::CrashCounts;

/// Upper bound of the first bucket of durations, in seconds.
const FIRST_BUCKET_S: f64 = 0.002;
/// Number of buckets, each twice as wide as the one before.
const BUCKETS: u16 = 12;
/// Label value of calls without queue or team.
const NONE: &str = "none";

/// Labels of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Kind of the request.
    pub call: &'static str,
    /// The queue.
    pub queue: Arc<str>,
    /// The team.
    pub team: Arc<str>,
    /// Outcome of the request.
    pub outcome: &'static str,
}

/// Labels of an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Kind of the request or command.
    pub order: &'static str,
    /// Outcome of the request or command.
    pub outcome: &'static str,
}

/// Labels of commands and polls in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct InFlightLabels {
    /// Kind of the command, or a poll.
    pub order: &'static str,
}

#[derive(Debug, Clone, Copy)]
struct DurationBuckets;

impl MetricConstructor<Histogram> for DurationBuckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
    }
}

/// Counters, gauges and histograms. Clones share them.
#[derive(Debug, Clone)]
pub struct JobsMetrics {
    calls: Family<CallLabels, Counter>,
    call_seconds: Family<OutcomeLabels, Histogram, DurationBuckets>,
    commands: Family<OutcomeLabels, Counter>,
    commands_in_flight: Family<InFlightLabels, Gauge>,
    commands_in_flight_bytes: Family<InFlightLabels, Gauge>,
    commands_in_flight_oldest_s: Family<InFlightLabels, Gauge<f64, AtomicU64>>,
    ends: Family<OutcomeLabels, Counter>,
    terms: Counter,
    workers_crashed: Counter,
    tasks_given_up: Counter,
    is_owner: Gauge,
    config_version: Gauge,
    store_unavailable: Gauge,
}

impl Default for JobsMetrics {
    fn default() -> Self {
        Self {
            calls: Family::default(),
            call_seconds: Family::new_with_constructor(DurationBuckets),
            commands: Family::default(),
            commands_in_flight: Family::default(),
            commands_in_flight_bytes: Family::default(),
            commands_in_flight_oldest_s: Family::default(),
            ends: Family::default(),
            terms: Counter::default(),
            workers_crashed: Counter::default(),
            tasks_given_up: Counter::default(),
            is_owner: Gauge::default(),
            config_version: Gauge::default(),
            store_unavailable: Gauge::default(),
        }
    }
}

impl JobsMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("calls", "Requests of callers", self.calls.clone());
        registry.register_with_unit(
            "call",
            "Time until callers are answered",
            Unit::Seconds,
            self.call_seconds.clone(),
        );
        registry.register("orders", "Orders to workers and machines", self.commands.clone());
        registry.register(
            "orders_in_flight",
            "Orders to workers that were sent and have no outcome, each second",
            self.commands_in_flight.clone(),
        );
        registry.register_with_unit(
            "orders_in_flight_memory",
            "Memory that the orders in flight may take",
            Unit::Bytes,
            self.commands_in_flight_bytes.clone(),
        );
        registry.register_with_unit(
            "orders_in_flight_oldest",
            "Time since the oldest order in flight was sent",
            Unit::Seconds,
            self.commands_in_flight_oldest_s.clone(),
        );
        registry.register("ends", "Ends of runs", self.ends.clone());
        registry.register("tenures", "Tenures as owner", self.terms.clone());
        registry.register(
            "workers_crashed",
            "Workers that crashed while tasks ran on them",
            self.workers_crashed.clone(),
        );
        registry.register(
            "tasks_given_up",
            "Tasks that were given up because workers crashed under them",
            self.tasks_given_up.clone(),
        );
        registry.register("owns", "Whether this instance places the jobs", self.is_owner.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "store_unavailable_for_callers",
            "Whether calls are refused because the store counts as unavailable",
            self.store_unavailable.clone(),
        );
    }

    /// Records a caller's request.
    pub fn record_call(
        &self,
        call: &'static str,
        queue: Option<&QueueId>,
        team: Option<&TeamId>,
        outcome: &'static str,
        taken: Duration,
    ) {
        let label = |name: Option<&Arc<str>>| name.cloned().unwrap_or_else(|| NONE.into());
        let labels = CallLabels { call, queue: label(queue), team: label(team), outcome };
        self.calls.get_or_create(&labels).inc();
        let labels = OutcomeLabels { order: call, outcome };
        self.call_seconds.get_or_create(&labels).observe(taken.as_secs_f64());
    }

    /// Counts a command to a worker.
    pub fn count_command(&self, order: &'static str, outcome: CommandOutcome) {
        let outcome = match outcome {
            CommandOutcome::Accepted => "accepted",
            CommandOutcome::Refused(_) => "refused",
            CommandOutcome::NotSent => "not_sent",
            CommandOutcome::Unknown => "unknown",
        };
        self.commands.get_or_create(&OutcomeLabels { order, outcome }).inc();
    }

    /// Counts a command to a machine.
    pub fn count_machine_command(&self, order: &'static str, outcome: MachineOutcome) {
        let outcome = match outcome {
            MachineOutcome::Accepted => "accepted",
            MachineOutcome::Busy => "busy",
            MachineOutcome::Fenced => "fenced",
            MachineOutcome::Refused => "refused",
            MachineOutcome::Unknown => "unknown",
        };
        self.commands.get_or_create(&OutcomeLabels { order, outcome }).inc();
    }

    /// Counts a poll of a worker.
    pub fn count_poll(&self, is_successful: bool) {
        let outcome = if is_successful { "answered" } else { "failed" };
        self.commands.get_or_create(&OutcomeLabels { order: "look", outcome }).inc();
    }

    /// Records what is on the way to workers.
    pub fn set_commands_in_flight(&self, report: &CommandReport) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        for kind in report.kinds {
            let labels = InFlightLabels { order: kind.kind.name() };
            self.commands_in_flight.get_or_create(&labels).set(gauge(kind.usage.commands));
            let bytes = i64::try_from(kind.usage.bytes).unwrap_or(i64::MAX);
            self.commands_in_flight_bytes.get_or_create(&labels).set(bytes);
            let oldest_s = kind.oldest_age.as_secs_f64();
            self.commands_in_flight_oldest_s.get_or_create(&labels).set(oldest_s);
        }
        let labels = InFlightLabels { order: "look" };
        self.commands_in_flight.get_or_create(&labels).set(gauge(report.polls));
    }

    /// Records that this instance, which is no longer the owner, has nothing on the way.
    pub fn clear_commands_in_flight(&self) {
        self.commands_in_flight.clear();
        self.commands_in_flight_bytes.clear();
        self.commands_in_flight_oldest_s.clear();
    }

    /// Counts the end of a run.
    pub fn count_run_end(&self, end: RunEnd) {
        let outcome = match end {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Stopped => "stopped",
            RunEnd::Expired => "expired",
            RunEnd::Broken => "broken",
            RunEnd::Alone => "alone",
        };
        self.ends.get_or_create(&OutcomeLabels { order: "run", outcome }).inc();
    }

    /// Adds crashes of workers, and the tasks that were given up for them.
    pub fn count_crashes(&self, counts: CrashCounts) {
        self.workers_crashed.inc_by(counts.workers_crashed);
        self.tasks_given_up.inc_by(counts.tasks_given_up);
    }

    /// Records whether this instance is the owner.
    pub fn set_is_owner(&self, is_owner: bool) {
        self.is_owner.set(i64::from(is_owner));
        if is_owner {
            self.terms.inc();
        }
    }

    /// Records whether calls are refused because the store counts as unavailable.
    pub fn set_store_unavailable(&self, is_unavailable: bool) {
        self.store_unavailable.set(i64::from(is_unavailable));
    }

    /// Records the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}
