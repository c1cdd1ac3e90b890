//! Learned failure domains: precision and recall after shared failures, and false alarms.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use cassiafold_config::InstanceId;
use cassiafold_fleet::{LearnedDomains, ListedInstances};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::world::{Layout, feeds, start};

const DAY: Duration = Duration::from_secs(86_400);
const FAILURES_PER_DAY: f64 = 6.0;
/// Probability that a member of a power feed fails together with the feed.
const MEMBER_FAILURE_PROBABILITY: f64 = 0.8;
/// Days between two failures of one feed.
const FEED_FAILURE_INTERVAL_DAYS: u32 = 45;
const SEEDS: u64 = 20;

const SMALL: Layout =
    Layout { name: "50", zones: 3, services: 5, per_service: 9, spare: 5, floor_share: 0.6 };
const LARGE: Layout =
    Layout { name: "870", zones: 8, services: 43, per_service: 20, spare: 10, floor_share: 0.6 };

type Failures = Vec<(SystemTime, InstanceId)>;

pub fn measure() {
    for layout in [SMALL, LARGE] {
        let listed = layout.listed();
        for shared in [1, 2, 3, 5] {
            measure_shared(&layout, &listed, shared);
        }
        measure_false_alarms(&layout, &listed);
    }
}

fn measure_shared(layout: &Layout, listed: &ListedInstances, shared: u32) {
    let feeds = feeds(listed);
    let (mut correct, mut found, mut expected) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let days = shared * FEED_FAILURE_INTERVAL_DAYS;
        let mut failures = independent_failures(&mut rng, listed, days);
        for feed in &feeds {
            for number in 0..shared {
                let day =
                    f64::from(number * FEED_FAILURE_INTERVAL_DAYS) + rng.random::<f64>() * 40.0;
                add_shared_failure(&mut rng, &mut failures, feed, start() + DAY.mul_f64(day));
            }
        }
        let domains = learn(listed, failures);
        let groups = domains.suspected().map(|group| pairs(group.members.keys()));
        let suspected: BTreeSet<_> = groups.flatten().collect();
        let real: BTreeSet<_> = feeds.iter().flat_map(pairs).collect();
        correct += suspected.intersection(&real).count();
        found += suspected.len();
        expected += real.len();
    }
    let line = serde_json::json!({
        "measure": "failure domains", "instances": layout.name, "feeds": feeds.len(),
        "shared_failures": shared, "seeds": SEEDS,
        "precision": correct as f64 / (found.max(1)) as f64,
        "recall": correct as f64 / expected as f64,
    });
    println!("{line}");
}

fn measure_false_alarms(layout: &Layout, listed: &ListedInstances) {
    let mut alarms = Vec::new();
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(1_000 + seed);
        let failures = independent_failures(&mut rng, listed, 365);
        alarms.push(learn(listed, failures).suspected().count());
    }
    let line = serde_json::json!({
        "measure": "false alarms in a year of independent failures", "instances": layout.name,
        "seeds": SEEDS, "total": alarms.iter().sum::<usize>(), "most": alarms.iter().max(),
    });
    println!("{line}");
}

fn independent_failures(rng: &mut StdRng, listed: &ListedInstances, days: u32) -> Failures {
    let ids: Vec<&InstanceId> = listed.keys().collect();
    let count = (FAILURES_PER_DAY * f64::from(days)) as usize;
    let failure = |_| {
        let at = start() + DAY.mul_f64(rng.random::<f64>() * f64::from(days));
        (at, ids[rng.random_range(0..ids.len())].clone())
    };
    (0..count).map(failure).collect()
}

/// Adds failures of members of the feed within ten seconds.
fn add_shared_failure(
    rng: &mut StdRng,
    failures: &mut Failures,
    feed: &[InstanceId],
    at: SystemTime,
) {
    for id in feed {
        if rng.random_bool(MEMBER_FAILURE_PROBABILITY) {
            failures.push((at + Duration::from_secs_f64(rng.random::<f64>() * 10.0), id.clone()));
        }
    }
}

pub fn learn(listed: &ListedInstances, mut failures: Failures) -> LearnedDomains {
    failures.sort();
    let mut domains = LearnedDomains::default();
    for (at, id) in &failures {
        domains.advance(*at, listed);
        domains.record_failure(id, *at, listed);
    }
    let last = failures.last().map_or(start(), |(at, _)| *at);
    domains.advance(last + DAY, listed);
    domains
}

fn pairs<'a>(ids: impl IntoIterator<Item = &'a InstanceId>) -> Vec<(InstanceId, InstanceId)> {
    let mut ids: Vec<&InstanceId> = ids.into_iter().collect();
    ids.sort();
    let mut pairs = Vec::new();
    for (at, first) in ids.iter().enumerate() {
        pairs.extend(ids[at + 1..].iter().map(|second| ((*first).clone(), (*second).clone())));
    }
    pairs
}
