use super::{OutlierDetector, Run};

fn run(kind: usize, succeeded: bool) -> Run {
    Run { team: "muscat".into(), kind: format!("kind-{kind}").into(), succeeded }
}

#[test]
fn a_worker_that_fails_what_its_peers_run_well_is_suspected() {
    let mut detector = OutlierDetector::default();
    for round in 0..8 {
        detector.record(&"bad".into(), run(round % 4, false));
        detector.record(&"good".into(), run(round % 4, true));
    }
    assert!(detector.is_outlier(&"bad".into()));
    assert!(!detector.is_outlier(&"good".into()));
}

#[test]
fn a_task_that_fails_everywhere_does_not_blame_workers() {
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
fn one_bad_kind_does_not_blame_the_worker_that_ran_it_most() {
    let mut detector = OutlierDetector::default();
    for _ in 0..8 {
        detector.record(&"w1".into(), run(0, false));
        detector.record(&"w2".into(), run(1, true));
    }
    assert!(!detector.is_outlier(&"w1".into()));
}

#[test]
fn a_repaired_worker_starts_anew() {
    let mut detector = OutlierDetector::default();
    for round in 0..8 {
        detector.record(&"bad".into(), run(round % 4, false));
        detector.record(&"good".into(), run(round % 4, true));
    }
    detector.forget(&"bad".into());
    assert!(!detector.is_outlier(&"bad".into()));
}
