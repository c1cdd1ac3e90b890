//! Serialized form of the learned failure domains.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::SystemTime;

use cassiafold_platform::Document;
use serde::{Deserialize, Serialize};

use crate::domain::{GROUPS_MAX, Group, LearnedDomains, MEMBERS_MAX, Member};
use crate::raw::{from_unix_ms, unix_ms};

/// Key of the learned failure domains in the key-value service.
pub const DOMAINS_KEY: &str = "cassiafold/fleet/domains";

/// Format version that this program reads and writes.
const FORMAT: u32 = 1;

/// Serialized form of [`LearnedDomains`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDomains {
    /// Format version of this document.
    pub format: u32,
    /// Groups of instances.
    pub groups: Vec<RawGroup>,
    /// Failures of the open burst, in milliseconds since the Unix epoch.
    pub burst_unix_ms: BTreeMap<Arc<str>, u64>,
    /// End of the last closed burst, in milliseconds since the Unix epoch.
    pub closed_until_unix_ms: u64,
    /// Number of the next group.
    pub next_number: u64,
    /// Rate of independent failures, per second.
    pub rate_per_s: f64,
    /// When the rate was last updated, in milliseconds since the Unix epoch.
    pub rated_unix_ms: u64,
}

/// Serialized form of [`Group`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawGroup {
    /// Number of the group.
    pub number: u64,
    /// Zone of all members.
    pub zone: Arc<str>,
    /// Hits and misses of each member.
    pub members: BTreeMap<Arc<str>, [u32; 2]>,
    /// Log odds in nats.
    pub score_nats: f64,
    /// Number of bursts that are evidence for the group.
    pub bursts: u32,
    /// When the score was last updated, in milliseconds since the Unix epoch.
    pub scored_unix_ms: u64,
}

/// Error in stored failure domains.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DomainsError {
    /// The format version is not supported.
    #[error("unknown format {0} of the failure domains")]
    UnknownFormat(u32),
    /// There are more groups or members than allowed.
    #[error("failure domains exceed their bounds")]
    TooLarge,
}

impl Document for LearnedDomains {
    type Wire = RawDomains;
}

impl From<LearnedDomains> for RawDomains {
    fn from(domains: LearnedDomains) -> Self {
        Self::from(&domains)
    }
}

impl TryFrom<RawDomains> for LearnedDomains {
    type Error = DomainsError;

    fn try_from(raw: RawDomains) -> Result<Self, DomainsError> {
        if raw.format != FORMAT {
            return Err(DomainsError::UnknownFormat(raw.format));
        }
        let too_many_members = raw.groups.iter().any(|group| group.members.len() > MEMBERS_MAX);
        if raw.groups.len() > GROUPS_MAX || too_many_members {
            return Err(DomainsError::TooLarge);
        }
        let burst: BTreeMap<Arc<str>, SystemTime> =
            raw.burst_unix_ms.into_iter().map(|(id, time)| (id, from_unix_ms(time))).collect();
        Ok(Self {
            groups: raw.groups.into_iter().map(Group::from).collect(),
            burst,
            closed_until: from_unix_ms(raw.closed_until_unix_ms),
            next_number: raw.next_number,
            rate_per_s: raw.rate_per_s,
            rate_updated_at: from_unix_ms(raw.rated_unix_ms),
        })
    }
}

impl From<&LearnedDomains> for RawDomains {
    fn from(domains: &LearnedDomains) -> Self {
        let burst = domains.burst.iter().map(|(id, time)| (id.clone(), unix_ms(*time)));
        Self {
            format: FORMAT,
            groups: domains.groups.iter().map(RawGroup::from).collect(),
            burst_unix_ms: burst.collect(),
            closed_until_unix_ms: unix_ms(domains.closed_until),
            next_number: domains.next_number,
            rate_per_s: domains.rate_per_s,
            rated_unix_ms: unix_ms(domains.rate_updated_at),
        }
    }
}

impl From<RawGroup> for Group {
    fn from(raw: RawGroup) -> Self {
        let member = |[hits, misses]: [u32; 2]| Member { hits, misses };
        Self {
            number: raw.number,
            zone: raw.zone,
            members: raw.members.into_iter().map(|(id, counts)| (id, member(counts))).collect(),
            score_nats: raw.score_nats,
            bursts: raw.bursts,
            scored_at: from_unix_ms(raw.scored_unix_ms),
        }
    }
}

impl From<&Group> for RawGroup {
    fn from(group: &Group) -> Self {
        let counts = |member: &Member| [member.hits, member.misses];
        Self {
            number: group.number,
            zone: group.zone.clone(),
            members: group.members.iter().map(|(id, m)| (id.clone(), counts(m))).collect(),
            score_nats: group.score_nats,
            bursts: group.bursts,
            scored_unix_ms: unix_ms(group.scored_at),
        }
    }
}
