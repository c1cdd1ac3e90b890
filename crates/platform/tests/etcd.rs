//! Tests of the store client against broken connections, malformed responses and unreachable
//! addresses.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_platform::{
    CallOutcome, Compare, EtcdSettings, EtcdStore, Store, StoreCall, StoreError, StoreMetrics,
    Write, WriteOutcome,
};
use futures_util::future::join_all;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

const TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of clients, each of which starts at a random address.
const CLIENTS: usize = 40;
/// Time for which a server waits for bytes beyond the end of the request.
const READ_WAIT: Duration = Duration::from_millis(300);
const LOOPBACK: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

fn client(addresses: &[SocketAddr]) -> EtcdStore {
    client_with_timeout(addresses, TIMEOUT)
}

fn client_with_timeout(addresses: &[SocketAddr], timeout: Duration) -> EtcdStore {
    let settings = EtcdSettings { timeout, ..EtcdSettings::new(addresses.to_vec(), "entry") };
    EtcdStore::new(settings, StoreMetrics::default())
}

/// Returns an address that refuses connections while the socket is kept.
fn refusing() -> (SocketAddr, TcpSocket) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(LOOPBACK.into()).unwrap();
    (socket.local_addr().unwrap(), socket)
}

fn put() -> Write {
    Write::put("key", Compare::Absent, "value")
}

/// Serves each connection with `serve` until the handle is aborted.
async fn server<F: Future<Output = ()> + Send + 'static>(
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream));
        }
    });
    (address, task)
}

/// Reads one request.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut request = Vec::new();
    while !is_complete(&request) && stream.read_buf(&mut request).await.unwrap() > 0 {}
    String::from_utf8(request).unwrap()
}

fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.unwrap().parse::<usize>().unwrap()
}

