use std::time::Duration;

use tokio::time::{Instant, advance};

use super::Escrow;

const PAUSE_MAX: Duration = Duration::from_secs(10);
const SLICE_VALIDITY: Duration = Duration::from_secs(60);

#[tokio::test(start_paused = true)]
async fn write_sent_before_a_pause_does_not_confirm_slices() {
    let escrow = Escrow::default();
    escrow.tick(PAUSE_MAX);
    let sent_at = Instant::now();
    advance(PAUSE_MAX).await;
    assert!(escrow.tick(PAUSE_MAX));
    escrow.extend(sent_at, SLICE_VALIDITY);
    assert!(!escrow.is_valid());
    escrow.extend(Instant::now(), SLICE_VALIDITY);
    assert!(escrow.is_valid());
}

#[tokio::test(start_paused = true)]
async fn permit_becomes_invalid_with_its_slice() {
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
