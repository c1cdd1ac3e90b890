//! Tests of the cache of final states.

use super::*;

/// Guards against the state of a job that is used after its id may have been used again.
#[test]
fn a_state_is_used_without_asking_the_store_for_thirty_seconds_after_it_was_read() {
    let record = StateRecord {
        state: JobState::Completed,
        team: None,
        ended: Vec::new(),
        tasks: Vec::new(),
    };
    let mut states = FinalStates::default();
    let read_at = Duration::from_secs(100);
    states.update(1, Some(&record), read_at);
    let state = states.get(1).expect("a state");
    assert!(state.is_recent(read_at + Duration::from_millis(29_999)));
    assert!(!state.is_recent(read_at + Duration::from_secs(30)));
}

#[test]
fn a_state_is_forgotten_once_the_store_has_none() {
    let record =
        StateRecord { state: JobState::Failed, team: None, ended: Vec::new(), tasks: Vec::new() };
    let mut states = FinalStates::default();
    states.update(1, Some(&record), Duration::ZERO);
    states.update(1, None, Duration::ZERO);
    assert_eq!((states.get(1), states.jobs.len()), (None, 0));
}
