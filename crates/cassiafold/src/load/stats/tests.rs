use std::time::Duration;

use super::{Outcome, RunState, RunStats};

#[test]
fn latency_is_recorded_for_complete_responses_only() {
    let complete = Outcome::Answered { status: 200, code: None, run: RunState::Unspecified };
    let (mut one, mut two) = (RunStats::default(), RunStats::default());
    one.record(complete, Duration::from_millis(5));
    two.record(complete, Duration::from_millis(15));
    two.record(Outcome::TimedOut, Duration::from_secs(60));
    one.merge(&two);
    assert_eq!(one.counts[&complete], 2);
    assert_eq!(one.counts[&Outcome::TimedOut], 1);
    assert_eq!(one.latencies_us.len(), 2);
    assert!(one.latencies_us.max() < 16_000);
}
