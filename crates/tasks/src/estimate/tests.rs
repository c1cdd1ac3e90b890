use std::time::Duration;

use super::{Estimate, Estimator, FLOOR, KINDS_MAX, REPORTS_MIN, Usage};
use crate::record::Resources;

fn resources(processors_milli: u32, memory_mib: u64) -> Resources {
    Resources { processors_milli, memory_bytes: memory_mib << 20, accelerators: 0 }
}

fn declared() -> Estimate {
    Estimate { resources: resources(10_000, 10_240), run_time: Duration::from_secs(600) }
}

fn usage() -> Usage {
    Usage { peak: resources(1_000, 1_024), run_time: Duration::from_secs(60) }
}

#[test]
fn a_kind_with_too_few_reports_uses_the_declared_values() {
    let mut estimator = Estimator::default();
    let (team, kind) = ("muscat".into(), "sweep".into());
    for _ in 1..REPORTS_MIN {
        estimator.record(&team, &kind, usage());
    }
    assert_eq!(estimator.estimate(&team, &kind, declared()), declared());
}

#[test]
fn a_kind_with_enough_reports_uses_them() {
    let mut estimator = Estimator::default();
    let (team, kind) = ("muscat".into(), "sweep".into());
    for _ in 0..REPORTS_MIN {
        estimator.record(&team, &kind, usage());
    }
    let estimate = estimator.estimate(&team, &kind, declared());
    assert_eq!(estimate.resources, usage().peak);
    assert_eq!(estimate.run_time, usage().run_time);
    assert_eq!(estimator.estimate(&"sohar".into(), &kind, declared()), declared());
}

#[test]
fn an_estimate_never_falls_below_the_floor() {
    let estimate = Estimator::default().estimate(
        &"muscat".into(),
        &"sweep".into(),
        Estimate { resources: Resources::default(), run_time: Duration::ZERO },
    );
    assert_eq!(estimate.resources, FLOOR);
}

#[test]
fn the_number_of_kinds_is_bounded() {
    let mut estimator = Estimator::default();
    for kind in 0..KINDS_MAX + 10 {
        estimator.record(&"muscat".into(), &format!("kind-{kind}").into(), usage());
    }
    assert_eq!(estimator.kinds(), KINDS_MAX);
}
