//! Refusals as problem details (RFC 9457).

use std::time::Duration;

use axum::response::{IntoResponse, Response};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use serde::Serialize;

use crate::code::DispatchCode;

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RunState {
    /// No backend server received any byte of the request, or each that did refused to run it.
    #[serde(rename = "not run")]
    NotRun,
    /// A backend server may have run the request.
    #[serde(rename = "outcome unknown")]
    OutcomeUnknown,
}

/// A refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Result code.
    pub code: DispatchCode,
    /// Whether the request may have run.
    pub run_state: RunState,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct WireProblem {
    r#type: String,
    title: &'static str,
    status: u16,
    code: u16,
    run_state: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl Problem {
    /// Creates a refusal of a request that was not run.
    pub fn not_run(code: DispatchCode) -> Self {
        Self { code, run_state: RunState::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that a backend server may have run.
    pub fn outcome_unknown(code: DispatchCode) -> Self {
        Self { code, run_state: RunState::OutcomeUnknown, retry_after: None }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

impl From<&Problem> for WireProblem {
    fn from(problem: &Problem) -> Self {
        let row = problem.code.row();
        Self {
            r#type: format!("urn:cassiafold:code:{}", row.number),
            title: row.meaning,
            status: row.http_status,
            code: row.number,
            run_state: problem.run_state,
            retry_after_s: problem
                .retry_after
                .map(|wait| (wait.as_secs_f64().ceil() as u64).max(1)),
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let wire = WireProblem::from(&self);
        let status = StatusCode::from_u16(wire.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let retry_after_s = wire.retry_after_s;
        let mut response = (status, axum::Json(wire)).into_response();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(seconds) = retry_after_s {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
