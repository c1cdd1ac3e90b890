//! Refusals of the operators' interface as problem documents (RFC 9457).

use axum::response::{IntoResponse, Response};
use cassiafold_config::{Faults, Version};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

use crate::code::OperatorsCode;
use crate::edit::EditError;
use crate::source::MoveRefusal;
use crate::versions::PatchError;

/// Media type of a problem document.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Numbered reason.
    pub code: OperatorsCode,
    /// What went wrong this time.
    pub detail: Option<String>,
    /// Version of the configuration, where the request named another.
    pub current_version: Option<Version>,
    /// Write id with which the request can be repeated.
    pub write_id: Option<String>,
    /// Faults of the new configuration or of the request.
    pub faults: Faults,
}

/// Wire form of [`Problem`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireProblem {
    /// Identifies the kind of problem.
    pub r#type: String,
    /// Meaning of the code.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Number of the code in `docs/CODES.md`.
    pub code: u16,
    /// What went wrong this time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Version of the configuration, where the request named another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<Version>,
    /// Write id with which the request can be repeated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_id: Option<String>,
    /// Faults of the new configuration or of the request.
    #[serde(default, skip_serializing_if = "Faults::is_empty")]
    pub faults: Faults,
}

impl From<OperatorsCode> for Problem {
    fn from(code: OperatorsCode) -> Self {
        let faults = Faults::default();
        Self { code, detail: None, current_version: None, write_id: None, faults }
    }
}

impl Problem {
    /// Adds what went wrong this time.
    pub fn with_detail(mut self, detail: impl ToString) -> Self {
        self.detail = Some(detail.to_string());
        self
    }

    /// A refusal of a patch that was made from another version.
    pub fn stale(current: Version) -> Self {
        Self { current_version: Some(current), ..OperatorsCode::VersionStale.into() }
    }

    /// A refusal of a configuration with faults.
    pub fn invalid(faults: Faults) -> Self {
        Self { faults, ..OperatorsCode::ConfigInvalid.into() }
    }

    /// A request that cannot be understood.
    pub fn malformed(detail: impl ToString) -> Self {
        Self::from(OperatorsCode::RequestMalformed).with_detail(detail)
    }
}

impl From<PatchError> for Problem {
    fn from(error: PatchError) -> Self {
        let code = match &error {
            PatchError::Unavailable(_) => OperatorsCode::StoreUnavailable,
            PatchError::Contended => OperatorsCode::Contended,
            PatchError::OutcomeUnknown => OperatorsCode::OutcomeUnknown,
            PatchError::Behind { .. } => OperatorsCode::VersionBehind,
            PatchError::Malformed(_) => OperatorsCode::StoredConfigInvalid,
        };
        Self::from(code).with_detail(error)
    }
}

impl From<EditError<Problem>> for Problem {
    fn from(error: EditError<Problem>) -> Self {
        match error {
            EditError::Refused(problem) => problem,
            EditError::NoConfig => OperatorsCode::NotReady.into(),
            EditError::Invalid(faults) => Self::invalid(faults),
            EditError::Patch(error) => error.into(),
        }
    }
}

impl From<MoveRefusal> for Problem {
    fn from(refusal: MoveRefusal) -> Self {
        let code = match &refusal {
            MoveRefusal::Refused(_) => OperatorsCode::MoveRefused,
            MoveRefusal::Unavailable(_) => OperatorsCode::StoreUnavailable,
            MoveRefusal::OutcomeUnknown(_) => OperatorsCode::OutcomeUnknown,
        };
        Self::from(code).with_detail(refusal)
    }
}

impl From<Problem> for WireProblem {
    fn from(problem: Problem) -> Self {
        let row = problem.code.row();
        Self {
            r#type: format!("urn:cassiafold:code:{}", row.number),
            title: row.meaning.to_owned(),
            status: row.http_status,
            code: row.number,
            detail: problem.detail,
            current_version: problem.current_version,
            write_id: problem.write_id,
            faults: problem.faults,
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let wire = WireProblem::from(self);
        let status = StatusCode::from_u16(wire.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = (status, axum::Json(wire)).into_response();
        let content_type = HeaderValue::from_static(PROBLEM_JSON);
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }
}
