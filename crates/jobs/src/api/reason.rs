//! Reasons for which a call has no result.

use std::fmt;
use std::sync::Arc;

use cassiafold_platform::{Record, Revision, StoreError};
use tokio::time::Instant;

use super::Denial;

/// A call to the store for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOperation {
    /// Reads the configuration.
    ReadConfig,
    /// Reads the state of a job.
    ReadState,
    /// Reads an accepted job.
    ReadJob,
    /// Reads the number of waiting jobs.
    ReadCount,
    /// Writes an accepted job.
    WriteJob,
    /// Writes the cancellation of a job.
    WriteCancel,
}

impl fmt::Display for StoreOperation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::ReadConfig => "read_config",
            Self::ReadState => "read_state",
            Self::ReadJob => "read_job",
            Self::ReadCount => "read_count",
            Self::WriteJob => "write_job",
            Self::WriteCancel => "write_cancel",
        })
    }
}

/// Why the store counts as unavailable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreLoss {
    /// When the call failed.
    pub since: Instant,
    /// The call that failed.
    pub operation: StoreOperation,
    /// Its error.
    pub error: StoreError,
}

/// A record in the store that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableRecord {
    /// Key of the record.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: Revision,
    /// Error of the decoder.
    pub error: Arc<str>,
}

/// Describes a record that cannot be decoded.
pub(super) fn unreadable(record: &Record, error: &impl fmt::Display) -> UnreadableRecord {
    UnreadableRecord {
        key: record.key.clone(),
        revision: record.revision,
        error: error.to_string().into(),
    }
}

/// Why a query, cancellation or count has no result although the call is allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnknownReason {
    /// The store counted as unavailable when the call arrived, or from then on before it was
    /// answered.
    StoreUnavailable(StoreLoss),
    /// Calls to the store failed until the caller's deadline; the error of the last one.
    StoreFailed(StoreError),
    /// The record that decides cannot be decoded.
    RecordUnreadable(UnreadableRecord),
    /// The caller's deadline leaves no time for a read.
    DeadlineTooShort,
    /// The number of waiting jobs was counted too long ago.
    CountOutdated,
}

impl UnknownReason {
    /// Name of the reason, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::StoreUnavailable(_) => "store_unavailable",
            Self::StoreFailed(_) => "store_failed",
            Self::RecordUnreadable(_) => "record_unreadable",
            Self::DeadlineTooShort => "deadline_too_short",
            Self::CountOutdated => "count_outdated",
        }
    }
}

/// A call that ends without what its caller asked for.
pub(super) enum NoResult<'a> {
    /// The result is not known.
    Unknown(&'a UnknownReason),
    /// The call is not allowed.
    Denied(Denial),
    /// No such job exists.
    NoSuchJob,
    /// The result came after the caller's deadline.
    Late,
    /// The caller closed the connection before the response.
    Abandoned,
}

impl NoResult<'_> {
    /// Name of the reason, for logs and metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Unknown(reason) => reason.name(),
            Self::Denied(denial) => denial.name(),
            Self::NoSuchJob => "no_such_job",
            Self::Late => "late",
            Self::Abandoned => "abandoned",
        }
    }
}