fn http_response(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

const WRITTEN: &str = r#"{"header":{"revision":"4"},"succeeded":true}"#;

#[tokio::test]
async fn a_refused_connection_has_no_effect() {
    let (address, _socket) = refusing();
    let result = client(&[address]).write(put()).await;
    assert!(matches!(result, Err(StoreError::Unavailable(_))), "{result:?}");
}

async fn write_with_connection_closed_after(bytes: usize) {
    let (address, task) = server(move |mut stream| async move {
        let mut request = vec![0; bytes];
        let _ = tokio::time::timeout(READ_WAIT, stream.read_exact(&mut request)).await;
    })
    .await;
    let result = client(&[address]).write(put()).await;
    assert!(matches!(result, Err(StoreError::OutcomeUnknown(_))), "{bytes}: {result:?}");
    task.abort();
}

#[tokio::test]
async fn a_connection_that_breaks_after_any_byte_leaves_the_outcome_unknown() {
    join_all((1..400).map(write_with_connection_closed_after)).await;
}

#[tokio::test]
async fn a_response_truncated_at_any_byte_leaves_the_outcome_unknown() {
    let whole = http_response(WRITTEN);
    for bytes in 0..=whole.len() {
        let part = whole[..bytes].to_vec();
        let (address, task) = server(move |mut stream| {
            let part = part.clone();
            async move {
                read_request(&mut stream).await;
                stream.write_all(&part).await.unwrap();
            }
        })
        .await;
        let result = client(&[address]).write(put()).await;
        match bytes == whole.len() {
            true => assert_eq!(result, Ok(WriteOutcome::Written(4))),
            false => assert!(matches!(result, Err(StoreError::OutcomeUnknown(_))), "{result:?}"),
        }
        task.abort();
    }
}

#[tokio::test]
async fn a_silent_server_leaves_the_outcome_unknown_and_the_next_address_is_used() {
    let (silent, _task) = server(|stream| async move {
        tokio::time::sleep(TIMEOUT).await;
        drop(stream);
    })
    .await;
    let (working, _task) = server(|mut stream| async move {
        read_request(&mut stream).await;
        stream.write_all(&http_response(WRITTEN)).await.unwrap();
    })
    .await;
    let first_unknown = (0..CLIENTS).map(|_| async {
        let store = client_with_timeout(&[silent, working], SHORT_TIMEOUT);
        let first = store.write(put()).await;
        assert_eq!(store.write(put()).await, Ok(WriteOutcome::Written(4)));
        matches!(first, Err(StoreError::OutcomeUnknown(_)))
    });
    let unknown = join_all(first_unknown).await.into_iter().filter(|unknown| *unknown).count();
    assert!((1..CLIENTS).contains(&unknown), "{unknown} clients started at the silent address");
}

#[tokio::test]
async fn an_unreachable_address_does_not_block_a_reachable_one() {
    let (unreachable, _socket) = refusing();
    let (working, _task) = server(|mut stream| async move {
        read_request(&mut stream).await;
        stream.write_all(&http_response(WRITTEN)).await.unwrap();
    })
    .await;
    for _ in 0..8 {
        assert_eq!(
            client(&[unreachable, working]).write(put()).await,
            Ok(WriteOutcome::Written(4))
        );
    }
}

#[tokio::test]
async fn a_read_succeeds_after_its_idle_connection_was_closed() {
    let (address, _task) = server(|mut stream| async move {
        read_request(&mut stream).await;
        stream.write_all(&http_response(r#"{"header":{"revision":"4"}}"#)).await.unwrap();
    })
    .await;
    let store = client(&[address]);
    for _ in 0..20 {
        assert_eq!(store.get("key").await, Ok(None));
    }
}

#[tokio::test]
async fn a_reused_connection_that_breaks_fails_a_write_but_not_a_read() {
    let (address, _task) = server(|mut stream| async move {
        if read_request(&mut stream).await.contains("/v3/kv/range") {
            stream.write_all(&http_response(r#"{"header":{"revision":"4"}}"#)).await.unwrap();
            read_request(&mut stream).await;
        }
    })
    .await;
    let store = client(&[address]);
    for _ in 0..20 {
        assert_eq!(store.get("key").await, Ok(None));
    }
    let written = store.write(put()).await;
    assert!(matches!(written, Err(StoreError::OutcomeUnknown(_))), "{written:?}");
}

/// Responds to the requests of all connections in order and returns the recorded requests.
async fn scripted(responses: Vec<String>) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let requests = Arc::new(Mutex::new(Vec::new()));
    let seen = requests.clone();
    let (address, _) = server(move |mut stream| {
        let (responses, seen) = (responses.clone(), seen.clone());
        async move {
            let request = read_request(&mut stream).await;
            let number = {
                let mut seen = seen.lock().unwrap();
                seen.push(request);
                seen.len() - 1
            };
            stream.write_all(&http_response(&responses[number])).await.unwrap();
        }
    })
    .await;
    (address, requests)
}

#[tokio::test]
async fn all_pages_are_read_at_the_revision_of_the_first_page() {
    let first =
        r#"{"header":{"revision":"9"},"kvs":[{"key":"YQ==","mod_revision":"3"}],"more":true}"#;
    let second = r#"{"header":{"revision":"12"},"kvs":[{"key":"Yg==","mod_revision":"4"}]}"#;
    let (address, requests) = scripted(vec![first.into(), second.into()]).await;
    let snapshot = client(&[address]).list("").await.unwrap();
    assert_eq!((snapshot.revision, snapshot.records.len()), (9, 2));
    let requests = requests.lock().unwrap();
    assert!(!requests[0].contains("revision"), "{}", requests[0]);
    assert!(requests[1].contains(r#""revision":"9""#), "{}", requests[1]);
}

macro_rules! watch_starts {
    ($($name:ident: $lines:expr => $error:pat,)+) => {$(
        #[tokio::test]
        async fn $name() {
            let (address, _) = scripted(vec![$lines.into()]).await;
            let result = client(&[address]).watch("k", 5).await;
            assert!(matches!(result, Err($error)), "{result:?}");
        }
    )+};
}

watch_starts! {
    a_watch_after_the_revision_of_a_restored_store_is_compacted:
        "{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n"
        => StoreError::Compacted,
    a_watch_before_the_kept_history_is_compacted:
        "{\"result\":{\"header\":{},\"canceled\":true,\"compact_revision\":\"8\"}}\n"
        => StoreError::Compacted,
    a_refused_watch_is_unavailable:
        "{\"error\":{\"grpc_code\":14,\"message\":\"etcdserver: no leader\"}}\n"
        => StoreError::Unavailable(_),
    a_watch_without_confirmed_creation_is_malformed:
        "{\"result\":{\"header\":{\"revision\":\"9\"}}}\n" => StoreError::Malformed(_),
    a_watch_message_of_another_type_is_malformed: "[]\n" => StoreError::Malformed(_),
}

#[tokio::test]
async fn a_response_beyond_the_size_limit_is_refused() {
    let (address, _task) = server(|mut stream| async move {
        read_request(&mut stream).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        while stream.write_all(&[b' '; 65_536]).await.is_ok() {}
    })
    .await;
    let settings = EtcdSettings { timeout: TIMEOUT, ..EtcdSettings::new(vec![address], "entry") };
    let metrics = StoreMetrics::default();
    let store = EtcdStore::new(settings, metrics.clone());
    let refused = Err(StoreError::Malformed("answer is too large".into()));
    assert_eq!(store.get("key").await, refused);
    assert_eq!(metrics.count(StoreCall::Get, CallOutcome::Answered), 1);
}

#[test]
fn arbitrary_responses_give_typed_errors() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    };
    let http = any::<bool>();
    let mut runner = TestRunner::new(config);
    runner
        .run(&(http, any::<Vec<u8>>()), |(http, bytes)| {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", bytes.len());
            let bytes = if http { [head.as_bytes(), &bytes].concat() } else { bytes };
            runtime.block_on(check_response_bytes(bytes));
            Ok(())
        })
        .unwrap();
}

async fn check_response_bytes(bytes: Vec<u8>) {
    let (address, task) = server(move |mut stream| {
        let bytes = bytes.clone();
        async move {
            read_request(&mut stream).await;
            let _ = stream.write_all(&bytes).await;
        }
    })
    .await;
    let store = client(&[address]);
    let write = store.write(put()).await;
    assert!(matches!(write, Err(StoreError::OutcomeUnknown(_))), "{write:?}");
    let read = store.list("").await;
    let expected = matches!(read, Err(StoreError::Malformed(_) | StoreError::Unavailable(_)));
    assert!(expected, "{read:?}");
    assert!(store.watch("", 0).await.is_err());
    task.abort();
}
