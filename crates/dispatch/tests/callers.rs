//! What callers are told: refusals, headers, bodies.

mod support;

use http::Method;
use support::{Call, Fleet, KEY, Told};

fn portal(fleet: &Fleet) -> Call {
    fleet.call(Method::POST, "/work", "r1")
}

fn without_key(fleet: &Fleet, queue: &str) -> Call {
    Call::new(fleet.server.address(), Method::POST, queue)
}

/// Sends the call and checks that nothing ran for a refusal.
async fn told(call: impl FnOnce(&Fleet) -> Call) -> Told {
    let fleet = Fleet::start().await;
    let told = call(&fleet).send().await;
    assert_eq!(told.code() == 0, fleet.counts.total() > 0);
    told
}

macro_rules! refusal_cases {
    ($($name:ident: $call:expr => $status:literal, $code:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let told = told($call).await;
                assert_eq!((told.status.as_u16(), told.code()), ($status, $code));
                assert_eq!(told.run_state(), "not run");
                let document_type = format!("urn:cassiafold:code:{}", $code);
                assert_eq!(told.problem("type"), Some(document_type.into()));
                assert_eq!(told.problem("status"), Some($status.into()));
            }
        )+
    };
}

refusal_cases! {
    unknown_queue: |fleet| without_key(fleet, "/queues/nothing/a").key(KEY) => 404, 301;
    missing_key: |fleet| without_key(fleet, "/queues/portal/a") => 401, 302;
    wrong_key: |fleet| portal(fleet).key("wrong") => 401, 302;
    empty_key: |fleet| portal(fleet).key("") => 401, 302;
    key_of_another_scheme: |fleet| {
        without_key(fleet, "/queues/portal/a").header("authorization", &format!("Basic {KEY}"))
    } => 401, 302;
    two_keys: |fleet| portal(fleet).header("authorization", "Bearer other") => 401, 302;
    wrong_key_at_an_open_queue: |fleet| {
        without_key(fleet, "/queues/lookup/a").key("wrong")
    } => 401, 302;
    negative_deadline: |fleet| portal(fleet).header("x-deadline-ms", "-1") => 400, 307;
    zero_deadline: |fleet| portal(fleet).header("x-deadline-ms", "0") => 400, 307;
    absurd_deadline: |fleet| portal(fleet).header("x-deadline-ms", "99999999999999") => 400, 307;
    malformed_request_id: |fleet| {
        without_key(fleet, "/queues/portal/a").key(KEY).header("x-request-id", "a b")
    } => 400, 308;
    body_too_large: |fleet| portal(fleet).body(vec![0; 100_001]) => 413, 309;
    no_instance: |fleet| without_key(fleet, "/queues/lookup/a") => 503, 303;
}

#[tokio::test]
async fn a_refusal_that_can_pass_says_when_to_come_back() {
    let told = told(|fleet| without_key(fleet, "/queues/lookup/a")).await;
    assert_eq!(told.headers["retry-after"], "1");
    assert_eq!(told.problem("retry_after_s"), Some(1.into()));
}

#[tokio::test]
async fn the_answer_and_a_refusal_carry_the_request_id() {
    let fleet = Fleet::start().await;
    let answer = fleet.call(Method::GET, "/a", "mine-1").send().await;
    assert_eq!(answer.headers["x-request-id"], "mine-1");
    let refusal = fleet.call(Method::GET, "/a", "mine-2").key("wrong").send().await;
    assert_eq!(refusal.headers["x-request-id"], "mine-2");
    let call = Call::new(fleet.server.address(), Method::GET, "/queues/portal/a").key(KEY);
    let made = call.send().await.headers["x-request-id"].to_str().unwrap().to_owned();
    assert_eq!(fleet.counts.runs(&made), 1);
}

#[tokio::test]
async fn the_backend_server_sees_neither_key_nor_hop_by_hop_headers() {
    let fleet = Fleet::start().await;
    let call = fleet.call(Method::POST, "/headers", "r1").header("connection", "x-private");
    let told = call.header("x-private", "1").header("accept", "text/plain").send().await;
    let names = String::from_utf8(told.body.unwrap().to_vec()).unwrap();
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
                let told = call.send().await;
                assert!(told.body.as_deref() == Some(&body[..]));
            }
        )+
    };
}

body_cases! {
    an_empty_body_comes_back_whole: 0;
    a_held_body_comes_back_whole: 16_384;
    a_streamed_body_comes_back_whole: 100_000;
}

#[tokio::test]
async fn trailers_reach_a_caller_that_takes_them() {
    let fleet = Fleet::start().await;
    let told = fleet.call(Method::GET, "/trailers", "r1").header("te", "trailers").send().await;
    assert_eq!(told.trailers.unwrap()["x-checksum"], "7");
}

#[tokio::test]
async fn a_head_answer_keeps_the_declared_length() {
    let fleet = Fleet::start().await;
    let told = fleet.call(Method::HEAD, "/bytes/77", "r1").send().await;
    assert_eq!(told.headers["content-length"], "77");
    assert!(told.body.unwrap().is_empty());
}

#[tokio::test]
async fn an_open_queue_takes_work_without_a_key() {
    let fleet = Fleet::start().await;
    fleet.edit(|list| list.iter_mut().for_each(|instance| instance.pool = "lookup".into()));
    let told = without_key(&fleet, "/queues/lookup/a").send().await;
    assert_eq!(told.summary(), "200, whole");
}

#[tokio::test]
async fn answers_follow_one_another_on_one_connection() {
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
async fn readiness_needs_a_configuration() {
    let fleet = Fleet::start().await;
    let get = |path: &str| Call::new(fleet.server.address(), Method::GET, path).send();
    assert_eq!(get("/live").await.status, 200);
    assert_eq!(get("/ready").await.status, 200);
    fleet.server.caller_api().set_phase(cassiafold_dispatch::Phase::Leaving);
    assert_eq!(get("/ready").await.status, 503);
    assert_eq!(get("/live").await.status, 200);
}
