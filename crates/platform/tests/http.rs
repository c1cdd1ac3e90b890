//! The HTTP client against a peer that never answers.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use cassiafold_platform::{CallError, HttpClient};
use http::Request;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// What the peer sees of a connection on which a call was given up, after the request itself.
async fn end_of_a_given_up_call(resets: bool) -> std::io::Result<usize> {
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
    let answer = call.await.expect("call");
    assert!(matches!(answer, Err(CallError::Unanswered { .. })), "{answer:?}");
    let mut bytes = [0; 1_000];
    loop {
        match peer.read(&mut bytes).await {
            Ok(0) => return Ok(0),
            Ok(_) => {}
            Err(error) => return Err(error),
        }
    }
}

/// What a partition holds up of a request is lost with a reset. Otherwise it would be carried out
/// when the partition ends.
#[tokio::test]
async fn a_given_up_call_resets_its_connection() {
    let end = end_of_a_given_up_call(true).await;
    assert_eq!(end.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn a_client_without_resets_closes_its_connection() {
    assert_eq!(end_of_a_given_up_call(false).await.expect("end"), 0);
}
