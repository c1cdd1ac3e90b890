//! Calls of the job API and their responses.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::reason::{NoResult, UnknownReason};
use crate::record::JobState;
use crate::spec::JobId;

/// Part of a caller's timeout that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);
/// Divisor of a short timeout that gives the part reserved for sending the response.
const RESPONSE_MARGIN_DIVISOR: u32 = 2;
/// Hexadecimal digits of a job's id in a path.
const JOB_DIGITS: usize = 16;

/// A caller's request, with its credentials and deadline.
#[derive(Debug, Clone)]
pub struct Call {
    /// Host name of the request.
    pub host: Arc<str>,
    /// Path of the request.
    pub path: Arc<str>,
    /// The caller's API key.
    pub key: Option<Arc<str>>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller's timeout ends.
    pub deadline: Instant,
}

impl Call {
    /// The job that the path ends with, whether or not the call is allowed.
    pub fn job(&self) -> Option<JobId> {
        let digits = self.path.get(self.path.len().checked_sub(JOB_DIGITS)?..)?;
        parse_job_id(digits)
    }

    /// When the response has to be sent, so that it arrives within the caller's timeout.
    pub(super) fn respond_by(&self) -> Instant {
        let timeout = self.deadline.saturating_duration_since(self.arrived);
        self.deadline - RESPONSE_MARGIN.min(timeout / RESPONSE_MARGIN_DIVISOR)
    }

    /// Time that is left until the caller's timeout ends.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Parses a job's id: 16 hexadecimal digits.
pub(super) fn parse_job_id(digits: &str) -> Option<JobId> {
    let is_job =
        digits.len() == JOB_DIGITS && digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    is_job.then(|| JobId::from_str_radix(digits, 16).ok()).flatten()
}

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Submits a job.
    Submit,
    /// Cancels a job.
    Cancel,
    /// Queries the state of a job.
    StateQuery,
    /// Counts the waiting jobs of a queue.
    Count,
    /// None of these.
    Other,
}

impl CallKind {
    /// Name of the kind, for logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Cancel => "cancel",
            Self::StateQuery => "look",
            Self::Count => "count",
            Self::Other => "other",
        }
    }
}

/// Why a call is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No configuration is known yet.
    NoConfig,
    /// The configuration may be out of date, and the store is unavailable.
    Outdated,
    /// The key may have been withdrawn, and the store has not said for too long.
    KeyUnconfirmed,
    /// No such queue exists.
    NoQueue,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The path names no job.
    NoJob,
}

impl Denial {
    /// Name of the denial, for logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::Outdated => "config_outdated",
            Self::KeyUnconfirmed => "key_unconfirmed",
            Self::NoQueue => "unknown_queue",
            Self::UnknownKey => "unknown_key",
            Self::NoJob => "no_job",
        }
    }
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
            Self::Denied(denial) => denial.name(),
        }
    }

    /// Why a submission was denied. Other submissions that were not accepted have their own lines.
    pub(super) fn no_result(self) -> Option<NoResult<'static>> {
        match self {
            Self::Denied(denial) => Some(NoResult::Denied(denial)),
            Self::Accepted | Self::Refused(_) | Self::Unknown => None,
        }
    }
}

/// Response to a cancellation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelResponse {
    /// The cancellation is stored.
    Accepted,
    /// No such job exists.
    NoSuchJob,
    /// It is not known whether the cancellation is stored.
    Unknown(UnknownReason),
    /// The call is not allowed.
    Denied(Denial),
}

impl CancelResponse {
    /// Why the call has no result; `None` if it has one.
    pub(super) fn no_result(&self) -> Option<NoResult<'_>> {
        match self {
            Self::Accepted => None,
            Self::NoSuchJob => Some(NoResult::NoSuchJob),
            Self::Unknown(reason) => Some(NoResult::Unknown(reason)),
            Self::Denied(denial) => Some(NoResult::Denied(*denial)),
        }
    }
}

/// Response to a query of a job's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobStateResponse {
    /// State of the job.
    State(JobState),
    /// No such job exists.
    NoSuchJob,
    /// The state is not known.
    Unknown(UnknownReason),
    /// The call is not allowed.
    Denied(Denial),
}

impl JobStateResponse {
    /// Why the call has no result; `None` if it has one.
    pub(super) fn no_result(&self) -> Option<NoResult<'_>> {
        match self {
            Self::State(_) => None,
            Self::NoSuchJob => Some(NoResult::NoSuchJob),
            Self::Unknown(reason) => Some(NoResult::Unknown(reason)),
            Self::Denied(denial) => Some(NoResult::Denied(*denial)),
        }
    }
}

/// Response to a query of a queue's length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CountResponse {
    /// Number of waiting jobs.
    Waiting(u32),
    /// The number is not known.
    Unknown(UnknownReason),
    /// The call is not allowed.
    Denied(Denial),
}

impl CountResponse {
    /// Why the call has no result; `None` if it has one.
    pub(super) fn no_result(&self) -> Option<NoResult<'_>> {
        match self {
            Self::Waiting(_) => None,
            Self::Unknown(reason) => Some(NoResult::Unknown(reason)),
            Self::Denied(denial) => Some(NoResult::Denied(*denial)),
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
