//! Chooses the targets to which an entry instance reports: all entry instances of its own zone,
//! and, if it is the relay for another zone, that zone.

use std::collections::{BTreeMap, BTreeSet};

use cassiafold_config::{InstanceId, ZoneId};

/// Properties of an entry instance that decide which ones are relays.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identifier of the entry instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it can relay: it is live and reports directly within the zone.
    pub live: bool,
}

/// Receiver of reports; one task serves each.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// An entry instance of the own zone.
    Entry(InstanceId),
    /// Any entry instance of another zone.
    Zone(ZoneId),
}

/// Returns the rendezvous weight of an entry instance as the relay between its zone and `zone`.
fn weight(id: &str, zone: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(id.len() as u64).to_le_bytes());
    hasher.update(id.as_bytes());
    hasher.update(zone.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Orders entry instances by rendezvous hashing for traffic with `zone`, the preferred one first.
pub fn ranked<'a>(members: impl Iterator<Item = &'a Member>, zone: &str) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members.collect();
    ranked.sort_by_cached_key(|member| (std::cmp::Reverse(weight(&member.id, zone)), &member.id));
    ranked
}

/// Returns the targets of the entry instance `me` in `own_zone`. `others` are all other known
/// entry instances.
pub fn targets(me: &InstanceId, own_zone: &ZoneId, others: &[Member]) -> BTreeSet<Target> {
    let same_zone = others.iter().filter(|other| other.zone == *own_zone);
    let mut targets: BTreeSet<Target> =
        same_zone.map(|member| Target::Entry(member.id.clone())).collect();
    let own = Member { id: me.clone(), zone: own_zone.clone(), live: true };
    let live_same_zone = others.iter().filter(|other| other.zone == *own_zone && other.live);
    let own_zone_members: Vec<&Member> = live_same_zone.chain([&own]).collect();
    let zones: BTreeSet<&ZoneId> = others.iter().map(|other| &other.zone).collect();
    for zone in zones.into_iter().filter(|zone| *zone != own_zone) {
        let relay = ranked(own_zone_members.iter().copied(), zone)[0];
        if relay.id == *me {
            targets.insert(Target::Zone(zone.clone()));
        }
    }
    targets
}

/// Returns the number of members in each zone.
pub fn by_zone(members: &[Member]) -> BTreeMap<ZoneId, usize> {
    let mut zones = BTreeMap::new();
    for member in members {
        *zones.entry(member.zone.clone()).or_insert(0) += 1;
    }
    zones
}

#[cfg(test)]
mod tests;
