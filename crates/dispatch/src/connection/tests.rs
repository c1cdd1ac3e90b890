use tokio::net::TcpListener;

use crate::dependencies::Sources;
use crate::dispatcher::tests::setup;
use crate::observe::Usage;

use super::*;

async fn connect() -> (Connection<Sources>, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connection, accepted) = tokio::join!(Connection::open(address, ()), listener.accept());
    (connection.unwrap(), accepted.unwrap().0)
}

fn request() -> Request<RequestBody> {
    Request::new(RequestBody::Buffered { data: None, trailers: None })
}

#[tokio::test]
async fn a_request_on_a_closed_connection_is_returned_as_not_written() {
    let setup = setup();
    let (mut connection, stream) = connect().await;
    drop(stream);
    while !connection.is_closed() {
        tokio::task::yield_now().await;
    }
    let running = setup.dispatcher.acquire(&setup.request).await.unwrap();
    let error = connection.send(request(), running).await.unwrap_err();
    assert!(matches!(error, SendError::NotWritten(_)));
}

#[tokio::test(start_paused = true)]
async fn a_slot_with_unknown_outcome_is_released_after_the_timeout() {
    let setup = setup();
    let (mut connection, mut stream) = connect().await;
    let running = setup.dispatcher.acquire(&setup.request).await.unwrap();
    let mut head = [0; 16];
    tokio::select! {
        _ = connection.send(request(), running) => unreachable!("there is no response"),
        read = stream.read_exact(&mut head) => drop(read.unwrap()),
    }
    drop(connection);
    let abandoned_at = Instant::now();
    while setup.dispatcher.usage() != Usage::default() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let held = abandoned_at.elapsed();
    assert!(held >= OUTCOME_TIMEOUT && held < OUTCOME_TIMEOUT + Duration::from_secs(1), "{held:?}");
}
