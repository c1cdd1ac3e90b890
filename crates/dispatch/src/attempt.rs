//! One attempt to run a request on one backend server.

use std::time::Duration;

use cassiafold_config::Instance;
use cassiafold_event::emit;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::accepted_request::AcceptedRequest;
use crate::body::{PreparedBody, RequestBody};
use crate::code::DispatchCode;
use crate::connection::{Connection, SendError};
use crate::dependencies::Dependencies;
use crate::event::DispatchEvent;
use crate::health::AttemptResult;
use crate::pool::{ConnectionPool, OpenError, Reuse};
use crate::problem::RunState;
use crate::request::{NOT_RUN, REQUEST_ID, RUN_STATE, forward_headers};
use crate::response_body::{ResponseBody, ResponseBodyError, ResponseConnection};
use crate::running_request::RunningRequest;
use crate::slot_grant::EndReason;

/// Longest refusal body that is read so that the connection can be reused.
const REFUSAL_BODY_MAX_BYTES: usize = 16 << 10;
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// A caller's request, ready to be sent.
#[derive(Debug)]
pub struct PreparedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query as sent to the backend server.
    pub uri: Uri,
    /// Headers as received from the caller.
    pub headers: HeaderMap,
    /// Request body.
    pub body: PreparedBody,
}

/// A failed attempt.
#[derive(Debug)]
pub struct AttemptFailure {
    /// Result code of the failure.
    pub code: DispatchCode,
    /// Whether the backend server may have run the request.
    pub run_state: RunState,
    /// The instance to which the attempt was made.
    pub instance: Instance,
}

impl AttemptFailure {
    /// Combines this failure with the outcome of a parallel attempt. A success wins; otherwise the
    /// run state is unknown if it is unknown for either attempt.
    pub fn or_else_outcome<T>(self, other: Result<T, Self>) -> Result<T, Self> {
        other.map_err(|other| match (self.run_state, other.run_state) {
            (RunState::OutcomeUnknown, RunState::NotRun) => self,
            _ => other,
        })
    }
}

/// Outcome of one attempt.
pub type AttemptOutcome<E> = Result<Response<ResponseBody<E>>, AttemptFailure>;

impl PreparedRequest {
    /// Copies the request for a hedge attempt. The copy of a streamed body is unavailable.
    pub fn copy_for_hedge(&self) -> Self {
        Self {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            body: self.body.copy_for_hedge(),
        }
    }

