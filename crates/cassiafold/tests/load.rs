//! Runs the load tool against a scripted entry instance.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use axum::Router;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use tokio::net::TcpListener;
use tokio::process::Command;

const REQUESTS: u32 = 90;
const RESPONSE_DELAY: Duration = Duration::from_millis(50);
const PROBLEM: [(header::HeaderName, &str); 1] =
    [(header::CONTENT_TYPE, "application/problem+json")];

/// Starts a server that alternates between success, a refusal that was not run and a refusal whose
/// outcome is unknown. Returns its address and the number of requests served.
async fn start_entry() -> (SocketAddr, Arc<AtomicU32>) {
    let served = Arc::new(AtomicU32::new(0));
    let count = served.clone();
    let router = Router::new().fallback(async move |headers: HeaderMap| -> Response {
        assert_eq!(headers[header::AUTHORIZATION], "Bearer secret");
        match count.fetch_add(1, Ordering::SeqCst) % 3 {
            0 => "answer".into_response(),
            1 => (
                StatusCode::TOO_MANY_REQUESTS,
                PROBLEM,
                r#"{"status":429,"code":304,"run_state":"not run"}"#,
            )
                .into_response(),
            _ => (
                StatusCode::BAD_GATEWAY,
                PROBLEM,
                r#"{"status":502,"code":306,"run_state":"outcome unknown"}"#,
            )
                .into_response(),
        }
    });
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, served)
}

async fn load(address: SocketAddr, arguments: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_cassiafold"))
        .args(["load", "--queue", "portal", "--address", &address.to_string()])
        .args(arguments)
        .env("CASSIAFOLD_KEY", "secret")
        .output()
        .await
        .unwrap()
}

#[tokio::test]
async fn outcomes_are_counted_by_status_code_and_run_state() {
    let (address, served) = start_entry().await;
    let requests = REQUESTS.to_string();
    let arguments = ["--requests", &requests, "--rate", "1000", "--output", "json"];
    let output = load(address, &arguments).await;
    assert!(output.status.success());
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(served.load(Ordering::SeqCst), REQUESTS);
    assert_eq!(report["requests"], REQUESTS);
    let expected = serde_json::json!([
        {"outcome": "answered", "status": 200, "code": null, "run": "unsaid", "count": 30},
        {"outcome": "answered", "status": 429, "code": 304, "run": "not_run", "count": 30},
        {"outcome": "answered", "status": 502, "code": 306, "run": "outcome_unknown", "count": 30},
    ]);
    assert_eq!(report["results"], expected);
}

#[tokio::test]
async fn the_duration_of_a_run_limits_its_requests() {
    let (address, served) = start_entry().await;
    let output = load(address, &["--duration-s", "1", "--rate", "20"]).await;
    assert!(output.status.success());
    assert_eq!(served.load(Ordering::SeqCst), 20);
}

#[tokio::test]
async fn latency_is_measured_from_the_scheduled_send_time() {
    let router = Router::new().fallback(async || tokio::time::sleep(RESPONSE_DELAY).await);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    let arguments = "--concurrency 1 --requests 10 --rate 1000 --output json";
    let arguments: Vec<&str> = arguments.split(' ').collect();
    let output = load(address, &arguments).await;
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let min_latency = RESPONSE_DELAY * 10 - Duration::from_millis(10);
    let longest_ms = report["latency_ms"]["max"].as_f64().unwrap();
    assert!(longest_ms >= min_latency.as_secs_f64() * 1_000.0 * 0.99, "{longest_ms} ms");
}

#[tokio::test]
async fn an_unresponsive_entry_instance_does_not_prolong_the_run() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let arguments = "--concurrency 1 --duration-s 1 --timeout-ms 500 --rate 1000 --output json";
    let arguments: Vec<&str> = arguments.split(' ').collect();
    let output = load(address, &arguments).await;
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let (sent, unsent) = (report["requests"].as_u64().unwrap(), report["unsent"].as_u64().unwrap());
    assert_eq!(sent + unsent, 1_000);
    assert!((1..=4).contains(&sent), "{sent} requests sent");
    assert_eq!(report["results"][0]["outcome"], "timed_out");
}

macro_rules! refused {
    ($($name:ident: $address:literal, $arguments:expr;)+) => {$(
        #[tokio::test]
        async fn $name() {
            let output = load($address.parse().unwrap(), &$arguments).await;
            assert_eq!(output.status.code(), Some(2));
        }
    )+};
}

refused! {
    an_address_off_the_loopback_interface_is_refused: "192.0.2.1:80", ["--requests", "1"];
    too_many_requests_are_refused: "127.0.0.1:80", ["--requests", "200001"];
    too_high_a_rate_is_refused: "127.0.0.1:80", ["--rate", "5001"];
    too_long_a_run_is_refused: "127.0.0.1:80", ["--duration-s", "601"];
    too_many_concurrent_requests_are_refused: "127.0.0.1:80", ["--concurrency", "257"];
}
