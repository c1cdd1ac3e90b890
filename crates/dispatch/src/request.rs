//! Validates a caller's headers and converts the request for a backend server.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::Service;
use http::header::{
    AUTHORIZATION, CONNECTION, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use rand::RngExt;

use crate::code::DispatchCode;

/// Header with the request id, in requests and responses.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the time until the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header with which a backend server declares that it did not run a refused request.
pub const RUN_STATE: HeaderName = HeaderName::from_static("x-run-state");
/// Value of [`RUN_STATE`] for a request that was not run.
pub const NOT_RUN: &str = "not run";

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const REQUEST_ID_LENGTH_MAX: usize = 128;
/// Maximum number of digits of a deadline, more than any valid one has. It prevents overflow.
const DEADLINE_DIGITS_MAX: usize = 12;

/// Request id, from the caller or generated here.
pub type RequestId = Arc<str>;

/// Whether a request may run more than once: its method is idempotent (RFC 9110, 9.2.2).
///
/// An `idempotency-key` header does not make a request idempotent: it relies on the backend server
/// to detect duplicates, which no backend server of the platform guarantees. The header is
/// forwarded like any other.
pub fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

/// Returns the caller's request id, or generates one if there is none.
pub fn request_id(headers: &HeaderMap) -> Result<RequestId, DispatchCode> {
    let mut values = headers.get_all(REQUEST_ID).iter();
    let Some(value) = values.next() else {
        return Ok(generate_request_id());
    };
    let text = value.to_str().map_err(|_| DispatchCode::InvalidRequestId)?;
    let well_formed = (1..=REQUEST_ID_LENGTH_MAX).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte));
    if !well_formed || values.next().is_some() {
        return Err(DispatchCode::InvalidRequestId);
    }
    Ok(text.into())
}

fn generate_request_id() -> RequestId {
    format!("{:032x}", rand::rng().random::<u128>()).into()
}

/// Returns the time until the deadline: the caller's, or else the default of the service.
pub fn deadline(headers: &HeaderMap, service: &Service) -> Result<Duration, DispatchCode> {
    let mut values = headers.get_all(DEADLINE_MS).iter();
    let Some(value) = values.next() else {
        return Ok(service.deadline_default);
    };
    let bytes = value.as_bytes();
    let well_formed = (1..=DEADLINE_DIGITS_MAX).contains(&bytes.len())
        && bytes.iter().all(u8::is_ascii_digit)
        && values.next().is_none();
    if !well_formed {
        return Err(DispatchCode::InvalidDeadline);
    }
    let millis = bytes.iter().fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0'));
    let deadline = Duration::from_millis(millis);
    if deadline.is_zero() || deadline > service.deadline_max {
        return Err(DispatchCode::InvalidDeadline);
    }
    Ok(deadline)
}

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1).
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}

/// Converts a caller's headers into those for a backend server.
///
/// `te: trailers` is kept if the caller sent it.
pub fn forward_headers(headers: &mut HeaderMap, id: &RequestId, deadline: Duration) {
    let trailers = headers.get(TE).is_some_and(|value| value.as_bytes() == b"trailers");
    strip_hop_by_hop(headers);
    headers.remove(AUTHORIZATION);
    headers.remove(HOST);
    headers.remove(http::header::EXPECT);
    if trailers {
        headers.insert(TE, HeaderValue::from_static("trailers"));
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, value);
    }
    let millis = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_MS, HeaderValue::from(millis));
}

/// Returns the URI for the backend server: the part of the caller's URI after `/queues/{service}`.
pub fn forward_uri(uri: &Uri) -> Result<Uri, DispatchCode> {
    let text = uri.path_and_query().map_or("", |path| path.as_str());
    let rest = text.strip_prefix("/queues/").ok_or(DispatchCode::InvalidPath)?;
    let start = rest.find(['/', '?']).unwrap_or(rest.len());
    let rest = &rest[start..];
    let target = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    target.parse().map_err(|_| DispatchCode::InvalidPath)
}

#[cfg(test)]
mod tests;
