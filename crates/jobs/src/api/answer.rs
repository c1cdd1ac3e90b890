//! What callers ask, and what they are answered.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::record::JobState;
use crate::spec::JobId;

/// A caller's request, with what the caller shows and how long it waits.
#[derive(Debug, Clone)]
pub struct Call {
    /// Host name that the caller addressed.
    pub host: Arc<str>,
    /// Path that the caller addressed.
    pub path: Arc<str>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Why a call is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No configuration is known yet.
    NoConfig,
    /// The configuration may be out of date, and the store does not answer.
    Outdated,
    /// No such queue exists.
    NoQueue,
    /// The key is missing or unknown.
    UnknownKey,
    /// The path names no job.
    NoJob,
}

/// Answer to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResponse {
    /// The job is stored.
    Accepted,
    /// The job is not stored and never will be; the caller may come back after this time.
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

/// Answer to a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResponse {
    /// The cancel is stored.
    Accepted,
    /// No such job exists.
    NoSuchJob,
    /// It is not known whether the cancel is stored.
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

/// Answer to a question about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStateResponse {
    /// State of the job.
    State(JobState),
    /// No such job exists.
    NoSuchJob,
    /// The store did not answer.
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

/// Answer to a question about a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountResponse {
    /// Jobs that wait.
    Waiting(u32),
    /// The store did not answer.
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

/// What a path below a queue names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The queue itself.
    Queue,
    /// One of its jobs.
    Job(JobId),
}
