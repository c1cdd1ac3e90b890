use super::*;

fn times_of(times_ms: impl IntoIterator<Item = u64>) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    times_ms.into_iter().for_each(|time_ms| times.record(Duration::from_millis(time_ms)));
    times
}

macro_rules! response_times {
    ($($name:ident: $method:ident of $times_ms:expr => $expected_ms:expr;)+) => {
        $(#[test] fn $name() {
            assert_eq!(times_of($times_ms).$method().as_millis(), $expected_ms);
        })+
    };
}

response_times! {
    no_time_is_long_before_a_response: longest of [] => 0;
    the_longest_of_eight_times_counts: longest of [800, 2, 2, 2, 2, 2, 2, 2] => 800;
    a_long_time_is_forgotten_after_eight_responses: longest of [800, 2, 2, 2, 2, 2, 2, 2, 2] => 2;
    no_time_is_short_before_two_responses: shorter_of_latest_two of [800] => 0;
    one_late_response_changes_nothing: shorter_of_latest_two of [4, 4, 2_000] => 4;
    two_late_responses_show_a_slow_store: shorter_of_latest_two of [4, 900, 800] => 800;
    one_fast_response_shows_a_fast_store: shorter_of_latest_two of [800, 900, 4] => 4;
}
