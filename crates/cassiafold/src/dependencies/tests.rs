use super::*;

fn weight(team: &str, target: f64, weight: f64) -> TeamWeight {
    TeamWeight { team: team.into(), target, weight }
}

fn running_limits(capacity: u32) -> Vec<Option<u32>> {
    let weights = vec![weight("large", 60.0, 8.5), weight("small", 20.0, 20.0)];
    let team_shares = team_shares(capacity, weights);
    ["large", "small"].map(|team| team_shares[team].running_max).into()
}

#[test]
fn teams_are_held_to_their_parts_while_their_targets_take_up_all_slots() {
    assert_eq!(running_limits(80), [Some(9), Some(20)]);
}

#[test]
fn teams_have_no_bound_while_slots_are_left() {
    assert_eq!(running_limits(81), [None, None]);
}
