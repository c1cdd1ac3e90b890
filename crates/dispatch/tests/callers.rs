//! Responses to callers: refusals, headers and bodies.

mod support;

use http::Method;
use support::{Call, CallerResponse, Fleet, KEY};

fn call_portal(fleet: &Fleet) -> Call {
    fleet.call(Method::POST, "/work", "r1")
}

fn call_without_key(fleet: &Fleet, queue: &str) -> Call {
    Call::new(fleet.server.address(), Method::POST, queue)
}

/// Sends the call and checks that the request ran if and only if it was not refused.
async fn send_checked(call: impl FnOnce(&Fleet) -> Call) -> CallerResponse {
    let fleet = Fleet::start().await;
    let response = call(&fleet).send().await;
    assert_eq!(response.code() == 0, fleet.counts.total() > 0);
    response
}

macro_rules! refusal_cases {
    ($($name:ident: $call:expr => $status:literal, $code:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let response = send_checked($call).await;
                assert_eq!((response.status.as_u16(), response.code()), ($status, $code));
                assert_eq!(response.run_state(), "not run");
                let document_type = format!("urn:cassiafold:code:{}", $code);
                assert_eq!(response.problem("type"), Some(document_type.into()));
                assert_eq!(response.problem("status"), Some($status.into()));
            }
        )+
    };
}

refusal_cases! {
    unknown_queue: |fleet| call_without_key(fleet, "/queues/nothing/a").key(KEY) => 404, 301;
    missing_key: |fleet| call_without_key(fleet, "/queues/portal/a") => 401, 302;
    wrong_key: |fleet| call_portal(fleet).key("wrong") => 401, 302;
    empty_key: |fleet| call_portal(fleet).key("") => 401, 302;
    key_of_another_scheme: |fleet| {
        call_without_key(fleet, "/queues/portal/a").header("authorization", &format!("Basic {KEY}"))
    } => 401, 302;
    two_keys: |fleet| call_portal(fleet).header("authorization", "Bearer other") => 401, 302;
    wrong_key_at_an_open_queue: |fleet| {
        call_without_key(fleet, "/queues/lookup/a").key("wrong")
    } => 401, 302;
    negative_deadline: |fleet| call_portal(fleet).header("x-deadline-ms", "-1") => 400, 307;
    zero_deadline: |fleet| call_portal(fleet).header("x-deadline-ms", "0") => 400, 307;
    absurd_deadline: |fleet| call_portal(fleet)
        .header("x-deadline-ms", "99999999999999") => 400, 307;
    malformed_request_id: |fleet| {
        call_without_key(fleet, "/queues/portal/a").key(KEY).header("x-request-id", "a b")
    } => 400, 308;
    body_too_large: |fleet| call_portal(fleet).body(vec![0; 100_001]) => 413, 309;
    no_instance: |fleet| call_without_key(fleet, "/queues/lookup/a") => 503, 303;
}

#[tokio::test]
async fn a_temporary_refusal_has_retry_after() {
    let response = send_checked(|fleet| call_without_key(fleet, "/queues/lookup/a")).await;
    assert_eq!(response.headers["retry-after"], "1");
    assert_eq!(response.problem("retry_after_s"), Some(1.into()));
}

#[tokio::test]
async fn responses_and_refusals_carry_the_request_id() {
    let fleet = Fleet::start().await;
    let response = fleet.call(Method::GET, "/a", "mine-1").send().await;
    assert_eq!(response.headers["x-request-id"], "mine-1");
    let refusal = fleet.call(Method::GET, "/a", "mine-2").key("wrong").send().await;
    assert_eq!(refusal.headers["x-request-id"], "mine-2");
    let call = Call::new(fleet.server.address(), Method::GET, "/queues/portal/a").key(KEY);
    let made = call.send().await.headers["x-request-id"].to_str().unwrap().to_owned();
    assert_eq!(fleet.counts.runs(&made), 1);
}

#[tokio::test]
async fn key_and_hop_by_hop_headers_are_not_forwarded() {
    let fleet = Fleet::start().await;
    let call = fleet.call(Method::POST, "/headers", "r1").header("connection", "x-private");
    let response = call.header("x-private", "1").header("accept", "text/plain").send().await;
    let names = String::from_utf8(response.body.unwrap().to_vec()).unwrap();
    let mut names: Vec<&str> = names.lines().collect();
    names.sort_unstable();
    assert_eq!(names, ["accept", "host", "x-deadline-ms", "x-request-id"]);
}

macro_rules! body_cases {
    ($($name:ident: $length:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let fleet = Fleet::start().await;
                let body: Vec<u8> = (0..$length).map(|index| (index % 251) as u8).collect();
                let call = fleet.call(Method::POST, "/echo", "r1").body(body.clone());
                let response = call.send().await;
                assert!(response.body.as_deref() == Some(&body[..]));
            }
        )+
    };
}

body_cases! {
    an_empty_body_is_echoed_completely: 0;
    a_buffered_body_is_echoed_completely: 16_384;
    a_streamed_body_is_echoed_completely: 100_000;
}

#[tokio::test]
async fn trailers_are_forwarded_to_a_caller_that_accepts_them() {
    let fleet = Fleet::start().await;
    let response = fleet.call(Method::GET, "/trailers", "r1").header("te", "trailers").send().await;
    assert_eq!(response.trailers.unwrap()["x-checksum"], "7");
}

#[tokio::test]
async fn a_head_response_keeps_the_declared_length() {
    let fleet = Fleet::start().await;
    let response = fleet.call(Method::HEAD, "/bytes/77", "r1").send().await;
    assert_eq!(response.headers["content-length"], "77");
    assert!(response.body.unwrap().is_empty());
}

#[tokio::test]
async fn an_open_queue_accepts_requests_without_a_key() {
    let fleet = Fleet::start().await;
    fleet.edit(|list| list.iter_mut().for_each(|instance| instance.pool = "lookup".into()));
    let response = call_without_key(&fleet, "/queues/lookup/a").send().await;
    assert_eq!(response.summary(), "200, whole");
}

#[tokio::test]
async fn sequential_requests_reuse_connections() {
    let fleet = Fleet::start().await;
    for index in 0..20 {
        let id = format!("r{index}");
        assert_eq!(fleet.call(Method::POST, "/a", &id).send().await.summary(), "200, whole");
    }
    let connections: u32 = fleet.backends.iter().map(|backend| backend.connections_max()).sum();
    assert!(connections <= 2, "{connections}");
    assert_eq!(fleet.counts.total(), 20);
}

#[tokio::test]
async fn a_leaving_entry_instance_is_live_but_not_ready() {
    let fleet = Fleet::start().await;
    let get = |path: &str| Call::new(fleet.server.address(), Method::GET, path).send();
    assert_eq!(get("/live").await.status, 200);
    assert_eq!(get("/ready").await.status, 200);
    fleet.server.caller_api().set_phase(cassiafold_dispatch::Phase::Leaving);
    assert_eq!(get("/ready").await.status, 503);
    assert_eq!(get("/live").await.status, 200);
}
