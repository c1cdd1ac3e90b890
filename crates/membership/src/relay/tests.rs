use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{Member, Target, ranked, targets};

fn members(sizes: &[usize]) -> Vec<Member> {
    let zones = sizes.iter().enumerate();
    zones
        .flat_map(|(zone, size)| {
            (0..*size).map(move |index| Member {
                id: format!("entry-{zone}-{index}").into(),
                zone: format!("zone-{zone}").into(),
                live: true,
            })
        })
        .collect()
}

fn targets_of(me: &Member, all: &[Member]) -> BTreeSet<Target> {
    let others: Vec<Member> = all.iter().filter(|other| other.id != me.id).cloned().collect();
    targets(&me.id, &me.zone, &others)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn exactly_one_entry_of_each_zone_relays_to_each_other_zone(
        sizes in prop::collection::vec(1usize..6, 1..6),
    ) {
        let all = members(&sizes);
        for zone in 0..sizes.len() {
            for other in (0..sizes.len()).filter(|other| *other != zone) {
                let target = Target::Zone(format!("zone-{other}").into());
                let own_zone = all.iter().filter(|member| *member.zone == format!("zone-{zone}"));
                let relays = own_zone.filter(|member| targets_of(member, &all).contains(&target));
                prop_assert_eq!(relays.count(), 1);
            }
        }
    }

    #[test]
    fn removing_an_entry_moves_only_its_own_relays(size in 2usize..8, lost in 0usize..8) {
        let all = members(&[size]);
        let lost = &all[lost % size];
        for zone in ["b", "c", "d", "e"] {
            let before = ranked(all.iter(), zone)[0];
            let after = ranked(all.iter().filter(|member| member.id != lost.id), zone)[0];
            prop_assert!(before.id == after.id || before.id == lost.id);
        }
    }
}

#[test]
fn relays_are_distributed_over_a_zone() {
    let all = members(&[6]);
    let zones: Vec<String> = (0..60).map(|zone| format!("zone-{zone}")).collect();
    let first = zones.iter().map(|zone| ranked(all.iter(), zone)[0].id.clone());
    assert_eq!(first.collect::<BTreeSet<_>>().len(), 6);
}

#[test]
fn entry_that_is_not_live_is_a_target_but_no_relay() {
    let mut all = members(&[2, 1, 1, 1, 1, 1, 1, 1, 1, 1]);
    all[1].live = false;
    let zones = (1..10).map(|zone| Target::Zone(format!("zone-{zone}").into()));
    let expected = zones.chain([Target::Entry(all[1].id.clone())]).collect();
    assert_eq!(targets_of(&all[0], &all), expected);
}
