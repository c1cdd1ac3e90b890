//! Tests of the delay of repeated writes.

use std::time::Duration;

use super::first_resend_delay;
use crate::response_times::ResponseTimes;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn resend_delay_after(times: impl IntoIterator<Item = Duration>) -> Duration {
    let mut response_times = ResponseTimes::default();
    for time in times {
        response_times.record(time);
    }
    first_resend_delay(&response_times)
}

#[test]
fn a_write_without_a_response_is_sent_again_soon_while_the_store_is_fast() {
    assert_eq!(resend_delay_after([]), ms(150));
    assert_eq!(resend_delay_after([ms(2); 20]), ms(150));
}

#[test]
fn a_write_is_not_sent_again_while_it_takes_as_long_as_the_latest_ones() {
    for time in [120, 300, 500, 800, 1_000].map(ms) {
        assert!(resend_delay_after([time]) > time.mul_f64(1.4), "after one of {time:?}");
        assert!(resend_delay_after([time, ms(2)]) > time.mul_f64(1.4), "after one of 2 ms too");
    }
}

#[test]
fn a_write_without_a_response_is_sent_again_even_if_the_latest_ones_took_very_long() {
    assert_eq!(resend_delay_after([ms(60_000); 20]), ms(1_500));
}

#[test]
fn a_slow_write_is_forgotten_after_eight_fast_ones() {
    let times = |fast| std::iter::once(ms(800)).chain(std::iter::repeat_n(ms(2), fast));
    assert_eq!(resend_delay_after(times(7)), ms(1_200));
    assert_eq!(resend_delay_after(times(8)), ms(150));
}
