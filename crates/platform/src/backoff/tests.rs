use std::time::Duration;

use super::Backoff;

const BASE: Duration = Duration::from_millis(100);
const CAP: Duration = Duration::from_secs(1);

#[test]
fn delays_double_up_to_the_cap_with_jitter() {
    let mut backoff = Backoff::new(BASE, CAP);
    for bound_ms in [100, 200, 400, 800, 1000, 1000] {
        let bound = Duration::from_millis(bound_ms);
        let delay = backoff.next_delay();
        assert!(delay >= bound / 2 && delay <= bound, "{delay:?} for {bound:?}");
    }
    backoff.reset();
    assert!(backoff.next_delay() <= BASE);
}

#[test]
fn many_attempts_do_not_overflow() {
    let mut backoff = Backoff::new(Duration::from_secs(u64::MAX / 2), CAP);
    assert!((0..100).all(|_| backoff.next_delay() <= CAP));
}
