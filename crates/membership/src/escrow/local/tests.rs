use std::time::Duration;

use tokio::time::{Instant, advance};

use super::Escrow;

const PAUSE_MAX: Duration = Duration::from_secs(10);
const SLICE_VALIDITY: Duration = Duration::from_secs(60);

#[tokio::test(start_paused = true)]
async fn a_write_sent_before_a_pause_confirms_nothing() {
    let escrow = Escrow::default();
    escrow.tick(PAUSE_MAX);
    let sent = Instant::now();
    advance(PAUSE_MAX).await;
    assert!(escrow.tick(PAUSE_MAX));
    escrow.extend(sent, SLICE_VALIDITY);
    assert!(!escrow.is_valid());
    escrow.extend(Instant::now(), SLICE_VALIDITY);
    assert!(escrow.is_valid());
}

#[tokio::test(start_paused = true)]
async fn a_permit_knows_that_its_slice_has_lapsed() {
    let escrow = Escrow::default();
    escrow.set_usable(&"cutting".into(), 1);
    escrow.tick(PAUSE_MAX);
    escrow.extend(Instant::now(), SLICE_VALIDITY);
    let permit = escrow.try_acquire(&"cutting".into()).unwrap();
    assert!(permit.is_valid());
    assert!(escrow.try_acquire(&"cutting".into()).is_none());
    advance(PAUSE_MAX).await;
    assert!(!permit.is_valid());
    drop(permit);
    assert_eq!(escrow.in_use(&"cutting".into()), 0);
}
