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
fn teams_are_limited_to_their_shares_while_targets_use_all_slots() {
    assert_eq!(running_limits(80), [Some(9), Some(20)]);
}

#[test]
fn teams_are_not_limited_while_slots_are_free() {
    assert_eq!(running_limits(81), [None, None]);
}
