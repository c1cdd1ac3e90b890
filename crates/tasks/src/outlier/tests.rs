use super::{OutlierDetector, Run};

fn run(kind: usize, succeeded: bool) -> Run {
    Run { team: "muscat".into(), kind: format!("kind-{kind}").into(), succeeded }
}

#[test]
fn a_worker_that_fails_kinds_that_succeed_on_its_peers_is_an_outlier() {
    let mut detector = OutlierDetector::default();
    for round in 0..8 {
        detector.record(&"bad".into(), run(round % 4, false));
        detector.record(&"good".into(), run(round % 4, true));
    }
    assert!(detector.is_outlier(&"bad".into()));
    assert!(!detector.is_outlier(&"good".into()));
}

#[test]
fn a_task_that_fails_everywhere_makes_no_worker_an_outlier() {
    let mut detector = OutlierDetector::default();
    for round in 0..8 {
        for worker in ["w1", "w2", "w3"] {
            detector.record(&worker.into(), run(round % 4, false));
        }
    }
    for worker in ["w1", "w2", "w3"] {
        assert!(!detector.is_outlier(&worker.into()));
    }
}

#[test]
fn one_failing_kind_does_not_make_its_worker_an_outlier() {
    let mut detector = OutlierDetector::default();
    for _ in 0..8 {
        detector.record(&"w1".into(), run(0, false));
        detector.record(&"w2".into(), run(1, true));
    }
    assert!(!detector.is_outlier(&"w1".into()));
}

#[test]
fn a_repaired_worker_has_no_history() {
    let mut detector = OutlierDetector::default();
    for round in 0..8 {
        detector.record(&"bad".into(), run(round % 4, false));
        detector.record(&"good".into(), run(round % 4, true));
    }
    detector.forget(&"bad".into());
    assert!(!detector.is_outlier(&"bad".into()));
}
