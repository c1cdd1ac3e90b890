//! Failure domains learned from failures that occur together.
//!
//! Failures that follow each other within [`BURST_GAP_MAX`] form a burst. A burst within one zone
//! is evidence that its instances share a failure domain. Its weight is the log likelihood ratio,
//! in nats, against independent failures at the recent failure rate. Declared racks are known
//! domains, so a burst within one rack creates no group. A burst that affects most of a zone is a
//! failure of the zone. The state is bounded by [`GROUPS_MAX`] and [`MEMBERS_MAX`]; evidence is
//! stored per group, not per pair of instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cassiafold_config::{InstanceId, RackId, ZoneId};
use cassiafold_platform::ListedInstance;

use crate::view::ListedInstances;

mod index;
mod raw;

pub use index::{DomainIndex, DomainPosition};
pub use raw::{DOMAINS_KEY, DomainsError, RawDomains};

/// Identifier of a failure domain: a declared rack or a learned group.
pub type DomainId = Arc<str>;

/// Maximum time between two consecutive failures of a burst.
pub const BURST_GAP_MAX: Duration = Duration::from_secs(15);
/// Maximum time from the first to the last failure of a burst.
pub const BURST_MAX: Duration = Duration::from_secs(60);
/// Maximum number of groups.
pub const GROUPS_MAX: usize = 96;
/// Maximum number of members of a group.
pub const MEMBERS_MAX: usize = 64;

/// Score from which a group is suspected: odds of 100 to 1.
const SUSPECT_NATS: f64 = 4.6;
/// Prior log odds against two instances sharing an undeclared domain: 100 to 1. Subtracted from the
/// score of a new group.
const PRIOR_NATS: f64 = 4.6;
const SCORE_MAX_NATS: f64 = 20.0;
const SCORE_MIN_NATS: f64 = 0.5;
const SCORE_HALF_LIFE: Duration = Duration::from_secs(180 * 86_400);
const RATE_HALF_LIFE: Duration = Duration::from_secs(7 * 86_400);
/// Minimum failure rate assumed when weighing evidence: six failures per day.
const RATE_MIN_PER_S: f64 = 6.0 / 86_400.0;
/// Minimum share of a group's bursts in which a member must have failed to remain a member.
const MEMBER_SHARE_MIN: f64 = 0.33;
/// Minimum overlap of a burst with a group, as a share of the smaller of the two.
const OVERLAP_MIN: f64 = 0.5;
/// Share of a zone's instances from which a burst counts as a failure of the zone.
const ZONE_SHARE: f64 = 0.75;

/// How often a member failed together with its group and how often it did not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Member {
    /// Bursts of the group in which the member failed.
    pub hits: u32,
    /// Bursts of the group in which the member kept running.
    pub misses: u32,
}

impl Member {
    fn hit_share(self) -> f64 {
        f64::from(self.hits) / f64::from(self.hits + self.misses).max(1.0)
    }
}

/// Instances that may share a failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// Number of the group, unique over time.
    pub number: u64,
    /// Zone of all members.
    pub zone: ZoneId,
    /// Failure counts of each member.
    pub members: BTreeMap<InstanceId, Member>,
    /// Log odds that the members share a domain, in nats.
    pub score_nats: f64,
    /// Number of bursts that are evidence for the group.
    pub bursts: u32,
    /// When the score was last updated.
    pub scored_at: SystemTime,
}

impl Group {
    /// Whether the evidence is strong enough to treat the group as a failure domain.
    pub fn suspected(&self) -> bool {
        self.score_nats >= SUSPECT_NATS && self.members.len() > 1
    }

    /// Identifier of the group as a failure domain.
    pub fn domain_id(&self) -> DomainId {
        format!("learned-{}", self.number).into()
    }
}

/// Learned failure domains and the evidence for them.
#[derive(Debug, Clone, PartialEq)]
pub struct LearnedDomains {
    groups: Vec<Group>,
    burst: BTreeMap<InstanceId, SystemTime>,
    closed_until: SystemTime,
    next_number: u64,
    rate_per_s: f64,
    rate_updated_at: SystemTime,
}

