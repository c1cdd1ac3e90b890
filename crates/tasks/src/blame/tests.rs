use super::{Blame, Run};

fn run(kind: usize, succeeded: bool) -> Run {
    Run { team: "muscat".into(), kind: format!("kind-{kind}").into(), succeeded }
}

#[test]
fn a_worker_that_fails_what_its_peers_run_well_is_suspected() {
    let mut blame = Blame::default();
    for round in 0..8 {
        blame.note(&"bad".into(), run(round % 4, false));
        blame.note(&"good".into(), run(round % 4, true));
    }
    assert!(blame.suspects(&"bad".into()));
    assert!(!blame.suspects(&"good".into()));
}

#[test]
fn a_task_that_fails_everywhere_does_not_blame_workers() {
    let mut blame = Blame::default();
    for round in 0..8 {
        for worker in ["w1", "w2", "w3"] {
            blame.note(&worker.into(), run(round % 4, false));
        }
    }
    for worker in ["w1", "w2", "w3"] {
        assert!(!blame.suspects(&worker.into()));
    }
}

#[test]
fn one_bad_kind_does_not_blame_the_worker_that_ran_it_most() {
    let mut blame = Blame::default();
    for _ in 0..8 {
        blame.note(&"w1".into(), run(0, false));
        blame.note(&"w2".into(), run(1, true));
    }
    assert!(!blame.suspects(&"w1".into()));
}

#[test]
fn a_repaired_worker_starts_anew() {
    let mut blame = Blame::default();
    for round in 0..8 {
        blame.note(&"bad".into(), run(round % 4, false));
        blame.note(&"good".into(), run(round % 4, true));
    }
    blame.forget(&"bad".into());
    assert!(!blame.suspects(&"bad".into()));
}