    /// Builds the HTTP request for one attempt. Returns `None` if a streamed body was already sent.
    fn build_request(
        &mut self,
        accepted: &AcceptedRequest,
        instance: &Instance,
    ) -> Option<Request<RequestBody>> {
        let body = self.body.take_for_attempt()?;
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        let mut headers = self.headers.clone();
        let remaining = accepted.deadline.saturating_duration_since(Instant::now());
        forward_headers(&mut headers, &accepted.id, remaining);
        if let Ok(host) = HeaderValue::from_str(&instance.address.to_string()) {
            headers.insert(HOST, host);
        }
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Options of one attempt.
#[derive(Debug, Clone)]
pub struct AttemptOptions {
    /// Which idle connections may be reused.
    pub reuse: Reuse,
    /// Maximum number of open connections to one backend server.
    pub connections_max: u32,
    /// Time without a response after which a hedge attempt may start. When it has passed, a missing
    /// response counts against the connection or the instance.
    pub hedge_delay: Duration,
    /// Cancelled when a parallel attempt has returned the response.
    pub superseded: CancellationToken,
}

/// Sends the request to the instance of `running` and checks the status and headers of the
/// response.
pub async fn run<E: Dependencies>(
    pool: &ConnectionPool<E>,
    running: RunningRequest<E>,
    prepared: &mut PreparedRequest,
    options: AttemptOptions,
) -> AttemptOutcome<E> {
    let instance = running.instance().clone();
    let accepted = running.request().clone();
    let not_run =
        |code| AttemptFailure { code, run_state: RunState::NotRun, instance: instance.clone() };
    let outcome_unknown = |code| AttemptFailure {
        code,
        run_state: RunState::OutcomeUnknown,
        instance: instance.clone(),
    };
    let opening = pool.get(instance.address, options.reuse, options.connections_max);
    let mut connection = match timeout_at(accepted.deadline, opening).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return Err(not_run(handle_connect_failure(running, &error))),
        Err(_) => {
            running.close(EndReason::NotRun);
            return Err(not_run(DispatchCode::AnswerTimeout));
        }
    };
    if !running.may_start() {
        running.close(EndReason::NotRun);
        pool.put(instance.address, connection);
        return Err(not_run(DispatchCode::NoInstance));
    }
    let Some(request) = prepared.build_request(&accepted, &instance) else {
        running.close(EndReason::NotRun);
        pool.put(instance.address, connection);
        return Err(not_run(DispatchCode::BodyBroken));
    };
    let (body_failure, sent) = (request.body().failure(), Instant::now());
    let sending = timeout_at(accepted.deadline, connection.send(request, running));
    let sending = tokio::select! {
        sending = sending => sending.map_err(|_| DispatchCode::AnswerTimeout),
        () = options.superseded.cancelled() => Err(DispatchCode::AnswerTimeout),
    };
    let response = match sending {
        Ok(Ok(response)) => response,
        Ok(Err(SendError::NotWritten(running))) => {
            running.close(EndReason::NotRun);
            return Err(not_run(body_failure.get().unwrap_or(DispatchCode::ConnectFailed)));
        }
        Ok(Err(SendError::Written)) => {
            if let Some(code) = body_failure.get() {
                return Err(outcome_unknown(code));
            }
            connection.with_running(|running| running.record(AttemptResult::Broken));
            emit!(DispatchEvent::AttemptFailed, instance = instance.id, request = accepted.id);
            return Err(outcome_unknown(DispatchCode::AnswerLost));
        }
        Err(code) => {
            if sent.elapsed() >= options.hedge_delay {
                handle_no_response(pool, &connection, &instance, sent);
            }
            return Err(outcome_unknown(code));
        }
    };
    if is_refusal(&response) {
        release_refused(pool, connection, response, &instance).await;
        return Err(not_run(DispatchCode::RefusedByInstances));
    }
    if let Some(code) = response_error(&response, &accepted, &prepared.method) {
        emit!(DispatchEvent::AnswerCrossed, instance = instance.id, request = accepted.id);
        connection.with_running(|running| running.record(AttemptResult::Broken));
        return Err(outcome_unknown(code));
    }
    let result = if response.status().is_server_error() {
        AttemptResult::ServerError
    } else {
        AttemptResult::Ok
    };
    let connection =
        ResponseConnection { connection, pool: pool.clone(), address: instance.address, result };
    let (parts, body) = response.into_parts();
    let body = ResponseBody::new(body, connection, accepted.deadline).buffer().await;
    let body = body.map_err(|error| match error {
        ResponseBodyError::Broken(_) => outcome_unknown(DispatchCode::AnswerLost),
        ResponseBodyError::Timeout => outcome_unknown(DispatchCode::AnswerTimeout),
    })?;
    Ok(Response::from_parts(parts, body))
}

/// Handles a missing response. On a reused connection, the connections may be at fault: idle ones
/// that completed no response since `since` are closed. On a new connection, the result counts
/// against the instance.
fn handle_no_response<E: Dependencies>(
    pool: &ConnectionPool<E>,
    connection: &Connection<E>,
    instance: &Instance,
    since: Instant,
) {
    if connection.reused {
        pool.close_unverified_since(instance.address, since);
    } else {
        connection.with_running(|running| running.record(AttemptResult::Silent));
    }
}

fn handle_connect_failure<E: Dependencies>(
    running: RunningRequest<E>,
    error: &OpenError,
) -> DispatchCode {
    let instance = &running.instance().id;
    emit!(DispatchEvent::AttemptFailed, instance = instance, error = error);
    match error {
        OpenError::Exhausted => running.record(AttemptResult::Refused),
        OpenError::Timeout | OpenError::Io(_) => running.record(AttemptResult::ConnectFailed),
    }
    running.close(EndReason::NotRun);
    DispatchCode::ConnectFailed
}

fn is_refusal(response: &Response<Incoming>) -> bool {
    let run_state = response.headers().get(RUN_STATE);
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && run_state.is_some_and(|value| value.as_bytes() == NOT_RUN.as_bytes())
}

/// Releases the slot of a refused request. Returns the connection to the pool if the response body
/// ends within the size and time limits.
async fn release_refused<E: Dependencies>(
    pool: &ConnectionPool<E>,
    mut connection: Connection<E>,
    response: Response<Incoming>,
    instance: &Instance,
) {
    if let Some(running) = connection.finish() {
        running.record(AttemptResult::Refused);
        running.close(EndReason::NotRun);
    }
    let body = Limited::new(response.into_body(), REFUSAL_BODY_MAX_BYTES).collect();
    if let Ok(Ok(_)) = timeout(REFUSAL_BODY_TIMEOUT, body).await {
        pool.put(instance.address, connection);
    }
}

/// Returns a result code if the response must not be forwarded: it has another request's id, or no
/// framing from which the end of its body can be determined.
fn response_error(
    response: &Response<Incoming>,
    accepted: &AcceptedRequest,
    method: &Method,
) -> Option<DispatchCode> {
    let headers = response.headers();
    let mut ids = headers.get_all(REQUEST_ID).iter();
    if ids.any(|id| id.as_bytes() != accepted.id.as_bytes()) {
        return Some(DispatchCode::AnswerCrossed);
    }
    let status = response.status();
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let bodiless = *method == Method::HEAD
        || status.is_informational()
        || [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    (!framed && !bodiless).then_some(DispatchCode::AnswerUnframed)
}
