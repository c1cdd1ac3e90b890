use std::time::Duration;

use expect_test::expect;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use super::{CallOutcome, StoreCall, StoreMetrics};

#[test]
fn calls_are_counted_and_timed_by_kind() {
    let (metrics, mut registry) = (StoreMetrics::default(), Registry::default());
    metrics.register(&mut registry);
    metrics.record(StoreCall::Write, CallOutcome::Answered, Duration::from_millis(3));
    metrics.record(StoreCall::Write, CallOutcome::Answered, Duration::from_millis(3));
    metrics.record(StoreCall::Watch, CallOutcome::Failed, Duration::ZERO);
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    let mut lines: Vec<&str> =
        text.lines().filter(|line| !line.contains("_bucket") && !line.starts_with('#')).collect();
    lines.sort_unstable();
    expect![[r#"
        store_call_duration_seconds_count{call="watch"} 1
        store_call_duration_seconds_count{call="write"} 2
        store_call_duration_seconds_sum{call="watch"} 0.0
        store_call_duration_seconds_sum{call="write"} 0.006
        store_calls_total{call="watch",outcome="failed"} 1
        store_calls_total{call="write",outcome="answered"} 2"#]]
    .assert_eq(&lines.join("\n"));
    assert!(text.contains(r#"store_call_duration_seconds_bucket{le="0.004",call="write"} 2"#));
}
