use futures_util::stream;

use super::*;

fn chunks(sizes: &[usize]) -> Body {
    let chunks: Vec<_> =
        sizes.iter().map(|size| Ok::<_, std::io::Error>(Bytes::from(vec![7; *size]))).collect();
    Body::from_stream(stream::iter(chunks))
}

async fn sent_bytes(body: &mut PreparedBody) -> Result<usize, DispatchCode> {
    let request = body.take_for_attempt().expect("the body is available");
    let failure = request.failure();
    let collected = request.collect().await;
    collected.map(|body| body.to_bytes().len()).map_err(|_| failure.get().unwrap())
}

#[tokio::test]
async fn a_short_body_is_buffered_and_can_be_sent_twice() {
    let mut body = PreparedBody::read(chunks(&[1_000, 2_000]), 10_000).await.unwrap();
    assert!(body.is_replayable());
    assert_eq!(sent_bytes(&mut body).await, Ok(3_000));
    assert_eq!(sent_bytes(&mut body).await, Ok(3_000));
}

#[tokio::test]
async fn a_long_body_is_streamed_completely_and_once() {
    let mut body = PreparedBody::read(chunks(&[9_000; 10]), 100_000).await.unwrap();
    assert!(!body.is_replayable());
    assert_eq!(sent_bytes(&mut body).await, Ok(90_000));
    assert!(!body.is_available());
    assert!(body.take_for_attempt().is_none());
}

#[tokio::test]
async fn a_declared_length_above_the_bound_is_refused_unread() {
    let read = PreparedBody::read(Body::from(vec![0; 1_001]), 1_000).await;
    assert_eq!(read.err(), Some(DispatchCode::BodyTooLarge));
}

#[tokio::test]
async fn a_body_that_exceeds_the_bound_is_refused() {
    let read = PreparedBody::read(chunks(&[600, 600]), 1_000).await;
    assert_eq!(read.err(), Some(DispatchCode::BodyTooLarge));
    let mut body = PreparedBody::read(chunks(&[9_000; 10]), 50_000).await.unwrap();
    assert_eq!(sent_bytes(&mut body).await, Err(DispatchCode::BodyTooLarge));
}
