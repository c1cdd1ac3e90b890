use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use cassiafold_config::InstanceId;
use cassiafold_platform::{Document, Envelope, WriteLog};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{GROUPS_MAX, Group, LearnedDomains, MEMBERS_MAX, RawDomains};
use crate::tests::fixture::{Layout, listed, monday};
use crate::view::ListedInstances;

const DAY: Duration = Duration::from_secs(86_400);
/// Independent failures per day.
const FAILURES_PER_DAY: f64 = 6.0;

fn fleet_of_50() -> ListedInstances {
    listed(&Layout { zones: 3, services: 5, per_service: 10, spare: 0, floor_share: 0.5 })
}

fn fleet_of_870() -> ListedInstances {
    listed(&Layout { zones: 8, services: 43, per_service: 20, spare: 10, floor_share: 0.5 })
}

/// Instances of a power feed: every `step`th instance of zone `z0` from `first`, spread over racks.
fn feed(fleet: &ListedInstances, first: usize, step: usize, size: usize) -> BTreeSet<InstanceId> {
    let zone = fleet.values().filter(|instance| &*instance.zone == "z0");
    zone.skip(first).step_by(step).take(size).map(|instance| instance.id.clone()).collect()
}

/// Independent failures and shared failures of a feed.
struct Failures {
    rng: StdRng,
    failures: Vec<(SystemTime, InstanceId)>,
}

impl Failures {
    fn independent(seed: u64, fleet: &ListedInstances, days: u32) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let ids: Vec<&InstanceId> = fleet.keys().collect();
        let count = (FAILURES_PER_DAY * f64::from(days)) as usize;
        let span_s = f64::from(days) * DAY.as_secs_f64();
        let failures = (0..count).map(|_| {
            let at = monday() + Duration::from_secs_f64(rng.random::<f64>() * span_s);
            (at, ids[rng.random_range(0..ids.len())].clone())
        });
        let failures = failures.collect();
        Self { rng, failures }
    }

    /// Adds a shared failure: each member fails with a probability of 0.8 within ten seconds.
    fn add_shared(&mut self, feed: &BTreeSet<InstanceId>, at: SystemTime) {
        for id in feed {
            if self.rng.random_bool(0.8) {
                let delay = Duration::from_secs_f64(self.rng.random::<f64>() * 10.0);
                self.failures.push((at + delay, id.clone()));
            }
        }
    }

    fn learn(mut self, fleet: &ListedInstances) -> LearnedDomains {
        self.failures.sort();
        let mut domains = LearnedDomains::default();
        for (at, id) in &self.failures {
            domains.advance(*at, fleet);
            domains.record_failure(id, *at, fleet);
        }
        let last = self.failures.last().map_or(monday(), |(at, _)| *at);
        domains.advance(last + DAY, fleet);
        domains
    }
}

fn pairs<'a>(ids: impl IntoIterator<Item = &'a InstanceId>) -> BTreeSet<(InstanceId, InstanceId)> {
    let ids: Vec<&InstanceId> = ids.into_iter().collect();
    let mut pairs = BTreeSet::new();
    for (at, first) in ids.iter().enumerate() {
        pairs.extend(ids[at + 1..].iter().map(|second| ((*first).clone(), (*second).clone())));
    }
    pairs
}

/// Precision and recall of the pairs of instances that share a feed.
fn quality(domains: &LearnedDomains, feed: &BTreeSet<InstanceId>) -> (f64, f64) {
    let truth = pairs(feed);
    let groups = domains.suspected().map(|group| pairs(group.members.keys()));
    let found: BTreeSet<_> = groups.flatten().collect();
    let right = found.intersection(&truth).count() as f64;
    (right / found.len().max(1) as f64, right / truth.len() as f64)
}

fn quality_after_shared_failures(fleet: &ListedInstances, count: u32, seed: u64) -> (f64, f64) {
    let feed = feed(fleet, 0, 2, 8);
    let days = count * 45;
    let mut failures = Failures::independent(seed, fleet, days);
    for number in 0..count {
        failures.add_shared(&feed, monday() + DAY * (number * 45 + 30));
    }
    quality(&failures.learn(fleet), &feed)
}

macro_rules! learns {
    ($($name:ident: $fleet:ident, $shared:literal, $precision:literal, $recall:literal;)+) => {$(
        #[test]
        fn $name() {
            let fleet = $fleet();
            for seed in 0..20 {
                let (precision, recall) = quality_after_shared_failures(&fleet, $shared, seed);
                assert!(precision >= $precision, "seed {seed}: precision {precision}");
                assert!(recall >= $recall, "seed {seed}: recall {recall}");
            }
        }
    )+};
}

learns! {
    three_shared_failures_identify_the_feed_among_50: fleet_of_50, 3, 0.7, 0.7;
    three_shared_failures_identify_the_feed_among_870: fleet_of_870, 3, 0.7, 0.7;
    five_shared_failures_identify_the_feed_among_50: fleet_of_50, 5, 0.8, 0.8;
    five_shared_failures_identify_the_feed_among_870: fleet_of_870, 5, 0.8, 0.8;
}

