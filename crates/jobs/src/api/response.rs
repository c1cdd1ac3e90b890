//! Calls of the job API and their responses.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::record::JobState;
use crate::spec::JobId;

/// A caller's request, with its credentials and deadline.
#[derive(Debug, Clone)]
pub struct Call {
    /// Host name of the request.
    pub host: Arc<str>,
    /// Path of the request.
    pub path: Arc<str>,
    /// The caller's API key.
    pub key: Option<Arc<str>>,
    /// When the caller's timeout ends.
    pub deadline: Instant,
}

/// Why a call is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No configuration is known yet.
    NoConfig,
    /// The configuration may be out of date, and the store is unavailable.
    Outdated,
    /// No such queue exists.
    NoQueue,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The path names no job.
    NoJob,
}

/// Response to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResponse {
    /// The job is stored.
    Accepted,
    /// The job is not stored and never will be; the caller may retry after this time.
    Refused(Duration),
    /// It is not known whether the job is stored.
    Unknown,
    /// The call is not allowed.
    Denied(Denial),
}

impl SubmitResponse {
    /// Name of the outcome, for metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused(_) => "refused",
            Self::Unknown => "unknown",
            Self::Denied(_) => "denied",
        }
    }
}

/// Response to a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResponse {
    /// The cancellation is stored.
    Accepted,
    /// No such job exists.
    NoSuchJob,
    /// It is not known whether the cancellation is stored.
    Unknown,
    /// The call is not allowed.
    Denied(Denial),
}

impl CancelResponse {
    /// Name of the outcome, for metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NoSuchJob => "no_such_job",
            Self::Unknown => "unknown",
            Self::Denied(_) => "denied",
        }
    }
}

/// Response to a query of a job's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStateResponse {
    /// State of the job.
    State(JobState),
    /// No such job exists.
    NoSuchJob,
    /// The store is unavailable.
    Unknown,
    /// The call is not allowed.
    Denied(Denial),
}

impl JobStateResponse {
    /// Name of the outcome, for metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::State(_) => "state",
            Self::NoSuchJob => "no_such_job",
            Self::Unknown => "unknown",
            Self::Denied(_) => "denied",
        }
    }
}

/// Response to a query of a queue's length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountResponse {
    /// Number of waiting jobs.
    Waiting(u32),
    /// The store is unavailable, or the count is outdated.
    Unknown,
    /// The call is not allowed.
    Denied(Denial),
}

impl CountResponse {
    /// Name of the outcome, for metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Waiting(_) => "count",
            Self::Unknown => "unknown",
            Self::Denied(_) => "denied",
        }
    }
}

/// Target of a path below a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The queue itself.
    Queue,
    /// One of its jobs.
    Job(JobId),
}