impl Default for LearnedDomains {
    fn default() -> Self {
        Self {
            groups: Vec::new(),
            burst: BTreeMap::new(),
            closed_until: SystemTime::UNIX_EPOCH,
            next_number: 1,
            rate_per_s: RATE_MIN_PER_S,
            rate_updated_at: SystemTime::UNIX_EPOCH,
        }
    }
}

impl LearnedDomains {
    /// Suspected groups.
    pub fn suspected(&self) -> impl Iterator<Item = &Group> {
        self.groups.iter().filter(|group| group.suspected())
    }

    /// Number of groups, suspected or not.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Whether there are no groups.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Suspected domain of an instance with the highest score, or its declared rack if it has none.
    pub fn domain_of(&self, listed: &ListedInstance) -> DomainId {
        let groups = self.suspected().filter(|group| group.members.contains_key(&listed.id));
        let best = groups.max_by(|a, b| a.score_nats.total_cmp(&b.score_nats));
        best.map_or_else(|| rack_domain(&listed.zone, &listed.rack), Group::domain_id)
    }

    /// Records a failure of `id` that was first observed at `since`. Repeated calls have no effect.
    /// Returns whether the state changed.
    pub fn record_failure(
        &mut self,
        id: &InstanceId,
        since: SystemTime,
        listed: &ListedInstances,
    ) -> bool {
        if since <= self.closed_until || self.burst.contains_key(id) {
            return false;
        }
        if self.burst_ends_before(since) {
            self.close_burst(listed);
        }
        self.burst.insert(id.clone(), since);
        true
    }

    /// Closes the open burst if no further failure can join it, decays the scores and drops groups
    /// with too little evidence. Returns whether the state changed.
    pub fn advance(&mut self, now: SystemTime, listed: &ListedInstances) -> bool {
        if self.burst.is_empty() || !self.burst_ends_before(now) {
            return false;
        }
        self.close_burst(listed);
        self.decay(now);
        true
    }

    fn burst_ends_before(&self, time: SystemTime) -> bool {
        let (Some(first), Some(last)) = (self.burst.values().min(), self.burst.values().max())
        else {
            return false;
        };
        time > *last + BURST_GAP_MAX || time > *first + BURST_MAX
    }

    fn close_burst(&mut self, listed: &ListedInstances) {
        let burst = std::mem::take(&mut self.burst);
        let Some(last) = burst.values().max().copied() else {
            return;
        };
        self.closed_until = last;
        self.update_rate(last);
        let mut zones: BTreeMap<ZoneId, Vec<&ListedInstance>> = BTreeMap::new();
        for instance in burst.keys().filter_map(|id| listed.get(id)) {
            zones.entry(instance.zone.clone()).or_default().push(instance);
        }
        for (zone, failed) in zones {
            self.learn_from_burst(&zone, &failed, last, listed);
        }
    }

    /// Updates the moving average of the rate of independent failures; a burst counts once.
    fn update_rate(&mut self, now: SystemTime) {
        let elapsed_s = now.duration_since(self.rate_updated_at).unwrap_or_default().as_secs_f64();
        let tau_s = RATE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.rate_per_s = self.rate_per_s * (-elapsed_s / tau_s).exp() + 1.0 / tau_s;
        self.rate_updated_at = now;
    }

    /// Weight, in nats, of each failure of a burst after the first.
    fn nats_per_failure(&self) -> f64 {
        -(self.rate_per_s.max(RATE_MIN_PER_S) * BURST_GAP_MAX.as_secs_f64()).min(0.5).ln()
    }

