use crate::code::DispatchCode;

use super::*;

fn failure(run_state: RunState) -> AttemptFailure {
    let instance = Instance {
        id: "i".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        rack: "r".into(),
        pool: "portal".into(),
        state: cassiafold_config::InstanceState::Live,
    };
    AttemptFailure { code: DispatchCode::AnswerLost, run_state, instance }
}

macro_rules! pairs_of_failures {
    ($($name:ident: $one:ident, $other:ident => $expected:ident;)+) => {
        $(
            #[test]
            fn $name() {
                let other = Err::<(), _>(failure(RunState::$other));
                let both = failure(RunState::$one).or_else_outcome(other).unwrap_err();
                assert_eq!(both.run_state, RunState::$expected);
            }
        )+
    };
}

pairs_of_failures! {
    neither_was_run: NotRun, NotRun => NotRun;
    the_first_may_have_run: OutcomeUnknown, NotRun => OutcomeUnknown;
    the_second_may_have_run: NotRun, OutcomeUnknown => OutcomeUnknown;
    both_may_have_run: OutcomeUnknown, OutcomeUnknown => OutcomeUnknown;
}

#[test]
fn a_response_wins_over_a_failure() {
    assert_eq!(failure(RunState::OutcomeUnknown).or_else_outcome(Ok(7)).ok(), Some(7));
}
