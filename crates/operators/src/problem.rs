//! Errors of the operators' interface as problem documents (RFC 9457).

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

/// An error response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Result code.
    pub code: OperatorsCode,
    /// Details of this occurrence.
    pub detail: Option<String>,
    /// Current version of the configuration, when the request named another one.
    pub current_version: Option<Version>,
    /// Write id to repeat the request with.
    pub write_id: Option<String>,
    /// Faults found in the new configuration or in the request.
    pub faults: Faults,
}

/// JSON form of [`Problem`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireProblem {
    /// URN that identifies the kind of problem by its code.
    pub r#type: String,
    /// Meaning of the code.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Number of the code in `docs/CODES.md`.
    pub code: u16,
    /// Details of this occurrence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Current version of the configuration, when the request named another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<Version>,
    /// Write id to repeat the request with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_id: Option<String>,
    /// Faults found in the new configuration or in the request.
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
    /// Adds details of this occurrence.
    pub fn with_detail(mut self, detail: impl ToString) -> Self {
        self.detail = Some(detail.to_string());
        self
    }

    /// Returns the problem for a patch whose base is not the current version.
    pub fn stale(current: Version) -> Self {
        Self { current_version: Some(current), ..OperatorsCode::VersionStale.into() }
    }

    /// Returns the problem for a patch that would make the configuration invalid.
    pub fn invalid(faults: Faults) -> Self {
        Self { faults, ..OperatorsCode::ConfigInvalid.into() }
    }

    /// Returns the problem for a request that cannot be parsed.
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