    fn learn_from_burst(
        &mut self,
        zone: &ZoneId,
        failed: &[&ListedInstance],
        at: SystemTime,
        listed: &ListedInstances,
    ) {
        let one_rack = failed.iter().all(|instance| instance.rack == failed[0].rack);
        let in_zone = listed.values().filter(|instance| instance.zone == *zone).count();
        let zone_wide = failed.len() as f64 >= ZONE_SHARE * in_zone as f64;
        if failed.len() < 2 || zone_wide {
            return;
        }
        let ids: Vec<&InstanceId> = failed.iter().map(|instance| &instance.id).collect();
        let nats = self.nats_per_failure();
        match self.best_match(zone, &ids) {
            Some(group) => group.record_burst(&ids, at, nats),
            None if one_rack => {}
            None => self.add_group(zone, &ids, at, nats),
        }
    }

    fn best_match(&mut self, zone: &ZoneId, ids: &[&InstanceId]) -> Option<&mut Group> {
        let scored = self.groups.iter_mut().filter(|group| group.zone == *zone).map(|group| {
            let common = ids.iter().filter(|id| group.members.contains_key(**id)).count();
            let smaller = ids.len().min(group.members.len()).max(1);
            (common, common as f64 / smaller as f64, group)
        });
        scored
            .filter(|(common, share, _)| *common >= 2 && *share >= OVERLAP_MIN)
            .max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, group)| group)
    }

    fn add_group(&mut self, zone: &ZoneId, ids: &[&InstanceId], at: SystemTime, nats: f64) {
        let member = Member { hits: 1, misses: 0 };
        let members = ids.iter().take(MEMBERS_MAX).map(|id| ((*id).clone(), member)).collect();
        let score_nats = (ids.len() - 1) as f64 * nats - PRIOR_NATS;
        let group = Group {
            number: self.next_number,
            zone: zone.clone(),
            members,
            score_nats: score_nats.min(SCORE_MAX_NATS),
            bursts: 1,
            scored_at: at,
        };
        self.next_number += 1;
        self.groups.push(group);
        if self.groups.len() > GROUPS_MAX {
            self.drop_weakest();
        }
    }

    fn drop_weakest(&mut self) {
        let scores = self.groups.iter().map(|group| group.score_nats).enumerate();
        if let Some((weakest, _)) = scores.min_by(|a, b| a.1.total_cmp(&b.1)) {
            self.groups.swap_remove(weakest);
        }
    }

    fn decay(&mut self, now: SystemTime) {
        for group in &mut self.groups {
            group.decay(now);
        }
        self.groups.retain(|group| group.score_nats >= SCORE_MIN_NATS && group.members.len() > 1);
    }

    /// Removes the instances for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        for group in &mut self.groups {
            group.members.retain(|id, _| keep(id));
        }
        self.groups.retain(|group| group.members.len() > 1);
    }
}

impl Group {
    fn decay(&mut self, now: SystemTime) {
        let elapsed = now.duration_since(self.scored_at).unwrap_or_default();
        self.score_nats *= 0.5_f64.powf(elapsed.as_secs_f64() / SCORE_HALF_LIFE.as_secs_f64());
        self.scored_at = now.max(self.scored_at);
    }

    fn record_burst(&mut self, ids: &[&InstanceId], at: SystemTime, nats: f64) {
        self.decay(at);
        let common = ids.iter().filter(|id| self.members.contains_key(**id)).count();
        for (id, member) in &mut self.members {
            match ids.contains(&id) {
                true => member.hits += 1,
                false => member.misses += 1,
            }
        }
        for id in ids {
            if self.members.len() < MEMBERS_MAX && !self.members.contains_key(*id) {
                self.members.insert((*id).clone(), Member { hits: 1, misses: 0 });
            }
        }
        self.members.retain(|_, member| member.hit_share() >= MEMBER_SHARE_MIN);
        self.bursts += 1;
        self.score_nats = (self.score_nats + (common - 1) as f64 * nats).min(SCORE_MAX_NATS);
    }
}

/// Identifier of a declared rack as a failure domain.
pub fn rack_domain(zone: &ZoneId, rack: &RackId) -> DomainId {
    format!("{zone}/{rack}").into()
}

#[cfg(test)]
mod tests;