#[test]
fn year_of_independent_failures_raises_at_most_one_false_alarm() {
    for fleet in [fleet_of_50(), fleet_of_870()] {
        for seed in 0..5 {
            let domains = Failures::independent(seed, &fleet, 365).learn(&fleet);
            let alarms: Vec<&Group> = domains.suspected().collect();
            assert!(alarms.len() <= 1, "seed {seed}: {alarms:?}");
        }
    }
}

fn fail_together(
    domains: &mut LearnedDomains,
    fleet: &ListedInstances,
    ids: &[&str],
    at: SystemTime,
) {
    for id in ids {
        domains.record_failure(&(*id).into(), at, fleet);
    }
    domains.advance(at + DAY, fleet);
}

#[test]
fn pair_is_suspected_only_after_its_second_shared_failure() {
    let fleet = fleet_of_50();
    let mut domains = LearnedDomains::default();
    fail_together(&mut domains, &fleet, &["s0-0", "s2-6"], monday());
    assert_eq!(domains.suspected().count(), 0);
    fail_together(&mut domains, &fleet, &["s0-0", "s2-6"], monday() + DAY);
    assert_eq!(domains.suspected().count(), 1);
    assert_eq!(domains.domain_of(&fleet["s0-0"]), domains.domain_of(&fleet["s2-6"]));
    assert_ne!(domains.domain_of(&fleet["s0-0"]), domains.domain_of(&fleet["s0-3"]));
}

#[test]
fn rack_failure_creates_no_group() {
    let fleet = fleet_of_50();
    let rack: Vec<&str> = fleet
        .values()
        .filter(|instance| (&*instance.zone, &*instance.rack) == ("z0", "r1"))
        .map(|instance| &*instance.id)
        .collect();
    let mut domains = LearnedDomains::default();
    fail_together(&mut domains, &fleet, &rack, monday());
    assert!(rack.len() > 2 && domains.is_empty());
    assert_eq!(&*domains.domain_of(&fleet[rack[0]]), "z0/r1");
}

#[test]
fn zone_failure_creates_no_group() {
    let fleet = fleet_of_50();
    let zone: Vec<&str> = fleet
        .values()
        .filter(|instance| &*instance.zone == "z0")
        .map(|instance| &*instance.id)
        .collect();
    let mut domains = LearnedDomains::default();
    fail_together(&mut domains, &fleet, &zone, monday());
    assert!(domains.is_empty());
}

#[test]
fn repeated_records_of_one_failure_count_once() {
    let fleet = fleet_of_50();
    let mut domains = LearnedDomains::default();
    for _ in 0..10 {
        fail_together(&mut domains, &fleet, &["s0-0", "s2-6"], monday());
    }
    assert_eq!(domains.suspected().count(), 0);
}

#[test]
fn member_that_keeps_running_leaves_the_group() {
    let fleet = fleet_of_50();
    let mut domains = LearnedDomains::default();
    fail_together(&mut domains, &fleet, &["s0-0", "s1-3", "s2-6", "s4-9"], monday());
    for day in 1..4 {
        let at = monday() + DAY * day;
        fail_together(&mut domains, &fleet, &["s0-0", "s1-3", "s2-6"], at);
    }
    let group = domains.suspected().next().expect("the group is suspected");
    assert_eq!(group.members.len(), 3);
}

#[test]
fn old_evidence_decays() {
    let fleet = fleet_of_50();
    let mut domains = LearnedDomains::default();
    fail_together(&mut domains, &fleet, &["s0-0", "s1-3", "s2-6"], monday());
    assert_eq!(domains.suspected().count(), 1);
    fail_together(&mut domains, &fleet, &["s0-1"], monday() + DAY * 365);
    assert_eq!(domains.suspected().count(), 0);
}

#[test]
fn state_is_bounded_and_fits_the_store() {
    let fleet = fleet_of_870();
    let ids: Vec<&InstanceId> = fleet.keys().collect();
    let mut rng = StdRng::seed_from_u64(7);
    let mut domains = LearnedDomains::default();
    for hour in 0..2_000 {
        let at = monday() + Duration::from_secs(3_600 * hour);
        for _ in 0..200 {
            domains.record_failure(ids[rng.random_range(0..ids.len())], at, &fleet);
        }
        domains.advance(at + Duration::from_secs(120), &fleet);
    }
    let raw = RawDomains::from(&domains);
    assert!(raw.groups.len() <= GROUPS_MAX);
    assert!(raw.groups.iter().all(|group| group.members.len() <= MEMBERS_MAX));
    let bytes = encode(&domains);
    println!("{} groups, {bytes} bytes", domains.len());
    assert!(bytes < 1_000_000);
    assert_eq!(LearnedDomains::try_from(raw), Ok(domains));
}

fn encode<T: Document>(value: &T) -> usize {
    let envelope = Envelope { value: value.clone(), writes: WriteLog::default() };
    envelope.encode().expect("the value is encodable").len()
}
