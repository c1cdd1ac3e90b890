use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::*;

async fn send_request(backend: &Backend, request: &str) -> String {
    let mut stream = TcpStream::connect(backend.address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut response = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut response)).await;
    String::from_utf8(response).unwrap()
}

const GET: &str = "GET /a HTTP/1.1\r\nhost: b\r\nx-request-id: r1\r\n\r\n";

#[tokio::test]
async fn a_chunked_body_is_read_whole_and_echoed() {
    let backend = Backend::start("b".into(), BackendCounts::default()).await.unwrap();
    let request = "POST /echo HTTP/1.1\r\nx-request-id: r1\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let response = send_request(&backend, request).await;
    assert!(response.ends_with("\r\n\r\nabcde"), "{response}");
    assert_eq!(backend.counts.runs("r1"), 1);
}

#[tokio::test]
async fn queued_faults_are_injected_once_and_in_order() {
    let backend = Backend::start("b".into(), BackendCounts::default()).await.unwrap();
    backend.faults.queue(Fault::ResetAfterRun);
    backend.faults.queue(Fault::RefuseNotRun);
    assert_eq!(send_request(&backend, GET).await, "");
    assert!(send_request(&backend, GET).await.contains("x-run-state: not run"));
    assert!(send_request(&backend, GET).await.ends_with("served by b\n"));
    assert_eq!(backend.counts.runs("r1"), 2);
}

#[tokio::test]
async fn a_full_backend_server_rejects_requests_without_running_them() {
    let run_time = Duration::from_millis(200);
    let options = BackendOptions { slots: 1, run_time, ..BackendOptions::default() };
    let counts = BackendCounts::default();
    let backend = Backend::start_with("b".into(), counts, options).await.unwrap();
    let (one, other) = tokio::join!(send_request(&backend, GET), send_request(&backend, GET));
    let refused = [one, other].iter().filter(|response| response.contains("not run")).count();
    assert_eq!((refused, backend.counts.total()), (1, 1));
}
