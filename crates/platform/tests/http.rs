//! Tests of the HTTP client against a peer that never responds.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use cassiafold_platform::{CallError, HttpClient};
use http::Request;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Returns how the connection of a call that timed out ends at the peer.
async fn connection_end_after_timeout(resets: bool) -> std::io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let mut client = HttpClient::new(&[address], "test");
    if resets {
        client = client.with_resets();
    }
    let request = Request::builder().uri("/").body(Bytes::new()).expect("request");
    let deadline = Instant::now() + Duration::from_millis(100);
    let call = tokio::spawn(async move { client.call(request, deadline, 1_000).await });
    let (mut peer, _) = listener.accept().await.expect("connection");
    let result = call.await.expect("call");
    assert!(matches!(result, Err(CallError::Unanswered { .. })), "{result:?}");
    let mut bytes = [0; 1_000];
    loop {
        match peer.read(&mut bytes).await {
            Ok(0) => return Ok(0),
            Ok(_) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Without the reset, a request that a network partition has delayed would still be delivered and
/// executed when the partition ends.
#[tokio::test]
async fn a_call_that_times_out_resets_its_connection() {
    let end = connection_end_after_timeout(true).await;
    assert_eq!(end.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn a_client_without_resets_closes_its_connection() {
    assert_eq!(connection_end_after_timeout(false).await.expect("end"), 0);
}
