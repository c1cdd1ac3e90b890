use super::*;

fn weight(team: &str, target: f64, weight: f64) -> TeamWeight {
    TeamWeight { team: team.into(), target, weight }
}

fn bounds(capacity: u32) -> Vec<Option<u32>> {
    let weights = vec![weight("large", 60.0, 8.5), weight("small", 20.0, 20.0)];
    let parts = parts(capacity, weights);
    ["large", "small"].map(|team| parts[team].running_max).into()
}

#[test]
fn teams_are_held_to_their_parts_while_their_targets_take_up_all_slots() {
    assert_eq!(bounds(80), [Some(9), Some(20)]);
}

#[test]
fn teams_have_no_bound_while_slots_are_left() {
    assert_eq!(bounds(81), [None, None]);
}
